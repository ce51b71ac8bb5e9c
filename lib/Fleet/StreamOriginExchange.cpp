#include "Fleet/StreamOriginExchange.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration SmallFleetBatchInterval = milliseconds(50);
// The hub of a large fleet sends each batch to all instances.
constexpr Duration LargeFleetBatchInterval = milliseconds(200);
// A connection is made anew within this time. What was sent in between is lost.
constexpr Duration RepeatedTime = std::chrono::seconds(5);

} // namespace

std::set<PoolName> mixedPools(const FleetRuntime &runtime)
{
    std::set<PoolName> pools;
    if (runtime.routes == nullptr) {
        return pools;
    }
    for (const auto &[name, pool] : runtime.routes->configuration()->pools) {
        if (runtime.softwareVersions.isMixed(name)) {
            pools.insert(name);
        }
    }
    return pools;
}

StreamOriginExchange::StreamOriginExchange(FleetRuntime &runtime, const FleetState &state,
                                           FleetLink &link, StatementMonitor::FleetSender &fleet)
    : m_runtime(runtime)
    , m_state(state)
    , m_link(link)
    , m_fleet(fleet)
{ }

void StreamOriginExchange::onTick()
{
    const SteadyTime now = m_runtime.clock.now();
    if (now < m_nextBatch) {
        return;
    }
    const bool isSmall = m_state.members().size() <= FleetLink::MaxMeshMembers;
    m_nextBatch = now + (isSmall ? SmallFleetBatchInterval : LargeFleetBatchInterval);
    m_runtime.streamOrigins.onTick();
    const std::set<PoolName> mixed = mixedPools(m_runtime);
    logChanges(mixed);
    if (isSmall || m_fleet.isHub()) {
        sendRecentToNewPeers(mixed);
    }
    sendNew(mixed);
}

void StreamOriginExchange::onMessage(bool isFromHub, const StreamOriginNotices &message)
{
    const bool passesOn = !isFromHub && m_fleet.isHub();
    for (const StreamOriginNotice &it : message.streams) {
        const PoolName pool(it.pool);
        if (m_runtime.routes != nullptr
            && m_runtime.routes->configuration()->pool(pool) == nullptr) {
            continue;
        }
        StreamOriginGroup group{pool, SoftwareVersion(it.version), it.keys};
        m_runtime.streamOrigins.onNotice(group, m_runtime.softwareVersions.streamLifetime(pool));
        m_runtime.metrics->add("marigoldspool_stream_origin_notices_total",
                               static_cast<double>(it.keys.size()), {{"direction", "received"}});
        if (passesOn) {
            m_relayed.push_back(std::move(group));
        }
    }
}

void StreamOriginExchange::logChanges(const std::set<PoolName> &mixed)
{
    std::vector<PoolName> changed;
    std::set_symmetric_difference(mixed.begin(), mixed.end(), m_mixed.begin(), m_mixed.end(),
                                  std::back_inserter(changed));
    for (const PoolName &pool : changed) {
        const SoftwareVersions::Versions *allowed = m_runtime.softwareVersions.allowedForNew(pool);
        logEvent(LogLevel::Info, "software_versions",
                 {{"pool", pool.str()},
                  {"mixed", mixed.count(pool) > 0 ? "yes" : "no"},
                  {"versions", versionsText(m_runtime.softwareVersions.knownVersions(pool))},
                  {"allowed", allowed == nullptr ? "any" : versionsText(*allowed)}});
    }
    m_mixed = mixed;
}

void StreamOriginExchange::sendNew(const std::set<PoolName> &mixed)
{
    Groups groups = m_runtime.streamOrigins.takeNew([&mixed](const PoolName &pool) {
        return mixed.count(pool) > 0;
    });
    if (m_fleet.isHub()) {
        std::move(m_relayed.begin(), m_relayed.end(), std::back_inserter(groups));
    }
    m_relayed.clear();
    send(groups, [this](const PeerMessage &message) {
        m_fleet.sendToFleet(message);
    });
}

void StreamOriginExchange::sendRecentToNewPeers(const std::set<PoolName> &mixed)
{
    const std::vector<InstanceId> peers = m_link.connectedPeers();
    std::set<InstanceId> connected(peers.begin(), peers.end());
    std::vector<InstanceId> added;
    std::set_difference(connected.begin(), connected.end(), m_connected.begin(), m_connected.end(),
                        std::back_inserter(added));
    m_connected = std::move(connected);
    if (added.empty() || mixed.empty()) {
        return;
    }
    Groups groups = m_runtime.streamOrigins.addedSince(m_runtime.clock.now() - RepeatedTime);
    groups.erase(std::remove_if(groups.begin(), groups.end(),
                                [&mixed](const StreamOriginGroup &group) {
                                    return mixed.count(group.pool) == 0;
                                }),
                 groups.end());
    for (const InstanceId &peer : added) {
        send(groups, [this, &peer](const PeerMessage &message) {
            m_link.send(peer, message);
        });
    }
}

// A message has at most as many keys as one notice may have.
void StreamOriginExchange::send(const Groups &groups, const Send &sendMessage)
{
    StreamOriginNotices message;
    std::size_t room = StreamOriginNotice::MaxKeys;
    const auto flush = [&] {
        if (!message.streams.empty()) {
            m_runtime.metrics->add("marigoldspool_stream_origin_notices_total",
                                   static_cast<double>(StreamOriginNotice::MaxKeys - room),
                                   {{"direction", "sent"}});
            sendMessage(message);
        }
        message.streams.clear();
        room = StreamOriginNotice::MaxKeys;
    };
    for (const StreamOriginGroup &group : groups) {
        for (auto it = group.keys.begin(); it != group.keys.end();) {
            if (room == 0) {
                flush();
            }
            const auto count = std::min<std::size_t>(
                room, static_cast<std::size_t>(std::distance(it, group.keys.end())));
            const auto end = it + static_cast<std::ptrdiff_t>(count);
            message.streams.push_back({group.pool.str(), group.version.str(), {it, end}});
            room -= count;
            it = end;
        }
    }
    flush();
}

} // namespace marigoldspool
