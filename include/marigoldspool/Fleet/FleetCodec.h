#ifndef MARIGOLDSPOOL_FLEET_FLEETCODEC_H
#define MARIGOLDSPOOL_FLEET_FLEETCODEC_H

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Serving/EndpointStatements.h"
#include "marigoldspool/Serving/OwnerLease.h"
#include "marigoldspool/Serving/PlacementPlanner.h"
#include "marigoldspool/Serving/ServingTypes.h"
#include "marigoldspool/Serving/UsageTypes.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldspool {

/// Fields that an instance adds to a request that it forwards to an endpoint.
struct SendContext {
    WorkspaceName workspace;
    /// Time in which the endpoint must answer.
    Duration timeLeft = Duration::zero();
    /// 0 is the highest priority; empty for endpoints that don't support priorities.
    std::optional<int> priority;
    /// Id of the event after which a stream resumes; empty for a new request.
    std::string lastEventId;
};

/// Metadata in the headers of an endpoint's response.
struct AnswerTraits {
    /// The endpoint states that it has not processed the request.
    bool notRun = false;
    /// The status tells callers that the request has not run, but the endpoint does not state it.
    bool isUnprovenRefusal = false;
    /// The endpoint is not the expected one, or does not have the model.
    bool misdirected = false;
    /// The response has the endpoint's signature.
    bool sealed = false;
    /// An intermediary has applied a content encoding to the body.
    bool encoded = false;
    /// The body is a stream of server-sent events.
    bool eventStream = false;
    /// The response repeats the request's id.
    bool echoed = false;
    /// The endpoint that has answered, if the response names it.
    EndpointId answeredBy;
    EndpointStatement statement;
};

/// Whether the response is that of \p endpoint, which the request named as the one that it expects.
/// Reports and answers to orders (\p isEngineCall) bear no mark of the endpoint.
bool isAnswerOf(const AnswerTraits &traits, const EndpointId &endpoint, bool isEngineCall);

/// Status that an engine reports.
struct EngineReport {
    /// Number of orders accepted since the engine started.
    std::uint64_t acceptedOrders = 0;
    std::int64_t startedAtMs = 0;
    bool busy = false;
    int active = 0;
    int queued = 0;
    LoadedModels models;
    std::set<std::pair<ModelName, std::string>> loadingAdapters;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
};

/// How an engine responds to a load or unload order.
enum class OrderOutcome {
    Accepted,
    /// The engine is already in the ordered state.
    AlreadyInEffect,
    /// Another order is in progress, or the engine has accepted a different number of orders than
    /// expected.
    Conflict,
    /// The engine rejects this order; sending it again cannot succeed.
    Rejected,
    /// A different engine answered at this address.
    WrongEndpoint,
};

/// Decodes the versions of a configuration that follow each other.
class ConfigurationDecoder
{
public:
    virtual ~ConfigurationDecoder();
    /// Fails with Malformed if any part of \p value is unreadable.
    virtual Expected<ServingConfiguration> decode(std::string_view value) = 0;
    /// Number of routes that the last call has decoded; the others were as before.
    virtual std::size_t decodedRoutes() const = 0;
};

/// Encodes and decodes the platform's HTTP messages and stored objects. Contains no policy.
class FleetCodec
{
public:
    virtual ~FleetCodec();

    /// \name Requests and responses
    /// \{
    virtual Expected<ServingRequest> decodeRequest(HttpRequest request) const = 0;
    virtual EndpointCall encodeCall(const ServingRequest &request, const ListedEndpoint &endpoint,
                                    const SendContext &context) const = 0;
    virtual AnswerTraits decodeAnswer(int status, gsl::span<const HeaderField> headers) const = 0;
    /// \}

    /// \name Orders to engines
    /// \{
    virtual EndpointCall encodeReportCall(const ListedEndpoint &endpoint) const = 0;
    virtual Expected<EngineReport> decodeReport(std::string_view body) const = 0;
    virtual EndpointCall encodeOrder(const ListedEndpoint &endpoint, const PlacementOrder &order,
                                     const InstanceId &holder, std::uint64_t fencingToken,
                                     std::uint64_t expectedOrders) const = 0;
    virtual Expected<OrderOutcome> decodeOrderAnswer(int status) const = 0;
    /// \}

    /// \name Calls to the control API at \p address
    /// \{
    virtual EndpointCall encodeUsageReport(const std::string &address,
                                           const UsageWindowReport &report,
                                           const InstanceId &holder,
                                           std::uint64_t fencingToken) const = 0;
    /// Orders how many endpoints \p pool has in \p zone.
    virtual EndpointCall encodeReplicaCount(const std::string &address, const PoolName &pool,
                                            const ZoneName &zone, int desired,
                                            const InstanceId &holder,
                                            std::uint64_t fencingToken) const = 0;
    /// \}

    /// \name Objects in the store
    /// \{
    virtual std::string configurationPrefix() const = 0;
    virtual std::string endpointPrefix() const = 0;
    virtual std::string evacuationPrefix() const = 0;
    virtual std::unique_ptr<ConfigurationDecoder> makeConfigurationDecoder() const = 0;
    virtual Expected<ListedEndpoint> decodeEndpoint(std::string_view name,
                                                    std::string_view value) const = 0;
    /// \}
};

} // namespace marigoldspool

#endif
