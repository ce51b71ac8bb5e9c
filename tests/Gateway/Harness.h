#ifndef MARIGOLDSPOOL_TESTS_GATEWAY_HARNESS_H
#define MARIGOLDSPOOL_TESTS_GATEWAY_HARNESS_H

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Support/Metrics.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace marigoldspool {

/// Runs the event loop on the thread of the test, so that nothing runs at the same time as it.
class TestLoop
{
public:
    boost::asio::io_context &io() { return m_io; }

    /// Returns false when \p done does not become true before a generous timeout.
    bool runUntil(const std::function<bool()> &done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!done()) {
            if (std::chrono::steady_clock::now() > limit) {
                return false;
            }
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    /// Runs pending work, to check that something does not happen.
    void settle()
    {
        for (int i = 0; i < 20; ++i) {
            m_io.restart();
            m_io.run_for(std::chrono::milliseconds(1));
        }
    }

private:
    boost::asio::io_context m_io;
};

/// A plain socket that sends and receives exact bytes.
class RawSocket
{
public:
    explicit RawSocket(int fd)
        : m_fd(fd)
    { }
    RawSocket(RawSocket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
        , m_received(std::move(other.m_received))
        , m_closed(other.m_closed)
        , m_reset(other.m_reset)
    { }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;
    ~RawSocket() { close(); }

    static RawSocket connectTo(std::uint16_t port, int receiveBuffer = 0)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(fd >= 0);
        if (receiveBuffer > 0) {
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int result = ::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        REQUIRE(result == 0);
        return RawSocket(fd);
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }

    /// Takes what has arrived and returns all that has been received so far.
    const std::string &received()
    {
        char buf[16384];
        while (!m_closed) {
            const ssize_t n = ::recv(m_fd, buf, sizeof(buf), MSG_DONTWAIT);
            if (n > 0) {
                m_received.append(buf, static_cast<std::size_t>(n));
                continue;
            }
            if (n < 0 && errno == EAGAIN) {
                break;
            }
            m_closed = true;
            m_reset = n < 0;
        }
        return m_received;
    }

    bool hasReceived(std::string_view text) { return received().find(text) != std::string::npos; }

    bool isClosed()
    {
        received();
        return m_closed;
    }

    /// Closed by a reset instead of cleanly.
    bool isReset()
    {
        received();
        return m_reset;
    }

    void clearReceived() { m_received.clear(); }

    void closeSending() { ::shutdown(m_fd, SHUT_WR); }

    /// Closes the connection with a reset.
    void reset()
    {
        const linger option{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

private:
    int m_fd;
    std::string m_received;
    bool m_closed = false;
    bool m_reset = false;
};

/// An endpoint whose answers the test writes byte for byte.
class RawListener
{
public:
    RawListener()
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_fd, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(m_fd, 64) == 0);
        REQUIRE(::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
    }
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;
    ~RawListener() { close(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// Accepts connections that wait, and returns how many have come so far.
    std::size_t connections()
    {
        for (int fd = accept(); fd >= 0; fd = accept()) {
            m_accepted.push_back(std::make_unique<RawSocket>(fd));
        }
        return m_accepted.size();
    }

    RawSocket &connection(std::size_t index) { return *m_accepted.at(index); }

    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

private:
    int accept() const { return m_fd >= 0 ? ::accept(m_fd, nullptr, nullptr) : -1; }

    int m_fd;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<RawSocket>> m_accepted;
};

} // namespace marigoldspool

#endif
