#include "marigoldspool/Limits/Roster.h"

#include <algorithm>
#include <cassert>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

bool hasSmallerId(const RosterMember &member, const InstanceId &id)
{
    return member.id < id;
}

tl::unexpected<Error> malformedRoster(std::string cause)
{
    return unexpectedError(ErrorKind::Malformed, "the roster is malformed: " + std::move(cause),
                           "remove the object; the instances of the zone create it again");
}

} // namespace

const RosterMember *RosterRecord::find(const InstanceId &id) const
{
    const auto it = std::lower_bound(members.begin(), members.end(), id, hasSmallerId);
    return it != members.end() && it->id == id ? &*it : nullptr;
}

RosterRecord RosterRecord::withMember(const RosterMember &member) const
{
    RosterRecord next = withoutMember(member.id);
    const auto it =
        std::lower_bound(next.members.begin(), next.members.end(), member.id, hasSmallerId);
    next.members.insert(it, member);
    return next;
}

RosterRecord RosterRecord::withoutMember(const InstanceId &id) const
{
    RosterRecord next;
    next.epoch = epoch + 1;
    for (const RosterMember &member : members) {
        if (member.id != id) {
            next.members.push_back(member);
        }
    }
    return next;
}

std::string rosterKey(const ZoneName &zone)
{
    return "limits/roster/" + zone.str();
}

std::string serializeRoster(const RosterRecord &record)
{
    nlohmann::json members = nlohmann::json::array();
    for (const RosterMember &member : record.members) {
        members.push_back({{"id", member.id.str()}, {"incarnation", member.incarnation}});
    }
    return nlohmann::json{{"epoch", record.epoch}, {"members", members}}.dump();
}

Expected<RosterRecord> parseRoster(std::string_view text)
{
    RosterRecord record;
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        record.epoch = json.at("epoch").get<std::uint64_t>();
        for (const nlohmann::json &member : json.at("members")) {
            record.members.push_back({InstanceId(member.at("id").get<std::string>()),
                                      member.at("incarnation").get<std::uint64_t>()});
        }
    } catch (const nlohmann::json::exception &e) {
        return malformedRoster(e.what());
    }
    const auto notAscending = [](const RosterMember &a, const RosterMember &b) {
        return !(a.id < b.id);
    };
    const auto &members = record.members;
    if (std::adjacent_find(members.begin(), members.end(), notAscending) != members.end()) {
        return malformedRoster("the members are not in ascending order of their ids");
    }
    return record;
}

RosterState::RosterState(InstanceId self, std::uint64_t incarnation, SteadyTime earliestGrowth)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_earliestGrowth(earliestGrowth)
{ }

bool RosterState::isMember() const
{
    const RosterMember *member = m_record.find(m_self);
    return member != nullptr && member->incarnation == m_incarnation;
}

double RosterState::targetShare() const
{
    return isMember() && !m_released ? 1.0 / static_cast<double>(m_record.members.size()) : 0;
}

bool RosterState::onRoster(RosterRecord record)
{
    if (record.epoch <= m_record.epoch) {
        return false;
    }
    m_record = std::move(record);
    m_share = std::min(m_share, targetShare());
    m_hasAllAcks = missingAcks().empty();
    return true;
}

void RosterState::onAck(const InstanceId &from, std::uint64_t incarnation, std::uint64_t epoch)
{
    auto &[lastIncarnation, lastEpoch] = m_acks[from];
    if (std::pair(incarnation, epoch) > std::pair(lastIncarnation, lastEpoch)) {
        lastIncarnation = incarnation;
        lastEpoch = epoch;
        m_hasAllAcks = missingAcks().empty();
    }
}

void RosterState::acknowledge()
{
    m_acknowledgedEpoch = m_record.epoch;
}

bool RosterState::hasAcknowledged(const RosterMember &member) const
{
    const auto it = m_acks.find(member.id);
    return it != m_acks.end() && it->second == std::pair(member.incarnation, m_record.epoch);
}

std::vector<InstanceId> RosterState::missingAcks() const
{
    std::vector<InstanceId> missing;
    for (const RosterMember &member : m_record.members) {
        if (member.id != m_self && !hasAcknowledged(member)) {
            missing.push_back(member.id);
        }
    }
    return missing;
}

bool RosterState::canGrow(SteadyTime now) const
{
    return m_share < targetShare() && isEpochInForce(now);
}

bool RosterState::isEpochInForce(SteadyTime now) const
{
    return isMember() && !m_released && now >= m_earliestGrowth
        && m_acknowledgedEpoch == m_record.epoch && m_hasAllAcks;
}

void RosterState::grow()
{
    m_share = std::max(m_share, targetShare());
}

void RosterState::release()
{
    m_released = true;
    m_share = 0;
}

} // namespace marigoldspool
