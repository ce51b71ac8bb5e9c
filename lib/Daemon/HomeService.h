#ifndef MARIGOLDSPOOL_LIB_DAEMON_HOMESERVICE_H
#define MARIGOLDSPOOL_LIB_DAEMON_HOMESERVICE_H

#include "Daemon/AnswerSink.h"
#include "Daemon/ConfigService.h"
#include "Daemon/EndpointAttempt.h"
#include "Daemon/PeerService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Routing/Dispatcher.h"
#include "marigoldspool/Supervisor/Supervisor.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace marigoldspool {

/// Queues the requests whose home is this instance and sends them to endpoints; they come from
/// callers of this instance or are forwarded by peers.
class HomeService final : public Service, private PeerListener, private AttemptObserver
{
public:
    using DemandHandler = std::function<void(const ReportDemand &)>;
    using NotLoadedHandler = std::function<void(const ModelNotLoaded &)>;

    HomeService(Runtime &runtime, ConfigService &config, PeerService &peers, SlotSource &slots);

    std::string_view name() const override { return "routing"; }
    Expected<void> start() override;
    /// Waits for the requests that this instance is serving.
    void stop(std::function<void()> stopped) override;

    /// A planned stop has begun: refuses, now and from now on, what cannot be served before its
    /// end.
    void beginStop();
    /// Refuses the queued requests and those that callers of this instance wait for, since it stops
    /// now. Others at their endpoints end with the connection to the instance that received them,
    /// which sends those that may run twice to another home instance.
    void endOpenRequests();
    void submit(Request request, RequestContent content, std::shared_ptr<AnswerSink> answer);
    /// Stops the request of a caller that has disconnected; nothing more is sent to its answer
    /// sink.
    void cancel(const RequestId &id);
    void setDemandHandler(DemandHandler handler) { m_onDemand = std::move(handler); }
    void setNotLoadedHandler(NotLoadedHandler handler) { m_onNotLoaded = std::move(handler); }
    /// Tries to send queued requests to endpoint slots that have become free.
    void dispatchQueued() { apply(m_dispatcher.onTick()); }
    void apply(const DispatchActions &actions);
    Dispatcher &dispatcher() { return m_dispatcher; }
    EndpointClient &endpointClient() { return *m_client; }

private:
    struct ServedRequest {
        Request request;
        RequestContent content;
        std::shared_ptr<AnswerSink> answer;
        /// The instance that received the request from the caller; empty if it is this one.
        InstanceId receiver;
    };

    void onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                       const PeerMessage &message) override;
    void onPeerDown(const InstanceId &peer) override;
    void onAnswerHead(const RequestId &request, int status, gsl::span<const HeaderField> headers,
                      bool stream) override;
    void onAnswerData(const RequestId &request, std::string_view bytes) override;
    void onAttemptEnded(const RequestId &request, EndpointOutcome outcome) override;
    void onForwardRequest(const InstanceId &from, const ForwardRequest &forward);
    void send(const SendToEndpoint &action);
    void refuse(const RefuseRequest &action);
    void add(ServedRequest served);
    void stopWhenIdle();

    Runtime &m_runtime;
    ConfigService &m_config;
    PeerService &m_peers;
    Dispatcher m_dispatcher;
    std::unique_ptr<EndpointClient> m_client;
    std::unordered_map<RequestId, ServedRequest> m_served;
    DemandHandler m_onDemand;
    NotLoadedHandler m_onNotLoaded;
    PeriodicTimer m_timer;
    std::function<void()> m_stopped;
};

} // namespace marigoldspool

#endif
