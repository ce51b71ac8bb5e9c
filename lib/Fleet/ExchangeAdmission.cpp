// How a request waits and is refused in a contended pool.
#include "Fleet/ExchangeAttempt.h"

#include <algorithm>

namespace marigoldspool {

bool Exchange::usesAdmissionOrder() const
{
    return m_pool != nullptr && isEngineRequest() && m_runtime.directory.loads().isFresh()
        && m_runtime.directory.isContended(*m_pool);
}

bool Exchange::isWaitingForSlot() const
{
    return m_waiting && m_waitReason == ChoiceKind::Busy && m_limitedEndpoint.empty();
}

QueuedRequest Exchange::queuedRequest() const
{
    const ResponseTimeModel &times = m_runtime.directory.responseTimes();
    QueuedRequest request;
    request.priority = m_priority;
    request.arrival = m_arrival;
    request.dueAt = dueAt();
    request.patienceEndsAt = m_callerDeadline;
    request.slotSeconds =
        times.expectedSlotSeconds(m_pool->name, m_request.promptTokens, m_request.outputTokens);
    request.firstByteAfter = times.expectedFirstByte(m_pool->name, m_request.promptTokens);
    return request;
}

// Returns whether the request has been refused.
bool Exchange::refuseWithoutSlot(const EndpointChoice &choice, std::optional<Duration> loadedIn)
{
    if (!choice.isForecast || !usesAdmissionOrder()) {
        return false;
    }
    const AdmissionEntry entry =
        m_front.m_admission.entryFor(*this, choice, loadedIn, m_front.m_waiting);
    if (entry.isServable) {
        return false;
    }
    const Duration retryAfter =
        spreadRetryAfter(entry.startsIn, timeLeft(), m_runtime.random.uniform());
    m_front.m_admission.onRefused(*this, entry, retryAfter);
    refuse(RefusalReason::QueueFull, ranState(), retryAfter,
           "more urgent requests take all capacity in the caller's time");
    return true;
}

Duration Exchange::spreadRetry(Duration retryAfter)
{
    return usesAdmissionOrder() && retryAfter > Duration::zero()
        ? spreadRetryAfter(retryAfter, timeLeft(), m_runtime.random.uniform())
        : retryAfter;
}

} // namespace marigoldspool
