#ifndef MARIGOLDSPOOL_FLEET_FLEETWIRE_H
#define MARIGOLDSPOOL_FLEET_FLEETWIRE_H

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Serving/OwnerLease.h"
#include "marigoldspool/Serving/PlacementPlanner.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace marigoldspool {

/// What the system adds to a request on its way to an endpoint.
struct SendContext {
    WorkspaceName workspace;
    /// How long the endpoint may work.
    Duration timeLeft = Duration::zero();
    /// 0 is the most urgent; empty for endpoints that know no priorities.
    std::optional<int> priority;
    /// Resumes a stream after this event.
    std::string lastEventId;
};

/// What the head of an endpoint's answer says beside the answer itself.
struct AnswerTraits {
    /// The endpoint states that it has not run the request.
    bool notRun = false;
    /// The endpoint is not the expected one, or does not hold the model.
    bool absent = false;
    /// The answer bears the endpoint's signature.
    bool sealed = false;
    /// The body has been transformed on the way.
    bool encoded = false;
};

struct EngineReport {
    /// Orders accepted since the start.
    std::uint64_t orders = 0;
    std::int64_t startedAtMs = 0;
    bool busy = false;
    int active = 0;
    int queued = 0;
    LoadedModels models;
    std::set<std::pair<ModelName, std::string>> coming;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
};

enum class OrderOutcome {
    Accepted,
    /// What was ordered already holds.
    Holds,
    /// Another order is under way, or the number of orders is not the expected one.
    Conflict,
    /// The engine refuses this order for good.
    Rejected,
    /// The engine is another one than expected.
    WrongEndpoint,
};

/// Translates between the platform's names and this project's types. Holds no decision.
class FleetWire
{
public:
    virtual ~FleetWire();

    /// \name Requests and answers
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
                                     const InstanceId &holder, std::uint64_t fence,
                                     std::uint64_t expectedOrders) const = 0;
    virtual Expected<OrderOutcome> decodeOrderAnswer(int status) const = 0;
    /// \}

    /// \name Objects of the store
    /// \{
    virtual std::string configurationPrefix() const = 0;
    virtual std::string endpointPrefix() const = 0;
    virtual std::string evacuationPrefix() const = 0;
    virtual Expected<ServingConfiguration> decodeConfiguration(std::string_view value) const = 0;
    virtual Expected<ListedEndpoint> decodeEndpoint(std::string_view name,
                                                    std::string_view value) const = 0;
    /// \}
};

} // namespace marigoldspool

#endif
