#ifndef MARIGOLDSPOOL_LIB_DAEMON_FRONTSERVICE_H
#define MARIGOLDSPOOL_LIB_DAEMON_FRONTSERVICE_H

#include "Daemon/AnswerSink.h"
#include "Daemon/ConfigService.h"
#include "Daemon/HomeService.h"
#include "Daemon/IdempotencyClaims.h"
#include "Daemon/LimitsService.h"
#include "Daemon/PeerService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Routing/ForwardTable.h"
#include "marigoldspool/Supervisor/Supervisor.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace marigoldspool {

/// Receives callers' requests: checks key and route, charges the workspace's limit, and sends each
/// request to its home instance, which holds the queue of the target and may be this one.
class FrontService final : public Service, private PeerListener
{
public:
    FrontService(Runtime &runtime, ConfigService &config, PeerService &peers, LimitsService &limits,
                 HomeService &home);

    std::string_view name() const override { return "front"; }
    Expected<void> start() override;
    /// Waits for the requests that callers sent to this instance.
    void stop(std::function<void()> stopped) override;

    void handle(HttpRequest http, std::shared_ptr<ResponseSink> sink);
    /// Refuses all open requests, since the instance stops now.
    void endOpenRequests();
    std::size_t openRequests() const { return m_requests.size(); }

private:
    class CallerAnswerSink;
    struct ReceivedRequest {
        Request request;
        RequestContent content;
        std::shared_ptr<CallerAnswerSink> answer;
        std::optional<IdempotencyClaim> claim;
        std::string idempotencyKey;
        /// Tokens deducted from the workspace's limit.
        double chargedTokens = 0;
        /// Estimated from the size of the prompt.
        double promptTokens = 0;
        int routeAttempts = 0;
        ZoneName homeZone;
        /// Zones that could not serve the request.
        std::set<ZoneName> refusedZones;
        std::optional<Refusal> firstRefusal;
        SteadyTime receivedAt;
    };

    void onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                       const PeerMessage &message) override;
    void onPeerDown(const InstanceId &peer) override;
    void onForwardHead(const InstanceId &from, const ForwardHead &head);
    void onForwardData(const InstanceId &from, const ForwardData &data);
    void onForwardRefusal(const InstanceId &from, const ForwardRefusal &refusal);
    std::optional<Refusal> checkRequest(const HttpRequest &http, ReceivedRequest &received) const;
    void admit(const RequestId &id);
    void claimIdempotencyKey(const RequestId &id);
    void routeRequest(const RequestId &id);
    bool forward(ReceivedRequest &received, const InstanceId &home);
    bool tryOtherZone(const RequestId &id, const Refusal &refusal);
    void refuse(const RequestId &id, const Refusal &refusal);
    void onCallerGone(const RequestId &id);
    void onFinished(const RequestId &id, std::optional<Refusal> refusal);
    void onTick();

    Runtime &m_runtime;
    ConfigService &m_config;
    PeerService &m_peers;
    LimitsService &m_limits;
    HomeService &m_home;
    IdempotencyClaims m_claims;
    ForwardTable m_forwards;
    std::unordered_map<RequestId, ReceivedRequest> m_requests;
    PeriodicTimer m_timer;
    std::function<void()> m_stopped;
    /// Set at the end of a planned stop: nothing waits for the requests that come after it.
    bool m_closed = false;
};

} // namespace marigoldspool

#endif
