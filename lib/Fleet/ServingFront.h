#ifndef MARIGOLDSPOOL_LIB_FLEET_SERVINGFRONT_H
#define MARIGOLDSPOOL_LIB_FLEET_SERVINGFRONT_H

#include "Fleet/AdmissionQueue.h"
#include "Fleet/CrashCheck.h"
#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Serving/DemandAggregator.h"
#include "marigoldspool/Serving/LoadForecastView.h"
#include "marigoldspool/Serving/WaitPolicy.h"

#include <functional>
#include <list>
#include <memory>
#include <unordered_set>

namespace marigoldspool {

class Exchange;

/// Requests of callers by state.
struct RequestCounts {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    /// Of the open ones: waiting for an endpoint, at an endpoint without an answer, and being
    /// answered.
    std::size_t waiting = 0;
    std::size_t unanswered = 0;
    std::size_t answering = 0;
};

/// Accepts callers' requests and keeps the queue of those that wait for an endpoint.
class ServingFront
{
public:
    explicit ServingFront(FleetRuntime &runtime);
    ~ServingFront();

    Expected<void> start();
    void onTick();
    /// Moves requests away from endpoints that send no data; to be called a few times a second.
    void checkSilence();
    /// Schedules another attempt to dispatch waiting requests, after a change that may allow it.
    void scheduleDispatch();
    void onPlacement(const PlacementUpdate &update);
    void onForecasts(const LoadForecasts &forecasts);
    /// Discards the owner's placement and forecasts, since the owner is unreachable.
    void clearPlacement();
    void setOwnerReachable(bool reachable) { m_ownerReachable = reachable; }
    DemandReport takeDemand();
    /// Ends open requests whose prompts have come under quarantine.
    void onQuarantine();
    /// Whether a request waits for a load that has not been reported to the owner.
    bool hasNewDemand() const { return m_hasNewDemand; }

    void closeAfterAnswers() { m_server->closeAfterAnswers(); }
    void stopAccepting() { m_server->stopAccepting(); }
    /// Answers all open requests, since the instance stops now.
    void endOpenRequests();
    std::size_t openRequests() const { return m_server->openRequests(); }
    RequestCounts requestCounts() const;

private:
    friend class Exchange;
    void onStarted();
    void onFinished(const std::shared_ptr<Exchange> &exchange);
    void onRequest(HttpRequest request, std::shared_ptr<ResponseSink> sink);
    std::vector<std::shared_ptr<Exchange>> openExchanges() const;
    void addWaiting(const std::shared_ptr<Exchange> &exchange);
    void removeWaiting(const Exchange &exchange);
    /// How long the endpoints that \p choice has found limited take for the waiting requests that
    /// are served before \p exchange.
    Duration timeForEarlierRequests(const Exchange &exchange, const EndpointChoice &choice) const;

    FleetRuntime &m_runtime;
    std::unique_ptr<HttpServer> m_server;
    std::unordered_set<std::shared_ptr<Exchange>> m_openExchanges;
    std::uint64_t m_startedCount = 0;
    std::uint64_t m_finishedCount = 0;
    /// Ordered by priority, then by arrival. Those of contended pools are served in the order of
    /// m_admission.
    std::list<std::shared_ptr<Exchange>> m_waiting;
    AdmissionQueue m_admission;
    DemandTracker m_demand;
    std::shared_ptr<CrashCheck> m_crashCheck;
    LoadForecastView m_forecasts;
    bool m_ownerReachable = false;
    bool m_hasNewDemand = false;
    bool m_dispatching = false;
    bool m_dispatchScheduled = false;
};

} // namespace marigoldspool

#endif
