// The part of Exchange that moves requests away from endpoints that have fallen silent, or whose
// process is about to end.
#include "Fleet/EngineCalls.h"
#include "Fleet/ExchangeAttempt.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// A repeatable request moves to another endpoint after this long without data: a fixed time within
// a stream, and a multiple of the route's objective before the first byte.
constexpr Duration MaxStreamSilence = milliseconds(1300);
constexpr double FirstByteWaitPerObjective = 2.5;
constexpr Duration MinFirstByteWait = milliseconds(250);
// How long the silent endpoint and its successor may both have a request. The platform allows
// 400 ms; half of it is left for a late timer and for the cancellation to arrive. Endpoints refuse
// within milliseconds.
constexpr Duration MaxTrialTime = milliseconds(200);
// Each trial counts against the retry limit, and the silent endpoint may go on by itself.
constexpr int MaxTrials = 2;
// Shorter than a trial, so that a successor that has not accepted the connection ends no attempt.
constexpr Duration TrialConnectTimeout = milliseconds(150);
// A stream is suspected after a multiple of the pause that its route allows, if that is longer than
// the minimum for all.
constexpr int SilencePerEventGap = 2;

} // namespace

Duration Exchange::silenceLimit() const
{
    if (m_answerStarted) {
        return MaxStreamSilence;
    }
    const auto objectiveLimit =
        std::chrono::duration_cast<Duration>(m_route->objective * FirstByteWaitPerObjective);
    const Duration firstByteLimit = std::max(MinFirstByteWait, objectiveLimit);
    return m_route->kind == RequestKind::Stream ? std::max(firstByteLimit, MaxStreamSilence)
                                                : firstByteLimit;
}

bool Exchange::keepsRoute(int runs) const
{
    const ResolvedRoute next = lookUpRoute();
    return !next.refusal && next.route->kind == m_route->kind
        && next.route->resumable == m_route->resumable && next.pool->name == m_pool->name
        && runs < next.route->maxAttempts;
}

void Exchange::noteByte(const EndpointIncarnation &endpoint)
{
    EndpointDirectory &directory = m_runtime.directory;
    if (directory.sharesSuspicions(endpoint.endpoint)) {
        directory.suspicions().onByte(endpoint, directory.find(endpoint.endpoint)->listed.zone,
                                      m_runtime.observedTime.at(m_runtime.clock.now()));
    }
}

// After the head of an answer that is no stream, how long the endpoint takes for the rest is not
// known.
void Exchange::noteSilence()
{
    EndpointDirectory &directory = m_runtime.directory;
    const bool hasHead = m_status != 0;
    if (!m_attempt || (hasHead && !m_streaming) || !directory.sharesSuspicions(m_endpoint)) {
        return;
    }
    const TrackedEndpoint *state = directory.find(m_endpoint);
    const SteadyTime observedNow = m_runtime.observedTime.at(m_runtime.clock.now());
    const Duration sinceProgress = observedNow - m_lastProgressAt;
    const Duration silence = hasHead ? sinceProgress : sinceProgress - m_expectedFirstByte;
    const Duration limit =
        std::max(EndpointSuspicions::MinSilence,
                 hasHead ? m_route->maxEventGap * SilencePerEventGap : Duration::zero());
    if (silence >= limit && state->listed.startedAtMs == m_endpointStartedAtMs) {
        directory.suspicions().onSilentRequest({m_endpoint, m_endpointStartedAtMs},
                                               state->listed.zone, silence, observedNow);
    }
}

std::optional<EndpointId> Exchange::findSuccessor()
{
    if (!m_attempt) {
        return std::nullopt;
    }
    const SteadyTime now = m_runtime.clock.now();
    const bool canRepeat =
        m_answerStarted ? m_route->resumable && m_events.canResume() : isRepeatable();
    const bool isEnding = isEndMoveDue();
    if (!isEnding && m_runtime.observedTime.at(now) - m_lastProgressAt < silenceLimit()) {
        return std::nullopt;
    }
    if (!canRepeat || m_attemptCount >= MaxTotalAttempts || timeLeft() <= MinResumeTime
        || m_runtime.answersEndAt - now <= MinResumeTime || !keepsRoute(m_possibleRuns + 1)
        || findQuarantined()) {
        if (isEnding) {
            noteNotMoved("not_allowed");
        }
        return std::nullopt;
    }
    findOrigin();
    EndpointQuery query = endpointQuery();
    query.onlyHealthy = true;
    query.isUrgent = true;
    const EndpointChoice choice = m_runtime.directory.choose(query);
    if (choice.kind != ChoiceKind::Send) {
        if (isEnding) {
            noteNotMoved("no_successor");
        }
        return std::nullopt;
    }
    return choice.endpoint;
}

// An endpoint that is only slow will still answer, so an attempt is given up only for a successor
// that is sure. An engine is asked for its report first: it may be out of reach like the silent
// one, and the connection of the report is used for the request.
void Exchange::checkSilence()
{
    if (m_isEndPending) {
        return;
    }
    if (!takesData() && !isEndMoveDue()) {
        // The endpoint is silent because its answer is not read.
        m_lastProgressAt = m_runtime.observedTime.at(m_runtime.clock.now());
        return;
    }
    noteSilence();
    if (m_isAskingSuccessor || m_trial || m_trialCount >= MaxTrials) {
        return;
    }
    const std::optional<EndpointId> successor = findSuccessor();
    if (!successor) {
        return;
    }
    if (!isEngineRequest()) {
        moveTo(*successor);
        return;
    }
    m_isAskingSuccessor = true;
    const TrackedEndpoint *state = m_runtime.directory.find(*successor);
    EndpointCall call = m_runtime.codec.encodeReportCall(state->listed);
    prepareEngineCall(call, "successor-" + m_request.id.str());
    call.timeout = EngineConnectTimeout;
    call.connectTimeout = EngineConnectTimeout;
    m_runtime.endpoints->call(std::move(call),
                              std::make_shared<CollectingHandler>(
                                  m_runtime, state->listed, StatementSource::Report,
                                  [weak = weak_from_this(), id = *successor](const auto &answer) {
                                      if (const auto self = weak.lock()) {
                                          self->onSuccessorAnswer(id,
                                                                  answer && answer->first == 200);
                                      }
                                  }));
}

void Exchange::onSuccessorAnswer(const EndpointId &id, bool isUsable)
{
    m_isAskingSuccessor = false;
    if (!isUsable) {
        // The next check chooses another one.
        m_triedEndpoints.push_back(id);
        return;
    }
    if (id != m_endpoint && findSuccessor() && m_runtime.directory.canSend(id)
        && m_runtime.directory.hasRateFor(id) && isVersionAllowed(id)) {
        moveTo(id);
    }
}

void Exchange::moveTo(const EndpointId &endpoint)
{
    m_isEndMove = isEndMoveDue();
    if (!m_runtime.retries.tryRetry(m_pool->name)) {
        if (m_isEndMove) {
            noteNotMoved("retry_limit");
        }
        m_isEndMove = false;
        return;
    }
    m_runtime.metrics->countRetry(RetryReason::ConnectFailed);
    if (m_answerStarted) {
        startTrial(endpoint);
        return;
    }
    if (m_isEndMove) {
        recordMove(endpoint);
    }
    giveUpSilentAttempt();
    if (resolveRoute()) {
        send(endpoint);
    }
}

void Exchange::giveUpSilentAttempt()
{
    m_lastError = m_isEndMove ? "endpoint_ends" : "silent";
    cancelCall();
    if (!m_isEndMove) {
        // The engine may have crashed without closing its connections.
        reportLost(CrashCheck::LostAnswer::BrokenOff);
    }
    recordFailedAttempt(m_answerStarted ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent,
                        m_isEndMove ? EndpointResult::Abandoned : EndpointResult::Failed);
}

bool Exchange::isEndMoveDue() const
{
    if (!m_attempt || m_route->kind != RequestKind::Stream || !m_route->resumable) {
        return false;
    }
    const auto end = m_runtime.directory.endOf({m_endpoint, m_endpointStartedAtMs});
    return end
        && isMoveDue({*end, m_request.id, m_sentAt,
                      m_runtime.directory.responseTimes().expectedRun(m_pool->name)},
                     m_runtime.clock.now());
}

void Exchange::noteNotMoved(std::string_view outcome)
{
    if (m_notMovedFor != outcome) {
        m_notMovedFor = outcome;
        m_runtime.metrics->add("marigoldspool_streams_moved_total", 1,
                               {{"outcome", std::string(outcome)}});
    }
}

void Exchange::recordMove(const EndpointId &endpoint)
{
    const auto end = m_runtime.directory.endOf({m_endpoint, m_endpointStartedAtMs});
    const Duration left = end ? end->at - m_runtime.clock.now() : Duration::zero();
    logEvent(LogLevel::Info, "stream_moved",
             {{"id", m_request.id.str()},
              {"from", m_endpoint.str()},
              {"to", endpoint.str()},
              {"left_ms", std::to_string(toMilliseconds(left))}});
    m_runtime.metrics->add("marigoldspool_streams_moved_total", 1, {{"outcome", "moved"}});
}

void Exchange::releaseHeldData()
{
    const std::string data = std::exchange(m_heldData, {});
    if (!data.empty() && m_attempt && !m_finished) {
        onData(data);
    }
}

// An answer that has begun must not end because its successor refuses, so the silent attempt is
// kept until the successor has accepted the request.
void Exchange::startTrial(const EndpointId &endpoint)
{
    if (!resolveRoute()) {
        m_isEndMove = false;
        return;
    }
    EndpointCall call = makeCall(endpoint);
    call.connectTimeout = TrialConnectTimeout;
    m_trialEndpoint = endpoint;
    const ListedEndpoint &listed = m_runtime.directory.find(endpoint)->listed;
    m_trialStartedAtMs = listed.startedAtMs;
    m_trialVersion = listed.softwareVersion;
    m_trialSentAt = m_runtime.clock.now();
    m_triedEndpoints.push_back(endpoint);
    m_trial = std::make_shared<Attempt>(shared_from_this(), Attempt::Role::Trial);
    m_runtime.directory.onSent(endpoint, m_request.promptTokens, m_request.model);
    m_trialConnection = m_runtime.endpoints->call(std::move(call), m_trial);
    m_trialTimer.expires_after(MaxTrialTime);
    m_trialTimer.async_wait([weak = weak_from_this(), trial = std::weak_ptr<Attempt>(m_trial)](
                                const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && self->m_trial && self->m_trial == trial.lock()) {
            self->giveUpSilentAttempt();
            self->acceptTrial();
        }
    });
}

bool Exchange::onTrialHead(int status, gsl::span<const HeaderField> headers)
{
    const AnswerTraits traits = m_runtime.codec.decodeAnswer(status, headers);
    m_runtime.noteAnswer({m_trialEndpoint, m_trialStartedAtMs}, traits, StatementSource::Answer,
                         m_trialSentAt);
    if (!traits.misdirected) {
        noteByte({m_trialEndpoint, m_trialStartedAtMs});
    }
    if (traits.misdirected || traits.notRun) {
        endTrial(traits.misdirected ? EndpointResult::RefusedNotLoaded
                                    : EndpointResult::RefusedBusy,
                 RanState::No, traits.misdirected ? "absent" : "busy");
        return false;
    }
    if (!isStreamHead(status, traits)) {
        m_runtime.endpoints->cancel(m_request.id, *m_trial);
        endTrial(failureResult(traits), RanState::Unknown, "status_" + std::to_string(status));
        return false;
    }
    giveUpSilentAttempt();
    acceptTrial();
    return true;
}

void Exchange::onTrialFailure(SendStage stage, const Error &error)
{
    const bool isSent = stage != SendStage::NotSent;
    if (isSent) {
        m_front.m_crashCheck->onConnectionLost({m_trialEndpoint, m_trialStartedAtMs}, m_request.id,
                                               suspects(), CrashCheck::LostAnswer::BrokenOff);
    }
    endTrial(isSent ? EndpointResult::Failed : EndpointResult::Unreachable,
             isSent ? RanState::Unknown : RanState::No, error.message);
}

void Exchange::acceptTrial()
{
    m_trialTimer.cancel();
    if (m_isEndMove) {
        recordMove(m_trialEndpoint);
    }
    m_trial->acceptTrial();
    m_connection = m_trialConnection;
    beginAttempt(std::move(m_trial), {m_trialEndpoint, m_trialStartedAtMs}, m_trialVersion,
                 m_trialSentAt);
}

void Exchange::cancelTrial()
{
    if (m_trial) {
        m_runtime.endpoints->cancel(m_request.id, *m_trial);
        endTrial(EndpointResult::Abandoned, RanState::Unknown, "not_needed");
    }
}

void Exchange::endTrial(EndpointResult result, RanState ran, std::string_view cause)
{
    m_trialTimer.cancel();
    m_trial->detach();
    m_trial.reset();
    ++m_trialCount;
    if (ran == RanState::Unknown) {
        ++m_attemptCount;
        ++m_possibleRuns;
    }
    m_runtime.directory.onNoFirstByte(m_trialEndpoint, m_request.promptTokens, m_request.model);
    m_runtime.directory.onResult(m_trialEndpoint, result, m_request.model, m_request.adapter);
    logEvent(LogLevel::Info, "successor_failed",
             {{"id", m_request.id.str()},
              {"endpoint", m_trialEndpoint.str()},
              {"silent", m_endpoint.str()},
              {"after_ms", std::to_string(toMilliseconds(m_runtime.clock.now() - m_trialSentAt))},
              {"possible_runs", std::to_string(m_possibleRuns)},
              {"cause", std::string(cause)}});
    if (m_isEndMove && result != EndpointResult::Abandoned) {
        m_runtime.metrics->add("marigoldspool_streams_moved_total", 1,
                               {{"outcome", "trial_failed"}});
    }
    m_isEndMove = false;
    m_front.scheduleDispatch();
    releaseHeldData();
}

} // namespace marigoldspool
