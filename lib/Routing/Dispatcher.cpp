#include "marigoldspool/Routing/Dispatcher.h"

#include "marigoldspool/Support/Invariant.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marigoldspool {

namespace {

// Lower bound of the retry-after time given to callers; earlier retries only add load.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
// Placement expects a demand report at least once per second while requests wait.
constexpr Duration DemandReportInterval = std::chrono::milliseconds(500);
// Under load the estimate is updated several times a second, so an older one shows that no recent
// request has been measured.
constexpr Duration MaxEstimateAge = std::chrono::seconds(5);

Refusal keyWithdrawnRefusal(RanState ran)
{
    return Refusal{RefusalReason::KeyWithdrawn, ran, "the key has been withdrawn",
                   "ask the workspace's operators for another key", Duration::zero()};
}

Refusal giveUpRefusal(const GiveUp &decision)
{
    if (decision.reason == RefusalReason::AnswerIncomplete) {
        return Refusal{decision.reason, decision.ran,
                       "the endpoint's answer ended before it was complete",
                       "send again only if the request may run twice", MinRetryAfter};
    }
    if (decision.ran == RanState::Unknown) {
        return Refusal{decision.reason, decision.ran,
                       "the endpoint failed and may have run the request",
                       "find out whether it took effect before sending it again", MinRetryAfter};
    }
    return Refusal{decision.reason, decision.ran,
                   "no endpoint accepted the request in several attempts", "send it again later",
                   std::chrono::seconds(1)};
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
    assert(configuration && "the configuration must not be null");
    m_configuration = std::move(configuration);
    for (const EndpointRule &rule : m_configuration->endpoints()) {
        if (rule.zone == m_options.zone && m_endpoints.emplace(rule.id, rule).second) {
            updateSlots(rule.id);
        }
    }
    updatePools();
    DispatchActions actions;
    refuseWithdrawnKeys(actions);
    for (auto &[key, state] : m_targets) {
        dispatch(state, actions);
    }
    return actions;
}

// Updates the replicas of service pools, which follow from the configuration. Those of models come
// from the engines, through onReplicas().
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

bool Dispatcher::isKeyActive(const Request &request) const
{
    if (request.key.empty()) {
        return true;
    }
    const KeyRule *key = m_configuration->findKey(request.key.str());
    return key != nullptr && key->state == KeyState::Active && key->workspace == request.workspace;
}

void Dispatcher::refuseWithdrawnKeys(DispatchActions &actions)
{
    for (auto &[key, state] : m_targets) {
        std::vector<RequestId> withdrawn;
        state.queue.forEach([&](const Request &request) {
            if (!isKeyActive(request)) {
                withdrawn.push_back(request.id);
            }
        });
        for (const RequestId &id : withdrawn) {
            const Request request = *state.queue.remove(id);
            refuse(request, keyWithdrawnRefusal(ranStateOf(request)), actions);
        }
    }
    std::vector<RequestId> running;
    for (const auto &[id, inFlight] : m_inFlight) {
        if (!isKeyActive(inFlight.request)) {
            running.push_back(id);
        }
    }
    for (const RequestId &id : running) {
        const InFlightRequest inFlight = m_inFlight.at(id);
        const DispatchActions cancelled = cancel(id);
        actions.insert(actions.end(), cancelled.begin(), cancelled.end());
        refuse(inFlight.request, keyWithdrawnRefusal(RanState::Unknown), actions);
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

// Pops the next request that can be answered before its deadline and refuses those before it. A
// request that expires at its endpoint wastes a slot that others wait for and makes the endpoint
// appear to have failed. If nothing is in flight, the request just submitted may be sent regardless
// of the estimate: its run time corrects an estimate that is too high.
std::optional<Request> Dispatcher::popServable(TargetState &state, DispatchActions &actions,
                                               const RequestId &submitted)
{
    while (std::optional<Request> request = state.queue.pop()) {
        if (outlastsStop(expectedRunTime(state, *request))) {
            refuse(*request, stopRefusal(ranStateOf(*request), false), actions);
            continue;
        }
        const bool inTime = m_clock.now() + expectedRunTime(state, *request) <= request->deadline;
        const bool isProbe = request->id == submitted && state.runningCount == 0;
        if (inTime || (isProbe && canProbe(state, *request))) {
            return request;
        }
        refuse(*request,
               Refusal{RefusalReason::DeadlineTooShort, ranStateOf(*request),
                       "the time left before the deadline is too short for an answer",
                       "send it again later or allow a longer deadline",
                       std::max(predictQueueWait(state), MinRetryAfter)},
               actions);
    }
    return std::nullopt;
}

// A request that has waited in another zone has little time left: when such requests were sent
// despite the estimate, they expired at their endpoints and their outcome was unknown. They are
// sent as probes only if no run has been measured for MaxEstimateAge.
bool Dispatcher::canProbe(const TargetState &state, const Request &request) const
{
    return !request.overflow || m_clock.now() - state.lastMeasuredAt >= MaxEstimateAge;
}

DispatchActions Dispatcher::submit(Request request)
{
    assert(m_configuration && "submit() requires a configuration");
    assert(m_inFlight.count(request.id) == 0 && "a request must not be submitted twice");
    DispatchActions actions;
    if (!isKeyActive(request)) {
        refuse(request, keyWithdrawnRefusal(RanState::No), actions);
        return actions;
    }
    TargetState &state = targetState(request.target);
    ++state.arrived;
    state.overflow = state.overflow || request.overflow;
    const std::optional<Duration> wait = predictWait(request);
    if (!wait) {
        refuse(
            request,
            Refusal{RefusalReason::NoCapacity, RanState::No,
                    "no endpoint of pool " + request.target.pool + " accepts requests in this zone",
                    "send it again later", std::chrono::seconds(1)},
            actions);
        return actions;
    }
    // If no wait is predicted, the request is sent at once regardless of the estimated run time,
    // because its answer corrects an estimate that is too high.
    const Duration run =
        *wait > Duration::zero() ? expectedRunTime(state, request) : Duration::zero();
    if (m_clock.now() + *wait + run > request.deadline) {
        // The refusal tells the caller when to retry; report demand so that the model is loaded by
        // then.
        if (request.target.isModel() && !hasUsableEndpoint(state)) {
            const SteadyTime retryBy = m_clock.now() + 2 * *wait;
            actions.push_back(ReportDemand{request.target.model, state.queue.size() + 1, retryBy,
                                           retryBy, std::exchange(state.arrived, 0), *wait,
                                           request.overflow});
        }
        refuse(request,
               Refusal{RefusalReason::DeadlineTooShort, RanState::No,
                       "the expected wait is " + std::to_string(toMilliseconds(*wait)) + " ms",
                       "send it again later or allow a longer deadline", *wait},
               actions);
        return actions;
    }
    if (outlastsStop(*wait + expectedRunTime(state, request))) {
        refuse(request, stopRefusal(ranStateOf(request), false), actions);
        return actions;
    }
    if (state.queue.size() >= m_options.maxQueuedPerTarget) {
        std::optional<Request> evicted = state.queue.evictFor(request);
        refuse(evicted ? *evicted : request,
               Refusal{RefusalReason::QueueFull, ranStateOf(evicted ? *evicted : request),
                       "too many requests wait for this target", "send it again later",
                       std::max(*wait, MinRetryAfter)},
               actions);
        if (!evicted) {
            return actions;
        }
    }
    const RequestId id = request.id;
    state.queue.push(std::move(request));
    dispatch(state, actions, id);
    if (!state.queue.empty()) {
        reportDemand(state, actions);
    }
    return actions;
}

void Dispatcher::reportDemand(TargetState &state, DispatchActions &actions)
{
    if (!state.target.isModel()) {
        return;
    }
    ReportDemand report;
    report.model = state.target.model;
    report.waiting = state.queue.size();
    report.arrived = std::exchange(state.arrived, 0);
    report.predictedWait = predictQueueWait(state);
    report.overflow = state.overflow;
    // Stays set until the queue is empty.
    state.overflow = state.overflow && !state.queue.empty();
    if (!state.queue.empty()) {
        report.earliestDeadline = state.queue.earliestDeadline();
        report.latestDeadline = state.queue.latestDeadline();
    }
    state.reportedWaiting = report.waiting;
    state.reportedAt = m_clock.now();
    actions.push_back(std::move(report));
}

// Reports when the queue becomes empty or non-empty, and periodically while requests wait or
// arrive. Requests that are served without waiting are reported too, so that placement does not
// unload a model in use.
void Dispatcher::reportDemandIfDue(TargetState &state, DispatchActions &actions)
{
    const bool changed = state.queue.empty() != (state.reportedWaiting == 0);
    const bool open = !state.queue.empty() || state.arrived > 0;
    if (changed || (open && m_clock.now() - state.reportedAt >= DemandReportInterval)) {
        reportDemand(state, actions);
    }
}

// The slot is taken before the next request is popped, so the latest deadline in the queue bounds
// the time for which the slot may be held.
Duration Dispatcher::maxHoldTime(const TargetState &state) const
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
    const Duration maxHold = maxHoldTime(state);
    for (const auto &[load, id] : candidates) {
        if (m_slots.tryTakeSlot(id, maxHold)) {
            return id;
        }
    }
    return std::nullopt;
}

void Dispatcher::dispatch(TargetState &state, DispatchActions &actions, const RequestId &submitted)
{
    while (!state.queue.empty()) {
        const std::optional<EndpointId> endpoint = chooseEndpoint(state);
        if (!endpoint) {
            return;
        }
        std::optional<Request> request = popServable(state, actions, submitted);
        if (!request) {
            m_slots.returnSlot(*endpoint);
            return;
        }
        ++request->attempts;
        ++state.runningCount;
        m_endpoints.at(*endpoint).onSent();
        actions.push_back(SendToEndpoint{request->id, *endpoint});
        const RequestId id = request->id;
        m_inFlight.emplace(id, InFlightRequest{std::move(*request), *endpoint, m_clock.now()});
    }
}

void Dispatcher::recordEndpointResult(const InFlightRequest &inFlight, EndpointOutcome outcome)
{
    EndpointBehaviour &endpoint = m_endpoints.at(inFlight.endpoint);
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
    updateSlots(inFlight.endpoint);
    m_slots.returnSlot(inFlight.endpoint);
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
    const InFlightRequest inFlight = std::move(it->second);
    m_inFlight.erase(it);
    recordEndpointResult(inFlight, outcome);
    TargetState &state = targetState(inFlight.request.target);
    --state.runningCount;
    if (outcome == EndpointOutcome::Answered) {
        state.waitEstimator.onFinished(inFlight.request.cost, m_clock.now() - inFlight.sentAt);
        state.lastMeasuredAt = m_clock.now();
    } else {
        retryOrGiveUp(inFlight, outcome, actions);
    }
    dispatch(state, actions);
    return actions;
}

void Dispatcher::retryOrGiveUp(const InFlightRequest &inFlight, EndpointOutcome outcome,
                               DispatchActions &actions)
{
    Request request = inFlight.request;
    TargetState &state = targetState(request.target);
    if (outcome == EndpointOutcome::RefusedNotLoaded && request.target.isModel()) {
        state.replicas.erase(
            std::remove(state.replicas.begin(), state.replicas.end(), inFlight.endpoint),
            state.replicas.end());
        actions.push_back(ModelNotLoaded{inFlight.endpoint, request.target.model});
    }
    const RequestTraits traits{request.idempotent, request.attempts, inFlight.answerStarted};
    const RetryDecision decision = decideRetry(traits, outcome, request.mayHaveRun);
    request.mayHaveRun = request.mayHaveRun || mayHaveRun(outcome);
    if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
        refuse(request, giveUpRefusal(*giveUp), actions);
        return;
    }
    m_metrics.countRetry(std::get<Retry>(decision).reason);
    state.queue.requeue(std::move(request));
    if (!hasUsableEndpoint(state)) {
        reportDemand(state, actions);
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
    const InFlightRequest inFlight = std::move(it->second);
    m_inFlight.erase(it);
    actions.push_back(CancelAtEndpoint{id, inFlight.endpoint});
    m_endpoints.at(inFlight.endpoint).onReleased();
    m_slots.returnSlot(inFlight.endpoint);
    TargetState &state = targetState(inFlight.request.target);
    --state.runningCount;
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
                   Refusal{RefusalReason::DeadlinePassed, ranStateOf(request),
                           "the request was not served before its deadline",
                           "send it again later or allow a longer deadline",
                           std::max(wait, MinRetryAfter)},
                   actions);
        }
        dispatch(state, actions);
        reportDemandIfDue(state, actions);
    }
    expireInFlight(now, actions);
    return actions;
}

// The deadline of a stream applies to its first token; after that it is bounded by the idle timeout
// of the connection.
void Dispatcher::expireInFlight(SteadyTime now, DispatchActions &actions)
{
    std::vector<RequestId> expired;
    for (const auto &[id, inFlight] : m_inFlight) {
        const bool streaming = inFlight.request.stream && inFlight.answerStarted;
        if (!streaming && inFlight.request.deadline <= now + m_options.refusalMargin) {
            expired.push_back(id);
        }
    }
    for (const RequestId &id : expired) {
        const InFlightRequest &inFlight = m_inFlight.at(id);
        const Request request = inFlight.request;
        TargetState &state = targetState(request.target);
        state.waitEstimator.onAborted(request.cost, now - inFlight.sentAt);
        state.lastMeasuredAt = now;
        const DispatchActions cancelled = cancel(id);
        actions.insert(actions.end(), cancelled.begin(), cancelled.end());
        refuse(request,
               Refusal{RefusalReason::DeadlinePassed, RanState::Unknown,
                       "the endpoint did not answer before the deadline",
                       "find out whether it took effect before sending it again", MinRetryAfter},
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
    for (const auto &[id, inFlight] : m_inFlight) {
        if (inFlight.request.target.isModel()) {
            ++counts[{inFlight.endpoint, inFlight.request.target.model}];
        }
    }
    std::vector<RunningCount> running;
    running.reserve(counts.size());
    for (const auto &[key, count] : counts) {
        running.push_back({key.first, key.second, count});
    }
    return running;
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
    std::vector<EndpointSnapshot> snapshots;
    snapshots.reserve(m_endpoints.size());
    for (const auto &[id, endpoint] : m_endpoints) {
        snapshots.push_back({id, endpoint.slowStart().slots(), endpoint.inFlightCount(),
                             endpoint.isAvailable(m_clock.now())});
    }
    return snapshots;
}

} // namespace marigoldspool
