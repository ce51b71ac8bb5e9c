#include "System/Fleet.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

constexpr Milliseconds Deadline{1'500};
// Allows for a busy machine, not for a late answer of the instance.
constexpr Milliseconds SchedulingMargin{500};
constexpr int Tokens = 20;
// Two engines with 4 slots, 20 tokens of 10 ms: 40 calls/s. The callers offer about 8 times that.
// Several times what the two engines serve: about 40 calls a second.
constexpr std::size_t Callers = 192;
constexpr Milliseconds BetweenCalls{100};

struct Times {
    std::vector<Milliseconds> all;

    Milliseconds at(double part)
    {
        std::sort(all.begin(), all.end());
        if (all.empty()) {
            return Milliseconds(0);
        }
        return all[std::min(all.size() - 1,
                            static_cast<std::size_t>(part * static_cast<double>(all.size())))];
    }
};

struct Totals {
    Times served;
    Times refused;
    std::map<std::string, int> reasons;
};

void checkRefusal(const Answer &answer, Totals &totals)
{
    const std::string reason = answer.errorField("code");
    ++totals.reasons[reason];
    totals.refused.all.push_back(answer.took);
    CHECK_FALSE(reason.empty());
    CHECK(answer.errorField("ran") == "no");
    CHECK(answer.retryAfterMs() > 0);
}

Totals checkAll(std::vector<Answer> answers)
{
    Totals totals;
    for (const Answer &answer : answers) {
        INFO("status " << answer.status << " after " << answer.took.count() << " ms "
                       << answer.body.substr(0, 400));
        CHECK(answer.whole);
        CHECK(answer.took <= Deadline + SchedulingMargin);
        if (answer.status == 200) {
            totals.served.all.push_back(answer.took);
        } else {
            checkRefusal(answer, totals);
        }
    }
    return totals;
}

struct Overload {
    Overload()
    {
        addCommonRules(fleet);
        fleet.addRule(
            "model assistant version=1 memory=14GiB kv=2GiB min-replicas=2 max-replicas=2");
        for (const std::string zone : {"a", "b"}) {
            fleet.addService("app-" + zone, "zone-" + zone, "slots=4", {});
            fleet.addEngine("engine-" + zone, "zone-" + zone,
                            "memory=80GiB slots=4 fresh-slots=4 fencing=checked",
                            {"--slots=4", "--load-time=200ms", "--token-time=10ms"});
            fleet.addInstance(zone + "1", "zone-" + zone);
            fleet.addInstance(zone + "2", "zone-" + zone);
        }
        REQUIRE(fleet.apply());
        fleet.waitReady(chatCall(1, false, Milliseconds(10'000)));
    }

    void run(Milliseconds time)
    {
        CallerPool callers(Callers, [this](std::size_t caller) {
            const std::string &instance = fleet.instances()[caller % fleet.instances().size()];
            log.add(callOnce(fleet.address(instance), chatCall(Tokens, false, Deadline)));
            std::this_thread::sleep_for(BetweenCalls);
        });
        std::this_thread::sleep_for(time);
        callers.stop();
    }

    Fleet fleet;
    AnswerLog log;
};

} // namespace

// Guards against requests that wait until their deadline although they cannot be served, refusals
// without a time to retry after, and requests that get no answer under overload (P3).
TEST_CASE("under overload each request is served or refused by its deadline")
{
    Overload overload;
    const auto began = std::chrono::steady_clock::now();
    overload.run(Milliseconds(6'000));
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    Totals totals = checkAll(overload.log.take());
    for (const std::string engine : {"engine-a", "engine-b"}) {
        const Json counts = overload.fleet.counts(engine);
        MESSAGE(engine << ": completed " << counts.at("completed") << ", at once at most "
                       << counts.at("greatest_concurrency"));
    }
    MESSAGE("served " << totals.served.all.size() << " ("
                      << static_cast<double>(totals.served.all.size()) / took.count() << "/s), p50 "
                      << totals.served.at(0.5).count() << " ms, max " << totals.served.at(1).count()
                      << " ms; refused " << totals.refused.all.size() << ", p50 "
                      << totals.refused.at(0.5).count() << " ms, p99 "
                      << totals.refused.at(0.99).count() << " ms, reasons "
                      << Json(totals.reasons).dump());
    CHECK(totals.served.all.size() > 100);
    CHECK(totals.refused.all.size() > totals.served.all.size());
    // Most of the refusals come long before the deadline: the wait is predicted.
    CHECK(totals.refused.at(0.9) <= Deadline / 3);
}

// Guards against a loaded replica that stays without work while the replica in another zone is
// overloaded and requests are refused.
TEST_CASE("under overload the replicas of a model in all zones take work")
{
    Overload overload;
    overload.run(Milliseconds(3'000));
    for (const std::string engine : {"engine-a", "engine-b"}) {
        const Json counts = overload.fleet.counts(engine);
        REQUIRE(counts.at("loads").get<int>() == 1);
        CHECK_MESSAGE(counts.at("completed").get<int>() > 0, engine << " got no work");
    }
}
