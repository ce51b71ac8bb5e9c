// An engine that stops answering in a contended pool: the instances tell each other.
#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

/// Three running instances of 14 in the list, before two engines with two slots.
class SilentEndpointFixture : public RequestPathFixture
{
public:
    SilentEndpointFixture()
    {
        for (const char *name : {"front-2", "front-3"}) {
            instanceMetrics.push_back(daemonMetrics);
            others.push_back(addInstance(name));
        }
        instanceMetrics.push_back(daemonMetrics);
        for (int i = 4; i <= 14; ++i) {
            store.put("instances", "front-" + std::to_string(i),
                      {{"zone", "z1"}, {"peer", "127.0.0.1:" + std::to_string(takeFreePort())}});
        }
        // Streams stay where they are.
        routes[2]["resumable"] = false;
        engineMemoryMb = 200;
        nlohmann::json contended = configuration(2, {"k1"});
        contended["services"][1]["engine"]["slots"] = 2;
        store.put("config", "main", contended);
        for (const char *id : {"i-1", "i-2"}) {
            addReplica(
                id, "llm",
                [this, id](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                    sink->head(200, streamHeaders(request), true);
                    sink->data("id: 1\ndata: x\n\n");
                    if (request.target == "/llm/x") {
                        sink->finish();
                    } else if (silent.empty() || silent == id) {
                        silent = id;
                        silentSinks.push_back(sink);
                    } else {
                        streams.emplace_back(sink, 1);
                    }
                },
                {"m"});
        }
        // The first instance takes the lease, so the others reach each other through it.
        callUntilStatus(200, "/llm/x", "m");
        runFor(2s);
    }

    /// Runs the event loop while the sound engine goes on with its streams.
    void runFor(Duration time)
    {
        const SteadyTime end = clock.now() + time;
        while (clock.now() < end) {
            for (auto &[sink, last] : streams) {
                sink->data("id: " + std::to_string(++last) + "\ndata: x\n\n");
            }
            io.restart();
            io.run_for(50ms);
        }
    }

    static double changes(const Metrics &of, const std::string &change)
    {
        return of.counterValue("marigoldspool_endpoint_suspicions_total", {{"change", change}});
    }

    std::vector<std::unique_ptr<FleetDaemon>> others;
    std::vector<const Metrics *> instanceMetrics;
    /// The engine that sends one event of each answer.
    std::string silent;
    std::vector<std::shared_ptr<ResponseSink>> silentSinks;
    /// The other engine's answers, with their last events.
    std::vector<std::pair<std::shared_ptr<ResponseSink>, int>> streams;
};

} // namespace

// Guards against an instance that sends requests to an engine of whose silence another one knows,
// and against an owner that finds out with its next regular report.
TEST_CASE_FIXTURE(SilentEndpointFixture, "instances learn of a silent engine through the hub")
{
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (int i = 0; i < 20 && (silent.empty() || streams.empty()); ++i) {
        answers.push_back(call("/llm/stream", "m"));
        runFor(100ms);
    }
    REQUIRE_FALSE(streams.empty());
    const StandinReplica &silentReplica = *replicas[silent == "i-1" ? 0 : 1];
    const int reportsBefore = silentReplica.reports;
    // The regular reports are 4 s apart.
    runFor(2500ms);
    CHECK(silentReplica.reports >= reportsBefore + 2);
    for (const Metrics *it : instanceMetrics) {
        CHECK(changes(*it, "noticed") == 1);
        CHECK(changes(*it, "confirmed") == 0);
        CHECK(changes(*it, "ended") + changes(*it, "expired") == 0);
    }
    silentSinks.front()->data("id: 2\ndata: x\n\n");
    runFor(500ms);
    for (const Metrics *it : instanceMetrics) {
        CHECK(changes(*it, "ended") == 1);
    }
}
