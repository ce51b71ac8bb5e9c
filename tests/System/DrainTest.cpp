#include "System/Fleet.h"
#include "System/Wait.h"

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

constexpr Milliseconds Deadline{10'000};
// "After a few seconds" of the requirements.
constexpr Milliseconds DrainLimit{5'000};
constexpr Milliseconds ObservedTime{1'500};
// Longer than the drain limit and the observed time at 5 ms a token.
constexpr int LongTokens = 1'600;

struct Fixture {
    Fixture()
    {
        addCommonRules(fleet);
        fleet.addRule(
            "model assistant version=1 memory=14GiB kv=2GiB min-replicas=2 max-replicas=2");
        for (const std::string zone : {"a", "b"}) {
            fleet.addEngine("engine-" + zone, "zone-" + zone,
                            "memory=80GiB slots=16 fresh-slots=16 fencing=checked",
                            {"--slots=16", "--load-time=200ms", "--token-time=5ms"});
            fleet.addService("app-" + zone, "zone-" + zone, "slots=16 fresh-slots=16",
                             {"--run-time=5ms"});
            fleet.addInstance(zone + "1", "zone-" + zone);
            fleet.addInstance(zone + "2", "zone-" + zone);
        }
        REQUIRE(fleet.apply());
        fleet.waitReady(chatCall(1, false, Deadline));
        fleet.waitReady(serviceCall("/charts", Deadline));
    }

    void callFrom(std::size_t caller)
    {
        const std::string &instance = fleet.instances()[caller / 2 % fleet.instances().size()];
        const Call call =
            caller % 2 == 0 ? serviceCall("/charts", Deadline) : chatCall(4, false, Deadline);
        Answer answer = callOnce(fleet.address(instance), call);
        if (answer.status != 200 || !answer.whole) {
            failures.add(std::move(answer));
        }
        // Bounds the number of connections of the test.
        std::this_thread::sleep_for(Milliseconds(10));
    }

    std::uint64_t runs(const std::string &endpoint) const
    {
        return fleet.counts(endpoint).at("runs_total").get<std::uint64_t>();
    }

    int running(const std::string &engine) const
    {
        Call call;
        call.target = "/engine/status";
        const Json status = Json::parse(callOnce(fleet.address(engine), call).body);
        return status.at("running").get<int>();
    }

    bool getsWork(const std::string &endpoint, Milliseconds limit) const
    {
        const std::uint64_t before = runs(endpoint);
        return waitUntil(limit, [&] {
            return runs(endpoint) > before;
        });
    }

    // No run begins during the observed time, from at most the drain limit on.
    void checkGetsNoWork(const std::vector<std::string> &endpoints) const
    {
        const auto sum = [&] {
            std::uint64_t total = 0;
            for (const std::string &endpoint : endpoints) {
                total += runs(endpoint);
            }
            return total;
        };
        std::uint64_t last = sum();
        auto quietSince = std::chrono::steady_clock::now();
        const auto changedAt = quietSince;
        waitUntil(DrainLimit + ObservedTime, [&] {
            const auto now = std::chrono::steady_clock::now();
            const std::uint64_t total = sum();
            if (total != last) {
                last = total;
                quietSince = now;
            }
            return now - quietSince >= ObservedTime;
        });
        const auto tookMs =
            std::chrono::duration_cast<Milliseconds>(quietSince - changedAt).count();
        MESSAGE(endpoints.front() << ": last new run " << tookMs << " ms after the change");
        CHECK(quietSince - changedAt <= DrainLimit);
        CHECK(sum() == last);
    }

    void checkNoFailures()
    {
        for (const Answer &answer : failures.take()) {
            FAIL_CHECK("status " << answer.status << " whole " << answer.whole << " after "
                                 << answer.took.count() << " ms: " << answer.body.substr(0, 400));
        }
    }

    Fleet fleet;
    AnswerLog failures;
};

// A stream that runs in the given zone while it is drained.
class LongStreams
{
public:
    explicit LongStreams(const Fleet &fleet)
    {
        for (const std::string &id : fleet.instances()) {
            m_threads.emplace_back([this, &fleet, id] {
                m_answers.add(
                    callOnce(fleet.address(id), chatCall(LongTokens, true, Milliseconds(20'000))));
            });
        }
    }
    ~LongStreams() { join(); }

    void checkWhole()
    {
        join();
        for (const Answer &answer : m_answers.take()) {
            INFO("status " << answer.status << " after " << answer.took.count() << " ms");
            CHECK(answer.whole);
            CHECK(answer.body.find("data: [DONE]") != std::string::npos);
        }
    }

private:
    void join()
    {
        for (std::thread &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    AnswerLog m_answers;
    std::vector<std::thread> m_threads;
};

// Long streams and short calls, all of which have to end well whatever the test takes out.
struct Load {
    Load()
    {
        REQUIRE(waitUntil(Deadline, [&] {
            return fixture.running("engine-a") > 0;
        }));
        callers.emplace(8, [&](std::size_t caller) {
            fixture.callFrom(caller);
        });
        REQUIRE(fixture.getsWork("app-a", Deadline));
        REQUIRE(fixture.getsWork("engine-a", Deadline));
    }

    void checkWhole()
    {
        callers->stop();
        fixture.checkNoFailures();
        streams.checkWhole();
    }

    Fixture fixture;
    LongStreams streams{fixture.fleet};
    std::optional<CallerPool> callers;
};

} // namespace

// Guards against new work in a drained zone, requests that a drain interrupts or refuses while
// another zone serves, and a zone that stays unused after its return (P7).
TEST_CASE("a drained zone gets no new work, finishes what runs and comes back")
{
    Load load;
    Fixture &fixture = load.fixture;
    fixture.fleet.changeRules("zone zone-a state=serving", "zone zone-a state=drained");
    REQUIRE(fixture.fleet.apply());
    fixture.checkGetsNoWork({"app-a", "engine-a"});
    fixture.fleet.changeRules("zone zone-a state=drained", "zone zone-a state=serving");
    REQUIRE(fixture.fleet.apply());
    CHECK(fixture.getsWork("app-a", DrainLimit));
    CHECK(fixture.getsWork("engine-a", DrainLimit));
    load.checkWhole();
}

// Guards against new work for an endpoint that leaves, by rule or by the platform's list (P11).
TEST_CASE("a leaving endpoint gets no new work and finishes what runs")
{
    Load load;
    Fixture &fixture = load.fixture;
    fixture.fleet.changeRules("endpoint engine-a ", "endpoint engine-a state=leaving ");
    REQUIRE(fixture.fleet.apply());
    fixture.checkGetsNoWork({"engine-a"});
    fixture.fleet.setPlatformState("app-a", "leaving");
    fixture.checkGetsNoWork({"app-a"});
    fixture.fleet.setPlatformState("app-a", "live");
    CHECK(fixture.getsWork("app-a", DrainLimit));
    load.checkWhole();
}
