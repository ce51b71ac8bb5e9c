#include "marigoldspool/Serving/DemandAggregator.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

TEST_CASE("the measured rate follows the demand and decays to nothing when the demand ends")
{
    ManualClock clock;
    DemandTracker tracker(clock);
    const DemandKey key{PoolName("p"), ModelName("m"), {}};
    for (int i = 0; i < 200; ++i) {
        tracker.onArrival(key);
        clock.advance(100ms);
    }
    CHECK(tracker.recent().at(key).requestsPerSecond == doctest::Approx(10).epsilon(0.1));
    clock.advance(60s);
    CHECK(tracker.recent().empty());
}

// Guards against a new placement owner that unloads busy models because it knows no demand yet: in
// a benchmark one unloaded the busiest model within 300 ms.
TEST_CASE("one report from each instance gives the whole demand")
{
    ManualClock clock;
    DemandTracker first(clock);
    DemandTracker second(clock);
    const DemandKey key{PoolName("p"), ModelName("m"), {}};
    for (int i = 0; i < 100; ++i) {
        first.onArrival(key);
        second.onArrival(key);
        second.onArrival(key);
        clock.advance(200ms);
    }
    DemandAggregator aggregator(clock);
    aggregator.onReport(InstanceId("i1"), first.report({}));
    aggregator.onReport(InstanceId("i2"), second.report({}));
    CHECK(aggregator.demandFor(key).requestsPerSecond == doctest::Approx(15).epsilon(0.1));
    // A new report replaces the previous one of its instance and is not added to it.
    aggregator.onReport(InstanceId("i2"), second.report({}));
    CHECK(aggregator.demandFor(key).requestsPerSecond == doctest::Approx(15).epsilon(0.1));
}

// Guards against models being loaded in the wrong order because their oldest or most urgent request
// is not reported.
TEST_CASE("a report has the number, longest wait and highest priority of waiting requests")
{
    ManualClock clock;
    DemandTracker tracker(clock);
    const DemandKey requestedKey{PoolName("p"), ModelName("asked"), {}};
    const DemandKey waitingKey{PoolName("p"), ModelName("waited"), "a"};
    tracker.onArrival(requestedKey);
    const std::vector<WaitingRequest> waiting{{waitingKey, 300ms, 200ms, 2},
                                              {waitingKey, 700ms, -200ms, 1},
                                              {waitingKey, 100ms, 400ms, 3}};
    const DemandReport report = tracker.report(waiting);
    REQUIRE(report.models.size() == 2);
    CHECK(report.models[0].model == ModelName("asked"));
    CHECK(report.models[0].waiting == 0);
    CHECK(report.models[1].adapter == "a");
    CHECK(report.models[1].waiting == 3);
    CHECK(report.models[1].oldestWaitMs == 700);
    CHECK(report.models[1].dueInMs == 400);
    CHECK(report.models[1].priority == 1);
}

TEST_CASE("waiting requests of an instance that stops reporting are dropped")
{
    ManualClock clock;
    DemandAggregator aggregator(clock);
    ReportedDemand item;
    item.pool = "p";
    item.model = ModelName("m");
    item.waiting = 3;
    item.oldestWaitMs = 400;
    item.priority = 1;
    aggregator.onReport(InstanceId("i1"), {0, {item}});
    const DemandKey key{PoolName("p"), ModelName("m"), {}};
    CHECK(aggregator.demandFor(key).waiting == 3);
    CHECK(clock.now() - aggregator.demandFor(key).oldestWaitingSince == 400ms);
    clock.advance(4s);
    aggregator.onTick();
    CHECK(aggregator.demandFor(key).waiting == 0);
}

// Guards against copies that come too late: a model's demand rose from 0.6 to 25 requests/s within
// ten seconds in a day of the bench, and its copies followed the smoothed rate.
TEST_CASE("rising demand is expected to rise further, and steady demand is not")
{
    ManualClock clock;
    DemandAggregator aggregator(clock);
    const DemandKey rising{PoolName("p"), ModelName("rising"), {}};
    const DemandKey steady{PoolName("p"), ModelName("steady"), {}};
    double rate = 2;
    const auto report = [&] {
        ReportedDemand first;
        first.pool = "p";
        first.model = rising.model;
        first.requestsPerSecond = rate;
        ReportedDemand second = first;
        second.model = steady.model;
        second.requestsPerSecond = 10;
        aggregator.onReport(InstanceId("i1"), {0, {first, second}});
    };
    const auto runSeconds = [&](int seconds, double risePerSecond) {
        for (int i = 0; i < seconds * 4; ++i) {
            rate += risePerSecond / 4;
            report();
            clock.advance(250ms);
            aggregator.onTick();
        }
    };
    // A new owner learns all rates within its first seconds, which is no rise.
    runSeconds(3, 0);
    CHECK(aggregator.demandFor(rising).expectedRequestsPerSecond == doctest::Approx(2));
    runSeconds(6, 2);
    CHECK(aggregator.demandFor(rising).expectedRequestsPerSecond > rate + 4);
    CHECK(aggregator.demandFor(rising).expectedRequestsPerSecond < 2 * rate);
    CHECK(aggregator.demandFor(steady).expectedRequestsPerSecond == doctest::Approx(10));
    runSeconds(20, 0);
    CHECK(aggregator.demandFor(rising).expectedRequestsPerSecond
          == doctest::Approx(rate).epsilon(0.05));
}

TEST_CASE("requests that wait for a slot are summed apart from those that wait for a load")
{
    ManualClock clock;
    DemandTracker tracker(clock);
    DemandAggregator aggregator(clock);
    const DemandKey key{PoolName("p"), ModelName("m"), {}};
    const std::vector<WaitingRequest> waiting{{key, 2s, 1s, 0, true}, {key, 1s, 1s, 0, false}};
    aggregator.onReport(InstanceId("i1"), tracker.report(waiting));
    aggregator.onReport(InstanceId("i2"), tracker.report(waiting));
    CHECK(aggregator.demandFor(key).waitingForSlot == 2);
    CHECK(aggregator.demandFor(key).waiting == 2);
    CHECK(aggregator.demandFor(key).oldestWaitingSince == clock.now() - 1s);
    CHECK(aggregator.isReporting(InstanceId("i2")));
    clock.advance(4s);
    aggregator.onTick();
    CHECK_FALSE(aggregator.isReporting(InstanceId("i2")));
}
