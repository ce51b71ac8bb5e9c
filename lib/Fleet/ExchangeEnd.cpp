// The part of Exchange that ends requests: at their deadline, at a planned stop, when the caller
// has gone, by a refusal, and with the final log line.
#include "Fleet/ExchangeAttempt.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace marigoldspool {

namespace {

// Other instances can take the request at once.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(100);

// The text comes from callers.
std::string printable(std::string_view text)
{
    constexpr std::size_t MaxLoggedBytes = 64;
    std::string result(text.substr(0, MaxLoggedBytes));
    std::replace_if(
        result.begin(), result.end(),
        [](char c) {
            return c < ' ' || c > '~';
        },
        '?');
    return result;
}

std::string fractionalSeconds(Duration value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(value).count());
    return text.data();
}

} // namespace

void Exchange::onDeadline()
{
    // The deadline may have been extended after the timer expired.
    if (timeLeft() > Duration::zero() || extendDeadline()) {
        return;
    }
    endUnanswered(RefusalReason::DeadlinePassed, Duration::zero(), "deadline",
                  "the request was not answered before its deadline");
}

void Exchange::onStop()
{
    endUnanswered(RefusalReason::Stopping, StoppingRetryAfter, "stopping",
                  "this instance stops before the request is answered");
}

void Exchange::refuseStopping()
{
    refuse(RefusalReason::Stopping, RanState::No, StoppingRetryAfter,
           "this instance stops before the request could be answered");
}

void Exchange::cancelCall()
{
    if (m_attempt) {
        m_runtime.endpoints->cancel(m_request.id, *m_attempt);
    }
}

void Exchange::cancelAttempt()
{
    if (!m_attempt) {
        return;
    }
    ++m_possibleRuns;
    cancelCall();
    endAttempt(EndpointResult::Abandoned);
}

void Exchange::endUnanswered(RefusalReason reason, Duration retryAfter,
                             std::string_view cutOffOutcome, std::string message)
{
    if (m_finished) {
        return;
    }
    cancelAttempt();
    if (m_answerStarted) {
        cutOff(cutOffOutcome, cutOffOutcome);
        return;
    }
    refuse(reason, ranState(), retryAfter, std::move(message));
}

void Exchange::onCallerGone()
{
    if (m_finished) {
        return;
    }
    if (m_attempt) {
        cancelCall();
        endAttempt(EndpointResult::Abandoned);
    }
    finish("caller_gone", 0);
}

void Exchange::cutOff(std::string_view outcome, std::string_view cause)
{
    m_sink->abort();
    m_runtime.metrics->add("marigoldspool_answers_cut_off_total", 1,
                           {{"cause", std::string(cause)}});
    finish(outcome, m_status);
}

void Exchange::endAttempt(EndpointResult result)
{
    if (!m_attempt) {
        return;
    }
    m_attempt->detach();
    m_attempt.reset();
    settleUsage(result != EndpointResult::Unreachable && result != EndpointResult::RefusedBusy
                && result != EndpointResult::RefusedNotLoaded);
    if (!m_firstByteSeen) {
        m_runtime.directory.onNoFirstByte(m_endpoint, m_request.promptTokens, m_request.model);
    }
    m_runtime.directory.onResult(m_endpoint, result, m_request.model, m_request.adapter);
    m_front.scheduleDispatch();
}

// A stream that the caller resumes has begun to run when its first event came.
void Exchange::countFirstEvent()
{
    if (!m_runtime.usage || m_isUsageCounted || m_workspace.empty()
        || m_route->kind != RequestKind::Stream || !m_request.lastEventId.empty()) {
        return;
    }
    m_isUsageCounted = true;
    m_runtime.usage->onFirstEvent(m_workspace);
}

void Exchange::settleUsage(bool mayHaveRun)
{
    if (m_pendingUsage == 0) {
        return;
    }
    const std::uint64_t pending = std::exchange(m_pendingUsage, 0);
    if (mayHaveRun) {
        m_isUsageCounted = true;
        m_runtime.usage->onRun(pending);
    } else {
        m_runtime.usage->onNotRun(pending);
    }
}

// A status that means "not processed" is sent only if no endpoint can have processed the request.
void Exchange::refuse(RefusalReason reason, RanState ran, Duration retryAfter, std::string message)
{
    if (m_finished) {
        return;
    }
    if (m_answerStarted) {
        cutOff("cut_off", refusalCode(reason));
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
    m_runtime.quarantine.trials().onEnded(m_request.id);
    m_timer.cancel();
    cancelTrial();
    if (m_waiting) {
        m_waiting = false;
        m_front.removeWaiting(*this);
    }
    const SteadyTime now = m_runtime.clock.now();
    const std::string route = m_route != nullptr ? m_route->name.str() : "none";
    logEvent(LogLevel::Info, "request",
             {{"id", m_request.id.str()},
              {"outcome", std::string(outcome)},
              {"status", std::to_string(m_answerStarted ? m_callerStatus : status)},
              {"route", route},
              {"workspace", m_workspace.str()},
              {"model", m_request.model.str()},
              {"adapter", m_request.adapter},
              {"tokens_in", std::to_string(m_request.promptTokens)},
              {"tokens_out", std::to_string(m_request.outputTokens)},
              {"endpoint", m_endpoint.str()},
              {"connection", std::to_string(m_connection.number)},
              {"software_version", m_endpointVersion.str()},
              {"resumes", printable(m_request.resumes.str())},
              {"after_event", printable(m_request.lastEventId)},
              {"origin", std::string(originName())},
              {"tries", std::to_string(m_attemptCount)},
              {"wait_ms",
               m_attemptCount > 0 ? millisecondsText(m_firstSentAt - m_arrival)
                                  : millisecondsText(now - m_arrival)},
              {"first_ms", m_firstEventAt ? millisecondsText(*m_firstEventAt - m_arrival) : "none"},
              {"total_ms", millisecondsText(now - m_arrival)},
              {"config", m_routes ? std::to_string(m_routes->configuration()->version) : "0"},
              {"config_age_ms", millisecondsText(now - m_runtime.configurationConfirmedAt)},
              {"cause", m_lastError}});
    m_runtime.metrics->add("marigoldspool_requests_total", 1,
                           {{"outcome", std::string(outcome)}, {"route", route}});
    if (m_originSource != OriginSource::None) {
        m_runtime.metrics->add("marigoldspool_streams_taken_up_total", 1,
                               {{"outcome", std::string(takeUpOutcome(outcome))}});
    }
    m_runtime.metrics->observe("marigoldspool_request_seconds",
                               std::chrono::duration<double>(now - m_arrival).count(),
                               {{"outcome", std::string(outcome)}});
    m_front.onFinished(shared_from_this());
}

} // namespace marigoldspool
