#ifndef MARIGOLDSPOOL_LIMITS_ROSTERMANAGER_H
#define MARIGOLDSPOOL_LIMITS_ROSTERMANAGER_H

#include "marigoldspool/Limits/LimitTypes.h"
#include "marigoldspool/Limits/Roster.h"
#include "marigoldspool/Peer/PeerTable.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/RandomSource.h"

#include <map>
#include <optional>
#include <set>

namespace marigoldspool {

/// Adds this instance to its zone's roster and removes dead and released members from it.
class RosterManager
{
public:
    RosterManager(const LimitOptions &options, InstanceId self, std::uint64_t incarnation,
                  ZoneName zone, SteadyTime now, RandomSource &random);

    const RosterState &state() const { return m_state; }
    const RosterRecord &record() const { return m_state.record(); }

    /// Handles the roster as read; version 0 means that it does not exist. Returns whether the
    /// epoch is new.
    bool onRoster(const StoredObject &object);
    bool onStoreReply(const WriteId &writeId, const Expected<std::uint64_t> &reply, SteadyTime now);
    void onReadFailed(SteadyTime now);
    void onAck(const InstanceId &from, std::uint64_t incarnation, const EpochAck &ack);
    void onPeers(gsl::span<const PeerInfo> alive, SteadyTime now);
    void onPlatformInstances(gsl::span<const PlatformInstance> list, SteadyTime now);

    /// Acknowledges the latest epoch if \p covered, that is, if this instance holds at least what
    /// it uses and lends, and increases the share if possible. Returns whether the share has
    /// changed.
    bool advance(bool covered, SteadyTime now);
    /// Sets the share to 0; this instance leaves the roster once what it has lent is back.
    void release();
    bool isReleasing() const { return m_releasing; }
    /// Whether this instance has joined a roster that held no earlier incarnation of it.
    bool joinedWithoutPredecessor() const { return m_joinedWithoutPredecessor; }
    /// Whether nothing is expected from the store or from other members.
    bool isIdle() const;

    /// Adds the acknowledgements, reads and writes that are due.
    void takeActions(LimitActions &actions, SteadyTime now);

private:
    /// Tracks whether a member is missing from the platform's list.
    struct MemberAbsence {
        bool wasListed = false;
        /// When the member was found missing or was last alive as a peer after that; empty while
        /// it is listed.
        std::optional<SteadyTime> since;
        /// When the last list was received.
        SteadyTime checkedAt;
    };

    bool applyRecord(RosterRecord record, std::uint64_t version);
    void backOff(SteadyTime now);
    void sendAcks(LimitActions &actions, SteadyTime now);
    std::optional<RosterRecord> dueChange(SteadyTime now) const;
    std::optional<InstanceId> removableMember(SteadyTime now) const;

    const LimitOptions *m_options;
    InstanceId m_self;
    std::uint64_t m_incarnation;
    ZoneName m_zone;
    RandomSource *m_random;
    RosterState m_state;
    std::uint64_t m_version = 0;
    bool m_hasReadRoster = false;
    bool m_readDue = true;
    std::optional<SteadyTime> m_readSentAt;
    SteadyTime m_nextRefresh;
    SteadyTime m_nextAttempt;
    Duration m_backoff = Duration::zero();
    struct PendingWrite {
        WriteId id;
        RosterRecord record;
        SteadyTime sentAt;
        /// Adds this instance to a roster that holds no incarnation of it.
        bool joinsWithoutPredecessor = false;
    };
    std::optional<PendingWrite> m_pendingWrite;
    bool m_joinedWithoutPredecessor = false;
    bool m_releasing = false;
    bool m_readyToLeave = false;
    std::uint64_t m_ackSentEpoch = 0;
    bool m_releaseSent = false;
    SteadyTime m_nextAck;
    std::map<InstanceId, MemberAbsence> m_memberAbsences;
    std::map<InstanceId, std::uint64_t> m_releasedMembers;
};

} // namespace marigoldspool

#endif
