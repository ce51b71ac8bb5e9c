#include "marigoldspool/Platform/StoreConnectionPool.h"

#include "marigoldspool/Http/ResponseParser.h"
#include "marigoldspool/Support/SocketOptions.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldspool {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Further calls are rejected, so that the queue cannot grow without bound during an outage.
constexpr std::size_t MaxQueuedCalls = 1024;
// A page of a list has about 1 MB, and a watch may report several objects of that size. All
// connections together must stay far below the memory of a small machine when the store sends bytes
// without end.
constexpr std::uint64_t MaxAnswerBytes = 8U << 20U;
constexpr std::size_t ReceiveBufferBytes = 4096;

} // namespace

Error storeStatusError(unsigned status, bool isWrite)
{
    const std::string message = "the store answered " + std::to_string(status);
    switch (status) {
    case 404:
        return makeError(ErrorKind::NotFound, message, "create the object first");
    case 409:
        return makeError(ErrorKind::Conflict, message,
                         "read the object again and redo the change on its current value");
    case 413:
        return makeError(ErrorKind::TooLarge, message, "split the value into smaller objects");
    case 429:
        return makeError(ErrorKind::RateLimited, message, "try again after a delay");
    case 503:
        return makeError(ErrorKind::Unavailable, message, "try again after a delay");
    default:
        break;
    }
    if (status >= 400 && status < 500) {
        return makeError(ErrorKind::InvalidArgument, message,
                         "check that client and store have compatible versions");
    }
    // Other server errors say nothing about whether a write took effect.
    return makeError(isWrite ? ErrorKind::OutcomeUnknown : ErrorKind::Unavailable, message,
                     isWrite ? "read the object back and compare the write id"
                             : "try again after a delay");
}

/// A connection that carries one call at a time.
class StoreConnection : public std::enable_shared_from_this<StoreConnection>
{
public:
    StoreConnection(boost::asio::io_context &io, std::weak_ptr<StoreConnectionPool> pool,
                    boost::asio::ip::tcp::endpoint server)
        : m_stream(io)
        , m_pool(std::move(pool))
        , m_server(std::move(server))
    { }

    void run(HttpCall call)
    {
        m_call = std::move(call);
        m_request = {};
        m_request.method(m_call.verb);
        m_request.target(m_call.target);
        m_request.version(11);
        m_request.set(http::field::host, m_server.address().to_string());
        if (!m_call.body.empty()) {
            m_request.set(http::field::content_type, "application/json");
        }
        m_request.body() = std::move(m_call.body);
        m_request.prepare_payload();
        if (m_connected && isReusable()) {
            send();
            return;
        }
        connect();
    }

    void close()
    {
        m_closed = true;
        m_call.done = nullptr;
        m_stream.close();
    }

private:
    void connect()
    {
        m_connected = false;
        m_stream.close();
        m_stream.expires_at(m_call.deadline);
        m_stream.async_connect(m_server, [self = shared_from_this()](beast::error_code ec) {
            self->onConnect(ec);
        });
    }

    void onConnect(beast::error_code ec)
    {
        if (ec) {
            finish(unexpectedError(ErrorKind::Unavailable,
                                   "connecting to the store: " + ec.message(),
                                   "check that the platform's object API is reachable"),
                   false);
            return;
        }
        m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
        enableKeepAlive(m_stream.socket().native_handle());
        m_connected = true;
        m_reused = false;
        send();
    }

    void send()
    {
        m_stream.expires_at(m_call.deadline);
        http::async_write(
            m_stream, m_request, [self = shared_from_this()](beast::error_code ec, std::size_t) {
                if (ec) {
                    self->onConnectionError(ec.message(), ec == beast::error::timeout);
                    return;
                }
                self->receive();
            });
    }

    void receive()
    {
        m_parser.emplace(false, MaxAnswerBytes);
        receivePart();
    }

    void receivePart()
    {
        m_stream.async_read_some(boost::asio::buffer(m_buffer),
                                 [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                     if (ec) {
                                         self->onEndOfStream(ec);
                                     } else {
                                         self->onBytes({self->m_buffer.data(), n});
                                     }
                                 });
    }

    void onBytes(std::string_view bytes)
    {
        m_unparsed.append(bytes);
        std::string problem;
        const std::size_t used = m_parser->feed(m_unparsed, problem);
        for (const std::string_view part : m_parser->bodyParts()) {
            m_answerBody.append(part);
        }
        m_unparsed.erase(0, used);
        if (!problem.empty()) {
            onConnectionError(problem, false);
        } else if (m_parser->isDone()) {
            // Answers bear no id, so further bytes would be taken for the answer to the next call.
            onAnswer(m_parser->keepAlive() && m_unparsed.empty());
        } else {
            extendDeadline();
            receivePart();
        }
    }

    void onEndOfStream(beast::error_code ec)
    {
        if (ec == boost::asio::error::eof && m_parser->finishAtEnd()) {
            onAnswer(false);
            return;
        }
        onConnectionError(ec.message(), ec == beast::error::timeout);
    }

    // How long a large answer takes depends on the link, so its deadline follows its bytes: ended
    // at a fixed time, it would be read again from its first byte and never arrive.
    void extendDeadline()
    {
        if (m_call.stallTimeout == std::chrono::steady_clock::duration::zero()) {
            return;
        }
        const auto extended = std::chrono::steady_clock::now() + m_call.stallTimeout;
        m_stream.expires_at(std::clamp(extended, m_call.deadline,
                                       m_call.deadline + StoreConnectionPool::MaxAnswerTime));
    }

    void onAnswer(bool reusable)
    {
        m_reused = true;
        StoreAnswer answer{static_cast<unsigned>(m_parser->status()), std::move(m_answerBody),
                           std::nullopt};
        const std::vector<HeaderField> headers = m_parser->takeHeaders();
        const std::string *field = findHeader(headers, m_call.answerField);
        if (!m_call.answerField.empty() && field != nullptr) {
            answer.field = *field;
        }
        finish(std::move(answer), reusable);
    }

    // Called after sending began, so the request may have reached the store. A broken answer shows
    // no more than a lost one.
    void onConnectionError(const std::string &cause, bool timedOut)
    {
        m_connected = false;
        // The server may close an idle persistent connection just as it is reused; only reads can
        // safely be sent again.
        if (m_reused && !timedOut && !m_call.isWrite && !m_closed) {
            m_unparsed.clear();
            m_answerBody.clear();
            connect();
            return;
        }
        if (m_call.isWrite) {
            finish(unexpectedError(ErrorKind::OutcomeUnknown,
                                   "the answer to a write was lost: " + cause,
                                   "read the object back and compare the write id"),
                   false);
            return;
        }
        finish(unexpectedError(timedOut ? ErrorKind::Timeout : ErrorKind::Unavailable,
                               "no whole answer of the store: " + cause + " after "
                                   + std::to_string(m_answerBody.size()) + " bytes of its body",
                               "try again after a delay"),
               false);
    }

    void finish(Expected<StoreAnswer> result, bool reusable)
    {
        m_parser.reset();
        m_answerBody.clear();
        if (!reusable) {
            m_connected = false;
            m_unparsed.clear();
            m_stream.close();
        } else {
            m_stream.expires_never();
        }
        const std::shared_ptr<StoreConnection> self = shared_from_this();
        const auto done = std::move(m_call.done);
        m_call.done = nullptr;
        if (const auto pool = m_pool.lock()) {
            pool->release(self, reusable);
        }
        if (done && !m_closed) {
            done(std::move(result));
        }
    }

    // False if the server has closed the connection or sent unsolicited data.
    bool isReusable()
    {
        char byte = 0;
        const auto n = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    beast::tcp_stream m_stream;
    std::weak_ptr<StoreConnectionPool> m_pool;
    boost::asio::ip::tcp::endpoint m_server;
    std::array<char, ReceiveBufferBytes> m_buffer{};
    HttpCall m_call;
    http::request<http::string_body> m_request;
    std::optional<ResponseParser> m_parser;
    /// Received bytes that the parser has not used yet.
    std::string m_unparsed;
    std::string m_answerBody;
    bool m_connected = false;
    bool m_reused = false;
    bool m_closed = false;
};

StoreConnectionPool::StoreConnectionPool(boost::asio::io_context &io,
                                         boost::asio::ip::tcp::endpoint server,
                                         std::size_t maxConnections)
    : m_io(io)
    , m_server(std::move(server))
    , m_maxConnections(maxConnections)
    , m_expiry(io)
{ }

StoreConnectionPool::~StoreConnectionPool() = default;

void StoreConnectionPool::submit(HttpCall call)
{
    if (m_queue.size() >= MaxQueuedCalls) {
        reject(std::move(call), "too many calls are waiting for the store",
               "try again after a delay");
        return;
    }
    m_queue.push_back(std::move(call));
    startNext();
}

void StoreConnectionPool::close()
{
    m_queue.clear();
    m_expiry.cancel();
    for (const auto &connection : m_busy) {
        connection->close();
    }
    for (const auto &connection : m_idle) {
        connection->close();
    }
    m_busy.clear();
    m_idle.clear();
}

void StoreConnectionPool::startNext()
{
    rejectExpired();
    while (!m_queue.empty()) {
        std::shared_ptr<StoreConnection> connection;
        if (!m_idle.empty()) {
            connection = std::move(m_idle.back());
            m_idle.pop_back();
        } else if (m_busy.size() < m_maxConnections) {
            connection = std::make_shared<StoreConnection>(m_io, weak_from_this(), m_server);
        } else {
            scheduleExpiry();
            return;
        }
        m_busy.push_back(connection);
        HttpCall call = std::move(m_queue.front());
        m_queue.pop_front();
        connection->run(std::move(call));
    }
}

void StoreConnectionPool::rejectExpired()
{
    // All calls of a pool have about the same time, so those behind the first have later deadlines.
    const auto now = std::chrono::steady_clock::now();
    while (!m_queue.empty() && m_queue.front().deadline <= now) {
        HttpCall expired = std::move(m_queue.front());
        m_queue.pop_front();
        reject(std::move(expired), "no connection to the store became free in time",
               "try again after a delay");
    }
}

// The calls on busy connections may take longer than those that are queued behind them.
void StoreConnectionPool::scheduleExpiry()
{
    m_expiry.expires_at(m_queue.front().deadline);
    m_expiry.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto pool = weak.lock();
        if (!ec && pool) {
            pool->startNext();
        }
    });
}

void StoreConnectionPool::release(const std::shared_ptr<StoreConnection> &connection, bool reusable)
{
    const auto it = std::find(m_busy.begin(), m_busy.end(), connection);
    if (it == m_busy.end()) {
        return;
    }
    m_busy.erase(it);
    if (reusable) {
        m_idle.push_back(connection);
    }
    startNext();
}

void StoreConnectionPool::reject(HttpCall call, std::string message, std::string remedy)
{
    boost::asio::post(
        m_io,
        [pool = weak_from_this(), done = std::move(call.done),
         error = makeError(ErrorKind::Unavailable, std::move(message), std::move(remedy))]() {
            if (!pool.expired()) {
                done(tl::unexpected<Error>(error));
            }
        });
}

} // namespace marigoldspool
