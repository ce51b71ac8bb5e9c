#include "LoadRun.h"

#include "marigoldspool/Gateway/SseScanner.h"

#include <optional>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace marigoldspool::bench {

namespace http = boost::beast::http;

namespace {

// After the schedule has ended, answers under way get this long.
constexpr std::chrono::seconds DrainTime(10);

// Pauses reconnecting to an address that refuses connections.
constexpr std::chrono::milliseconds ReconnectPause(20);

double millisecondsSince(LoadRun::Steady::time_point from)
{
    return std::chrono::duration<double, std::milli>(LoadRun::Steady::now() - from).count();
}

} // namespace

class LoadConnection final : public std::enable_shared_from_this<LoadConnection>
{
public:
    LoadConnection(boost::asio::io_context &io, LoadRun &run)
        : m_socket(io)
        , m_pause(io)
        , m_run(&run)
    { }

    void open()
    {
        m_socket.async_connect(
            m_run->endpoint(), [self = shared_from_this()](const boost::system::error_code &ec) {
                if (self->m_run == nullptr) {
                    return;
                }
                if (ec) {
                    self->reopen();
                    return;
                }
                boost::system::error_code ignored;
                self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                self->m_run->onFree(self.get());
            });
    }

    void start(std::string id, LoadRun::Steady::time_point due)
    {
        m_id = std::move(id);
        m_due = due;
        m_busy = true;
        m_read = 0;
        m_scanner = SseScanner();
        m_parser.emplace();
        m_parser->body_limit(std::uint64_t{1} << 30);
        const LoadOptions &options = m_run->options();
        m_out = options.method + " " + options.path + " HTTP/1.1\r\nHost: bench\r\nX-Request-Id: "
            + m_id + "\r\nContent-Type: application/json\r\n"
            + (options.key.empty() ? "" : "Authorization: Bearer " + options.key + "\r\n")
            + "Content-Length: " + std::to_string(options.body.size()) + "\r\n\r\n" + options.body;
        boost::asio::async_write(
            m_socket, boost::asio::buffer(m_out),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
                if (self->m_run != nullptr) {
                    ec ? self->fail() : self->read();
                }
            });
    }

    void detach()
    {
        m_run = nullptr;
        boost::system::error_code ec;
        m_socket.close(ec);
        m_pause.cancel();
    }

private:
    void read()
    {
        http::async_read_some(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
                if (self->m_run != nullptr) {
                    ec ? self->fail() : self->onRead();
                }
            });
    }

    void onRead()
    {
        const std::string &body = m_parser->get().body();
        if (m_read == 0 && !body.empty()) {
            m_run->result().firstBytes.push_back(millisecondsSince(m_due));
        }
        m_scanner.feed(std::string_view(body).substr(m_read));
        m_read = body.size();
        if (!m_parser->is_done()) {
            read();
            return;
        }
        LoadResult &result = m_run->result();
        const int status = static_cast<int>(m_parser->get().result_int());
        ++result.statuses[status];
        result.events += m_scanner.dataEvents();
        if (status == 200) {
            result.latencies.push_back(millisecondsSince(m_due));
            const bool isOwn = body.find(m_id) != std::string::npos;
            result.crossed += m_run->options().checkIds && !isOwn ? 1 : 0;
        } else {
            ++result.failed;
        }
        m_busy = false;
        const bool isKept = m_parser->keep_alive();
        LoadRun *run = m_run;
        run->onEnd();
        isKept ? run->onFree(this) : reopen();
    }

    void fail()
    {
        if (m_busy) {
            m_busy = false;
            ++m_run->result().failed;
            m_run->onEnd();
        }
        reopen();
    }

    void reopen()
    {
        boost::system::error_code ec;
        m_socket.close(ec);
        m_buffer.clear();
        m_pause.expires_after(ReconnectPause);
        m_pause.async_wait([self = shared_from_this()](const boost::system::error_code &failure) {
            if (!failure && self->m_run != nullptr) {
                self->open();
            }
        });
    }

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_pause;
    LoadRun *m_run;
    bool m_busy = false;
    std::string m_id;
    std::string m_out;
    std::size_t m_read = 0;
    SseScanner m_scanner;
    LoadRun::Steady::time_point m_due;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
};

void LoadResult::merge(const LoadResult &other)
{
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    firstBytes.insert(firstBytes.end(), other.firstBytes.begin(), other.firstBytes.end());
    sent += other.sent;
    failed += other.failed;
    unfinished += other.unfinished;
    crossed += other.crossed;
    events += other.events;
    seconds += other.seconds;
    for (const auto &[status, n] : other.statuses) {
        statuses[status] += n;
    }
}

LoadRun::LoadRun(boost::asio::io_context &io, LoadOptions options,
                 boost::asio::ip::tcp::endpoint endpoint)
    : m_io(io)
    , m_options(std::move(options))
    , m_endpoint(std::move(endpoint))
    , m_timer(io)
{ }

LoadRun::~LoadRun()
{
    for (const auto &connection : m_connections) {
        connection->detach();
    }
}

LoadResult LoadRun::run(std::uint64_t firstId)
{
    m_nextId = firstId;
    const double seconds = std::chrono::duration<double>(m_options.duration).count();
    m_total = static_cast<std::uint64_t>(m_options.rate * seconds);
    for (std::size_t i = 0; i < m_options.connections; ++i) {
        m_connections.push_back(std::make_shared<LoadConnection>(m_io, *this));
        m_connections.back()->open();
    }
    m_io.restart();
    m_io.run_for(std::chrono::milliseconds(100));
    m_start = Steady::now();
    schedule();
    const auto limit = m_start + m_options.duration + DrainTime;
    m_io.restart();
    while (!isOver() && Steady::now() < limit) {
        m_io.run_one_for(std::chrono::milliseconds(50));
    }
    m_result.seconds = millisecondsSince(m_start) / 1000;
    m_result.unfinished = m_total - m_ended;
    return std::move(m_result);
}

void LoadRun::schedule()
{
    const auto now = Steady::now();
    const auto dueAt = [this](std::uint64_t n) {
        const std::chrono::duration<double> offset(static_cast<double>(n) / m_options.rate);
        return m_start + std::chrono::duration_cast<Steady::duration>(offset);
    };
    while (m_due < m_total && dueAt(m_due) <= now) {
        m_pending.push_back(dueAt(m_due));
        ++m_due;
    }
    dispatch();
    if (m_due == m_total) {
        return;
    }
    m_timer.expires_at(dueAt(m_due));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            schedule();
        }
    });
}

void LoadRun::dispatch()
{
    while (!m_pending.empty() && !m_free.empty()) {
        LoadConnection *connection = m_free.back();
        m_free.pop_back();
        const auto due = m_pending.front();
        m_pending.pop_front();
        ++m_result.sent;
        connection->start("bench-" + std::to_string(m_nextId++), due);
    }
}

void LoadRun::onFree(LoadConnection *connection)
{
    m_free.push_back(connection);
    dispatch();
}

void LoadRun::onEnd()
{
    ++m_ended;
}

} // namespace marigoldspool::bench
