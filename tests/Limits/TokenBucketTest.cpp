#include "marigoldspool/Limits/TokenBucket.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

TEST_CASE("a bucket never holds more than its capacity, however long it is unused")
{
    const SteadyTime start(1000s);
    TokenBucket bucket(10, 50, 0, start);
    CHECK(bucket.level(start + 2s) == doctest::Approx(20));
    CHECK(bucket.level(start + 1h) == doctest::Approx(50));
    CHECK(bucket.tryTake(50, start + 1h));
    CHECK_FALSE(bucket.tryTake(1, start + 1h));
}

TEST_CASE("a time before the last one adds no tokens")
{
    const SteadyTime start(1000s);
    TokenBucket bucket(10, 50, 50, start);
    CHECK(bucket.tryTake(50, start + 10s));
    CHECK_FALSE(bucket.tryTake(1, start + 5s));
    CHECK(bucket.level(start + 11s) == doctest::Approx(10));
}

TEST_CASE("a smaller capacity takes effect at once and a larger one adds no tokens")
{
    const SteadyTime start(1000s);
    TokenBucket bucket(10, 50, 50, start);
    bucket.reconfigure(1, 5, start);
    CHECK(bucket.level(start) == doctest::Approx(5));
    bucket.reconfigure(10, 50, start);
    CHECK(bucket.level(start) == doctest::Approx(5));
}

TEST_CASE("the wait for more than the capacity is unbounded")
{
    const SteadyTime start(1000s);
    const TokenBucket bucket(10, 50, 0, start);
    CHECK(bucket.timeUntil(20, start) == 2s);
    CHECK(bucket.timeUntil(51, start) == Duration::max());
    CHECK(bucket.timeUntil(0, start) == Duration::zero());
}
