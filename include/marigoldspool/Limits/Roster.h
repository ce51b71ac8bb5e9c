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

/// The object `limits/roster/<zone>`: who shares the zone's fraction of each limit.
struct RosterRecord {
    std::uint64_t epoch = 0;
    /// Ordered by id, each id once.
    std::vector<RosterMember> members;

    const RosterMember *find(const InstanceId &id) const;
    /// The record of the next epoch with \p member added, or in place of its older incarnation.
    RosterRecord with(const RosterMember &member) const;
    /// The record of the next epoch without \p id.
    RosterRecord without(const InstanceId &id) const;
};

std::string rosterKey(const ZoneName &zone);
std::string serializeRoster(const RosterRecord &record);
/// Fails with Malformed.
Expected<RosterRecord> parseRoster(std::string_view text);

/// What one instance knows of its zone's roster, and how much of the zone's fraction it may use.
///
/// A member shrinks as soon as it learns of an epoch and acknowledges the epoch afterwards. It
/// grows only in the latest epoch it knows, once every other member has acknowledged exactly that
/// epoch. The shares in use in a zone therefore never exceed the whole.
class RosterState
{
public:
    /// Growth is not possible before \p firstGrowth: a predecessor of this instance may have lent
    /// its share out until then.
    RosterState(InstanceId self, std::uint64_t incarnation, SteadyTime firstGrowth);

    /// Ignores an epoch that is not newer than the latest one. Returns whether it was newer.
    bool onRosterSeen(RosterRecord record);
    void onAck(const InstanceId &from, std::uint64_t incarnation, std::uint64_t epoch);
    /// The shrunken share is in force and all loans fit in it.
    void acknowledge();
    bool growthPossible(SteadyTime now) const;
    /// Whether the latest epoch is in force: this instance is in it and every member has
    /// acknowledged it.
    bool complete(SteadyTime now) const;
    /// Sets the share to that of the latest epoch; growthPossible() must hold.
    void grow();
    /// Uses no share from now on.
    void release();

    /// Part of the zone's fraction, 0 to 1.
    double share() const { return m_share; }
    const RosterRecord &record() const { return m_record; }
    std::uint64_t acknowledgedEpoch() const { return m_acknowledged; }
    bool isMember() const;
    /// Members of the latest epoch without this instance that have not acknowledged it.
    std::vector<InstanceId> missingAcks() const;
    bool allAcknowledged() const { return m_allAcknowledged; }

private:
    double targetShare() const;
    bool hasAcknowledged(const RosterMember &member) const;

    InstanceId m_self;
    std::uint64_t m_incarnation;
    SteadyTime m_firstGrowth;
    RosterRecord m_record;
    double m_share = 0;
    bool m_released = false;
    std::uint64_t m_acknowledged = 0;
    /// missingAcks() is empty; kept because it is asked for at every event.
    bool m_allAcknowledged = true;
    /// Incarnation and the epoch it acknowledged last.
    std::map<InstanceId, std::pair<std::uint64_t, std::uint64_t>> m_acks;
};

} // namespace marigoldspool

#endif
