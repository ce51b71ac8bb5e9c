#include "WebSocketTransport.h"

#include "marigoldspool/Support/IpAddress.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace marigoldspool {

namespace {

namespace opcode = websocketpp::frame::opcode;
using websocketpp::connection_hdl;

// websocketpp does not notify when it has released a connection, so this is polled.
constexpr std::chrono::milliseconds ReleasePollInterval(5);

/// Base class of websocketpp's connections.
struct ConnectionState {
    ConnectionId id = 0;
};

// One configuration for server and client gives their connections the same type. Everything runs on
// one thread, so locking is disabled. The member names are prescribed by websocketpp.
// NOLINTBEGIN(readability-identifier-naming)
struct PeerConfig : websocketpp::config::asio_client {
    using type = PeerConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type =
        websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    using connection_base = ConnectionState;
    // Handshakes have no body.
    static const std::size_t max_http_body_size = 4096;
    static const long timeout_open_handshake = 3000;

    struct transport_config : websocketpp::config::asio_client::transport_config {
        using concurrency_type = PeerConfig::concurrency_type;
        using elog_type = PeerConfig::elog_type;
        using alog_type = PeerConfig::alog_type;
        static const bool enable_multithreading = false;
        static const long timeout_connect = 3000;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};
// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<PeerConfig>;
using Client = websocketpp::client<PeerConfig>;
using Connection = Server::connection_type;
using ConnectionPtr = Server::connection_ptr;

ConnectionPtr lockConnection(const connection_hdl &handle)
{
    return std::static_pointer_cast<Connection>(handle.lock());
}

void closeSocket(Connection &connection)
{
    boost::system::error_code ec;
    connection.get_raw_socket().close(ec);
}

// Pending handlers of websocketpp refer to the endpoints in this object, so it outlives the
// Transport until they have run; see detach().
class TransportCore : public std::enable_shared_from_this<TransportCore>
{
public:
    TransportCore(boost::asio::io_context &io, std::size_t maxMessageBytes,
                  TransportListener &listener)
        : m_listener(&listener)
        , m_timer(io)
    {
        m_server.init_asio(&io);
        m_client.init_asio(&io);
        m_server.set_reuse_addr(true);
        prepareEndpoint(m_server, maxMessageBytes);
        prepareEndpoint(m_client, maxMessageBytes);
        m_server.set_tcp_pre_init_handler([this](const connection_hdl &handle) {
            registerConnection(*lockConnection(handle), handle);
        });
        m_server.set_validate_handler([this](const connection_hdl &handle) {
            return validate(*lockConnection(handle));
        });
        m_server.set_open_handler([this](const connection_hdl &handle) {
            onOpen(*lockConnection(handle), true);
        });
        m_client.set_open_handler([this](const connection_hdl &handle) {
            onOpen(*lockConnection(handle), false);
        });
    }

    Expected<void> listen(std::string_view address)
    {
        const auto parsed = splitAddress(address);
        if (!parsed) {
            return tl::unexpected<Error>(parsed.error());
        }
        websocketpp::lib::error_code ec;
        m_server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed->host),
                                                       parsed->port),
                        ec);
        if (!ec) {
            m_server.start_accept(ec);
        }
        if (ec) {
            return unexpectedError(
                ErrorKind::Unavailable,
                "listening on " + std::string(address) + ": " + ec.message(),
                "check that the address belongs to this host and that the port is free");
        }
        return {};
    }

    std::uint16_t port()
    {
        boost::system::error_code ec;
        return m_server.get_local_endpoint(ec).port();
    }

    ConnectionId dial(std::string_view address, gsl::span<const HeaderField> headers)
    {
        websocketpp::lib::error_code ec;
        const ConnectionPtr connection =
            m_client.get_connection("ws://" + std::string(address) + "/", ec);
        if (ec) {
            return 0;
        }
        for (const HeaderField &header : headers) {
            connection->append_header(header.name, header.value);
        }
        registerConnection(*connection, connection);
        m_client.connect(connection);
        return connection->id;
    }

    ConnectionPtr find(ConnectionId id) const
    {
        const auto it = m_connections.find(id);
        return it == m_connections.end() ? nullptr : lockConnection(it->second);
    }

    void forceClose(ConnectionId id)
    {
        if (const ConnectionPtr connection = find(id)) {
            closeSocket(*connection);
        }
    }

    void closeAll(gsl::span<const ConnectionId> open, Duration timeout,
                  std::function<void()> closed)
    {
        m_closedHandler = std::move(closed);
        stopListening();
        for (const ConnectionId id : open) {
            if (const ConnectionPtr connection = find(id)) {
                websocketpp::lib::error_code ec;
                connection->close(websocketpp::close::status::going_away, "", ec);
            }
        }
        for (const auto &[id, handle] : m_connections) {
            if (std::find(open.begin(), open.end(), id) == open.end()) {
                forceClose(id);
            }
        }
        scheduleAwaitClosed(std::chrono::steady_clock::now() + timeout);
    }

    /// Force-closes all connections and keeps this object alive until no pending handler refers to
    /// it.
    void detach()
    {
        m_listener = nullptr;
        m_closedHandler = nullptr;
        m_timer.cancel();
        stopListening();
        forceCloseAll();
        awaitReleased();
    }

private:
    template <class Endpoint>
    void prepareEndpoint(Endpoint &endpoint, std::size_t maxMessageBytes)
    {
        endpoint.set_max_message_size(maxMessageBytes);
        endpoint.set_tcp_post_init_handler([](const connection_hdl &handle) {
            boost::system::error_code ec;
            lockConnection(handle)->get_raw_socket().set_option(
                boost::asio::ip::tcp::no_delay(true), ec);
        });
        endpoint.set_message_handler(
            [this](const connection_hdl &handle, const Server::message_ptr &message) {
                onMessage(lockConnection(handle)->id, *message);
            });
        endpoint.set_ping_handler([this](const connection_hdl &handle, const std::string &) {
            onControlFrame(lockConnection(handle)->id);
            return true;
        });
        endpoint.set_pong_handler([this](const connection_hdl &handle, const std::string &) {
            onControlFrame(lockConnection(handle)->id);
        });
        endpoint.set_close_handler([this](const connection_hdl &handle) {
            onClosed(*lockConnection(handle));
        });
        endpoint.set_fail_handler([this](const connection_hdl &handle) {
            onClosed(*lockConnection(handle));
        });
    }

    void registerConnection(ConnectionState &connection, connection_hdl handle)
    {
        connection.id = ++m_lastId;
        m_connections.emplace(connection.id, std::move(handle));
    }

    bool validate(Connection &connection)
    {
        if (m_listener == nullptr) {
            return false;
        }
        const HandshakeAnswer answer =
            m_listener->onHandshakeRequest(connection.id, [&](const char *name) {
                return connection.get_request_header(name);
            });
        if (!answer) {
            connection.set_status(
                static_cast<websocketpp::http::status_code::value>(answer.error()));
            return false;
        }
        for (const HeaderField &header : *answer) {
            connection.append_header(header.name, header.value);
        }
        return true;
    }

    void onOpen(Connection &connection, bool accepted)
    {
        if (m_listener == nullptr) {
            closeSocket(connection);
        } else if (accepted) {
            m_listener->onAccepted(connection.id);
        } else {
            m_listener->onDialled(connection.id, [&](const char *name) {
                return connection.get_response_header(name);
            });
        }
    }

    void onMessage(ConnectionId id, const PeerConfig::message_type &message)
    {
        if (m_listener != nullptr) {
            const std::string &payload = message.get_payload();
            m_listener->onFrame(
                id, message.get_opcode() == opcode::binary,
                {reinterpret_cast<const std::uint8_t *>(payload.data()), payload.size()});
        }
    }

    void onControlFrame(ConnectionId id)
    {
        if (m_listener != nullptr) {
            m_listener->onControlFrame(id);
        }
    }

    void onClosed(const Connection &connection)
    {
        if (m_listener != nullptr) {
            m_listener->onClosed(connection.id, connection.get_ec().message());
        }
        removeReleased();
    }

    void stopListening()
    {
        if (m_server.is_listening()) {
            websocketpp::lib::error_code ec;
            m_server.stop_listening(ec);
        }
    }

    void forceCloseAll()
    {
        for (const auto &[id, handle] : m_connections) {
            forceClose(id);
        }
    }

    void removeReleased()
    {
        for (auto it = m_connections.begin(); it != m_connections.end();) {
            it = it->second.expired() ? m_connections.erase(it) : std::next(it);
        }
    }

    void awaitClosed(std::chrono::steady_clock::time_point deadline)
    {
        removeReleased();
        const bool timedOut = std::chrono::steady_clock::now() >= deadline;
        if (timedOut) {
            forceCloseAll();
        }
        if (timedOut || m_connections.empty()) {
            if (const auto closed = std::exchange(m_closedHandler, nullptr)) {
                closed();
            }
            return;
        }
        scheduleAwaitClosed(deadline);
    }

    void scheduleAwaitClosed(std::chrono::steady_clock::time_point deadline)
    {
        m_timer.expires_after(ReleasePollInterval);
        m_timer.async_wait(
            [this, self = shared_from_this(), deadline](boost::system::error_code ec) {
                if (!ec && m_listener != nullptr) {
                    awaitClosed(deadline);
                }
            });
    }

    void awaitReleased()
    {
        removeReleased();
        // Polls once more after the last connection is released, because the cancelled accept is
        // not in m_connections.
        m_timer.expires_after(ReleasePollInterval);
        m_timer.async_wait([this, self = shared_from_this(),
                            again = !m_connections.empty()](boost::system::error_code ec) {
            if (!ec && again) {
                awaitReleased();
            }
        });
    }

    /// Null once the transport is destroyed.
    TransportListener *m_listener;
    boost::asio::steady_timer m_timer;
    Server m_server;
    Client m_client;
    std::function<void()> m_closedHandler;
    /// Every connection that may still have handlers pending.
    std::map<ConnectionId, connection_hdl> m_connections;
    ConnectionId m_lastId = 0;
};

class Transport final : public WebSocketTransport
{
public:
    explicit Transport(std::shared_ptr<TransportCore> core)
        : m_core(std::move(core))
    { }
    ~Transport() override { m_core->detach(); }

    Expected<void> listen(std::string_view address) override { return m_core->listen(address); }
    std::uint16_t port() override { return m_core->port(); }

    ConnectionId dial(std::string_view address, gsl::span<const HeaderField> headers) override
    {
        return m_core->dial(address, headers);
    }

    bool send(ConnectionId id, gsl::span<const std::uint8_t> bytes) override
    {
        const ConnectionPtr connection = m_core->find(id);
        return connection != nullptr
            && !connection->send(bytes.data(), bytes.size(), opcode::binary);
    }

    std::size_t queuedBytes(ConnectionId id) override
    {
        const ConnectionPtr connection = m_core->find(id);
        return connection == nullptr ? 0 : connection->get_buffered_amount();
    }

    void ping(ConnectionId id) override
    {
        if (const ConnectionPtr connection = m_core->find(id)) {
            websocketpp::lib::error_code ec;
            connection->ping("", ec);
        }
    }

    void forceClose(ConnectionId id) override { m_core->forceClose(id); }

    void closeAll(gsl::span<const ConnectionId> open, Duration timeout,
                  std::function<void()> closed) override
    {
        m_core->closeAll(open, timeout, std::move(closed));
    }

private:
    std::shared_ptr<TransportCore> m_core;
};

} // namespace

TransportListener::~TransportListener() = default;

WebSocketTransport::~WebSocketTransport() = default;

std::unique_ptr<WebSocketTransport> makeWebSocketTransport(boost::asio::io_context &io,
                                                           std::size_t maxMessageBytes,
                                                           TransportListener &listener)
{
    return std::make_unique<Transport>(
        std::make_shared<TransportCore>(io, maxMessageBytes, listener));
}

} // namespace marigoldspool
