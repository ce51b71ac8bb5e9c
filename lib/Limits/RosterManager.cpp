#include "marigoldspool/Limits/RosterManager.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// When a zone starts, all members write the same object, so conflicts are expected.
constexpr Duration MinBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxBackoff = std::chrono::seconds(5);
// An answer that has not arrived by then is considered lost.
constexpr Duration StoreTimeout = std::chrono::seconds(5);
// Limits the rate of acknowledgements, which go to the whole zone: while a zone starts there is an
// epoch for each member.
constexpr Duration AckInterval = std::chrono::milliseconds(500);
// Delay between members, so that they do not all remove a dead one at the same time.
constexpr Duration RemovalStagger = std::chrono::seconds(1);

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

RosterManager::RosterManager(const LimitOptions &options, InstanceId self,
                             std::uint64_t incarnation, ZoneName zone, SteadyTime now,
                             RandomSource &random)
    : m_options(&options)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_zone(std::move(zone))
    , m_random(&random)
    , m_state(std::move(self), incarnation,
              now + scaled(options.loanTerm, (1 + options.clockError) / (1 - options.clockError)))
    , m_nextRefresh(now)
    , m_nextAttempt(now)
    , m_nextAck(now)
{ }

bool RosterManager::applyRecord(RosterRecord record, std::uint64_t version)
{
    m_hasReadRoster = true;
    if (version <= m_version) {
        return false;
    }
    m_version = version;
    return m_state.onRoster(std::move(record));
}

bool RosterManager::onRoster(const StoredObject &object)
{
    m_readSentAt.reset();
    m_readDue = false;
    if (object.version == 0) {
        m_hasReadRoster = true;
        return false;
    }
    Expected<RosterRecord> record = parseRoster(object.value);
    if (!record) {
        logEvent(LogLevel::Error, "roster_malformed", {{"error", describeError(record.error())}});
        return false;
    }
    return applyRecord(std::move(*record), object.version);
}

bool RosterManager::onStoreReply(const WriteId &writeId, const Expected<std::uint64_t> &reply,
                                 SteadyTime now)
{
    if (!m_pendingWrite || m_pendingWrite->id != writeId) {
        return false;
    }
    const PendingWrite write = std::move(*m_pendingWrite);
    m_pendingWrite.reset();
    if (!reply) {
        // Reading the roster shows whether a write with a lost answer took effect.
        m_readDue = true;
        backOff(now);
        return false;
    }
    m_backoff = Duration::zero();
    m_joinedWithoutPredecessor = m_joinedWithoutPredecessor || write.joinsWithoutPredecessor;
    return applyRecord(write.record, *reply);
}

void RosterManager::onReadFailed(SteadyTime now)
{
    m_readSentAt.reset();
    backOff(now);
}

void RosterManager::backOff(SteadyTime now)
{
    m_backoff = std::clamp(2 * m_backoff, MinBackoff, MaxBackoff);
    m_nextAttempt = now + scaled(m_backoff, 0.5 + m_random->uniform());
}

void RosterManager::onAck(const InstanceId &from, std::uint64_t incarnation, const EpochAck &ack)
{
    if (ack.memberIncarnation != incarnation) {
        return;
    }
    m_state.onAck(from, incarnation, ack.epoch);
    if (ack.released) {
        m_releasedMembers[from] = incarnation;
    }
    m_readDue = m_readDue || ack.epoch > record().epoch;
}

void RosterManager::onPeers(gsl::span<const PeerInfo> alive, SteadyTime now)
{
    for (const PeerInfo &peer : alive) {
        if (peer.zone != m_zone) {
            continue;
        }
        m_state.onAck(peer.id, peer.incarnation, peer.rosterEpoch);
        m_readDue = m_readDue || peer.rosterEpoch > record().epoch;
        const auto it = m_memberAbsences.find(peer.id);
        if (it != m_memberAbsences.end() && it->second.since) {
            it->second.since = now;
        }
    }
}

void RosterManager::onPlatformInstances(gsl::span<const PlatformInstance> list, SteadyTime now)
{
    for (const RosterMember &member : record().members) {
        const bool listed = std::any_of(list.begin(), list.end(), [&](const auto &instance) {
            return instance.id == member.id.str();
        });
        MemberAbsence &absence = m_memberAbsences[member.id];
        if (listed) {
            absence = {true, std::nullopt, now};
        } else if (absence.wasListed && !absence.since) {
            absence.since = now;
        }
        absence.checkedAt = now;
    }
    for (auto it = m_memberAbsences.begin(); it != m_memberAbsences.end();) {
        it = record().find(it->first) == nullptr ? m_memberAbsences.erase(it) : std::next(it);
    }
}

bool RosterManager::advance(bool covered, SteadyTime now)
{
    if (covered) {
        m_readyToLeave = m_releasing;
        m_state.acknowledge();
    }
    if (!m_state.canGrow(now)) {
        return false;
    }
    m_state.grow();
    logEvent(LogLevel::Info, "limit_share_grown",
             {{"epoch", std::to_string(record().epoch)},
              {"members", std::to_string(record().members.size())}});
    return true;
}

void RosterManager::release()
{
    m_releasing = true;
    m_state.release();
}

bool RosterManager::isIdle() const
{
    return m_hasReadRoster && !m_readDue && !m_readSentAt && !m_pendingWrite
        && m_state.isMember() != m_releasing && m_state.acknowledgedEpoch() == record().epoch
        && m_ackSentEpoch == record().epoch && m_state.hasAllAcks();
}

std::optional<InstanceId> RosterManager::removableMember(SteadyTime now) const
{
    Duration stagger = Duration::zero();
    std::optional<InstanceId> removable;
    for (const RosterMember &member : record().members) {
        if (member.id == m_self) {
            break;
        }
        stagger += RemovalStagger;
    }
    for (const RosterMember &member : record().members) {
        if (member.id == m_self) {
            continue;
        }
        const auto released = m_releasedMembers.find(member.id);
        if (released != m_releasedMembers.end() && released->second == member.incarnation) {
            return member.id;
        }
        const auto it = m_memberAbsences.find(member.id);
        if (it == m_memberAbsences.end() || !it->second.since) {
            continue;
        }
        const SteadyTime due = *it->second.since + m_options->reclaimDelay;
        // The member must also be missing from a list received after the delay.
        if (it->second.checkedAt >= due && now >= due + stagger) {
            removable = member.id;
        }
    }
    return removable;
}

std::optional<RosterRecord> RosterManager::dueChange(SteadyTime now) const
{
    if (m_releasing) {
        if (m_state.isMember() && m_readyToLeave) {
            return record().withoutMember(m_self);
        }
        return std::nullopt;
    }
    if (!m_state.isMember()) {
        return record().withMember({m_self, m_incarnation});
    }
    const std::optional<InstanceId> dead = removableMember(now);
    if (!dead) {
        return std::nullopt;
    }
    logEvent(LogLevel::Info, "roster_member_removed", {{"member", dead->str()}});
    return record().withoutMember(*dead);
}

void RosterManager::sendAcks(LimitActions &actions, SteadyTime now)
{
    const std::uint64_t epoch = m_state.acknowledgedEpoch();
    const bool releaseDue = m_releasing && m_readyToLeave && !m_releaseSent;
    if (now < m_nextAck || (epoch <= m_ackSentEpoch && !releaseDue)) {
        return;
    }
    m_nextAck = now + AckInterval;
    m_ackSentEpoch = epoch;
    m_releaseSent = m_releasing && m_readyToLeave;
    for (const RosterMember &member : record().members) {
        if (member.id != m_self) {
            actions.send.push_back({member.id, EpochAck{epoch, m_incarnation, m_releaseSent}});
        }
    }
}

void RosterManager::takeActions(LimitActions &actions, SteadyTime now)
{
    sendAcks(actions, now);
    if (m_pendingWrite && now - m_pendingWrite->sentAt >= StoreTimeout) {
        m_pendingWrite.reset();
        m_readDue = true;
    }
    if (m_readSentAt && now - *m_readSentAt >= StoreTimeout) {
        onReadFailed(now);
        m_readDue = true;
    }
    if (m_pendingWrite || m_readSentAt || now < m_nextAttempt) {
        return;
    }
    if (m_readDue || !m_hasReadRoster || now >= m_nextRefresh) {
        m_readDue = true;
        m_readSentAt = now;
        m_nextRefresh = now + scaled(m_options->rosterRefresh, 0.5 + m_random->uniform());
        actions.reads.push_back(rosterKey(m_zone));
        return;
    }
    std::optional<RosterRecord> change = dueChange(now);
    if (!change) {
        return;
    }
    const WriteId id("roster-" + m_self.str() + "-" + m_random->hex(16));
    actions.writes.push_back({rosterKey(m_zone), m_version, serializeRoster(*change), id});
    m_pendingWrite = PendingWrite{id, std::move(*change), now, record().find(m_self) == nullptr};
}

} // namespace marigoldspool
