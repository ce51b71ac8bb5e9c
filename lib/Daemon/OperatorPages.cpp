#include "Daemon/OperatorPages.h"

#include "marigoldspool/Routing/HomeSelector.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

// A store that has not answered for this long counts as unreachable.
constexpr Duration MaxStoreSilence = std::chrono::seconds(15);

void addStep(ExplainAnswer &answer, std::string check, bool passed, std::string detail)
{
    answer.steps.push_back({std::move(check), passed, std::move(detail)});
}

void recordRefusal(ExplainAnswer &answer, std::string check, RefusalReason reason,
                   std::string message, std::string remedy)
{
    addStep(answer, std::move(check), false, message);
    answer.outcome = ExplainOutcome::Refused;
    answer.reason = reason;
    answer.message = std::move(message);
    answer.remedy = std::move(remedy);
}

bool isForTarget(const EndpointRule &rule, const Target &target)
{
    return target.isModel() ? rule.kind == EndpointKind::Engine
                            : rule.kind == EndpointKind::Service && rule.pool == target.pool;
}

} // namespace

OperatorPages::OperatorPages(Runtime &runtime, ConfigService &config, PeerService &peers,
                             LimitsService &limits, HomeService &home, PlacementService &placement)
    : m_runtime(runtime)
    , m_config(config)
    , m_peers(peers)
    , m_limits(limits)
    , m_home(home)
    , m_placement(placement)
    , m_startedAt(runtime.clock.now())
{ }

InstanceStatus OperatorPages::status(bool ready) const
{
    InstanceStatus status;
    const LimitSnapshot limits = m_limits.snapshot();
    status.instance = m_runtime.settings.instance;
    status.zone = m_runtime.settings.zone;
    status.incarnation = m_runtime.incarnation;
    status.startedMs = static_cast<std::int64_t>(m_runtime.incarnation);
    status.ready = ready;
    status.stopping = m_runtime.stopping;
    status.configVersion = m_config.replica().version();
    status.configAgeMs = m_config.replica().confirmedAgeMs();
    status.storeReachable = m_runtime.clock.now() - m_peers.lastStoreReplyAt() < MaxStoreSilence;
    status.rosterEpoch = limits.rosterEpoch;
    status.share = limits.share;
    status.peers = peerStatus();
    status.endpoints = endpointStatus();
    status.models = modelStatus();
    for (const auto &[target, length] : m_home.dispatcher().queueLengths()) {
        status.queues.push_back({target, length});
    }
    return status;
}

std::vector<InstanceStatus::Peer> OperatorPages::peerStatus() const
{
    std::vector<InstanceStatus::Peer> peers;
    const SteadyTime now = m_runtime.clock.now();
    for (const PeerInfo &info : m_peers.table().alivePeers()) {
        InstanceStatus::Peer peer;
        peer.id = info.id;
        peer.zone = info.zone;
        peer.address = info.address;
        peer.state =
            info.stopping ? InstanceStatus::PeerState::Stopping : InstanceStatus::PeerState::Alive;
        peer.configVersion = info.configVersion;
        peer.silentMs = toMilliseconds(now - info.lastHeard);
        peers.push_back(std::move(peer));
    }
    return peers;
}

std::vector<InstanceStatus::Endpoint> OperatorPages::endpointStatus() const
{
    std::vector<InstanceStatus::Endpoint> endpoints;
    for (const Dispatcher::EndpointSnapshot &view : m_home.dispatcher().endpointSnapshots()) {
        const EndpointRule *rule = m_config.current()->findEndpoint(view.id.str());
        if (rule == nullptr) {
            continue;
        }
        InstanceStatus::Endpoint endpoint;
        endpoint.id = view.id;
        endpoint.zone = rule->zone;
        endpoint.state = rule->state == EndpointState::Leaving
            ? InstanceStatus::EndpointState::Leaving
            : InstanceStatus::EndpointState::Serving;
        if (!m_placement.isReachable(view.id)) {
            endpoint.state = InstanceStatus::EndpointState::Unreachable;
        }
        endpoint.slots = view.slots;
        endpoint.inFlight = view.inFlight;
        endpoint.fresh = view.slots < rule->slots;
        endpoints.push_back(std::move(endpoint));
    }
    return endpoints;
}

std::vector<InstanceStatus::Model> OperatorPages::modelStatus() const
{
    std::vector<InstanceStatus::Model> models;
    for (const ModelRule &rule : m_config.current()->models()) {
        std::vector<EndpointId> ready = m_placement.engine().readyEndpoints(rule.name);
        if (!ready.empty()) {
            models.push_back({rule.name, InstanceStatus::ModelState::Ready, std::move(ready)});
        }
    }
    return models;
}

std::string OperatorPages::explain(std::string_view query) const
{
    const Expected<ExplainRequest> request = parseExplainTarget("/explain?" + std::string(query));
    if (!request) {
        const nlohmann::json error{{"error",
                                    {{"code", "malformed"},
                                     {"message", request.error().message},
                                     {"remedy", request.error().remedy}}}};
        return error.dump();
    }
    return serializeExplanation(explainRequest(*request));
}

bool OperatorPages::checkCaller(const ExplainRequest &request, ExplainAnswer &answer) const
{
    const Configuration &configuration = *m_config.current();
    const RouteRule *route = configuration.findRouteByPath(request.path);
    if (route == nullptr) {
        recordRefusal(answer, "route", RefusalReason::RouteUnknown,
                      "no route matches " + request.path, "add a route rule or correct the path");
        return false;
    }
    answer.route = route->name;
    answer.cost = route->kind == RouteKind::Service ? route->cost : 0;
    addStep(answer, "route", true, "route " + route->name.str());
    if (route->open) {
        addStep(answer, "workspace", true, "the route is open to all");
        return true;
    }
    if (configuration.findWorkspace(request.workspace.str()) == nullptr) {
        recordRefusal(answer, "workspace", RefusalReason::KeyUnknown,
                      "there is no workspace " + request.workspace.str(), "add a workspace rule");
        return false;
    }
    const auto &allowed = route->workspaces;
    if (!allowed.empty()
        && std::find(allowed.begin(), allowed.end(), request.workspace) == allowed.end()) {
        recordRefusal(answer, "workspace", RefusalReason::ModelNotAllowed,
                      "workspace " + request.workspace.str() + " may not use the route",
                      "add it to the route's workspaces");
        return false;
    }
    addStep(answer, "workspace", true, "workspace " + request.workspace.str());
    return true;
}

ExplainAnswer OperatorPages::explainRequest(const ExplainRequest &request) const
{
    ExplainAnswer answer;
    answer.instance = m_runtime.settings.instance;
    answer.configVersion = m_config.replica().version();
    if (!checkCaller(request, answer)) {
        return answer;
    }
    const Configuration &configuration = *m_config.current();
    const RouteRule *route = configuration.findRouteByPath(request.path);
    const bool isModel = route->kind == RouteKind::Model;
    if (isModel && configuration.findModel(request.model.str()) == nullptr) {
        recordRefusal(answer, "model", RefusalReason::ModelUnknown,
                      "there is no model " + request.model.str(), "add a model rule");
        return answer;
    }
    const Target target = isModel ? Target{request.model, {}} : Target{{}, route->pool};
    addStep(answer, "model", true, target.key());
    const auto home = selectHome(configuration, m_peers.table(), target, m_runtime.settings.zone);
    if (!home) {
        recordRefusal(answer, "home", home.error().reason, home.error().message,
                      home.error().remedy);
        return answer;
    }
    answer.home = home->instance;
    addStep(answer, "home", true,
            "instance " + home->instance.str() + " in zone " + home->zone.str());
    explainEndpoints(target, answer);
    return answer;
}

void OperatorPages::explainEndpoints(const Target &target, ExplainAnswer &answer) const
{
    const Configuration &configuration = *m_config.current();
    const std::vector<EndpointId> ready = m_placement.engine().readyEndpoints(target.model);
    bool anyEligible = false;
    for (const EndpointRule &rule : configuration.endpoints()) {
        if (!isForTarget(rule, target)) {
            continue;
        }
        ExplainAnswer::Endpoint endpoint{rule.id, rule.zone, false, {}};
        const bool loaded =
            !target.isModel() || std::find(ready.begin(), ready.end(), rule.id) != ready.end();
        if (!configuration.isZoneServing(rule.zone)) {
            endpoint.reason = "its zone is drained";
        } else if (rule.state == EndpointState::Leaving) {
            endpoint.reason = "it is leaving";
        } else if (!loaded) {
            endpoint.reason = "the model is not loaded there, as far as this instance knows";
        } else {
            endpoint.eligible = true;
            endpoint.reason = "it accepts requests";
        }
        anyEligible = anyEligible || endpoint.eligible;
        answer.endpoints.push_back(std::move(endpoint));
    }
    answer.outcome = anyEligible ? ExplainOutcome::Served : ExplainOutcome::Queued;
    answer.message = anyEligible ? "an endpoint can take the request now"
                                 : "the request waits until the model is loaded";
    addStep(answer, "endpoint", anyEligible, answer.message);
}

} // namespace marigoldspool
