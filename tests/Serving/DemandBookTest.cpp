#include "marigoldspool/Serving/DemandBook.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

TEST_CASE("the tracked rate follows the demand and forgets it when it moves on")
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

// A new owner that knew no demand dropped the busiest model of a bench day within 300 ms.
TEST_CASE("one report of each instance is enough to know the whole demand")
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
    DemandBook book(clock);
    book.onReport(InstanceId("i1"), first.report({}));
    book.onReport(InstanceId("i2"), second.report({}));
    CHECK(book.of(key).rate == doctest::Approx(15).epsilon(0.1));
    // Reports replace each other and do not add up.
    book.onReport(InstanceId("i2"), second.report({}));
    CHECK(book.of(key).rate == doctest::Approx(15).epsilon(0.1));
}

// Guards against models that wait for the wrong order because their oldest or most urgent request
// is not told.
TEST_CASE("a report tells how many wait, for how long and how urgently")
{
    ManualClock clock;
    DemandTracker tracker(clock);
    const DemandKey asked{PoolName("p"), ModelName("asked"), {}};
    const DemandKey waited{PoolName("p"), ModelName("waited"), "a"};
    tracker.onArrival(asked);
    const std::vector<WaitingRequest> waiting{
        {waited, 300ms, 2}, {waited, 700ms, 1}, {waited, 100ms, 3}};
    const DemandReport report = tracker.report(waiting);
    REQUIRE(report.models.size() == 2);
    CHECK(report.models[0].model == ModelName("asked"));
    CHECK(report.models[0].waiting == 0);
    CHECK(report.models[1].adapter == "a");
    CHECK(report.models[1].waiting == 3);
    CHECK(report.models[1].oldestWaitMs == 700);
    CHECK(report.models[1].priority == 1);
}

TEST_CASE("the waiting requests of an instance that falls silent are forgotten")
{
    ManualClock clock;
    DemandBook book(clock);
    ReportedDemand item;
    item.pool = "p";
    item.model = ModelName("m");
    item.waiting = 3;
    item.oldestWaitMs = 400;
    item.priority = 1;
    book.onReport(InstanceId("i1"), {0, {item}});
    const DemandKey key{PoolName("p"), ModelName("m"), {}};
    CHECK(book.of(key).waiting == 3);
    CHECK(clock.now() - book.of(key).oldest == 400ms);
    clock.advance(4s);
    book.onTick();
    CHECK(book.of(key).waiting == 0);
}
