#ifndef MARIGOLDSPOOL_LIB_FLEET_REPLICAORDERSENDER_H
#define MARIGOLDSPOOL_LIB_FLEET_REPLICAORDERSENDER_H

#include "Fleet/DutyCalls.h"
#include "marigoldspool/Serving/ReplicaCountPlanner.h"

#include <functional>
#include <map>

namespace marigoldspool {

/// Sends the newest order of each zone through DutyCalls until the platform accepts it.
class ReplicaOrderSender
{
public:
    using Encoder = std::function<EndpointCall(const ReplicaOrder &order, std::uint64_t token)>;
    using AcceptedHandler = std::function<void(const ReplicaOrder &order)>;

    /// \p calls must outlive the sender, and the sender all answers to its calls.
    ReplicaOrderSender(DutyCalls &calls, Encoder encode, AcceptedHandler accepted);

    /// Replaces an earlier order of the same zone.
    void add(const ReplicaOrder &order);
    /// Sends what may be sent now; orders without an accepting answer remain.
    void send();
    /// Drops all orders and ignores the answers that are still to come.
    void clear();
    /// Drops the orders for the endpoints of \p pool.
    void drop(const PoolName &pool);

private:
    void onAnswer(const OrderSubject &subject, const ReplicaOrder &sent, std::uint64_t generation,
                  const Expected<int> &status);

    DutyCalls &m_calls;
    Encoder m_encode;
    AcceptedHandler m_accepted;
    std::map<OrderSubject, ReplicaOrder> m_orders;
    /// Tells answers to calls before clear() from later ones.
    std::uint64_t m_generation = 0;
};

} // namespace marigoldspool

#endif
