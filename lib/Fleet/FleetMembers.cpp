// The part of FleetState that keeps the list of instances and this instance's own object in it.
#include "Fleet/FleetState.h"

#include "Fleet/FleetLink.h"
#include "Fleet/WatchedPrefix.h"
#include "marigoldspool/Peer/PeerTable.h"
#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/IpAddress.h"
#include "marigoldspool/Support/JsonText.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;

constexpr std::size_t WatchersInSmallFleet = 2;
constexpr std::size_t WatchersInZone = 2;
constexpr Duration RegisterInterval = std::chrono::seconds(1);
constexpr Duration RemovalInterval = std::chrono::seconds(1);
const std::string StoppingState = "stopping";

std::optional<FleetMember> decodeMember(const InstanceId &id, std::string_view text)
{
    const json value = parseJson(text);
    if (id.empty() || !value.is_object() || !value.contains("peer") || !value["peer"].is_string()
        || !value.contains("zone") || !value["zone"].is_string()) {
        return std::nullopt;
    }
    FleetMember member;
    member.id = id;
    member.zone = ZoneName(value["zone"].get<std::string>());
    member.peerAddress = value["peer"].get<std::string>();
    const json incarnation = value.value("incarnation", json());
    member.incarnation = incarnation.is_number_unsigned() ? incarnation.get<std::uint64_t>() : 0;
    // Objects of earlier versions have no state; those instances serve.
    member.isStopping = value.value("state", json()) == StoppingState;
    // An instance that cannot be reached would still take a share of all limits.
    return isConnectableAddress(member.peerAddress) ? std::make_optional(std::move(member))
                                                    : std::nullopt;
}

} // namespace

void FleetState::onMember(const WatchEvent &event)
{
    const InstanceId id(nameInKey(event.key));
    if (event.deleted && id == m_runtime.options.instance) {
        onOwnObject(event.version, nullptr);
    }
    if (event.deleted && holdBack(event)) {
        return;
    }
    m_heldBack.erase(event.key);
    m_expired.erase(id);
    std::string_view change = "instance_left";
    if (event.deleted) {
        m_members.erase(id);
    } else {
        std::optional<FleetMember> member = decodeMember(id, event.value);
        if (!member) {
            m_runtime.metrics->add("marigoldspool_unreadable_objects_total", 1,
                                   {{"kind", "instance"}});
            logEvent(LogLevel::Warning, "instance_unreadable", {{"instance", id.str()}});
            return;
        }
        member->version = event.version;
        if (id == m_runtime.options.instance) {
            onOwnObject(event.version, &*member);
        }
        change = member->isStopping ? "instance_stopping" : "instance_joined";
        if (member->isStopping) {
            const auto known = m_members.find(id);
            const bool isSameStop = known != m_members.end() && known->second.isStopping
                && known->second.incarnation == member->incarnation;
            member->goneAt = isSameStop ? known->second.goneAt
                                        : m_runtime.clock.now() + m_runtime.options.gracePeriod;
        }
        m_members[id] = std::move(*member);
    }
    logEvent(LogLevel::Info, change,
             {{"instance", id.str()}, {"instances", std::to_string(memberCount())}});
    if (m_areMembersKnown) {
        applyMembers();
    }
}

// An instance that is killed in its planned stop leaves its object behind. The platform kills it at
// the end of its grace period at the latest, which began before the object was written.
void FleetState::expireStoppedMembers()
{
    const SteadyTime now = m_runtime.clock.now();
    bool hasExpired = false;
    for (auto it = m_members.begin(); it != m_members.end();) {
        const FleetMember &member = it->second;
        if (now < member.goneAt) {
            ++it;
            continue;
        }
        logEvent(LogLevel::Warning, "instance_expired",
                 {{"instance", member.id.str()},
                  {"incarnation", std::to_string(member.incarnation)},
                  {"store_version", positionText(member.version)}});
        m_runtime.metrics->add("marigoldspool_instances_expired_total");
        m_expired[member.id] = member.version;
        it = m_members.erase(it);
        hasExpired = true;
    }
    if (hasExpired && m_areMembersKnown) {
        applyMembers();
    }
}

// The first watcher removes them, so that not all instances call the store. The condition on the
// version keeps the object of a process that has started again meanwhile.
void FleetState::removeExpired()
{
    const SteadyTime now = m_runtime.clock.now();
    if (m_expired.empty() || m_isRemovingExpired || !m_isFirstWatcher || now < m_nextRemoval) {
        return;
    }
    m_isRemovingExpired = true;
    m_nextRemoval = now + RemovalInterval;
    const auto &[id, version] = *m_expired.begin();
    m_runtime.store->remove(
        MemberPrefix + id.str(), version, [this, id = id](const Expected<std::uint64_t> &result) {
            m_isRemovingExpired = false;
            const bool isGone = result || result.error().kind == ErrorKind::NotFound
                || result.error().kind == ErrorKind::Conflict;
            if (isGone) {
                m_expired.erase(id);
            }
            logEvent(LogLevel::Info, "instance_object_removed",
                     {{"instance", id.str()},
                      {"result", result ? "removed" : describeError(result.error())}});
        });
}

std::size_t FleetState::memberCount() const
{
    // This instance uses its own share from its start, even before it is listed.
    const bool isListed = m_members.count(m_runtime.options.instance) > 0;
    return m_members.size() + (isListed ? 0 : 1);
}

std::vector<TopologyMember> FleetState::topology() const
{
    std::vector<TopologyMember> members;
    members.reserve(m_members.size());
    for (const auto &[id, member] : m_members) {
        members.push_back({id, member.zone, member.isStopping});
    }
    return members;
}

std::vector<TopologyMember> FleetState::ownZoneTopology() const
{
    std::vector<TopologyMember> members;
    for (const TopologyMember &member : topology()) {
        if (member.zone == m_runtime.options.zone) {
            members.push_back(member);
        }
    }
    return members;
}

// Stopping instances still send requests and use quotas, so they keep their shares.
void FleetState::applyMembers()
{
    const std::size_t count = memberCount();
    m_runtime.quota.setInstanceCount(count);
    m_runtime.retries.setInstanceCount(count);
    m_runtime.directory.setMembers(topology());
    chooseWatchers();
    if (m_onMembers) {
        m_onMembers();
    }
}

FleetState::Registration FleetState::wantedRegistration() const
{
    if (m_isUnregistering) {
        return Registration::None;
    }
    return m_runtime.stopping ? Registration::Stopping : Registration::Serving;
}

// A planned stop is two facts for the others: this instance takes no new duty from its begin, and
// is gone at its end. Until then it serves requests, so they keep their connections with it.
void FleetState::registerSelf()
{
    const SteadyTime now = m_runtime.clock.now();
    const Registration wanted = wantedRegistration();
    if (std::exchange(m_wantedRegistration, wanted) != wanted) {
        m_nextRegistration = now;
    }
    if (m_isWritingRegistration || now < m_nextRegistration || wanted == m_registration
        || !find(MemberPrefix)->mirror.hasSnapshot()) {
        return;
    }
    m_isWritingRegistration = true;
    m_nextRegistration = now + RegisterInterval;
    writeRegistration(wanted);
}

void FleetState::writeRegistration(Registration wanted)
{
    const std::string key = MemberPrefix + m_runtime.options.instance.str();
    const auto done = [this, wanted](const Expected<std::uint64_t> &result) {
        onRegistrationWritten(wanted, result);
    };
    if (wanted == Registration::None) {
        m_runtime.store->remove(key, m_ownVersion, done);
        return;
    }
    json value = {{"zone", m_runtime.options.zone.str()},
                  {"peer", m_runtime.options.peerAddress},
                  {"incarnation", m_runtime.incarnation}};
    if (wanted == Registration::Stopping) {
        value["state"] = StoppingState;
    }
    m_runtime.store->put(key, m_ownVersion, value.dump(), WriteId(m_runtime.random.hex(16)), done);
}

void FleetState::onRegistrationWritten(Registration written, const Expected<std::uint64_t> &result)
{
    m_isWritingRegistration = false;
    const bool isRemoval = written == Registration::None;
    const bool isAbsent = isRemoval && !result && result.error().kind == ErrorKind::NotFound;
    if (result || isAbsent) {
        m_registration = written;
        m_ownVersion = isRemoval ? 0 : *result;
        const bool isStopping = written == Registration::Stopping;
        logEvent(LogLevel::Info, isRemoval ? "unregistered" : "registered",
                 {{"state",
                   isRemoval        ? "none"
                       : isStopping ? StoppingState
                                    : "serving"},
                  {"version", std::to_string(m_ownVersion)}});
        return;
    }
    // After a conflict, the watch provides the current version.
    if (result.error().kind != ErrorKind::Conflict) {
        logEvent(LogLevel::Warning, "registration_failed",
                 {{"error", describeError(result.error())}});
    }
}

void FleetState::onOwnObject(std::uint64_t version, const FleetMember *member)
{
    const bool hasUnregistered = m_isUnregistering && isUnregistered();
    if (version < m_ownVersion || hasUnregistered) {
        return;
    }
    m_ownVersion = member == nullptr ? 0 : version;
    if (member == nullptr) {
        m_registration = Registration::None;
    } else if (member->incarnation != m_runtime.incarnation) {
        m_registration = Registration::Earlier;
    } else {
        m_registration = member->isStopping ? Registration::Stopping : Registration::Serving;
    }
}

// In a small fleet, two instances watch for all others, in different zones if possible; in a large
// one, two instances per zone.
void FleetState::chooseWatchers()
{
    const InstanceId &self = m_runtime.options.instance;
    const bool isSmall = m_members.size() <= FleetLink::MaxMeshMembers;
    std::vector<InstanceId> ranked =
        rendezvousOrder("watchers", electableMembers(isSmall ? topology() : ownZoneTopology()));
    bool isWatcher = true;
    // The object of an earlier process may name another zone.
    if (m_members.count(self) > 0 && !ranked.empty()) {
        const ZoneName firstZone = m_members[ranked.front()].zone;
        std::stable_partition(ranked.begin() + 1, ranked.end(), [&](const InstanceId &id) {
            return m_members[id].zone != firstZone;
        });
        ranked.resize(std::min(ranked.size(), isSmall ? WatchersInSmallFleet : WatchersInZone));
        isWatcher = std::find(ranked.begin(), ranked.end(), self) != ranked.end();
        m_isFirstWatcher = ranked.front() == self;
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

// In a large fleet, each zone has its own watchers, so that changes are not sent between zones.
bool FleetState::sendsBeaconsTo(const InstanceId &peer) const
{
    return m_members.size() <= FleetLink::MaxMeshMembers || m_members.count(peer) == 0
        || isInOwnZone(peer);
}

bool FleetState::sendsChangesTo(const InstanceId &peer) const
{
    return m_isFirstWatcher && sendsBeaconsTo(peer);
}

} // namespace marigoldspool
