#ifndef MARIGOLDSPOOL_PEER_PEERTABLE_H
#define MARIGOLDSPOOL_PEER_PEERTABLE_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Support/Clock.h"

#include <map>
#include <string_view>
#include <vector>

namespace marigoldspool {

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

/// Which peers are alive, judged by their heartbeats.
class PeerTable
{
public:
    PeerTable(InstanceId self, ZoneName zone, const Clock &clock);

    /// A heartbeat of an older incarnation than the newest one heard is ignored.
    void recordHeartbeat(const InstanceId &id, std::uint64_t incarnation,
                         const Heartbeat &heartbeat);
    /// Suspects the peer until it is heard again.
    void markDown(const InstanceId &id);
    /// Forgets peers that have been silent for the retention time.
    void onTick();

    /// Peers heard within the suspicion time, without this instance, ordered by id.
    std::vector<PeerInfo> alivePeers() const;
    std::vector<PeerInfo> alivePeersInZone(const ZoneName &zone) const;
    /// Ids of the live instances of \p zone that take new work, with this instance if it is in it.
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
/// All candidates, the highest rendezvous hash first.
std::vector<InstanceId> rendezvousOrder(std::string_view key,
                                        gsl::span<const InstanceId> candidates);

} // namespace marigoldspool

#endif
