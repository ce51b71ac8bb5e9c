#include "Daemon/HomeService.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace marigoldspool {

namespace {

// Well below the dispatcher's refusal margin of 30 ms, so that refusals meet the deadline.
constexpr Duration TickInterval = std::chrono::milliseconds(10);
// Bounds the memory used for a caller that reads more slowly than the endpoint generates.
constexpr std::size_t MaxPendingAnswerBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration SilenceLimit = std::chrono::seconds(10);
// Bounds a stream that never ends; SilenceLimit covers connections on which nothing arrives.
constexpr Duration MaxStreamDuration = std::chrono::hours(1);

// Hop-by-hop fields, fields addressed to this system, and the caller's key, which no endpoint may
// see.
constexpr std::array<std::string_view, 12> WithheldFields{"Authorization",
                                                          "Connection",
                                                          "Content-Length",
                                                          "Expect",
                                                          "Host",
                                                          "Idempotency-Key",
                                                          "Keep-Alive",
                                                          "Proxy-Authorization",
                                                          "Transfer-Encoding",
                                                          "TE",
                                                          "X-Deadline-Ms",
                                                          "X-Request-Id"};

std::vector<HeaderField> endpointHeaders(const RequestContent &content)
{
    std::vector<HeaderField> headers;
    for (const HeaderField &field : content.headers) {
        bool withheld = false;
        for (const std::string_view name : WithheldFields) {
            withheld = withheld || equalsIgnoringCase(field.name, name);
        }
        if (!withheld) {
            headers.push_back(field);
        }
    }
    return headers;
}

DispatcherOptions dispatcherOptions(const DaemonSettings &settings)
{
    DispatcherOptions options;
    options.zone = settings.zone;
    options.assumedColdStart = settings.assumedColdStart;
    return options;
}

} // namespace

HomeService::HomeService(Runtime &runtime, ConfigService &config, PeerService &peers,
                         SlotSource &slots)
    : m_runtime(runtime)
    , m_config(config)
    , m_peers(peers)
    , m_dispatcher(dispatcherOptions(runtime.settings), runtime.clock, slots, runtime.metrics)
    , m_client(makeEndpointClient(runtime.io, runtime.clock, runtime.metrics))
    , m_timer(runtime.io)
{
    peers.addListener(*this);
    config.addChangeHandler([this](std::shared_ptr<const Configuration> configuration) {
        apply(m_dispatcher.onConfiguration(std::move(configuration)));
    });
}

Expected<void> HomeService::start()
{
    m_timer.start(TickInterval, [this] {
        if (m_config.hasConfiguration()) {
            apply(m_dispatcher.onTick());
        }
        if (m_stopped) {
            stopWhenIdle();
        }
    });
    return {};
}

void HomeService::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    stopWhenIdle();
}

void HomeService::stopWhenIdle()
{
    if (!m_served.empty()) {
        if (m_runtime.clock.now() < m_runtime.answersEndAt) {
            return;
        }
        logEvent(LogLevel::Warning, "stop_timeout", {{"open", std::to_string(m_served.size())}});
        endOpenRequests();
    }
    m_timer.stop();
    std::exchange(m_stopped, nullptr)();
}

void HomeService::beginStop()
{
    apply(m_dispatcher.stopBy(m_runtime.answersEndAt));
}

void HomeService::endOpenRequests()
{
    apply(m_dispatcher.refuseQueued());
    std::vector<RequestId> own;
    for (const auto &[id, served] : m_served) {
        if (served.receiver.empty()) {
            own.push_back(id);
        }
    }
    for (const RequestId &id : own) {
        apply(m_dispatcher.abandon(id));
    }
}

void HomeService::submit(Request request, RequestContent content,
                         std::shared_ptr<AnswerSink> answer)
{
    add(ServedRequest{std::move(request), std::move(content), std::move(answer), InstanceId()});
}

void HomeService::add(ServedRequest served)
{
    Request request = served.request;
    m_served.insert_or_assign(request.id, std::move(served));
    apply(m_dispatcher.submit(std::move(request)));
}

void HomeService::cancel(const RequestId &id)
{
    if (m_served.count(id) == 0) {
        return;
    }
    apply(m_dispatcher.cancel(id));
    m_served.erase(id);
}

void HomeService::apply(const DispatchActions &actions)
{
    for (const DispatchAction &action : actions) {
        if (const auto *sending = std::get_if<SendToEndpoint>(&action)) {
            send(*sending);
        } else if (const auto *refusal = std::get_if<RefuseRequest>(&action)) {
            refuse(*refusal);
        } else if (const auto *demand = std::get_if<ReportDemand>(&action)) {
            m_onDemand(*demand);
        } else if (const auto *notLoaded = std::get_if<ModelNotLoaded>(&action)) {
            m_onNotLoaded(*notLoaded);
        } else if (const auto *cancelled = std::get_if<CancelAtEndpoint>(&action)) {
            m_client->cancel(cancelled->request);
        }
    }
}

void HomeService::send(const SendToEndpoint &action)
{
    ServedRequest &served = m_served.at(action.request);
    const EndpointRule *rule = m_config.current()->findEndpoint(action.endpoint.str());
    assert(rule != nullptr && "the dispatcher chooses among configured endpoints");
    EndpointCall call;
    // The same for all attempts, so that an endpoint can tell a retried request from a new one.
    call.id = action.request;
    call.address = rule->address;
    call.method = served.content.method;
    call.target = served.content.target;
    call.headers = endpointHeaders(served.content);
    call.body = served.content.body;
    AttemptObserver &observer = *this;
    const Duration timeLeft = served.request.deadline - m_runtime.clock.now();
    call.timeout = served.request.stream ? MaxStreamDuration : timeLeft;
    call.idleTimeout = std::max(SilenceLimit, served.request.stream ? timeLeft : Duration::zero());
    m_client->call(std::move(call), std::make_shared<EndpointAttempt>(action.request, observer));
}

void HomeService::refuse(const RefuseRequest &action)
{
    const auto it = m_served.find(action.request);
    if (it == m_served.end()) {
        return;
    }
    const std::shared_ptr<AnswerSink> answer = it->second.answer;
    m_served.erase(it);
    answer->refuse(action.refusal);
}

void HomeService::onAnswerHead(const RequestId &request, int status,
                               gsl::span<const HeaderField> headers, bool stream)
{
    const auto it = m_served.find(request);
    if (it != m_served.end()) {
        m_dispatcher.onAnswerStarted(request);
        it->second.answer->head(status, headers, stream);
    }
}

void HomeService::onAnswerData(const RequestId &request, std::string_view bytes)
{
    const auto it = m_served.find(request);
    if (it == m_served.end()) {
        return;
    }
    const std::shared_ptr<AnswerSink> answer = it->second.answer;
    answer->data(bytes);
    if (answer->pendingBytes() > MaxPendingAnswerBytes) {
        logEvent(LogLevel::Warning, "caller_too_slow", {{"request", request.str()}});
        cancel(request);
        answer->refuse({RefusalReason::CallerGone, RanState::Unknown,
                        "the answer was not read fast enough", "read the answer faster",
                        Duration::zero()});
    }
}

void HomeService::onAttemptEnded(const RequestId &request, EndpointOutcome outcome)
{
    const auto it = m_served.find(request);
    if (it == m_served.end()) {
        return;
    }
    if (outcome == EndpointOutcome::Answered) {
        const std::shared_ptr<AnswerSink> answer = it->second.answer;
        m_served.erase(it);
        answer->finish();
    }
    apply(m_dispatcher.onEndpointResult(request, outcome));
}

void HomeService::onPeerMessage(const InstanceId &from, std::uint64_t, const PeerMessage &message)
{
    if (const auto *forward = std::get_if<ForwardRequest>(&message)) {
        onForwardRequest(from, *forward);
    } else if (const auto *cancelled = std::get_if<ForwardCancel>(&message)) {
        const auto it = m_served.find(cancelled->id);
        if (it != m_served.end() && it->second.receiver == from) {
            cancel(cancelled->id);
        }
    }
}

void HomeService::onForwardRequest(const InstanceId &from, const ForwardRequest &forward)
{
    auto answer = std::make_shared<PeerAnswerSink>(forward.id, from, m_peers);
    if (m_runtime.stopping || !m_config.hasConfiguration()) {
        answer->refuse({RefusalReason::Stopping, RanState::No,
                        "this instance accepts no new requests", "send it to another instance",
                        Duration::zero()});
        return;
    }
    // The receiver sends a request again only after it has lost the connection, so that the earlier
    // attempt can no longer be answered.
    cancel(forward.id);
    ServedRequest served;
    Request &request = served.request;
    request.id = forward.id;
    request.workspace = forward.workspace;
    const WorkspaceRule *workspace = m_config.current()->findWorkspace(forward.workspace.str());
    request.share = workspace != nullptr ? workspace->share : 1;
    request.key = forward.key;
    request.route = forward.route;
    request.target = forward.model.empty() ? Target{{}, forward.pool} : Target{forward.model, {}};
    request.cost = forward.cost;
    request.deadline = m_runtime.clock.now() + std::chrono::milliseconds(forward.deadlineMs);
    request.idempotent = forward.idempotent;
    request.stream = forward.stream;
    request.overflow = forward.overflow;
    served.content = {forward.method, forward.target, forward.headers, forward.body};
    served.answer = std::move(answer);
    served.receiver = from;
    add(std::move(served));
}

void HomeService::onPeerDown(const InstanceId &peer)
{
    std::vector<RequestId> orphaned;
    for (const auto &[id, served] : m_served) {
        if (served.receiver == peer) {
            orphaned.push_back(id);
        }
    }
    for (const RequestId &id : orphaned) {
        cancel(id);
    }
}

} // namespace marigoldspool
