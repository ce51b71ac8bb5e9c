#include "Daemon/FrontService.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Routing/Admission.h"
#include "marigoldspool/Routing/HomeSelector.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
// Each placement after the first follows a lost connection or a home that is stopping.
constexpr int MaxPlacements = 4;
constexpr std::size_t RequestIdDigits = 32;
constexpr double BytesPerToken = 4;
constexpr double DefaultMaxTokens = 256;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

double promptTokens(std::size_t bytes)
{
    return std::max(1.0, static_cast<double>(bytes) / BytesPerToken);
}

// What admission needs of the body; nothing is read from the bodies of services.
struct BodyFacts {
    ModelName model;
    bool stream = false;
    double promptCost = 0;
    double cost = 1;
};

tl::expected<BodyFacts, Refusal> readBody(const RouteRule *route, std::string_view body)
{
    BodyFacts facts;
    if (route == nullptr || route->kind != RouteKind::Model) {
        return facts;
    }
    const Expected<ModelRequest> parsed = parseModelRequest(body);
    if (!parsed) {
        return tl::make_unexpected(Refusal{RefusalReason::Malformed, RanState::No,
                                           parsed.error().message, parsed.error().remedy,
                                           Duration::zero()});
    }
    facts.model = parsed->model;
    facts.stream = parsed->stream;
    facts.promptCost = promptTokens(parsed->promptBytes);
    facts.cost = facts.promptCost
        + (parsed->maxTokens ? static_cast<double>(*parsed->maxTokens) : DefaultMaxTokens);
    return facts;
}

Refusal unconfiguredRefusal()
{
    return {RefusalReason::StoreUnavailable, RanState::No, "this instance has no configuration yet",
            "send it again later", std::chrono::seconds(1)};
}

std::vector<HeaderField> withoutKey(const std::vector<HeaderField> &headers)
{
    std::vector<HeaderField> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [](const HeaderField &field) {
                     return !equalsIgnoringCase(field.name, "Authorization");
                 });
    return kept;
}

} // namespace

// Passes the answer to the caller and tells the front when it has ended.
class FrontService::Answer final : public AnswerTarget
{
public:
    Answer(FrontService &front, RequestId id, std::shared_ptr<ResponseSink> sink)
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

private:
    FrontService &m_front;
    RequestId m_id;
    HttpAnswer m_http;
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
    m_timer.start(TickInterval, [this] {
        onTick();
    });
    return {};
}

void FrontService::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    m_stopBy = m_runtime.clock.now() + m_runtime.settings.stopTimeout;
}

void FrontService::onTick()
{
    const SteadyTime now = m_runtime.clock.now();
    for (const ForwardTable::Refuse &overdue : m_forwards.takeOverdue(now, Duration::zero())) {
        refuse(overdue.request, overdue.refusal);
    }
    if (m_stopped && (m_taken.empty() || now >= m_stopBy)) {
        m_timer.stop();
        std::exchange(m_stopped, nullptr)();
    }
}

void FrontService::take(HttpRequest http, std::shared_ptr<ResponseSink> sink)
{
    const RequestId id(m_runtime.random.hex(RequestIdDigits));
    sink->onCallerGone([this, id] {
        onCallerGone(id);
    });
    Taken &taken = m_taken[id];
    taken.request.id = id;
    taken.takenAt = m_runtime.clock.now();
    taken.answer = std::make_shared<Answer>(*this, id, std::move(sink));
    if (const std::string *key = findHeader(http.headers, "Idempotency-Key")) {
        taken.idempotencyKey = *key;
    }
    const std::optional<Refusal> refusal = check(http, taken);
    taken.content = {std::move(http.method), std::move(http.target), withoutKey(http.headers),
                     std::move(http.body)};
    if (refusal) {
        refuse(id, *refusal);
        return;
    }
    admit(id);
}

// The key is checked before the body: a caller without one learns nothing about its body.
std::optional<Refusal> FrontService::check(const HttpRequest &http, Taken &taken) const
{
    if (!m_config.hasConfiguration()) {
        return unconfiguredRefusal();
    }
    const std::shared_ptr<const Configuration> configuration = m_config.current();
    IncomingRequest incoming;
    incoming.id = taken.request.id;
    incoming.path = std::string(pathOf(http.target));
    incoming.headers = http.headers;
    const auto facts = readBody(configuration->findRouteByPath(incoming.path), http.body);
    if (facts) {
        incoming.model = facts->model;
        incoming.stream = facts->stream;
        incoming.modelCost = facts->cost;
        taken.promptCost = facts->promptCost;
    }
    auto request = admitRequest(*configuration, incoming, taken.takenAt,
                                m_config.replica().timeSinceConfirmation());
    const bool keyAccepted = request || request.error().reason == RefusalReason::Malformed;
    if (!facts && keyAccepted) {
        return facts.error();
    }
    if (!request) {
        return request.error();
    }
    taken.request = std::move(*request);
    return std::nullopt;
}

void FrontService::admit(const RequestId &id)
{
    const Request &request = m_taken.at(id).request;
    if (request.workspace.empty()) {
        place(id);
        return;
    }
    m_limits.admit(request.workspace, request.cost, [this, id](std::optional<Refusal> refusal) {
        const auto it = m_taken.find(id);
        if (it == m_taken.end()) {
            return;
        }
        if (refusal) {
            refuse(id, *refusal);
            return;
        }
        it->second.charged = it->second.request.cost;
        claim(id);
    });
}

void FrontService::claim(const RequestId &id)
{
    const Taken &taken = m_taken.at(id);
    if (taken.request.idempotent || taken.idempotencyKey.empty()) {
        place(id);
        return;
    }
    m_claims.claim(taken.request.workspace, taken.idempotencyKey, id,
                   [this, id](tl::expected<IdempotencyClaim, Refusal> claimed) {
                       const auto it = m_taken.find(id);
                       if (it == m_taken.end()) {
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
                       place(id);
                   });
}

void FrontService::place(const RequestId &id)
{
    Taken &taken = m_taken.at(id);
    while (taken.placements < MaxPlacements) {
        ++taken.placements;
        const auto home = selectHome(*m_config.current(), m_peers.table(), taken.request.target,
                                     m_runtime.settings.zone, taken.refusedZones);
        if (!home) {
            refuse(id, home.error());
            return;
        }
        taken.homeZone = home->zone;
        if (home->instance == m_runtime.settings.instance) {
            m_home.submit(taken.request, taken.content, taken.answer);
            return;
        }
        if (forward(taken, home->instance)) {
            return;
        }
        // Nothing was sent, so another home may take the request.
        m_runtime.metrics.countRetry(RetryReason::PeerUnavailable);
        m_peers.table().markDown(home->instance);
    }
    refuse(id,
           {RefusalReason::PeerUnavailable,
            taken.request.mayHaveRun ? RanState::Unknown : RanState::No,
            "no instance took the request in several tries", "send it again later",
            std::chrono::seconds(1)});
}

bool FrontService::forward(Taken &taken, const InstanceId &home)
{
    const Request &request = taken.request;
    ForwardRequest message;
    message.id = request.id;
    message.workspace = request.workspace;
    message.key = request.key;
    message.route = request.route;
    message.model = request.target.model;
    message.pool = request.target.pool;
    message.target = taken.content.target;
    message.method = taken.content.method;
    message.headers = taken.content.headers;
    message.body = taken.content.body;
    message.cost = request.cost;
    message.deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                             request.deadline - m_runtime.clock.now())
                             .count();
    message.idempotent = request.idempotent;
    message.stream = request.stream;
    message.overflow = request.overflow;
    if (!m_peers.send(home, message)) {
        return false;
    }
    m_forwards.begin(request, home);
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
    if (m_forwards.onHead(head.id, from)) {
        m_taken.at(head.id).answer->head(head.status, head.headers, head.stream);
    }
}

void FrontService::onForwardData(const InstanceId &from, const ForwardData &data)
{
    if (!m_forwards.isOpenAt(data.id, from)) {
        return;
    }
    if (!m_forwards.onData(data.id, from, data.index)) {
        m_forwards.end(data.id);
        m_peers.send(from, ForwardCancel{data.id});
        refuse(data.id,
               {RefusalReason::AnswerIncomplete, RanState::Unknown,
                "a part of the answer was lost between instances",
                "send again only if the request may run twice", Duration::zero()});
        return;
    }
    const std::shared_ptr<Answer> answer = m_taken.at(data.id).answer;
    if (!data.bytes.empty()) {
        answer->data(data.bytes);
    }
    if (data.last) {
        m_forwards.end(data.id);
        answer->finish();
    }
}

void FrontService::onForwardRefusal(const InstanceId &from, const ForwardRefusal &refusal)
{
    if (!m_forwards.isOpenAt(refusal.id, from)) {
        return;
    }
    m_forwards.end(refusal.id);
    const Taken &taken = m_taken.at(refusal.id);
    const bool elsewhere = refusal.reason == RefusalReason::Stopping && refusal.ran == RanState::No;
    if (elsewhere && taken.placements < MaxPlacements) {
        m_runtime.metrics.countRetry(RetryReason::PeerUnavailable);
        m_peers.table().markDown(from);
        place(refusal.id);
        return;
    }
    // What an earlier home may have run stays unknown.
    const RanState ran = taken.request.mayHaveRun ? RanState::Unknown : refusal.ran;
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
        m_taken.at(id).request = std::move(request);
        place(id);
    }
}

// A zone that is full or cannot serve the request in time is no reason to refuse it while another
// zone may.
bool FrontService::triesOtherZone(const RequestId &id, const Refusal &refusal)
{
    Taken &taken = m_taken.at(id);
    const bool full = refusal.reason == RefusalReason::NoCapacity
        || refusal.reason == RefusalReason::QueueFull
        || refusal.reason == RefusalReason::DeadlineTooShort;
    if (!full || refusal.ran != RanState::No || taken.homeZone.empty()
        || taken.placements >= MaxPlacements) {
        return false;
    }
    taken.refusedZones.insert(std::exchange(taken.homeZone, ZoneName()));
    const auto home = selectHome(*m_config.current(), m_peers.table(), taken.request.target,
                                 m_runtime.settings.zone, taken.refusedZones);
    if (!home) {
        return false;
    }
    if (!taken.firstRefusal) {
        taken.firstRefusal = refusal;
    }
    taken.request.overflow = true;
    m_runtime.metrics.countRetry(RetryReason::EndpointRefusedBeforeRun);
    place(id);
    return true;
}

// Refusals are counted here only, once for each caller that gets one.
void FrontService::refuse(const RequestId &id, const Refusal &refusal)
{
    const auto it = m_taken.find(id);
    if (it == m_taken.end() || triesOtherZone(id, refusal)) {
        return;
    }
    // The preferred zone knows best when another try makes sense.
    const bool useFirst = refusal.ran == RanState::No && it->second.firstRefusal;
    const Refusal final = useFirst ? *it->second.firstRefusal : refusal;
    m_runtime.metrics.countRefusal(final.reason);
    const std::shared_ptr<Answer> answer = it->second.answer;
    answer->refuseCaller(final);
}

void FrontService::onCallerGone(const RequestId &id)
{
    const auto it = m_taken.find(id);
    if (it == m_taken.end()) {
        return;
    }
    m_runtime.metrics.countRefusal(RefusalReason::CallerGone);
    if (const std::optional<InstanceId> home = m_forwards.end(id)) {
        m_peers.send(*home, ForwardCancel{id});
    } else {
        m_home.cancel(id);
    }
    onFinished(id,
               Refusal{RefusalReason::CallerGone, RanState::Unknown, "the caller has gone", "none",
                       Duration::zero()});
}

// Runs once for each request, whatever its end. Tokens that were not generated go back to the
// workspace; a request that surely did not run costs nothing.
void FrontService::onFinished(const RequestId &id, std::optional<Refusal> refusal)
{
    const auto it = m_taken.find(id);
    if (it == m_taken.end()) {
        return;
    }
    const Taken taken = std::move(it->second);
    m_taken.erase(it);
    const bool notRun = refusal && refusal->ran == RanState::No;
    if (taken.charged > 0) {
        const bool streamed = taken.request.stream && taken.answer->streamedEvents() > 0;
        const double streamedCost =
            taken.promptCost + static_cast<double>(taken.answer->streamedEvents());
        const double used =
            notRun ? 0 : (streamed ? std::min(streamedCost, taken.charged) : taken.charged);
        m_limits.reconcile(taken.request.workspace, taken.charged, used);
    }
    if (notRun && taken.claim) {
        m_claims.release(*taken.claim);
    }
    const Duration took = m_runtime.clock.now() - taken.takenAt;
    m_runtime.metrics.observe("marigoldspool_request_seconds",
                              std::chrono::duration<double>(took).count());
    if (refusal) {
        logEvent(LogLevel::Info, "request_refused",
                 {{"request", id.str()},
                  {"workspace", taken.request.workspace.str()},
                  {"reason", std::string(refusalCode(refusal->reason))},
                  {"ran", std::string(ranStateName(refusal->ran))},
                  {"ms", std::to_string(toMilliseconds(took))}});
    }
}

} // namespace marigoldspool
