// Endpoints whose processes end at an announced time.
#include "marigoldspool/Serving/EndpointDirectory.h"

#include <algorithm>
#include <map>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

// An older entry from a restored store must not make instances believe that the process lives on.
TEST_CASE("no entry moves the announced end of a process to a later time")
{
    ManualClock clock;
    EndpointDirectory directory(ZoneName("z1"), clock);
    const auto list = [&](std::optional<Duration> lifetime, std::int64_t startedAtMs = 1) {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId("e");
        endpoint.leaving = true;
        endpoint.startedAtMs = startedAtMs;
        endpoint.remainingLifetime = lifetime;
        directory.apply(endpoint);
        const auto end = directory.endOf({endpoint.id, 1});
        return end ? std::make_optional(end->at - clock.now()) : std::nullopt;
    };
    CHECK(list(5s) == 5s);
    clock.advance(3s);
    CHECK(list(5s) == 2s);
    CHECK(list(std::nullopt) == 2s);
    CHECK(list(1500ms) == 1500ms);
    CHECK_FALSE(list(std::nullopt, 2));
}

TEST_CASE("the streams of an endpoint that ends are moved at different times")
{
    constexpr int Streams = 400;
    const SteadyTime at{100s};
    std::map<Duration::rep, int> movesInTenth;
    for (int i = 0; i < Streams; ++i) {
        const Duration notice = i < Streams / 2 ? 20s : 800ms;
        const EndingStream stream{
            {at, at - notice}, RequestId("r" + std::to_string(i)), SteadyTime{70s}, {}};
        const SteadyTime moved = moveTime(stream);
        const SteadyTime first = at - std::min<Duration>(1300ms, notice);
        CHECK((moved >= first && moved <= at - 400ms));
        CHECK((isMoveDue(stream, moved) && !isMoveDue(stream, moved - 1ms)));
        ++movesInTenth[(moved - first) * 10 / (at - 400ms - first)];
    }
    for (const auto &[tenth, moves] : movesInTenth) {
        CHECK(moves < Streams / 5);
    }
    // A move costs a retry, so a stream that is expected to finish in time stays.
    const EndingStream stream{{at, at - 20s}, RequestId("r"), at - 2s, 1900ms};
    CHECK_FALSE(isMoveDue(stream, at - 300ms));
    CHECK(isMoveDue(stream, at - 50ms));
    CHECK_FALSE(isMoveDue(stream, at));
}
