#ifndef MARIGOLDSPOOL_CONFIG_CONFIGURATION_H
#define MARIGOLDSPOOL_CONFIG_CONFIGURATION_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

enum class ZoneState {
    Serving,
    Drained,
};

/// One availability zone.
struct ZoneRule {
    ZoneName name;
    ZoneState state = ZoneState::Serving;
    /// This zone's share of each workspace's rate and burst, relative to the weights of other
    /// zones.
    double weight = 1;
    std::string requestedBy;
};

enum class EndpointKind {
    Engine,
    Service,
};

enum class EndpointState {
    Serving,
    Leaving,
};

/// Whether an endpoint rejects an order with an outdated fencing number.
enum class FencingMode {
    Checked,
    Ignored,
};

struct EndpointRule {
    EndpointId id;
    ZoneName zone;
    std::string address;
    EndpointKind kind = EndpointKind::Engine;
    std::uint64_t memoryBytes = 0;
    /// Concurrent requests when warm.
    int slots = 1;
    /// Concurrent requests when freshly started or cold.
    int freshSlots = 1;
    FencingMode fencing = FencingMode::Ignored;
    /// Services of one pool are interchangeable.
    std::string pool;
    EndpointState state = EndpointState::Serving;
    std::string requestedBy;
};

enum class ModelKind {
    Model,
    Adapter,
};

struct ModelRule {
    ModelName name;
    std::string version;
    ModelKind kind = ModelKind::Model;
    /// The model an adapter belongs to; empty for models.
    ModelName base;
    std::uint64_t memoryBytes = 0;
    std::uint64_t kvBytes = 0;
    /// Zones in which it may run; empty means any.
    std::vector<ZoneName> zones;
    int minReplicas = 0;
    int maxReplicas = 1;
    std::string requestedBy;
};

/// Whether a disconnected instance accepts a workspace's keys once its configuration is
/// unconfirmed.
enum class OutageKeys {
    Serve,
    Refuse,
};

struct WorkspaceRule {
    WorkspaceName name;
    /// Tokens per second, over all instances together.
    double rate = 0;
    /// Tokens.
    double burst = 0;
    /// Weight in fair queues.
    double share = 1;
    OutageKeys outageKeys = OutageKeys::Serve;
    std::string requestedBy;
};

enum class KeyState {
    Active,
    Withdrawn,
};

struct KeyRule {
    WorkspaceName workspace;
    KeyDigest digest;
    KeyState state = KeyState::Active;
    std::string requestedBy;
};

enum class RouteKind {
    Model,
    Service,
};

struct RouteRule {
    RouteName name;
    RouteKind kind = RouteKind::Model;
    /// Matches this path and everything below it.
    std::string path;
    /// The pool of services that answers; empty for model routes.
    std::string pool;
    /// Requests need no key.
    bool open = false;
    bool idempotent = false;
    Duration deadline = std::chrono::seconds(30);
    /// Tokens charged for one call of a service.
    double cost = 1;
    /// Workspaces that may use the route; empty means all.
    std::vector<WorkspaceName> workspaces;
    std::string requestedBy;
};

/// All rules of one version in file order, not validated.
struct RuleSet {
    std::vector<ZoneRule> zones;
    std::vector<EndpointRule> endpoints;
    std::vector<ModelRule> models;
    std::vector<WorkspaceRule> workspaces;
    std::vector<KeyRule> keys;
    std::vector<RouteRule> routes;
};

/// An immutable snapshot of validated rules.
class Configuration
{
public:
    /// \p rules must be free of duplicates and dangling references; parseRules() checks that.
    explicit Configuration(RuleSet rules);

    /// Each find function returns null when there is no such rule.
    const ZoneRule *findZone(std::string_view name) const;
    const EndpointRule *findEndpoint(std::string_view id) const;
    const ModelRule *findModel(std::string_view name) const;
    const WorkspaceRule *findWorkspace(std::string_view name) const;
    const KeyRule *findKey(std::string_view digest) const;
    /// The route with the longest path that is \p path itself or a parent of it.
    const RouteRule *findRouteByPath(std::string_view path) const;

    gsl::span<const ZoneRule> zones() const { return m_rules.zones; }
    gsl::span<const EndpointRule> endpoints() const { return m_rules.endpoints; }
    gsl::span<const ModelRule> models() const { return m_rules.models; }
    gsl::span<const WorkspaceRule> workspaces() const { return m_rules.workspaces; }
    gsl::span<const KeyRule> keys() const { return m_rules.keys; }
    gsl::span<const RouteRule> routes() const { return m_rules.routes; }

    /// False when the zone is unknown or drained.
    bool isZoneServing(const ZoneName &zone) const;
    /// Whether \p model may run in \p zone and the zone is serving.
    bool canRunIn(const ModelRule &model, const ZoneName &zone) const;

private:
    using Index = std::unordered_map<std::string, std::size_t>;

    RuleSet m_rules;
    Index m_zoneIndex;
    Index m_endpointIndex;
    Index m_modelIndex;
    Index m_workspaceIndex;
    Index m_keyIndex;
};

} // namespace marigoldspool

#endif
