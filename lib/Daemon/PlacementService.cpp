#include "Daemon/PlacementService.h"

#include "Daemon/EngineProtocol.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration TimerInterval = std::chrono::milliseconds(25);
constexpr Duration PlacementTickInterval = std::chrono::milliseconds(100);
constexpr Duration PollInterval = std::chrono::seconds(1);
// While an order is pending; adapters load in 5 to 15 ms.
constexpr Duration PendingOrderPollInterval = std::chrono::milliseconds(50);
// A single status reply may be lost; three in a row are an outage.
constexpr int UnreachableAfterFailures = 3;
constexpr Duration StatusTimeout = std::chrono::seconds(2);
constexpr Duration OrderTimeout = std::chrono::seconds(5);
// An engine in trouble may send bytes without end; a status lists a few hundred models at most.
constexpr std::size_t MaxCallAnswerBytes = 1U << 20U;

PlacementOptions placementOptions(const DaemonSettings &settings)
{
    PlacementOptions options;
    options.zone = settings.zone;
    options.loadsPerSecond = settings.loadsPerSecond;
    // The dispatcher admits requests by the same estimate. With a longer one here, admitted
    // requests would be refused because their deadline is too short.
    options.maxAssumedLoadTime = settings.assumedColdStart;
    return options;
}

// Buffers the complete answer to one call.
class BufferedCall : public EndpointCallHandler
{
public:
    void onHead(int status, gsl::span<const HeaderField>) override { m_status = status; }
    void onData(std::string_view bytes) override { m_body.append(bytes); }

protected:
    int status() const { return m_status; }
    const std::string &body() const { return m_body; }

private:
    int m_status = 0;
    std::string m_body;
};

} // namespace

class PlacementService::StatusCall final : public BufferedCall
{
public:
    StatusCall(PlacementService &service, EndpointId endpoint, SteadyTime requestedAt)
        : m_service(service)
        , m_endpoint(std::move(endpoint))
        , m_requestedAt(requestedAt)
    { }
    void onComplete() override
    {
        m_service.onStatus(m_endpoint, m_requestedAt, status() == 200 ? body() : std::string());
    }
    void onFailure(SendStage, Error) override { m_service.onStatus(m_endpoint, m_requestedAt, {}); }

private:
    PlacementService &m_service;
    EndpointId m_endpoint;
    SteadyTime m_requestedAt;
};

class PlacementService::OrderCall final : public BufferedCall
{
public:
    OrderCall(PlacementService &service, OrderId order)
        : m_service(service)
        , m_order(std::move(order))
    { }
    void onComplete() override
    {
        m_service.handle(OrderReply{m_order, parseOrderReply(status(), body())});
    }
    void onFailure(SendStage stage, Error error) override
    {
        error.kind =
            stage == SendStage::NotSent ? ErrorKind::Unavailable : ErrorKind::OutcomeUnknown;
        m_service.handle(OrderReply{m_order, tl::make_unexpected(std::move(error))});
    }

private:
    PlacementService &m_service;
    OrderId m_order;
};

PlacementService::PlacementService(Runtime &runtime, ConfigService &config, PeerService &peers,
                                   HomeService &home)
    : m_runtime(runtime)
    , m_config(config)
    , m_peers(peers)
    , m_home(home)
    , m_engine(placementOptions(runtime.settings), runtime.settings.instance, runtime.clock,
               runtime.random)
    , m_client(makeEndpointClient(runtime.io, runtime.clock, runtime.metrics))
    , m_timer(runtime.io)
{
    config.addChangeHandler([this](std::shared_ptr<const Configuration> configuration) {
        handle(ConfigurationChanged{std::move(configuration)});
    });
    home.setDemandHandler([this](const ReportDemand &note) {
        Demand demand;
        demand.model = note.model;
        demand.waiting = note.waiting;
        demand.earliestDeadline = note.earliestDeadline;
        demand.latestDeadline = note.latestDeadline;
        demand.arrived = note.arrived;
        demand.predictedWait = note.predictedWait;
        demand.overflow = note.overflow;
        demand.zone = m_runtime.settings.zone;
        handle(DemandUpdate{demand});
    });
    home.setNotLoadedHandler([this](const ModelNotLoaded &notLoaded) {
        m_polls[notLoaded.endpoint].nextAt = SteadyTime();
    });
}

Expected<void> PlacementService::start()
{
    m_timer.start(TimerInterval, [this] {
        onTick();
    });
    return {};
}

void PlacementService::stop(std::function<void()> stopped)
{
    m_timer.stop();
    stopped();
}

void PlacementService::onTick()
{
    if (!m_config.hasConfiguration()) {
        return;
    }
    pollEngines();
    const SteadyTime now = m_runtime.clock.now();
    if (now >= m_nextTick) {
        m_nextTick = now + PlacementTickInterval;
        handle(makeTick());
    }
}

Tick PlacementService::makeTick()
{
    Tick tick;
    tick.instanceCount = m_peers.table().alivePeers().size() + 1;
    for (const Dispatcher::RunningCount &running : m_home.dispatcher().runningCounts()) {
        tick.runningRequests.push_back({running.endpoint, running.model, running.count});
    }
    return tick;
}

bool PlacementService::isReachable(const EndpointId &endpoint) const
{
    const auto it = m_polls.find(endpoint);
    return it == m_polls.end() || it->second.consecutiveFailures < UnreachableAfterFailures;
}

void PlacementService::pollEngines()
{
    const SteadyTime now = m_runtime.clock.now();
    for (const EndpointId &endpoint : m_engine.endpointsToPoll()) {
        PollState &awaited = m_polls[endpoint];
        awaited.nextAt = std::min(awaited.nextAt, now + PendingOrderPollInterval);
    }
    const std::shared_ptr<const Configuration> configuration = m_config.current();
    for (const EndpointRule &rule : configuration->endpoints()) {
        if (rule.kind != EndpointKind::Engine || rule.zone != m_runtime.settings.zone) {
            continue;
        }
        PollState &state = m_polls[rule.id];
        if (!state.pending && now >= state.nextAt) {
            state.pending = true;
            state.nextAt = now + PollInterval;
            poll(rule);
        }
    }
}

void PlacementService::poll(const EndpointRule &rule)
{
    EndpointCall call;
    call.id = RequestId("status/" + std::to_string(m_nextCallId++));
    call.address = rule.address;
    call.method = "GET";
    call.target = "/engine/status";
    call.timeout = StatusTimeout;
    call.idleTimeout = StatusTimeout;
    call.maxAnswerBytes = MaxCallAnswerBytes;
    m_client->call(std::move(call),
                   std::make_shared<StatusCall>(*this, rule.id, m_runtime.clock.now()));
}

void PlacementService::onStatus(const EndpointId &endpoint, SteadyTime requestedAt,
                                std::string_view body)
{
    PollState &state = m_polls[endpoint];
    state.pending = false;
    if (body.empty()) {
        ++state.consecutiveFailures;
        return;
    }
    state.consecutiveFailures = 0;
    Expected<EngineStatus> status = parseEngineStatus(body, endpoint, requestedAt);
    if (!status) {
        logEvent(LogLevel::Warning, "engine_status_refused",
                 {{"endpoint", endpoint.str()}, {"error", describeError(status.error())}});
        return;
    }
    m_home.apply(
        m_home.dispatcher().onEndpointStatus(endpoint, status->incarnation, status->completed));
    handle(*status);
}

void PlacementService::handle(const PlacementEvent &event)
{
    for (const PlacementAction &action : m_engine.handle(event)) {
        execute(action);
    }
}

void PlacementService::execute(const PlacementAction &action)
{
    if (const auto *get = std::get_if<StoreGet>(&action)) {
        m_runtime.store->get(get->key, [this, token = get->token](Expected<StoredObject> object) {
            handle(StoreReply{token, std::move(object)});
        });
    } else if (const auto *put = std::get_if<StorePut>(&action)) {
        m_runtime.store->put(put->key, put->expectedVersion, put->value, put->writeId,
                             [this, token = put->token](const Expected<std::uint64_t> &version) {
                                 handle(StoreReply{token, version.map([](std::uint64_t n) {
                                                       StoredObject object;
                                                       object.version = n;
                                                       return object;
                                                   })});
                             });
    } else if (const auto *order = std::get_if<SendOrder>(&action)) {
        sendOrder(order->order);
    } else if (const auto *ready = std::get_if<ReplicaReady>(&action)) {
        logEvent(LogLevel::Info, "replica_ready",
                 {{"model", ready->model.str()}, {"endpoint", ready->endpoint.str()}});
        updateReplicas(ready->model);
    } else if (const auto *gone = std::get_if<ReplicaNotReady>(&action)) {
        logEvent(LogLevel::Info, "replica_gone",
                 {{"model", gone->model.str()}, {"endpoint", gone->endpoint.str()}});
        updateReplicas(gone->model);
    } else if (const auto *refused = std::get_if<LoadRefused>(&action)) {
        refuseLoad(*refused);
    }
}

void PlacementService::updateReplicas(const ModelName &model)
{
    m_home.apply(m_home.dispatcher().onReplicas(model, m_engine.readyEndpoints(model)));
}

void PlacementService::refuseLoad(const LoadRefused &refused)
{
    logEvent(
        LogLevel::Warning, "load_refused",
        {{"model", refused.model.str()}, {"reason", std::string(refusalCode(refused.reason))}});
    m_home.apply(m_home.dispatcher().onLoadRefused(
        refused.model,
        {refused.reason, RanState::No, refused.message, refused.remedy, refused.retryAfter}));
}

// Checks the order's send deadline immediately before the call: a process that was paused must not
// send an order that other instances consider expired.
void PlacementService::sendOrder(const EngineOrder &order)
{
    const SteadyTime now = m_runtime.clock.now();
    const EndpointRule *rule = m_config.current()->findEndpoint(order.endpoint.str());
    if (rule == nullptr || !canSendOrder(order, now)) {
        handle(OrderReply{order.id,
                          unexpectedError(ErrorKind::Unavailable, "the order was not sent",
                                          "decide again from the current ledger")});
        return;
    }
    logEvent(LogLevel::Info, "order_sent",
             {{"order", order.id.str()},
              {"endpoint", order.endpoint.str()},
              {"model", order.model.str()},
              {"action", order.action == OrderAction::Load ? "load" : "unload"},
              {"fencing", std::to_string(order.fencing)}});
    EndpointCall call;
    call.id = RequestId("order/" + order.id.str());
    call.address = rule->address;
    call.method = "POST";
    call.target = "/engine/orders";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = formatOrder(order, remainingValidityMs(order, now));
    call.timeout = std::min(OrderTimeout, order.sendDeadline - now);
    call.idleTimeout = call.timeout;
    call.maxAnswerBytes = MaxCallAnswerBytes;
    m_client->call(std::move(call), std::make_shared<OrderCall>(*this, order.id));
}

} // namespace marigoldspool
