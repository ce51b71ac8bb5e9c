#include "marigoldspool/Serving/OwnerLease.h"

#include <algorithm>

namespace marigoldspool {

namespace {

constexpr Duration FailurePause = std::chrono::milliseconds(200);

} // namespace

OwnerLease::OwnerLease(InstanceId self, const Clock &clock, LeaseTimes times)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_times(times)
    , m_startedAt(clock.now())
    , m_nextCall(clock.now())
{ }

bool OwnerLease::canTake(SteadyTime now) const
{
    if (!m_current || m_releasing) {
        return false;
    }
    if (m_current->holder == m_self && m_current->version != 0 && !m_current->released) {
        return true;
    }
    if (m_current->version == 0) {
        return now >= m_startedAt + m_times.acquireDelay;
    }
    if (m_current->released) {
        return now >= m_seenAt + m_times.acquireDelay;
    }
    return now >= m_seenAt + m_times.validity + m_times.safetyMargin + m_times.acquireDelay;
}

LeaseStep OwnerLease::nextStep()
{
    const SteadyTime now = m_clock.now();
    if (m_calling || now < m_nextCall) {
        return LeaseStep::Nothing;
    }
    if (m_held && now >= m_validUntil) {
        // Another instance may have acquired the lease, so read the store again.
        m_held = false;
        m_mustRead = true;
    }
    if (m_releasing && !m_held) {
        return LeaseStep::Nothing;
    }
    m_calling = true;
    m_sentAt = now;
    if (!m_mustRead && (m_held || canTake(now))) {
        return LeaseStep::Write;
    }
    return LeaseStep::Read;
}

LeaseRecord OwnerLease::nextRecord() const
{
    LeaseRecord record = *m_current;
    if (!m_held) {
        ++record.term;
    }
    record.holder = m_self;
    ++record.renewal;
    record.released = m_releasing;
    record.recentlyOrdered.clear();
    if (m_releasing) {
        const SteadyTime now = m_clock.now();
        for (const auto &[endpoint, at] : m_orders) {
            if (now - at < m_times.handoverGap + m_times.safetyMargin) {
                record.recentlyOrdered.insert(endpoint);
            }
        }
    }
    return record;
}

void OwnerLease::onRead(const LeaseRecord &record)
{
    m_calling = false;
    m_mustRead = false;
    const SteadyTime now = m_clock.now();
    // Reads may be stale; ignore a record older than the one seen before.
    if (!m_current || record.version > m_current->version) {
        m_current = record;
        m_seenAt = now;
    }
    m_nextCall = canTake(now) ? now : now + m_times.readEvery;
}

// A renewal is sent before it is announced, so measuring from now is as safe as after a read.
void OwnerLease::onAnnounced(const LeaseRecord &record)
{
    const bool isNews = !m_current || record.version > m_current->version;
    if (m_calling || m_held || m_releasing || record.version == 0 || !isNews) {
        return;
    }
    const SteadyTime now = m_clock.now();
    m_current = record;
    m_seenAt = now;
    m_mustRead = false;
    m_nextCall = canTake(now) ? now : now + m_times.announcementLifetime;
}

void OwnerLease::onFailure()
{
    m_calling = false;
    m_mustRead = true;
    m_nextCall = m_clock.now() + FailurePause;
}

void OwnerLease::onConflict()
{
    m_calling = false;
    m_held = false;
    m_mustRead = true;
    m_nextCall = m_clock.now() + FailurePause;
}

void OwnerLease::onWritten(const LeaseRecord &record)
{
    m_calling = false;
    if (!m_held) {
        const bool wasOther = m_current->version != 0 && m_current->holder != m_self;
        m_orderFrom = m_sentAt;
        m_orders.clear();
        m_orderedBefore.clear();
        if (wasOther && m_current->released) {
            // After a planned release only the endpoints with recent orders have to wait.
            m_orderedBefore = m_current->recentlyOrdered;
            m_orderedBeforeUntil = m_seenAt + m_times.handoverGap + m_times.safetyMargin;
        } else if (wasOther) {
            m_orderFrom = std::max(
                m_sentAt, m_seenAt + m_times.validity + m_times.handoverGap + m_times.safetyMargin);
        }
    }
    m_current = record;
    m_seenAt = m_clock.now();
    m_held = !record.released;
    m_validUntil = m_sentAt + m_times.validity;
    m_nextCall = m_seenAt + m_times.renewEvery;
}

void OwnerLease::release()
{
    m_releasing = true;
    m_nextCall = m_clock.now();
}

bool OwnerLease::canOrder() const
{
    const SteadyTime now = m_clock.now();
    return m_held && !m_releasing && now >= m_orderFrom && now < m_validUntil;
}

bool OwnerLease::canOrder(const EndpointId &endpoint) const
{
    return canOrder()
        && (m_clock.now() >= m_orderedBeforeUntil || m_orderedBefore.count(endpoint) == 0);
}

void OwnerLease::onOrder(const EndpointId &endpoint)
{
    m_orders[endpoint] = m_clock.now();
}

InstanceId OwnerLease::holder() const
{
    return m_current && !m_current->released ? m_current->holder : InstanceId();
}

} // namespace marigoldspool
