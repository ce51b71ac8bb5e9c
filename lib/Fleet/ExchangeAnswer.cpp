// What an exchange does with the answers of endpoints, up to its own final answer.
#include "Fleet/ExchangeAttempt.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"

#include <array>
#include <cstdio>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Bytes that a caller may leave unread before its stream is given up.
constexpr std::size_t MostPendingBytes = 4U << 20U;
// Refusals before running do not use up the route's attempts, but they end here.
constexpr int MostTries = 6;
constexpr Duration OverloadRetry = milliseconds(300);

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
                  absent ? EndpointResult::RefusedNotLoaded : EndpointResult::RefusedBusy);
        return;
    }
    const bool isSuccess = m_status >= 200 && m_status < 300;
    if (isSuccess && (!m_traits.sealed || m_traits.encoded)) {
        m_lastError = "unsealed";
        onOutcome(EndpointOutcome::MaybeSent, EndpointResult::Failed);
        return;
    }
    if (m_answerStarted && !m_streaming) {
        // The endpoint that should have gone on with the stream has failed; what the caller has is
        // not whole.
        m_lastError = "status_" + std::to_string(m_status);
        onOutcome(EndpointOutcome::CutOff, EndpointResult::Failed);
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
    if (isServerError && !m_answerStarted && isRepeatable() && m_attempts < m_route->maxAttempts
        && patienceLeft() > Duration::zero() && m_runtime.retries.tryRetry(m_pool->name)) {
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
    const bool hasRuns = m_runs < m_route->maxAttempts && m_attempts < MostTries;
    const auto *retry = std::get_if<Retry>(&decision);
    // A try that reached no endpoint is not counted as a repeat by anyone.
    const bool isFree = outcome == EndpointOutcome::NotSent;
    if (retry != nullptr && hasTime && hasRuns
        && (isFree || m_runtime.retries.tryRetry(m_pool->name))) {
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
    if (!m_route->resumable || m_events.lastId().empty() || m_runs >= m_route->maxAttempts
        || timeLeft() <= milliseconds(100) || !m_runtime.retries.tryRetry(m_pool->name)) {
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
    m_runtime.directory.onResult(m_endpoint, result, m_request.model, m_request.adapter);
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
              {"tokens_in", std::to_string(m_request.promptTokens)},
              {"tokens_out", std::to_string(m_request.outputTokens)},
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
