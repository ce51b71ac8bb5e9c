#ifndef MARIGOLDSPOOL_PEER_PEERTABLE_H
#define MARIGOLDSPOOL_PEER_PEERTABLE_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Support/Clock.h"

#include <map>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// State of a peer as of its last heartbeat.
struct PeerInfo {
    InstanceId id;
    std::uint64_t incarnation = 0;
    ZoneName zone;
    std::string address;
    std::uint64_t configVersion = 0;
    std::int64_t configAgeMs = -1;
    std::uint64_t rosterEpoch = 0;
    bool stopping = false;
    SteadyTime lastHeard;
};

/// Tracks which peers are alive from the heartbeats they send.
class PeerTable
{
public:
    PeerTable(InstanceId self, ZoneName zone, const Clock &clock);

    /// Ignores heartbeats of an incarnation older than the newest one received.
    void recordHeartbeat(const InstanceId &id, std::uint64_t incarnation,
                         const Heartbeat &heartbeat);
    /// Treats the peer as not alive until its next heartbeat.
    void markDown(const InstanceId &id);
    /// Removes peers that have sent no heartbeat for the retention time.
    void onTick();

    /// Peers with a heartbeat within the liveness timeout, without this instance, ordered by id.
    std::vector<PeerInfo> alivePeers() const;
    std::vector<PeerInfo> alivePeersInZone(const ZoneName &zone) const;
    /// Ids of the live instances of \p zone that are not stopping, including this instance if it is
    /// in \p zone.
    std::vector<InstanceId> candidatesInZone(const ZoneName &zone) const;
    bool isAlive(const InstanceId &id) const;

private:
    InstanceId m_self;
    ZoneName m_zone;
    const Clock &m_clock;
    std::map<InstanceId, PeerInfo> m_peers;
};

/// The candidate with the highest rendezvous hash for \p key; \p candidates must not be empty.
InstanceId rendezvousOwner(std::string_view key, gsl::span<const InstanceId> candidates);
/// All candidates in descending order of their rendezvous hash for \p key.
std::vector<InstanceId> rendezvousOrder(std::string_view key,
                                        gsl::span<const InstanceId> candidates);

} // namespace marigoldspool

#endif
