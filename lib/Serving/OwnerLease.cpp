#include "marigoldspool/Serving/OwnerLease.h"

#include "marigoldspool/Platform/StorePosition.h"

#include <algorithm>

namespace marigoldspool {

namespace {

constexpr Duration FailureRetryDelay = std::chrono::milliseconds(200);
// The terms of each era of the store start above those of the eras before, so that an instance that
// knows only a copy does not use a term again.
constexpr std::uint64_t TermsPerEra = 1'000'000;

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
    if (!m_current || m_isReleasing || now < m_unknownHolderUntil) {
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
    record.term = std::max(record.term, m_maxTerm);
    if (!m_isHeld) {
        record.term = std::max(record.term, eraOf(m_eraStart) * TermsPerEra) + 1;
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
    // Reads may be stale; ignore a record older than the one seen before. Without an object the
    // version is 0, which is news if the known version is from before a restore.
    const bool isMissing = record.version == 0 && m_current && m_current->version < m_eraStart;
    const bool isOfEra = record.version == 0 || record.version >= m_eraStart;
    if (!m_current || isMissing || (isOfEra && record.version > m_current->version)) {
        adopt(record, now);
    }
    m_nextCallAt = m_isHeld || canAcquire(now) ? now : now + m_times.readInterval;
}

void OwnerLease::adopt(const LeaseRecord &record, SteadyTime now)
{
    const bool isOlderCopy = m_isHeld && record.term <= m_maxTerm;
    if (isOlderCopy) {
        // This instance has held the lease since the copy was taken, and renews it.
        m_current->version = record.version;
        return;
    }
    m_isHeld = false;
    rememberHolder(record.holder);
    m_current = record;
    m_maxTerm = std::max(m_maxTerm, record.term);
    m_firstSeenAt = now;
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

void OwnerLease::onStoreRestored(std::uint64_t eraStart)
{
    if (eraStart <= m_eraStart) {
        return;
    }
    m_eraStart = eraStart;
    if (!m_current) {
        return;
    }
    m_mustRead = true;
    m_nextCallAt = std::min(m_nextCallAt, m_clock.now());
    m_unknownHolderUntil = m_clock.now() + m_times.validity + m_times.safetyMargin;
}

// A renewal is sent before it is announced, so measuring from now is as safe as after a read.
void OwnerLease::onAnnounced(const LeaseRecord &record)
{
    if (record.version != 0 && record.version < m_eraStart) {
        // The sender does not know yet that the store was restored, and may still send orders.
        m_unknownHolderUntil = m_clock.now() + m_times.validity + m_times.safetyMargin;
        return;
    }
    const bool isNewer = !m_current || record.version > m_current->version;
    if (m_isCallPending || m_isHeld || m_isReleasing || record.version == 0 || !isNewer) {
        return;
    }
    const SteadyTime now = m_clock.now();
    rememberHolder(record.holder);
    m_current = record;
    m_maxTerm = std::max(m_maxTerm, record.term);
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
        if (m_unknownHolderUntil != SteadyTime()) {
            m_ordersAllowedFrom =
                std::max(m_ordersAllowedFrom, m_unknownHolderUntil + m_times.handoverGap);
        }
    }
    m_current = record;
    m_maxTerm = std::max(m_maxTerm, record.term);
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
