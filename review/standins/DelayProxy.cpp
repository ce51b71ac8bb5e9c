#include "DelayProxy.h"

namespace marigoldspool::review {

namespace {

constexpr std::chrono::hours SessionLimit(1);

} // namespace

DelayProxy::DelayProxy(const Address &address, const Address &target)
    : m_target(target)
    , m_server(std::make_unique<Server>(address, [this](Connection &connection) {
        serve(connection);
    }))
{ }

void DelayProxy::delay(const std::string &holder, Milliseconds time)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_holder = holder;
    m_delay = time;
}

Milliseconds DelayProxy::delayFor(const std::string &bytes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool isDelayed =
        !m_holder.empty() && bytes.find("\"holder\":\"" + m_holder + '"') != std::string::npos;
    return isDelayed ? m_delay : Milliseconds(0);
}

void DelayProxy::serve(Connection &connection)
{
    const auto target = Connection::open(m_target, Steady::now() + std::chrono::seconds(2));
    if (!target) {
        return;
    }
    std::thread answers([&connection, &target] {
        for (;;) {
            const std::string bytes = target->readSome(Steady::now() + SessionLimit);
            if (bytes.empty() || !connection.write(bytes)) {
                break;
            }
        }
        connection.reset();
    });
    for (;;) {
        const std::string bytes = connection.readSome(Steady::now() + SessionLimit);
        if (bytes.empty()) {
            break;
        }
        std::this_thread::sleep_for(delayFor(bytes));
        // Bytes that are held up are lost if their sender resets the connection.
        if (connection.hasEnded() || !target->write(bytes)) {
            break;
        }
    }
    target->reset();
    answers.join();
}

} // namespace marigoldspool::review
