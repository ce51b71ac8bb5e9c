#include "marigoldspool/Gateway/HttpServer.h"

#include "EndpointAddress.h"
#include "HttpConnection.h"

#include "marigoldspool/Support/EventLog.h"

#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldspool {

namespace asio = boost::asio;
using asio::ip::tcp;

ResponseSink::~ResponseSink() = default;
HttpServer::~HttpServer() = default;

namespace {

// Delay after a failed accept: retrying at once, e.g. without free file descriptors, would spin.
constexpr std::chrono::milliseconds AcceptRetryDelay(100);

// Maximum number of connections being refused; further ones are closed without an answer.
constexpr std::size_t MaxRefusedConnections = 256;

class Listener final : public std::enable_shared_from_this<Listener>
{
public:
    Listener(asio::io_context &io, std::shared_ptr<HttpServerContext> context)
        : m_acceptor(io)
        , m_pause(io)
        , m_context(std::move(context))
    { }

    boost::system::error_code open(const tcp::endpoint &endpoint)
    {
        boost::system::error_code ec;
        m_acceptor.open(endpoint.protocol(), ec);
        if (!ec) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        }
        if (!ec) {
            m_acceptor.bind(endpoint, ec);
        }
        if (!ec) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        }
        if (!ec) {
            m_port = m_acceptor.local_endpoint(ec).port();
        }
        return ec;
    }

    void start()
    {
        m_context->onClosed = [this](const std::shared_ptr<HttpConnection> &connection) {
            m_connections.erase(connection);
            m_refused.erase(connection);
        };
        accept();
    }

    void stopAccepting()
    {
        m_context->stopping = true;
        boost::system::error_code ec;
        m_acceptor.close(ec);
        m_pause.cancel();
        const auto connections = m_connections;
        for (const auto &connection : connections) {
            connection->closeIfIdle();
        }
    }

    void shutDown()
    {
        stopAccepting();
        m_context->onClosed = nullptr;
        for (const auto &connection : m_connections) {
            connection->close();
        }
        for (const auto &connection : m_refused) {
            connection->close();
        }
        m_connections.clear();
        m_refused.clear();
    }

    std::uint16_t port() const { return m_port; }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](const boost::system::error_code &ec, tcp::socket socket) {
                if (!self->m_acceptor.is_open()) {
                    return;
                }
                if (ec) {
                    self->pauseAccepting(ec);
                    return;
                }
                self->admit(std::move(socket));
                self->accept();
            });
    }

    void pauseAccepting(const boost::system::error_code &cause)
    {
        logEvent(LogLevel::Warning, "accept_failed", {{"cause", cause.message()}});
        m_context->metrics.add("marigoldspool_http_accept_failures_total");
        m_pause.expires_after(AcceptRetryDelay);
        m_pause.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec) {
                self->accept();
            }
        });
    }

    void admit(tcp::socket socket)
    {
        boost::system::error_code ec;
        socket.non_blocking(true, ec);
        if (!ec) {
            socket.set_option(tcp::no_delay(true), ec);
        }
        if (ec) {
            return;
        }
        const bool isFull = m_connections.size() >= m_context->options.maxConnections;
        if (isFull && m_refused.size() >= MaxRefusedConnections) {
            m_context->metrics.countRefusal(RefusalReason::NoCapacity);
            return;
        }
        const auto connection = std::make_shared<HttpConnection>(std::move(socket), m_context);
        if (isFull) {
            m_refused.insert(connection);
            connection->refuse({RefusalReason::NoCapacity, 503, "too many connections are open",
                                "use kept-alive connections or another instance"});
            return;
        }
        m_connections.insert(connection);
        connection->start();
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_pause;
    std::shared_ptr<HttpServerContext> m_context;
    std::unordered_set<std::shared_ptr<HttpConnection>> m_connections;
    std::unordered_set<std::shared_ptr<HttpConnection>> m_refused;
    std::uint16_t m_port = 0;
};

class BeastHttpServer final : public HttpServer
{
public:
    BeastHttpServer(std::shared_ptr<Listener> listener, std::shared_ptr<HttpServerContext> context)
        : m_listener(std::move(listener))
        , m_context(std::move(context))
    { }

    ~BeastHttpServer() override { m_listener->shutDown(); }

    std::uint16_t port() const override { return m_listener->port(); }
    void closeAfterAnswers() override { m_context->stopping = true; }
    void stopAccepting() override { m_listener->stopAccepting(); }
    std::size_t openRequests() const override { return m_context->openRequests; }

private:
    std::shared_ptr<Listener> m_listener;
    std::shared_ptr<HttpServerContext> m_context;
};

} // namespace

Expected<std::unique_ptr<HttpServer>> makeHttpServer(asio::io_context &io,
                                                     HttpServerOptions options,
                                                     RequestHandler handler, Metrics &metrics)
{
    const Expected<tcp::endpoint> endpoint = parseEndpoint(options.address);
    if (!endpoint) {
        return tl::unexpected<Error>(endpoint.error());
    }
    const auto context =
        std::make_shared<HttpServerContext>(std::move(options), std::move(handler), metrics);
    const auto listener = std::make_shared<Listener>(io, context);
    const boost::system::error_code ec = listener->open(*endpoint);
    if (ec) {
        return unexpectedError(ErrorKind::Unavailable,
                               "cannot listen on " + context->options.address + ": " + ec.message(),
                               "choose a free address of this machine");
    }
    listener->start();
    return std::unique_ptr<HttpServer>(std::make_unique<BeastHttpServer>(listener, context));
}

} // namespace marigoldspool
