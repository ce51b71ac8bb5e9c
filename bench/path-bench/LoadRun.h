#ifndef MARIGOLDSPOOL_BENCH_PATHBENCH_LOADRUN_H
#define MARIGOLDSPOOL_BENCH_PATHBENCH_LOADRUN_H

#include "marigoldspool/Support/Clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldspool::bench {

struct LoadOptions {
    /// Requests per second.
    double rate = 1000;
    Duration duration = std::chrono::seconds(5);
    std::size_t connections = 32;
    std::string method = "POST";
    std::string path;
    std::string key;
    std::string body;
    /// Checks that each answer repeats the id of its request.
    bool checkIds = false;
};

struct LoadResult {
    /// Milliseconds from the intended start to the end of the answer, and to its first byte.
    std::vector<double> latencies;
    std::vector<double> firstBytes;
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    std::uint64_t unfinished = 0;
    std::uint64_t crossed = 0;
    std::uint64_t events = 0;
    double seconds = 0;
    std::map<int, std::uint64_t> statuses;

    void merge(const LoadResult &other);
};

class LoadConnection;

/// Sends requests on a schedule that does not wait for answers. A request that finds no free
/// connection waits for one, and its latency counts from when it was due.
class LoadRun
{
public:
    using Steady = std::chrono::steady_clock;

    LoadRun(boost::asio::io_context &io, LoadOptions options,
            boost::asio::ip::tcp::endpoint endpoint);
    ~LoadRun();

    /// \p firstId keeps the ids of several runs apart.
    LoadResult run(std::uint64_t firstId);

    /// \name For LoadConnection
    /// \{
    const LoadOptions &options() const { return m_options; }
    const boost::asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }
    LoadResult &result() { return m_result; }
    void onFree(LoadConnection *connection);
    void onEnd();
    /// \}

private:
    void schedule();
    void dispatch();
    bool isOver() const { return m_due == m_total && m_ended == m_total; }

    boost::asio::io_context &m_io;
    LoadOptions m_options;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::steady_timer m_timer;
    LoadResult m_result;
    std::vector<std::shared_ptr<LoadConnection>> m_connections;
    std::vector<LoadConnection *> m_free;
    std::deque<Steady::time_point> m_pending;
    Steady::time_point m_start;
    std::uint64_t m_total = 0;
    std::uint64_t m_due = 0;
    std::uint64_t m_ended = 0;
    std::uint64_t m_nextId = 0;
};

} // namespace marigoldspool::bench

#endif
