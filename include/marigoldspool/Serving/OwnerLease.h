#ifndef MARIGOLDSPOOL_SERVING_OWNERLEASE_H
#define MARIGOLDSPOOL_SERVING_OWNERLEASE_H

#include "marigoldspool/Serving/OrderSubject.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace marigoldspool {

/// The lease object in the store that names the placement owner.
struct LeaseRecord {
    InstanceId holder;
    /// Higher for each new holder, also after the store was restored; the fencing token of its
    /// orders.
    std::uint64_t term = 0;
    /// The holder has given up the lease and sends no more orders.
    bool released = false;
    /// Incremented at each renewal.
    std::uint64_t renewal = 0;
    /// Set at a release: subjects of the orders within the last handover gap.
    std::set<OrderSubject> recentlyOrdered;
    /// How long after this record was written the next holder must not send orders, because
    /// orders of earlier holders may still arrive.
    Duration orderDelay = Duration::zero();
    /// The same for single subjects.
    std::map<OrderSubject, Duration> subjectDelays;
    /// The era of the store that the writer knew.
    std::uint64_t era = 0;
    /// The store's version of the object; 0 if it does not exist.
    std::uint64_t version = 0;
};

struct LeaseTimes {
    /// Minimum time between the last order of one holder and the first of the next.
    Duration handoverGap = std::chrono::milliseconds(3000);
    /// How long the holder may send orders after it sent a renewal.
    Duration validity = std::chrono::milliseconds(3000);
    Duration renewInterval = std::chrono::milliseconds(900);
    Duration readInterval = std::chrono::milliseconds(1000);
    /// How long an announcement by the holder replaces reading the lease; one is sent each second.
    Duration announcementLifetime = std::chrono::milliseconds(1600);
    /// Delay before this instance takes a free lease. Set on small machines, so that a larger one
    /// becomes the owner, which communicates with all instances.
    Duration acquireDelay = Duration::zero();
    /// Allows for clock drift and for orders in transit.
    Duration safetyMargin = std::chrono::milliseconds(400);
};

enum class LeaseStep {
    Nothing,
    Read,
    /// Write nextRecord(), conditional on the version that it contains.
    Write,
};

/// Decides when this instance reads, acquires, renews and uses the placement lease.
///
/// Clocks are never compared between instances: a successor measures from when it first saw a
/// renewal, which is never before the holder sent it. \p clock must include the time during which
/// the machine is suspended; otherwise a resumed holder would take its expired lease for valid.
class OwnerLease
{
public:
    OwnerLease(InstanceId self, const Clock &clock, LeaseTimes times);

    LeaseStep nextStep();
    /// The record to write, after nextStep() returned Write.
    LeaseRecord nextRecord() const;
    void onRead(const LeaseRecord &record);
    /// The holder has announced its lease as acknowledged by the store.
    void onAnnounced(const LeaseRecord &record);
    /// The read or write failed. A failed write may have taken effect.
    void onFailure();
    void onWritten(const LeaseRecord &record);
    /// The write failed because the version had changed.
    void onConflict();
    /// The store is in an era whose versions begin at \p eraStart, and may have been restored from
    /// an older copy. Records written in earlier eras may lack a holder that still sends orders.
    void onEra(std::uint64_t eraStart);
    /// Releases the lease with the next write and never acquires it again.
    void release();

    bool isHolder() const { return m_current && m_isHeld; }
    /// The record as last read, written or announced.
    const std::optional<LeaseRecord> &current() const { return m_current; }
    /// Whether an order on \p subject may be sent now.
    bool canOrder(const OrderSubject &subject) const;
    /// Whether an order on \p subject by an earlier process of this instance may still arrive.
    /// Its receiver must then tell the order from later ones.
    bool mayOrderArrive(const OrderSubject &subject) const;
    /// Whether orders may be sent now, apart from limits on single subjects.
    bool canOrder() const;
    /// Records that an order has been sent.
    void onOrder(const OrderSubject &subject);
    std::uint64_t term() const { return m_current ? m_current->term : 0; }
    /// The last known holder; empty after a release.
    InstanceId holder() const;
    /// Whether release() was called and the lease is not held any more.
    bool isReleased() const { return m_isReleasing && !m_isHeld; }
    /// Whether the current record was written in the store's present era, so that the store has
    /// all later ones.
    bool isProven() const;
    /// Time until orders may be sent, if the lease is held; zero if they may be sent now.
    Duration orderDelay() const;

private:
    bool canAcquire(SteadyTime now) const;
    void adopt(const LeaseRecord &record, SteadyTime now);
    /// Delays orders until those of the current record's holder and of earlier ones have arrived.
    void inheritDelays(SteadyTime now);
    void restartCall(SteadyTime now);

    InstanceId m_self;
    const Clock &m_clock;
    LeaseTimes m_times;
    std::optional<LeaseRecord> m_current;
    /// The highest term seen; a copy of the store may have a lower one.
    std::uint64_t m_maxTerm = 0;
    std::uint64_t m_eraStart = 0;
    /// \c m_eraStart when the pending call was sent.
    std::uint64_t m_sentEraStart = 0;
    /// When the lease of a holder that a copy of the store does not show has ended at the latest.
    SteadyTime m_unknownHolderUntil;
    /// When the current record was first seen.
    SteadyTime m_firstSeenAt;
    SteadyTime m_startedAt;
    SteadyTime m_nextCallAt;
    /// When the pending call was sent; the validity of a renewal starts here.
    SteadyTime m_sentAt;
    SteadyTime m_validUntil;
    SteadyTime m_ordersAllowedFrom;
    /// Subjects of orders of earlier holders, and until when there are no orders on them.
    std::map<OrderSubject, SteadyTime> m_delayedUntil;
    std::map<OrderSubject, SteadyTime> m_lastOrderAt;
    /// Until when orders that an earlier process of this instance sent before its planned stop may
    /// arrive.
    std::map<OrderSubject, SteadyTime> m_ownOrdersUntil;
    /// Until when a successor has to wait for orders of an earlier process of this instance.
    SteadyTime m_earlierOrdersUntil;
    bool m_isCallPending = false;
    bool m_isHeld = false;
    bool m_isReleasing = false;
    bool m_mustRead = true;
};

} // namespace marigoldspool

#endif
