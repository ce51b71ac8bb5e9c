#include "EndpointConnection.h"

#include "marigoldspool/Http/HttpFields.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/SocketOptions.h"

#include <algorithm>
#include <array>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace marigoldspool {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Some HTTP servers close connections that have been idle for 5 s. A request sent while the server
// closes may or may not have run, so idle connections are closed earlier.
constexpr std::chrono::seconds DefaultKeepAliveTimeout(4);

// Subtracted from the keep-alive timeout that an endpoint announces, to allow for the time a
// request is in flight.
constexpr std::chrono::milliseconds KeepAliveTimeoutMargin(700);

constexpr std::size_t ReceiveBufferBytes = 65'536;

// How long reading stays paused after the handler takes data again, at most.
constexpr std::chrono::milliseconds PausePollInterval(10);

// Answers to other requests, and the body of each, which are read to find the start of the awaited
// one.
constexpr int MaxSkippedAnswers = 8;
constexpr std::size_t MaxSkippedBytes = 1U << 20U;

// An endpoint may send an id of any length.
constexpr std::size_t MaxLoggedIdBytes = 64;

// Bounds the ids that a connection keeps, which are compared with that of each further call.
constexpr std::uint64_t MaxCallsOfConnection = 1024;

// Fields that this client sets itself, and credentials of the caller, which are never forwarded.
bool isDropped(const HeaderField &field)
{
    constexpr std::array<std::string_view, 5> Names{"Host", "Content-Length", "Expect",
                                                    "Authorization", "X-Request-Id"};
    const auto matches = [&field](std::string_view name) {
        return equalsIgnoringCase(field.name, name);
    };
    return std::any_of(Names.begin(), Names.end(), matches) || !isWritableField(field);
}

bool isSentByClient(const HeaderField &field)
{
    return !equalsIgnoringCase(field.name, "Host")
        && !equalsIgnoringCase(field.name, "Content-Length") && isWritableField(field);
}

std::string formatHead(EndpointCall &call)
{
    const bool passesThrough = !call.host.empty();
    removeHopByHopFields(call.headers);
    std::string out;
    out.reserve(512);
    out.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\n");
    appendField(out, "Host", passesThrough ? call.host : call.address);
    const HeaderField id{"X-Request-Id", call.id.str()};
    if (!passesThrough && !call.id.empty() && isWritableField(id)) {
        appendField(out, id.name, id.value);
    }
    for (const HeaderField &field : call.headers) {
        if (passesThrough ? isSentByClient(field) : !isDropped(field)) {
            appendField(out, field.name, field.value);
        }
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        appendField(out, "Content-Length", std::to_string(call.body.size()));
    }
    return out.append("\r\n");
}

} // namespace

EndpointClientContext::EndpointClientContext(asio::io_context &ioContext, const Clock &clientClock,
                                             Metrics &clientMetrics)
    : io(ioContext)
    , clock(clientClock)
    , metrics(clientMetrics)
    , receiveBuffer(ReceiveBufferBytes)
{ }

EndpointConnection::EndpointConnection(std::shared_ptr<EndpointClientContext> context,
                                       std::string address)
    : m_context(std::move(context))
    , m_address(std::move(address))
    , m_socket(m_context->io)
    , m_timer(m_context->io)
    , m_pauseTimer(m_context->io)
    , m_number(++m_context->connectionCount)
    , m_openedAt(m_context->clock.now())
{ }

ConnectionUse EndpointConnection::use() const
{
    return {m_number, m_callCount - 1, m_context->clock.now() - m_openedAt};
}

void EndpointConnection::beginCall(EndpointCall call, std::shared_ptr<EndpointCallHandler> handler)
{
    ++m_callCount;
    m_handler = std::move(handler);
    m_head = formatHead(call);
    m_body = std::move(call.body);
    m_sent = 0;
    m_hasSendFailed = false;
    m_id = std::move(call.id);
    if (call.sendsNoId) {
        m_hasCarriedNoId = true;
        m_takesNoCallWithoutId = call.needsOwnAnswer;
    } else {
        m_carriedIds.push_back(std::hash<RequestId>()(m_id));
    }
    m_isHeadRequest = call.method == "HEAD";
    m_parser.emplace(m_isHeadRequest);
    m_headDelivered = false;
    m_echoField = std::move(call.echoField);
    m_sendsNoId = call.sendsNoId;
    m_skippingAnswer = false;
    m_skippedAnswers = 0;
    m_maxAnswerBytes = call.maxAnswerBytes;
    m_answerBytes = 0;
    m_mayEndWithConnection = call.mayEndWithConnection;
    m_keepAliveTimeout = DefaultKeepAliveTimeout;
    m_idleTimeout = call.idleTimeout;
    m_peerTimeout = call.peerTimeout;
    m_lastActivity = m_context->clock.now();
    m_callDeadline = m_lastActivity + call.timeout;
    m_connectDeadline = call.connectTimeout > Duration::zero()
        ? m_lastActivity + call.connectTimeout
        : SteadyTime::max();
    armTimer();
}

void EndpointConnection::connect(const tcp::endpoint &endpoint, EndpointCall call,
                                 std::shared_ptr<EndpointCallHandler> handler)
{
    beginCall(std::move(call), std::move(handler));
    boost::system::error_code ec;
    m_socket.open(endpoint.protocol(), ec);
    if (!ec) {
        m_socket.non_blocking(true, ec);
    }
    if (!ec) {
        m_socket.set_option(tcp::no_delay(true), ec);
    }
    if (ec) {
        onConnected(ec);
        return;
    }
    m_socket.async_connect(endpoint,
                           [self = shared_from_this()](const boost::system::error_code &result) {
                               if (self->m_state == State::Connecting) {
                                   self->onConnected(result);
                               }
                           });
}

void EndpointConnection::onConnected(const boost::system::error_code &ec)
{
    if (ec) {
        fail(ErrorKind::Unavailable, "cannot connect to " + m_address + ": " + ec.message(),
             "check that the endpoint runs and its address is right");
        return;
    }
    m_state = State::Busy;
    enableKeepAlive(m_socket.native_handle(), m_peerTimeout);
    m_connectDeadline = SteadyTime::max();
    m_lastActivity = m_context->clock.now();
    armRead();
    flush();
}

void EndpointConnection::send(EndpointCall call, std::shared_ptr<EndpointCallHandler> handler)
{
    m_state = State::Busy;
    if (call.peerTimeout != m_peerTimeout) {
        enableKeepAlive(m_socket.native_handle(), call.peerTimeout);
    }
    // The connect timeout does not apply once the connection is open.
    call.connectTimeout = Duration::zero();
    beginCall(std::move(call), std::move(handler));
    flush();
}

bool EndpointConnection::isReusable()
{
    if (m_state != State::Idle) {
        return false;
    }
    char byte = 0;
    const ssize_t n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        noteUnsolicited();
    }
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// An endpoint may write an answer once more, on the connection on which it wrote it first and
// several answers late. It bears the id of its request, also while another attempt with that id is
// under way.
bool EndpointConnection::canCarry(const EndpointCall &call) const
{
    // The answer to a HEAD request has no body, whatever its head says, so a copy cannot be skipped
    // beside other answers. Such a request has a connection to itself.
    if (call.method == "HEAD") {
        return false;
    }
    if (call.sendsNoId) {
        return !m_takesNoCallWithoutId && !(call.needsOwnAnswer && m_hasCarriedNoId);
    }
    const std::size_t hash = std::hash<RequestId>()(call.id);
    return std::find(m_carriedIds.begin(), m_carriedIds.end(), hash) == m_carriedIds.end();
}

void EndpointConnection::noteUnsolicited() const
{
    m_context->metrics.add("marigoldspool_endpoint_unsolicited_bytes_total");
    logEvent(LogLevel::Info, "unsolicited_bytes",
             {{"endpoint_address", m_address},
              {"connection", std::to_string(m_number)},
              {"calls", std::to_string(m_callCount)},
              {"idle_ms", std::to_string(toMilliseconds(m_context->clock.now() - m_lastActivity))},
              {"last_id", m_id.str()}});
}

void EndpointConnection::flush()
{
    while (m_state == State::Busy && !isSent()) {
        const std::size_t headSent = std::min(m_sent, m_head.size());
        const std::size_t bodySent = m_sent - headSent;
        const std::array<asio::const_buffer, 2> buffers{
            asio::const_buffer(m_head.data() + headSent, m_head.size() - headSent),
            asio::const_buffer(m_body.data() + bodySent, m_body.size() - bodySent)};
        boost::system::error_code ec;
        const std::size_t n = m_socket.write_some(buffers, ec);
        if (ec == asio::error::would_block) {
            m_socket.async_wait(tcp::socket::wait_write,
                                [self = shared_from_this()](const boost::system::error_code &) {
                                    self->flush();
                                });
            return;
        }
        if (ec) {
            // The endpoint may have sent an early answer, which is read first. This error may be
            // all that tells of a reset: the read that follows then ends like after a clean close.
            m_hasSendFailed = true;
            if (m_sent == 0) {
                fail(ErrorKind::Unavailable, "cannot send to " + m_address + ": " + ec.message(),
                     "send the request again");
            }
            return;
        }
        m_sent += n;
        m_lastActivity = m_context->clock.now();
    }
}

// Stays armed while the connection is idle, so that a close by the endpoint is detected at once.
void EndpointConnection::armRead()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &ec) {
                            if (!ec && self->m_state != State::Closed) {
                                self->onReadable();
                            }
                        });
}

void EndpointConnection::onReadable()
{
    boost::system::error_code ec;
    const std::size_t n = m_socket.read_some(asio::buffer(m_context->receiveBuffer), ec);
    if (ec == asio::error::would_block) {
        armRead();
        return;
    }
    if (m_state == State::Idle) {
        if (!ec) {
            noteUnsolicited();
        }
        close();
        return;
    }
    if (ec) {
        onEndOfStream(ec);
        return;
    }
    m_lastActivity = m_context->clock.now();
    onBytes({m_context->receiveBuffer.data(), n});
    if (m_state != State::Closed) {
        readWhenTaken();
    }
}

// Polling needs no call back from whoever takes the bytes, and few connections pause at a time.
void EndpointConnection::readWhenTaken()
{
    if (m_handler == nullptr || m_handler->takesData()) {
        armRead();
        return;
    }
    // The endpoint cannot send meanwhile.
    m_lastActivity = m_context->clock.now();
    m_pauseTimer.expires_after(PausePollInterval);
    m_pauseTimer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && self->m_state != State::Closed) {
            self->readWhenTaken();
        }
    });
}

void EndpointConnection::onBytes(std::string_view bytes)
{
    // The body parts are views into this buffer, so it must outlive them.
    std::string joined;
    if (!m_unparsed.empty()) {
        joined = std::move(m_unparsed);
        m_unparsed.clear();
        joined.append(bytes);
        bytes = joined;
    }
    std::string problem;
    const std::size_t used = m_parser->feed(bytes, problem);
    if (!problem.empty()) {
        fail(ErrorKind::Malformed, "malformed answer from " + m_address + ": " + problem,
             "check that the endpoint speaks HTTP/1.1");
        return;
    }
    const bool isDone = m_parser->isDone();
    const bool hasMore = used < bytes.size();
    const bool reusable = isDone && !hasMore && isSent() && m_parser->keepAlive();
    if (!isDone) {
        m_unparsed.assign(bytes.substr(used));
    }
    if (!deliverAnswer()) {
        return;
    }
    if (isDone && m_skippingAnswer) {
        // The answer to this request follows the one that was skipped.
        const std::string rest(bytes.substr(used));
        m_skippingAnswer = false;
        m_answerBytes = 0;
        m_unparsed.clear();
        m_parser.emplace(m_isHeadRequest);
        if (!rest.empty()) {
            onBytes(rest);
        }
        return;
    }
    if (isDone) {
        if (hasMore) {
            noteUnsolicited();
        }
        complete(reusable && !m_mustNotReuse && !m_isHeadRequest
                 && m_callCount < MaxCallsOfConnection);
    }
}

// An answer without the id may be an earlier one that the endpoint has written again, so only the
// id proves that the answer is to this request.
bool EndpointConnection::isAnswerToThisRequest(const std::vector<HeaderField> &headers) const
{
    if (m_echoField.empty()) {
        return true;
    }
    const std::string *echoed = findHeader(headers, m_echoField);
    return m_sendsNoId ? echoed == nullptr : echoed != nullptr && *echoed == m_id.str();
}

bool EndpointConnection::skipAnswer(const std::vector<HeaderField> &headers)
{
    const std::string *echoed = findHeader(headers, m_echoField);
    m_context->metrics.add("marigoldspool_endpoint_crossed_answers_total");
    logEvent(LogLevel::Info, "answer_skipped",
             {{"endpoint_address", m_address},
              {"connection", std::to_string(m_number)},
              {"calls", std::to_string(m_callCount)},
              {"status", std::to_string(m_parser->status())},
              {"awaited_id", m_sendsNoId ? "none" : m_id.str()},
              {"answer_id", echoed == nullptr ? "none" : echoed->substr(0, MaxLoggedIdBytes)}});
    if (++m_skippedAnswers > MaxSkippedAnswers) {
        fail(ErrorKind::Malformed, m_address + " sends answers to other requests",
             "check that the endpoint repeats the id of the request");
        return false;
    }
    m_skippingAnswer = true;
    m_mustNotReuse = true;
    return true;
}

// Returns false when the handler has cancelled the call.
bool EndpointConnection::deliverAnswer()
{
    const std::shared_ptr<EndpointCallHandler> handler = m_handler;
    if (!m_headDelivered && !m_skippingAnswer && m_parser->isHeadDone()) {
        if (const auto idle = m_parser->keepAliveTimeout()) {
            m_keepAliveTimeout = std::max<Duration>(
                std::min<Duration>(DefaultKeepAliveTimeout, *idle - KeepAliveTimeoutMargin),
                Duration::zero());
        }
        const std::vector<HeaderField> headers = m_parser->takeHeaders();
        if (!isAnswerToThisRequest(headers)) {
            return skipAnswer(headers);
        }
        m_headDelivered = true;
        handler->onHead(m_parser->status(), headers);
        if (m_state == State::Closed) {
            return false;
        }
    }
    const std::vector<std::string_view> &parts = m_parser->bodyParts();
    for (const std::string_view part : parts) {
        m_answerBytes += part.size();
    }
    const std::size_t limit = m_skippingAnswer ? MaxSkippedBytes : m_maxAnswerBytes;
    if (limit > 0 && m_answerBytes > limit) {
        fail(ErrorKind::Malformed,
             "the answer of " + m_address + " is longer than " + std::to_string(limit) + " bytes",
             "check that the endpoint ends its answers");
        return false;
    }
    if (m_skippingAnswer) {
        return true;
    }
    if (parts.size() == 1) {
        handler->onData(parts.front());
    } else if (!parts.empty()) {
        std::string joined;
        for (const std::string_view part : parts) {
            joined.append(part);
        }
        handler->onData(joined);
    }
    return m_state != State::Closed;
}

void EndpointConnection::complete(bool reusable)
{
    const std::shared_ptr<EndpointCallHandler> handler = endCall();
    if (reusable) {
        m_state = State::Idle;
        m_lastActivity = m_context->clock.now();
        armTimer();
        m_context->onReusable(shared_from_this());
    } else {
        close();
    }
    handler->onComplete();
}

void EndpointConnection::completeAtClose()
{
    const std::shared_ptr<EndpointCallHandler> handler = endCall();
    close();
    handler->onCompleteAtClose();
}

void EndpointConnection::onEndOfStream(const boost::system::error_code &ec)
{
    const bool isCleanEnd = ec == asio::error::eof && !m_hasSendFailed;
    if (m_mayEndWithConnection && !m_skippingAnswer && isCleanEnd && m_parser->finishAtEnd()) {
        if (deliverAnswer()) {
            completeAtClose();
        }
        return;
    }
    if (m_hasSendFailed && m_parser->endsWithConnection()) {
        m_context->metrics.add("marigoldspool_endpoint_answers_reset_while_sending_total");
    }
    fail(ErrorKind::OutcomeUnknown, describeBrokenEnd(ec),
         "check the endpoint; the request may have run");
}

std::string EndpointConnection::describeBrokenEnd(const boost::system::error_code &ec) const
{
    if (!m_parser->endsWithConnection()) {
        return m_address + " closed the connection before the answer ended: " + ec.message();
    }
    if (m_hasSendFailed) {
        return m_address + " reset the connection while the request was being sent, so its answer "
            + "without a length may be incomplete";
    }
    return "the answer of " + m_address + " has neither a length nor a last chunk";
}

std::shared_ptr<EndpointCallHandler> EndpointConnection::endCall()
{
    if (m_handler) {
        m_context->onCallEnded(m_id, this);
    }
    m_head.clear();
    m_body.clear();
    m_unparsed.clear();
    return std::move(m_handler);
}

void EndpointConnection::fail(ErrorKind kind, std::string message, std::string remedy)
{
    const SendStage stage = m_sent == 0 ? SendStage::NotSent : SendStage::MaybeSent;
    const std::shared_ptr<EndpointCallHandler> handler = m_handler;
    close();
    m_context->metrics.add("marigoldspool_endpoint_call_failures_total", 1,
                           {{"kind", std::string(errorKindName(kind))}});
    asio::post(m_context->io,
               [handler, stage, error = makeError(kind, std::move(message), std::move(remedy))] {
                   handler->onFailure(stage, error);
               });
}

void EndpointConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    const bool hasCall = m_handler != nullptr;
    m_state = State::Closed;
    endCall();
    boost::system::error_code ec;
    if (hasCall) {
        // After a plain close the kernel still delivers queued data, so an abandoned call could
        // reach the endpoint seconds later, when a network partition heals.
        m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    m_socket.close(ec);
    m_timer.cancel();
    m_pauseTimer.cancel();
    m_context->onClosed(shared_from_this());
}

SteadyTime EndpointConnection::nextDeadline() const
{
    if (m_state == State::Idle) {
        return m_lastActivity + m_keepAliveTimeout;
    }
    return std::min({m_callDeadline, m_lastActivity + m_idleTimeout, m_connectDeadline});
}

// Re-arms the timer only if it would fire too late; a timer that fires early is re-armed on expiry.
void EndpointConnection::armTimer()
{
    const SteadyTime at = nextDeadline();
    if (m_timerExpiry && *m_timerExpiry <= at) {
        return;
    }
    m_timerExpiry = at;
    m_timer.expires_after(std::max(at - m_context->clock.now(), Duration::zero()));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && self->m_state != State::Closed) {
            self->m_timerExpiry.reset();
            self->onTimer();
        }
    });
}

void EndpointConnection::onTimer()
{
    const SteadyTime now = m_context->clock.now();
    if (now < nextDeadline()) {
        armTimer();
        return;
    }
    if (m_state == State::Idle) {
        close();
        return;
    }
    if (now >= m_connectDeadline) {
        fail(ErrorKind::Unavailable, m_address + " did not accept the connection in time",
             "check the endpoint and the network path to it");
        return;
    }
    if (now >= m_callDeadline) {
        fail(ErrorKind::Timeout, "the call to " + m_address + " took longer than its timeout",
             "check the load of the endpoint or allow more time");
        return;
    }
    fail(ErrorKind::Timeout, "the connection to " + m_address + " transferred no data in time",
         "check the endpoint and the network path to it");
}

} // namespace marigoldspool
