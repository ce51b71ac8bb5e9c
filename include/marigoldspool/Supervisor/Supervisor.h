#ifndef MARIGOLDSPOOL_SUPERVISOR_SUPERVISOR_H
#define MARIGOLDSPOOL_SUPERVISOR_SUPERVISOR_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldspool {

/// A part of the process that can be started and stopped.
class Service
{
public:
    /// Called by a running service that cannot continue; the supervisor stops and restarts it.
    using FailureHandler = std::function<void(Error)>;

    virtual ~Service();
    virtual std::string_view name() const = 0;
    virtual Expected<void> start() = 0;
    /// Stops gracefully, then calls \p stopped once; may take as long as open requests do.
    virtual void stop(std::function<void()> stopped) = 0;
    virtual void setFailureHandler(FailureHandler handler);

protected:
    /// Reports a failure to the supervisor, if there is one.
    void fail(Error error);

private:
    FailureHandler m_failureHandler;
};

struct RestartPolicy {
    Duration firstDelay = std::chrono::milliseconds(100);
    Duration maxDelay = std::chrono::seconds(10);
    /// More failures than this within \c window are escalated to the parent.
    std::size_t maxFailures = 5;
    Duration window = std::chrono::minutes(1);
};

/// Starts its children in order, restarts a failed child with exponential backoff, and stops them
/// in reverse order. A node is itself a service, so nodes form a tree.
class SupervisorNode final : public Service
{
public:
    SupervisorNode(std::string name, boost::asio::io_context &io, const Clock &clock,
                   RestartPolicy policy = {});
    ~SupervisorNode() override;

    /// Must be called before start().
    void add(std::unique_ptr<Service> child);
    std::string_view name() const override { return m_name; }
    /// Fails with the first child's error, after stopping the children that had started.
    Expected<void> start() override;
    void stop(std::function<void()> stopped) override;

private:
    struct Child;

    void onChildFailed(Child &child, Error error);
    void restart(Child &child);
    void stopNext(std::size_t remaining, std::function<void()> stopped);

    std::string m_name;
    boost::asio::io_context &m_io;
    const Clock &m_clock;
    RestartPolicy m_policy;
    std::vector<std::unique_ptr<Child>> m_children;
    bool m_stopping = false;
};

} // namespace marigoldspool

#endif
