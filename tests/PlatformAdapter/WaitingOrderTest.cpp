// Requests beyond the capacity of an engine, with and without the order of contended pools.
#include "RequestPathFixture.h"

#include <set>

#include <boost/asio/steady_timer.hpp>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

/// An engine with one slot that answers each request after 200 ms.
class WaitingOrderFixture : public RequestPathFixture
{
public:
    WaitingOrderFixture()
    {
        engineMemoryMb = 200;
        routes = {route("urgent", 0, 500, 2000), route("patient", 2, 2000, 5000)};
        nlohmann::json oneSlot = configuration(2, {"k1"});
        oneSlot["services"][1]["engine"]["slots"] = 1;
        store.put("config", "main", oneSlot);
        StandinReplica &replica =
            startReplica("i-1", [this](const auto &request, const auto &sink) {
                auto timer = std::make_shared<boost::asio::steady_timer>(io, 200ms);
                timer->async_wait([timer, request, sink](const boost::system::error_code & /*ec*/) {
                    answerOk(request, sink);
                });
            });
        replica.models = {"m"};
        nlohmann::json entry = replica.entry("llm");
        entry["slots"] = 1;
        store.put("servers", "i-1", entry);
    }

    static nlohmann::json route(const std::string &name, int priority, int goalMs, int timeoutMs)
    {
        return {{"name", name},         {"host", "h"},          {"prefix", "/" + name + "/"},
                {"kind", "idempotent"}, {"service", "llm"},     {"attempts", 2},
                {"goalMs", goalMs},     {"priority", priority}, {"timeoutMs", timeoutMs}};
    }

    // Lists further instances, which can't be reached. Four to a slot make the pool contended.
    void listInstances(int count)
    {
        for (int i = 0; i < count; ++i) {
            store.put("instances", "front-" + std::to_string(i + 2),
                      {{"zone", "z2"}, {"peer", "127.0.0.1:" + std::to_string(takeFreePort())}});
        }
    }

    void runFor(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    void sendBurst()
    {
        callUntilStatus(200, "/patient/x", "m");
        // Until the instance has the lease and the loads are known.
        runFor(3s);
        for (int i = 0; i < 60; ++i) {
            patient.push_back(call("/patient/x", "m"));
        }
        runFor(50ms);
        urgent = call("/urgent/x", "m");
        runFor(200ms);
    }

    int countStatus(int status) const
    {
        return static_cast<int>(std::count_if(patient.begin(), patient.end(), [&](const auto &it) {
            return it->status == status;
        }));
    }

    std::vector<std::shared_ptr<CallerAnswer>> patient;
    std::shared_ptr<CallerAnswer> urgent;
};

} // namespace

TEST_CASE_FIXTURE(WaitingOrderFixture,
                  "in a contended pool, what gets no slot in time is refused at once")
{
    listInstances(3);
    sendBurst();
    // Of 60 requests, 25 can run in 5 s.
    CHECK(countStatus(503) >= 25);
    std::set<std::string> retries;
    for (const auto &it : patient) {
        if (it->status == 503) {
            retries.insert(it->retryAfter);
        }
    }
    CHECK(retries.size() >= 10);
    runFor(1s);
    CHECK(urgent->status == 200);
    const int refusedAtOnce = countStatus(503);
    runFor(6s);
    // One every 200 ms: nine get their first byte within the objective of 2 s.
    CHECK(countStatus(200) >= 8);
    CHECK(countStatus(503) <= refusedAtOnce + 2);
}

// Guards against a change for deployments in which an instance's own requests tell enough.
TEST_CASE_FIXTURE(WaitingOrderFixture, "in other pools all requests wait by priority and arrival")
{
    listInstances(2);
    sendBurst();
    CHECK(countStatus(503) == 0);
    runFor(1s);
    CHECK(urgent->status == 200);
    CHECK(countStatus(503) == 0);
    CHECK(daemonMetrics->counterValue("marigoldspool_admission_turns_waited_total") == 0);
}
