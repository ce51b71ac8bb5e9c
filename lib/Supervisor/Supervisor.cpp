#include "marigoldspool/Supervisor/Supervisor.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

namespace marigoldspool {

Service::~Service() = default;

void Service::setFailureHandler(FailureHandler handler)
{
    m_failureHandler = std::move(handler);
}

void Service::fail(Error error)
{
    if (m_failureHandler) {
        m_failureHandler(std::move(error));
    }
}

struct SupervisorNode::Child {
    explicit Child(boost::asio::io_context &io)
        : restartTimer(io)
    { }

    std::unique_ptr<Service> service;
    boost::asio::steady_timer restartTimer;
    std::deque<SteadyTime> failures;
    bool running = false;
    /// A failure is being handled; further reports until the restart are ignored.
    bool failing = false;
};

SupervisorNode::SupervisorNode(std::string name, boost::asio::io_context &io, const Clock &clock,
                               RestartPolicy policy)
    : m_name(std::move(name))
    , m_io(io)
    , m_clock(clock)
    , m_policy(policy)
{ }

SupervisorNode::~SupervisorNode()
{
    // Destroyed in reverse order, as children may refer to those added before them.
    while (!m_children.empty()) {
        m_children.pop_back();
    }
}

void SupervisorNode::add(std::unique_ptr<Service> child)
{
    auto entry = std::make_unique<Child>(m_io);
    entry->service = std::move(child);
    Child *childPtr = entry.get();
    // Posted so that a child is never stopped from within its own call to fail().
    entry->service->setFailureHandler([this, childPtr](Error error) {
        boost::asio::post(m_io, [this, childPtr, error = std::move(error)] {
            onChildFailed(*childPtr, error);
        });
    });
    m_children.push_back(std::move(entry));
}

Expected<void> SupervisorNode::start()
{
    m_stopping = false;
    for (std::size_t i = 0; i < m_children.size(); ++i) {
        Child &child = *m_children[i];
        Expected<void> started = child.service->start();
        if (!started) {
            logEvent(LogLevel::Error, "service_start_failed",
                     {{"service", std::string(child.service->name())},
                      {"error", describeError(started.error())}});
            m_stopping = true;
            stopNext(i, [] {});
            return started;
        }
        child.running = true;
        logEvent(LogLevel::Info, "service_started",
                 {{"service", std::string(child.service->name())}});
    }
    return {};
}

void SupervisorNode::onChildFailed(Child &child, Error error)
{
    if (m_stopping || child.failing || !child.running) {
        return;
    }
    const SteadyTime now = m_clock.now();
    child.failing = true;
    child.failures.push_back(now);
    while (now - child.failures.front() > m_policy.window) {
        child.failures.pop_front();
    }
    logEvent(LogLevel::Error, "service_failed",
             {{"service", std::string(child.service->name())}, {"error", describeError(error)}});
    if (child.failures.size() > m_policy.maxFailures) {
        fail(std::move(error));
        return;
    }
    child.service->stop([this, &child] {
        child.running = false;
        const std::size_t priorFailures = child.failures.size() - 1;
        const Duration delay =
            std::min(m_policy.firstDelay * (std::int64_t{1} << priorFailures), m_policy.maxDelay);
        child.restartTimer.expires_after(delay);
        child.restartTimer.async_wait([this, &child](boost::system::error_code ec) {
            if (!ec && !m_stopping) {
                restart(child);
            }
        });
    });
}

void SupervisorNode::restart(Child &child)
{
    const Expected<void> started = child.service->start();
    child.running = true;
    child.failing = false;
    if (!started) {
        onChildFailed(child, started.error());
        return;
    }
    logEvent(LogLevel::Info, "service_restarted",
             {{"service", std::string(child.service->name())}});
}

void SupervisorNode::stop(std::function<void()> stopped)
{
    m_stopping = true;
    stopNext(m_children.size(), std::move(stopped));
}

void SupervisorNode::stopNext(std::size_t remaining, std::function<void()> stopped)
{
    if (remaining == 0) {
        boost::asio::post(m_io, std::move(stopped));
        return;
    }
    Child &child = *m_children[remaining - 1];
    child.restartTimer.cancel();
    if (!child.running) {
        stopNext(remaining - 1, std::move(stopped));
        return;
    }
    child.service->stop([this, &child, remaining, stopped = std::move(stopped)]() mutable {
        child.running = false;
        logEvent(LogLevel::Info, "service_stopped",
                 {{"service", std::string(child.service->name())}});
        stopNext(remaining - 1, std::move(stopped));
    });
}

} // namespace marigoldspool
