#ifndef MARIGOLDSPOOL_ROUTING_ENDPOINTSTATE_H
#define MARIGOLDSPOOL_ROUTING_ENDPOINTSTATE_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Support/Clock.h"

#include <cstdint>
#include <string>

namespace marigoldspool {

/// Limits the concurrent requests of an endpoint: starts at a low limit, raises it as requests
/// succeed, and resets it after a restart of the endpoint or a failure.
class SlowStart
{
public:
    SlowStart(int freshSlots, int slots);

    /// Applies an endpoint's status report; \p completed counts requests since its start. All
    /// instances see the same reports, so they compute the same number of slots.
    void onStatus(std::string_view incarnation, std::uint64_t completed);
    /// Counts a complete answer; needed for endpoints that report no status.
    void onAnswered();
    void onFailure();
    int slots() const { return m_currentSlots; }

private:
    void grow(std::uint64_t successes);
    void reset();

    int m_freshSlots;
    int m_maxSlots;
    int m_currentSlots;
    std::uint64_t m_successesSinceGrowth = 0;
    std::string m_incarnation;
    std::uint64_t m_lastCompleted = 0;
};

/// Tracks requests in flight, failures and backoff of one endpoint as seen by this instance.
class EndpointBehaviour
{
public:
    explicit EndpointBehaviour(const EndpointRule &rule);

    SlowStart &slowStart() { return m_slowStart; }
    const SlowStart &slowStart() const { return m_slowStart; }
    void onSent();
    void onAnswered();
    /// Makes the endpoint unavailable for a time that grows with each consecutive failure.
    void onFailure(SteadyTime now);
    /// The endpoint refused without running the request; not a failure, but the endpoint is
    /// unavailable for a short time.
    void onRefused(SteadyTime now);
    void onReleased();
    bool isAvailable(SteadyTime now) const { return now >= m_unavailableUntil; }
    int inFlightCount() const { return m_inFlightCount; }
    /// Requests in flight per slot; the endpoint with the lowest value is selected first.
    double requestsPerSlot() const;

private:
    SlowStart m_slowStart;
    int m_inFlightCount = 0;
    int m_consecutiveFailures = 0;
    SteadyTime m_unavailableUntil;
};

} // namespace marigoldspool

#endif
