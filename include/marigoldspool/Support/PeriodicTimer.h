#ifndef MARIGOLDSPOOL_SUPPORT_PERIODICTIMER_H
#define MARIGOLDSPOOL_SUPPORT_PERIODICTIMER_H

#include "marigoldspool/Support/Clock.h"

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldspool {

/// Calls a function periodically; the interval starts at the end of each call.
class PeriodicTimer
{
public:
    explicit PeriodicTimer(boost::asio::io_context &io)
        : m_timer(io)
    { }

    void start(Duration interval, std::function<void()> task)
    {
        m_interval = interval;
        m_task = std::move(task);
        m_running = true;
        schedule();
    }

    void stop()
    {
        m_running = false;
        m_timer.cancel();
    }

private:
    void schedule()
    {
        m_timer.expires_after(m_interval);
        // The handler of a timer that has expired is called also if the timer is destroyed before.
        m_timer.async_wait(
            [this, alive = std::weak_ptr<int>(m_alive)](boost::system::error_code ec) {
                if (ec || alive.expired() || !m_running) {
                    return;
                }
                m_task();
                if (!alive.expired() && m_running) {
                    schedule();
                }
            });
    }

    boost::asio::steady_timer m_timer;
    Duration m_interval{};
    std::function<void()> m_task;
    bool m_running = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace marigoldspool

#endif
