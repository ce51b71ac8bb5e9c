#ifndef MARIGOLDSPOOL_SERVING_USAGETALLY_H
#define MARIGOLDSPOOL_SERVING_USAGETALLY_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/WindowClock.h"

#include <cstdint>
#include <map>

namespace marigoldspool {

/// Counts the requests of this instance, by workspace, in the window in which they began to run.
///
/// A stream begins to run with its first event. Any other request does so when it is sent, which
/// counts once it may have run; until then it is pending.
class UsageTally
{
public:
    /// Windows before the current one that report() contains.
    static constexpr std::int64_t ReportedWindows = 4;
    /// A window is not final before this time after its end.
    static constexpr Duration FinalAfter = std::chrono::milliseconds(300);

    /// See WindowClock for \p clock and \p windowLength.
    UsageTally(const Clock &clock, Duration windowLength);

    WindowClock &windows() { return m_windows; }
    const WindowClock &windows() const { return m_windows; }

    void onFirstEvent(const WorkspaceName &workspace);
    /// Returns a number that identifies the pending request, never 0.
    std::uint64_t onSent(const WorkspaceName &workspace);
    /// The pending request has run or may have run.
    void onRun(std::uint64_t pending);
    /// An endpoint has refused the pending request, or could not be reached.
    void onNotRun(std::uint64_t pending);
    /// The counts of the current window and of the last ones.
    RequestStarts report();

private:
    struct PendingRequest {
        WorkspaceName workspace;
        std::int64_t window = 0;
        SteadyTime sentAt;
    };
    using Counts = std::map<WorkspaceName, std::uint64_t>;

    bool isReported(std::int64_t window) const;
    void add(const WorkspaceName &workspace, std::int64_t window);

    WindowClock m_windows;
    std::map<std::int64_t, Counts> m_counts;
    std::map<std::uint64_t, PendingRequest> m_pending;
    std::uint64_t m_lastPending = 0;
};

} // namespace marigoldspool

#endif
