#include "marigoldspool/Limits/LimitService.h"

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

namespace marigoldspool {

namespace {

constexpr std::string_view RatePrefix = "rate/";
constexpr std::string_view SlotPrefix = "slots/";
// How many changes of the share are kept for limits that are created later. Such a limit starts
// empty at the oldest change kept, which is safe.
constexpr std::size_t MaxShareChanges = 32;
constexpr Duration IdleWakeupInterval = std::chrono::seconds(1);
constexpr Duration DisposalInterval = std::chrono::minutes(1);

std::string rateName(const WorkspaceName &workspace)
{
    return std::string(RatePrefix) + workspace.str();
}

std::string slotName(const EndpointId &endpoint)
{
    return std::string(SlotPrefix) + endpoint.str();
}

bool isSlotName(std::string_view limit)
{
    return limit.substr(0, SlotPrefix.size()) == SlotPrefix;
}

double fractionOf(const ZoneName &zone, const std::vector<ZoneWeight> &weights)
{
    double own = 0;
    double sum = 0;
    for (const ZoneWeight &entry : weights) {
        sum += entry.weight;
        own += entry.zone == zone ? entry.weight : 0;
    }
    return sum > 0 ? own / sum : 0;
}

} // namespace

LimitRules limitRulesOf(const Configuration &configuration)
{
    LimitRules rules;
    for (const WorkspaceRule &rule : configuration.workspaces()) {
        rules.limits.push_back({rule.name, rule.rate, rule.burst});
    }
    for (const ZoneRule &rule : configuration.zones()) {
        rules.zones.push_back({rule.name, rule.weight});
    }
    for (const EndpointRule &rule : configuration.endpoints()) {
        rules.slots.push_back({rule.id, rule.zone});
    }
    return rules;
}

LimitService::LimitService(LimitOptions options, InstanceId self, std::uint64_t incarnation,
                           ZoneName zone, const Clock &clock, RandomSource &random)
    : m_options(options)
    , m_self(self)
    , m_zone(zone)
    , m_clock(clock)
    , m_random(random)
    , m_roster(m_options, std::move(self), incarnation, std::move(zone), clock.now(), random)
    , m_earliestSlotGrowth(
          clock.now()
          + std::chrono::duration_cast<Duration>(options.slotTerm * (1 + options.clockError)
                                                 / (1 - options.clockError)))
    , m_shareChanges{{clock.now(), 0}}
    , m_canAsk([this](const InstanceId &peer) {
        return tryTakeRequestToken(peer);
    })
    , m_nextDisposal(clock.now() + DisposalInterval)
{ }

double LimitService::accrualFactor() const
{
    return 1 / (1 + m_options.clockError);
}

const std::vector<InstanceId> &LimitService::peersIn(const ZoneName &zone) const
{
    static const std::vector<InstanceId> none;
    const auto it = m_peersByZone.find(zone);
    return it != m_peersByZone.end() ? it->second : none;
}

LimitContext LimitService::context(std::vector<AddressedMessage> &send)
{
    return {m_options,
            m_clock.now(),
            m_random,
            peersIn(m_zone),
            m_otherPeers,
            m_zoneFraction,
            std::max<std::size_t>(1, m_roster.record().members.size()),
            m_roster.isReleasing(),
            m_canAsk,
            send};
}

bool LimitService::tryTakeRequestToken(const InstanceId &peer)
{
    const SteadyTime now = m_clock.now();
    const double rate = m_options.requestsPerPeerPerSecond;
    const auto [it, isNew] = m_requestBudgets.try_emplace(peer, rate, rate, rate, now);
    return it->second.tryTake(1, now);
}

void LimitService::applyConfiguration(const Configuration &configuration)
{
    applyRules(limitRulesOf(configuration));
}

void LimitService::applyRules(const LimitRules &rules)
{
    const SteadyTime now = m_clock.now();
    std::unordered_map<std::string, RateRule> next;
    for (const LimitRule &rule : rules.limits) {
        next[rateName(rule.workspace)] = {rule.rate, rule.burst};
    }
    for (const auto &[name, rule] : m_rules) {
        const auto it = next.find(name);
        const RateRule changed = it != next.end() ? it->second : RateRule{};
        if (changed.rate != rule.rate || changed.burst != rule.burst) {
            // The state is created under the old rule first: a larger burst must not add tokens.
            findOrCreate(name)->rate().setRule(changed.rate, changed.burst, now);
        }
    }
    for (const auto &[name, rule] : next) {
        const auto it = m_limits.find(name);
        if (it != m_limits.end() && m_rules.count(name) == 0) {
            it->second->rate().setRule(rule.rate, rule.burst, now);
        }
    }
    m_rules = std::move(next);
    for (const SlotRule &rule : rules.slots) {
        slotsOf(rule.endpoint).setZone(rule.zone);
    }
    setZoneFraction(rules.zones, !m_configured);
    m_configured = true;
    updateAllShares();
}

void LimitService::setZoneFraction(const std::vector<ZoneWeight> &weights, bool isFirst)
{
    const double fraction = fractionOf(m_zone, weights);
    if (isFirst || fraction <= m_zoneFraction) {
        m_zoneFraction = fraction;
        m_nextZoneFraction = fraction;
    } else if (fraction != m_nextZoneFraction) {
        m_nextZoneFraction = fraction;
        m_zoneFractionDue = m_clock.now() + m_options.weightDelay;
    }
    updateRateShares();
}

void LimitService::updateRateShares()
{
    const SteadyTime now = m_clock.now();
    if (m_nextZoneFraction > m_zoneFraction && now >= m_zoneFractionDue) {
        m_zoneFraction = m_nextZoneFraction;
    }
    const double share = m_zoneFraction * m_roster.state().share();
    if (share == m_shareChanges.back().share) {
        return;
    }
    m_shareChanges.push_back({now, share});
    if (m_shareChanges.size() > MaxShareChanges) {
        m_shareChanges.erase(m_shareChanges.begin());
    }
    for (auto &[name, limit] : m_limits) {
        limit->rate().setShare(share, now);
    }
}

RateLimit LimitService::makeRateLimit(const RateRule &rule, SteadyTime now) const
{
    // Replays the changes of the share, so that the limit has the tokens that it would have if it
    // had existed since the start.
    const ShareChange &oldest = m_shareChanges.front();
    RateLimit rate(rule.rate, rule.burst, accrualFactor(), oldest.share, 0, oldest.at);
    for (const ShareChange &change : m_shareChanges) {
        rate.setShare(change.share, change.at);
    }
    rate.level(now);
    return rate;
}

WorkspaceLimit *LimitService::findOrCreate(const std::string &name)
{
    const auto found = m_limits.find(name);
    if (found != m_limits.end()) {
        return found->second.get();
    }
    const auto rule = m_rules.find(name);
    if (rule == m_rules.end()) {
        return nullptr;
    }
    auto limit = std::make_unique<WorkspaceLimit>(name, makeRateLimit(rule->second, m_clock.now()),
                                                  m_options);
    return m_limits.emplace(name, std::move(limit)).first->second.get();
}

LimitDecision LimitService::admit(const WorkspaceName &workspace, double cost, AdmitAttempt attempt)
{
    WorkspaceLimit *limit = findOrCreate(rateName(workspace));
    if (limit == nullptr) {
        return {};
    }
    return limit->admit(cost, attempt, context(m_outbox));
}

void LimitService::reconcile(const WorkspaceName &workspace, double estimated, double used)
{
    WorkspaceLimit *limit = findOrCreate(rateName(workspace));
    if (limit != nullptr && used < estimated) {
        limit->rate().refund(estimated - std::max(0.0, used), m_clock.now());
    }
}

bool LimitService::allCommitmentsCovered()
{
    const SteadyTime now = m_clock.now();
    return std::all_of(m_limits.begin(), m_limits.end(),
                       [&](auto &entry) {
                           return entry.second->rate().coversCommitments(now);
                       })
        && std::all_of(m_slots.begin(), m_slots.end(), [&](auto &entry) {
               return entry.second.limit().coversCommitments(now);
           });
}

EndpointSlots &LimitService::slotsOf(const EndpointId &endpoint)
{
    return m_slots.try_emplace(slotName(endpoint), endpoint, m_options).first->second;
}

bool LimitService::tryTakeSlot(const EndpointId &endpoint, Duration deadline)
{
    return slotsOf(endpoint).tryTake(deadline, m_clock.now());
}

void LimitService::returnSlot(const EndpointId &endpoint)
{
    slotsOf(endpoint).returnSlot();
}

void LimitService::setSlots(const EndpointId &endpoint, int slots)
{
    slotsOf(endpoint).setTotal(slots);
    updateAllShares();
}

LimitActions LimitService::takeActions()
{
    const SteadyTime now = m_clock.now();
    m_roster.advance(allCommitmentsCovered(), now);
    updateAllShares();
    LimitActions actions;
    std::swap(actions.send, m_outbox);
    const LimitContext limitContext = context(actions.send);
    for (auto &[name, limit] : m_limits) {
        if (limit->wakeupAfter(now)) {
            limit->sendDueMessages(limitContext);
        }
    }
    for (auto &[name, slots] : m_slots) {
        if (slots.wakeupAfter()) {
            slots.sendDueMessages(peersIn(slots.zone()), limitContext);
        }
    }
    m_roster.takeActions(actions, now);
    return actions;
}

SteadyTime LimitService::nextWakeup() const
{
    const SteadyTime now = m_clock.now();
    Duration after = m_roster.isIdle() ? IdleWakeupInterval : std::chrono::milliseconds(100);
    for (const auto &[name, limit] : m_limits) {
        after = std::min(after, limit->wakeupAfter(now).value_or(after));
    }
    for (const auto &[name, slots] : m_slots) {
        after = std::min(after, slots.wakeupAfter().value_or(after));
    }
    return now + after;
}

void LimitService::onTick()
{
    const SteadyTime now = m_clock.now();
    if (now < m_nextDisposal) {
        return;
    }
    m_nextDisposal = now + DisposalInterval;
    m_requestBudgets.clear();
    for (auto it = m_limits.begin(); it != m_limits.end();) {
        const bool dispose = m_rules.count(it->first) > 0 && it->second->isDisposable(now);
        it = dispose ? m_limits.erase(it) : std::next(it);
    }
}

void LimitService::onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                                 const PeerMessage &message)
{
    if (const auto *ack = std::get_if<EpochAck>(&message)) {
        m_roster.onAck(from, incarnation, *ack);
    } else if (const auto *request = std::get_if<LoanRequest>(&message)) {
        onLoanRequest(from, *request);
    } else if (const auto *grant = std::get_if<LoanGrant>(&message)) {
        onLoanGrant(from, *grant);
    }
}

void LimitService::onLoanRequest(const InstanceId &from, const LoanRequest &request)
{
    if (isSlotName(request.limit)) {
        const auto it = m_slots.find(request.limit);
        if (it != m_slots.end()) {
            it->second.onLoanRequest(from, request, context(m_outbox));
            return;
        }
    } else if (WorkspaceLimit *limit = findOrCreate(request.limit)) {
        limit->onLoanRequest(from, request, context(m_outbox));
        return;
    }
    // The limit is unknown. An empty grant keeps the borrower from waiting while the two
    // configurations differ.
    m_outbox.push_back({from, LoanGrant{request.limit, request.loanId, 0, 0, 0}});
}

void LimitService::onLoanGrant(const InstanceId &from, const LoanGrant &grant)
{
    const auto slots = m_slots.find(grant.limit);
    if (slots != m_slots.end()) {
        slots->second.onLoanGrant(from, grant, context(m_outbox));
        return;
    }
    const auto limit = m_limits.find(grant.limit);
    if (limit != m_limits.end()) {
        limit->second->onLoanGrant(from, grant, context(m_outbox));
    }
}

void LimitService::onPeers(gsl::span<const PeerInfo> alive)
{
    m_peersByZone.clear();
    m_otherPeers.clear();
    for (const PeerInfo &peer : alive) {
        if (peer.id == m_self) {
            continue;
        }
        m_peersByZone[peer.zone].push_back(peer.id);
        if (peer.zone != m_zone) {
            m_otherPeers.push_back(peer.id);
        }
    }
    m_roster.onPeers(alive, m_clock.now());
}

void LimitService::updateAllShares()
{
    updateRateShares();
    const RosterState &state = m_roster.state();
    const SteadyTime now = m_clock.now();
    const bool mayGrow = state.isEpochInForce(now)
        && (m_roster.joinedWithoutPredecessor() || now >= m_earliestSlotGrowth);
    for (auto &[name, slots] : m_slots) {
        const bool inZone = slots.zone() == m_zone && state.isMember() && !m_roster.isReleasing();
        slots.update(state, m_self, inZone, mayGrow);
    }
}

void LimitService::onRoster(const StoredObject &roster)
{
    if (m_roster.onRoster(roster)) {
        updateAllShares();
    }
}

void LimitService::onRosterReadFailed()
{
    m_roster.onReadFailed(m_clock.now());
}

void LimitService::onStoreReply(const WriteId &writeId, const Expected<std::uint64_t> &reply)
{
    if (m_roster.onStoreReply(writeId, reply, m_clock.now())) {
        updateAllShares();
    }
}

void LimitService::onPlatformInstances(gsl::span<const PlatformInstance> list)
{
    m_roster.onPlatformInstances(list, m_clock.now());
}

LimitActions LimitService::release()
{
    if (!m_roster.isReleasing()) {
        m_roster.release();
        // Must precede takeActions(), which checks that what is held covers what is used and lent.
        updateAllShares();
    }
    return takeActions();
}

bool LimitService::isReleased() const
{
    return m_roster.isReleasing() && !m_roster.state().isMember();
}

LimitSnapshot LimitService::snapshot()
{
    const SteadyTime now = m_clock.now();
    LimitSnapshot snapshot;
    snapshot.rosterEpoch = m_roster.record().epoch;
    snapshot.acknowledgedEpoch = acknowledgedEpoch();
    snapshot.members = m_roster.record().members.size();
    snapshot.share = m_shareChanges.back().share;
    snapshot.missingAcks = m_roster.state().missingAcks();
    for (auto &[name, limit] : m_limits) {
        snapshot.limits.push_back(limit->status(now));
    }
    for (const auto &[name, slots] : m_slots) {
        snapshot.slots.push_back(slots.status(now));
    }
    return snapshot;
}

} // namespace marigoldspool
