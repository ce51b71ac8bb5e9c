#ifndef MARIGOLDSPOOL_ROUTING_ENDPOINTSTATE_H
#define MARIGOLDSPOOL_ROUTING_ENDPOINTSTATE_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Support/Clock.h"

#include <cstdint>
#include <string>

namespace marigoldspool {

/// How many requests an endpoint takes at once: few when it is freshly started or cold, more as it
/// proves itself, few again after failures.
class SlowStart
{
public:
    SlowStart(int freshSlots, int slots);

    /// What the endpoint reports of itself; \p completed counts since its start. All instances see
    /// the same report, so they arrive at the same number of slots.
    void onStatus(std::string_view incarnation, std::uint64_t completed);
    /// A request answered in whole, for endpoints that report no status.
    void onAnswered();
    void onFailure();
    int slots() const { return m_current; }

private:
    void grow(std::uint64_t successes);
    void restart();

    int m_freshSlots;
    int m_maxSlots;
    int m_current;
    std::uint64_t m_sinceGrowth = 0;
    std::string m_incarnation;
    std::uint64_t m_lastCompleted = 0;
};

/// What one instance knows of one endpoint's behaviour.
class EndpointBehaviour
{
public:
    explicit EndpointBehaviour(const EndpointRule &rule);

    SlowStart &slowStart() { return m_slowStart; }
    const SlowStart &slowStart() const { return m_slowStart; }
    void onSent();
    void onAnswered();
    /// The endpoint gets no request for a time that grows with each failure in a row.
    void onFailure(SteadyTime now);
    /// The endpoint refused before running; no failure, but it is given a little time.
    void onRefused(SteadyTime now);
    void onReleased();
    bool isAvailable(SteadyTime now) const { return now >= m_avoidUntil; }
    int inFlightCount() const { return m_inFlight; }
    /// Requests in flight for each slot; the lowest is chosen first.
    double requestsPerSlot() const;

private:
    SlowStart m_slowStart;
    int m_inFlight = 0;
    int m_failuresInRow = 0;
    SteadyTime m_avoidUntil;
};

} // namespace marigoldspool

#endif
