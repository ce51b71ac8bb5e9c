#ifndef MARIGOLDSPOOL_LIMITS_ROSTER_H
#define MARIGOLDSPOOL_LIMITS_ROSTER_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldspool {

struct RosterMember {
    InstanceId id;
    std::uint64_t incarnation = 0;
};

/// The stored object `limits/roster/<zone>`: the members that divide the zone's fraction of each
/// limit.
struct RosterRecord {
    std::uint64_t epoch = 0;
    /// Ordered by id, each id once.
    std::vector<RosterMember> members;

    const RosterMember *find(const InstanceId &id) const;
    /// The record of the next epoch with \p member added or replacing its other incarnation.
    RosterRecord withMember(const RosterMember &member) const;
    /// The record of the next epoch without \p id.
    RosterRecord withoutMember(const InstanceId &id) const;
};

std::string rosterKey(const ZoneName &zone);
std::string serializeRoster(const RosterRecord &record);
/// Fails with Malformed.
Expected<RosterRecord> parseRoster(std::string_view text);

/// Tracks the roster of a zone as one of its instances knows it, and the instance's share of the
/// zone's fraction.
///
/// A member reduces its share as soon as it learns of an epoch, and acknowledges the epoch
/// afterwards. It increases its share only in the latest epoch it knows, once every other member
/// has acknowledged exactly that epoch. The shares in use in a zone therefore never exceed 1 in
/// total.
class RosterState
{
public:
    /// The share cannot grow before \p earliestGrowth: until then, loans made by an earlier
    /// incarnation of this instance may be in use.
    RosterState(InstanceId self, std::uint64_t incarnation, SteadyTime earliestGrowth);

    /// Ignores an epoch that is not newer than the latest one. Returns whether it was newer.
    bool onRoster(RosterRecord record);
    void onAck(const InstanceId &from, std::uint64_t incarnation, std::uint64_t epoch);
    /// Acknowledges the latest epoch; the present share must cover all loans.
    void acknowledge();
    bool canGrow(SteadyTime now) const;
    /// Whether the latest epoch is in force: this instance is a member and not shutting
    /// down, all members have acknowledged the epoch, and the share may grow by now.
    bool isEpochInForce(SteadyTime now) const;
    /// Sets the share to that of the latest epoch; canGrow() must hold.
    void grow();
    /// Sets the share to 0 permanently.
    void release();

    /// Share of the zone's fraction, 0 to 1.
    double share() const { return m_share; }
    const RosterRecord &record() const { return m_record; }
    std::uint64_t acknowledgedEpoch() const { return m_acknowledgedEpoch; }
    bool isMember() const;
    /// Other members of the latest epoch that have not acknowledged it.
    std::vector<InstanceId> missingAcks() const;
    bool hasAllAcks() const { return m_hasAllAcks; }

private:
    double targetShare() const;
    bool hasAcknowledged(const RosterMember &member) const;

    InstanceId m_self;
    std::uint64_t m_incarnation;
    SteadyTime m_earliestGrowth;
    RosterRecord m_record;
    double m_share = 0;
    bool m_released = false;
    std::uint64_t m_acknowledgedEpoch = 0;
    /// Caches missingAcks().empty(), which is needed at every event.
    bool m_hasAllAcks = true;
    /// The latest incarnation of each instance and the last epoch it acknowledged.
    std::map<InstanceId, std::pair<std::uint64_t, std::uint64_t>> m_acks;
};

} // namespace marigoldspool

#endif
