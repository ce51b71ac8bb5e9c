#include "Daemon/LimitsService.h"

#include "marigoldspool/Support/EventLog.h"

#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration PeerUpdateInterval = std::chrono::seconds(1);
// Bounds how long a planned stop tries to release the share while the store does not answer.
constexpr Duration ReleaseTimeout = std::chrono::seconds(7);
// A new instance normally has its share by then. One that has to wait until the share of a failed
// member is reclaimed serves from loans.
constexpr Duration LoanReadinessDelay = std::chrono::seconds(10);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

} // namespace

LimitsService::LimitsService(Runtime &runtime, ConfigService &config, PeerService &peers)
    : m_runtime(runtime)
    , m_peers(peers)
    , m_limits(LimitOptions{}, runtime.settings.instance, runtime.incarnation,
               runtime.settings.zone, runtime.clock, runtime.random)
    , m_timer(runtime.io)
{
    peers.addListener(*this);
    peers.addHeartbeatSource([this](Heartbeat &heartbeat) {
        heartbeat.rosterEpoch = m_limits.acknowledgedEpoch();
    });
    config.addChangeHandler([this](const std::shared_ptr<const Configuration> &configuration) {
        m_limits.applyConfiguration(*configuration);
        execute(m_limits.takeActions());
    });
}

Expected<void> LimitsService::start()
{
    m_startedAt = m_runtime.clock.now();
    m_timer.start(TickInterval, [this] {
        onTick();
    });
    return {};
}

void LimitsService::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    m_stopDeadline = m_runtime.clock.now() + ReleaseTimeout;
    execute(m_limits.release());
}

void LimitsService::finishStop()
{
    if (!m_limits.isReleased()) {
        logEvent(LogLevel::Warning, "share_not_released",
                 {{"remedy", "it is reclaimed once the platform's list has lost this instance"}});
    }
    m_timer.stop();
    std::exchange(m_stopped, nullptr)();
}

void LimitsService::onTick()
{
    const SteadyTime now = m_runtime.clock.now();
    if (now >= m_nextPeerUpdate) {
        m_nextPeerUpdate = now + PeerUpdateInterval;
        m_limits.onPeers(m_peers.table().alivePeers());
        publishMetrics();
    }
    m_limits.onTick();
    if (now >= m_limits.nextWakeup()) {
        execute(m_limits.takeActions());
    }
    retryWaiting();
    if (m_stopped && (m_limits.isReleased() || now >= m_stopDeadline)) {
        finishStop();
    }
}

void LimitsService::publishMetrics()
{
    const LimitSnapshot snapshot = m_limits.snapshot();
    Metrics &metrics = m_runtime.metrics;
    metrics.set("marigoldspool_limit_share", snapshot.share);
    for (const LimitStatus &limit : snapshot.limits) {
        const Labels labels{{"limit", limit.limit}};
        metrics.set("marigoldspool_limit_tokens", limit.level, labels);
        metrics.set("marigoldspool_limit_fraction", limit.fraction, labels);
        metrics.set("marigoldspool_limit_loans_granted", static_cast<double>(limit.lent), labels);
        metrics.set("marigoldspool_limit_loans_taken", static_cast<double>(limit.borrowed), labels);
    }
}

void LimitsService::execute(LimitActions actions)
{
    m_peers.send(actions.send);
    for (const StoreWrite &write : actions.writes) {
        m_runtime.store->put(write.key, write.expectedVersion, write.value, write.writeId,
                             [this, id = write.writeId](const Expected<std::uint64_t> &reply) {
                                 m_limits.onStoreReply(id, reply);
                                 execute(m_limits.takeActions());
                             });
    }
    for (const std::string &key : actions.reads) {
        readRoster(key);
    }
}

void LimitsService::readRoster(const std::string &key)
{
    m_runtime.store->get(key, [this, key](const Expected<StoredObject> &object) {
        if (object) {
            m_limits.onRoster(*object);
        } else if (object.error().kind == ErrorKind::NotFound) {
            StoredObject missing;
            missing.key = key;
            m_limits.onRoster(missing);
        } else {
            m_limits.onRosterReadFailed();
        }
        execute(m_limits.takeActions());
    });
}

void LimitsService::onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                                  const PeerMessage &message)
{
    const bool isLimitMessage = std::holds_alternative<LoanRequest>(message)
        || std::holds_alternative<LoanGrant>(message) || std::holds_alternative<EpochAck>(message);
    if (!isLimitMessage) {
        return;
    }
    m_limits.onPeerMessage(from, incarnation, message);
    execute(m_limits.takeActions());
    if (std::holds_alternative<LoanGrant>(message)) {
        retryWaiting();
        if (m_onSlotsFreed) {
            m_onSlotsFreed();
        }
    }
}

void LimitsService::onPlatformList(gsl::span<const PlatformInstance> list)
{
    m_limits.onPlatformInstances(list);
    execute(m_limits.takeActions());
}

std::optional<Refusal> LimitsService::makeRefusal(const WorkspaceName &workspace, double cost,
                                                  const LimitDecision &decision) const
{
    if (decision.outcome == LimitDecision::Outcome::Admitted) {
        return std::nullopt;
    }
    const std::string tokens = std::to_string(static_cast<std::int64_t>(cost)) + " tokens";
    if (decision.reason == RefusalReason::CostAboveBurst) {
        return Refusal{decision.reason, RanState::No,
                       "the request may use " + tokens + ", more than the burst of workspace "
                           + workspace.str(),
                       "ask for fewer tokens or have the burst raised", Duration::zero()};
    }
    if (decision.reason == RefusalReason::CostAboveZoneShare) {
        return Refusal{
            decision.reason, RanState::No,
            "the request may use " + tokens
                + ", more than this zone's share while it has no connection to the other zones",
            "ask for fewer tokens or use another zone", Duration::zero()};
    }
    return Refusal{decision.reason, RanState::No,
                   "workspace " + workspace.str() + " has used up its rate",
                   "send it again later or have the rate raised",
                   std::max(decision.retryAfter, MinRetryAfter)};
}

void LimitsService::admit(const WorkspaceName &workspace, double cost, AdmitHandler done)
{
    const LimitDecision decision = m_limits.admit(workspace, cost);
    execute(m_limits.takeActions());
    if (decision.outcome == LimitDecision::Outcome::WaitForLoan) {
        const SteadyTime deadline = m_runtime.clock.now() + LimitOptions{}.loanWait;
        m_waiting.push_back({workspace, cost, deadline, std::move(done)});
        return;
    }
    done(makeRefusal(workspace, cost, decision));
}

void LimitsService::retryWaiting()
{
    std::deque<WaitingAdmission> waiting = std::exchange(m_waiting, {});
    for (WaitingAdmission &entry : waiting) {
        const LimitDecision decision =
            m_limits.admit(entry.workspace, entry.cost, AdmitAttempt::Retry);
        const bool timedOut = m_runtime.clock.now() >= entry.deadline;
        if (decision.outcome == LimitDecision::Outcome::WaitForLoan && !timedOut) {
            m_waiting.push_back(std::move(entry));
            continue;
        }
        entry.done(makeRefusal(entry.workspace, entry.cost, decision));
    }
    if (!waiting.empty()) {
        execute(m_limits.takeActions());
    }
}

void LimitsService::reconcile(const WorkspaceName &workspace, double estimated, double used)
{
    m_limits.reconcile(workspace, estimated, used);
}

bool LimitsService::tryTakeSlot(const EndpointId &endpoint, Duration left)
{
    const bool taken = m_limits.tryTakeSlot(endpoint, left);
    execute(m_limits.takeActions());
    return taken;
}

void LimitsService::returnSlot(const EndpointId &endpoint)
{
    m_limits.returnSlot(endpoint);
}

bool LimitsService::isReady()
{
    const bool canBorrow = m_runtime.clock.now() - m_startedAt >= LoanReadinessDelay
        && !m_peers.table().alivePeers().empty();
    return canBorrow || m_limits.snapshot().share > 0;
}

void LimitsService::setSlots(const EndpointId &endpoint, int slots)
{
    m_limits.setSlots(endpoint, slots);
}

} // namespace marigoldspool
