#include "Daemon/FrontService.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Routing/Admission.h"
#include "marigoldspool/Routing/HomeSelector.h"
#include "marigoldspool/Routing/RetryPolicy.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
// Each attempt after the first follows a lost connection, a home instance that is stopping, or the
// refusal of a zone.
constexpr int MaxRouteAttempts = 4;
constexpr std::size_t RequestIdDigits = 32;
constexpr double BytesPerToken = 4;
constexpr double DefaultMaxTokens = 256;
// At the end of a planned stop this instance answers before its forwarded requests expire at their
// home instances, as their own deadlines have not passed.
constexpr Duration ForwardedEndMargin = std::chrono::milliseconds(100);

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

double estimatePromptTokens(std::size_t bytes)
{
    return std::max(1.0, static_cast<double>(bytes) / BytesPerToken);
}

// The fields of the body that admission needs. Bodies of requests to services are not parsed.
struct BodyInfo {
    ModelName model;
    bool stream = false;
    double promptTokens = 0;
    double cost = 1;
};

tl::expected<BodyInfo, Refusal> readBody(const RouteRule *route, std::string_view body)
{
    BodyInfo info;
    if (route == nullptr || route->kind != RouteKind::Model) {
        return info;
    }
    const Expected<ModelRequest> parsed = parseModelRequest(body);
    if (!parsed) {
        return tl::make_unexpected(Refusal{RefusalReason::Malformed, RanState::No,
                                           parsed.error().message, parsed.error().remedy,
                                           Duration::zero()});
    }
    info.model = parsed->model;
    info.stream = parsed->stream;
    info.promptTokens = estimatePromptTokens(parsed->promptBytes);
    info.cost = info.promptTokens
        + (parsed->maxTokens ? static_cast<double>(*parsed->maxTokens) : DefaultMaxTokens);
    return info;
}

Refusal unconfiguredRefusal()
{
    return {RefusalReason::StoreUnavailable, RanState::No, "this instance has no configuration yet",
            "send it again later", std::chrono::seconds(1)};
}

std::vector<HeaderField> withoutAuthorization(const std::vector<HeaderField> &headers)
{
    std::vector<HeaderField> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [](const HeaderField &field) {
                     return !equalsIgnoringCase(field.name, "Authorization");
                 });
    return kept;
}

} // namespace

// Forwards the answer to the caller and notifies FrontService when it has ended.
class FrontService::CallerAnswerSink final : public AnswerSink
{
public:
    CallerAnswerSink(FrontService &front, RequestId id, std::shared_ptr<ResponseSink> sink)
        : m_front(front)
        , m_id(id)
        , m_http(std::move(id), std::move(sink))
    { }

    void head(int status, gsl::span<const HeaderField> headers, bool stream) override
    {
        m_http.head(status, headers, stream);
    }
    void data(std::string_view bytes) override { m_http.data(bytes); }
    void finish() override
    {
        m_http.finish();
        m_front.onFinished(m_id, std::nullopt);
    }
    void refuse(const Refusal &refusal) override { m_front.refuse(m_id, refusal); }
    void refuseCaller(const Refusal &refusal)
    {
        m_http.refuse(refusal);
        m_front.onFinished(m_id, refusal);
    }
    std::size_t pendingBytes() const override { return m_http.pendingBytes(); }
    std::size_t streamedEvents() const { return m_http.streamedEvents(); }
    bool hasStarted() const { return m_http.hasStarted(); }

private:
    FrontService &m_front;
    RequestId m_id;
    HttpAnswerSink m_http;
};

FrontService::FrontService(Runtime &runtime, ConfigService &config, PeerService &peers,
                           LimitsService &limits, HomeService &home)
    : m_runtime(runtime)
    , m_config(config)
    , m_peers(peers)
    , m_limits(limits)
    , m_home(home)
    , m_claims(runtime)
    , m_timer(runtime.io)
{
    peers.addListener(*this);
}

Expected<void> FrontService::start()
{
    m_closed = false;
    m_timer.start(TickInterval, [this] {
        onTick();
    });
    return {};
}

void FrontService::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
}

void FrontService::onTick()
{
    const SteadyTime now = m_runtime.clock.now();
    for (const ForwardTable::Refuse &overdue : m_forwards.takeOverdue(now, Duration::zero())) {
        refuse(overdue.request, overdue.refusal);
    }
    if (m_stopped && (m_requests.empty() || now >= m_runtime.answersEndAt)) {
        endOpenRequests();
        m_closed = true;
        m_timer.stop();
        std::exchange(m_stopped, nullptr)();
    }
}

void FrontService::handle(HttpRequest http, std::shared_ptr<ResponseSink> sink)
{
    const RequestId id(m_runtime.random.hex(RequestIdDigits));
    sink->onCallerGone([this, id] {
        onCallerGone(id);
    });
    ReceivedRequest &received = m_requests[id];
    received.request.id = id;
    received.receivedAt = m_runtime.clock.now();
    received.answer = std::make_shared<CallerAnswerSink>(*this, id, std::move(sink));
    if (const std::string *key = findHeader(http.headers, "Idempotency-Key")) {
        received.idempotencyKey = *key;
    }
    const std::optional<Refusal> refusal = checkRequest(http, received);
    received.content = {std::move(http.method), std::move(http.target),
                        withoutAuthorization(http.headers), std::move(http.body)};
    if (refusal) {
        refuse(id, *refusal);
        return;
    }
    admit(id);
}

// A refused key takes precedence over a malformed body: a caller without a valid key learns nothing
// about its body.
std::optional<Refusal> FrontService::checkRequest(const HttpRequest &http,
                                                  ReceivedRequest &received) const
{
    if (m_closed) {
        return stopRefusal(RanState::No, false);
    }
    if (!m_config.hasConfiguration()) {
        return unconfiguredRefusal();
    }
    const std::shared_ptr<const Configuration> configuration = m_config.current();
    IncomingRequest incoming;
    incoming.id = received.request.id;
    incoming.path = std::string(pathOf(http.target));
    incoming.headers = http.headers;
    const auto info = readBody(configuration->findRouteByPath(incoming.path), http.body);
    if (info) {
        incoming.model = info->model;
        incoming.stream = info->stream;
        incoming.modelCost = info->cost;
        received.promptTokens = info->promptTokens;
    }
    auto request = admitRequest(*configuration, incoming, received.receivedAt,
                                m_config.replica().timeSinceConfirmation());
    const bool keyAccepted = request || request.error().reason == RefusalReason::Malformed;
    if (!info && keyAccepted) {
        return info.error();
    }
    if (!request) {
        return request.error();
    }
    received.request = std::move(*request);
    return std::nullopt;
}

void FrontService::admit(const RequestId &id)
{
    const Request &request = m_requests.at(id).request;
    if (request.workspace.empty()) {
        routeRequest(id);
        return;
    }
    m_limits.admit(request.workspace, request.cost, [this, id](std::optional<Refusal> refusal) {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        if (refusal) {
            refuse(id, *refusal);
            return;
        }
        it->second.chargedTokens = it->second.request.cost;
        claimIdempotencyKey(id);
    });
}

void FrontService::claimIdempotencyKey(const RequestId &id)
{
    const ReceivedRequest &received = m_requests.at(id);
    if (received.request.idempotent || received.idempotencyKey.empty()) {
        routeRequest(id);
        return;
    }
    m_claims.claim(received.request.workspace, received.idempotencyKey, id,
                   [this, id](tl::expected<IdempotencyClaim, Refusal> claimed) {
                       const auto it = m_requests.find(id);
                       if (it == m_requests.end()) {
                           if (claimed) {
                               m_claims.release(*claimed);
                           }
                           return;
                       }
                       if (!claimed) {
                           refuse(id, claimed.error());
                           return;
                       }
                       it->second.claim = std::move(*claimed);
                       routeRequest(id);
                   });
}

void FrontService::routeRequest(const RequestId &id)
{
    ReceivedRequest &received = m_requests.at(id);
    while (received.routeAttempts < MaxRouteAttempts) {
        ++received.routeAttempts;
        const auto home = selectHome(*m_config.current(), m_peers.table(), received.request.target,
                                     m_runtime.settings.zone, received.refusedZones);
        if (!home) {
            refuse(id, home.error());
            return;
        }
        received.homeZone = home->zone;
        if (home->instance == m_runtime.settings.instance) {
            m_home.submit(received.request, received.content, received.answer);
            return;
        }
        if (forward(received, home->instance)) {
            return;
        }
        // Nothing was sent, so the request can go to another home instance.
        m_runtime.metrics.countRetry(RetryReason::PeerUnavailable);
        m_peers.table().markDown(home->instance);
    }
    refuse(id,
           {RefusalReason::PeerUnavailable,
            received.request.mayHaveRun ? RanState::Unknown : RanState::No,
            "no instance accepted the request in several attempts", "send it again later",
            std::chrono::seconds(1)});
}

bool FrontService::forward(ReceivedRequest &received, const InstanceId &home)
{
    const Request &request = received.request;
    ForwardRequest message;
    message.id = request.id;
    message.workspace = request.workspace;
    message.key = request.key;
    message.route = request.route;
    message.model = request.target.model;
    message.pool = request.target.pool;
    message.target = received.content.target;
    message.method = received.content.method;
    message.headers = received.content.headers;
    message.body = received.content.body;
    message.cost = request.cost;
    SteadyTime deadline = request.deadline;
    if (m_runtime.stopping) {
        deadline = std::min(deadline, m_runtime.answersEndAt + ForwardedEndMargin);
    }
    message.deadlineMs = toMilliseconds(deadline - m_runtime.clock.now());
    message.idempotent = request.idempotent;
    message.stream = request.stream;
    message.overflow = request.overflow;
    if (!m_peers.send(home, message)) {
        return false;
    }
    m_forwards.add(request, home);
    return true;
}

void FrontService::onPeerMessage(const InstanceId &from, std::uint64_t, const PeerMessage &message)
{
    if (const auto *head = std::get_if<ForwardHead>(&message)) {
        onForwardHead(from, *head);
    } else if (const auto *data = std::get_if<ForwardData>(&message)) {
        onForwardData(from, *data);
    } else if (const auto *refusal = std::get_if<ForwardRefusal>(&message)) {
        onForwardRefusal(from, *refusal);
    }
}

void FrontService::onForwardHead(const InstanceId &from, const ForwardHead &head)
{
    if (m_forwards.acceptHead(head.id, from)) {
        m_requests.at(head.id).answer->head(head.status, head.headers, head.stream);
    }
}

void FrontService::onForwardData(const InstanceId &from, const ForwardData &data)
{
    if (!m_forwards.isPendingAt(data.id, from)) {
        return;
    }
    if (!m_forwards.acceptData(data.id, from, data.index)) {
        m_forwards.remove(data.id);
        m_peers.send(from, ForwardCancel{data.id});
        refuse(data.id,
               {RefusalReason::AnswerIncomplete, RanState::Unknown,
                "a part of the answer was lost between instances",
                "send again only if the request may run twice", Duration::zero()});
        return;
    }
    const std::shared_ptr<CallerAnswerSink> answer = m_requests.at(data.id).answer;
    if (!data.bytes.empty()) {
        answer->data(data.bytes);
    }
    if (data.last) {
        m_forwards.remove(data.id);
        answer->finish();
    }
}

void FrontService::onForwardRefusal(const InstanceId &from, const ForwardRefusal &refusal)
{
    if (!m_forwards.isPendingAt(refusal.id, from)) {
        return;
    }
    m_forwards.remove(refusal.id);
    const ReceivedRequest &received = m_requests.at(refusal.id);
    const bool homeIsStopping =
        refusal.reason == RefusalReason::Stopping && refusal.ran == RanState::No;
    if (homeIsStopping && received.routeAttempts < MaxRouteAttempts) {
        m_runtime.metrics.countRetry(RetryReason::PeerUnavailable);
        m_peers.table().markDown(from);
        routeRequest(refusal.id);
        return;
    }
    // An earlier home instance may have run the request.
    const RanState ran = received.request.mayHaveRun ? RanState::Unknown : refusal.ran;
    refuse(refusal.id,
           {refusal.reason, ran, refusal.message, refusal.remedy,
            std::chrono::milliseconds(refusal.retryAfterMs)});
}

void FrontService::onPeerDown(const InstanceId &peer)
{
    for (ForwardTable::LossOutcome &outcome : m_forwards.onPeerDown(peer)) {
        if (const auto *lost = std::get_if<ForwardTable::Refuse>(&outcome)) {
            refuse(lost->request, lost->refusal);
            continue;
        }
        Request &request = std::get<ForwardTable::Resend>(outcome).request;
        m_runtime.metrics.countRetry(RetryReason::PeerUnavailable);
        const RequestId id = request.id;
        m_requests.at(id).request = std::move(request);
        routeRequest(id);
    }
}

// A request that one zone refuses for lack of capacity or time is sent to another zone, if there is
// one.
bool FrontService::tryOtherZone(const RequestId &id, const Refusal &refusal)
{
    ReceivedRequest &received = m_requests.at(id);
    const bool otherZoneMayServe = refusal.reason == RefusalReason::NoCapacity
        || refusal.reason == RefusalReason::QueueFull
        || refusal.reason == RefusalReason::DeadlineTooShort;
    if (!otherZoneMayServe || refusal.ran != RanState::No || received.homeZone.empty()
        || received.routeAttempts >= MaxRouteAttempts) {
        return false;
    }
    received.refusedZones.insert(std::exchange(received.homeZone, ZoneName()));
    const auto home = selectHome(*m_config.current(), m_peers.table(), received.request.target,
                                 m_runtime.settings.zone, received.refusedZones);
    if (!home) {
        return false;
    }
    if (!received.firstRefusal) {
        received.firstRefusal = refusal;
    }
    received.request.overflow = true;
    m_runtime.metrics.countRetry(RetryReason::EndpointRefusedBeforeRun);
    routeRequest(id);
    return true;
}

// Refusals that are sent to callers are counted only here, so that each is counted once.
void FrontService::refuse(const RequestId &id, const Refusal &refusal)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || tryOtherZone(id, refusal)) {
        return;
    }
    // The first refusal comes from the preferred zone, whose retry time is the most accurate.
    const bool useFirst = refusal.ran == RanState::No && it->second.firstRefusal;
    const Refusal final = useFirst ? *it->second.firstRefusal : refusal;
    m_runtime.metrics.countRefusal(final.reason);
    const std::shared_ptr<CallerAnswerSink> answer = it->second.answer;
    answer->refuseCaller(final);
}

void FrontService::onCallerGone(const RequestId &id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    m_runtime.metrics.countRefusal(RefusalReason::CallerGone);
    if (const std::optional<InstanceId> home = m_forwards.remove(id)) {
        m_peers.send(*home, ForwardCancel{id});
    } else {
        m_home.cancel(id);
    }
    onFinished(id,
               Refusal{RefusalReason::CallerGone, RanState::Unknown,
                       "the caller closed the connection", "none", Duration::zero()});
}

void FrontService::endOpenRequests()
{
    // Ends those of callers of this instance that were sent to it as their home.
    m_home.endOpenRequests();
    // Requests that end remove themselves.
    std::vector<RequestId> open;
    for (const auto &[id, received] : m_requests) {
        open.push_back(id);
    }
    for (const RequestId &id : open) {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            continue;
        }
        const ReceivedRequest &received = it->second;
        const std::optional<InstanceId> home = m_forwards.remove(id);
        if (home) {
            m_peers.send(*home, ForwardCancel{id});
        }
        const bool mayHaveRun = home || received.request.mayHaveRun;
        refuse(id,
               stopRefusal(mayHaveRun ? RanState::Unknown : RanState::No,
                           received.answer->hasStarted()));
    }
}

// Runs once for each request, however it ends. Tokens that were not generated are refunded to the
// workspace; a request that is known not to have run costs nothing.
void FrontService::onFinished(const RequestId &id, std::optional<Refusal> refusal)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    const ReceivedRequest received = std::move(it->second);
    m_requests.erase(it);
    const bool notRun = refusal && refusal->ran == RanState::No;
    if (received.chargedTokens > 0) {
        const bool streamed = received.request.stream && received.answer->streamedEvents() > 0;
        const double streamedCost =
            received.promptTokens + static_cast<double>(received.answer->streamedEvents());
        const double used = notRun
            ? 0
            : (streamed ? std::min(streamedCost, received.chargedTokens) : received.chargedTokens);
        m_limits.reconcile(received.request.workspace, received.chargedTokens, used);
    }
    if (notRun && received.claim) {
        m_claims.release(*received.claim);
    }
    const Duration took = m_runtime.clock.now() - received.receivedAt;
    m_runtime.metrics.observe("marigoldspool_request_seconds",
                              std::chrono::duration<double>(took).count());
    if (refusal) {
        logEvent(LogLevel::Info, "request_refused",
                 {{"request", id.str()},
                  {"workspace", received.request.workspace.str()},
                  {"reason", std::string(refusalCode(refusal->reason))},
                  {"ran", std::string(ranStateName(refusal->ran))},
                  {"ms", std::to_string(toMilliseconds(took))}});
    }
}

} // namespace marigoldspool
