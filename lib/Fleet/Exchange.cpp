#include "Fleet/ExchangeAttempt.h"

#include "marigoldspool/Serving/RequestFingerprint.h"
#include "marigoldspool/Support/Invariant.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A caller cancels a stream that has sent no event for the longest of: this time, a multiple of the
// route's objective, and a multiple of its longest pause.
constexpr Duration MinStreamPatience = seconds(2);
constexpr int PatiencePerObjective = 4;
constexpr int PatiencePerPause = 8;
// A request that cannot be served is refused this long before the caller gives up.
constexpr Duration RefusalMargin = milliseconds(40);

constexpr Duration ServiceConnectTimeout = milliseconds(200);
// Some requests take longer than the mean of their pool.
constexpr int RunTimeMargin = 2;
constexpr Duration MaxCallTime = std::chrono::hours(1);
constexpr Duration NoConfigurationRetryAfter = milliseconds(500);
// The users' bound for a version to be in force everywhere. An instance whose configuration was
// last confirmed earlier may lack a route or a key that callers have been told of.
constexpr Duration MaxConfigurationAge = milliseconds(2000);
constexpr Duration CallerGoneRetryAfter = milliseconds(500);

} // namespace

Exchange::Exchange(ServingFront &front, ServingRequest request, std::shared_ptr<ResponseSink> sink)
    : m_front(front)
    , m_runtime(front.m_runtime)
    , m_request(std::move(request))
    , m_sink(std::move(sink))
    , m_timer(m_runtime.io)
    , m_arrival(m_runtime.clock.now())
    , m_trialTimer(m_runtime.io)
{ }

void Exchange::start()
{
    m_front.onStarted();
    m_sink->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    if (!resolveRoute()) {
        return;
    }
    if (m_route->resumable) {
        m_events = EventStream(m_request.lastEventId);
    }
    m_deadline = deadlineFor(*m_route);
    m_callerDeadline = m_deadline - RefusalMargin;
    if (m_route->kind == RequestKind::Stream) {
        const Duration patience =
            std::max({MinStreamPatience, m_route->objective * PatiencePerObjective,
                      m_route->maxEventGap * PatiencePerPause});
        m_callerDeadline = std::min(m_callerDeadline, m_arrival + patience - RefusalMargin);
    }
    startTimer();
    m_runtime.retries.onRequest(m_pool->name);
    dispatch();
}

SteadyTime Exchange::deadlineFor(const PrefixRoute &route) const
{
    return m_arrival + std::min(route.timeout, m_request.callerTimeout.value_or(route.timeout));
}

void Exchange::startTimer()
{
    m_timer.expires_after(timeLeft());
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->onDeadline();
        }
    });
}

bool Exchange::extendDeadline()
{
    const ResolvedRoute current = lookUpRoute();
    if (!m_answerStarted || current.refusal || deadlineFor(*current.route) <= m_deadline) {
        return false;
    }
    m_deadline = deadlineFor(*current.route);
    startTimer();
    return true;
}

Exchange::ResolvedRoute Exchange::lookUpRoute() const
{
    ResolvedRoute resolved;
    const auto refusal = [&resolved](RefusalReason reason, Duration retryAfter,
                                     std::string message) {
        resolved.refusal = Refusal{reason, RanState::No, std::move(message), {}, retryAfter};
        return resolved;
    };
    resolved.routes = m_runtime.routes;
    if (resolved.routes == nullptr || !m_runtime.isLoaded) {
        return refusal(RefusalReason::StoreUnavailable, NoConfigurationRetryAfter,
                       "this instance has not received the state of the fleet yet");
    }
    const RouteTable &routes = *resolved.routes;
    resolved.route = routes.find(m_request.host, m_request.target);
    // What this configuration lacks may be in a later one.
    const auto refuseAbsent = [this, &refusal](RefusalReason reason, const std::string &message) {
        if (m_runtime.clock.now() - m_runtime.configurationConfirmedAt > MaxConfigurationAge) {
            return refusal(RefusalReason::StoreUnavailable, NoConfigurationRetryAfter,
                           message + ", but this instance's configuration may be outdated");
        }
        return refusal(reason, Duration::zero(), message);
    };
    if (resolved.route == nullptr) {
        return refuseAbsent(RefusalReason::RouteUnknown, "no route matches this host and path");
    }
    // Requests that are refused below have a pool as well.
    resolved.pool = routes.configuration()->pool(choosePool(*resolved.route, m_request.id));
    resolved.priority = resolved.route->priority;
    if (routes.requiresKeys() && !resolved.route->open) {
        const ServedWorkspace *workspace = routes.findWorkspace(m_request.key);
        if (workspace == nullptr) {
            return refuseAbsent(m_request.key.empty() ? RefusalReason::KeyMissing
                                                      : RefusalReason::KeyUnknown,
                                "the API key is missing or unknown");
        }
        resolved.workspace = workspace->name;
        resolved.priority = workspace->priority.value_or(resolved.route->priority);
    }
    resolved.pool = routes.configuration()->pool(poolOf(*resolved.route, resolved.workspace));
    if (resolved.pool == nullptr) {
        return refusal(RefusalReason::NoCapacity, NoConfigurationRetryAfter,
                       "the route's pool is not configured");
    }
    return resolved;
}

// Called before each attempt, since the configuration may have changed after the last one.
bool Exchange::resolveRoute()
{
    if (m_routes != nullptr && m_routes == m_runtime.routes) {
        return true;
    }
    ResolvedRoute resolved = lookUpRoute();
    m_routes = std::move(resolved.routes);
    m_route = resolved.route;
    m_pool = resolved.pool;
    m_workspace = std::move(resolved.workspace);
    m_priority = resolved.priority;
    if (!resolved.refusal) {
        return true;
    }
    refuse(resolved.refusal->reason, ranState(), resolved.refusal->retryAfter,
           resolved.refusal->message);
    return false;
}

bool Exchange::takeQuota()
{
    if (m_isQuotaTaken || m_workspace.empty()) {
        return true;
    }
    const ServedWorkspace *workspace = m_routes->findWorkspace(m_request.key);
    double cost = 1;
    if (workspace != nullptr && workspace->countsTokens) {
        cost = m_request.hasTokenCounts
            ? static_cast<double>(m_request.promptTokens) + m_request.outputTokens
            : workspace->defaultCost;
    }
    const std::optional<Duration> wait = m_runtime.quota.tryTake(m_workspace, cost);
    if (!wait) {
        m_isQuotaTaken = true;
        return true;
    }
    refuse(RefusalReason::RateExceeded, ranState(), *wait,
           "the workspace has exceeded its rate limit");
    return false;
}

// Requests beyond the workspace's rate need no model, so they are not counted.
void Exchange::reportDemand()
{
    // The number of endpoints of a service follows from its requests as well.
    if (m_isDemandReported || (!isEngineRequest() && (m_pool->engine || !m_pool->replicas))) {
        return;
    }
    m_isDemandReported = true;
    if (m_runtime.directory.isContended(*m_pool)) {
        m_runtime.priorityDemand.onArrival({m_pool->name, m_request.model, m_priority});
    }
    m_front.m_demand.onArrival({m_pool->name, m_request.model, {}});
    if (!m_request.adapter.empty()) {
        m_front.m_demand.onArrival({m_pool->name, m_request.model, m_request.adapter});
    }
}

// Also called when a part of the prompt, or the request, has come under quarantine while it waits.
bool Exchange::passQuarantine()
{
    m_isTrialOfPart = false;
    if (m_runtime.quarantine.quarantinedCount() == 0) {
        return true;
    }
    const QuarantineAdmission admission =
        m_runtime.quarantine.admit(m_pool->name, suspects(), m_request.id);
    switch (admission.kind) {
    case QuarantineAdmission::Allowed:
        return true;
    case QuarantineAdmission::Trial:
        m_isTrialOfPart = true;
        return true;
    case QuarantineAdmission::Wait:
        waitForTrial(admission);
        return false;
    case QuarantineAdmission::Refused:
        break;
    }
    refuseQuarantined(admission.part, admission.retryAfter);
    return false;
}

void Exchange::refuseQuarantined(const std::string &part, Duration retryAfter)
{
    const bool isWhole = part == suspects().front().id;
    refuse(RefusalReason::PromptQuarantined, ranState(), retryAfter,
           isWhole ? "endpoints have crashed on this request"
                   : "engines have crashed on part " + part + " of the prompt");
}

// The outcome comes within a second if the answer is short. Requests that wait are dispatched again
// at each tick.
void Exchange::waitForTrial(const QuarantineAdmission &admission)
{
    if (callerTimeLeft() <= Duration::zero() || timeToSendBeforeStop() < Duration::zero()) {
        refuseQuarantined(admission.part, admission.retryAfter);
        return;
    }
    m_waitReason = ChoiceKind::Send;
    if (!m_waiting) {
        m_waiting = true;
        m_front.addWaiting(shared_from_this());
    }
}

const std::vector<PromptPart> &Exchange::suspects()
{
    if (m_suspects.empty()) {
        m_suspects = crashSuspects(m_request);
    }
    return m_suspects;
}

std::optional<std::string> Exchange::findQuarantined()
{
    // The fingerprint is worked out only when it is needed.
    return m_runtime.quarantine.quarantinedCount() == 0
        ? std::nullopt
        : m_runtime.quarantine.findQuarantined(m_pool->name, suspects());
}

void Exchange::checkQuarantine()
{
    if (m_finished || m_answerStarted || m_pool == nullptr || !findQuarantined()) {
        return;
    }
    if (!m_attempt) {
        passQuarantine();
        return;
    }
    if (m_isTrialOfPart) {
        // Sent although the part is under quarantine, so this is not news.
        return;
    }
    cancelAttempt();
    const std::optional<std::string> part = findQuarantined();
    refuseQuarantined(*part, m_runtime.quarantine.remaining(m_pool->name, *part));
}

RanState Exchange::ranState() const
{
    return m_possibleRuns > 0 ? RanState::Unknown : RanState::No;
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

int Exchange::sessionTokens() const
{
    int tokens = 0;
    for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
        tokens += m_request.prompt[i].tokens;
    }
    return tokens;
}

// A request that is passed on and cut off at the end of a planned stop may have run, so its caller
// can't safely send it again. Refused at once, it goes to another instance.
Duration Exchange::timeToSendBeforeStop() const
{
    if (m_runtime.answersEndAt == SteadyTime::max()) {
        return Duration::max();
    }
    const Duration untilEnd = m_runtime.answersEndAt - m_runtime.clock.now();
    const Duration run = m_runtime.directory.responseTimes().expectedRun(m_pool->name);
    // The request's own deadline may end it sooner.
    return untilEnd - std::min(std::max(run * RunTimeMargin, m_route->objective), timeLeft());
}

Duration Exchange::timeLeft() const
{
    return m_deadline - m_runtime.clock.now();
}

Duration Exchange::callerTimeLeft() const
{
    const SteadyTime end = std::min(m_callerDeadline, m_runtime.answersEndAt - RefusalMargin);
    return end - m_runtime.clock.now();
}

std::optional<DemandKey> Exchange::unmetDemand() const
{
    const bool isUnmet = m_waitReason == ChoiceKind::NotLoaded || !m_limitedEndpoint.empty();
    if (!m_waiting || !isUnmet || m_pool == nullptr) {
        return std::nullopt;
    }
    return DemandKey{m_pool->name, m_request.model, m_request.adapter};
}

std::optional<DemandKey> Exchange::slotDemand() const
{
    const bool isForSlot =
        (m_waitReason == ChoiceKind::Busy || m_waitReason == ChoiceKind::NoEndpoint)
        && m_limitedEndpoint.empty();
    if (!m_waiting || !isForSlot || m_pool == nullptr || !m_pool->replicas) {
        return std::nullopt;
    }
    return DemandKey{m_pool->name, m_request.model, {}};
}

void Exchange::dispatch()
{
    if (m_finished || m_attempt || !resolveRoute() || !passQuarantine() || refuseUnresumable()
        || !takeQuota()) {
        return;
    }
    if (m_possibleRuns > 0 && (!isRepeatable() || m_possibleRuns >= m_route->maxAttempts)) {
        // The configuration has changed since the last attempt.
        refuse(RefusalReason::OutcomeUnknown, RanState::Unknown, Duration::zero(),
               "the route no longer allows another attempt");
        return;
    }
    reportDemand();
    if (callerTimeLeft() <= Duration::zero()) {
        // The caller has left or is about to, although its connection may not be closed yet.
        refuse(RefusalReason::DeadlineTooShort, ranState(), CallerGoneRetryAfter,
               "no endpoint became available while the caller waited");
        return;
    }
    if (m_possibleRuns == 0 && timeToSendBeforeStop() < Duration::zero()) {
        refuseStopping();
        return;
    }
    EndpointQuery query = endpointQuery();
    EndpointChoice choice = m_runtime.directory.choose(query);
    if (choice.kind != ChoiceKind::Send && !m_triedEndpoints.empty()) {
        // An endpoint that refused without processing the request may be tried again.
        query.excluded = {};
        choice = m_runtime.directory.choose(query);
    }
    if (choice.candidateCount > 0) {
        m_front.m_forecasts.onAvailable(m_request.model, m_request.adapter);
    }
    if (choice.kind == ChoiceKind::Send
        && m_front.m_admission.mustWait(*this, choice, m_front.m_waiting)) {
        choice.kind = ChoiceKind::Busy;
        choice.endpoint = EndpointId();
        choice.isForecast = true;
        choice.retryIn = Duration::zero();
        if (!m_waiting) {
            m_runtime.metrics->add("marigoldspool_admission_turns_waited_total");
            m_front.scheduleDispatch();
        }
    }
    if (choice.kind == ChoiceKind::Send || !m_waiting) {
        countChoice(choice);
    }
    if (choice.kind == ChoiceKind::Send) {
        send(choice.endpoint);
    } else {
        waitOrRefuse(choice);
    }
}

void Exchange::countChoice(const EndpointChoice &choice) const
{
    if (!m_runtime.directory.isContended(*m_pool)) {
        return;
    }
    const bool isKnown = m_runtime.directory.loads().isFresh();
    const std::string kind = !isKnown ? "fallback" : choice.isForecast ? "all_full" : "room";
    m_runtime.metrics->add("marigoldspool_endpoint_choices_total", 1, {{"kind", kind}});
}

void Exchange::waitOrRefuse(const EndpointChoice &choice)
{
    const SteadyTime now = m_runtime.clock.now();
    WaitQuery query;
    query.kind = choice.kind;
    query.waited = now - m_arrival;
    const Duration toSend = timeToSendBeforeStop();
    query.callerTimeLeft = std::min(callerTimeLeft(), toSend);
    if (const auto load = m_front.m_forecasts.find(m_request.model, m_request.adapter)) {
        query.forecast = load->remaining;
        query.overdue = load->overdue;
    }
    query.ownerReachable = m_front.m_ownerReachable;
    m_limitedEndpoint = choice.isPaused ? choice.endpoint : EndpointId();
    query.retryIn = choice.retryIn + m_front.timeForEarlierRequests(*this, choice);
    const bool isLoading = query.forecast && query.overdue == Duration::zero();
    if (refuseWithoutSlot(choice, isLoading ? query.forecast : std::nullopt)) {
        return;
    }
    const WaitDecision decision = decideWait(query);
    if (!decision.wait && m_possibleRuns == 0 && toSend < callerTimeLeft()) {
        refuseStopping();
        return;
    }
    if (!decision.wait) {
        const std::string_view cause = choice.kind != ChoiceKind::NotLoaded
            ? "no endpoint will have free capacity in time"
            : query.overdue > Duration::zero()
            ? "the model is said to be loaded, but no engine in reach has it"
            : "the model cannot be loaded in time";
        refuse(decision.reason, ranState(), spreadRetry(decision.retryAfter), std::string(cause));
        return;
    }
    const bool isNew = !m_waiting || m_waitReason != choice.kind;
    m_waitReason = choice.kind;
    if (choice.kind == ChoiceKind::NotLoaded && isNew) {
        m_front.m_hasNewDemand = true;
    }
    if (!m_waiting) {
        m_waiting = true;
        m_front.addWaiting(shared_from_this());
    }
}

EndpointQuery Exchange::endpointQuery() const
{
    EndpointQuery query;
    query.pool = m_pool;
    if (isEngineRequest()) {
        query.model = m_request.model;
        query.adapter = m_request.adapter;
        query.session = session();
        query.sessionTokens = sessionTokens();
    }
    query.objective = m_route->objective;
    query.excluded = m_triedEndpoints;
    query.softwareVersions = allowedVersions();
    query.draw = m_runtime.random.uniform();
    return query;
}

// Whether the limits let another attempt follow one that is sent now and may have run.
bool Exchange::canFollowAttempt() const
{
    // Beside a silent attempt, both may have run.
    const int openAttempts = m_attempt ? 2 : 1;
    return isRepeatable() && m_possibleRuns + openAttempts < m_route->maxAttempts
        && m_attemptCount + openAttempts < MaxTotalAttempts;
}

EndpointCall Exchange::makeCall(const EndpointId &endpoint) const
{
    const TrackedEndpoint *state = m_runtime.directory.find(endpoint);
    checkInvariant(m_runtime.directory.canSend(endpoint), "sent_to_usable_endpoint",
                   endpoint.str());
    const Duration left = timeLeft();
    SendContext context;
    context.workspace = m_workspace;
    context.timeLeft = left;
    if (isEngineRequest()) {
        context.priority = m_priority;
    }
    context.lastEventId = m_events.lastId().empty() ? m_request.lastEventId : m_events.lastId();
    EndpointCall call = m_runtime.codec.encodeCall(m_request, state->listed, context);
    call.id = m_request.id;
    // This class ends the call at the deadline, which a new version may move.
    call.timeout = MaxCallTime;
    call.connectTimeout =
        std::min<Duration>(left, isEngineRequest() ? EngineConnectTimeout : ServiceConnectTimeout);
    // checkSilence() handles idle endpoints. TCP keep-alive detects dead connections; a path that
    // is lost may return, so only an attempt that another one can follow ends early.
    call.idleTimeout = call.timeout;
    if (!canFollowAttempt()) {
        call.peerTimeout = call.timeout;
    }
    // Whether more events would have followed is found out, see onCompleteAtClose().
    call.mayEndWithConnection = true;
    return call;
}

void Exchange::send(const EndpointId &endpoint)
{
    if (m_waiting) {
        m_waiting = false;
        m_front.removeWaiting(*this);
    }
    if (timeLeft() <= Duration::zero()) {
        onDeadline();
        return;
    }
    EndpointCall call = makeCall(endpoint);
    const SteadyTime now = m_runtime.clock.now();
    if (m_attemptCount == 0) {
        m_firstSentAt = now;
    }
    if (m_runtime.usage && !m_isUsageCounted && !m_workspace.empty()
        && m_route->kind != RequestKind::Stream) {
        m_pendingUsage = m_runtime.usage->onSent(m_workspace);
    }
    m_triedEndpoints.push_back(endpoint);
    const ListedEndpoint &listed = m_runtime.directory.find(endpoint)->listed;
    beginAttempt(std::make_shared<Attempt>(shared_from_this()), {endpoint, listed.startedAtMs},
                 listed.softwareVersion, now);
    m_runtime.directory.onSent(endpoint, m_request.promptTokens, m_request.model);
    if (m_isTrialOfPart) {
        m_runtime.quarantine.trials().onSent(m_request.id);
    }
    m_connection = m_runtime.endpoints->call(std::move(call), m_attempt);
}

void Exchange::beginAttempt(std::shared_ptr<Attempt> attempt, const EndpointIncarnation &endpoint,
                            SoftwareVersion version, SteadyTime sentAt)
{
    m_attempt = std::move(attempt);
    m_endpoint = endpoint.endpoint;
    m_endpointStartedAtMs = endpoint.startedAtMs;
    m_endpointVersion = std::move(version);
    ++m_attemptCount;
    m_sentAt = sentAt;
    m_firstByteSeen = false;
    m_attemptBegunAt.reset();
    m_isServedNoted = false;
    m_hasUnstatedEnd = false;
    m_continuesAnswer = m_answerStarted;
    m_lastProgressAt = m_runtime.observedTime.at(m_runtime.clock.now());
    m_expectedFirstByte = m_runtime.directory.expectedFirstByte(m_endpoint, m_request.promptTokens);
    m_status = 0;
    m_answerHeaders.clear();
    m_answerBody.clear();
    m_streaming = false;
    m_passingOn = false;
    m_isEndMove = false;
    m_heldData.clear();
    m_notMovedFor = {};
    m_events.beginResumed();
}

} // namespace marigoldspool
