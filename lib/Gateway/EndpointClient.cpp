#include "marigoldspool/Gateway/EndpointClient.h"

#include "EndpointAddress.h"
#include "EndpointConnection.h"

#include "marigoldspool/Http/HttpFields.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/post.hpp>

namespace marigoldspool {

EndpointCallHandler::~EndpointCallHandler() = default;
EndpointClient::~EndpointClient() = default;

namespace {

using ConnectionPtr = std::shared_ptr<EndpointConnection>;

// A caller that reuses one id needs a new connection for each request. Beyond this number of idle
// ones that cannot carry it, one is closed, since endpoints reset connections above their limit.
constexpr std::size_t MaxUnsuitableIdle = 8;

class PooledEndpointClient final : public EndpointClient
{
public:
    PooledEndpointClient(boost::asio::io_context &io, const Clock &clock, Metrics &metrics)
        : m_context(std::make_shared<EndpointClientContext>(io, clock, metrics))
    {
        m_context->onReusable = [this](const ConnectionPtr &connection) {
            m_idle[connection->address()].push_back(connection);
        };
        m_context->onClosed = [this](const ConnectionPtr &connection) {
            forget(connection);
        };
        m_context->onCallEnded = [this](const RequestId &id, EndpointConnection *connection) {
            endCall(id, connection);
        };
    }

    ~PooledEndpointClient() override
    {
        const auto connections = m_connections;
        for (const ConnectionPtr &connection : connections) {
            connection->close();
        }
    }

    ConnectionUse call(EndpointCall call, std::shared_ptr<EndpointCallHandler> handler) override
    {
        const auto endpoint = parseEndpoint(call.address);
        if (!endpoint || !isToken(call.method) || !isWritableTarget(call.target)) {
            refuse(std::move(handler));
            return {};
        }
        const RequestId id = call.id;
        if (const ConnectionPtr idle = takeIdle(call)) {
            m_calls.emplace(id, idle);
            idle->send(std::move(call), std::move(handler));
            return idle->use();
        }
        const auto connection = std::make_shared<EndpointConnection>(m_context, call.address);
        m_connections.insert(connection);
        m_calls.emplace(id, connection);
        connection->connect(*endpoint, std::move(call), std::move(handler));
        return connection->use();
    }

    void cancel(const RequestId &id) override
    {
        const auto [begin, end] = m_calls.equal_range(id);
        std::vector<ConnectionPtr> connections;
        std::transform(begin, end, std::back_inserter(connections), [](const auto &entry) {
            return entry.second;
        });
        for (const ConnectionPtr &connection : connections) {
            connection->close();
        }
    }

    void cancel(const RequestId &id, const EndpointCallHandler &handler) override
    {
        const auto [begin, end] = m_calls.equal_range(id);
        const auto it = std::find_if(begin, end, [&handler](const auto &entry) {
            return entry.second->isCalledBy(handler);
        });
        if (it != end) {
            const ConnectionPtr connection = it->second;
            connection->close();
        }
    }

    void closeIdle(const std::string &address) override
    {
        const auto it = m_idle.find(address);
        if (it == m_idle.end()) {
            return;
        }
        // A copy, since each connection that is closed removes itself.
        const std::vector<ConnectionPtr> idle = it->second;
        for (const ConnectionPtr &connection : idle) {
            connection->close();
        }
    }

private:
    void refuse(std::shared_ptr<EndpointCallHandler> handler)
    {
        boost::asio::post(m_context->io, [handler = std::move(handler)] {
            handler->onFailure(SendStage::NotSent,
                               makeError(ErrorKind::InvalidArgument,
                                         "the address, method or target of the call is invalid",
                                         "give IP:PORT, a method and a path"));
        });
    }

    // The connection used last is the least likely to be closed by the endpoint.
    ConnectionPtr takeIdle(const EndpointCall &call)
    {
        const auto it = m_idle.find(call.address);
        std::size_t unsuitableCount = 0;
        ConnectionPtr unsuitable;
        for (std::size_t i = it == m_idle.end() ? 0 : it->second.size(); i > 0; --i) {
            ConnectionPtr connection = it->second[i - 1];
            if (!connection->canCarry(call)) {
                ++unsuitableCount;
                unsuitable = std::move(connection);
                continue;
            }
            if (connection->isReusable()) {
                it->second.erase(it->second.begin() + static_cast<std::ptrdiff_t>(i) - 1);
                return connection;
            }
            // Erases the connection from the list, and the map's entry when it was the last one.
            connection->close();
        }
        if (unsuitableCount >= MaxUnsuitableIdle) {
            unsuitable->close();
        }
        return nullptr;
    }

    void forget(const ConnectionPtr &connection)
    {
        m_connections.erase(connection);
        const auto it = m_idle.find(connection->address());
        if (it == m_idle.end()) {
            return;
        }
        auto &idle = it->second;
        idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
        if (idle.empty()) {
            m_idle.erase(it);
        }
    }

    void endCall(const RequestId &id, EndpointConnection *connection)
    {
        const auto [begin, end] = m_calls.equal_range(id);
        const auto it = std::find_if(begin, end, [connection](const auto &entry) {
            return entry.second.get() == connection;
        });
        if (it != end) {
            m_calls.erase(it);
        }
    }

    std::shared_ptr<EndpointClientContext> m_context;
    std::unordered_set<ConnectionPtr> m_connections;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> m_idle;
    std::unordered_multimap<RequestId, ConnectionPtr> m_calls;
};

} // namespace

std::unique_ptr<EndpointClient> makeEndpointClient(boost::asio::io_context &io, const Clock &clock,
                                                   Metrics &metrics)
{
    return std::make_unique<PooledEndpointClient>(io, clock, metrics);
}

} // namespace marigoldspool
