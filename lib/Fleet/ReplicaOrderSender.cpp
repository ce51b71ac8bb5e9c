#include "Fleet/ReplicaOrderSender.h"

#include <utility>

namespace marigoldspool {

ReplicaOrderSender::ReplicaOrderSender(DutyCalls &calls, Encoder encode, AcceptedHandler accepted)
    : m_calls(calls)
    , m_encode(std::move(encode))
    , m_accepted(std::move(accepted))
{ }

void ReplicaOrderSender::add(const ReplicaOrder &order)
{
    m_orders[replicaCountSubject(order.pool, order.zone)] = order;
}

void ReplicaOrderSender::send()
{
    for (const auto &[subject, order] : m_orders) {
        // Also false while a call on the subject is open or its back-off lasts.
        if (!m_calls.canCall(subject)) {
            continue;
        }
        m_calls.call(subject, m_encode(order, m_calls.token()),
                     [this, subject = subject, sent = order,
                      generation = m_generation](const Expected<int> &status) {
                         onAnswer(subject, sent, generation, status);
                     });
    }
}

void ReplicaOrderSender::clear()
{
    m_orders.clear();
    ++m_generation;
}

void ReplicaOrderSender::drop(const PoolName &pool)
{
    for (auto it = m_orders.begin(); it != m_orders.end();) {
        it = it->second.pool == pool ? m_orders.erase(it) : std::next(it);
    }
}

// A call without an answer may have taken effect. Sending the number again changes nothing then,
// and a newer number takes its place.
void ReplicaOrderSender::onAnswer(const OrderSubject &subject, const ReplicaOrder &sent,
                                  std::uint64_t generation, const Expected<int> &status)
{
    const bool isAccepted = status && *status >= 200 && *status < 300;
    const auto found = m_orders.find(subject);
    if (!isAccepted || generation != m_generation || found == m_orders.end()) {
        return;
    }
    if (found->second.desired == sent.desired) {
        m_orders.erase(found);
        m_accepted(sent);
    }
}

} // namespace marigoldspool
