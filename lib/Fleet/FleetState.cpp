#include "Fleet/FleetState.h"

#include "Fleet/FleetLink.h"
#include "Fleet/SoftwareVersionRecord.h"
#include "Fleet/WatchedPrefix.h"
#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <optional>

namespace marigoldspool {

namespace {

// Configurations and draining endpoints must take effect within two seconds, evacuations within
// five. The list of instances only determines shares of limits, connections and elections, and an
// instance that stops is listed until its end.
constexpr WatchTiming ConfigurationTiming{std::chrono::milliseconds(1000),
                                          std::chrono::milliseconds(100)};
constexpr WatchTiming EndpointTiming{std::chrono::milliseconds(1000),
                                     std::chrono::milliseconds(600)};
constexpr WatchTiming EvacuationTiming{std::chrono::milliseconds(3000),
                                       std::chrono::milliseconds(200)};
constexpr WatchTiming MemberTiming{std::chrono::milliseconds(5000), std::chrono::milliseconds(300)};

} // namespace

std::string FleetState::nameInKey(std::string_view key)
{
    return std::string(key.substr(key.find('/') + 1));
}

FleetState::FleetState(FleetRuntime &runtime)
    : m_runtime(runtime)
    , m_configurationDecoder(runtime.codec.makeConfigurationDecoder())
    , m_nextRegistration(runtime.clock.now())
{
    const auto addPrefix = [this](const std::string &prefix, WatchTiming timing,
                                  void (FleetState::*handler)(const WatchEvent &)) {
        // A configuration stays in force when its object is removed.
        const bool tracksRemovals = prefix != m_runtime.codec.configurationPrefix();
        m_prefixes.push_back(std::make_unique<WatchedPrefix>(
            m_runtime, prefix, timing, tracksRemovals, [this, handler](const WatchEvent &event) {
                (this->*handler)(event);
            }));
    };
    addPrefix(runtime.codec.configurationPrefix(), ConfigurationTiming,
              &FleetState::onConfiguration);
    addPrefix(runtime.codec.endpointPrefix(), EndpointTiming, &FleetState::onEndpoint);
    addPrefix(runtime.codec.evacuationPrefix(), EvacuationTiming, &FleetState::onEvacuation);
    addPrefix(MemberPrefix, MemberTiming, &FleetState::onMember);
    addPrefix(SoftwareVersionRecord::Prefix, EvacuationTiming, &FleetState::onVersionRecord);
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
    m_runtime.configurationConfirmedAt = find(m_runtime.codec.configurationPrefix())->confirmedAt();
    m_runtime.endpointsConfirmedAt = find(m_runtime.codec.endpointPrefix())->confirmedAt();
    applyHeldBack();
    registerSelf();
    expireStoppedMembers();
    removeExpired();
    if (!m_areMembersKnown && find(MemberPrefix)->mirror.hasSnapshot()) {
        m_areMembersKnown = true;
        applyMembers();
    }
    m_runtime.isLoaded = m_runtime.isLoaded || (m_runtime.areStreamOriginsRead && hasAll());
}

WatchedPrefix *FleetState::find(std::string_view prefix) const
{
    for (const auto &it : m_prefixes) {
        if (it->mirror.prefix() == prefix) {
            return it.get();
        }
    }
    return nullptr;
}

bool FleetState::hasAll() const
{
    return m_runtime.routes != nullptr
        && std::all_of(m_prefixes.begin(), m_prefixes.end(), [](const auto &prefix) {
               return prefix->mirror.hasSnapshot();
           });
}

std::vector<ObjectsRequest> FleetState::outdatedPrefixes() const
{
    std::vector<ObjectsRequest> requests;
    for (const auto &prefix : m_prefixes) {
        if (prefix->isOutdated() && !prefix->download) {
            requests.push_back({prefix->mirror.prefix(), prefix->mirror.revision(), true});
        }
    }
    return requests;
}

ObjectsTransfer FleetState::transferFor(const ObjectsRequest &request) const
{
    const WatchedPrefix *prefix = find(request.prefix);
    return prefix == nullptr ? ObjectsTransfer()
                             : prefix->mirror.transferSince(request.revision, request.acceptsParts);
}

ObjectPart FleetState::partFor(const ObjectPartRequest &request) const
{
    const WatchedPrefix *prefix = find(request.prefix);
    return prefix == nullptr ? ObjectPart() : prefix->mirror.partFor(request);
}

std::optional<ObjectPartRequest> FleetState::onTransfer(const InstanceId &from,
                                                        const ObjectsTransfer &transfer)
{
    WatchedPrefix *prefix = find(transfer.prefix);
    if (prefix == nullptr) {
        return std::nullopt;
    }
    if (ObjectDownload::isNeededFor(transfer)) {
        if (prefix->download || transfer.revision <= prefix->mirror.revision()) {
            return std::nullopt;
        }
        prefix->download.emplace(from, transfer, m_runtime.clock.now());
        return prefix->download->nextRequest();
    }
    applyTransfer(*prefix, from, transfer);
    return std::nullopt;
}

std::optional<ObjectPartRequest> FleetState::onPart(const InstanceId &from, const ObjectPart &part)
{
    WatchedPrefix *prefix = find(part.prefix);
    if (prefix == nullptr || !prefix->download) {
        return std::nullopt;
    }
    ObjectDownload &download = *prefix->download;
    switch (download.onPart(from, part, m_runtime.clock.now())) {
    case ObjectDownload::Progress::None:
        return std::nullopt;
    case ObjectDownload::Progress::Advanced:
        return download.nextRequest();
    case ObjectDownload::Progress::Complete: {
        const ObjectsTransfer transfer = download.takeTransfer();
        prefix->download.reset();
        applyTransfer(*prefix, from, transfer);
        return std::nullopt;
    }
    case ObjectDownload::Progress::Lost:
        break;
    }
    logEvent(LogLevel::Info, "download_lost", {{"prefix", part.prefix}, {"peer", from.str()}});
    prefix->download.reset();
    return std::nullopt;
}

std::vector<AddressedMessage> FleetState::resumeDownloads(gsl::span<const InstanceId> connected)
{
    std::vector<AddressedMessage> messages;
    const SteadyTime now = m_runtime.clock.now();
    for (const auto &prefix : m_prefixes) {
        if (!prefix->download || !prefix->download->isStalled(now) || connected.empty()) {
            continue;
        }
        // The peers in turn, so that one that has the version is found.
        const auto next =
            std::upper_bound(connected.begin(), connected.end(), prefix->download->source());
        const InstanceId peer = next == connected.end() ? connected[0] : *next;
        logEvent(LogLevel::Info, "download_resumed",
                 {{"prefix", prefix->mirror.prefix()},
                  {"from", prefix->download->source().str()},
                  {"to", peer.str()},
                  {"offset", std::to_string(prefix->download->nextRequest().offset)}});
        prefix->download->resumeFrom(peer, now);
        messages.push_back({peer, prefix->download->nextRequest()});
    }
    return messages;
}

void FleetState::applyTransfer(WatchedPrefix &prefix, const InstanceId &from,
                               const ObjectsTransfer &transfer)
{
    const bool wasOutdated = prefix.isOutdated();
    if (prefix.onTransfer(transfer) && wasOutdated) {
        logEvent(LogLevel::Info, "objects_from_peer",
                 {{"prefix", transfer.prefix},
                  {"peer", from.str()},
                  {"revision", positionText(transfer.revision)}});
    }
}

RevisionBeacon FleetState::beacon() const
{
    RevisionBeacon beacon;
    for (const auto &prefix : m_prefixes) {
        if (prefix->mirror.hasSnapshot()) {
            beacon.prefixes.push_back({prefix->mirror.prefix(), prefix->mirror.revision(),
                                       prefix->mirror.lastChangeVersion(),
                                       toMilliseconds(prefix->age())});
        }
    }
    return beacon;
}

std::vector<ObjectsRequest> FleetState::onBeacon(const RevisionBeacon &beacon)
{
    std::vector<ObjectsRequest> requests;
    const SteadyTime now = m_runtime.clock.now();
    for (const KnownRevision &known : beacon.prefixes) {
        WatchedPrefix *prefix = find(known.prefix);
        if (prefix == nullptr) {
            continue;
        }
        if (prefix->onBeacon(known, now - std::chrono::milliseconds(known.ageMs))) {
            continue;
        }
        if (known.prefix == m_runtime.codec.configurationPrefix()) {
            prefix->requireChange(known.lastChangeVersion);
        } else {
            requests.push_back({known.prefix, prefix->mirror.revision(), true});
        }
    }
    return requests;
}

std::vector<ObjectsTransfer> FleetState::takeChanges()
{
    std::vector<ObjectsTransfer> changes;
    for (const auto &prefix : m_prefixes) {
        if (prefix->mirror.lastChangeVersion() <= prefix->sentChange) {
            continue;
        }
        // A configuration is too large to send to all peers over this machine's link; they read it
        // from the store when a beacon announces it.
        if (prefix->mirror.prefix() != m_runtime.codec.configurationPrefix()) {
            changes.push_back(prefix->mirror.transferSince(prefix->sentRevision));
        }
        prefix->sentRevision = prefix->mirror.revision();
        prefix->sentChange = prefix->mirror.lastChangeVersion();
    }
    return changes;
}

// With this event and that of the request, an operator can check why a rate limit refused a
// request.
void FleetState::logChangedRates(const ServingConfiguration &configuration) const
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
    const SteadyTime receivedAt = m_runtime.clock.now();
    Expected<ServingConfiguration> decoded = m_configurationDecoder->decode(event.value);
    const SteadyTime decodedAt = m_runtime.clock.now();
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
    logChangedRates(*configuration);
    m_runtime.routes = std::make_shared<const RouteTable>(configuration);
    m_runtime.directory.setConfiguration(configuration);
    m_runtime.quota.setConfiguration(configuration);
    if (m_onConfiguration) {
        m_onConfiguration();
    }
    logEvent(LogLevel::Info, "configuration_in_force",
             {{"version", std::to_string(configuration->version)},
              {"before", std::to_string(current)},
              {"store_version", positionText(event.version)},
              {"routes", std::to_string(configuration->routes.size())},
              {"decoded_routes", std::to_string(m_configurationDecoder->decodedRoutes())},
              {"workspaces", std::to_string(configuration->workspaces.size())},
              {"decode_ms", std::to_string(toMilliseconds(decodedAt - receivedAt))},
              {"adopt_ms", std::to_string(toMilliseconds(m_runtime.clock.now() - decodedAt))}});
}

bool FleetState::holdBack(const WatchEvent &event)
{
    const WatchedPrefix *prefix = find(event.key.substr(0, event.key.find('/') + 1));
    if (prefix == nullptr || !prefix->isRestored()) {
        return false;
    }
    m_heldBack[event.key] = {event, prefix->restoreGraceUntil()};
    logEvent(LogLevel::Info, "restored_object_held_back",
             {{"key", event.key}, {"removed", event.deleted ? "yes" : "no"}});
    return true;
}

void FleetState::applyHeldBack()
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto it = m_heldBack.begin(); it != m_heldBack.end();) {
        if (now < it->second.second) {
            ++it;
            continue;
        }
        const WatchEvent event = std::move(it->second.first);
        it = m_heldBack.erase(it);
        const WatchedPrefix *prefix = find(event.key.substr(0, event.key.find('/') + 1));
        if (prefix->mirror.prefix() == m_runtime.codec.endpointPrefix()) {
            onEndpoint(event);
        } else if (prefix->mirror.prefix() == m_runtime.codec.evacuationPrefix()) {
            onEvacuation(event);
        } else {
            onMember(event);
        }
    }
}

void FleetState::onEndpoint(const WatchEvent &event)
{
    const std::string name = nameInKey(event.key);
    const EndpointId id(name);
    m_heldBack.erase(event.key);
    if (event.deleted) {
        const Duration grace = find(m_runtime.codec.endpointPrefix())->removalGrace();
        m_runtime.directory.remove(id, grace);
        logEvent(LogLevel::Info, "endpoint_unlisted",
                 {{"endpoint", name},
                  {"store_version", positionText(event.version)},
                  {"grace_ms", std::to_string(toMilliseconds(grace))}});
    } else {
        const Expected<ListedEndpoint> endpoint = m_runtime.codec.decodeEndpoint(name, event.value);
        if (!endpoint) {
            // An endpoint whose entry is unreadable must not be used.
            m_runtime.directory.remove(id, Duration::zero());
            m_runtime.metrics->add("marigoldspool_unreadable_objects_total", 1,
                                   {{"kind", "endpoint"}});
            logEvent(LogLevel::Warning, "endpoint_unreadable",
                     {{"endpoint", name}, {"error", describeError(endpoint.error())}});
        } else if (!endpoint->leaving && m_runtime.directory.hasLeft({id, endpoint->startedAtMs})
                   && holdBack(event)) {
            return;
        } else {
            const TrackedEndpoint *known = m_runtime.directory.find(id);
            const bool isChanged = known == nullptr || known->listed.leaving != endpoint->leaving
                || known->listed.startedAtMs != endpoint->startedAtMs
                || (!known->end && endpoint->remainingLifetime);
            m_runtime.directory.apply(*endpoint);
            if (isChanged) {
                logEvent(LogLevel::Info, "endpoint_listed",
                         {{"endpoint", name},
                          {"pool", endpoint->pool.str()},
                          {"zone", endpoint->zone.str()},
                          {"leaving", endpoint->leaving ? "yes" : "no"},
                          {"cold_ms", std::to_string(toMilliseconds(endpoint->remainingColdTime))},
                          {"lifetime_ms",
                           endpoint->remainingLifetime
                               ? std::to_string(toMilliseconds(*endpoint->remainingLifetime))
                               : "none"},
                          {"models", std::to_string(endpoint->models.size())},
                          {"store_version", positionText(event.version)}});
            }
        }
    }
    if (m_onEndpoints) {
        m_onEndpoints();
    }
}

void FleetState::onEvacuation(const WatchEvent &event)
{
    const ZoneName zone(nameInKey(event.key));
    if (event.deleted && holdBack(event)) {
        return;
    }
    m_heldBack.erase(event.key);
    m_runtime.directory.setEvacuated(zone, !event.deleted);
    logEvent(LogLevel::Info, event.deleted ? "zone_taken_back" : "zone_evacuated",
             {{"zone", zone.str()}, {"store_version", positionText(event.version)}});
    if (m_onEndpoints) {
        m_onEndpoints();
    }
}

// Not held back after the store was restored: the versions that are listed stay known without it.
void FleetState::onVersionRecord(const WatchEvent &event)
{
    if (m_onVersionRecord) {
        m_onVersionRecord(event);
    }
}

} // namespace marigoldspool
