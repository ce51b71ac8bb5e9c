#include "PeerBench.h"

#include "Measure.h"
#include "marigoldspool/Peer/WebSocketPeerChannel.h"
#include "marigoldspool/Support/RandomSource.h"

#include <atomic>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>

namespace marigoldspool {

namespace {

// A frame header has 2 bytes, 4 from 126 payload bytes on, and a dialler adds a mask of 4.
constexpr double HeaderBytes = 2;
constexpr double MaskBytes = 4;

Heartbeat sampleHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.zone = ZoneName("south-a");
    heartbeat.address = "10.20.30.40:9000";
    heartbeat.configVersion = 123456;
    heartbeat.configAgeMs = 1500;
    heartbeat.rosterEpoch = 300;
    return heartbeat;
}

Envelope sampleEnvelope()
{
    return {PeerProtocolVersion, InstanceId("south-a-17"), 1780000000000000000, 100000};
}

std::string randomRules(std::uint64_t seed, std::size_t bytes)
{
    SeededRandomSource random(seed);
    std::string rules;
    while (rules.size() < bytes) {
        rules += "key workspace=w" + random.hex(4) + " digest=" + random.hex(64)
            + " state=active   # asked for by: operations\n";
    }
    rules.resize(bytes);
    return rules;
}

std::unique_ptr<WebSocketPeerChannel> makeChannel(boost::asio::io_context &io,
                                                  const std::string &id, const Clock &clock,
                                                  Metrics &metrics)
{
    PeerChannelOptions options;
    options.self = InstanceId(id);
    options.incarnation = 1780000000000000000;
    options.address = "127.0.0.1:0";
    options.secret = "secret";
    auto channel = makeWebSocketPeerChannel(io, options, clock, metrics);
    const auto started = channel->start();
    if (!started) {
        std::cerr << describeError(started.error()) << '\n';
        std::exit(1);
    }
    return channel;
}

PeerAddress addressOf(const std::string &id, const WebSocketPeerChannel &channel)
{
    return {InstanceId(id), "127.0.0.1:" + std::to_string(channel.port())};
}

/// An instance on its own thread that counts what it receives.
class Receiver
{
public:
    explicit Receiver(const std::string &id)
        : m_channel(makeChannel(m_io, id, m_clock, m_metrics))
        , m_address(addressOf(id, *m_channel))
    {
        m_channel->setHandler([this](const InstanceId &, std::uint64_t, const PeerMessage &) {
            ++m_received;
        });
        m_thread = std::thread([this]() {
            run();
        });
    }

    ~Receiver()
    {
        m_stopping = true;
        m_thread.join();
    }

    const PeerAddress &address() const { return m_address; }
    std::uint64_t received() const { return m_received; }
    /// CPU time of the thread up to its last pause.
    double cpuSeconds() const { return m_cpuSeconds; }

private:
    void run()
    {
        while (!m_stopping) {
            m_io.restart();
            m_io.run_for(std::chrono::milliseconds(5));
            m_cpuSeconds = threadCpuSeconds();
        }
    }

    boost::asio::io_context m_io{1};
    SystemClock m_clock;
    Metrics m_metrics;
    std::unique_ptr<WebSocketPeerChannel> m_channel;
    PeerAddress m_address;
    std::atomic<std::uint64_t> m_received{0};
    std::atomic<double> m_cpuSeconds{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

struct Cost {
    double sender = 0;
    double receiver = 0;
};

/// Sends messages from this thread to a receiver on another one.
class SendBench
{
public:
    SendBench()
        : m_channel(makeChannel(m_io, "south-a-17", m_clock, m_metrics))
    {
        m_channel->setPeers({m_receiver.address()});
        pump([this]() {
            return !m_channel->connectedPeers().empty();
        });
    }

    // Messages are sent in groups, as a tick does, and each group is awaited.
    Cost send(const PeerMessage &message, std::size_t n, std::size_t group)
    {
        settle();
        const Cost before{threadCpuSeconds(), m_receiver.cpuSeconds()};
        const std::uint64_t first = m_receiver.received();
        for (std::size_t sent = 0; sent < n;) {
            for (std::size_t i = 0; i < group && sent < n; ++i, ++sent) {
                if (!m_channel->send(m_receiver.address().id, message)) {
                    std::cerr << "a message was not sent\n";
                    std::exit(1);
                }
            }
            pump([&]() {
                return m_receiver.received() - first >= sent;
            });
        }
        const double sender = threadCpuSeconds() - before.sender;
        settle();
        return {sender, m_receiver.cpuSeconds() - before.receiver};
    }

    double bytesSent() const
    {
        return m_metrics.counterValue("marigoldspool_peer_bytes_total", {{"direction", "sent"}});
    }

    // Lets the counters of the last second reach the metrics.
    void flush()
    {
        const SteadyTime end = m_clock.now() + std::chrono::milliseconds(1500);
        pump([&]() {
            return m_clock.now() >= end;
        });
    }

private:
    void pump(const std::function<bool()> &condition)
    {
        while (!condition()) {
            m_io.restart();
            m_io.run_one_for(std::chrono::microseconds(500));
        }
    }

    void settle()
    {
        const SteadyTime end = m_clock.now() + std::chrono::milliseconds(30);
        pump([&]() {
            return m_clock.now() >= end;
        });
    }

    Receiver m_receiver{"south-b-1"};
    boost::asio::io_context m_io{1};
    SystemClock m_clock;
    Metrics m_metrics;
    std::unique_ptr<WebSocketPeerChannel> m_channel;
};

double codecSeconds(std::size_t n, const std::function<void()> &operation)
{
    const double begin = threadCpuSeconds();
    for (std::size_t i = 0; i < n; ++i) {
        operation();
    }
    return threadCpuSeconds() - begin;
}

void measureCodecOf(const std::string &name, const PeerMessage &message, std::size_t largest)
{
    const std::vector<std::uint8_t> bytes = encodeMessage(sampleEnvelope(), message);
    Slope encode;
    Slope decode;
    std::size_t total = 0;
    for (std::size_t n = largest / 4; n <= largest; n += largest / 4) {
        encode.add(static_cast<double>(n), codecSeconds(n, [&]() {
                       total += encodeMessage(sampleEnvelope(), message).size();
                   }));
        decode.add(static_cast<double>(n), codecSeconds(n, [&]() {
                       total += decodeMessage(bytes).has_value() ? 1 : 0;
                   }));
    }
    const std::string size = std::to_string(bytes.size()) + " bytes encoded";
    printRow("encode " + name + ", CPU", encode.perUnit() * 1e6, "us", size);
    printRow("decode " + name + ", CPU", decode.perUnit() * 1e6, "us",
             total > 0 ? "" : "nothing done");
}

} // namespace

void measureConnectionMemory(std::size_t largest)
{
    boost::asio::io_context io(1);
    SystemClock clock;
    Metrics metrics;
    const auto acceptor = makeChannel(io, "z-1", clock, metrics);
    std::vector<std::unique_ptr<WebSocketPeerChannel>> diallers;
    Slope memory;
    double grown = 0;
    const std::size_t step = largest / 4;
    for (std::size_t n = step; n <= largest; n += step) {
        while (diallers.size() < n) {
            diallers.push_back(
                makeChannel(io, "a-" + std::to_string(diallers.size()), clock, metrics));
        }
        io.restart();
        io.run_for(std::chrono::milliseconds(200));
        const std::uint64_t before = residentBytes();
        for (const auto &dialler : diallers) {
            dialler->setPeers({addressOf("z-1", *acceptor)});
        }
        while (acceptor->connectedPeers().size() < n) {
            io.restart();
            io.run_for(std::chrono::milliseconds(20));
        }
        grown += static_cast<double>(residentBytes() - before);
        memory.add(static_cast<double>(n), grown);
    }
    printRow("peer connection, resident memory of one end", memory.perUnit() / 2 / 1024, "KiB",
             "half of what both ends add; kernel buffers not counted");
}

void measureHeartbeats(std::size_t largest)
{
    SendBench bench;
    bench.send(sampleHeartbeat(), 1000, 80);
    Slope sender;
    Slope receiver;
    Slope bytes;
    double sent = 1000;
    for (std::size_t n = largest / 4; n <= largest; n += largest / 4) {
        const Cost cost = bench.send(sampleHeartbeat(), n, 1);
        sender.add(static_cast<double>(n), cost.sender);
        receiver.add(static_cast<double>(n), cost.receiver);
        bench.flush();
        sent += static_cast<double>(n);
        bytes.add(sent, bench.bytesSent());
    }
    const double payload = bytes.perUnit();
    printRow("heartbeat, payload", payload, "bytes", "CBOR");
    printRow("heartbeat, frame sent by the dialler", payload + HeaderBytes + MaskBytes, "bytes",
             "WebSocket frame; TCP and IP add 52 and their acknowledgement as much");
    printRow("heartbeat, frame sent by the acceptor", payload + HeaderBytes, "bytes", "");
    printRow("heartbeat sent, CPU", sender.perUnit() * 1e6, "us",
             "one at a time, with the waiting for its arrival");
    printRow("heartbeat received, CPU", receiver.perUnit() * 1e6, "us", "");
}

void measureTransfers(std::uint64_t seed)
{
    SendBench bench;
    const ConfigTransfer transfer{1, randomRules(seed, 1000000)};
    Slope sender;
    Slope receiver;
    for (std::size_t n = 10; n <= 40; n += 10) {
        const Cost cost = bench.send(transfer, n, 1);
        sender.add(static_cast<double>(n), cost.sender);
        receiver.add(static_cast<double>(n), cost.receiver);
    }
    printRow("configuration transfer of 1 MB sent, CPU", sender.perUnit() * 1e3, "ms", "");
    printRow("configuration transfer of 1 MB received, CPU", receiver.perUnit() * 1e3, "ms", "");
}

void measureCodec(std::uint64_t seed)
{
    measureCodecOf("heartbeat", sampleHeartbeat(), 40000);
    ForwardRequest request;
    request.id = RequestId("0123456789abcdef");
    request.workspace = WorkspaceName("workspace-1");
    request.key = KeyDigest(std::string(64, 'a'));
    request.route = RouteName("chat");
    request.model = ModelName("assistant-small");
    request.target = "/v1/chat/completions";
    request.method = "POST";
    request.headers = {{"Content-Type", "application/json"}, {"Accept", "*/*"}};
    request.body = randomRules(seed, 1000);
    request.cost = 500;
    request.deadlineMs = 30000;
    request.idempotent = true;
    request.stream = true;
    measureCodecOf("forwarded request with 1 KB body", request, 20000);
    measureCodecOf("answer part of 100 B",
                   ForwardData{RequestId("0123456789abcdef"), 1, std::string(100, 'x'), false},
                   40000);
    measureCodecOf("configuration transfer of 1 MB", ConfigTransfer{1, randomRules(seed, 1000000)},
                   40);
}

} // namespace marigoldspool
