#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_DELAYPROXY_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_DELAYPROXY_H

#include "Net.h"

#include <mutex>

namespace marigoldspool::review {

/// Passes connections on to one address. What one machine sends with its orders takes longer, as
/// if its packets had been lost and sent again.
class DelayProxy
{
public:
    DelayProxy(const Address &address, const Address &target);

    /// Delays the orders of \p holder; of nobody if it is empty.
    void delay(const std::string &holder, Milliseconds time);

private:
    void serve(Connection &connection);
    Milliseconds delayFor(const std::string &bytes);

    Address m_target;
    std::mutex m_mutex;
    std::string m_holder;
    Milliseconds m_delay{0};
    std::unique_ptr<Server> m_server;
};

} // namespace marigoldspool::review

#endif
