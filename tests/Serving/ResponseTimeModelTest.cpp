#include "marigoldspool/Serving/ResponseTimeModel.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("engines");

Duration firstByteAt(int tokens, double baseSeconds, double secondsPerToken)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(baseSeconds + secondsPerToken * tokens));
}

} // namespace

TEST_CASE("the time to the first byte is learned from prompts of different lengths")
{
    ResponseTimeModel model;
    for (int i = 0; i < 300; ++i) {
        model.onFirstByte(Pool, 650, firstByteAt(650, 0.08, 0.00005));
        model.onFirstByte(Pool, 9000, firstByteAt(9000, 0.08, 0.00005));
    }
    CHECK(toSeconds(model.expectedFirstByte(Pool, 650)) == doctest::Approx(0.1125).epsilon(0.1));
    CHECK(toSeconds(model.expectedFirstByte(Pool, 9000)) == doctest::Approx(0.53).epsilon(0.1));
    CHECK(model.promptSeconds(Pool, 10'000) == doctest::Approx(0.5).epsilon(0.1));
}

// Guards against taking a loaded pool for a slow one: then no engine would look delayed.
TEST_CASE("responses that other requests delay hardly change the expected first byte")
{
    ResponseTimeModel model;
    for (int i = 0; i < 400; ++i) {
        const Duration delay = i % 3 == 0 ? 400ms : 0ms;
        model.onFirstByte(Pool, 650, 112ms + delay);
    }
    CHECK(model.expectedFirstByte(Pool, 650) < 180ms);
}

TEST_CASE("the cost of a request follows the responses of its pool")
{
    ResponseTimeModel model;
    CHECK(model.requestCosts().empty());
    CHECK(model.expectedFirstByte(Pool, 650) == Duration::zero());
    for (int i = 0; i < 200; ++i) {
        model.onFirstByte(Pool, 500, firstByteAt(500, 0.08, 0.0001));
        model.onFirstByte(Pool, 1500, firstByteAt(1500, 0.08, 0.0001));
        model.onResponse(Pool, 500, 900ms);
        model.onResponse(Pool, 1500, 1100ms);
    }
    const RequestCost cost = model.requestCosts().at(Pool);
    CHECK(cost.runSeconds == doctest::Approx(1.0).epsilon(0.1));
    CHECK(cost.promptSeconds == doctest::Approx(0.1).epsilon(0.15));
}
