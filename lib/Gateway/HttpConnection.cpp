#include "HttpConnection.h"

#include "ResponseWriter.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace marigoldspool {

namespace asio = boost::asio;

namespace {

// How long a closing connection waits for the caller to close. Closing with unread input would
// reset the connection, and the caller could lose the answer in flight.
constexpr std::chrono::seconds DrainTimeout(1);

// Bounds a single read; reads repeat until the socket is empty.
constexpr std::size_t ReceiveBufferBytes = 65'536;

constexpr std::size_t MaxRetainedBytes = 65'536;

constexpr std::chrono::seconds NoMemoryRetryAfter(1);

void releaseLargeBuffer(std::string &buffer)
{
    if (buffer.capacity() > MaxRetainedBytes) {
        std::string().swap(buffer);
    }
}

} // namespace

HttpServerContext::HttpServerContext(HttpServerOptions serverOptions, RequestHandler requestHandler,
                                     Metrics &serverMetrics)
    : options(std::move(serverOptions))
    , handler(std::move(requestHandler))
    , metrics(serverMetrics)
    , receiveBuffer(ReceiveBufferBytes)
{ }

HttpConnection::HttpConnection(asio::ip::tcp::socket socket,
                               std::shared_ptr<HttpServerContext> context)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_context(std::move(context))
{ }

void HttpConnection::start()
{
    setDeadline(m_context->options.idleTimeout);
    armRead();
}

void HttpConnection::refuse(const RequestFault &fault)
{
    reject(fault);
    armRead();
}

void HttpConnection::closeIfIdle()
{
    if (m_phase == Phase::Idle) {
        close();
    }
}

void HttpConnection::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (m_phase == Phase::Serving) {
        --m_context->openRequests;
    }
    m_phase = Phase::Closed;
    releaseBody();
    boost::system::error_code ec;
    if (m_resetOnClose) {
        m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    m_socket.close(ec);
    m_timer.cancel();
    if (m_context->onClosed) {
        m_context->onClosed(shared_from_this());
    }
    if (m_writer != nullptr) {
        ResponseWriter *writer = m_writer;
        m_writer = nullptr;
        writer->notifyCallerGone();
    }
}

// Waits for readiness instead of starting a read, so that idle connections need no buffer.
void HttpConnection::armRead()
{
    if (m_reading || m_phase == Phase::Closed) {
        return;
    }
    m_reading = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &ec) {
                            self->m_reading = false;
                            if (!ec) {
                                self->onReadable();
                            }
                        });
}

void HttpConnection::onReadable()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    boost::system::error_code ec;
    const std::size_t n = m_socket.read_some(asio::buffer(m_context->receiveBuffer), ec);
    if (ec && ec != asio::error::would_block) {
        onPeerClosed();
        return;
    }
    if (n > 0 && m_phase != Phase::Draining && m_phase != Phase::Finishing) {
        m_input.append(m_context->receiveBuffer.data(), n);
        process();
    }
    // While a request is being served, input is read only to detect that the caller closes and to
    // buffer a few pipelined requests.
    const bool isFull =
        m_phase == Phase::Serving && m_input.size() >= m_context->options.maxHeaderBytes;
    if (!isFull) {
        armRead();
    }
}

void HttpConnection::onPeerClosed()
{
    if (m_phase == Phase::Serving && !m_answerDone) {
        m_context->metrics.add("marigoldspool_http_callers_gone_total");
    }
    close();
}

void HttpConnection::process()
{
    if (m_processing) {
        return;
    }
    m_processing = true;
    while (!m_input.empty() && (m_phase == Phase::Idle || m_phase == Phase::Receiving)) {
        if (m_phase == Phase::Idle) {
            beginRequest();
        }
        const RequestParser::Result result = m_parser->feed(m_input);
        if (result == RequestParser::Result::Failed) {
            reject(m_parser->fault());
        } else if (!reserveBody()) {
            reject({RefusalReason::NoCapacity, 503,
                    "this instance has no memory for the body of the request", "send it again",
                    NoMemoryRetryAfter});
        } else if (result == RequestParser::Result::Complete) {
            dispatch();
        } else {
            if (!m_continueSent && m_parser->isHeadDone() && m_input.empty()
                && m_parser->expectsContinue()) {
                m_continueSent = true;
                write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            break;
        }
    }
    m_processing = false;
}

void HttpConnection::beginRequest()
{
    m_phase = Phase::Receiving;
    m_continueSent = false;
    m_parser.emplace(m_context->options.maxHeaderBytes, m_context->options.maxBodyBytes);
    setDeadline(m_context->options.readTimeout);
}

// Each body is bounded, but not their sum: 40 requests with bodies of 4 MiB took 305 MB of a
// process that may use 260 MB.
bool HttpConnection::reserveBody()
{
    const std::size_t limit = m_context->options.maxTotalBodyBytes;
    const std::size_t needed = std::max(m_parser->bodyBytes(), m_reservedBodyBytes);
    const std::size_t added = needed - m_reservedBodyBytes;
    if (limit > 0 && added > 0 && m_context->bodyBytes + added > limit) {
        return false;
    }
    m_context->bodyBytes += added;
    m_reservedBodyBytes = needed;
    return true;
}

void HttpConnection::releaseBody()
{
    m_context->bodyBytes -= std::exchange(m_reservedBodyBytes, 0);
}

void HttpConnection::dispatch()
{
    m_phase = Phase::Serving;
    m_answerDone = false;
    ++m_context->openRequests;
    m_lastWriteProgress = Steady::now();
    const ResponseWriter::RequestShape shape{m_parser->isHead(), m_parser->isHttp11(),
                                             m_parser->keepAlive()};
    HttpRequest request = m_parser->takeRequest();
    m_parser.reset();
    const auto writer = std::make_shared<ResponseWriter>(shared_from_this(), shape);
    m_writer = writer.get();
    m_context->handler(std::move(request), writer);
}

void HttpConnection::reject(const RequestFault &fault)
{
    m_context->metrics.countRefusal(fault.reason);
    m_context->metrics.add("marigoldspool_http_rejected_total", 1,
                           {{"status", std::to_string(fault.status)}});
    m_phase = Phase::Finishing;
    releaseBody();
    m_keepAlive = false;
    m_input.clear();
    m_output.append(formatFault(fault));
    m_lastWriteProgress = Steady::now();
    setDeadline(DrainTimeout);
    flush();
}

void HttpConnection::write(std::string_view bytes)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (m_output.empty()) {
        m_lastWriteProgress = Steady::now();
    }
    m_output.append(bytes);
    // Combines the writes of one event loop iteration into one system call.
    if (!m_flushPosted && !m_waitingToWrite) {
        m_flushPosted = true;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->m_flushPosted = false;
            self->flush();
        });
    }
}

void HttpConnection::endAnswer(bool keepAlive)
{
    if (m_phase != Phase::Serving) {
        return;
    }
    m_answerDone = true;
    m_keepAlive = keepAlive;
    flush();
}

void HttpConnection::abortAnswer(bool reset)
{
    if (m_phase != Phase::Serving) {
        return;
    }
    m_answerDone = true;
    m_keepAlive = false;
    m_resetOnClose = reset;
    flush();
}

void HttpConnection::flush()
{
    if (m_phase == Phase::Closed || m_waitingToWrite) {
        return;
    }
    while (m_outputOffset < m_output.size()) {
        boost::system::error_code ec;
        const std::size_t n = m_socket.write_some(
            asio::buffer(m_output.data() + m_outputOffset, m_output.size() - m_outputOffset), ec);
        m_outputOffset += n;
        if (ec == asio::error::would_block) {
            compactOutput();
            m_waitingToWrite = true;
            m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                                [self = shared_from_this()](const boost::system::error_code &) {
                                    self->m_waitingToWrite = false;
                                    self->flush();
                                });
            return;
        }
        if (ec) {
            onPeerClosed();
            return;
        }
        m_lastWriteProgress = Steady::now();
    }
    m_output.clear();
    m_outputOffset = 0;
    // Releases the buffers of large messages, so that idle connections hold little memory.
    releaseLargeBuffer(m_output);
    onFlushed();
}

// Moving the remainder on each partial write would take quadratic time for large answers.
void HttpConnection::compactOutput()
{
    if (m_outputOffset >= m_output.size() / 2) {
        m_output.erase(0, m_outputOffset);
        m_outputOffset = 0;
    }
}

void HttpConnection::onFlushed()
{
    if (m_phase == Phase::Finishing) {
        startDraining();
    } else if (m_phase == Phase::Serving && m_answerDone) {
        finishRequest();
    }
}

void HttpConnection::finishRequest()
{
    --m_context->openRequests;
    releaseBody();
    if (m_resetOnClose) {
        m_phase = Phase::Draining;
        close();
        return;
    }
    // Input behind an answer that announced the close is discarded. Behind a stream whose head was
    // written before the stop began, the caller may expect further answers.
    if (!m_keepAlive || (m_context->stopping && m_input.empty())) {
        startDraining();
        return;
    }
    m_phase = Phase::Idle;
    setDeadline(m_context->options.idleTimeout);
    if (m_input.empty()) {
        releaseLargeBuffer(m_input);
    }
    process();
    armRead();
}

void HttpConnection::startDraining()
{
    m_phase = Phase::Draining;
    m_input.clear();
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    setDeadline(DrainTimeout);
    armRead();
}

// The timer always fires within the read timeout. The deadline of a new request is never earlier,
// so a new request does not re-arm it.
void HttpConnection::setDeadline(Duration fromNow)
{
    const Steady::time_point now = Steady::now();
    m_deadline = now + fromNow;
    const auto wake = std::min(m_deadline, now + m_context->options.readTimeout);
    if (m_timerExpiry == Steady::time_point() || wake < m_timerExpiry) {
        armTimer(wake);
    }
}

void HttpConnection::armTimer(Steady::time_point at)
{
    m_timerExpiry = at;
    m_timer.expires_at(at);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && self->m_phase != Phase::Closed) {
            self->onTimer();
        }
    });
}

bool HttpConnection::isWriteStalled(Steady::time_point now) const
{
    return pendingBytes() > 0 && now - m_lastWriteProgress >= m_context->options.idleTimeout;
}

void HttpConnection::onTimer()
{
    const Steady::time_point now = Steady::now();
    if (m_phase == Phase::Serving) {
        if (isWriteStalled(now)) {
            onPeerClosed();
            return;
        }
    } else if (now >= m_deadline) {
        if (m_phase != Phase::Receiving) {
            close();
            return;
        }
        reject({RefusalReason::Malformed, 408, "the request was not sent in time",
                "send the whole request within "
                    + std::to_string(toMilliseconds(m_context->options.readTimeout)) + " ms"});
    }
    if (m_phase == Phase::Closed) {
        return;
    }
    const auto latest = now + m_context->options.readTimeout;
    armTimer(m_phase == Phase::Serving ? latest : std::min(m_deadline, latest));
}

} // namespace marigoldspool
