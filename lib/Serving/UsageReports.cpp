#include "marigoldspool/Serving/UsageReports.h"

#include "marigoldspool/Serving/UsageTally.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// The time before a report is due in which it is written to the ledger and sent. A store or an API
// that does not answer at once takes several attempts.
constexpr Duration SendMargin = milliseconds(2000);
// A new holder reports nothing earlier, since the instances send it their counts when they learn of
// it.
constexpr Duration MinHolderTime = milliseconds(1500);
constexpr Duration LedgerRetryDelay = milliseconds(200);
constexpr std::size_t LedgerWindows = 4;
// A window without an accepted report is given up when so many later ones are due.
constexpr int LaterWindowsDue = 3;
// Clocks of instances may be ahead of this one's.
constexpr std::int64_t MaxWindowsAhead = 2;
// Bounds the memory that unsound messages can take; the largest fleets have 300 instances.
constexpr std::size_t MaxProcesses = 2048;
constexpr std::size_t MaxWorkspaces = 4096;

} // namespace

UsageReports::UsageReports(const WindowClock &clock, Duration due)
    : m_clock(clock)
    , m_due(due)
    , m_keptWindows(due / clock.length() + LaterWindowsDue + UsageTally::ReportedWindows)
    , m_eraLearnedAt(clock.now())
{ }

void UsageReports::onStarts(const InstanceId &from, std::uint64_t incarnation,
                            const RequestStarts &starts)
{
    const std::int64_t current = m_clock.current();
    for (const WindowStarts &it : starts.windows) {
        if (it.window < current - m_keptWindows || it.window > current + MaxWindowsAhead
            || it.counts.size() > MaxWorkspaces) {
            continue;
        }
        auto &processes = m_starts[it.window];
        if (processes.size() >= MaxProcesses && processes.count({from, incarnation}) == 0) {
            continue;
        }
        processes[{from, incarnation}] = {it.final, it.counts};
    }
}

void UsageReports::onEra(std::uint64_t era)
{
    if (era == m_era) {
        return;
    }
    m_era = era;
    m_eraLearnedAt = m_clock.now();
    m_ledger.reset();
}

void UsageReports::setTerm(std::optional<std::uint64_t> term)
{
    if (term == m_term) {
        return;
    }
    m_term = term;
    m_ledger.reset();
    m_unanswered.clear();
    if (term) {
        m_holderSince = m_clock.steadyNow();
        m_firstKnown = m_clock.current() - UsageTally::ReportedWindows;
    }
}

Duration UsageReports::givenUpAt(std::int64_t window) const
{
    return m_clock.endOf(window) + m_due + m_clock.length() * LaterWindowsDue;
}

std::set<InstanceId> UsageReports::finalInstances(std::int64_t window) const
{
    std::set<InstanceId> instances;
    const auto found = m_starts.find(window);
    if (found != m_starts.end()) {
        for (const auto &[process, starts] : found->second) {
            if (starts.final) {
                instances.insert(process.first);
            }
        }
    }
    return instances;
}

bool UsageReports::isReady(std::int64_t window) const
{
    const Duration sinceEnd = m_clock.now() - m_clock.endOf(window);
    if (sinceEnd < UsageTally::FinalAfter || m_clock.steadyNow() - m_holderSince < MinHolderTime) {
        return false;
    }
    if (sinceEnd >= std::max(m_due - SendMargin, m_due / 2)) {
        return true;
    }
    const std::set<InstanceId> instances = finalInstances(window);
    return !m_members.empty()
        && std::includes(instances.begin(), instances.end(), m_members.begin(), m_members.end());
}

UsageReports::WindowState UsageReports::compute(std::int64_t window) const
{
    WindowState state;
    state.report.window = window;
    const std::set<InstanceId> finals = finalInstances(window);
    state.missing = static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [&finals](const InstanceId &it) {
            return finals.count(it) == 0;
        }));
    const auto found = m_starts.find(window);
    if (found == m_starts.end()) {
        return state;
    }
    std::set<InstanceId> instances;
    for (const auto &[process, starts] : found->second) {
        instances.insert(process.first);
        for (const WorkspaceCount &it : starts.counts) {
            if (it.count > 0) {
                state.report.counts[it.workspace] += it.count;
            }
        }
    }
    state.instances = instances.size();
    return state;
}

void UsageReports::giveUpUntil(std::int64_t end)
{
    UsageOutcomeRecord record;
    record.window = m_nextWindow;
    record.outcome = UsageOutcome::GivenUp;
    record.windowCount = end - m_nextWindow;
    record.after = m_clock.now() - m_clock.endOf(m_nextWindow);
    m_outcomes.push_back(record);
    m_nextWindow = end;
}

bool UsageReports::draftLedger()
{
    // The first window that is not given up yet.
    const std::int64_t firstOpen =
        m_clock.windowAt(m_clock.now() - m_due - m_clock.length() * LaterWindowsDue);
    const std::int64_t first = std::max(firstOpen, m_firstKnown);
    if (m_nextWindow < first) {
        giveUpUntil(first);
    }
    m_drafted.clear();
    if (!isReady(m_nextWindow)) {
        return false;
    }
    m_draft = *m_ledger;
    m_draft.era = m_era;
    m_draft.term = *m_term;
    std::int64_t window = m_nextWindow;
    while (m_drafted.size() < LedgerWindows && isReady(window)) {
        const WindowState state = compute(window);
        m_draft.reports.push_back(state.report);
        m_drafted[window] = state;
        ++window;
    }
    if (m_draft.reports.size() > LedgerWindows) {
        m_draft.reports.erase(m_draft.reports.begin(),
                              m_draft.reports.end() - static_cast<std::ptrdiff_t>(LedgerWindows));
    }
    return true;
}

void UsageReports::dropOldWindows()
{
    const std::int64_t first = m_clock.current() - m_keptWindows;
    m_starts.erase(m_starts.begin(), m_starts.lower_bound(first));
    m_accepted.erase(m_accepted.begin(), m_accepted.lower_bound(first));
    const Duration now = m_clock.now();
    for (auto it = m_unanswered.begin(); it != m_unanswered.end();) {
        auto &[window, state] = *it;
        if (!state.isInherited && !state.isOverdue && now >= m_clock.endOf(window) + m_due) {
            state.isOverdue = true;
            m_overdue.push_back(window);
        }
        if (now < givenUpAt(window)) {
            ++it;
            continue;
        }
        UsageOutcomeRecord record;
        record.window = window;
        record.outcome = UsageOutcome::GivenUp;
        record.instances = state.instances;
        record.missing = state.missing;
        record.after = now - m_clock.endOf(window);
        m_outcomes.push_back(record);
        it = m_unanswered.erase(it);
    }
}

UsageStep UsageReports::nextStep(bool canCall)
{
    dropOldWindows();
    if (!m_term) {
        return UsageStep::Nothing;
    }
    if (!m_isLedgerPending && m_clock.steadyNow() >= m_nextLedgerCall) {
        if (!m_ledger) {
            m_isLedgerPending = true;
            return UsageStep::ReadLedger;
        }
        if (draftLedger()) {
            m_isLedgerPending = true;
            return UsageStep::WriteLedger;
        }
    }
    if (canCall && !m_isSending && !m_unanswered.empty()) {
        // The next one in turn, so that a report that the API keeps refusing does not hold up
        // others.
        auto it = m_unanswered.upper_bound(m_sentWindow);
        if (it == m_unanswered.end()) {
            it = m_unanswered.begin();
        }
        m_sentWindow = it->first;
        m_isSending = true;
        return UsageStep::SendReport;
    }
    return UsageStep::Nothing;
}

// Without a ledger of the present era, an earlier holder may have reported any window that began
// before this instance learned the era: the store has lost what was written then. All windows that
// began later are in a ledger of this era if they have been reported.
void UsageReports::onLedgerRead(const UsageLedger &ledger)
{
    m_isLedgerPending = false;
    if (!m_term) {
        return;
    }
    m_ledger = ledger;
    if (ledger.version == 0 || ledger.era != m_era || ledger.reports.empty()) {
        m_ledger->reports.clear();
        const std::int64_t first = m_clock.windowAt(m_eraLearnedAt) + 1;
        if (m_nextWindow == NoWindow) {
            m_nextWindow = first;
        } else if (m_nextWindow < first) {
            giveUpUntil(first);
        }
        return;
    }
    for (const UsageWindowReport &report : ledger.reports) {
        m_nextWindow = std::max(m_nextWindow, report.window + 1);
        if (m_accepted.count(report.window) > 0 || m_clock.now() >= givenUpAt(report.window)) {
            continue;
        }
        WindowState &state = m_unanswered[report.window];
        // Written by this holder if the answer to the write was lost.
        const auto drafted = m_drafted.find(report.window);
        const bool isOwn = ledger.term == *m_term && drafted != m_drafted.end();
        if (isOwn) {
            state = drafted->second;
        } else if (state.report.window != report.window) {
            state.isInherited = true;
        }
        state.report = report;
    }
}

void UsageReports::onLedgerWritten(std::uint64_t version, std::uint64_t era)
{
    m_isLedgerPending = false;
    // The ledger was discarded during the write if the term or the era has changed; what was
    // written is read again then.
    if (!m_term || !m_ledger || m_draft.term != *m_term) {
        return;
    }
    if (era != m_draft.era) {
        m_ledger.reset();
        return;
    }
    m_ledger = m_draft;
    m_ledger->version = version;
    for (const auto &[window, state] : m_drafted) {
        m_unanswered[window] = state;
        m_nextWindow = std::max(m_nextWindow, window + 1);
    }
}

void UsageReports::onLedgerFailure()
{
    m_isLedgerPending = false;
    m_ledger.reset();
    m_nextLedgerCall = m_clock.steadyNow() + LedgerRetryDelay;
}

void UsageReports::onAnswer(std::int64_t window, bool isAccepted)
{
    m_isSending = false;
    const auto it = m_unanswered.find(window);
    if (!isAccepted || it == m_unanswered.end()) {
        return;
    }
    const WindowState &state = it->second;
    UsageOutcomeRecord record;
    record.window = window;
    for (const auto &[workspace, count] : state.report.counts) {
        record.requests += count;
    }
    record.instances = state.instances;
    record.missing = state.missing;
    record.after = m_clock.now() - m_clock.endOf(window);
    if (state.isInherited) {
        record.outcome = UsageOutcome::AcceptedAgain;
    } else if (record.after > m_due) {
        record.outcome = UsageOutcome::AcceptedLate;
    }
    m_outcomes.push_back(record);
    m_accepted.insert(window);
    m_unanswered.erase(it);
}

} // namespace marigoldspool
