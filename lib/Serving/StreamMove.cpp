#include "marigoldspool/Serving/StreamMove.h"

#include <algorithm>
#include <functional>
#include <string>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// A trial at the next endpoint takes up to 200 ms. Instances look for due moves every 100 ms, so
// that the last moves begin 300 ms before the end.
constexpr Duration FirstMoveBeforeEnd = milliseconds(1300);
constexpr Duration LastMoveBeforeEnd = milliseconds(400);
constexpr std::size_t PhaseCount = 1024;

} // namespace

SteadyTime moveTime(const EndingStream &stream)
{
    const SteadyTime last = stream.end.at - LastMoveBeforeEnd;
    const SteadyTime first = std::max(stream.end.at - FirstMoveBeforeEnd, stream.end.knownSince);
    if (first >= last) {
        return first;
    }
    const std::size_t phase = std::hash<std::string>()(stream.id.str()) % PhaseCount;
    return first
        + (last - first) * static_cast<Duration::rep>(phase)
        / static_cast<Duration::rep>(PhaseCount);
}

bool isMoveDue(const EndingStream &stream, SteadyTime now)
{
    if (now < moveTime(stream) || now >= stream.end.at) {
        return false;
    }
    // A stream that has exceeded the mean run time may go on for any time.
    const SteadyTime expectedEnd = stream.sentAt + stream.expectedRun;
    return expectedEnd <= now || expectedEnd > stream.end.at;
}

} // namespace marigoldspool
