#ifndef MARIGOLDSPOOL_TESTS_SYSTEM_LOOPBACKPROXY_H
#define MARIGOLDSPOOL_TESTS_SYSTEM_LOOPBACKPROXY_H

#include <chrono>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace marigoldspool::system_tests {

/// Passes TCP connections on to one address and harms them on request.
class LoopbackProxy
{
public:
    enum class Fault {
        None,
        /// Bytes are passed on after a delay.
        Delay,
        /// Nothing is passed on in either direction; connections stay open.
        Silence,
        /// Bytes from the connecting side are held back.
        CutToTarget,
        /// Bytes to the connecting side are held back.
        CutFromTarget,
        /// New connections are closed at once.
        Refuse,
    };

    LoopbackProxy(boost::asio::io_context &io, std::string target);
    ~LoopbackProxy();

    std::string address() const;
    /// Also ends what the fault before did; bytes that were held back are then passed on.
    void setFault(Fault fault);
    void resetConnections();
    /// Limits the bytes of all connections together, in both directions; 0: no limit.
    void setRate(std::size_t bytesPerSecond) { m_rate = bytesPerSecond; }

private:
    struct Link;
    struct Direction;

    void accept();
    void read(const std::shared_ptr<Link> &link, Direction &direction);
    void write(const std::shared_ptr<Link> &link, Direction &direction);
    bool holdsBack(const Direction &direction) const;
    /// How long to hold \p n bytes back for the rate.
    std::chrono::steady_clock::duration takeTurn(std::size_t n);
    void close(const std::shared_ptr<Link> &link);

    boost::asio::io_context &m_io;
    std::string m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::shared_ptr<Link>> m_links;
    Fault m_fault = Fault::None;
    std::size_t m_rate = 0;
    /// When the bytes that were taken before have passed.
    std::chrono::steady_clock::time_point m_busyUntil;
};

} // namespace marigoldspool::system_tests

#endif
