#include "marigoldspool/Serving/OwnerLease.h"

#include <algorithm>

namespace marigoldspool {

namespace {

constexpr Duration FailureRetryDelay = std::chrono::milliseconds(200);

} // namespace

OwnerLease::OwnerLease(InstanceId self, const Clock &clock, LeaseTimes times)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_times(times)
    , m_startedAt(clock.now())
    , m_nextCallAt(clock.now())
{ }

bool OwnerLease::canAcquire(SteadyTime now) const
{
    if (!m_current || m_isReleasing) {
        return false;
    }
    if (m_current->holder == m_self && m_current->version != 0 && !m_current->released) {
        return true;
    }
    if (m_current->version == 0) {
        return now >= m_startedAt + m_times.acquireDelay;
    }
    if (m_current->released) {
        return now >= m_firstSeenAt + m_times.acquireDelay;
    }
    return now >= m_firstSeenAt + m_times.validity + m_times.safetyMargin + m_times.acquireDelay;
}

LeaseStep OwnerLease::nextStep()
{
    const SteadyTime now = m_clock.now();
    if (m_isCallPending || now < m_nextCallAt) {
        return LeaseStep::Nothing;
    }
    if (m_isHeld && now >= m_validUntil) {
        // Another instance may have acquired the lease, so read the store again.
        m_isHeld = false;
        m_mustRead = true;
    }
    if (m_isReleasing && !m_isHeld) {
        return LeaseStep::Nothing;
    }
    m_isCallPending = true;
    m_sentAt = now;
    if (!m_mustRead && (m_isHeld || canAcquire(now))) {
        return LeaseStep::Write;
    }
    return LeaseStep::Read;
}

LeaseRecord OwnerLease::nextRecord() const
{
    LeaseRecord record = *m_current;
    if (!m_isHeld) {
        ++record.term;
    }
    record.holder = m_self;
    ++record.renewal;
    record.released = m_isReleasing;
    record.recentlyOrdered.clear();
    if (m_isReleasing) {
        const SteadyTime now = m_clock.now();
        for (const auto &[endpoint, at] : m_lastOrderAt) {
            if (now - at < m_times.handoverGap + m_times.safetyMargin) {
                record.recentlyOrdered.insert(endpoint);
            }
        }
    }
    return record;
}

void OwnerLease::onRead(const LeaseRecord &record)
{
    m_isCallPending = false;
    m_mustRead = false;
    const SteadyTime now = m_clock.now();
    // Reads may be stale; ignore a record older than the one seen before.
    if (!m_current || record.version > m_current->version) {
        rememberHolder(record.holder);
        m_current = record;
        m_firstSeenAt = now;
    }
    m_nextCallAt = canAcquire(now) ? now : now + m_times.readInterval;
}

// When the lease goes from another instance to \p next, orders have to wait for that instance's
// last ones. The write that takes the lease may be known only from reading it back, as its answer
// may be lost.
void OwnerLease::rememberHolder(const InstanceId &next)
{
    if (!m_current || m_current->version == 0 || m_current->holder == m_self
        || m_current->holder == next) {
        return;
    }
    if (m_current->released) {
        // After a planned release only the endpoints with recent orders have to wait.
        m_delayedEndpoints = m_current->recentlyOrdered;
        m_delayedUntil = m_firstSeenAt + m_times.handoverGap + m_times.safetyMargin;
        return;
    }
    m_ordersAllowedFrom =
        std::max(m_ordersAllowedFrom,
                 m_firstSeenAt + m_times.validity + m_times.handoverGap + m_times.safetyMargin);
}

// A renewal is sent before it is announced, so measuring from now is as safe as after a read.
void OwnerLease::onAnnounced(const LeaseRecord &record)
{
    const bool isNewer = !m_current || record.version > m_current->version;
    if (m_isCallPending || m_isHeld || m_isReleasing || record.version == 0 || !isNewer) {
        return;
    }
    const SteadyTime now = m_clock.now();
    rememberHolder(record.holder);
    m_current = record;
    m_firstSeenAt = now;
    m_mustRead = false;
    m_nextCallAt = canAcquire(now) ? now : now + m_times.announcementLifetime;
}

void OwnerLease::onFailure()
{
    m_isCallPending = false;
    m_mustRead = true;
    m_nextCallAt = m_clock.now() + FailureRetryDelay;
}

void OwnerLease::onConflict()
{
    m_isCallPending = false;
    m_isHeld = false;
    m_mustRead = true;
    m_nextCallAt = m_clock.now() + FailureRetryDelay;
}

void OwnerLease::onWritten(const LeaseRecord &record)
{
    m_isCallPending = false;
    if (!m_isHeld) {
        rememberHolder(record.holder);
        m_ordersAllowedFrom = std::max(m_ordersAllowedFrom, m_sentAt);
        m_lastOrderAt.clear();
    }
    m_current = record;
    m_firstSeenAt = m_clock.now();
    m_isHeld = !record.released;
    m_validUntil = m_sentAt + m_times.validity;
    m_nextCallAt = m_firstSeenAt + m_times.renewInterval;
}

void OwnerLease::release()
{
    m_isReleasing = true;
    m_nextCallAt = m_clock.now();
}

bool OwnerLease::canOrder() const
{
    const SteadyTime now = m_clock.now();
    return m_isHeld && !m_isReleasing && now >= m_ordersAllowedFrom && now < m_validUntil;
}

bool OwnerLease::canOrder(const EndpointId &endpoint) const
{
    return canOrder()
        && (m_clock.now() >= m_delayedUntil || m_delayedEndpoints.count(endpoint) == 0);
}

void OwnerLease::onOrder(const EndpointId &endpoint)
{
    m_lastOrderAt[endpoint] = m_clock.now();
}

InstanceId OwnerLease::holder() const
{
    return m_current && !m_current->released ? m_current->holder : InstanceId();
}

} // namespace marigoldspool
