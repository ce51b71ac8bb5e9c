// Endpoints whose processes end at an announced time.
#include "marigoldspool/Serving/EndpointDirectory.h"

#include <algorithm>
#include <map>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

class NoticeFixture
{
public:
    NoticeFixture()
        : directory(ZoneName("z1"), clock)
    { }

    void list(std::optional<Duration> lifetime, bool leaving = true, std::int64_t startedAtMs = 1)
    {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId("e");
        endpoint.leaving = leaving;
        endpoint.startedAtMs = startedAtMs;
        endpoint.remainingLifetime = lifetime;
        directory.apply(endpoint);
    }

    std::optional<Duration> left(std::int64_t startedAtMs = 1) const
    {
        const auto end = directory.endOf({EndpointId("e"), startedAtMs});
        return end ? std::make_optional(end->at - clock.now()) : std::nullopt;
    }

    ManualClock clock;
    EndpointDirectory directory;
};

} // namespace

// An older entry from a restored store must not make instances believe that the process lives on.
TEST_CASE_FIXTURE(NoticeFixture, "no entry moves the announced end of a process to a later time")
{
    list(5s);
    clock.advance(3s);
    list(5s);
    CHECK(left() == 2s);
    list(std::nullopt);
    CHECK(left() == 2s);
    list(1500ms);
    CHECK(left() == 1500ms);
    CHECK_FALSE(directory.isAtEnd(EndpointId("e")));
    clock.advance(600ms);
    CHECK(directory.isAtEnd(EndpointId("e")));
    CHECK_FALSE(left(2));
    list(std::nullopt, true, 2);
    CHECK_FALSE(left(2));
}

TEST_CASE_FIXTURE(NoticeFixture, "an endpoint that is taken back has no end, and may get another")
{
    list(2s);
    list(std::nullopt, false);
    CHECK_FALSE(left());
    CHECK_FALSE(directory.isLeaving(EndpointId("e")));
    clock.advance(10s);
    list(4s);
    CHECK(left() == 4s);
}

TEST_CASE("the streams of an endpoint that ends are moved at different times")
{
    constexpr int Streams = 400;
    const SteadyTime at{100s};
    for (const Duration notice : {20'000ms, 800ms}) {
        CAPTURE(notice.count());
        const SteadyTime first = std::max(at - 1300ms, at - notice);
        const Duration window = at - 400ms - first;
        std::map<int, int> movesInTenth;
        for (int i = 0; i < Streams; ++i) {
            const EndingStream stream{
                {at, at - notice}, RequestId("r" + std::to_string(i)), SteadyTime{70s}, {}};
            const SteadyTime moved = moveTime(stream);
            CHECK(moved >= first);
            CHECK(moved <= at - 400ms);
            ++movesInTenth[static_cast<int>((moved - first) * 10 / window)];
            CHECK_FALSE(isMoveDue(stream, moved - 1ms));
            CHECK(isMoveDue(stream, moved));
            CHECK_FALSE(isMoveDue(stream, at));
        }
        for (const auto &[tenth, moves] : movesInTenth) {
            CHECK(moves < Streams / 5);
        }
    }
}

// A move costs a retry and a pause, so a stream that finishes in time stays.
TEST_CASE("a stream that is expected to finish before the endpoint does is not moved")
{
    const SteadyTime at{100s};
    EndingStream stream{{at, at - 20s}, RequestId("r"), at - 2s, 1900ms};
    CHECK_FALSE(isMoveDue(stream, at - 300ms));
    CHECK(isMoveDue(stream, at - 50ms));
    stream.expectedRun = 2500ms;
    CHECK(isMoveDue(stream, at - 300ms));
}
