#ifndef MARIGOLDSPOOL_SERVING_USAGEREPORTS_H
#define MARIGOLDSPOOL_SERVING_USAGEREPORTS_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/UsageTypes.h"
#include "marigoldspool/Serving/WindowClock.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace marigoldspool {

/// The object in the store that has the last reports. A report is sent only after the object has
/// it, so that a later holder repeats it unchanged.
struct UsageLedger {
    /// The era of the store that the writer knew.
    std::uint64_t era = 0;
    std::uint64_t term = 0;
    std::vector<UsageWindowReport> reports;
    /// The store's version of the object; 0 if it does not exist.
    std::uint64_t version = 0;
};

enum class UsageStep {
    Nothing,
    ReadLedger,
    /// Write nextLedger(), conditional on the version that it contains.
    WriteLedger,
    /// Send nextReport().
    SendReport,
};

enum class UsageOutcome {
    Accepted,
    /// Accepted after the report was due.
    AcceptedLate,
    /// A report that an earlier holder may already have sent was accepted.
    AcceptedAgain,
    GivenUp,
};

/// What has become of a window.
struct UsageOutcomeRecord {
    std::int64_t window = 0;
    UsageOutcome outcome = UsageOutcome::Accepted;
    /// Number of consecutive windows from \c window on with this outcome.
    std::int64_t windowCount = 1;
    std::uint64_t requests = 0;
    std::size_t instances = 0;
    /// Listed instances whose counts were not final.
    std::size_t missing = 0;
    /// Time since the end of the window.
    Duration after = Duration::zero();
};

/// Decides at the lease holder which windows are reported, and when.
///
/// The counts of a window must not differ between two reports, also not between those of two
/// holders. A window whose report is in doubt is left out.
class UsageReports
{
public:
    /// \p due is the time after the end of a window at which its report is due.
    UsageReports(const WindowClock &clock, Duration due);

    /// The instances whose counts a report waits for.
    void setMembers(std::set<InstanceId> members) { m_members = std::move(members); }
    void onStarts(const InstanceId &from, std::uint64_t incarnation, const RequestStarts &starts);
    /// The store is in \p era.
    void onEra(std::uint64_t era);
    /// The term of the lease while this instance may send orders, otherwise empty.
    void setTerm(std::optional<std::uint64_t> term);

    /// \p canCall: whether a report may be sent now.
    UsageStep nextStep(bool canCall);
    UsageLedger nextLedger() const { return m_draft; }
    /// The object as read; one that does not exist or is unreadable has no reports.
    void onLedgerRead(const UsageLedger &ledger);
    /// \p era is the one in which the store has made the write.
    void onLedgerWritten(std::uint64_t version, std::uint64_t era);
    /// The read or write failed or found another version. A failed write may have taken effect.
    void onLedgerFailure();
    UsageWindowReport nextReport() const { return m_unanswered.at(m_sentWindow).report; }
    void onAnswer(std::int64_t window, bool isAccepted);

    /// The windows that have become due without an accepted report since the last call.
    std::vector<std::int64_t> takeOverdue() { return std::exchange(m_overdue, {}); }
    std::vector<UsageOutcomeRecord> takeOutcomes() { return std::exchange(m_outcomes, {}); }

private:
    /// One run of an instance.
    using Process = std::pair<InstanceId, std::uint64_t>;
    struct ProcessStarts {
        bool final = false;
        std::vector<WorkspaceCount> counts;
    };
    struct WindowState {
        UsageWindowReport report;
        std::size_t instances = 0;
        std::size_t missing = 0;
        /// Read from the ledger of an earlier holder.
        bool isInherited = false;
        bool isOverdue = false;
    };

    static constexpr std::int64_t NoWindow = std::numeric_limits<std::int64_t>::min();

    Duration givenUpAt(std::int64_t window) const;
    std::set<InstanceId> finalInstances(std::int64_t window) const;
    bool isReady(std::int64_t window) const;
    WindowState compute(std::int64_t window) const;
    /// Adds the windows that are ready to the next ledger; false if there are none.
    bool draftLedger();
    void giveUpUntil(std::int64_t end);
    void dropOldWindows();

    const WindowClock &m_clock;
    Duration m_due;
    std::int64_t m_keptWindows;
    std::set<InstanceId> m_members;
    std::map<std::int64_t, std::map<Process, ProcessStarts>> m_starts;
    std::uint64_t m_era = 0;
    Duration m_eraLearnedAt;
    std::optional<std::uint64_t> m_term;
    SteadyTime m_holderSince;
    /// The first window of which this holder can have the counts of all instances.
    std::int64_t m_firstKnown = 0;
    /// The first window without a report, as far as this instance knows.
    std::int64_t m_nextWindow = NoWindow;
    std::optional<UsageLedger> m_ledger;
    UsageLedger m_draft;
    std::map<std::int64_t, WindowState> m_drafted;
    bool m_isLedgerPending = false;
    SteadyTime m_nextLedgerCall;
    /// Reports in the ledger without a successful answer.
    std::map<std::int64_t, WindowState> m_unanswered;
    std::set<std::int64_t> m_accepted;
    bool m_isSending = false;
    /// The window of the last report that was sent.
    std::int64_t m_sentWindow = 0;
    std::vector<std::int64_t> m_overdue;
    std::vector<UsageOutcomeRecord> m_outcomes;
};

} // namespace marigoldspool

#endif
