#ifndef MARIGOLDSPOOL_LIB_GATEWAY_HTTPCONNECTION_H
#define MARIGOLDSPOOL_LIB_GATEWAY_HTTPCONNECTION_H

#include "RequestParser.h"

#include "marigoldspool/Gateway/HttpServer.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldspool {

class HttpConnection;

/// What all connections of one server share.
struct HttpServerContext {
    HttpServerContext(HttpServerOptions serverOptions, RequestHandler requestHandler,
                      Metrics &serverMetrics);

    HttpServerOptions options;
    RequestHandler handler;
    Metrics &metrics;
    bool stopping = false;
    std::size_t openRequests = 0;
    /// Bytes reserved for the bodies of all requests.
    std::size_t bodyBytes = 0;
    /// Receive buffer shared by all connections, which run on one thread.
    std::vector<char> receiveBuffer;
    std::function<void(const std::shared_ptr<HttpConnection> &)> onClosed;
};

class ResponseWriter;

/// One connection of a caller: reads requests and writes their answers in order.
class HttpConnection final : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerContext> context);

    void start();
    /// Answers without reading a request, then closes.
    void refuse(const RequestFault &fault);
    void closeIfIdle();
    void close();

    /// \name For ResponseWriter
    /// \{
    /// Queues bytes of the answer, which are written on the next event loop iteration.
    void write(std::string_view bytes);
    void endAnswer(bool keepAlive);
    /// \p reset: reset the connection, because a plain close would mark the answer as complete.
    void abortAnswer(bool reset);
    void detachWriter() { m_writer = nullptr; }
    std::size_t pendingBytes() const { return m_output.size() - m_outputOffset; }
    bool isStopping() const { return m_context->stopping; }
    /// \}

private:
    using Steady = std::chrono::steady_clock;

    enum class Phase {
        Idle,
        Receiving,
        Serving,
        /// The last answer is being written.
        Finishing,
        /// Nothing more is sent; further input is discarded.
        Draining,
        Closed,
    };

    void armRead();
    void onReadable();
    void onPeerClosed();
    void process();
    void beginRequest();
    void dispatch();
    /// Reserves memory for the request's body; returns whether there is room.
    bool reserveBody();
    void releaseBody();
    void reject(const RequestFault &fault);
    void flush();
    void compactOutput();
    void onFlushed();
    void finishRequest();
    void startDraining();
    void setDeadline(Duration fromNow);
    void armTimer(Steady::time_point at);
    void onTimer();
    bool isWriteStalled(Steady::time_point now) const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpServerContext> m_context;
    Phase m_phase = Phase::Idle;
    std::string m_input;
    std::string m_output;
    std::size_t m_outputOffset = 0;
    std::size_t m_reservedBodyBytes = 0;
    std::optional<RequestParser> m_parser;
    ResponseWriter *m_writer = nullptr;
    bool m_reading = false;
    bool m_processing = false;
    bool m_flushPosted = false;
    bool m_waitingToWrite = false;
    bool m_answerDone = false;
    bool m_keepAlive = true;
    bool m_resetOnClose = false;
    bool m_continueSent = false;
    Steady::time_point m_deadline;
    Steady::time_point m_timerExpiry;
    Steady::time_point m_lastWriteProgress;
};

} // namespace marigoldspool

#endif
