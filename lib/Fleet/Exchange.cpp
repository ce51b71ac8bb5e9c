#include "Fleet/ExchangeAttempt.h"

#include "marigoldspool/Support/Invariant.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers of a stream leave after the longest of these without an event.
constexpr Duration LeastStreamPatience = seconds(2);
constexpr int ObjectivePatience = 4;
constexpr int PausePatience = 8;
// The final answer of a request that cannot be served comes this long before the caller leaves.
constexpr Duration AnswerMargin = milliseconds(40);

constexpr Duration EngineConnectTimeout = milliseconds(600);
constexpr Duration ServiceConnectTimeout = milliseconds(200);
// A request that may be repeated is given to another endpoint when nothing comes for this long: a
// stream in its middle, and before the first byte a multiple of the objective.
constexpr Duration StreamSilence = milliseconds(1300);
constexpr double FirstByteObjectives = 2.5;
constexpr Duration LeastFirstByteWait = milliseconds(250);
constexpr Duration FirstConfigurationRetry = milliseconds(500);

} // namespace

Exchange::Exchange(ServingFront &front, ServingRequest request, std::shared_ptr<ResponseSink> sink)
    : m_front(front)
    , m_runtime(front.m_runtime)
    , m_request(std::move(request))
    , m_sink(std::move(sink))
    , m_timer(m_runtime.io)
    , m_arrival(m_runtime.clock.now())
{ }

void Exchange::start()
{
    m_sink->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    if (!readConfiguration()) {
        return;
    }
    m_deadline = m_arrival + m_route->timeout;
    if (m_request.patience) {
        m_deadline = std::min(m_deadline, m_arrival + *m_request.patience);
    }
    m_patientUntil = m_deadline - AnswerMargin;
    if (m_route->kind == RequestKind::Stream) {
        const Duration patience =
            std::max({LeastStreamPatience, m_route->objective * ObjectivePatience,
                      m_route->longestPause * PausePatience});
        m_patientUntil = std::min(m_patientUntil, m_arrival + patience - AnswerMargin);
    }
    m_timer.expires_after(m_deadline - m_arrival);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->onDeadline();
        }
    });
    m_runtime.retries.onRequest(m_pool->name);
    if (isEngineRequest()) {
        m_front.m_demand.onArrival({m_pool->name, m_request.model, {}});
        if (!m_request.adapter.empty()) {
            m_front.m_demand.onArrival({m_pool->name, m_request.model, m_request.adapter});
        }
    }
    dispatch();
}

// What was decided earlier may rest on an older configuration, so this is asked again right before
// each sending.
bool Exchange::readConfiguration()
{
    const std::shared_ptr<const RouteTable> &routes = m_runtime.routes;
    if (routes == nullptr) {
        refuse(RefusalReason::StoreUnavailable, RanState::No, FirstConfigurationRetry,
               "this instance has no configuration yet");
        return false;
    }
    if (routes == m_routes) {
        return true;
    }
    m_routes = routes;
    m_route = routes->find(m_request.host, m_request.target);
    if (m_route == nullptr) {
        refuse(RefusalReason::RouteUnknown, RanState::No, Duration::zero(),
               "no route has this host and path");
        return false;
    }
    m_pool = routes->configuration()->pool(choosePool(*m_route, m_request.id));
    m_priority = m_route->priority;
    m_workspace = WorkspaceName();
    if (routes->asksForKeys() && !m_route->open) {
        const ServedWorkspace *workspace = routes->workspaceOf(m_request.key);
        if (workspace == nullptr) {
            refuse(m_request.key.empty() ? RefusalReason::KeyMissing : RefusalReason::KeyUnknown,
                   RanState::No, Duration::zero(), "the key is not known");
            return false;
        }
        m_workspace = workspace->name;
        m_priority = workspace->priority.value_or(m_route->priority);
    }
    if (m_pool == nullptr) {
        refuse(RefusalReason::NoCapacity, RanState::No, FirstConfigurationRetry,
               "the route's pool is not configured");
        return false;
    }
    return true;
}

bool Exchange::admitQuota()
{
    if (m_paid || m_workspace.empty()) {
        return true;
    }
    const ServedWorkspace *workspace = m_routes->workspaceOf(m_request.key);
    double cost = 1;
    if (workspace != nullptr && workspace->countsTokens) {
        cost = m_request.hasTokens
            ? static_cast<double>(m_request.promptTokens) + m_request.outputTokens
            : workspace->plainCost;
    }
    const std::optional<Duration> wait = m_runtime.quota.take(m_workspace, cost);
    if (!wait) {
        m_paid = true;
        return true;
    }
    refuse(RefusalReason::RateExceeded, RanState::No, *wait, "the workspace has used its rate");
    return false;
}

bool Exchange::isRepeatable() const
{
    return m_route->kind == RequestKind::Idempotent || m_route->resumable;
}

bool Exchange::isEngineRequest() const
{
    return m_pool->engine.has_value() && !m_request.model.empty();
}

std::string Exchange::session() const
{
    return m_request.prompt.size() > 1 ? m_request.prompt[m_request.prompt.size() - 2].id
                                       : std::string();
}

Duration Exchange::timeLeft() const
{
    return m_deadline - m_runtime.clock.now();
}

Duration Exchange::patienceLeft() const
{
    return m_patientUntil - m_runtime.clock.now();
}

std::optional<DemandKey> Exchange::missing() const
{
    if (!m_waiting || m_waitsFor != ChoiceKind::NotHeld || m_pool == nullptr) {
        return std::nullopt;
    }
    return DemandKey{m_pool->name, m_request.model, m_request.adapter};
}

void Exchange::dispatch()
{
    if (m_finished || m_attempt || !readConfiguration() || !admitQuota()) {
        return;
    }
    EndpointQuery query = endpointQuery();
    EndpointChoice choice = m_runtime.directory.choose(query);
    if (choice.kind != ChoiceKind::Send && !m_tried.empty()) {
        // An endpoint that refused before running may be asked again.
        query.excluded = {};
        choice = m_runtime.directory.choose(query);
    }
    if (choice.kind == ChoiceKind::Send) {
        send(choice.endpoint);
    } else {
        wait(choice);
    }
}

void Exchange::wait(const EndpointChoice &choice)
{
    const SteadyTime now = m_runtime.clock.now();
    WaitQuery query;
    query.kind = choice.kind;
    query.waited = now - m_arrival;
    query.patienceLeft = patienceLeft();
    query.forecast = m_front.forecast({m_request.model, m_request.adapter});
    query.ownerReachable = m_front.m_ownerReachable;
    query.retryIn = choice.retryIn;
    const WaitDecision decision = decideWait(query);
    if (!decision.wait) {
        refuse(decision.reason, m_runs > 0 ? RanState::Unknown : RanState::No, decision.retryAfter,
               choice.kind == ChoiceKind::NotHeld ? "the model is not loaded in time"
                                                  : "no endpoint has room in time");
        return;
    }
    const bool isNew = !m_waiting || m_waitsFor != choice.kind;
    m_waitsFor = choice.kind;
    if (choice.kind == ChoiceKind::NotHeld && isNew) {
        m_front.m_newDemand = true;
    }
    if (!m_waiting) {
        m_waiting = true;
        m_front.addWaiting(shared_from_this());
    }
}

Duration Exchange::silenceLimit() const
{
    if (m_answerStarted) {
        return StreamSilence;
    }
    const auto objectives =
        std::chrono::duration_cast<Duration>(m_route->objective * FirstByteObjectives);
    const Duration firstByte = std::max(LeastFirstByteWait, objectives);
    return m_route->kind == RequestKind::Stream ? std::max(firstByte, StreamSilence) : firstByte;
}

// An endpoint that is only slow still brings the answer, so silence alone ends nothing: the request
// is taken away only if another endpoint can have it at once.
void Exchange::checkSilence()
{
    if (!m_attempt || !isRepeatable() || m_runs + 1 >= m_route->attempts
        || m_runtime.clock.now() - m_lastByteAt < silenceLimit()
        || (m_answerStarted && (!m_route->resumable || m_events.lastId().empty()))) {
        return;
    }
    EndpointQuery query = endpointQuery();
    query.onlySound = true;
    if (m_runtime.directory.choose(query).kind != ChoiceKind::Send) {
        return;
    }
    m_lastError = "silent";
    m_runtime.endpoints->cancel(m_request.id);
    onOutcome(m_answerStarted ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent,
              EndpointResult::Failed);
}

EndpointQuery Exchange::endpointQuery() const
{
    EndpointQuery query;
    query.pool = m_pool;
    if (isEngineRequest()) {
        query.model = m_request.model;
        query.adapter = m_request.adapter;
        query.session = session();
    }
    query.excluded = m_tried;
    return query;
}

void Exchange::send(const EndpointId &endpoint)
{
    if (m_waiting) {
        m_waiting = false;
        m_front.removeWaiting(*this);
    }
    const EndpointState *state = m_runtime.directory.find(endpoint);
    checkInvariant(m_runtime.directory.mayUse(endpoint), "sent_to_usable_endpoint", endpoint.str());
    const Duration left = timeLeft();
    if (left <= Duration::zero()) {
        onDeadline();
        return;
    }
    SendContext context;
    context.workspace = m_workspace;
    context.timeLeft = left;
    if (isEngineRequest()) {
        context.priority = m_priority;
    }
    context.lastEventId = m_events.lastId().empty() ? m_request.lastEventId : m_events.lastId();
    EndpointCall call = m_runtime.wire.encodeCall(m_request, state->listed, context);
    call.id = m_request.id;
    call.timeout = left + milliseconds(200);
    call.connectTimeout =
        std::min<Duration>(left, isEngineRequest() ? EngineConnectTimeout : ServiceConnectTimeout);
    // Silence is judged by checkSilence(); a dead connection is found by the kernel's probes.
    call.idleTimeout = call.timeout;
    call.mayEndWithConnection = true;

    m_endpoint = endpoint;
    m_tried.push_back(endpoint);
    ++m_attempts;
    m_sentAt = m_runtime.clock.now();
    if (m_attempts == 1) {
        m_firstSentAt = m_sentAt;
    }
    m_firstByteSeen = false;
    m_lastByteAt = m_sentAt;
    m_status = 0;
    m_answerHeaders.clear();
    m_answerBody.clear();
    m_streaming = false;
    m_events.dropPartialEvent();
    m_attempt = std::make_shared<Attempt>(shared_from_this());
    m_runtime.directory.onSent(endpoint);
    m_runtime.endpoints->call(std::move(call), m_attempt);
}

} // namespace marigoldspool
