#include "Daemon/ConfigService.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

namespace marigoldspool {

namespace {

constexpr std::size_t WatchersPerZone = 2;
constexpr Duration TickInterval = std::chrono::milliseconds(100);
// An instance whose peers have not confirmed its configuration for this long reads the store
// itself, so that a withdrawal arrives within seconds even when the watching instances have failed.
constexpr Duration UnconfirmedFetchThreshold = std::chrono::seconds(6);
constexpr Duration FetchInterval = std::chrono::seconds(3);
constexpr Duration TransferRequestInterval = std::chrono::milliseconds(500);

template <class Rule>
std::vector<Rule> toVector(gsl::span<const Rule> rules)
{
    return {rules.begin(), rules.end()};
}

std::shared_ptr<const Configuration> withLeavingEndpoints(const Configuration &configuration,
                                                          const std::set<std::string> &leaving)
{
    RuleSet rules;
    rules.zones = toVector(configuration.zones());
    rules.endpoints = toVector(configuration.endpoints());
    rules.models = toVector(configuration.models());
    rules.workspaces = toVector(configuration.workspaces());
    rules.keys = toVector(configuration.keys());
    rules.routes = toVector(configuration.routes());
    for (EndpointRule &endpoint : rules.endpoints) {
        if (leaving.count(endpoint.id.str()) > 0) {
            endpoint.state = EndpointState::Leaving;
        }
    }
    return std::make_shared<Configuration>(std::move(rules));
}

} // namespace

ConfigService::ConfigService(Runtime &runtime, PeerService &peers)
    : m_runtime(runtime)
    , m_peers(peers)
    , m_replica(runtime.clock, runtime.metrics)
    , m_effective(m_replica.current())
    , m_watcher(*runtime.store, runtime.clock, runtime.random,
                WatcherOptions{std::string(ConfigRootKey)}, *this)
    , m_timer(runtime.io)
{
    peers.addListener(*this);
    peers.setEndpointCheck([this](std::string_view id) {
        return m_effective->findEndpoint(id) != nullptr;
    });
    peers.addHeartbeatSource([this](Heartbeat &heartbeat) {
        heartbeat.configVersion = m_replica.version();
        heartbeat.configAgeMs = m_replica.confirmedAgeMs();
    });
}

Expected<void> ConfigService::start()
{
    m_timer.start(TickInterval, [this] {
        onTick();
    });
    fetch(m_runtime.clock.now());
    return {};
}

void ConfigService::stop(std::function<void()> stopped)
{
    m_timer.stop();
    m_watcher.stop();
    m_watching = false;
    stopped();
}

bool ConfigService::isWatcher() const
{
    const ZoneName &zone = m_runtime.settings.zone;
    const std::vector<InstanceId> order =
        rendezvousOrder("config-watch/" + zone.str(), m_peers.table().candidatesInZone(zone));
    const auto end =
        order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), WatchersPerZone));
    return std::find(order.begin(), end, m_runtime.settings.instance) != end;
}

void ConfigService::onTick()
{
    const bool watch = isWatcher();
    if (watch != m_watching) {
        m_watching = watch;
        if (watch) {
            m_watcher.start();
        } else {
            m_watcher.stop();
        }
    }
    m_watcher.onTick();
    m_runtime.metrics.set("marigoldspool_config_version", static_cast<double>(m_replica.version()));
    const SteadyTime now = m_runtime.clock.now();
    const bool behind = m_newestRootVersion > m_replica.version();
    if ((behind || m_replica.timeSinceConfirmation() > UnconfirmedFetchThreshold)
        && now >= m_nextFetch) {
        fetch(now);
    }
}

void ConfigService::fetch(SteadyTime asOf)
{
    if (m_fetching) {
        return;
    }
    m_fetching = true;
    m_nextFetch = asOf + FetchInterval;
    fetchConfig(
        *m_runtime.store,
        [this, asOf](const Expected<VersionedRules> &rules) {
            m_fetching = false;
            if (!rules) {
                return;
            }
            offer(rules->version, rules->text, "store");
            m_replica.confirmCurrent(rules->version, asOf);
        },
        m_replica.rules());
}

void ConfigService::offer(std::uint64_t version, std::string_view rules, std::string_view source)
{
    const std::uint64_t before = m_replica.version();
    if (version <= before) {
        return;
    }
    const Expected<void> accepted = m_replica.offer(version, rules);
    if (!accepted) {
        logEvent(LogLevel::Error, "config_refused",
                 {{"version", std::to_string(version)},
                  {"source", std::string(source)},
                  {"error", describeError(accepted.error())}});
        return;
    }
    logEvent(LogLevel::Info, "config_in_force",
             {{"version", std::to_string(version)}, {"source", std::string(source)}});
    activate();
}

void ConfigService::activate()
{
    m_effective = withLeavingEndpoints(*m_replica.current(), m_leavingEndpoints);
    for (const ChangeHandler &handler : m_handlers) {
        handler(m_effective);
    }
}

void ConfigService::onPlatformList(gsl::span<const PlatformInstance> list)
{
    std::set<std::string> leaving;
    for (const PlatformInstance &instance : list) {
        if (instance.state == PlatformState::Leaving) {
            leaving.insert(instance.id);
        }
    }
    if (leaving != m_leavingEndpoints) {
        m_leavingEndpoints = std::move(leaving);
        if (hasConfiguration()) {
            activate();
        }
    }
}

void ConfigService::onObject(const WatchEvent &event)
{
    if (event.key != ConfigRootKey || event.deleted) {
        return;
    }
    const Expected<ConfigRoot> root = parseConfigRoot(event.value);
    if (!root) {
        logEvent(LogLevel::Error, "config_root_malformed",
                 {{"error", describeError(root.error())}});
        return;
    }
    m_newestRootVersion = std::max(m_newestRootVersion, root->version);
    if (m_newestRootVersion > m_replica.version()) {
        fetch(m_runtime.clock.now());
    }
}

void ConfigService::onConfirmed(std::uint64_t, SteadyTime asOf)
{
    if (m_newestRootVersion == m_replica.version()) {
        m_replica.confirmCurrent(m_replica.version(), asOf);
    }
}

void ConfigService::onPeerMessage(const InstanceId &from, std::uint64_t, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        onHeartbeat(from, *heartbeat);
    } else if (const auto *request = std::get_if<ConfigRequest>(&message)) {
        if (request->knownVersion < m_replica.version()) {
            m_peers.send(from, ConfigTransfer{m_replica.version(), m_replica.rules()});
        }
    } else if (const auto *transfer = std::get_if<ConfigTransfer>(&message)) {
        offer(transfer->version, transfer->rules, from.str());
    }
}

void ConfigService::onHeartbeat(const InstanceId &from, const Heartbeat &heartbeat)
{
    const SteadyTime now = m_runtime.clock.now();
    if (heartbeat.configVersion > m_replica.version()) {
        // Requests to every peer with a newer version would transfer the same rules many times.
        if (now - m_lastRequest >= TransferRequestInterval) {
            m_lastRequest = now;
            m_peers.send(from, ConfigRequest{m_replica.version()});
        }
        return;
    }
    if (heartbeat.configVersion == m_replica.version() && heartbeat.configAgeMs >= 0) {
        m_replica.confirmCurrent(heartbeat.configVersion,
                                 now - std::chrono::milliseconds(heartbeat.configAgeMs));
    }
}

} // namespace marigoldspool
