#ifndef MARIGOLDSPOOL_TESTS_SUPPORT_FREEPORTS_H
#define MARIGOLDSPOOL_TESTS_SUPPORT_FREEPORTS_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace marigoldspool {

/// Hands out free ports of 127.0.0.1 and keeps them from all other holders, also those of other
/// processes, until it is destroyed. Ports lie below the range of outgoing connections, since a
/// port of that range can be taken by any connection while the program under test is stopped. Not
/// thread-safe.
class FreePorts
{
public:
    /// \p start is where the search begins, modulo the number of ports.
    explicit FreePorts(std::size_t start = defaultStart())
        : m_next(start)
    { }
    ~FreePorts()
    {
        for (const int lock : m_locks) {
            ::close(lock);
        }
    }
    FreePorts(const FreePorts &) = delete;
    FreePorts &operator=(const FreePorts &) = delete;

    /// Returns a port that is free at each of \p offsets from it and reserves all of these. Throws
    /// std::runtime_error when there is none.
    std::uint16_t take(std::initializer_list<int> offsets = {0})
    {
        const int end = std::min(EndPort, outgoingPortsBegin());
        const int begin = std::min(FirstPort, end / 2);
        for (int tries = begin; tries < end; ++tries) {
            const int port = begin + static_cast<int>(m_next++ % (end - begin));
            if (port + std::max(offsets) < end && reserve(port, offsets)) {
                return static_cast<std::uint16_t>(port);
            }
        }
        throw std::runtime_error("no free port from " + std::to_string(begin) + " to "
                                 + std::to_string(end - 1));
    }

    /// Whether a server could listen on the port.
    static bool isFree(int port)
    {
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // As the servers do; without it a port with closed connections counts as taken.
        const int on = 1;
        ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree =
            ::bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(probe);
        return isFree;
    }

    /// The lowest port that the system gives to outgoing connections.
    static int outgoingPortsBegin()
    {
        // The default of Linux.
        int begin = 32'768;
        std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> begin;
        return begin > 0 ? begin : 32'768;
    }

private:
    static constexpr int FirstPort = 10'000;
    // utils/local-fleet.sh uses ports from here on, without a lock.
    static constexpr int EndPort = 20'000;

    static std::size_t defaultStart()
    {
        // Spreads processes with consecutive ids over the range.
        return static_cast<std::size_t>(::getpid()) * 6'181;
    }

    // Reserves all of the ports or none.
    bool reserve(int port, std::initializer_list<int> offsets)
    {
        const std::size_t before = m_locks.size();
        for (const int offset : offsets) {
            const int lock = lockPort(port + offset);
            if (lock >= 0) {
                m_locks.push_back(lock);
            }
            if (lock < 0 || !isFree(port + offset)) {
                while (m_locks.size() > before) {
                    ::close(m_locks.back());
                    m_locks.pop_back();
                }
                return false;
            }
        }
        return true;
    }

    // Binds an abstract Unix socket that is named after the port, which only one process can do at
    // a time and which ends with the process. Returns its descriptor, or -1.
    static int lockPort(int port)
    {
        sockaddr_un address{};
        address.sun_family = AF_UNIX;
        const std::string name = "marigoldspool-test-port-" + std::to_string(port);
        name.copy(address.sun_path + 1, sizeof address.sun_path - 1);
        const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
        const int lock = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        if (lock >= 0 && ::bind(lock, reinterpret_cast<const sockaddr *>(&address), size) == 0) {
            return lock;
        }
        ::close(lock);
        return -1;
    }

    std::size_t m_next;
    std::vector<int> m_locks;
};

/// A port from a holder that lives as long as the process.
inline std::uint16_t takeFreePort(std::initializer_list<int> offsets = {0})
{
    static FreePorts ports;
    return ports.take(offsets);
}

} // namespace marigoldspool

#endif
