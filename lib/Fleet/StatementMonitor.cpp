#include "Fleet/StatementMonitor.h"

#include "Fleet/EngineCalls.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Leaving endpoints are repeated for an owner that has changed or missed a message, which is as
// long as a lost heartbeat goes unnoticed.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
// Reports and orders that were under way end within this time and leave an idle connection.
constexpr Duration ClosingTime = CallTimeout + std::chrono::milliseconds(500);

std::string_view eventName(StatementChangeKind kind)
{
    switch (kind) {
    case StatementChangeKind::Leaving:
        return "endpoint_leaving";
    case StatementChangeKind::LeavingEnded:
        return "endpoint_replaced";
    case StatementChangeKind::NoRequests:
        return "endpoint_paused";
    case StatementChangeKind::NoRequestsEnded:
        return "endpoint_pause_ended";
    case StatementChangeKind::RateLimited:
        return "endpoint_limited";
    case StatementChangeKind::RateLimitEnded:
        return "endpoint_limit_ended";
    }
    return "endpoint_unknown";
}

} // namespace

StatementMonitor::StatementMonitor(FleetRuntime &runtime, FleetLink &link, FleetSender &fleet)
    : m_runtime(runtime)
    , m_link(link)
    , m_fleet(fleet)
{ }

void StatementMonitor::onTick()
{
    const std::vector<StatementChange> changes = m_runtime.directory.takeChanges();
    bool isNewLeaving = false;
    bool isNewLimit = false;
    for (const StatementChange &change : changes) {
        record(change);
        const EndpointId &id = change.incarnation.endpoint;
        if (change.kind == StatementChangeKind::Leaving) {
            m_closingUntil[id] = m_runtime.clock.now() + ClosingTime;
            isNewLeaving = isNewLeaving || change.source != StatementSource::Peer;
        } else if (change.kind == StatementChangeKind::LeavingEnded) {
            m_closingUntil.erase(id);
        } else if (change.kind == StatementChangeKind::RateLimited
                   || change.kind == StatementChangeKind::RateLimitEnded) {
            isNewLimit = isNewLimit || change.source != StatementSource::Peer || m_fleet.isHub();
        }
    }
    closeConnections();
    if (isNewLeaving || m_runtime.clock.now() >= m_nextRepeat) {
        tellOwner();
    }
    if (isNewLimit || m_runtime.clock.now() >= m_nextLimitRepeat) {
        tellFleet();
    }
    if (!changes.empty() && m_onChange) {
        m_onChange();
    }
}

void StatementMonitor::record(const StatementChange &change)
{
    const std::string source(statementSourceName(change.source));
    logEvent(LogLevel::Info, eventName(change.kind),
             {{"endpoint", change.incarnation.endpoint.str()},
              {"started_at_ms", std::to_string(change.incarnation.startedAtMs)},
              {"source", source},
              {"for_ms", std::to_string(toMilliseconds(change.remaining))},
              {"rate_limit", std::to_string(change.rateLimit)}});
    m_runtime.metrics->add("marigoldspool_endpoint_statements_total", 1,
                           {{"event", std::string(eventName(change.kind))}, {"source", source}});
    const EndpointStatements &statements = m_runtime.directory.statements();
    m_runtime.metrics->set("marigoldspool_endpoints_leaving",
                           static_cast<double>(statements.leavingCount()));
    m_runtime.metrics->set("marigoldspool_endpoints_paused",
                           static_cast<double>(statements.pausedCount()));
    m_runtime.metrics->set("marigoldspool_endpoints_limited",
                           static_cast<double>(statements.limitedCount()));
}

// Only while the endpoint has requests from this instance, since its address is assigned to another
// endpoint some time after its end.
void StatementMonitor::closeConnections()
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto it = m_closingUntil.begin(); it != m_closingUntil.end();) {
        const TrackedEndpoint *state = m_runtime.directory.find(it->first);
        if (state != nullptr) {
            m_runtime.endpoints->closeIdle(state->listed.address);
        }
        const bool isDone = state == nullptr || (state->inFlight == 0 && now >= it->second);
        it = isDone ? m_closingUntil.erase(it) : std::next(it);
    }
}

void StatementMonitor::tellOwner()
{
    m_nextRepeat = m_runtime.clock.now() + RepeatInterval;
    if (m_link.owner() == m_runtime.options.instance || !m_link.isOwnerReachable()) {
        return;
    }
    LeavingEndpoints message;
    for (const EndpointIncarnation &it : m_runtime.directory.statements().heardLeaving()) {
        const TrackedEndpoint *state = m_runtime.directory.find(it.endpoint);
        if (state != nullptr && !state->listed.leaving) {
            message.endpoints.push_back({it.endpoint, it.startedAtMs});
        }
    }
    if (!message.endpoints.empty()) {
        m_link.send(m_link.owner(), message);
    }
}

// Repeated like leaving endpoints, and so that instances to which an endpoint gives no answers know
// that its limit is still in force.
void StatementMonitor::tellFleet()
{
    const SteadyTime now = m_runtime.clock.now();
    m_nextLimitRepeat = now + RepeatInterval;
    LimitedEndpoints message;
    const EndpointStatements &statements = m_runtime.directory.statements();
    for (const RateLimitNotice &it : statements.rateLimitNotices(m_fleet.isHub())) {
        message.endpoints.push_back({it.incarnation.endpoint, it.incarnation.startedAtMs,
                                     it.perSecond.value_or(0), !it.perSecond,
                                     toMilliseconds(now - it.at)});
    }
    if (!message.endpoints.empty()) {
        m_fleet.sendToFleet(message);
    }
}

void StatementMonitor::onLimited(const LimitedEndpoints &message)
{
    const SteadyTime now = m_runtime.clock.now();
    for (const LimitedEndpoint &it : message.endpoints) {
        RateLimitNotice notice;
        notice.incarnation = {it.endpoint, it.startedAtMs};
        if (!it.ended) {
            notice.perSecond = std::clamp(it.perSecond, 0.0, EndpointStatements::MaxRateLimit);
        }
        notice.at = now - std::chrono::milliseconds(std::max<std::int64_t>(it.ageMs, 0));
        m_runtime.directory.onRateLimitNotice(notice);
    }
}

void StatementMonitor::onLeaving(const LeavingEndpoints &message)
{
    for (const LeavingEndpoint &it : message.endpoints) {
        m_runtime.directory.onStatement({it.endpoint, it.startedAtMs}, {true},
                                        StatementSource::Peer, m_runtime.clock.now());
    }
}

} // namespace marigoldspool
