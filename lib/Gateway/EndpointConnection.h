#ifndef MARIGOLDSPOOL_LIB_GATEWAY_ENDPOINTCONNECTION_H
#define MARIGOLDSPOOL_LIB_GATEWAY_ENDPOINTCONNECTION_H

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Http/ResponseParser.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldspool {

class EndpointConnection;

/// What all connections of one client share.
struct EndpointClientContext {
    EndpointClientContext(boost::asio::io_context &ioContext, const Clock &clientClock,
                          Metrics &clientMetrics);

    boost::asio::io_context &io;
    const Clock &clock;
    Metrics &metrics;
    /// Receive buffer shared by all connections, which run on one thread.
    std::vector<char> receiveBuffer;
    std::uint64_t connectionCount = 0;
    /// The call has ended and the connection can take another one.
    std::function<void(const std::shared_ptr<EndpointConnection> &)> onReusable;
    std::function<void(const std::shared_ptr<EndpointConnection> &)> onClosed;
    std::function<void(const RequestId &, EndpointConnection *)> onCallEnded;
};

/// One connection to an endpoint; carries one call at a time.
class EndpointConnection final : public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(std::shared_ptr<EndpointClientContext> context, std::string address);

    /// Opens the connection for its first call.
    void connect(const boost::asio::ip::tcp::endpoint &endpoint, EndpointCall call,
                 std::shared_ptr<EndpointCallHandler> handler);
    /// Sends another call on an idle connection.
    void send(EndpointCall call, std::shared_ptr<EndpointCallHandler> handler);
    /// Whether the connection is open and has no unread bytes.
    bool isReusable();
    /// Whether no answer to an earlier call, written again, can pass for that to \p call.
    bool canCarry(const EndpointCall &call) const;
    void close();

    const std::string &address() const { return m_address; }
    /// How the connection is used by the call under way.
    ConnectionUse use() const;
    bool isClosed() const { return m_state == State::Closed; }
    /// Whether the answer to the call under way goes to \p handler.
    bool isCalledBy(const EndpointCallHandler &handler) const
    {
        return m_handler.get() == &handler;
    }

private:
    enum class State {
        Connecting,
        Busy,
        Idle,
        Closed,
    };

    void beginCall(EndpointCall call, std::shared_ptr<EndpointCallHandler> handler);
    void onConnected(const boost::system::error_code &ec);
    void flush();
    void armRead();
    /// Reads on as soon as the handler takes data.
    void readWhenTaken();
    void onReadable();
    void onBytes(std::string_view bytes);
    bool deliverAnswer();
    bool isAnswerToThisRequest(const std::vector<HeaderField> &headers) const;
    /// Skips the answer whose head has been read; returns false if there are too many of them.
    bool skipAnswer(const std::vector<HeaderField> &headers);
    /// Records bytes that have come behind an answer or while no call was under way.
    void noteUnsolicited() const;
    void complete(bool reusable);
    void completeAtClose();
    void onEndOfStream(const boost::system::error_code &ec);
    std::string describeBrokenEnd(const boost::system::error_code &ec) const;
    /// Closes the connection and posts the failure to the handler.
    void fail(ErrorKind kind, std::string message, std::string remedy);
    std::shared_ptr<EndpointCallHandler> endCall();
    bool isSent() const { return m_sent == m_head.size() + m_body.size(); }
    SteadyTime nextDeadline() const;
    void armTimer();
    void onTimer();

    std::shared_ptr<EndpointClientContext> m_context;
    std::string m_address;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_pauseTimer;
    State m_state = State::Connecting;
    std::uint64_t m_number;
    SteadyTime m_openedAt;
    std::uint64_t m_callCount = 0;
    /// Hashes of the ids of all calls; two ids with one hash only cost a connection.
    std::vector<std::size_t> m_carriedIds;
    bool m_hasCarriedNoId = false;
    /// The call without an id that the connection has carried must remain the only one.
    bool m_takesNoCallWithoutId = false;
    RequestId m_id;
    std::shared_ptr<EndpointCallHandler> m_handler;
    std::string m_head;
    std::string m_body;
    /// Bytes of head and body accepted by the kernel.
    std::size_t m_sent = 0;
    /// The endpoint has closed or reset the connection before it took the whole request.
    bool m_hasSendFailed = false;
    std::optional<ResponseParser> m_parser;
    bool m_headDelivered = false;
    std::string m_echoField;
    bool m_sendsNoId = false;
    bool m_isHeadRequest = false;
    std::size_t m_maxAnswerBytes = 0;
    std::size_t m_answerBytes = 0;
    /// The answer being read may belong to another request.
    bool m_skippingAnswer = false;
    int m_skippedAnswers = 0;
    /// The endpoint sent unsolicited data, so the connection must not be reused.
    bool m_mustNotReuse = false;
    bool m_mayEndWithConnection = false;
    Duration m_keepAliveTimeout;
    SteadyTime m_connectDeadline = SteadyTime::max();
    /// Received bytes that the parser has not consumed yet.
    std::string m_unparsed;
    Duration m_idleTimeout = Duration::zero();
    Duration m_peerTimeout = Duration::zero();
    SteadyTime m_callDeadline;
    SteadyTime m_lastActivity;
    std::optional<SteadyTime> m_timerExpiry;
};

} // namespace marigoldspool

#endif
