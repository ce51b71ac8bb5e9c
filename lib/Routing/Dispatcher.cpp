#include "marigoldspool/Routing/Dispatcher.h"

#include "marigoldspool/Support/Invariant.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marigoldspool {

namespace {

// Callers are never told to come back sooner than this; sooner tries only add load.
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(100);
// Placement expects a note at least each second while requests wait.
constexpr Duration DemandInterval = std::chrono::milliseconds(500);
// While runs end, their times are measured several times a second.
constexpr Duration StaleEstimate = std::chrono::seconds(5);

Refusal makeRefusal(RefusalReason reason, RanState ran, std::string message, std::string remedy,
                    Duration retryAfter)
{
    return Refusal{reason, ran, std::move(message), std::move(remedy), retryAfter};
}

Refusal keyWithdrawnRefusal(RanState ran)
{
    return makeRefusal(RefusalReason::KeyWithdrawn, ran, "the key has been withdrawn",
                       "ask the workspace's operators for another key", Duration::zero());
}

Refusal giveUpRefusal(const GiveUp &decision)
{
    if (decision.reason == RefusalReason::AnswerIncomplete) {
        return makeRefusal(decision.reason, decision.ran, "the endpoint broke off its answer",
                           "send again only if the request may run twice", ShortestRetryAfter);
    }
    if (decision.ran == RanState::Unknown) {
        return makeRefusal(
            decision.reason, decision.ran, "the endpoint failed and may have run the request",
            "find out whether it took effect before sending it again", ShortestRetryAfter);
    }
    return makeRefusal(decision.reason, decision.ran,
                       "no endpoint took the request in several tries", "send it again later",
                       std::chrono::seconds(1));
}

RanState ranStateOf(const Request &request)
{
    return request.mayHaveRun ? RanState::Unknown : RanState::No;
}

} // namespace

SlotSource::~SlotSource() = default;

Dispatcher::Dispatcher(DispatcherOptions options, const Clock &clock, SlotSource &slots,
                       Metrics &metrics)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_slots(slots)
    , m_metrics(metrics)
{ }

DispatchActions Dispatcher::onConfiguration(std::shared_ptr<const Configuration> configuration)
{
    assert(configuration && "a configuration in force is never null");
    m_configuration = std::move(configuration);
    for (const EndpointRule &rule : m_configuration->endpoints()) {
        if (rule.zone == m_options.zone && m_endpoints.emplace(rule.id, rule).second) {
            updateSlots(rule.id);
        }
    }
    updatePools();
    DispatchActions actions;
    refuseWithdrawn(actions);
    for (auto &[key, state] : m_targets) {
        dispatch(state, actions);
    }
    return actions;
}

// Pools are known from the rules alone; models from what the engines hold.
void Dispatcher::updatePools()
{
    for (auto &[key, state] : m_targets) {
        if (state.target.isModel()) {
            continue;
        }
        state.replicas.clear();
        for (const EndpointRule &rule : m_configuration->endpoints()) {
            if (rule.kind == EndpointKind::Service && rule.pool == state.target.pool
                && rule.zone == m_options.zone) {
                state.replicas.push_back(rule.id);
            }
        }
    }
}

bool Dispatcher::isKeyInForce(const Request &request) const
{
    if (request.key.empty()) {
        return true;
    }
    const KeyRule *key = m_configuration->findKey(request.key.str());
    return key != nullptr && key->state == KeyState::Active && key->workspace == request.workspace;
}

void Dispatcher::refuseWithdrawn(DispatchActions &actions)
{
    for (auto &[key, state] : m_targets) {
        std::vector<RequestId> withdrawn;
        state.queue.forEach([&](const Request &request) {
            if (!isKeyInForce(request)) {
                withdrawn.push_back(request.id);
            }
        });
        for (const RequestId &id : withdrawn) {
            const Request request = *state.queue.remove(id);
            refuse(request, keyWithdrawnRefusal(ranStateOf(request)), actions);
        }
    }
    std::vector<RequestId> running;
    for (const auto &[id, flight] : m_inFlight) {
        if (!isKeyInForce(flight.request)) {
            running.push_back(id);
        }
    }
    for (const RequestId &id : running) {
        const InFlight flight = m_inFlight.at(id);
        const DispatchActions cancelled = cancel(id);
        actions.insert(actions.end(), cancelled.begin(), cancelled.end());
        refuse(flight.request, keyWithdrawnRefusal(RanState::Unknown), actions);
    }
}

Dispatcher::TargetState &Dispatcher::targetState(const Target &target)
{
    const auto [it, added] = m_targets.try_emplace(target.key());
    if (added) {
        it->second.target = target;
        if (!target.isModel()) {
            updatePools();
        }
    }
    return it->second;
}

const Dispatcher::TargetState *Dispatcher::findTarget(const Target &target) const
{
    const auto it = m_targets.find(target.key());
    return it == m_targets.end() ? nullptr : &it->second;
}

bool Dispatcher::isUsable(const EndpointId &endpoint) const
{
    const EndpointRule *rule = m_configuration->findEndpoint(endpoint.str());
    return rule != nullptr && rule->zone == m_options.zone && rule->state == EndpointState::Serving
        && m_configuration->isZoneServing(rule->zone);
}

bool Dispatcher::hasUsableEndpoint(const TargetState &state) const
{
    return std::any_of(state.replicas.begin(), state.replicas.end(), [&](const EndpointId &id) {
        return isUsable(id);
    });
}

// Takes the next request that can be answered in time. A slot given to one that cannot would be
// wasted while others wait for it, and the endpoint would seem to have failed. With nothing under
// way a request that has just come may be taken in any case, so that an estimate that is too high
// is corrected.
std::optional<Request> Dispatcher::popServable(TargetState &state, DispatchActions &actions,
                                               const RequestId &fresh)
{
    while (std::optional<Request> request = state.queue.pop()) {
        const bool inTime = m_clock.now() + expectedRun(state, *request) <= request->deadline;
        const bool isProbe = request->id == fresh && state.running == 0;
        if (inTime || (isProbe && mayProbe(state, *request))) {
            return request;
        }
        refuse(*request,
               makeRefusal(RefusalReason::DeadlineTooShort, ranStateOf(*request),
                           "the time left is too short for an answer",
                           "send it again later or allow a longer deadline",
                           std::max(predictLastWait(state), ShortestRetryAfter)),
               actions);
    }
    return std::nullopt;
}

// A request that waited here or in another zone has little time left: sent against the estimate,
// such requests expired at their endpoints and their outcome stayed unknown. They are used only
// when nothing else has shown for a while how long runs take.
bool Dispatcher::mayProbe(const TargetState &state, const Request &request) const
{
    return !request.overflow || m_clock.now() - state.measuredAt >= StaleEstimate;
}

DispatchActions Dispatcher::submit(Request request)
{
    assert(m_configuration && "requests come after the first configuration");
    assert(m_inFlight.count(request.id) == 0 && "a request is submitted once");
    DispatchActions actions;
    if (!isKeyInForce(request)) {
        refuse(request, keyWithdrawnRefusal(RanState::No), actions);
        return actions;
    }
    TargetState &state = targetState(request.target);
    ++state.arrived;
    state.overflow = state.overflow || request.overflow;
    const std::optional<Duration> wait = predictWait(request);
    if (!wait) {
        refuse(request,
               makeRefusal(RefusalReason::NoCapacity, RanState::No,
                           "no endpoint of pool " + request.target.pool + " takes requests here",
                           "send it again later", std::chrono::seconds(1)),
               actions);
        return actions;
    }
    // Without a wait the request is sent at once, whatever the estimate says: its answer corrects
    // it.
    const Duration run = *wait > Duration::zero() ? expectedRun(state, request) : Duration::zero();
    if (m_clock.now() + *wait + run > request.deadline) {
        // The caller is told when to come back, so the model has to be loaded by then.
        if (request.target.isModel() && !hasUsableEndpoint(state)) {
            const SteadyTime retryBy = m_clock.now() + 2 * *wait;
            actions.push_back(ReportDemand{request.target.model, state.queue.size() + 1, retryBy,
                                           retryBy, std::exchange(state.arrived, 0), *wait,
                                           request.overflow});
        }
        refuse(request,
               makeRefusal(RefusalReason::DeadlineTooShort, RanState::No,
                           "the expected wait is " + std::to_string(toMilliseconds(*wait)) + " ms",
                           "send it again later or allow a longer deadline", *wait),
               actions);
        return actions;
    }
    if (state.queue.size() >= m_options.maxQueuedPerTarget) {
        std::optional<Request> evicted = state.queue.evictFor(request);
        refuse(evicted ? *evicted : request,
               makeRefusal(RefusalReason::QueueFull, ranStateOf(evicted ? *evicted : request),
                           "too many requests wait for this target", "send it again later",
                           std::max(*wait, ShortestRetryAfter)),
               actions);
        if (!evicted) {
            return actions;
        }
    }
    const RequestId id = request.id;
    state.queue.push(std::move(request));
    dispatch(state, actions, id);
    if (!state.queue.empty()) {
        noteDemand(state, actions);
    }
    return actions;
}

void Dispatcher::noteDemand(TargetState &state, DispatchActions &actions)
{
    if (!state.target.isModel()) {
        return;
    }
    ReportDemand note;
    note.model = state.target.model;
    note.waiting = state.queue.size();
    note.arrived = std::exchange(state.arrived, 0);
    note.predictedWait = predictLastWait(state);
    note.overflow = state.overflow;
    // Kept while the queue that it stands for lasts.
    state.overflow = state.overflow && !state.queue.empty();
    if (!state.queue.empty()) {
        note.earliestDeadline = state.queue.earliestDeadline();
        note.latestDeadline = state.queue.latestDeadline();
    }
    state.notedWaiting = note.waiting;
    state.notedAt = m_clock.now();
    actions.push_back(std::move(note));
}

// Placement needs to hear of a queue that has become empty, and of use without waiting so that a
// model in use is not unloaded.
void Dispatcher::noteDemandIfDue(TargetState &state, DispatchActions &actions)
{
    const bool changed = state.queue.empty() != (state.notedWaiting == 0);
    const bool open = !state.queue.empty() || state.arrived > 0;
    if (changed || (open && m_clock.now() - state.notedAt >= DemandInterval)) {
        noteDemand(state, actions);
    }
}

// The next request is not known before it is popped, so the latest deadline in the queue bounds how
// long its slot may be held.
Duration Dispatcher::longestHold(const TargetState &state) const
{
    return state.queue.latestDeadline() - m_clock.now();
}

std::optional<EndpointId> Dispatcher::chooseEndpoint(const TargetState &state)
{
    std::vector<std::pair<double, EndpointId>> candidates;
    for (const EndpointId &id : state.replicas) {
        const auto it = m_endpoints.find(id);
        if (it == m_endpoints.end() || !isUsable(id) || !it->second.isAvailable(m_clock.now())) {
            continue;
        }
        candidates.emplace_back(it->second.requestsPerSlot(), id);
    }
    std::sort(candidates.begin(), candidates.end());
    const Duration left = longestHold(state);
    for (const auto &[load, id] : candidates) {
        if (m_slots.tryTakeSlot(id, left)) {
            return id;
        }
    }
    return std::nullopt;
}

void Dispatcher::dispatch(TargetState &state, DispatchActions &actions, const RequestId &fresh)
{
    while (!state.queue.empty()) {
        const std::optional<EndpointId> endpoint = chooseEndpoint(state);
        if (!endpoint) {
            return;
        }
        std::optional<Request> request = popServable(state, actions, fresh);
        if (!request) {
            m_slots.returnSlot(*endpoint);
            return;
        }
        ++request->attempts;
        ++state.running;
        m_endpoints.at(*endpoint).onSent();
        actions.push_back(SendToEndpoint{request->id, *endpoint});
        const RequestId id = request->id;
        m_inFlight.emplace(id, InFlight{std::move(*request), *endpoint, m_clock.now()});
    }
}

void Dispatcher::settleEndpoint(const InFlight &flight, EndpointOutcome outcome)
{
    EndpointBehaviour &endpoint = m_endpoints.at(flight.endpoint);
    switch (outcome) {
    case EndpointOutcome::Answered:
        endpoint.slowStart().onAnswered();
        endpoint.onAnswered();
        break;
    case EndpointOutcome::RefusedOverloaded:
    case EndpointOutcome::RefusedNotLoaded:
        endpoint.onRefused(m_clock.now());
        break;
    case EndpointOutcome::NotSent:
    case EndpointOutcome::MaybeSent:
    case EndpointOutcome::CutOff:
        endpoint.onFailure(m_clock.now());
        break;
    }
    updateSlots(flight.endpoint);
    m_slots.returnSlot(flight.endpoint);
}

void Dispatcher::updateSlots(const EndpointId &endpoint)
{
    m_slots.setSlots(endpoint, m_endpoints.at(endpoint).slowStart().slots());
}

DispatchActions Dispatcher::onEndpointResult(const RequestId &id, EndpointOutcome outcome)
{
    DispatchActions actions;
    const auto it = m_inFlight.find(id);
    if (it == m_inFlight.end()) {
        return actions;
    }
    const InFlight flight = std::move(it->second);
    m_inFlight.erase(it);
    settleEndpoint(flight, outcome);
    TargetState &state = targetState(flight.request.target);
    --state.running;
    if (outcome == EndpointOutcome::Answered) {
        state.waits.onFinished(flight.request.cost, m_clock.now() - flight.sentAt);
        state.measuredAt = m_clock.now();
    } else {
        retryOrGiveUp(flight, outcome, actions);
    }
    dispatch(state, actions);
    return actions;
}

void Dispatcher::retryOrGiveUp(const InFlight &flight, EndpointOutcome outcome,
                               DispatchActions &actions)
{
    Request request = flight.request;
    TargetState &state = targetState(request.target);
    if (outcome == EndpointOutcome::RefusedNotLoaded && request.target.isModel()) {
        state.replicas.erase(
            std::remove(state.replicas.begin(), state.replicas.end(), flight.endpoint),
            state.replicas.end());
        actions.push_back(ModelNotLoaded{flight.endpoint, request.target.model});
    }
    const RequestTraits traits{request.idempotent, request.attempts, flight.answerStarted};
    const RetryDecision decision = decideRetry(traits, outcome, request.mayHaveRun);
    request.mayHaveRun = request.mayHaveRun || mayHaveRun(outcome);
    if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
        refuse(request, giveUpRefusal(*giveUp), actions);
        return;
    }
    m_metrics.countRetry(std::get<Retry>(decision).reason);
    state.queue.requeue(std::move(request));
    if (!hasUsableEndpoint(state)) {
        noteDemand(state, actions);
    }
}

void Dispatcher::onAnswerStarted(const RequestId &id)
{
    const auto it = m_inFlight.find(id);
    if (it != m_inFlight.end()) {
        it->second.answerStarted = true;
    }
}

DispatchActions Dispatcher::cancel(const RequestId &id)
{
    DispatchActions actions;
    const auto it = m_inFlight.find(id);
    if (it == m_inFlight.end()) {
        for (auto &[key, state] : m_targets) {
            if (state.queue.remove(id)) {
                break;
            }
        }
        return actions;
    }
    const InFlight flight = std::move(it->second);
    m_inFlight.erase(it);
    actions.push_back(CancelAtEndpoint{id, flight.endpoint});
    m_endpoints.at(flight.endpoint).onReleased();
    m_slots.returnSlot(flight.endpoint);
    TargetState &state = targetState(flight.request.target);
    --state.running;
    dispatch(state, actions);
    return actions;
}

DispatchActions Dispatcher::onReplicas(const ModelName &model, std::vector<EndpointId> endpoints)
{
    TargetState &state = targetState(Target{model, {}});
    state.replicas = std::move(endpoints);
    DispatchActions actions;
    if (m_configuration) {
        dispatch(state, actions);
    }
    return actions;
}

DispatchActions Dispatcher::onLoadRefused(const ModelName &model, const Refusal &refusal)
{
    DispatchActions actions;
    TargetState &state = targetState(Target{model, {}});
    if (!hasUsableEndpoint(state)) {
        refuseAll(state, refusal, actions);
    }
    return actions;
}

void Dispatcher::refuseAll(TargetState &state, const Refusal &refusal, DispatchActions &actions)
{
    for (const Request &request : state.queue.takeAll()) {
        Refusal own = refusal;
        own.ran = ranStateOf(request);
        refuse(request, std::move(own), actions);
    }
}

DispatchActions Dispatcher::onEndpointStatus(const EndpointId &endpoint,
                                             std::string_view incarnation, std::uint64_t completed)
{
    DispatchActions actions;
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return actions;
    }
    const int before = it->second.slowStart().slots();
    it->second.slowStart().onStatus(incarnation, completed);
    if (it->second.slowStart().slots() != before) {
        updateSlots(endpoint);
    }
    return actions;
}

DispatchActions Dispatcher::onTick()
{
    DispatchActions actions;
    const SteadyTime now = m_clock.now();
    for (auto &[key, state] : m_targets) {
        for (const Request &request : state.queue.takeExpired(now + m_options.refusalMargin)) {
            const Duration wait = predictWait(request).value_or(std::chrono::seconds(1));
            refuse(request,
                   makeRefusal(RefusalReason::DeadlinePassed, ranStateOf(request),
                               "the request was not served before its deadline",
                               "send it again later or allow a longer deadline",
                               std::max(wait, ShortestRetryAfter)),
                   actions);
        }
        dispatch(state, actions);
        noteDemandIfDue(state, actions);
    }
    expireInFlight(now, actions);
    return actions;
}

// A stream under way has met its deadline with its first token; the connection's silence limit
// bounds it from then on.
void Dispatcher::expireInFlight(SteadyTime now, DispatchActions &actions)
{
    std::vector<RequestId> expired;
    for (const auto &[id, flight] : m_inFlight) {
        const bool streaming = flight.request.stream && flight.answerStarted;
        if (!streaming && flight.request.deadline <= now + m_options.refusalMargin) {
            expired.push_back(id);
        }
    }
    for (const RequestId &id : expired) {
        const InFlight &flight = m_inFlight.at(id);
        const Request request = flight.request;
        TargetState &state = targetState(request.target);
        state.waits.onAborted(request.cost, now - flight.sentAt);
        state.measuredAt = now;
        const DispatchActions cancelled = cancel(id);
        actions.insert(actions.end(), cancelled.begin(), cancelled.end());
        refuse(request,
               makeRefusal(RefusalReason::DeadlinePassed, RanState::Unknown,
                           "the endpoint did not answer before the deadline",
                           "find out whether it took effect before sending it again",
                           ShortestRetryAfter),
               actions);
    }
}

void Dispatcher::refuse(const Request &request, Refusal refusal, DispatchActions &actions)
{
    checkInvariant(refusal.ran == RanState::Unknown || !request.mayHaveRun, "not_run_is_true",
                   request.id.str());
    actions.push_back(RefuseRequest{request.id, std::move(refusal)});
}

std::size_t Dispatcher::queuedCount() const
{
    std::size_t n = 0;
    for (const auto &[key, state] : m_targets) {
        n += state.queue.size();
    }
    return n;
}

std::vector<Dispatcher::RunningCount> Dispatcher::runningCounts() const
{
    std::map<std::pair<EndpointId, ModelName>, std::size_t> counts;
    for (const auto &[id, flight] : m_inFlight) {
        if (flight.request.target.isModel()) {
            ++counts[{flight.endpoint, flight.request.target.model}];
        }
    }
    std::vector<RunningCount> views;
    views.reserve(counts.size());
    for (const auto &[key, count] : counts) {
        views.push_back({key.first, key.second, count});
    }
    return views;
}

std::map<std::string, std::size_t> Dispatcher::queueLengths() const
{
    std::map<std::string, std::size_t> lengths;
    for (const auto &[key, state] : m_targets) {
        if (!state.queue.empty()) {
            lengths.emplace(key, state.queue.size());
        }
    }
    return lengths;
}

std::vector<Dispatcher::EndpointSnapshot> Dispatcher::endpointSnapshots() const
{
    std::vector<EndpointSnapshot> views;
    views.reserve(m_endpoints.size());
    for (const auto &[id, endpoint] : m_endpoints) {
        views.push_back({id, endpoint.slowStart().slots(), endpoint.inFlightCount(),
                         endpoint.isAvailable(m_clock.now())});
    }
    return views;
}

} // namespace marigoldspool
