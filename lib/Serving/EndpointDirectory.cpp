#include "marigoldspool/Serving/EndpointDirectory.h"

#include "marigoldspool/Support/Invariant.h"

#include <algorithm>
#include <functional>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Fraction of an endpoint's slots that one instance fills. The rest is left to the other instances,
// whose requests this instance does not see.
constexpr double OwnSlotFraction = 0.75;
// Requests queued at a plain service beyond its slots. The queue is short because the latency
// objective of a service is a few times its processing time.
constexpr int MaxServiceQueue = 4;

// About one step of the endpoint's batch queue.
constexpr Duration BusyPause = milliseconds(40);
constexpr Duration LoadingPause = milliseconds(120);
constexpr Duration NotLoadedPause = milliseconds(400);
constexpr Duration MinAvoidance = milliseconds(500);
constexpr Duration MaxAvoidance = seconds(4);
// Requests for the models of an engine that has crashed wait for another engine to load them; the
// placement owner finds out about the crash within this time.
constexpr Duration UnreachablePause = seconds(1);
// Weight of the newest result in the failure fraction, and the half-life of that fraction.
constexpr double FailureWeight = 0.25;
constexpr double FailureHalfLifeSeconds = 3;
constexpr double DelayWeight = 0.3;
// An endpoint above this failure fraction is unhealthy.
constexpr double MaxHealthyFailureFraction = 0.15;

// Penalties in the score; 1 is the load of an endpoint with all slots in use.
// Traffic between zones costs money and adds latency.
constexpr double OtherZonePenalty = 0.12;
constexpr double FailurePenalty = 4;
constexpr double AvoidPenalty = 8;
constexpr double ColdPenalty = 0.3;
// An endpoint that limits its rate is in need, so it gets what no other one can serve.
constexpr double RateLimitPenalty = 1;
constexpr double SuspicionPenalty = 0.5;
// Keeps the requests of a session together where nothing else matters; in addition, processing the
// shared prefix again counts as a delay.
constexpr double MinSessionPenalty = 0.03;
// A first byte that is expected late by the request's whole objective counts as much as an endpoint
// with all slots in use.
constexpr double MaxDelayPenalty = 2;
constexpr double MinObjectiveSeconds = 0.05;
// An endpoint that is avoided for its delays gives no new samples, so they lose weight with age.
constexpr double DelayHalfLifeSeconds = 1;

// A copy from which the store is restored is some seconds old.
constexpr Duration RemovedRetention = seconds(60);

double decayedFailures(const TrackedEndpoint &state, SteadyTime now)
{
    return state.failureFraction * decayFactor(now - state.lastResultAt, FailureHalfLifeSeconds);
}

double decayedDelay(const TrackedEndpoint &state, SteadyTime now)
{
    return state.meanDelaySeconds * decayFactor(now - state.lastFirstByteAt, DelayHalfLifeSeconds);
}

void removeUnstarted(TrackedEndpoint &state, const ModelName &model)
{
    const auto it = state.ownLoads.find(model);
    if (it != state.ownLoads.end()) {
        it->second.unstarted = std::max<std::int64_t>(it->second.unstarted - 1, 0);
    }
}

// Requests that were sent to an earlier process are not in the loads.
void removeLoad(TrackedEndpoint &state, const ModelName &model)
{
    const auto it = state.ownLoads.find(model);
    if (it != state.ownLoads.end() && --it->second.requests <= 0) {
        state.ownLoads.erase(it);
    }
}

} // namespace

EndpointDirectory::EndpointDirectory(ZoneName ownZone, const Clock &clock, InstanceId self)
    : m_ownZone(std::move(ownZone))
    , m_clock(clock)
    , m_rateDivider(self, m_ownZone)
    , m_loads(clock)
    , m_suspicions(std::move(self), m_ownZone, clock)
    , m_statements(clock)
{ }

void EndpointDirectory::setMembers(gsl::span<const TopologyMember> members)
{
    m_rateDivider.setMembers(members);
    m_suspicions.setMembers(members);
    m_areMembersKnown = true;
    m_memberCount = members.size();
    updateColdLimits();
    for (auto &[id, state] : m_endpoints) {
        if (state.rateShare) {
            divideRate(state);
        }
    }
}

void EndpointDirectory::setConfiguration(ServingConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    for (auto &[id, state] : m_endpoints) {
        markReturned(state);
    }
    updateColdLimits();
}

void EndpointDirectory::apply(const ListedEndpoint &endpoint)
{
    m_statements.onListed({endpoint.id, endpoint.startedAtMs});
    TrackedEndpoint &state = m_endpoints[endpoint.id];
    const bool isNewProcess = state.listed.startedAtMs != endpoint.startedAtMs;
    if (isNewProcess) {
        // Nothing known about the previous process applies to the new one, but requests in flight
        // stay counted until their connections end.
        const int inFlight = state.inFlight;
        const int pendingPromptTokens = state.pendingPromptTokens;
        state = TrackedEndpoint();
        state.inFlight = inFlight;
        state.pendingPromptTokens = pendingPromptTokens;
    }
    state.listed = endpoint;
    state.hasListedLeaving = endpoint.leaving;
    state.removeAt.reset();
    updateEnd(state);
    updateRateShare(state);
    if (endpoint.remainingColdTime > Duration::zero()) {
        markCold(state, endpoint.remainingColdTime);
    }
    markReturned(state);
}

void EndpointDirectory::remove(const EndpointId &id, Duration grace)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    const SteadyTime now = m_clock.now();
    it->second.removeAt = now + grace;
    if (grace <= Duration::zero()) {
        m_removedProcesses[id] = {it->second.listed.startedAtMs, now};
    }
    if (grace <= Duration::zero()) {
        it->second.listed.leaving = true;
    }
}

bool EndpointDirectory::hasLeft(const EndpointIncarnation &incarnation) const
{
    const TrackedEndpoint *state = find(incarnation.endpoint);
    if (state != nullptr && state->hasListedLeaving
        && incarnation.startedAtMs <= state->listed.startedAtMs) {
        return true;
    }
    const auto it = m_removedProcesses.find(incarnation.endpoint);
    return it != m_removedProcesses.end() && incarnation.startedAtMs <= it->second.first;
}

void EndpointDirectory::setEvacuated(const ZoneName &zone, bool evacuated)
{
    if (evacuated) {
        m_evacuated.insert(zone);
        return;
    }
    if (m_evacuated.erase(zone) == 0) {
        return;
    }
    m_returnedAt[zone] = m_clock.now();
    for (auto &[id, state] : m_endpoints) {
        markReturned(state);
    }
}

const EndpointPool *EndpointDirectory::poolOf(const TrackedEndpoint &state) const
{
    return m_configuration == nullptr ? nullptr : m_configuration->pool(state.listed.pool);
}

void EndpointDirectory::setOwnerModels(const EndpointId &id, std::optional<LoadedModels> models)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    TrackedEndpoint &state = it->second;
    // Updates repeat the models that the endpoint has refused; one that is newly listed has been
    // loaded since then.
    const auto onListed = [&state](const ModelName &model, const std::string &adapter) {
        if (!hasModel(state, model, adapter)) {
            state.notLoadedUntil.erase({model, adapter});
        }
    };
    if (models) {
        for (const auto &[model, adapters] : *models) {
            onListed(model, {});
            for (const std::string &adapter : adapters) {
                onListed(model, adapter);
            }
        }
    }
    state.ownerModels = std::move(models);
}

void EndpointDirectory::clearOwnerModels()
{
    for (auto &[id, state] : m_endpoints) {
        state.ownerModels.reset();
    }
}

void EndpointDirectory::onTick()
{
    m_suspicions.onTick();
    const SteadyTime now = m_clock.now();
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        TrackedEndpoint &state = it->second;
        const bool isDue = state.removeAt && *state.removeAt <= now;
        if (isDue) {
            state.listed.leaving = true;
        }
        it = isDue && state.inFlight == 0 ? m_endpoints.erase(it) : std::next(it);
    }
    for (auto it = m_removedProcesses.begin(); it != m_removedProcesses.end();) {
        const bool isObsolete = now - it->second.second >= RemovedRetention;
        it = isObsolete ? m_removedProcesses.erase(it) : std::next(it);
    }
    m_statements.onTick([this](const EndpointId &id) {
        return m_endpoints.count(id) > 0;
    });
    for (auto &[id, state] : m_endpoints) {
        if (state.rateShare) {
            updateRateShare(state);
        }
    }
}

// The entry of a later process may arrive before the last answers of an earlier one.
void EndpointDirectory::onStatement(const EndpointIncarnation &from,
                                    const EndpointStatement &statement, StatementSource source,
                                    SteadyTime askedAt)
{
    const auto it = m_endpoints.find(from.endpoint);
    if (it == m_endpoints.end() || from.startedAtMs >= it->second.listed.startedAtMs) {
        m_statements.onStatement(from, statement, source, askedAt);
    }
    if (it != m_endpoints.end()) {
        updateRateShare(it->second);
    }
}

void EndpointDirectory::onRateLimitNotice(const RateLimitNotice &notice)
{
    const auto it = m_endpoints.find(notice.incarnation.endpoint);
    if (it == m_endpoints.end()
        || notice.incarnation.startedAtMs >= it->second.listed.startedAtMs) {
        m_statements.onRateLimitNotice(notice);
    }
    if (it != m_endpoints.end()) {
        updateRateShare(it->second);
    }
}

bool EndpointDirectory::isUsable(const TrackedEndpoint &state) const
{
    return !state.listed.leaving && !m_statements.isLeaving(state.listed.id)
        && m_evacuated.count(state.listed.zone) == 0;
}

bool EndpointDirectory::canUse(const EndpointId &id) const
{
    const TrackedEndpoint *state = find(id);
    return state != nullptr && isUsable(*state);
}

bool EndpointDirectory::acceptsCalls(const EndpointId &id) const
{
    return !m_statements.isLeaving(id) && m_clock.now() >= m_statements.noRequestsUntil(id);
}

const TrackedEndpoint *EndpointDirectory::find(const EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

bool EndpointDirectory::hasModel(const TrackedEndpoint &state, const ModelName &model,
                                 const std::string &adapter)
{
    if (model.empty()) {
        return true;
    }
    const LoadedModels &models = state.ownerModels ? *state.ownerModels : state.listed.models;
    const auto it = models.find(model);
    return it != models.end() && (adapter.empty() || it->second.count(adapter) > 0);
}

int EndpointDirectory::maxInFlight(const TrackedEndpoint &state) const
{
    const EndpointPool *pool = poolOf(state);
    if (pool != nullptr && pool->engine) {
        return std::max(2, static_cast<int>(state.listed.slots * OwnSlotFraction));
    }
    return state.listed.slots + MaxServiceQueue;
}

// After a pause or a rate limit that the endpoint has asked for, the limit grows from a single
// request.
int EndpointDirectory::currentMaxInFlight(const TrackedEndpoint &state) const
{
    const double limit = maxInFlight(state) * m_statements.usableFraction(state.listed.id);
    return std::max(1, static_cast<int>(limit));
}

// By how much a first byte is expected to come later than from an endpoint without load: delays
// seen lately, or the prompts that this instance has sent and that are still being processed.
double EndpointDirectory::delaySeconds(const TrackedEndpoint &state, SteadyTime now) const
{
    const double pending =
        m_responseTimes.promptSeconds(state.listed.pool, state.pendingPromptTokens);
    return std::max(decayedDelay(state, now), pending);
}

double EndpointDirectory::penalty(const TrackedEndpoint &state, const EndpointQuery &query,
                                  SteadyTime now) const
{
    double result = FailurePenalty * decayedFailures(state, now);
    if (state.listed.zone != m_ownZone) {
        result += OtherZonePenalty;
    }
    if (now < state.avoidUntil) {
        result += AvoidPenalty;
    }
    if (now < state.coldUntil) {
        result += ColdPenalty;
    }
    if (state.rateShare) {
        result += RateLimitPenalty;
    }
    if (suspicionOf(state) != SuspicionLevel::None) {
        result += SuspicionPenalty;
    }
    const double objectiveSeconds = std::max(toSeconds(query.objective), MinObjectiveSeconds);
    result += std::min(MaxDelayPenalty, delaySeconds(state, now) / objectiveSeconds);
    if (!query.session.empty()) {
        // All instances rank endpoints the same way, so that a shared prompt prefix is computed on
        // one endpoint.
        const std::size_t rank =
            std::hash<std::string>()(query.session + '/' + state.listed.id.str()) % 1024;
        const double savedSeconds =
            m_responseTimes.promptSeconds(state.listed.pool, query.sessionTokens);
        result += (MinSessionPenalty + savedSeconds / objectiveSeconds) * static_cast<double>(rank)
            / 1024;
    }
    return result;
}

EndpointChoice EndpointDirectory::choose(const EndpointQuery &query)
{
    const SteadyTime now = m_clock.now();
    EndpointChoice choice;
    std::vector<const TrackedEndpoint *> candidates;
    // Used only if no other endpoint can take the request, now or when a slot becomes free: with
    // all others full, a silent endpoint would otherwise get the requests that none of them takes.
    std::vector<const TrackedEndpoint *> suspects;
    std::vector<const TrackedEndpoint *> full;
    bool hasUsableEndpoint = false;
    Duration minColdDelay = Duration::max();
    Duration minPause = Duration::max();
    int pausedCount = 0;
    for (auto &[id, state] : m_endpoints) {
        if (query.pool == nullptr || state.listed.pool != query.pool->name || !isUsable(state)) {
            continue;
        }
        if (std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end()) {
            continue;
        }
        if (query.softwareVersions != nullptr
            && query.softwareVersions->count(state.listed.softwareVersion) == 0) {
            continue;
        }
        if (isLeftToOthers(state)) {
            // The owner may load the model at another endpoint.
            hasUsableEndpoint = hasUsableEndpoint || !query.model.empty();
            continue;
        }
        hasUsableEndpoint = true;
        const bool isUnreachable = now < state.unreachableUntil && !query.model.empty();
        if (isUnreachable || !hasModel(state, query.model, query.adapter)) {
            continue;
        }
        const auto notLoaded = state.notLoadedUntil.find({query.model, query.adapter});
        if (notLoaded != state.notLoadedUntil.end() && now < notLoaded->second) {
            continue;
        }
        const bool isSuspect = suspicionOf(state) == SuspicionLevel::Confirmed;
        const bool isHealthy = !isSuspect && now >= state.avoidUntil
            && decayedFailures(state, now) < MaxHealthyFailureFraction;
        if (query.onlyHealthy && !isHealthy) {
            continue;
        }
        ++choice.candidateCount;
        const SteadyTime pausedUntil = m_statements.noRequestsUntil(id);
        if (now < pausedUntil) {
            ++pausedCount;
            minPause = std::min(minPause, pausedUntil - now);
            continue;
        }
        if (state.rateShare && state.rateShare->level(now) < 1) {
            ++pausedCount;
            choice.ratePerSecond += state.rateShare->rate();
            // A limit of zero is forgotten some time after it was last named.
            const Duration delay =
                std::min(state.rateShare->timeUntil(1, now), EndpointStatements::RateLimitLifetime);
            if (choice.endpoint.empty() || delay < minPause) {
                minPause = std::min(minPause, delay);
                choice.endpoint = id;
            }
            continue;
        }
        if (now < state.busyUntil || state.inFlight >= currentMaxInFlight(state)) {
            full.push_back(&state);
            continue;
        }
        if (now < state.coldUntil && query.pool->coldRequestsPerSecond > 0
            && (!state.coldRateLimit || state.coldRateLimit->level(now) < 1)) {
            if (state.coldRateLimit) {
                minColdDelay = std::min(minColdDelay, state.coldRateLimit->timeUntil(1, now));
            }
            continue;
        }
        (isSuspect ? suspects : candidates).push_back(&state);
    }
    if (choice.candidateCount == pausedCount + static_cast<int>(suspects.size())) {
        candidates = std::move(suspects);
    }
    if (!candidates.empty()) {
        selectCandidate(candidates, query, now, choice);
        return choice;
    }
    choice.kind = choice.candidateCount > 0 ? ChoiceKind::Busy
        : hasUsableEndpoint                 ? ChoiceKind::NotLoaded
                                            : ChoiceKind::NoEndpoint;
    choice.isPaused = pausedCount > 0 && pausedCount == choice.candidateCount;
    if (!choice.isPaused) {
        choice.ratePerSecond = 0;
    }
    choice.retryIn = choice.isPaused
        ? minPause
        : std::min(std::max(minColdDelay, BusyPause), Duration(milliseconds(500)));
    if (!full.empty() && !choice.isPaused) {
        forecastSlot(full, query, choice);
    }
    return choice;
}

void EndpointDirectory::onSent(const EndpointId &id, int promptTokens, const ModelName &model)
{
    const auto it = m_endpoints.find(id);
    checkInvariant(it != m_endpoints.end(), "sent_to_known_endpoint", id.str());
    if (it == m_endpoints.end()) {
        return;
    }
    TrackedEndpoint &state = it->second;
    ++state.inFlight;
    state.pendingPromptTokens += promptTokens;
    if (!model.empty()) {
        ModelLoad &load = state.ownLoads[model];
        load.model = model;
        ++load.requests;
        ++load.unstarted;
    }
    const SteadyTime now = m_clock.now();
    if (now < state.coldUntil && state.coldRateLimit) {
        state.coldRateLimit->tryTake(1, now);
    }
    if (state.rateShare) {
        state.rateShare->tryTake(1, now);
    }
}

void EndpointDirectory::onFirstByte(const EndpointId &id, int promptTokens, Duration after,
                                    const ModelName &model)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    TrackedEndpoint &state = it->second;
    const SteadyTime now = m_clock.now();
    const PoolName &pool = state.listed.pool;
    const double delay =
        std::max(0.0, toSeconds(after - m_responseTimes.expectedFirstByte(pool, promptTokens)));
    const double before = decayedDelay(state, now);
    state.meanDelaySeconds = before + DelayWeight * (delay - before);
    state.lastFirstByteAt = now;
    state.pendingPromptTokens = std::max(0, state.pendingPromptTokens - promptTokens);
    removeUnstarted(state, model);
    m_responseTimes.onFirstByte(pool, promptTokens, after);
}

void EndpointDirectory::onNoFirstByte(const EndpointId &id, int promptTokens,
                                      const ModelName &model)
{
    const auto it = m_endpoints.find(id);
    if (it != m_endpoints.end()) {
        it->second.pendingPromptTokens = std::max(0, it->second.pendingPromptTokens - promptTokens);
        removeUnstarted(it->second, model);
    }
}

void EndpointDirectory::onResponse(const EndpointId &id, int promptTokens, Duration run,
                                   int outputTokens)
{
    const auto it = m_endpoints.find(id);
    if (it != m_endpoints.end()) {
        m_responseTimes.onResponse(it->second.listed.pool, promptTokens, run, outputTokens);
    }
}

void EndpointDirectory::onResult(const EndpointId &id, EndpointResult result,
                                 const ModelName &model, const std::string &adapter)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    TrackedEndpoint &state = it->second;
    checkInvariant(state.inFlight > 0, "in_flight_not_negative", id.str());
    state.inFlight = std::max(0, state.inFlight - 1);
    removeLoad(state, model);
    const SteadyTime now = m_clock.now();
    if (result == EndpointResult::Abandoned) {
        return;
    }
    if (result == EndpointResult::RefusedBusy && !acceptsCalls(id)) {
        // The endpoint itself has stated when it wants requests again.
        return;
    }
    if (result == EndpointResult::RefusedBusy) {
        // An engine with free slots refuses because it is loading or unloading the model.
        if (!model.empty() && state.inFlight < maxInFlight(state) / 2) {
            state.notLoadedUntil[{model, adapter}] = now + LoadingPause;
        } else {
            state.busyUntil = now + BusyPause;
        }
        return;
    }
    if (result == EndpointResult::RefusedNotLoaded) {
        state.notLoadedUntil[{model, adapter}] = now + NotLoadedPause;
        return;
    }
    const double before = decayedFailures(state, now);
    state.lastResultAt = now;
    if (result == EndpointResult::Answered) {
        state.failureFraction = before * (1 - FailureWeight);
        state.avoidUntil = now;
        return;
    }
    state.failureFraction = before + FailureWeight * (1 - before);
    if (result == EndpointResult::Unreachable) {
        const Duration pause =
            state.failureFraction > MaxHealthyFailureFraction * 3 ? MaxAvoidance : MinAvoidance;
        state.avoidUntil = now + pause;
        state.unreachableUntil = now + UnreachablePause;
    }
}

} // namespace marigoldspool
