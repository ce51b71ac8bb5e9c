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

// A restored store may show any earlier state of the lease: this instance or another one as the
// holder, a release, or no lease. Only a record that was written in the present era shows that its
// writer has waited for a holder that the copy lacks, and that nobody has taken the lease since.
bool OwnerLease::isProven() const
{
    return m_current && m_current->version != 0 && m_current->era == eraOf(m_eraStart);
}

bool OwnerLease::canAcquire(SteadyTime now) const
{
    if (!m_current || m_isReleasing) {
        return false;
    }
    if (isProven() && m_current->holder == m_self && !m_current->released) {
        return true;
    }
    if (isProven() && m_current->released) {
        return now >= m_firstSeenAt + m_times.acquireDelay;
    }
    if (!isProven() && now < m_unknownHolderUntil) {
        return false;
    }
    if (m_current->version == 0) {
        return now >= m_startedAt + m_times.acquireDelay;
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
    m_sentEraStart = m_eraStart;
    if (m_mustRead || (!m_isHeld && !canAcquire(now))) {
        return LeaseStep::Read;
    }
    if (!m_isHeld) {
        inheritDelays(now);
    }
    return LeaseStep::Write;
}

LeaseRecord OwnerLease::nextRecord() const
{
    LeaseRecord record = *m_current;
    record.term = std::max(record.term, m_maxTerm);
    if (!m_isHeld) {
        record.term = std::max(record.term, eraOf(m_eraStart) * TermsPerEra) + 1;
    }
    record.holder = m_self;
    record.era = eraOf(m_eraStart);
    ++record.renewal;
    record.released = m_isReleasing;
    const SteadyTime now = m_clock.now();
    record.orderDelay = std::max(m_ordersAllowedFrom - now, Duration::zero());
    record.subjectDelays.clear();
    for (const auto &[subject, until] : m_delayedUntil) {
        if (until > now) {
            record.subjectDelays.emplace(subject, until - now);
        }
    }
    record.recentlyOrdered.clear();
    if (m_isReleasing) {
        record.orderDelay = std::max(record.orderDelay, m_earlierOrdersUntil - now);
        for (const auto &[subject, at] : m_lastOrderAt) {
            if (now - at < m_times.handoverGap + m_times.safetyMargin) {
                record.recentlyOrdered.insert(subject);
            }
        }
    }
    return record;
}

// The answer to a call that was sent in an earlier era may show either era's state.
void OwnerLease::restartCall(SteadyTime now)
{
    m_isCallPending = false;
    m_mustRead = true;
    m_nextCallAt = now;
}

void OwnerLease::onRead(const LeaseRecord &record)
{
    const SteadyTime now = m_clock.now();
    if (m_sentEraStart != m_eraStart) {
        restartCall(now);
        return;
    }
    m_isCallPending = false;
    m_mustRead = false;
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
    m_current = record;
    m_maxTerm = std::max(m_maxTerm, record.term);
    m_firstSeenAt = now;
}

// The record lists what its writer had to wait for itself, so after two hand-overs within the gap
// the orders of the first holder are known, too. The write that takes the lease may be known only
// from reading it back, as its answer may be lost; the record then lists this instance's own
// delays.
void OwnerLease::inheritDelays(SteadyTime now)
{
    const LeaseRecord &before = *m_current;
    const Duration gap = m_times.handoverGap + m_times.safetyMargin;
    for (auto it = m_delayedUntil.begin(); it != m_delayedUntil.end();) {
        it = it->second <= now ? m_delayedUntil.erase(it) : std::next(it);
    }
    for (auto it = m_lastOrderAt.begin(); it != m_lastOrderAt.end();) {
        it = it->second + gap <= now ? m_lastOrderAt.erase(it) : std::next(it);
    }
    for (auto it = m_ownOrdersUntil.begin(); it != m_ownOrdersUntil.end();) {
        it = it->second <= now ? m_ownOrdersUntil.erase(it) : std::next(it);
    }
    const auto delay = [this](const OrderSubject &subject, SteadyTime until) {
        SteadyTime &current = m_delayedUntil[subject];
        current = std::max(current, until);
    };
    // No sound record has a longer delay.
    const Duration maxDelay = m_times.validity + gap;
    m_ordersAllowedFrom =
        std::max(m_ordersAllowedFrom, m_firstSeenAt + std::min(before.orderDelay, maxDelay));
    for (const auto &[subject, time] : before.subjectDelays) {
        delay(subject, m_firstSeenAt + std::min(time, maxDelay));
    }
    if (!isProven()) {
        m_ordersAllowedFrom =
            std::max(m_ordersAllowedFrom, m_unknownHolderUntil + m_times.handoverGap);
    }
    if (before.version == 0) {
        return;
    }
    const bool isOwn = isProven() && before.holder == m_self;
    if (isOwn && !before.released) {
        m_earlierOrdersUntil = m_firstSeenAt + gap;
    } else if (isProven() && before.released) {
        // After a planned release only the subjects of recent orders have to wait.
        for (const OrderSubject &subject : before.recentlyOrdered) {
            if (isOwn) {
                m_lastOrderAt.emplace(subject, m_firstSeenAt);
                m_ownOrdersUntil[subject] = m_firstSeenAt + gap;
            } else {
                delay(subject, m_firstSeenAt + gap);
            }
        }
    } else {
        m_ordersAllowedFrom = std::max(m_ordersAllowedFrom, m_firstSeenAt + m_times.validity + gap);
    }
}

// An instance that has just started learns the era like a restore: it cannot know whether the
// store was restored before. A holder keeps the lease until the end of its last renewal.
void OwnerLease::onEra(std::uint64_t eraStart)
{
    if (eraStart <= m_eraStart) {
        return;
    }
    m_eraStart = eraStart;
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
    onEra(storePosition(eraOf(record.version), 0));
    const bool isNewer = !m_current || record.version > m_current->version;
    if (m_isCallPending || m_isHeld || m_isReleasing || record.version == 0 || !isNewer) {
        return;
    }
    const SteadyTime now = m_clock.now();
    m_current = record;
    m_current->era = eraOf(record.version);
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
    const SteadyTime now = m_clock.now();
    if (eraOf(record.version) != record.era) {
        // The store was restored before the write, so the record read before it proves nothing.
        onEra(storePosition(eraOf(record.version), 0));
        restartCall(now);
        return;
    }
    m_isCallPending = false;
    if (!m_isHeld) {
        m_ordersAllowedFrom = std::max(m_ordersAllowedFrom, m_sentAt);
    }
    m_current = record;
    m_maxTerm = std::max(m_maxTerm, record.term);
    m_firstSeenAt = now;
    m_isHeld = !record.released;
    m_validUntil = m_sentAt + m_times.validity;
    // Meanwhile another answer may have shown a later era, or a planned stop may have begun.
    m_nextCallAt = m_mustRead || m_isReleasing ? now : now + m_times.renewInterval;
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

bool OwnerLease::canOrder(const OrderSubject &subject) const
{
    const auto delayed = m_delayedUntil.find(subject);
    return canOrder() && (delayed == m_delayedUntil.end() || m_clock.now() >= delayed->second);
}

bool OwnerLease::mayOrderArrive(const OrderSubject &subject) const
{
    const SteadyTime now = m_clock.now();
    const auto own = m_ownOrdersUntil.find(subject);
    return now < m_earlierOrdersUntil || (own != m_ownOrdersUntil.end() && now < own->second);
}

Duration OwnerLease::orderDelay() const
{
    return std::max(m_ordersAllowedFrom - m_clock.now(), Duration::zero());
}

void OwnerLease::onOrder(const OrderSubject &subject)
{
    m_lastOrderAt[subject] = m_clock.now();
}

InstanceId OwnerLease::holder() const
{
    return m_current && !m_current->released ? m_current->holder : InstanceId();
}

} // namespace marigoldspool
