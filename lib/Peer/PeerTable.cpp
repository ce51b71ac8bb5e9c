#include "marigoldspool/Peer/PeerTable.h"

#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <cassert>

namespace marigoldspool {

namespace {

// Heartbeats are sent every second; a peer that misses three in a row is considered dead.
constexpr Duration LivenessTimeout = std::chrono::seconds(3);
// Longer than a restart takes, so that a delayed heartbeat of the previous incarnation is still
// recognized as old.
constexpr Duration RetentionTime = std::chrono::minutes(5);

std::uint64_t rendezvousHash(std::string_view key, const InstanceId &candidate)
{
    std::string text(key);
    text.push_back('\0');
    text += candidate.str();
    return stableHash(text);
}

} // namespace

PeerTable::PeerTable(InstanceId self, ZoneName zone, const Clock &clock)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_clock(clock)
{ }

void PeerTable::recordHeartbeat(const InstanceId &id, std::uint64_t incarnation,
                                const Heartbeat &heartbeat)
{
    if (id == m_self) {
        return;
    }
    PeerInfo &peer = m_peers[id];
    if (incarnation < peer.incarnation) {
        return;
    }
    peer.id = id;
    peer.incarnation = incarnation;
    peer.zone = heartbeat.zone;
    peer.address = heartbeat.address;
    peer.configVersion = heartbeat.configVersion;
    peer.configAgeMs = heartbeat.configAgeMs;
    peer.rosterEpoch = heartbeat.rosterEpoch;
    peer.stopping = heartbeat.stopping;
    peer.lastHeard = m_clock.now();
}

void PeerTable::markDown(const InstanceId &id)
{
    const auto it = m_peers.find(id);
    if (it != m_peers.end()) {
        it->second.lastHeard = std::min(it->second.lastHeard, m_clock.now() - LivenessTimeout);
    }
}

void PeerTable::onTick()
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        it = now - it->second.lastHeard >= RetentionTime ? m_peers.erase(it) : std::next(it);
    }
}

std::vector<PeerInfo> PeerTable::alivePeers() const
{
    std::vector<PeerInfo> peers;
    for (const auto &[id, peer] : m_peers) {
        if (isAlive(id)) {
            peers.push_back(peer);
        }
    }
    return peers;
}

std::vector<PeerInfo> PeerTable::alivePeersInZone(const ZoneName &zone) const
{
    std::vector<PeerInfo> peers = alivePeers();
    peers.erase(std::remove_if(peers.begin(), peers.end(),
                               [&](const PeerInfo &peer) {
                                   return peer.zone != zone;
                               }),
                peers.end());
    return peers;
}

std::vector<InstanceId> PeerTable::candidatesInZone(const ZoneName &zone) const
{
    std::vector<InstanceId> ids;
    for (const PeerInfo &peer : alivePeersInZone(zone)) {
        if (!peer.stopping) {
            ids.push_back(peer.id);
        }
    }
    if (zone == m_zone) {
        ids.insert(std::lower_bound(ids.begin(), ids.end(), m_self), m_self);
    }
    return ids;
}

bool PeerTable::isAlive(const InstanceId &id) const
{
    const auto it = m_peers.find(id);
    return it != m_peers.end() && m_clock.now() - it->second.lastHeard < LivenessTimeout;
}

InstanceId rendezvousOwner(std::string_view key, gsl::span<const InstanceId> candidates)
{
    assert(!candidates.empty() && "candidates must not be empty");
    const InstanceId *owner = nullptr;
    std::uint64_t highest = 0;
    for (const InstanceId &candidate : candidates) {
        const std::uint64_t hash = rendezvousHash(key, candidate);
        // Ties are broken by id so that all instances choose the same owner.
        if (owner == nullptr || hash > highest || (hash == highest && candidate < *owner)) {
            owner = &candidate;
            highest = hash;
        }
    }
    return *owner;
}

std::vector<InstanceId> rendezvousOrder(std::string_view key,
                                        gsl::span<const InstanceId> candidates)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
    ranked.reserve(candidates.size());
    for (const InstanceId &candidate : candidates) {
        ranked.emplace_back(rendezvousHash(key, candidate), candidate);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    std::vector<InstanceId> order;
    order.reserve(ranked.size());
    for (auto &[hash, id] : ranked) {
        order.push_back(std::move(id));
    }
    return order;
}

} // namespace marigoldspool
