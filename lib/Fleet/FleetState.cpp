#include "Fleet/FleetState.h"

#include "Fleet/FleetLink.h"
#include "marigoldspool/Peer/PeerTable.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;

const std::string MemberPrefix = "instances/";

/// How one prefix is watched. A change ends the wait at once; the wait only bounds how long a lost
/// answer goes unnoticed, since the store may stop answering watches while it serves other calls.
/// Changes that come within the interval share one call, which the platform prices.
struct WatchTimes {
    Duration wait;
    Duration interval;
};

// Configurations and leaving endpoints count within two seconds, evacuations within five; which
// instances there are decides only over shares.
constexpr WatchTimes ConfigurationTimes{std::chrono::milliseconds(1000),
                                        std::chrono::milliseconds(100)};
constexpr WatchTimes EndpointTimes{std::chrono::milliseconds(1000), std::chrono::milliseconds(600)};
constexpr WatchTimes EvacuationTimes{std::chrono::milliseconds(3000),
                                     std::chrono::milliseconds(200)};
constexpr WatchTimes MemberTimes{std::chrono::milliseconds(5000), std::chrono::milliseconds(300)};
constexpr Duration FirstBackoff = std::chrono::milliseconds(200);
constexpr Duration LongestBackoff = std::chrono::milliseconds(1200);
// Beyond this the answer to a watch is overdue and peers are asked.
constexpr Duration Overdue = std::chrono::milliseconds(900);
// Calls to the store are priced, so a few instances watch it and tell the others. These take what
// they are told for current while the store has confirmed it within this time, and watch
// themselves otherwise. The wait of a watch and the time between beacons lie within it.
constexpr Duration RelayFresh = std::chrono::milliseconds(1500);
constexpr std::size_t WatchersInSmallFleet = 2;
constexpr std::size_t WatchersInZone = 2;
// The platform lists endpoints again within two seconds after an outage of the store.
constexpr Duration LapseGrace = std::chrono::milliseconds(2300);
constexpr Duration OutageLength = std::chrono::milliseconds(700);
constexpr Duration RegisterInterval = std::chrono::seconds(1);

std::string nameOf(std::string_view key)
{
    return std::string(key.substr(key.find('/') + 1));
}

} // namespace

/// One watched prefix: what the store and the peers said of it.
class FleetState::Prefix final : public WatchListener
{
public:
    Prefix(FleetRuntime &runtime, const std::string &prefix, WatchTimes times,
           ObjectMirror::ChangeHandler onChange)
        : m_runtime(runtime)
        , mirror(prefix, std::move(onChange))
        , watcher(*runtime.store, runtime.clock, runtime.random,
                  {prefix, times.wait, times.interval, FirstBackoff, LongestBackoff}, *this)
        , m_times(times)
        , m_confirmedAt(runtime.clock.now())
    { }

    void onObject(const WatchEvent &event) override
    {
        noteOutage();
        mirror.apply(event);
    }

    void onConfirmed(std::uint64_t revision, SteadyTime /*asOf*/) override
    {
        noteOutage();
        mirror.confirm(revision);
        m_confirmedAt = m_runtime.clock.now();
    }

    bool onTransfer(const ObjectsTransfer &transfer)
    {
        noteOutage();
        if (!mirror.applyTransfer(transfer)) {
            return false;
        }
        m_relayed.onApplied(mirror.lastChange());
        m_confirmedAt = std::max(m_confirmedAt, m_relayed.confirmedAt());
        return true;
    }

    void onTick(bool watchesForOthers)
    {
        const bool follows = !watchesForOthers
            && m_runtime.clock.now() - m_relayed.confirmedAt() < freshTime()
            && mirror.lastChange() >= m_announced;
        if (follows != m_follows) {
            m_follows = follows;
            if (follows) {
                watcher.stop();
            } else {
                watcher.start();
            }
        }
        watcher.onTick();
    }

    /// A peer knows the prefix this far; returns whether that is all that is known here.
    bool onBeacon(const KnownRevision &known, SteadyTime at)
    {
        const bool isAll = known.lastChangeVersion <= mirror.lastChange();
        m_relayed.onBeacon(known.lastChangeVersion, mirror.lastChange(), at);
        if (isAll) {
            noteOutage();
            mirror.confirm(known.revision);
            m_confirmedAt = std::max(m_confirmedAt, at);
        }
        return isAll;
    }

    /// Peers know a change that is to be read from the store.
    void fetch(std::uint64_t change) { m_announced = std::max(m_announced, change); }

    bool isOutdated() const { return age() > m_times.wait + m_times.interval + Overdue; }

    Duration age() const { return m_runtime.clock.now() - m_confirmedAt; }

    /// The last revision that was told to others.
    std::uint64_t toldRevision = 0;
    std::uint64_t toldChange = 0;

    /// How long after now a removal may still be undone, because entries lapsed in an outage.
    Duration removalGrace() const
    {
        const Duration left = m_graceUntil - m_runtime.clock.now();
        return std::max(left, Duration::zero());
    }

private:
    void noteOutage()
    {
        if (age() > m_times.wait + m_times.interval + OutageLength) {
            m_graceUntil = m_runtime.clock.now() + LapseGrace;
        }
    }

    Duration freshTime() const { return std::max(RelayFresh, m_times.wait + RelayFresh / 2); }

    FleetRuntime &m_runtime;

public:
    ObjectMirror mirror;
    Watcher watcher;

private:
    WatchTimes m_times;
    SteadyTime m_confirmedAt;
    RelayFreshness m_relayed;
    SteadyTime m_graceUntil;
    bool m_follows = false;
    std::uint64_t m_announced = 0;
};

FleetState::FleetState(FleetRuntime &runtime)
    : m_runtime(runtime)
    , m_registerAt(runtime.clock.now())
{
    const auto add = [this](const std::string &prefix, WatchTimes times,
                            void (FleetState::*handler)(const WatchEvent &)) {
        m_prefixes.push_back(std::make_unique<Prefix>(m_runtime, prefix, times,
                                                      [this, handler](const WatchEvent &event) {
                                                          (this->*handler)(event);
                                                      }));
    };
    add(runtime.wire.configurationPrefix(), ConfigurationTimes, &FleetState::onConfiguration);
    add(runtime.wire.endpointPrefix(), EndpointTimes, &FleetState::onEndpoint);
    add(runtime.wire.evacuationPrefix(), EvacuationTimes, &FleetState::onEvacuation);
    add(MemberPrefix, MemberTimes, &FleetState::onMember);
}

FleetState::~FleetState() = default;

void FleetState::start()
{
    for (const auto &prefix : m_prefixes) {
        prefix->watcher.start();
    }
    registerSelf();
}

void FleetState::stop()
{
    for (const auto &prefix : m_prefixes) {
        prefix->watcher.stop();
    }
}

void FleetState::onTick()
{
    for (const auto &prefix : m_prefixes) {
        prefix->onTick(m_isWatcher);
    }
    registerSelf();
}

FleetState::Prefix *FleetState::find(std::string_view prefix) const
{
    for (const auto &it : m_prefixes) {
        if (it->mirror.prefix() == prefix) {
            return it.get();
        }
    }
    return nullptr;
}

bool FleetState::isLoaded() const
{
    return m_runtime.routes != nullptr && find(m_runtime.wire.endpointPrefix())->mirror.isKnown();
}

std::vector<ObjectsRequest> FleetState::outdated() const
{
    std::vector<ObjectsRequest> requests;
    for (const auto &prefix : m_prefixes) {
        if (prefix->isOutdated()) {
            requests.push_back({prefix->mirror.prefix(), prefix->mirror.revision()});
        }
    }
    return requests;
}

ObjectsTransfer FleetState::transferFor(const ObjectsRequest &request) const
{
    const Prefix *prefix = find(request.prefix);
    return prefix == nullptr ? ObjectsTransfer() : prefix->mirror.transferSince(request.revision);
}

void FleetState::onTransfer(const InstanceId &from, const ObjectsTransfer &transfer)
{
    Prefix *prefix = find(transfer.prefix);
    const bool wasOutdated = prefix != nullptr && prefix->isOutdated();
    if (prefix != nullptr && prefix->onTransfer(transfer) && wasOutdated) {
        logEvent(LogLevel::Info, "objects_from_peer",
                 {{"prefix", transfer.prefix},
                  {"peer", from.str()},
                  {"revision", std::to_string(transfer.revision)}});
    }
}

// In a small fleet two instances watch for all, in two zones where possible; in a large one two of
// each zone.
void FleetState::chooseWatchers()
{
    const InstanceId &self = m_runtime.options.instance;
    const auto own = m_members.find(self);
    bool isWatcher = true;
    if (own != m_members.end()) {
        const bool isSmall = m_members.size() <= FleetLink::MostMeshMembers;
        std::vector<InstanceId> ids;
        for (const auto &[id, member] : m_members) {
            if (isSmall || member.zone == own->second.zone) {
                ids.push_back(id);
            }
        }
        std::vector<InstanceId> order = rendezvousOrder("watchers", ids);
        const ZoneName firstZone = m_members[order.front()].zone;
        std::stable_partition(order.begin() + 1, order.end(), [&](const InstanceId &id) {
            return m_members[id].zone != firstZone;
        });
        order.resize(std::min(order.size(), isSmall ? WatchersInSmallFleet : WatchersInZone));
        isWatcher = std::find(order.begin(), order.end(), self) != order.end();
        m_isFirstWatcher = order.front() == self;
    }
    if (isWatcher != m_isWatcher) {
        m_isWatcher = isWatcher;
        logEvent(LogLevel::Info, "watch_role",
                 {{"watches", isWatcher ? "for_others" : "through_peers"}});
    }
}

bool FleetState::isInOwnZone(const InstanceId &id) const
{
    const auto it = m_members.find(id);
    return it != m_members.end() && it->second.zone == m_runtime.options.zone;
}

// In a large fleet each zone has its own watchers, which keeps the changes off the links between
// zones.
bool FleetState::sendsBeaconsTo(const InstanceId &peer) const
{
    return m_members.size() <= FleetLink::MostMeshMembers || m_members.count(peer) == 0
        || isInOwnZone(peer);
}

bool FleetState::tellsNewsTo(const InstanceId &peer) const
{
    return m_isFirstWatcher && sendsBeaconsTo(peer);
}

RevisionBeacon FleetState::beacon() const
{
    RevisionBeacon beacon;
    for (const auto &prefix : m_prefixes) {
        if (prefix->mirror.isKnown()) {
            beacon.prefixes.push_back({prefix->mirror.prefix(), prefix->mirror.revision(),
                                       prefix->mirror.lastChange(), toMilliseconds(prefix->age())});
        }
    }
    return beacon;
}

std::vector<ObjectsRequest> FleetState::onBeacon(const RevisionBeacon &beacon)
{
    std::vector<ObjectsRequest> requests;
    const SteadyTime now = m_runtime.clock.now();
    for (const KnownRevision &known : beacon.prefixes) {
        Prefix *prefix = find(known.prefix);
        if (prefix == nullptr) {
            continue;
        }
        if (prefix->onBeacon(known, now - std::chrono::milliseconds(known.ageMs))) {
            continue;
        }
        if (known.prefix == m_runtime.wire.configurationPrefix()) {
            prefix->fetch(known.lastChangeVersion);
        } else {
            requests.push_back({known.prefix, prefix->mirror.revision()});
        }
    }
    return requests;
}

std::vector<ObjectsTransfer> FleetState::takeNews()
{
    std::vector<ObjectsTransfer> news;
    for (const auto &prefix : m_prefixes) {
        if (prefix->mirror.lastChange() <= prefix->toldChange) {
            continue;
        }
        // A configuration is large, and sent to all it would fill this machine's link; the others
        // read it from the store when a beacon names it.
        if (prefix->mirror.prefix() != m_runtime.wire.configurationPrefix()) {
            news.push_back(prefix->mirror.transferSince(prefix->toldRevision));
        }
        prefix->toldRevision = prefix->mirror.revision();
        prefix->toldChange = prefix->mirror.lastChange();
    }
    return news;
}

// A refusal for its rate can be checked by this line and the one of the request.
void FleetState::logNewRates(const ServingConfiguration &configuration) const
{
    for (const ServedWorkspace &workspace : configuration.workspaces) {
        const ServedWorkspace *before = m_runtime.routes == nullptr
            ? nullptr
            : m_runtime.routes->configuration()->workspace(workspace.name);
        if (before != nullptr && before->rate == workspace.rate
            && before->burst == workspace.burst) {
            continue;
        }
        logEvent(LogLevel::Info, "rate_in_force",
                 {{"workspace", workspace.name.str()},
                  {"rate", std::to_string(workspace.rate)},
                  {"burst", std::to_string(workspace.burst)},
                  {"version", std::to_string(configuration.version)}});
    }
}

void FleetState::onConfiguration(const WatchEvent &event)
{
    if (event.deleted) {
        return;
    }
    Expected<ServingConfiguration> decoded = m_runtime.wire.decodeConfiguration(event.value);
    if (!decoded) {
        m_runtime.metrics->add("marigoldspool_unreadable_objects_total", 1, {{"kind", "config"}});
        logEvent(LogLevel::Error, "configuration_unreadable",
                 {{"key", event.key}, {"error", describeError(decoded.error())}});
        return;
    }
    const std::uint64_t current =
        m_runtime.routes == nullptr ? 0 : m_runtime.routes->configuration()->version;
    if (m_runtime.routes != nullptr && decoded->version <= current) {
        return;
    }
    auto configuration = std::make_shared<const ServingConfiguration>(std::move(*decoded));
    logNewRates(*configuration);
    m_runtime.routes = std::make_shared<const RouteTable>(configuration);
    m_runtime.directory.setConfiguration(configuration);
    m_runtime.quota.setConfiguration(configuration);
    logEvent(LogLevel::Info, "configuration_in_force",
             {{"version", std::to_string(configuration->version)},
              {"before", std::to_string(current)},
              {"store_version", std::to_string(event.version)},
              {"routes", std::to_string(configuration->routes.size())},
              {"workspaces", std::to_string(configuration->workspaces.size())}});
    if (m_onConfiguration) {
        m_onConfiguration();
    }
}

void FleetState::onEndpoint(const WatchEvent &event)
{
    const std::string name = nameOf(event.key);
    const EndpointId id(name);
    if (event.deleted) {
        const Duration grace = find(m_runtime.wire.endpointPrefix())->removalGrace();
        m_runtime.directory.remove(id, grace);
        logEvent(LogLevel::Info, "endpoint_unlisted",
                 {{"endpoint", name},
                  {"store_version", std::to_string(event.version)},
                  {"grace_ms", std::to_string(toMilliseconds(grace))}});
    } else {
        const Expected<ListedEndpoint> endpoint = m_runtime.wire.decodeEndpoint(name, event.value);
        if (!endpoint) {
            // An entry that cannot be read names no endpoint to use.
            m_runtime.directory.remove(id, Duration::zero());
            m_runtime.metrics->add("marigoldspool_unreadable_objects_total", 1,
                                   {{"kind", "endpoint"}});
            logEvent(LogLevel::Warning, "endpoint_unreadable",
                     {{"endpoint", name}, {"error", describeError(endpoint.error())}});
        } else {
            const EndpointState *known = m_runtime.directory.find(id);
            const bool isNews = known == nullptr || known->listed.leaving != endpoint->leaving
                || known->listed.startedAtMs != endpoint->startedAtMs;
            m_runtime.directory.apply(*endpoint);
            if (isNews) {
                logEvent(LogLevel::Info, "endpoint_listed",
                         {{"endpoint", name},
                          {"pool", endpoint->pool.str()},
                          {"zone", endpoint->zone.str()},
                          {"leaving", endpoint->leaving ? "yes" : "no"},
                          {"cold_ms", std::to_string(toMilliseconds(endpoint->coldLeft))},
                          {"models", std::to_string(endpoint->models.size())},
                          {"store_version", std::to_string(event.version)}});
            }
        }
    }
    if (m_onEndpoints) {
        m_onEndpoints();
    }
}

void FleetState::onEvacuation(const WatchEvent &event)
{
    const ZoneName zone(nameOf(event.key));
    m_runtime.directory.setEvacuated(zone, !event.deleted);
    logEvent(LogLevel::Info, event.deleted ? "zone_taken_back" : "zone_evacuated",
             {{"zone", zone.str()}, {"store_version", std::to_string(event.version)}});
    if (m_onEndpoints) {
        m_onEndpoints();
    }
}

void FleetState::onMember(const WatchEvent &event)
{
    const InstanceId id(nameOf(event.key));
    if (event.deleted) {
        m_members.erase(id);
        if (id == m_runtime.options.instance) {
            m_registered = false;
            m_ownVersion = 0;
        }
    } else {
        const json value = json::parse(event.value, nullptr, false);
        if (!value.is_object() || !value.contains("peer") || !value["peer"].is_string()
            || !value.contains("zone") || !value["zone"].is_string()) {
            m_runtime.metrics->add("marigoldspool_unreadable_objects_total", 1,
                                   {{"kind", "instance"}});
            logEvent(LogLevel::Warning, "instance_unreadable", {{"instance", id.str()}});
            return;
        }
        if (id == m_runtime.options.instance) {
            m_ownVersion = event.version;
        }
        m_members[id] = {id, ZoneName(value["zone"].get<std::string>()),
                         value["peer"].get<std::string>()};
    }
    // This instance uses its own share from its start, listed or not.
    const bool isListed = m_members.count(m_runtime.options.instance) > 0;
    const std::size_t count = m_members.size() + (isListed ? 0 : 1);
    m_runtime.quota.setInstances(count);
    m_runtime.retries.setInstances(count);
    m_runtime.directory.setInstances(count);
    logEvent(LogLevel::Info, event.deleted ? "instance_left" : "instance_joined",
             {{"instance", id.str()}, {"instances", std::to_string(count)}});
    chooseWatchers();
    if (m_onMembers) {
        m_onMembers();
    }
}

// The object is written once a start and removed at a planned stop.
void FleetState::registerSelf()
{
    const SteadyTime now = m_runtime.clock.now();
    const Prefix *prefix = find(MemberPrefix);
    const bool isLeaving = m_runtime.stopping;
    if (m_registering || now < m_registerAt || !prefix->mirror.isKnown()
        || (isLeaving ? m_ownVersion == 0 : m_registered)) {
        return;
    }
    const std::string key = MemberPrefix + m_runtime.options.instance.str();
    m_registering = true;
    m_registerAt = now + RegisterInterval;
    const auto done = [this, isLeaving](const Expected<std::uint64_t> &result) {
        m_registering = false;
        if (result) {
            m_registered = !isLeaving;
            m_ownVersion = isLeaving ? 0 : *result;
            logEvent(LogLevel::Info, isLeaving ? "unregistered" : "registered",
                     {{"version", std::to_string(*result)}});
        } else if (result.error().kind != ErrorKind::Conflict) {
            // After a conflict the watch brings the version that is there.
            logEvent(LogLevel::Warning, "registration_failed",
                     {{"error", describeError(result.error())}});
        }
    };
    if (isLeaving) {
        m_runtime.store->remove(key, m_ownVersion, done);
        return;
    }
    const json value = {{"zone", m_runtime.options.zone.str()},
                        {"peer", m_runtime.options.peerAddress},
                        {"incarnation", m_runtime.incarnation}};
    m_runtime.store->put(key, m_ownVersion, value.dump(), WriteId(m_runtime.random.hex(16)), done);
}

} // namespace marigoldspool
