#include "support/FreePorts.h"

#include <exception>
#include <set>

#include <doctest/doctest.h>
#include <sys/wait.h>

using namespace marigoldspool;

namespace {

constexpr std::size_t Start = 4'000;
constexpr int Count = 50;

// Takes ports in a child process that holds them until the pipe of the parent is closed.
void holdPorts(int reports, int parent)
{
    try {
        FreePorts ports(Start);
        for (int i = 0; i < Count; ++i) {
            const std::uint16_t port = ports.take();
            if (::write(reports, &port, sizeof port) != sizeof port) {
                ::_exit(1);
            }
        }
        char end = 0;
        ::_exit(::read(parent, &end, 1) == 0 ? 0 : 1);
    } catch (const std::exception &) {
        ::_exit(1);
    }
}

} // namespace

TEST_CASE("a port that one test process holds for a stopped program is not given to another")
{
    int reports[2];
    int parent[2];
    REQUIRE(::pipe(reports) == 0);
    REQUIRE(::pipe(parent) == 0);
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::close(parent[1]);
        holdPorts(reports[1], parent[0]);
    }
    ::close(reports[1]);
    ::close(parent[0]);
    std::set<std::uint16_t> taken;
    std::uint16_t port = 0;
    while (static_cast<int>(taken.size()) < Count
           && ::read(reports[0], &port, sizeof port) == sizeof port) {
        CHECK(taken.insert(port).second);
    }
    CHECK(taken.size() == Count);
    FreePorts ports(Start);
    for (int i = 0; i < Count; ++i) {
        CHECK(taken.insert(ports.take()).second);
    }
    ::close(parent[1]);
    ::close(reports[0]);
    int status = -1;
    CHECK(::waitpid(child, &status, 0) == child);
    CHECK(status == 0);
}

TEST_CASE("a port is not handed out twice in a process, nor one that a connection can take")
{
    FreePorts first(Start);
    FreePorts second(Start);
    std::set<int> taken;
    for (int i = 0; i < Count; ++i) {
        const int pair = first.take({0, 1});
        const int single = second.take();
        CHECK(taken.insert(pair).second);
        CHECK(taken.insert(pair + 1).second);
        CHECK(taken.insert(single).second);
        CHECK(taken.insert(takeFreePort()).second);
    }
    CHECK(*taken.rbegin() < FreePorts::outgoingPortsBegin());
}

TEST_CASE("a port on which a server listens does not count as free")
{
    const std::uint16_t port = takeFreePort();
    CHECK(FreePorts::isFree(port));
    const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(server, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(server, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    REQUIRE(::listen(server, 1) == 0);
    CHECK_FALSE(FreePorts::isFree(port));
    ::close(server);
    CHECK(FreePorts::isFree(port));
}
