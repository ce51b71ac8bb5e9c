#include "marigoldspool/Routing/EndpointState.h"

#include <algorithm>
#include <cassert>

namespace marigoldspool {

namespace {

constexpr Duration FirstFailurePause = std::chrono::milliseconds(200);
constexpr Duration LongestFailurePause = std::chrono::seconds(10);
// Long enough for a slot to come free, short enough not to leave the endpoint without work.
constexpr Duration RefusalPause = std::chrono::milliseconds(50);
constexpr int MostDoublings = 6;

} // namespace

SlowStart::SlowStart(int freshSlots, int slots)
    : m_freshSlots(freshSlots)
    , m_maxSlots(slots)
    , m_current(std::min(freshSlots, slots))
{
    assert(freshSlots > 0 && slots > 0 && "an endpoint takes at least one request");
}

void SlowStart::onStatus(std::string_view incarnation, std::uint64_t completed)
{
    if (incarnation != m_incarnation || completed < m_lastCompleted) {
        // An instance that sees this endpoint for the first time credits what it has completed.
        const bool firstReport = m_incarnation.empty();
        m_incarnation = incarnation;
        m_lastCompleted = 0;
        if (!firstReport) {
            restart();
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
    restart();
}

void SlowStart::grow(std::uint64_t successes)
{
    m_sinceGrowth += successes;
    while (m_current < m_maxSlots && m_sinceGrowth >= static_cast<std::uint64_t>(m_current)) {
        m_sinceGrowth -= static_cast<std::uint64_t>(m_current);
        m_current = std::min(2 * m_current, m_maxSlots);
    }
}

void SlowStart::restart()
{
    m_current = std::min(m_freshSlots, m_maxSlots);
    m_sinceGrowth = 0;
}

EndpointBehaviour::EndpointBehaviour(const EndpointRule &rule)
    : m_slowStart(rule.freshSlots, rule.slots)
{ }

void EndpointBehaviour::onSent()
{
    ++m_inFlight;
}

void EndpointBehaviour::onAnswered()
{
    m_failuresInRow = 0;
    onReleased();
}

void EndpointBehaviour::onFailure(SteadyTime now)
{
    m_failuresInRow = std::min(m_failuresInRow + 1, MostDoublings);
    const Duration pause = FirstFailurePause * (1 << (m_failuresInRow - 1));
    m_avoidUntil = now + std::min(pause, LongestFailurePause);
    m_slowStart.onFailure();
    onReleased();
}

void EndpointBehaviour::onRefused(SteadyTime now)
{
    m_avoidUntil = std::max(m_avoidUntil, now + RefusalPause);
    onReleased();
}

void EndpointBehaviour::onReleased()
{
    assert(m_inFlight > 0 && "only a request that was sent ends");
    --m_inFlight;
}

double EndpointBehaviour::requestsPerSlot() const
{
    return static_cast<double>(m_inFlight) / m_slowStart.slots();
}

} // namespace marigoldspool
