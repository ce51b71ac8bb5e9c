#ifndef MARIGOLDSPOOL_SERVING_OWNERLEASE_H
#define MARIGOLDSPOOL_SERVING_OWNERLEASE_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace marigoldspool {

/// The object in the store that names the placement owner.
struct LeaseRecord {
    InstanceId holder;
    /// Rises with each new holder; the fencing number of its orders.
    std::uint64_t term = 0;
    /// The holder has stopped and orders nothing any more.
    bool released = false;
    /// Rises with each renewal.
    std::uint64_t renewal = 0;
    /// At a release: the endpoints that the holder ordered something within the last turn gap.
    std::set<EndpointId> recentlyOrdered;
    /// The store's version of the object; 0: it does not exist.
    std::uint64_t version = 0;
};

struct LeaseTimes {
    /// Two holders may not order within this time of each other.
    Duration turnGap = std::chrono::milliseconds(3000);
    /// How long a renewal lets its holder order, from when it was sent.
    Duration valid = std::chrono::milliseconds(3000);
    Duration renewEvery = std::chrono::milliseconds(900);
    Duration readEvery = std::chrono::milliseconds(1000);
    /// How long what the holder tells of its lease spares reading it: the holder tells each second.
    Duration toldFor = std::chrono::milliseconds(1600);
    /// How much later than others this instance takes a lease that nobody holds; weak machines
    /// leave it to strong ones, since the owner talks to all instances.
    Duration takeDelay = Duration::zero();
    /// For differences between clocks and for orders on their way.
    Duration margin = std::chrono::milliseconds(400);
};

enum class LeaseStep {
    Nothing,
    Read,
    /// Writes the record of nextRecord() over the version that it names.
    Write,
};

/// Decides when this instance reads, takes, renews and uses the placement lease.
///
/// No clock is compared between instances: a taker counts from when it first saw a renewal, which
/// is never before the holder sent it. \p clock must count the time during which the machine is
/// suspended, or a holder that wakes up would believe that its lease is still valid.
class OwnerLease
{
public:
    OwnerLease(InstanceId self, const Clock &clock, LeaseTimes times);

    LeaseStep nextStep();
    /// The record to write, after nextStep() returned Write.
    LeaseRecord nextRecord() const;
    void onRead(const LeaseRecord &record);
    /// The holder itself has told of its lease, as the store acknowledged it.
    void onTold(const LeaseRecord &record);
    /// The read or write failed; for a write, whether it took effect is unknown.
    void onFailure();
    void onWritten(const LeaseRecord &record);
    /// Another write came first.
    void onConflict();
    /// Gives the lease back with the next write and does not take it again.
    void release();

    bool isHolder() const { return m_current && m_held; }
    /// The record as it was last read, written or told of.
    const std::optional<LeaseRecord> &current() const { return m_current; }
    /// Whether an order to \p endpoint may be sent at this moment.
    bool mayOrder(const EndpointId &endpoint) const;
    /// Whether orders may be sent at all.
    bool mayOrder() const;
    /// An order has been sent.
    void onOrder(const EndpointId &endpoint);
    std::uint64_t term() const { return m_current ? m_current->term : 0; }
    /// The holder as far as known; empty after a release.
    InstanceId holder() const;
    /// A release has been written, or there is nothing to release.
    bool isReleased() const { return m_releasing && !m_held; }

private:
    bool canTake(SteadyTime now) const;

    InstanceId m_self;
    const Clock &m_clock;
    LeaseTimes m_times;
    std::optional<LeaseRecord> m_current;
    /// When the current record was first seen.
    SteadyTime m_seenAt;
    SteadyTime m_startedAt;
    SteadyTime m_nextCall;
    /// When the call under way was sent; its answer counts from here.
    SteadyTime m_sentAt;
    SteadyTime m_validUntil;
    SteadyTime m_orderFrom;
    /// Until when the orders of the holder before keep this instance from ordering.
    std::set<EndpointId> m_orderedBefore;
    SteadyTime m_orderedBeforeUntil;
    std::map<EndpointId, SteadyTime> m_orders;
    bool m_calling = false;
    bool m_held = false;
    bool m_releasing = false;
    bool m_mustRead = true;
};

} // namespace marigoldspool

#endif
