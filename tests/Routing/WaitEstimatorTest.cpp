#include "marigoldspool/Routing/WaitEstimator.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

TEST_CASE("a steady run time has the least margin")
{
    WaitEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.onFinished(20, 2000ms);
    }
    CHECK(toMilliseconds(*estimator.runTimeBound(20)) == 2500);
    CHECK(toMilliseconds(*estimator.estimateWait(20, 1)) == 2000);
}

// Guards against short runs that are sent so late that a pause of the machine ends them: one of
// 6,226 refused requests under overload and varying load was left with an unknown outcome.
TEST_CASE("short runs are left their own time again")
{
    WaitEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.onFinished(20, 200ms);
    }
    CHECK(toMilliseconds(*estimator.runTimeBound(20)) == 400);
    CHECK(toMilliseconds(*estimator.runTimeBound(100)) == 1250);
}

// Guards against requests that are sent with too little time left while run times vary widely, as
// on a busy machine, and expire at the endpoint with an unknown outcome.
TEST_CASE("the bound of a run covers how widely runs vary")
{
    WaitEstimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.onFinished(20, i % 2 == 0 ? 100ms : 300ms);
    }
    CHECK(*estimator.runTimeBound(20) > 300ms);
}

// Guards against a prediction that learns from the fast requests only: those that expired at their
// endpoint have no answer to measure.
TEST_CASE("requests that were given up after the expected time count, earlier ones do not")
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
