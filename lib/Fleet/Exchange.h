#ifndef MARIGOLDSPOOL_LIB_FLEET_EXCHANGE_H
#define MARIGOLDSPOOL_LIB_FLEET_EXCHANGE_H

#include "Fleet/CrashCheck.h"
#include "Fleet/ServingFront.h"
#include "marigoldspool/Routing/RetryPolicy.h"
#include "marigoldspool/Serving/EventStream.h"
#include "marigoldspool/Support/Refusal.h"

#include <boost/asio/steady_timer.hpp>

namespace marigoldspool {

/// Handles one caller's request from its arrival to the final response.
class Exchange final : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ServingFront &front, ServingRequest request, std::shared_ptr<ResponseSink> sink);

    void start();
    /// Sends the request to an endpoint, queues it or refuses it.
    void dispatch();

    int priority() const { return m_priority; }
    SteadyTime arrival() const { return m_arrival; }
    /// When the request passes its latency objective; only while it waits.
    SteadyTime dueAt() const { return m_arrival + m_route->objective; }
    bool isWaiting() const { return m_waiting; }
    /// Whether an endpoint has the request.
    bool isSent() const { return m_attempt != nullptr; }
    /// Whether the caller has received a part of the answer.
    bool isAnswerStarted() const { return m_answerStarted; }
    /// Ends the request, since the instance stops now.
    void onStop();
    /// Ends the request if an endpoint has not begun to answer it and its prompt is under
    /// quarantine.
    void checkQuarantine();
    /// Moves a repeatable request to another available endpoint if the current one has sent nothing
    /// for too long, or a resumable stream if the process of the current one is about to end.
    void checkSilence();
    /// The model or adapter that this request waits for: not loaded, or only on endpoints that
    /// limit their rate. Empty if it doesn't wait for a load.
    std::optional<DemandKey> unmetDemand() const;
    /// The model whose endpoints are all full or gone while this request waits, in a pool whose
    /// number of endpoints is ordered. Empty if it doesn't wait for a slot.
    std::optional<DemandKey> slotDemand() const;
    /// Whether the order of waiting requests applies to this one: its pool is contended, and the
    /// loads of the engines are known.
    bool usesAdmissionOrder() const;
    /// Whether it waits since all engines with its model are full.
    bool isWaitingForSlot() const;
    /// Its claim to a slot; only after the route has been found.
    QueuedRequest queuedRequest() const;
    const EndpointPool *pool() const { return m_pool; }
    const ModelName &model() const { return m_request.model; }
    const RequestId &id() const { return m_request.id; }
    /// The endpoint whose rate limit this request waits for; empty if it waits for anything else.
    const EndpointId &limitedEndpoint() const { return m_limitedEndpoint; }

private:
    class Attempt;

    /// A stream with less time left is not moved: another endpoint could send nothing more by then.
    static constexpr Duration MinResumeTime = std::chrono::milliseconds(100);
    /// Bounds all attempts, including those that the endpoint refused without processing the
    /// request, which the route's limit does not count.
    static constexpr int MaxTotalAttempts = 6;
    static constexpr Duration EngineConnectTimeout = std::chrono::milliseconds(600);

    /// What the configuration in force says about the request.
    struct ResolvedRoute {
        std::shared_ptr<const RouteTable> routes;
        const PrefixRoute *route = nullptr;
        const EndpointPool *pool = nullptr;
        WorkspaceName workspace;
        int priority = 0;
        /// Set if the request is not allowed.
        std::optional<Refusal> refusal;
    };

    /// How the version of the stream that the caller takes up is known.
    enum class OriginSource {
        None, ///< The request takes up no stream.
        Known, ///< The stream began here, or another instance has told where it did.
        OnlyVersion, ///< All streams of the pool have begun at one version.
        Unknown,
    };

    ResolvedRoute lookUpRoute() const;
    /// Adopts the configuration in force, or refuses the request and returns false.
    bool resolveRoute();
    bool takeQuota();
    /// Whether the request may be sent as far as quarantines go; if not, it is refused or waits.
    bool passQuarantine();
    /// Refuses a request with \p part of its prompt, or its fingerprint, under quarantine.
    void refuseQuarantined(const std::string &part, Duration retryAfter);
    /// Waits until it is known whether the part of the prompt that is under quarantine crashes
    /// engines.
    void waitForTrial(const QuarantineAdmission &admission);
    /// What the crash of an endpoint may be blamed on; the fingerprint of the request is the first.
    const std::vector<PromptPart> &suspects();
    /// The part of the prompt, or the fingerprint, that is under quarantine, if any.
    std::optional<std::string> findQuarantined();
    void reportDemand();
    void waitOrRefuse(const EndpointChoice &choice);
    /// Counts by what an endpoint of a contended pool was chosen.
    void countChoice(const EndpointChoice &choice) const;
    /// Refuses the request if it gets no slot in time; returns whether it has. \p loadedIn: until
    /// another engine has the model, if one is loading it.
    bool refuseWithoutSlot(const EndpointChoice &choice, std::optional<Duration> loadedIn);
    /// Keeps the callers of a contended pool from coming back at the same moment.
    Duration spreadRetry(Duration retryAfter);
    EndpointCall makeCall(const EndpointId &endpoint) const;
    void send(const EndpointId &endpoint);
    /// Expects the answer to the request from \p attempt.
    void beginAttempt(std::shared_ptr<Attempt> attempt, const EndpointIncarnation &endpoint,
                      SoftwareVersion version, SteadyTime sentAt);
    /// Whether the configuration in force still lets the request be repeated after \p runs runs.
    bool keepsRoute(int runs) const;
    /// An endpoint that can take over at once from one that is silent or about to end.
    std::optional<EndpointId> findSuccessor();
    /// Whether the endpoint is about to end and the stream has to go on elsewhere.
    bool isEndMoveDue() const;
    /// Counts why a stream stays at an endpoint that is about to end, once for each attempt.
    void noteNotMoved(std::string_view outcome);
    /// Records that the stream leaves an endpoint that is about to end for \p endpoint.
    void recordMove(const EndpointId &endpoint);
    /// Passes on what the endpoint has sent while a trial was open, unless it is obsolete.
    void releaseHeldData();
    void onSuccessorAnswer(const EndpointId &id, bool isUsable);
    /// Gives up the attempt for one at \p endpoint if the retry limit allows it.
    void moveTo(const EndpointId &endpoint);
    void giveUpSilentAttempt();
    /// Sends the request to \p endpoint as well, to see whether it takes over.
    void startTrial(const EndpointId &endpoint);
    /// Returns whether the endpoint has taken over.
    bool onTrialHead(int status, gsl::span<const HeaderField> headers);
    void onTrialFailure(SendStage stage, const Error &error);
    /// Makes the trial the attempt under way.
    void acceptTrial();
    void cancelTrial();
    void endTrial(EndpointResult result, RanState ran, std::string_view cause);
    void onHead(int status, gsl::span<const HeaderField> headers);
    /// Whether the events behind this head can be passed on.
    bool isStreamHead(int status, const AnswerTraits &traits) const;
    void onData(std::string_view bytes);
    /// Whether the caller keeps up with the answer.
    bool takesData() const;
    void onComplete();
    void onCompleteAtClose();
    /// The rest of a stream has ended with its connection.
    void onRestCompleteAtClose();
    /// Asks whether \p endpoint, which has ended the stream with its connection, goes on.
    void proveEnd(const EndpointIncarnation &endpoint);
    void onEndProof(CrashCheck::Verdict verdict);
    /// Ends a stream that no other endpoint goes on with: as complete if its last endpoint has
    /// ended it and lives.
    void endStream(std::string_view obstacle);
    void onFailure(SendStage stage, const Error &error);
    void onResponse();
    /// Counts a stream in the usage of its workspace when its first event has come.
    void countFirstEvent();
    /// Counts a request that is not a stream in the usage of its workspace if the attempt that has
    /// ended may have run it.
    void settleUsage(bool mayHaveRun);
    /// Why the whole answer that has come can't be passed on, as a cause for the log; empty if it
    /// can.
    std::string answerDefect() const;
    /// How an answer that is no success counts for the endpoint's health.
    static EndpointResult failureResult(const AnswerTraits &traits);
    /// Ends an attempt that brought no response that can be forwarded: retries or refuses.
    void onAttemptFailed(EndpointOutcome outcome, EndpointResult result);
    /// Reports that the engine has lost the request, unless the answer has proved it harmless.
    void reportLost(CrashCheck::LostAnswer kind);
    /// Records that the engine has survived the answer to the request.
    void noteServed();
    /// Closes the connection of an attempt whose endpoint gives no usable answer.
    void abandonAttempt(std::string cause);
    /// Resumes the stream at another endpoint; returns why not, or an empty text. With \p isFree,
    /// the retry limit does not count it.
    std::string_view resume(bool isFree);
    void logFailedAttempt(EndpointOutcome outcome) const;
    /// Ends a failed attempt and counts it if the endpoint may have run the request.
    void recordFailedAttempt(EndpointOutcome outcome, EndpointResult result);
    /// Closes the connection of the attempt under way.
    void cancelCall();
    /// Cancels the attempt under way, if any; it counts as one that may have run.
    void cancelAttempt();
    void onBufferedData(std::string_view bytes);
    void forward(std::string_view bytes);
    void onDeadline();
    /// Answers the request without an endpoint's answer, or cuts off an answer that has begun.
    void endUnanswered(RefusalReason reason, Duration retryAfter, std::string_view cutOffOutcome,
                       std::string message);
    void onCallerGone();
    /// Ends an answer that has begun by closing the caller's connection.
    void cutOff(std::string_view outcome, std::string_view cause);
    void endAttempt(EndpointResult result);
    void refuse(RefusalReason reason, RanState ran, Duration retryAfter, std::string message);
    void finish(std::string_view outcome, int status);
    /// The end of the time that the route and the caller allow.
    SteadyTime deadlineFor(const PrefixRoute &route) const;
    void startTimer();
    /// Adopts a longer timeout of the configuration in force for an answer that has begun, which a
    /// shorter one would cut off. Without an answer, the timeout at the arrival holds.
    bool extendDeadline();
    Duration timeLeft() const;
    /// By when the request must be sent so that a planned stop does not cut off its answer;
    /// Duration::max() if none is in progress.
    Duration timeToSendBeforeStop() const;
    void refuseStopping();
    Duration callerTimeLeft() const;
    /// Whether an endpoint may have run the request.
    RanState ranState() const;
    bool isRepeatable() const;
    bool canFollowAttempt() const;
    bool isEngineRequest() const;
    std::string session() const;
    int sessionTokens() const;
    Duration silenceLimit() const;
    /// Records that \p endpoint has sent something.
    void noteByte(const EndpointIncarnation &endpoint);
    /// Records that the endpoint has sent nothing for longer than is usual, if so.
    void noteSilence();
    EndpointQuery endpointQuery() const;
    /// Whether the caller takes up a stream that has begun in an earlier attempt.
    bool isTakeUp() const;
    /// Finds out which software version began the stream that the caller takes up.
    void findOrigin();
    std::string_view originName() const;
    bool isResumableStream() const;
    /// Selects a pool of the route: the one that began the stream, for one that is taken up.
    const PoolName &poolOf(const PrefixRoute &route, const WorkspaceName &workspace) const;
    /// The versions at which the stream may begin or go on; nullptr: any.
    const std::set<SoftwareVersion> *allowedVersions() const;
    bool isVersionAllowed(const EndpointId &endpoint) const;
    /// Refuses a stream that no endpoint can go on with; returns whether it has.
    bool refuseUnresumable();
    /// Whether the endpoint of the attempt is listed with another version since.
    bool isVersionReplaced() const;
    /// Whether the first event of the attempt may be passed on.
    bool isFromOwnVersion();
    /// Records which version began the stream that the caller receives.
    void noteStreamBegun();
    std::string_view takeUpOutcome(std::string_view outcome) const;
    /// When the caller of a request that endpoints have refused should send it again.
    Duration overloadRetryAfter();

    ServingFront &m_front;
    FleetRuntime &m_runtime;
    ServingRequest m_request;
    std::shared_ptr<ResponseSink> m_sink;
    boost::asio::steady_timer m_timer;
    SteadyTime m_arrival;
    SteadyTime m_deadline;
    /// When the caller is expected to give up waiting for the first byte.
    SteadyTime m_callerDeadline;
    /// Kept alive because m_route points into it.
    std::shared_ptr<const RouteTable> m_routes;
    const PrefixRoute *m_route = nullptr;
    const EndpointPool *m_pool = nullptr;
    WorkspaceName m_workspace;
    int m_priority = 0;
    bool m_isQuotaTaken = false;
    /// The request shows whether a part of its prompt crashes engines, see QuarantineTrials.
    bool m_isTrialOfPart = false;
    bool m_isDemandReported = false;
    bool m_waiting = false;
    bool m_finished = false;
    bool m_isAskingSuccessor = false;
    ChoiceKind m_waitReason = ChoiceKind::Send;
    EndpointId m_limitedEndpoint;

    std::vector<EndpointId> m_triedEndpoints;
    int m_attemptCount = 0;
    /// Number of endpoints that may have processed the request.
    int m_possibleRuns = 0;
    std::shared_ptr<Attempt> m_attempt;
    /// The connection of the last attempt, for the log.
    ConnectionUse m_connection;
    EndpointId m_endpoint;
    /// Start of the endpoint's process when the request was sent.
    std::int64_t m_endpointStartedAtMs = 0;
    /// Its software version, as listed when the request was sent.
    SoftwareVersion m_endpointVersion;
    /// An attempt at another endpoint while the one under way is silent.
    std::shared_ptr<Attempt> m_trial;
    EndpointId m_trialEndpoint;
    std::int64_t m_trialStartedAtMs = 0;
    SoftwareVersion m_trialVersion;
    SteadyTime m_trialSentAt;
    ConnectionUse m_trialConnection;
    boost::asio::steady_timer m_trialTimer;
    /// Trials that have ended without taking over.
    int m_trialCount = 0;
    /// The attempt is being given up because its endpoint is about to end, not for its silence.
    bool m_isEndMove = false;
    /// What the endpoint that is about to end has sent while the trial was open. The successor was
    /// asked for these events as well.
    std::string m_heldData;
    /// The last reason counted by noteNotMoved() for the attempt.
    std::string_view m_notMovedFor;
    SteadyTime m_sentAt;
    SteadyTime m_firstSentAt;
    bool m_firstByteSeen = false;
    /// When the first bytes of the attempt's answer were passed on.
    std::optional<SteadyTime> m_attemptBegunAt;
    bool m_isServedNoted = false;
    /// Empty until it is needed; see suspects().
    std::vector<PromptPart> m_suspects;
    /// The attempt's answer has ended with its connection.
    bool m_hasUnstatedEnd = false;
    /// The caller had received a part of the answer when the attempt began.
    bool m_continuesAnswer = false;
    /// Whether the stream is complete is being found out.
    bool m_isEndPending = false;
    /// The endpoint that has sent the last event and then ended its answer with the connection.
    std::optional<EndpointIncarnation> m_claimedEnd;
    /// Time from the sending to the first byte that was expected when the attempt began.
    Duration m_expectedFirstByte = Duration::zero();
    /// When the attempt last came closer to a whole answer or event, in observed time.
    SteadyTime m_lastProgressAt;
    int m_status = 0;
    AnswerTraits m_traits;
    std::vector<HeaderField> m_answerHeaders;
    std::string m_answerBody;
    bool m_streaming = false;
    /// A long answer of a known length is passed on as it arrives.
    bool m_passingOn = false;
    bool m_answerStarted = false;
    /// The status that the caller has received, once the answer has begun.
    int m_callerStatus = 0;
    EventStream m_events;
    std::optional<SteadyTime> m_firstEventAt;
    OriginSource m_originSource = OriginSource::None;
    /// Once the stream has begun: the version that began it, or none if it is not known.
    std::optional<std::set<SoftwareVersion>> m_streamVersions;
    std::string m_lastError;
    bool m_isUsageCounted = false;
    /// The attempt under way in the usage tally; 0: none.
    std::uint64_t m_pendingUsage = 0;
};

} // namespace marigoldspool

#endif
