#include "Fleet/Exchange.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"

#include <algorithm>
#include <array>
#include <cstdio>

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
// Bytes that a caller may leave unread before its stream is given up.
constexpr std::size_t MostPendingBytes = 4U << 20U;
// Refusals before running do not use up the route's attempts, but they end here.
constexpr int MostTries = 6;
constexpr Duration OverloadRetry = milliseconds(300);
constexpr Duration FirstConfigurationRetry = milliseconds(500);

std::string fractionalSeconds(Duration value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(value).count());
    return text.data();
}

std::string milliText(Duration value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
}

} // namespace

/// Receives the answer to one try; a try that has been given up is not listened to any more.
class Exchange::Attempt final : public EndpointCallHandler
{
public:
    explicit Attempt(std::shared_ptr<Exchange> exchange)
        : m_exchange(std::move(exchange))
    { }

    void detach() { m_exchange.reset(); }

    void onHead(int status, gsl::span<const HeaderField> headers) override
    {
        if (const auto exchange = m_exchange) {
            exchange->onHead(status, headers);
        }
    }
    void onData(std::string_view bytes) override
    {
        if (const auto exchange = m_exchange) {
            exchange->onData(bytes);
        }
    }
    void onComplete() override
    {
        if (const auto exchange = m_exchange) {
            exchange->onComplete();
        }
    }
    void onFailure(SendStage stage, Error error) override
    {
        if (const auto exchange = m_exchange) {
            exchange->onFailure(stage, error);
        }
    }

private:
    std::shared_ptr<Exchange> m_exchange;
};

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
    query.forecast = m_front.forecast(m_request.model);
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
    call.silenceLimit = call.timeout;
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

void Exchange::onHead(int status, gsl::span<const HeaderField> headers)
{
    m_status = status;
    m_lastByteAt = m_runtime.clock.now();
    m_traits = m_runtime.wire.decodeAnswer(status, headers);
    m_answerHeaders.assign(headers.begin(), headers.end());
    const bool isSuccess = status >= 200 && status < 300;
    m_streaming = isSuccess && m_route->kind == RequestKind::Stream && m_traits.sealed
        && !m_traits.encoded && !m_traits.notRun;
    if (!m_firstByteSeen && !m_traits.notRun && !m_traits.absent) {
        m_firstByteSeen = true;
        m_runtime.directory.onFirstByte(m_endpoint, m_runtime.clock.now() - m_sentAt);
    }
}

void Exchange::onData(std::string_view bytes)
{
    m_lastByteAt = m_runtime.clock.now();
    if (!m_streaming) {
        m_answerBody.append(bytes);
        return;
    }
    const std::string events = m_events.feed(bytes);
    if (!events.empty()) {
        passEvents(events);
    }
}

void Exchange::passEvents(const std::string &events)
{
    if (!m_answerStarted) {
        m_answerStarted = true;
        m_firstEventAt = m_runtime.clock.now();
        m_sink->head(m_status, m_answerHeaders, true);
    }
    m_sink->data(events);
    if (m_sink->pendingBytes() > MostPendingBytes) {
        m_runtime.endpoints->cancel(m_request.id);
        endAttempt(EndpointResult::Abandoned);
        m_sink->abort();
        finish("caller_too_slow", m_status);
    }
}

void Exchange::onComplete()
{
    if (m_traits.absent || m_traits.notRun) {
        const bool absent = m_traits.absent;
        m_lastError = absent ? "absent" : "busy";
        onOutcome(absent ? EndpointOutcome::RefusedCold : EndpointOutcome::RefusedOverloaded,
                  absent ? EndpointResult::RefusedAbsent : EndpointResult::RefusedBusy);
        return;
    }
    const bool isSuccess = m_status >= 200 && m_status < 300;
    if (isSuccess && (!m_traits.sealed || m_traits.encoded)) {
        m_lastError = "unsealed";
        onOutcome(EndpointOutcome::MaybeSent, EndpointResult::Failed);
        return;
    }
    if (m_streaming && m_events.hasPartialEvent()) {
        m_lastError = "partial_event";
        onOutcome(EndpointOutcome::CutOff, EndpointResult::Failed);
        return;
    }
    onAnswered();
}

void Exchange::onAnswered()
{
    const bool isServerError = m_status >= 500;
    if (isServerError && !m_answerStarted && isRepeatable() && m_attempts < m_route->attempts
        && patienceLeft() > Duration::zero() && m_runtime.retries.tryRepeat(m_pool->name)) {
        ++m_runs;
        m_lastError = "status_" + std::to_string(m_status);
        m_runtime.metrics->countRetry(RetryReason::ConnectFailed);
        endAttempt(EndpointResult::Failed);
        dispatch();
        return;
    }
    endAttempt(isServerError ? EndpointResult::Failed : EndpointResult::Answered);
    if (m_answerStarted) {
        m_sink->finish();
        finish("served", m_status);
        return;
    }
    m_sink->head(m_status, m_answerHeaders, false);
    m_sink->data(m_answerBody);
    m_sink->finish();
    finish(isServerError ? "endpoint_error" : "served", m_status);
}

void Exchange::onFailure(SendStage stage, const Error &error)
{
    m_lastError = error.message;
    if (m_answerStarted) {
        onOutcome(EndpointOutcome::CutOff, EndpointResult::Failed);
    } else if (stage == SendStage::NotSent) {
        onOutcome(EndpointOutcome::NotSent, EndpointResult::Unreachable);
    } else {
        onOutcome(EndpointOutcome::MaybeSent, EndpointResult::Failed);
    }
}

void Exchange::onOutcome(EndpointOutcome outcome, EndpointResult result)
{
    endAttempt(result);
    if (mayHaveRun(outcome)) {
        ++m_runs;
    }
    if (m_answerStarted) {
        if (!resume()) {
            m_sink->abort();
            finish("cut_off", m_status);
        }
        return;
    }
    const RetryDecision decision =
        decideRetry({isRepeatable(), m_attempts, m_answerStarted}, outcome, m_runs > 0);
    const bool hasTime = patienceLeft() > Duration::zero();
    const bool hasRuns = m_runs < m_route->attempts && m_attempts < MostTries;
    const auto *retry = std::get_if<Retry>(&decision);
    // A try that reached no endpoint is not counted as a repeat by anyone.
    const bool isFree = outcome == EndpointOutcome::NotSent;
    if (retry != nullptr && hasTime && hasRuns
        && (isFree || m_runtime.retries.tryRepeat(m_pool->name))) {
        m_runtime.metrics->countRetry(retry->reason);
        dispatch();
        return;
    }
    if (m_runs > 0) {
        refuse(RefusalReason::OutcomeUnknown, RanState::Unknown, Duration::zero(),
               "the endpoint broke off: " + m_lastError);
        return;
    }
    refuse(RefusalReason::NoCapacity, RanState::No, OverloadRetry,
           "the endpoints have no room: " + m_lastError);
}

// A stream goes on at another endpoint behind the last whole event that the caller has.
bool Exchange::resume()
{
    if (!m_route->resumable || m_events.lastId().empty() || m_runs >= m_route->attempts
        || timeLeft() <= milliseconds(100) || !m_runtime.retries.tryRepeat(m_pool->name)) {
        return false;
    }
    m_runtime.metrics->countRetry(RetryReason::ConnectFailed);
    // The stream must not pause for long, so only an endpoint that can take it now will do.
    if (!readConfiguration()) {
        return true;
    }
    const EndpointChoice choice = m_runtime.directory.choose(endpointQuery());
    if (choice.kind != ChoiceKind::Send) {
        return false;
    }
    send(choice.endpoint);
    return true;
}

void Exchange::onDeadline()
{
    if (m_finished) {
        return;
    }
    if (m_attempt) {
        ++m_runs;
        m_runtime.endpoints->cancel(m_request.id);
        endAttempt(EndpointResult::Abandoned);
    }
    if (m_answerStarted) {
        m_sink->abort();
        finish("deadline", m_status);
        return;
    }
    refuse(RefusalReason::DeadlinePassed, m_runs > 0 ? RanState::Unknown : RanState::No,
           Duration::zero(), "the request was not answered within its time");
}

void Exchange::onCallerGone()
{
    if (m_finished) {
        return;
    }
    if (m_attempt) {
        m_runtime.endpoints->cancel(m_request.id);
        endAttempt(EndpointResult::Abandoned);
    }
    finish("caller_gone", 0);
}

void Exchange::endAttempt(EndpointResult result)
{
    if (!m_attempt) {
        return;
    }
    m_attempt->detach();
    m_attempt.reset();
    m_runtime.directory.onResult(m_endpoint, result, m_request.model);
    m_front.poke();
}

// Only a request that surely has not run is answered with a status that says so.
void Exchange::refuse(RefusalReason reason, RanState ran, Duration retryAfter, std::string message)
{
    if (m_finished) {
        return;
    }
    if (m_answerStarted) {
        m_sink->abort();
        finish("cut_off", m_status);
        return;
    }
    constexpr int GatewayTimeout = 504;
    constexpr int BadGateway = 502;
    constexpr int Unavailable = 503;
    int status = refusalHttpStatus(reason);
    if (ran == RanState::Unknown) {
        status = reason == RefusalReason::DeadlinePassed ? GatewayTimeout : BadGateway;
    } else if (status >= 500 || status == 408) {
        status = Unavailable;
    }
    checkInvariant(ran == RanState::No || status == GatewayTimeout || status == BadGateway,
                   "refusal_is_true", m_request.id.str());
    const Refusal refusal{reason, ran, std::move(message), "send the request again later",
                          retryAfter};
    std::vector<HeaderField> headers{{"Content-Type", "application/json"}};
    if (retryAfter > Duration::zero()) {
        headers.push_back({"Retry-After", fractionalSeconds(retryAfter)});
    }
    m_sink->head(status, headers, false);
    m_sink->data(errorBody(refusal, m_request.id));
    m_sink->finish();
    m_runtime.metrics->countRefusal(reason);
    m_lastError = refusal.message;
    finish(refusalCode(reason), status);
}

void Exchange::finish(std::string_view outcome, int status)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_timer.cancel();
    if (m_waiting) {
        m_waiting = false;
        m_front.removeWaiting(*this);
    }
    const SteadyTime now = m_runtime.clock.now();
    const std::string route = m_route != nullptr ? m_route->name.str() : "none";
    logEvent(LogLevel::Info, "request",
             {{"id", m_request.id.str()},
              {"outcome", std::string(outcome)},
              {"status", std::to_string(status)},
              {"route", route},
              {"workspace", m_workspace.str()},
              {"model", m_request.model.str()},
              {"adapter", m_request.adapter},
              {"endpoint", m_endpoint.str()},
              {"tries", std::to_string(m_attempts)},
              {"wait_ms",
               m_attempts > 0 ? milliText(m_firstSentAt - m_arrival) : milliText(now - m_arrival)},
              {"first_ms", m_firstEventAt ? milliText(*m_firstEventAt - m_arrival) : "none"},
              {"total_ms", milliText(now - m_arrival)},
              {"config", m_routes ? std::to_string(m_routes->configuration()->version) : "0"},
              {"cause", m_lastError}});
    m_runtime.metrics->add("marigoldspool_requests_total", 1,
                           {{"outcome", std::string(outcome)}, {"route", route}});
    m_runtime.metrics->observe("marigoldspool_request_seconds",
                               std::chrono::duration<double>(now - m_arrival).count(),
                               {{"outcome", std::string(outcome)}});
    m_front.m_open.erase(shared_from_this());
}

} // namespace marigoldspool
