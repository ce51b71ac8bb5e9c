#include "System/LoopbackProxy.h"

#include <algorithm>
#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace marigoldspool::system_tests {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds FaultDelay{120};

tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.find(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

/// What flows from one socket of a link to the other.
struct LoopbackProxy::Direction {
    Direction(tcp::socket &source, tcp::socket &sink, bool leadsToTarget,
              boost::asio::io_context &io)
        : from(source)
        , to(sink)
        , toTarget(leadsToTarget)
        , delay(io)
    { }

    tcp::socket &from;
    tcp::socket &to;
    bool toTarget;
    boost::asio::steady_timer delay;
    std::array<char, 16'384> buf{};
    std::size_t held = 0;
};

struct LoopbackProxy::Link {
    explicit Link(boost::asio::io_context &io)
        : client(io)
        , target(io)
        , up(client, target, true, io)
        , down(target, client, false, io)
    { }

    tcp::socket client;
    tcp::socket target;
    Direction up;
    Direction down;
};

LoopbackProxy::LoopbackProxy(boost::asio::io_context &io, std::string target)
    : m_io(io)
    , m_target(std::move(target))
    , m_acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    accept();
}

LoopbackProxy::~LoopbackProxy() = default;

std::string LoopbackProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void LoopbackProxy::accept()
{
    auto link = std::make_shared<Link>(m_io);
    m_acceptor.async_accept(link->client, [this, link](const boost::system::error_code &ec) {
        if (ec) {
            return;
        }
        if (m_fault == Fault::Refuse) {
            close(link);
        } else {
            m_links.push_back(link);
            link->target.async_connect(parseEndpoint(m_target),
                                       [this, link](const boost::system::error_code &failure) {
                                           if (failure) {
                                               close(link);
                                               return;
                                           }
                                           read(link, link->up);
                                           read(link, link->down);
                                       });
        }
        accept();
    });
}

void LoopbackProxy::read(const std::shared_ptr<Link> &link, Direction &direction)
{
    direction.from.async_read_some(
        boost::asio::buffer(direction.buf),
        [this, link, &direction](const boost::system::error_code &ec, std::size_t n) {
            if (ec) {
                close(link);
                return;
            }
            direction.held = n;
            const bool isLimited = m_rate > 0;
            if (m_fault != Fault::Delay && !isLimited) {
                write(link, direction);
                return;
            }
            direction.delay.expires_after(isLimited ? takeTurn(n) : FaultDelay);
            direction.delay.async_wait([this, link, &direction](const auto &) {
                write(link, direction);
            });
        });
}

std::chrono::steady_clock::duration LoopbackProxy::takeTurn(std::size_t n)
{
    const auto now = std::chrono::steady_clock::now();
    m_busyUntil = std::max(m_busyUntil, now)
        + std::chrono::microseconds(n * std::chrono::microseconds(std::chrono::seconds(1)).count()
                                    / m_rate);
    return m_busyUntil - now;
}

bool LoopbackProxy::holdsBack(const Direction &direction) const
{
    return m_fault == Fault::Silence || (m_fault == Fault::CutToTarget && direction.toTarget)
        || (m_fault == Fault::CutFromTarget && !direction.toTarget);
}

void LoopbackProxy::write(const std::shared_ptr<Link> &link, Direction &direction)
{
    if (holdsBack(direction) || direction.held == 0) {
        return;
    }
    const std::size_t n = std::exchange(direction.held, 0);
    boost::asio::async_write(
        direction.to, boost::asio::buffer(direction.buf.data(), n),
        [this, link, &direction](const boost::system::error_code &ec, std::size_t) {
            ec ? close(link) : read(link, direction);
        });
}

void LoopbackProxy::setFault(Fault fault)
{
    m_fault = fault;
    const std::list<std::shared_ptr<Link>> links = m_links;
    for (const std::shared_ptr<Link> &link : links) {
        write(link, link->up);
        write(link, link->down);
    }
}

void LoopbackProxy::resetConnections()
{
    const std::list<std::shared_ptr<Link>> links = m_links;
    for (const std::shared_ptr<Link> &link : links) {
        boost::system::error_code ignored;
        link->client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        link->target.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close(link);
    }
}

void LoopbackProxy::close(const std::shared_ptr<Link> &link)
{
    // Either side may be closed already.
    boost::system::error_code ignored;
    link->client.close(ignored);
    link->target.close(ignored);
    m_links.remove(link);
}

} // namespace marigoldspool::system_tests
