#include "marigoldspool/Routing/WaitEstimator.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

TEST_CASE("a constant run time gets the minimum margin")
{
    WaitEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.onFinished(20, 2000ms);
    }
    CHECK(toMilliseconds(*estimator.runTimeBound(20)) == 2500);
    CHECK(toMilliseconds(*estimator.estimateWait(20, 1)) == 2000);
}

// Guards against short runs that are sent so late that a stall of the machine makes them expire:
// one of 6,226 refused requests under overload and varying load had an unknown outcome.
TEST_CASE("short runs get a margin of their own length")
{
    WaitEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.onFinished(20, 200ms);
    }
    CHECK(toMilliseconds(*estimator.runTimeBound(20)) == 400);
    CHECK(toMilliseconds(*estimator.runTimeBound(100)) == 1250);
}

// Guards against requests that are sent with too little time left when run times vary widely, as on
// a busy machine, and expire at the endpoint with an unknown outcome.
TEST_CASE("the run time bound covers the variation of run times")
{
    WaitEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.onFinished(20, i % 2 == 0 ? 100ms : 300ms);
    }
    CHECK(*estimator.runTimeBound(20) > 300ms);
}

// Guards against a prediction that counts only requests that were answered: those that expired at
// their endpoint were not measured.
TEST_CASE("aborted requests count as samples only if they ran longer than predicted")
{
    WaitEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.onFinished(20, 2s);
    }
    estimator.onAborted(20, 500ms);
    CHECK(toMilliseconds(*estimator.runTimeBound(20)) == 2500);
    estimator.onAborted(20, 4s);
    CHECK(*estimator.runTimeBound(20) >= 3s);
}
