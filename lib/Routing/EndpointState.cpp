#include "marigoldspool/Routing/EndpointState.h"

#include <algorithm>
#include <cassert>

namespace marigoldspool {

namespace {

constexpr Duration InitialFailureBackoff = std::chrono::milliseconds(200);
constexpr Duration MaxFailureBackoff = std::chrono::seconds(10);
// Long enough for a slot to become free, short enough not to leave the endpoint idle.
constexpr Duration RefusalBackoff = std::chrono::milliseconds(50);
constexpr int MaxCountedFailures = 6;

} // namespace

SlowStart::SlowStart(int freshSlots, int slots)
    : m_freshSlots(freshSlots)
    , m_maxSlots(slots)
    , m_currentSlots(std::min(freshSlots, slots))
{
    assert(freshSlots > 0 && slots > 0 && "an endpoint has at least one slot");
}

void SlowStart::onStatus(std::string_view incarnation, std::uint64_t completed)
{
    if (incarnation != m_incarnation || completed < m_lastCompleted) {
        // On the first report, the requests that the endpoint has already completed count as
        // successes, so that a newly started instance computes the same slots as the others.
        const bool firstReport = m_incarnation.empty();
        m_incarnation = incarnation;
        m_lastCompleted = 0;
        if (!firstReport) {
            reset();
        }
    }
    const std::uint64_t successes = completed - m_lastCompleted;
    m_lastCompleted = completed;
    grow(successes);
}

void SlowStart::onAnswered()
{
    grow(1);
}

void SlowStart::onFailure()
{
    reset();
}

void SlowStart::grow(std::uint64_t successes)
{
    m_successesSinceGrowth += successes;
    while (m_currentSlots < m_maxSlots
           && m_successesSinceGrowth >= static_cast<std::uint64_t>(m_currentSlots)) {
        m_successesSinceGrowth -= static_cast<std::uint64_t>(m_currentSlots);
        m_currentSlots = std::min(2 * m_currentSlots, m_maxSlots);
    }
}

void SlowStart::reset()
{
    m_currentSlots = std::min(m_freshSlots, m_maxSlots);
    m_successesSinceGrowth = 0;
}

EndpointBehaviour::EndpointBehaviour(const EndpointRule &rule)
    : m_slowStart(rule.freshSlots, rule.slots)
{ }

void EndpointBehaviour::onSent()
{
    ++m_inFlightCount;
}

void EndpointBehaviour::onAnswered()
{
    m_consecutiveFailures = 0;
    onReleased();
}

void EndpointBehaviour::onFailure(SteadyTime now)
{
    m_consecutiveFailures = std::min(m_consecutiveFailures + 1, MaxCountedFailures);
    const Duration backoff = InitialFailureBackoff * (1 << (m_consecutiveFailures - 1));
    m_unavailableUntil = now + std::min(backoff, MaxFailureBackoff);
    m_slowStart.onFailure();
    onReleased();
}

void EndpointBehaviour::onRefused(SteadyTime now)
{
    m_unavailableUntil = std::max(m_unavailableUntil, now + RefusalBackoff);
    onReleased();
}

void EndpointBehaviour::onReleased()
{
    assert(m_inFlightCount > 0 && "onReleased() without a matching onSent()");
    --m_inFlightCount;
}

double EndpointBehaviour::requestsPerSlot() const
{
    return static_cast<double>(m_inFlightCount) / m_slowStart.slots();
}

} // namespace marigoldspool
