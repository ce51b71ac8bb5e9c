#ifndef MARIGOLDSPOOL_GATEWAY_ENDPOINTCLIENT_H
#define MARIGOLDSPOOL_GATEWAY_ENDPOINTCLIENT_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/HeaderField.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Metrics.h"
#include "marigoldspool/Support/SocketOptions.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gsl/span>

namespace marigoldspool {

/// How far a failed call got.
enum class SendStage {
    NotSent, ///< No byte of the request can have reached the endpoint.
    MaybeSent,
};

struct EndpointCall {
    RequestId id;
    /// `IP:PORT`
    std::string address;
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
    /// For the whole call.
    Duration timeout = std::chrono::seconds(30);
    /// The call fails when the connection transfers no data for this long.
    Duration idleTimeout = std::chrono::seconds(10);
    /// For opening a new connection; zero: only the other limits apply.
    Duration connectTimeout = Duration::zero();
    /// The call fails when the endpoint's machine acknowledges nothing for this long.
    Duration peerTimeout = DefaultPeerTimeout;
    /// The Host field. When set, the other fields are passed on as they are, without an id of ours.
    std::string host;
    /// Field in which the endpoint repeats the request's id; empty when it repeats none. Answers
    /// without this id may belong to other requests and are skipped.
    std::string echoField;
    /// The call bears no id for the endpoint to repeat; answers that repeat one are skipped.
    bool sendsNoId = false;
    /// With sendsNoId: the answer must be that to this call, so its connection carries no other
    /// call without an id, before or after.
    bool needsOwnAnswer = false;
    /// The call fails when the body of the answer is longer, in bytes; zero: unlimited.
    std::size_t maxAnswerBytes = 0;
    /// An answer without a length is complete when the endpoint closes the connection cleanly. A
    /// reset while the request is being sent is no clean close.
    bool mayEndWithConnection = false;
};

/// The connection that carries a call.
struct ConnectionUse {
    /// Counts the connections of the client; 0: the call is invalid and gets no connection.
    std::uint64_t number = 0;
    /// Calls that the connection has carried before.
    std::uint64_t earlierCalls = 0;
    /// Time since the connection was opened.
    Duration age = Duration::zero();
};

/// Receives the answer to one call: head, data, then either complete or failure, exactly once.
class EndpointCallHandler
{
public:
    virtual ~EndpointCallHandler();
    virtual void onHead(int status, gsl::span<const HeaderField> headers) = 0;
    virtual void onData(std::string_view bytes) = 0;
    /// While false, no more of the answer is read, so that an endpoint that sends faster than its
    /// bytes are taken does not fill this process's memory.
    virtual bool takesData() const { return true; }
    /// The whole answer has come, as its length or its last chunk says.
    virtual void onComplete() = 0;
    /// Without a length or chunks, the answer has ended with its connection, which an endpoint that
    /// crashes closes, too.
    virtual void onCompleteAtClose() { onComplete(); }
    virtual void onFailure(SendStage stage, Error error) = 0;
};

/// Calls to endpoints over kept-alive HTTP/1.1 connections. A connection that failed, timed out or
/// was cancelled is closed and never used again, so a late answer cannot reach another request. A
/// connection carries no id twice, so a copy of an earlier answer cannot reach a repeated call.
class EndpointClient
{
public:
    virtual ~EndpointClient();
    /// The handler is never called from within call().
    virtual ConnectionUse call(EndpointCall call, std::shared_ptr<EndpointCallHandler> handler) = 0;
    /// Closes the connections of all calls with this id; their handlers are not called any more.
    virtual void cancel(const RequestId &id) = 0;
    /// Cancels one of several calls with the same id.
    virtual void cancel(const RequestId &id, const EndpointCallHandler &handler) = 0;
    /// Closes the kept connections to \p address that have no call; others stay open.
    virtual void closeIdle(const std::string &address) = 0;
};

std::unique_ptr<EndpointClient> makeEndpointClient(boost::asio::io_context &io, const Clock &clock,
                                                   Metrics &metrics);

} // namespace marigoldspool

#endif
