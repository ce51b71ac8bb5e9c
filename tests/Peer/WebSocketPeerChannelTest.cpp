#include "marigoldspool/Peer/WebSocketPeerChannel.h"
#include "Peer/RawPeer.h"
#include "support/IoRunner.h"

#include <algorithm>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/websocket/rfc6455.hpp>
#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

struct Received {
    InstanceId from;
    std::uint64_t incarnation;
    PeerMessage message;
};

/// One simulated instance with its channel.
struct Node {
    Node(boost::asio::io_context &io, const std::string &id, std::uint64_t incarnation = 1,
         const std::function<void(PeerChannelOptions &)> &change = {})
        : self(id)
    {
        PeerChannelOptions options;
        options.self = self;
        options.incarnation = incarnation;
        options.address = "127.0.0.1:0";
        options.secret = "secret";
        options.initialReconnectDelay = 10ms;
        if (change) {
            change(options);
        }
        channel = makeWebSocketPeerChannel(io, options, clock, metrics);
        channel->setHandler(
            [this](const InstanceId &from, std::uint64_t run, const PeerMessage &message) {
                received.push_back({from, run, message});
            });
        channel->setDownHandler([this](const InstanceId &peer) {
            down.push_back(peer);
        });
        REQUIRE(channel->start());
        port = channel->port();
    }

    PeerAddress address() const { return {self, "127.0.0.1:" + std::to_string(port)}; }

    bool isConnectedTo(const Node &other) const
    {
        const auto peers = channel->connectedPeers();
        return std::find(peers.begin(), peers.end(), other.self) != peers.end();
    }

    double countForReason(const std::string &counter, const std::string &reason) const
    {
        return metrics.counterValue(counter, {{"reason", reason}});
    }

    double rejected(const std::string &reason) const
    {
        return countForReason("marigoldspool_peer_rejected_total", reason);
    }

    double dropped(const std::string &reason) const
    {
        return countForReason("marigoldspool_peer_dropped_frames_total", reason);
    }

    InstanceId self;
    std::uint16_t port = 0;
    SystemClock clock;
    Metrics metrics;
    std::vector<Received> received;
    std::vector<InstanceId> down;
    std::unique_ptr<WebSocketPeerChannel> channel;
};

struct ChannelFixture {
    boost::asio::io_context io{1};

    void connect(Node &a, Node &b)
    {
        a.channel->setPeers({b.address()});
        b.channel->setPeers({a.address()});
        REQUIRE(runUntil(io, [&]() {
            return a.isConnectedTo(b) && b.isConnectedTo(a);
        }));
    }

    PeerHello helloTo(const Node &node, const std::string &from, std::uint64_t incarnation = 1)
    {
        return {PeerProtocolVersion, InstanceId(from), incarnation, node.self, "nonce"};
    }
};

PeerMessage makeNumbered(std::uint64_t n)
{
    return ConfigRequest{n};
}

std::uint64_t numberOf(const Received &received)
{
    return std::get<ConfigRequest>(received.message).knownVersion;
}

} // namespace

TEST_CASE_FIXTURE(ChannelFixture, "messages arrive in order, in both directions and at full size")
{
    Node a(io, "a-1", 5);
    Node b(io, "b-1", 6);
    connect(a, b);
    for (std::uint64_t n = 0; n < 500; ++n) {
        REQUIRE(a.channel->send(b.self, makeNumbered(n)));
        REQUIRE(b.channel->send(a.self, makeNumbered(n)));
    }
    const std::string rules(1U << 20U, 'x');
    REQUIRE(a.channel->send(b.self, ConfigTransfer{1, rules}));
    REQUIRE(runUntil(io, [&]() {
        return a.received.size() == 500 && b.received.size() == 501;
    }));
    for (std::uint64_t n = 0; n < 500; ++n) {
        CHECK(numberOf(a.received[n]) == n);
        CHECK(numberOf(b.received[n]) == n);
    }
    CHECK(b.received.front().from == a.self);
    CHECK(b.received.front().incarnation == 5);
    CHECK(a.received.front().incarnation == 6);
    CHECK(std::get<ConfigTransfer>(b.received.back().message).rules == rules);
}

TEST_CASE_FIXTURE(ChannelFixture, "two instances that list each other keep one connection")
{
    Node a(io, "a-1");
    Node b(io, "b-1");
    connect(a, b);
    io.restart();
    io.run_for(100ms);
    CHECK(a.isConnectedTo(b));
    CHECK(a.down.empty());
    CHECK(b.down.empty());
    CHECK(b.rejected("direction") == 0);
    CHECK(a.rejected("direction") == 0);
}

TEST_CASE_FIXTURE(ChannelFixture, "a dial from the higher id is rejected")
{
    Node a(io, "a-1");
    RawPeer raw(io, a.port, helloTo(a, "b-1"), "secret");
    REQUIRE(runUntil(io, [&]() {
        return raw.hasFailed();
    }));
    CHECK(raw.status() == 409);
    CHECK(a.rejected("direction") == 1);
}

TEST_CASE_FIXTURE(ChannelFixture, "send fails for a peer without a connection")
{
    Node a(io, "a-1");
    CHECK_FALSE(a.channel->send(InstanceId("b-1"), makeNumbered(1)));
    a.channel->setPeers({{InstanceId("b-1"), "127.0.0.1:1"}});
    CHECK_FALSE(a.channel->send(InstanceId("b-1"), makeNumbered(1)));
}

TEST_CASE_FIXTURE(ChannelFixture,
                  "dials with a wrong secret, protocol version or target are rejected")
{
    Node b(io, "b-1");
    Node wrong(io, "a-1", 1, [](PeerChannelOptions &options) {
        options.secret = "other";
    });
    wrong.channel->setPeers({b.address()});
    REQUIRE(runUntil(io, [&]() {
        return b.rejected("proof") >= 2;
    }));
    CHECK_FALSE(b.isConnectedTo(wrong));

    PeerHello future = helloTo(b, "a-2");
    future.protocol = PeerProtocolVersion + 1;
    RawPeer other(io, b.port, future, "secret");
    REQUIRE(runUntil(io, [&]() {
        return other.hasFailed();
    }));
    CHECK(other.status() == 426);
    CHECK(b.rejected("protocol") == 1);

    PeerHello wrongTarget = helloTo(b, "a-2");
    wrongTarget.to = InstanceId("c-1");
    RawPeer wrongTargetPeer(io, b.port, wrongTarget, "secret");
    REQUIRE(runUntil(io, [&]() {
        return wrongTargetPeer.hasFailed();
    }));
    CHECK(wrongTargetPeer.status() == 403);
    CHECK(b.channel->connectedPeers().empty());
}

// Guards against sending messages to an unrelated process that now listens at a peer's address.
TEST_CASE_FIXTURE(ChannelFixture, "an acceptor that does not know the secret is rejected")
{
    boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    std::vector<std::unique_ptr<boost::beast::websocket::stream<boost::beast::tcp_stream>>> open;
    std::function<void()> accept = [&]() {
        acceptor.async_accept(
            [&](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
                if (!ec) {
                    open.push_back(
                        std::make_unique<boost::beast::websocket::stream<boost::beast::tcp_stream>>(
                            std::move(socket)));
                    open.back()->async_accept([](boost::beast::error_code) {});
                    accept();
                }
            });
    };
    accept();
    Node a(io, "a-1");
    a.channel->setPeers(
        {{InstanceId("b-1"), "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}});
    REQUIRE(runUntil(io, [&]() {
        return a.rejected("proof") >= 2;
    }));
    CHECK(a.channel->connectedPeers().empty());
    CHECK(a.down.empty());
}

TEST_CASE_FIXTURE(ChannelFixture, "malformed frames close neither their connection nor others")
{
    Node b(io, "b-1");
    Node a(io, "a-1");
    connect(a, b);
    RawPeer raw(io, b.port, helloTo(b, "a-2", 3), "secret");
    REQUIRE(runUntil(io, [&]() {
        return raw.isOpen();
    }));
    const auto sendRaw = [&](std::vector<std::uint8_t> bytes, bool binary) {
        raw.send(std::move(bytes), binary);
        REQUIRE(runUntil(io, [&]() {
            return raw.isIdle();
        }));
    };
    sendRaw({0xff, 0x00}, true);
    sendRaw({}, true);
    sendRaw({'{', '}'}, false);
    sendRaw(std::vector<std::uint8_t>(100000, 0x81), true);
    sendRaw(encodeMessage({PeerProtocolVersion, InstanceId("a-1"), 3, 0}, makeNumbered(1)), true);
    sendRaw(encodeMessage({PeerProtocolVersion, InstanceId("a-2"), 2, 0}, makeNumbered(2)), true);
    sendRaw(encodeMessage({PeerProtocolVersion, InstanceId("a-2"), 3, 0}, makeNumbered(3)), true);
    REQUIRE(a.channel->send(b.self, makeNumbered(4)));
    REQUIRE(runUntil(io, [&]() {
        return b.received.size() == 2;
    }));
    CHECK(numberOf(b.received[0]) + numberOf(b.received[1]) == 7);
    CHECK(b.dropped("malformed") == 4);
    CHECK(b.dropped("foreign_sender") == 2);
    CHECK(b.down.empty());
    CHECK_FALSE(raw.isClosed());
}

TEST_CASE_FIXTURE(ChannelFixture, "a frame above the size limit closes only its own connection")
{
    Node b(io, "b-1", 1, [](PeerChannelOptions &options) {
        options.maxMessageBytes = 1000;
    });
    Node a(io, "a-1");
    connect(a, b);
    RawPeer raw(io, b.port, helloTo(b, "a-2"), "secret");
    REQUIRE(runUntil(io, [&]() {
        return raw.isOpen();
    }));
    raw.send(std::vector<std::uint8_t>(1001, 0));
    REQUIRE(runUntil(io, [&]() {
        return raw.isClosed();
    }));
    REQUIRE(runUntil(io, [&]() {
        return b.down.size() == 1;
    }));
    CHECK(b.down.front() == InstanceId("a-2"));
    CHECK_FALSE(b.channel->send(a.self, ConfigTransfer{1, std::string(1000, 'x')}));
    CHECK(b.dropped("too_large") == 1);
    CHECK(b.channel->send(a.self, makeNumbered(1)));
    CHECK(runUntil(io, [&]() {
        return a.received.size() == 1;
    }));
}

TEST_CASE_FIXTURE(ChannelFixture, "the outgoing queue to a slow peer is bounded")
{
    Node a(io, "a-1", 1, [](PeerChannelOptions &options) {
        options.maxQueuedBytes = 1U << 20U;
    });
    Node b(io, "b-1");
    connect(a, b);
    std::size_t sent = 0;
    while (sent < 100 && a.channel->send(b.self, ConfigTransfer{1, std::string(100000, 'x')})) {
        ++sent;
    }
    CHECK(sent == 10);
    CHECK(a.dropped("queue_full") == 1);
    CHECK(runUntil(io, [&]() {
        return b.received.size() == sent;
    }));
    CHECK(a.channel->send(b.self, makeNumbered(1)));
}

// Guards against treating a connection that no longer carries data as live.
TEST_CASE_FIXTURE(ChannelFixture, "an idle connection is closed and re-established")
{
    boost::asio::io_context otherIo(1);
    const auto useShortTimeout = [](PeerChannelOptions &options) {
        options.idleTimeout = 300ms;
    };
    Node a(io, "a-1", 1, useShortTimeout);
    Node b(otherIo, "b-1", 1, useShortTimeout);
    const auto runBoth = [&](const std::function<bool()> &condition) {
        return runUntil(io, [&]() {
            otherIo.restart();
            otherIo.poll();
            return condition();
        });
    };
    a.channel->setPeers({b.address()});
    REQUIRE(runBoth([&]() {
        return a.isConnectedTo(b) && b.isConnectedTo(a);
    }));
    // Simulates a stopped process of b: its kernel still acknowledges data, but nothing answers.
    REQUIRE(runUntil(io, [&]() {
        return !a.down.empty();
    }));
    CHECK(a.down.front() == b.self);
    CHECK(a.countForReason("marigoldspool_peer_disconnects_total", "silent") == 1);
    CHECK(runBoth([&]() {
        return a.isConnectedTo(b) && b.isConnectedTo(a);
    }));
}

TEST_CASE_FIXTURE(ChannelFixture, "pings keep a connection without messages open")
{
    const auto useShortTimeout = [](PeerChannelOptions &options) {
        options.idleTimeout = 300ms;
    };
    Node a(io, "a-1", 1, useShortTimeout);
    Node b(io, "b-1", 1, useShortTimeout);
    connect(a, b);
    const SteadyTime end = a.clock.now() + 1200ms;
    REQUIRE(runUntil(io, [&]() {
        return a.clock.now() >= end;
    }));
    CHECK(a.down.empty());
    CHECK(b.down.empty());
}

TEST_CASE_FIXTURE(ChannelFixture, "a peer that starts later or restarts is connected")
{
    Node a(io, "a-1");
    auto b = std::make_unique<Node>(io, "b-1", 1);
    const PeerAddress address = b->address();
    b.reset();
    a.channel->setPeers({address});
    io.restart();
    io.run_for(50ms);
    CHECK(a.channel->connectedPeers().empty());
    for (std::uint64_t run = 1; run <= 2; ++run) {
        b = std::make_unique<Node>(io, "b-1", run, [&](PeerChannelOptions &options) {
            options.address = address.address;
        });
        REQUIRE(runUntil(io, [&]() {
            return a.isConnectedTo(*b) && b->isConnectedTo(a);
        }));
        REQUIRE(b->channel->send(a.self, makeNumbered(run)));
        REQUIRE(runUntil(io, [&]() {
            return a.received.size() == run;
        }));
        CHECK(a.received.back().incarnation == run);
        b.reset();
        REQUIRE(runUntil(io, [&]() {
            return a.down.size() == run;
        }));
    }
}

TEST_CASE_FIXTURE(ChannelFixture,
                  "a newer incarnation replaces the old connection and an older one is rejected")
{
    Node b(io, "b-1");
    RawPeer old(io, b.port, helloTo(b, "a-1", 7), "secret");
    REQUIRE(runUntil(io, [&]() {
        return old.isOpen() && !b.channel->connectedPeers().empty();
    }));
    RawPeer restarted(io, b.port, helloTo(b, "a-1", 8), "secret");
    REQUIRE(runUntil(io, [&]() {
        return restarted.isOpen() && old.isClosed();
    }));
    CHECK(b.down.size() == 1);
    CHECK(b.channel->connectedPeers().size() == 1);
    RawPeer late(io, b.port, helloTo(b, "a-1", 7), "secret");
    REQUIRE(runUntil(io, [&]() {
        return late.hasFailed();
    }));
    CHECK(late.status() == 409);
    CHECK(b.rejected("incarnation") == 1);
    CHECK_FALSE(restarted.isClosed());
}

TEST_CASE_FIXTURE(ChannelFixture, "the dialler disconnects a peer that is no longer listed")
{
    Node a(io, "a-1");
    Node b(io, "b-1");
    connect(a, b);
    b.channel->setPeers({});
    CHECK(b.isConnectedTo(a));
    a.channel->setPeers({});
    REQUIRE(runUntil(io, [&]() {
        return !b.isConnectedTo(a);
    }));
    CHECK(a.channel->connectedPeers().empty());
    connect(a, b);
}

TEST_CASE_FIXTURE(ChannelFixture,
                  "stop delivers queued messages and calls the down handler only on the peers")
{
    Node a(io, "a-1");
    Node b(io, "b-1");
    connect(a, b);
    for (std::uint64_t n = 0; n < 100; ++n) {
        REQUIRE(a.channel->send(b.self, ConfigTransfer{n, std::string(10000, 'x')}));
    }
    bool stopped = false;
    a.channel->stop([&]() {
        stopped = true;
    });
    CHECK_FALSE(stopped);
    CHECK_FALSE(a.channel->send(b.self, makeNumbered(1)));
    REQUIRE(runUntil(io, [&]() {
        return stopped;
    }));
    REQUIRE(runUntil(io, [&]() {
        return b.down.size() == 1;
    }));
    CHECK(b.received.size() == 100);
    CHECK(a.down.empty());
}

TEST_CASE_FIXTURE(ChannelFixture, "no callback runs after a channel is destroyed in any state")
{
    Node b(io, "b-1");
    auto established = std::make_unique<Node>(io, "a-1");
    connect(*established, b);
    auto dialling = std::make_unique<Node>(io, "a-2");
    dialling->channel->setPeers({b.address(), {InstanceId("x-1"), "127.0.0.1:1"}});
    io.restart();
    io.poll_one();
    REQUIRE(b.channel->send(established->self, makeNumbered(1)));
    established.reset();
    dialling.reset();
    REQUIRE(runUntil(io, [&]() {
        return b.channel->connectedPeers().empty();
    }));
    // Lets the remaining handlers run; none of them may refer to the destroyed nodes.
    io.restart();
    io.run_for(200ms);
}

TEST_CASE_FIXTURE(ChannelFixture,
                  "start fails for an invalid address, an invalid id and an address in use")
{
    Node a(io, "a-1");
    SystemClock clock;
    Metrics metrics;
    PeerChannelOptions options;
    options.self = InstanceId("b-1");
    options.address = "bad";
    CHECK(makeWebSocketPeerChannel(io, options, clock, metrics)->start().error().kind
          == ErrorKind::InvalidArgument);
    options.self = InstanceId("b 1\r\n");
    options.address = "127.0.0.1:0";
    CHECK(makeWebSocketPeerChannel(io, options, clock, metrics)->start().error().kind
          == ErrorKind::InvalidArgument);
    options.self = InstanceId("b-1");
    options.address = a.address().address;
    CHECK(makeWebSocketPeerChannel(io, options, clock, metrics)->start().error().kind
          == ErrorKind::Unavailable);
}
