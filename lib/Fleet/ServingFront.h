#ifndef MARIGOLDSPOOL_LIB_FLEET_SERVINGFRONT_H
#define MARIGOLDSPOOL_LIB_FLEET_SERVINGFRONT_H

#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Serving/DemandAggregator.h"
#include "marigoldspool/Serving/WaitPolicy.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_set>

namespace marigoldspool {

class Exchange;

/// Takes callers' requests, decides where each goes or waits, and sees it to its answer.
class ServingFront
{
public:
    explicit ServingFront(FleetRuntime &runtime);
    ~ServingFront();

    Expected<void> start();
    void onTick();
    /// Looks for endpoints that have fallen silent; to be called a few times a second.
    void checkSilence();
    /// Something changed that waiting requests may have waited for.
    void poke();
    void onPlacement(const PlacementUpdate &update);
    void onForecasts(const LoadForecasts &forecasts);
    /// The owner is out of reach: what it said no longer counts.
    void forgetPlacement();
    void setOwnerReachable(bool reachable) { m_ownerReachable = reachable; }
    DemandReport takeDemand();
    /// Something waits that the owner has not been told of.
    bool hasNewDemand() const { return m_newDemand; }

    void closeAfterAnswers() { m_server->closeAfterAnswers(); }
    void stopAccepting() { m_server->stopAccepting(); }
    std::size_t openRequests() const { return m_server->openRequests(); }

private:
    friend class Exchange;
    void take(HttpRequest request, std::shared_ptr<ResponseSink> sink);
    void addWaiting(const std::shared_ptr<Exchange> &exchange);
    void removeWaiting(const Exchange &exchange);
    /// When a model, or an adapter of it, is expected, as the placement owner said.
    std::optional<Duration> forecast(const std::pair<ModelName, std::string> &wanted) const;

    FleetRuntime &m_runtime;
    std::unique_ptr<HttpServer> m_server;
    std::unordered_set<std::shared_ptr<Exchange>> m_open;
    /// In the order in which they are served: by priority, then by arrival.
    std::list<std::shared_ptr<Exchange>> m_waiting;
    DemandTracker m_demand;
    std::map<std::pair<ModelName, std::string>, SteadyTime> m_forecasts;
    bool m_ownerReachable = false;
    bool m_newDemand = false;
    bool m_poking = false;
    bool m_pokePosted = false;
};

} // namespace marigoldspool

#endif
