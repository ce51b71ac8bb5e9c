#ifndef MARIGOLDSPOOL_GATEWAY_HTTPSERVER_H
#define MARIGOLDSPOOL_GATEWAY_HTTPSERVER_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/HeaderField.h"
#include "marigoldspool/Support/Metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gsl/span>

namespace marigoldspool {

struct HttpRequest {
    std::string method;
    /// Path and query.
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
};

/// Receives the answer to one request. Calls after the caller has disconnected have no effect.
class ResponseSink
{
public:
    virtual ~ResponseSink();
    /// \p stream: the length is unknown; data() is sent as it comes, in chunks. Without it the
    /// answer is sent by finish() with its length.
    virtual void head(int status, gsl::span<const HeaderField> headers, bool stream) = 0;
    virtual void data(std::string_view bytes) = 0;
    virtual void finish() = 0;
    /// Closes the connection without an end marker, so that the caller sees an incomplete answer.
    virtual void abort() = 0;
    /// Bytes passed to data() that have not been written to the caller yet.
    virtual std::size_t pendingBytes() const = 0;
    /// \p handler is called at most once, when the caller closes before finish().
    virtual void onCallerGone(std::function<void()> handler) = 0;
};

struct HttpServerOptions {
    /// `IP:PORT`; port 0 selects a free port.
    std::string address = "127.0.0.1:0";
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
    /// For the bodies of all requests together, until each is answered. A request that finds no
    /// room is answered with 503 before its body is read. Zero: unlimited.
    std::size_t maxTotalBodyBytes = 0;
    /// For the head and the body of one request together.
    Duration readTimeout = std::chrono::seconds(10);
    /// How long a connection may stay open between requests.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Connections beyond this are answered with 503 and closed.
    std::size_t maxConnections = 10'000;
};

using RequestHandler = std::function<void(HttpRequest, std::shared_ptr<ResponseSink>)>;

/// HTTP/1.1 for callers and operators. Malformed, oversized and slow requests are answered with a
/// JSON error and do not reach the handler.
class HttpServer
{
public:
    virtual ~HttpServer();
    /// The port in use.
    virtual std::uint16_t port() const = 0;
    /// Sends `Connection: close` with each further answer; still accepts connections.
    virtual void closeAfterAnswers() = 0;
    /// Accepts no more connections; open requests go on and their connections close afterwards.
    virtual void stopAccepting() = 0;
    virtual std::size_t openRequests() const = 0;
};

/// Fails with Unavailable when the address cannot be bound.
Expected<std::unique_ptr<HttpServer>> makeHttpServer(boost::asio::io_context &io,
                                                     HttpServerOptions options,
                                                     RequestHandler handler, Metrics &metrics);

} // namespace marigoldspool

#endif
