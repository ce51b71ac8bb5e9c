// The part of Exchange that handles endpoints' responses and completes the caller's response.
#include "Fleet/ExchangeAttempt.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"

#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// The part of the memory for bytes of answers that callers have not taken yet. More are read from
// an endpoint only while its caller's part is below an even share.
constexpr std::size_t UntakenMemoryDivisor = 6;
constexpr std::size_t MaxUntakenBytesOfCaller = 256U << 10U;
// Body bytes kept until an answer is complete.
constexpr std::size_t MaxBufferedBytes = 512U << 10U;
// Bytes of an answer that are kept while a successor is tried; a trial takes up to 200 ms.
constexpr std::size_t MaxHeldBytes = 64U << 10U;
constexpr Duration OverloadRetryAfter = milliseconds(300);
constexpr int StatusOk = 200;
// A part of a prompt may crash its engine after any number of events. One whose answer has gone on
// for this long has not.
constexpr Duration SurvivedTime = std::chrono::seconds(10);

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::string_view outcomeName(EndpointOutcome outcome)
{
    switch (outcome) {
    case EndpointOutcome::Answered:
        return "answered";
    case EndpointOutcome::RefusedOverloaded:
        return "refused_overloaded";
    case EndpointOutcome::RefusedNotLoaded:
        return "refused_not_loaded";
    case EndpointOutcome::NotSent:
        return "not_sent";
    case EndpointOutcome::MaybeSent:
        return "maybe_sent";
    case EndpointOutcome::CutOff:
        return "cut_off";
    }
    return "unknown";
}

} // namespace

void Exchange::onHead(int status, gsl::span<const HeaderField> headers)
{
    m_status = status;
    m_lastProgressAt = m_runtime.observedTime.at(m_runtime.clock.now());
    m_traits = m_runtime.codec.decodeAnswer(status, headers);
    m_runtime.noteAnswer({m_endpoint, m_endpointStartedAtMs}, m_traits, StatementSource::Answer,
                         m_sentAt);
    if (!m_traits.misdirected) {
        noteByte({m_endpoint, m_endpointStartedAtMs});
    }
    m_answerHeaders.assign(headers.begin(), headers.end());
    m_streaming = isStreamHead(status, m_traits);
    if (!m_firstByteSeen && !m_traits.notRun && !m_traits.misdirected) {
        m_firstByteSeen = true;
        m_runtime.directory.onFirstByte(m_endpoint, m_request.promptTokens,
                                        m_runtime.clock.now() - m_sentAt, m_request.model);
    }
}

bool Exchange::isStreamHead(int status, const AnswerTraits &traits) const
{
    // Nothing but the rest of it may follow what the caller has received of a stream.
    const bool isUsable = m_answerStarted ? status == StatusOk : isSuccess(status);
    return isUsable && m_route->kind == RequestKind::Stream && traits.eventStream && traits.sealed
        && !traits.encoded && !traits.notRun;
}

void Exchange::onData(std::string_view bytes)
{
    if (!m_traits.misdirected) {
        noteByte({m_endpoint, m_endpointStartedAtMs});
    }
    if (!m_streaming) {
        onBufferedData(bytes);
        return;
    }
    if (m_trial && m_isEndMove) {
        m_lastProgressAt = m_runtime.observedTime.at(m_runtime.clock.now());
        m_heldData.append(bytes);
        if (m_heldData.size() > MaxHeldBytes) {
            cancelTrial();
        }
        return;
    }
    if (!m_attemptBegunAt && !isFromOwnVersion()) {
        m_lastError = "other_software_version";
        cancelCall();
        onAttemptFailed(m_answerStarted ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent,
                        EndpointResult::Abandoned);
        return;
    }
    const std::string events = m_events.feed(bytes);
    if (!events.empty()) {
        cancelTrial();
        m_lastProgressAt = m_runtime.observedTime.at(m_runtime.clock.now());
        forward(events);
    }
    if (m_events.isMalformed() && m_attempt) {
        abandonAttempt(m_events.fault() == StreamFault::NotNext ? "event_out_of_order"
                                                                : "malformed_stream");
    }
}

// An answer is passed on when it is complete. One that is too long to keep is passed on as it
// arrives, if the endpoint has stated its length; without a length it may have no end.
void Exchange::onBufferedData(std::string_view bytes)
{
    m_lastProgressAt = m_runtime.observedTime.at(m_runtime.clock.now());
    if (m_passingOn) {
        forward(bytes);
        return;
    }
    m_answerBody.append(bytes);
    if (m_answerBody.size() <= MaxBufferedBytes) {
        return;
    }
    const bool canPassOn = !m_answerStarted && m_traits.sealed && !m_traits.encoded
        && !m_traits.notRun && !m_traits.misdirected && !m_traits.isUnprovenRefusal
        && findHeader(m_answerHeaders, "Content-Length") != nullptr;
    if (!canPassOn) {
        abandonAttempt("answer_too_long");
        return;
    }
    m_passingOn = true;
    forward(std::exchange(m_answerBody, {}));
}

void Exchange::forward(std::string_view bytes)
{
    const SteadyTime now = m_runtime.clock.now();
    if (!m_attemptBegunAt) {
        m_attemptBegunAt = now;
    } else if (!m_isServedNoted && now - *m_attemptBegunAt >= SurvivedTime) {
        noteServed();
    }
    m_claimedEnd.reset();
    if (!m_answerStarted) {
        countFirstEvent();
        noteStreamBegun();
        m_answerStarted = true;
        m_callerStatus = m_status;
        m_firstEventAt = now;
        m_sink->head(m_status, m_answerHeaders, true);
    }
    m_sink->data(bytes);
}

bool Exchange::takesData() const
{
    const std::size_t share = m_runtime.options.memoryBytes / UntakenMemoryDivisor
        / std::max<std::size_t>(m_front.openRequests(), 1);
    return m_sink->pendingBytes() <= std::min(MaxUntakenBytesOfCaller, share);
}

void Exchange::abandonAttempt(std::string cause)
{
    m_lastError = std::move(cause);
    cancelCall();
    onAttemptFailed(m_answerStarted ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent,
                    EndpointResult::Failed);
}

void Exchange::onComplete()
{
    if (m_trial && m_isEndMove) {
        // The stream has finished before the endpoint's end, unless the held events are faulty.
        const std::shared_ptr<Attempt> attempt = m_attempt;
        cancelTrial();
        if (m_attempt != attempt) {
            return;
        }
    }
    if (m_traits.misdirected || m_traits.notRun) {
        const bool isMisdirected = m_traits.misdirected;
        m_lastError = isMisdirected ? "absent" : "busy";
        onAttemptFailed(
            isMisdirected ? EndpointOutcome::RefusedNotLoaded : EndpointOutcome::RefusedOverloaded,
            isMisdirected ? EndpointResult::RefusedNotLoaded : EndpointResult::RefusedBusy);
        return;
    }
    std::string defect = answerDefect();
    if (!defect.empty()) {
        if (m_hasUnstatedEnd) {
            reportLost(CrashCheck::LostAnswer::BrokenOff);
        }
        m_lastError = std::move(defect);
        onAttemptFailed(m_answerStarted ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent,
                        failureResult(m_traits));
        return;
    }
    onResponse();
}

// An endpoint that asks for a pause is overloaded, not faulty.
EndpointResult Exchange::failureResult(const AnswerTraits &traits)
{
    return traits.statement.noRequestsFor ? EndpointResult::Abandoned : EndpointResult::Failed;
}

std::string Exchange::answerDefect() const
{
    if (isSuccess(m_status) && !m_traits.sealed) {
        return "unsealed";
    }
    if (isSuccess(m_status) && m_traits.encoded) {
        return "encoded";
    }
    std::string status = "status_" + std::to_string(m_status);
    if (m_traits.isUnprovenRefusal) {
        return status;
    }
    if (m_answerStarted && !m_streaming && !m_passingOn) {
        return m_status == StatusOk ? "not_an_event_stream" : status;
    }
    return m_streaming && m_events.hasPartialEvent() ? "partial_event" : "";
}

void Exchange::onResponse()
{
    const bool isServerError = m_status >= 500;
    if (isServerError && !m_answerStarted && isRepeatable() && m_attemptCount < m_route->maxAttempts
        && callerTimeLeft() > Duration::zero() && m_runtime.retries.tryRetry(m_pool->name)) {
        ++m_possibleRuns;
        m_lastError = "status_" + std::to_string(m_status);
        logFailedAttempt(EndpointOutcome::Answered);
        m_runtime.metrics->countRetry(RetryReason::ConnectFailed);
        endAttempt(failureResult(m_traits));
        dispatch();
        return;
    }
    if (!isServerError && m_request.lastEventId.empty() && m_attemptCount == 1) {
        m_runtime.directory.onResponse(m_endpoint, m_request.promptTokens,
                                       m_runtime.clock.now() - m_sentAt, m_request.outputTokens);
    }
    if (isSuccess(m_status)) {
        if (!m_hasUnstatedEnd) {
            noteServed();
        } else if (!m_streaming) {
            reportLost(CrashCheck::LostAnswer::MayBeWhole);
        }
    }
    endAttempt(isServerError ? failureResult(m_traits) : EndpointResult::Answered);
    if (isSuccess(m_status)) {
        countFirstEvent();
    }
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
    if (stage == SendStage::NotSent) {
        onAttemptFailed(EndpointOutcome::NotSent, EndpointResult::Unreachable);
        return;
    }
    // After a malformed answer, this end has closed the connection.
    if (error.kind != ErrorKind::Malformed) {
        reportLost(CrashCheck::LostAnswer::BrokenOff);
    }
    onAttemptFailed(m_answerStarted ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent,
                    EndpointResult::Failed);
}

void Exchange::onCompleteAtClose()
{
    m_hasUnstatedEnd = true;
    if (m_trial && m_isEndMove) {
        // The process has probably ended; the successor knows whether more events follow.
        m_lastError = "endpoint_ends";
        onAttemptFailed(EndpointOutcome::CutOff, EndpointResult::Abandoned);
        return;
    }
    if (!m_streaming || !answerDefect().empty()) {
        onComplete();
        return;
    }
    if (m_continuesAnswer) {
        onRestCompleteAtClose();
        return;
    }
    cancelTrial();
    proveEnd({m_endpoint, m_endpointStartedAtMs});
}

// A crash between two events looks like the end of the stream. Another endpoint that is asked for
// what follows knows; where none may be asked, an endpoint that lives has ended the stream itself.
// An answer without any event after one that was broken off shows nothing.
void Exchange::onRestCompleteAtClose()
{
    const EndpointIncarnation endpoint{m_endpoint, m_endpointStartedAtMs};
    const bool isConfirmed = !m_attemptBegunAt && m_claimedEnd;
    reportLost(CrashCheck::LostAnswer::MayBeWhole);
    m_lastError = "unstated_end";
    if (!isConfirmed) {
        if (m_attemptBegunAt) {
            m_claimedEnd = endpoint;
        }
        onAttemptFailed(EndpointOutcome::CutOff, EndpointResult::Abandoned);
        return;
    }
    m_claimedEnd = endpoint;
    recordFailedAttempt(EndpointOutcome::CutOff, EndpointResult::Abandoned);
    proveEnd(endpoint);
}

void Exchange::proveEnd(const EndpointIncarnation &endpoint)
{
    m_isEndPending = true;
    m_front.m_crashCheck->onConnectionLost(endpoint, m_request.id, suspects(),
                                           CrashCheck::LostAnswer::MayBeWhole,
                                           [weak = weak_from_this()](CrashCheck::Verdict verdict) {
                                               if (const auto self = weak.lock()) {
                                                   self->onEndProof(verdict);
                                               }
                                           });
}

// A first answer may end with its connection, so what is not known counts for it. The rest of a
// stream follows an endpoint that has failed.
void Exchange::onEndProof(CrashCheck::Verdict verdict)
{
    if (m_finished || !m_isEndPending) {
        return;
    }
    m_isEndPending = false;
    const bool hasCrashed = verdict == CrashCheck::Verdict::Crashed;
    m_runtime.metrics->add("marigoldspool_unstated_ends_total", 1,
                           {{"endpoint",
                             verdict == CrashCheck::Verdict::Lives ? "lives"
                                 : hasCrashed                      ? "crashed"
                                                                   : "unknown"}});
    if (m_attempt && hasCrashed) {
        m_lastError = "endpoint_crashed";
        onAttemptFailed(m_answerStarted ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent,
                        EndpointResult::Failed);
    } else if (m_attempt) {
        onComplete();
    } else if (verdict == CrashCheck::Verdict::Lives) {
        m_sink->finish();
        finish("served", m_status);
    } else {
        cutOff("cut_off", hasCrashed ? "endpoint_crashed" : "end_unproven");
    }
}

void Exchange::endStream(std::string_view obstacle)
{
    if (m_claimedEnd) {
        proveEnd(*m_claimedEnd);
        return;
    }
    m_lastError.append("; not resumed: ").append(obstacle);
    cutOff("cut_off", obstacle);
}

void Exchange::noteServed()
{
    m_isServedNoted = true;
    m_runtime.quarantine.onAnswerServed(
        m_pool->name, m_runtime.quarantine.hasSuspects() ? suspects() : m_request.prompt);
}

void Exchange::reportLost(CrashCheck::LostAnswer kind)
{
    if (!m_isServedNoted) {
        m_front.m_crashCheck->onConnectionLost({m_endpoint, m_endpointStartedAtMs}, m_request.id,
                                               suspects(), kind);
    }
}

// The request's own line has the cause of the last attempt only.
void Exchange::logFailedAttempt(EndpointOutcome outcome) const
{
    logEvent(LogLevel::Info, "attempt_failed",
             {{"id", m_request.id.str()},
              {"endpoint", m_endpoint.str()},
              {"try", std::to_string(m_attemptCount)},
              {"outcome", std::string(outcomeName(outcome))},
              {"after_ms", millisecondsText(m_runtime.clock.now() - m_sentAt)},
              {"status", std::to_string(m_status)},
              {"connection", std::to_string(m_connection.number)},
              {"connection_calls", std::to_string(m_connection.earlierCalls)},
              {"connection_age_ms", millisecondsText(m_connection.age)},
              {"answer_started", m_answerStarted ? "yes" : "no"},
              {"possible_runs", std::to_string(m_possibleRuns)},
              {"cause", m_lastError}});
}

void Exchange::recordFailedAttempt(EndpointOutcome outcome, EndpointResult result)
{
    endAttempt(result);
    if (mayHaveRun(outcome)) {
        ++m_possibleRuns;
    } else if (m_isTrialOfPart) {
        m_runtime.quarantine.trials().onNotRun(m_request.id);
    }
    logFailedAttempt(outcome);
}

void Exchange::onAttemptFailed(EndpointOutcome outcome, EndpointResult result)
{
    recordFailedAttempt(outcome, result);
    // An attempt that reached no endpoint does not count against the retry budget.
    const bool isFree = outcome == EndpointOutcome::NotSent;
    if (m_trial) {
        acceptTrial();
        return;
    }
    if (m_answerStarted) {
        const std::string_view obstacle = resume(isFree);
        if (!obstacle.empty()) {
            endStream(obstacle);
        }
        return;
    }
    const RetryDecision decision =
        decideRetry({isRepeatable(), m_attemptCount, m_answerStarted}, outcome, m_possibleRuns > 0);
    const bool hasTime = callerTimeLeft() > Duration::zero();
    const bool hasAttempts =
        m_possibleRuns < m_route->maxAttempts && m_attemptCount < MaxTotalAttempts;
    const auto *retry = std::get_if<Retry>(&decision);
    if (retry != nullptr && hasTime && hasAttempts
        && (isFree || m_runtime.retries.tryRetry(m_pool->name))) {
        m_runtime.metrics->countRetry(retry->reason);
        dispatch();
        return;
    }
    if (m_possibleRuns > 0) {
        refuse(RefusalReason::OutcomeUnknown, RanState::Unknown, Duration::zero(),
               "the endpoint failed during the request: " + m_lastError);
        return;
    }
    refuse(RefusalReason::NoCapacity, RanState::No, overloadRetryAfter(),
           "no endpoint accepted the request: " + m_lastError);
}

Duration Exchange::overloadRetryAfter()
{
    EndpointQuery query = endpointQuery();
    query.excluded = {};
    const EndpointChoice choice = m_runtime.directory.choose(query);
    return choice.isPaused ? std::max(choice.retryIn, OverloadRetryAfter) : OverloadRetryAfter;
}

// Resumes the stream at another endpoint after the last complete event that the caller received.
std::string_view Exchange::resume(bool isFree)
{
    if (!m_route->resumable || !m_events.canResume()) {
        return "not_resumable";
    }
    if (m_possibleRuns >= m_route->maxAttempts || m_attemptCount >= MaxTotalAttempts) {
        return "attempts_used";
    }
    if (timeLeft() <= MinResumeTime && !extendDeadline()) {
        return "deadline";
    }
    if (!keepsRoute(m_possibleRuns)) {
        return "route_changed";
    }
    if (findQuarantined()) {
        return "quarantined";
    }
    // The stream must not pause for long, so the request does not wait for an endpoint.
    EndpointQuery query = endpointQuery();
    query.isUrgent = true;
    EndpointChoice choice = m_runtime.directory.choose(query);
    if (choice.kind != ChoiceKind::Send) {
        // An endpoint that has lost only this connection can go on.
        query.excluded = {};
        choice = m_runtime.directory.choose(query);
    }
    if (choice.kind != ChoiceKind::Send) {
        return "no_endpoint";
    }
    if (!isFree && !m_runtime.retries.tryRetry(m_pool->name)) {
        return "retry_limit";
    }
    m_runtime.metrics->countRetry(RetryReason::ConnectFailed);
    if (resolveRoute()) {
        send(choice.endpoint);
    }
    return {};
}

} // namespace marigoldspool
