#include "Fleet/UsageReporter.h"

#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Serving/UsageTally.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/JsonText.h"

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const std::string LedgerKey = "duties/usage";
constexpr Duration SendInterval = milliseconds(1000);
// What an instance has counted since its last message is lost when it stops.
constexpr Duration StoppingSendInterval = milliseconds(100);
constexpr Duration MaxEndPhase = milliseconds(150);

json ledgerToJson(const UsageLedger &ledger)
{
    json reports = json::array();
    for (const UsageWindowReport &report : ledger.reports) {
        json counts = json::object();
        for (const auto &[workspace, count] : report.counts) {
            counts[workspace.str()] = count;
        }
        reports.push_back({{"window", report.window}, {"counts", counts}});
    }
    return {{"era", ledger.era}, {"term", ledger.term}, {"reports", reports}};
}

std::optional<UsageWindowReport> reportFromJson(const json &value)
{
    if (!value.is_object() || !value.contains("window") || !value["window"].is_number_integer()
        || !value.contains("counts") || !value["counts"].is_object()) {
        return std::nullopt;
    }
    UsageWindowReport report;
    report.window = value["window"].get<std::int64_t>();
    for (const auto &[workspace, count] : value["counts"].items()) {
        if (!count.is_number_unsigned()) {
            return std::nullopt;
        }
        report.counts[WorkspaceName(workspace)] = count.get<std::uint64_t>();
    }
    return report;
}

// An unreadable ledger has only its version. One of its reports may have been sent with any counts,
// so it counts as a ledger of an unknown era.
UsageLedger ledgerFromJson(const StoredObject &object)
{
    UsageLedger unreadable;
    unreadable.version = object.version;
    const json value = parseJson(object.value);
    if (!value.is_object() || !value.contains("era") || !value["era"].is_number_unsigned()
        || !value.contains("term") || !value["term"].is_number_unsigned()
        || !value.contains("reports") || !value["reports"].is_array()) {
        return unreadable;
    }
    UsageLedger ledger;
    ledger.version = object.version;
    ledger.era = value["era"].get<std::uint64_t>();
    ledger.term = value["term"].get<std::uint64_t>();
    for (const json &item : value["reports"]) {
        std::optional<UsageWindowReport> report = reportFromJson(item);
        if (!report) {
            return unreadable;
        }
        ledger.reports.push_back(std::move(*report));
    }
    return ledger;
}

std::string outcomeName(UsageOutcome outcome)
{
    switch (outcome) {
    case UsageOutcome::Accepted:
        return "reported";
    case UsageOutcome::AcceptedLate:
        return "late";
    case UsageOutcome::AcceptedAgain:
        return "repeated";
    case UsageOutcome::GivenUp:
        break;
    }
    return "given_up";
}

} // namespace

UsageReporter::UsageReporter(FleetRuntime &runtime, FleetState &state, FleetLink &link,
                             OwnerLease &lease, DutyCalls &calls)
    : m_runtime(runtime)
    , m_state(state)
    , m_link(link)
    , m_lease(lease)
    , m_calls(calls)
    , m_reports(runtime.usage->windows(), runtime.options.duties->usageDue)
    , m_endPhase(std::chrono::duration_cast<Duration>(MaxEndPhase * runtime.random.uniform()))
    , m_nextSend(runtime.clock.now())
{ }

void UsageReporter::onMembers()
{
    std::set<InstanceId> members{m_runtime.options.instance};
    for (const auto &[id, member] : m_state.members()) {
        members.insert(id);
    }
    m_reports.setMembers(std::move(members));
}

void UsageReporter::onStarts(const InstanceId &from, std::uint64_t incarnation,
                             const RequestStarts &starts)
{
    m_reports.onStarts(from, incarnation, starts);
}

void UsageReporter::sendStarts()
{
    UsageTally &tally = *m_runtime.usage;
    const InstanceId &self = m_runtime.options.instance;
    const InstanceId target = m_lease.isHolder() ? self : m_link.owner();
    if (target.empty() || (target != self && !m_link.isConnected(target))) {
        return;
    }
    const SteadyTime now = m_runtime.clock.now();
    const std::int64_t ended = tally.windows().current() - 1;
    const bool isEndDue = ended != m_sentEndOf
        && tally.windows().now()
            >= tally.windows().endOf(ended) + UsageTally::FinalAfter + m_endPhase;
    if (target == m_sentTo && now < m_nextSend && !isEndDue) {
        return;
    }
    const RequestStarts starts = tally.report();
    if (target == self) {
        m_reports.onStarts(self, m_runtime.incarnation, starts);
    } else if (!m_link.send(target, starts)) {
        return;
    }
    m_sentTo = target;
    m_nextSend = now + (m_runtime.stopping ? StoppingSendInterval : SendInterval);
    if (isEndDue) {
        m_sentEndOf = ended;
    }
}

void UsageReporter::onTick()
{
    m_runtime.usage->windows().onTick();
    sendStarts();
    m_reports.onEra(eraOf(m_runtime.store->eraStart()));
    m_reports.setTerm(m_lease.canOrder() ? std::make_optional(m_lease.term()) : std::nullopt);
    switch (m_reports.nextStep(m_calls.canCall(usageSubject()))) {
    case UsageStep::Nothing:
        break;
    case UsageStep::ReadLedger:
        readLedger();
        break;
    case UsageStep::WriteLedger:
        writeLedger();
        break;
    case UsageStep::SendReport:
        sendReport();
        break;
    }
    logOutcomes();
}

void UsageReporter::readLedger()
{
    m_runtime.store->get(LedgerKey, [this](const Expected<StoredObject> &object) {
        m_reports.onEra(eraOf(m_runtime.store->eraStart()));
        if (object) {
            m_reports.onLedgerRead(ledgerFromJson(*object));
        } else if (object.error().kind == ErrorKind::NotFound) {
            m_reports.onLedgerRead(UsageLedger());
        } else {
            m_reports.onLedgerFailure();
        }
    });
}

void UsageReporter::writeLedger()
{
    const UsageLedger ledger = m_reports.nextLedger();
    m_runtime.store->put(LedgerKey, ledger.version,
                         ledgerToJson(ledger).dump(-1, ' ', false, json::error_handler_t::replace),
                         WriteId(m_runtime.random.hex(16)),
                         [this](const Expected<std::uint64_t> &version) {
                             m_reports.onEra(eraOf(m_runtime.store->eraStart()));
                             if (version) {
                                 m_reports.onLedgerWritten(*version, eraOf(*version));
                             } else {
                                 m_reports.onLedgerFailure();
                             }
                         });
}

void UsageReporter::sendReport()
{
    const UsageWindowReport report = m_reports.nextReport();
    m_calls.call(usageSubject(),
                 m_runtime.codec.encodeUsageReport(m_runtime.options.duties->address, report,
                                                   m_runtime.options.instance, m_calls.token()),
                 [this, window = report.window](const Expected<int> &status) {
                     m_reports.onAnswer(window, status && *status >= 200 && *status < 300);
                     logOutcomes();
                 });
}

void UsageReporter::logOutcomes()
{
    for (const std::int64_t window : m_reports.takeOverdue()) {
        logEvent(LogLevel::Warning, "usage_late",
                 {{"window", std::to_string(window)}, {"token", std::to_string(m_calls.token())}});
    }
    for (const UsageOutcomeRecord &it : m_reports.takeOutcomes()) {
        const std::string outcome = outcomeName(it.outcome);
        m_runtime.metrics->add("marigoldspool_usage_windows_total",
                               static_cast<double>(it.windowCount), {{"outcome", outcome}});
        const bool isGivenUp = it.outcome == UsageOutcome::GivenUp;
        logEvent(isGivenUp ? LogLevel::Warning : LogLevel::Info,
                 isGivenUp ? "usage_given_up" : "usage_reported",
                 {{"window", std::to_string(it.window)},
                  {"windows", std::to_string(it.windowCount)},
                  {"token", std::to_string(m_calls.token())},
                  {"outcome", outcome},
                  {"requests", std::to_string(it.requests)},
                  {"instances", std::to_string(it.instances)},
                  {"missing", std::to_string(it.missing)},
                  {"after_ms", std::to_string(toMilliseconds(it.after))}});
    }
}

} // namespace marigoldspool
