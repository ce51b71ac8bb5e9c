// Measures what the control traffic of one instance costs, as slopes for the capacity page.
#include "Measure.h"
#include "PeerBench.h"
#include "marigoldspool/Platform/HttpObjectStore.h"
#include "marigoldspool/Platform/Watcher.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Settings.h"
#include "standins/platform-standin/PlatformServer.h"
#include "support/QuietLog.h"

#include <atomic>
#include <iostream>
#include <thread>

using namespace marigoldspool;

namespace {

class CountingListener final : public WatchListener
{
public:
    void onObject(const WatchEvent & /*event*/) override { ++events; }
    void onConfirmed(std::uint64_t /*revision*/, SteadyTime /*asOf*/) override { }

    std::size_t events = 0;
};

/// A platform on its own thread, so that its CPU time is not measured.
class PlatformThread
{
public:
    explicit PlatformThread(std::uint64_t seed)
        : m_server(m_io, {boost::asio::ip::address_v4::loopback(), 0}, seed)
        , m_address(m_server.address())
        , m_thread([this]() {
            m_io.run();
        })
    { }
    ~PlatformThread()
    {
        m_io.stop();
        m_thread.join();
    }

    const std::string &address() const { return m_address; }

private:
    boost::asio::io_context m_io{1};
    PlatformServer m_server;
    std::string m_address;
    std::thread m_thread;
};

// CPU time of a watching instance while n objects of the given size are written one by one, minus
// the time of the same writes without a watcher.
double writeObjects(const std::string &address, std::size_t n, std::size_t bytes, bool watched,
                    const std::string &prefix)
{
    boost::asio::io_context io(1);
    Metrics metrics;
    SystemClock clock;
    SeededRandomSource random(1);
    const auto store = makeHttpObjectStore(io, address, std::chrono::seconds(10), metrics);
    CountingListener listener;
    WatcherOptions options;
    options.prefix = prefix;
    options.minInterval = Duration::zero();
    Watcher watcher(*store, clock, random, options, listener);
    std::size_t written = 0;
    std::function<void()> write = [&]() {
        store->put(prefix + std::to_string(written), 0, std::string(bytes, 'x'), WriteId("w"),
                   [&](Expected<std::uint64_t> result) {
                       if (!result) {
                           std::cerr << describeError(result.error()) << '\n';
                           std::exit(1);
                       }
                       ++written;
                   });
    };
    if (watched) {
        watcher.start();
    }
    while (watched && !watcher.isSynchronized()) {
        io.run_one();
    }
    const double begin = threadCpuSeconds();
    for (std::size_t i = 0; i < n; ++i) {
        write();
        while (written <= i || (watched && listener.events <= i)) {
            watcher.onTick();
            io.run_one_for(std::chrono::milliseconds(1));
        }
    }
    return threadCpuSeconds() - begin;
}

void measureWatch(std::uint64_t seed, std::size_t bytes, std::size_t largest)
{
    PlatformThread platform(seed);
    Slope watched;
    Slope plain;
    for (std::size_t n = largest / 4; n <= largest; n += largest / 4) {
        const std::string prefix = std::to_string(bytes) + "-" + std::to_string(n);
        watched.add(static_cast<double>(n),
                    writeObjects(platform.address(), n, bytes, true, prefix + "/w/"));
        plain.add(static_cast<double>(n),
                  writeObjects(platform.address(), n, bytes, false, prefix + "/p/"));
    }
    const std::string size = std::to_string(bytes) + " B";
    printRow("watch event of " + size + ", CPU", (watched.perUnit() - plain.perUnit()) * 1e6, "us",
             "one call for each event");
    printRow("conditional write of " + size + ", CPU", plain.perUnit() * 1e6, "us", "");
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(argv[0]);
    // Leaves out the connect and disconnect lines, which would be measured as well.
    const fake::QuietLog quiet;
    const auto settings =
        Settings::parse("control-bench",
                        {{"seed", "20260101", "seed of random contents"},
                         {"heartbeats", "40000", "largest number of heartbeats"},
                         {"connections", "200", "largest number of peer connections"}},
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings) {
        std::cerr << describeError(settings.error()) << '\n';
        return 64;
    }
    if (settings->helpRequested()) {
        std::cout << settings->helpText();
        return 0;
    }
    const auto seed = settings->integer("seed", 0, INT64_MAX);
    const auto heartbeats = settings->integer("heartbeats", 1000, 1000000);
    const auto connections = settings->integer("connections", 20, 400);
    for (const auto *value : {&seed, &heartbeats, &connections}) {
        if (!*value) {
            std::cerr << describeError(value->error()) << '\n';
            return 64;
        }
    }
    std::cout << "seed " << *seed << '\n';
    // Memory first: later measurements leave freed memory behind that would be reused.
    measureConnectionMemory(static_cast<std::size_t>(*connections));
    measureHeartbeats(static_cast<std::size_t>(*heartbeats));
    measureTransfers(static_cast<std::uint64_t>(*seed));
    measureCodec(static_cast<std::uint64_t>(*seed));
    measureWatch(static_cast<std::uint64_t>(*seed), 200, 2000);
    measureWatch(static_cast<std::uint64_t>(*seed), 10000, 1000);
    setEventLog(nullptr);
    return 0;
}
