#include "marigoldspool/Serving/EndpointSuspicions.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t ConfirmingNotices = 3;
constexpr std::size_t ConfirmingZones = 2;
// When an endpoint stops or a link is cut, the last bytes have come at times up to this far apart.
constexpr Duration LastBytesSpread = EndpointSuspicions::MinSilence / 2;
// An instance that has heard from no other endpoint of the zone in this time may itself be cut off.
constexpr Duration MaxZoneSilence = EndpointSuspicions::MinSilence - LastBytesSpread;
// After this time, the hub passes on notices of another author instead of one that has not repeated
// its own. The notices that were passed on still count then.
constexpr Duration AuthorLifetime = EndpointSuspicions::RepeatInterval * 3 / 2;
constexpr Duration HeardRetention = std::chrono::seconds(60);
// A longer time in a notice says no more, and the request would have ended.
constexpr std::int64_t MaxSilenceMs = 60'000;

} // namespace

std::string_view suspicionChangeName(SuspicionChangeKind kind)
{
    switch (kind) {
    case SuspicionChangeKind::Noticed:
        return "noticed";
    case SuspicionChangeKind::Confirmed:
        return "confirmed";
    case SuspicionChangeKind::Ended:
        return "ended";
    case SuspicionChangeKind::Expired:
        return "expired";
    }
    return "unknown";
}

EndpointSuspicions::EndpointSuspicions(InstanceId self, ZoneName zone, const Clock &clock)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_ownZone(std::move(zone))
{
    m_zones[m_self] = m_ownZone;
}

void EndpointSuspicions::setMembers(gsl::span<const TopologyMember> members)
{
    m_zones.clear();
    for (const TopologyMember &it : members) {
        m_zones[it.id] = it.zone;
    }
    m_zones[m_self] = m_ownZone;
}

void EndpointSuspicions::onByte(const EndpointIncarnation &from, const ZoneName &zone,
                                SteadyTime observedAt)
{
    const SteadyTime now = m_clock.now();
    Heard &heard = m_heard[from.endpoint];
    if (from.startedAtMs < heard.startedAtMs) {
        return;
    }
    heard = {from.startedAtMs, zone, now, observedAt};
    const auto own = m_own.find(from.endpoint);
    if (own != m_own.end() && own->second.startedAtMs <= from.startedAtMs) {
        if (own->second.toldAt) {
            m_ended.push_back({from.endpoint, own->second.startedAtMs, 0, true, m_self});
        }
        m_own.erase(own);
    }
    const auto it = m_suspicions.find(from.endpoint);
    if (it != m_suspicions.end() && it->second.startedAtMs <= from.startedAtMs) {
        m_changes.push_back({SuspicionChangeKind::Ended,
                             {from.endpoint, it->second.startedAtMs},
                             Duration::zero(),
                             m_self,
                             it->second.notices.size()});
        m_suspicions.erase(it);
    }
}

bool EndpointSuspicions::hasHeardSince(const EndpointIncarnation &endpoint, SteadyTime at) const
{
    const auto it = m_heard.find(endpoint.endpoint);
    return it != m_heard.end()
        && (it->second.startedAtMs > endpoint.startedAtMs
            || (it->second.startedAtMs == endpoint.startedAtMs && it->second.at > at));
}

bool EndpointSuspicions::isZoneHeard(const EndpointId &except, const ZoneName &zone,
                                     SteadyTime observedAt) const
{
    return std::any_of(m_heard.begin(), m_heard.end(), [&](const auto &it) {
        return it.first != except && it.second.zone == zone
            && observedAt - it.second.observedAt < MaxZoneSilence;
    });
}

void EndpointSuspicions::onSilentRequest(const EndpointIncarnation &endpoint, const ZoneName &zone,
                                         Duration silence, SteadyTime observedAt)
{
    const auto heard = m_heard.find(endpoint.endpoint);
    if (heard != m_heard.end() && heard->second.startedAtMs >= endpoint.startedAtMs) {
        silence = std::min(silence, observedAt - heard->second.observedAt);
    }
    if (silence < MinSilence || !isZoneHeard(endpoint.endpoint, zone, observedAt)) {
        return;
    }
    OwnNotice &own = m_own[endpoint.endpoint];
    if (own.startedAtMs != endpoint.startedAtMs) {
        own = OwnNotice();
        own.startedAtMs = endpoint.startedAtMs;
    }
    own.noticedAt = m_clock.now();
    own.isCurrent = true;
    addNotice(m_self, endpoint, own.noticedAt - silence);
}

void EndpointSuspicions::addNotice(const InstanceId &author, const EndpointIncarnation &endpoint,
                                   SteadyTime silentSince)
{
    if (hasHeardSince(endpoint, silentSince + LastBytesSpread)) {
        return;
    }
    Suspicion &suspicion = m_suspicions[endpoint.endpoint];
    if (endpoint.startedAtMs < suspicion.startedAtMs) {
        return;
    }
    if (endpoint.startedAtMs > suspicion.startedAtMs) {
        suspicion = Suspicion();
        suspicion.startedAtMs = endpoint.startedAtMs;
    }
    const SteadyTime now = m_clock.now();
    const auto [it, isNew] = suspicion.notices.try_emplace(author, Notice{silentSince, now});
    it->second.silentSince = std::min(it->second.silentSince, silentSince);
    it->second.until = now + NoticeLifetime;
    const SuspicionLevel level = levelOf(suspicion);
    if (level > suspicion.reported) {
        suspicion.reported = level;
        m_changes.push_back({level == SuspicionLevel::Confirmed ? SuspicionChangeKind::Confirmed
                                                                : SuspicionChangeKind::Noticed,
                             endpoint, now - silentSince, author, suspicion.notices.size()});
    }
}

void EndpointSuspicions::removeNotice(const InstanceId &author, const EndpointIncarnation &endpoint)
{
    const auto it = m_suspicions.find(endpoint.endpoint);
    if (it == m_suspicions.end() || it->second.startedAtMs != endpoint.startedAtMs
        || it->second.notices.erase(author) == 0 || !it->second.notices.empty()) {
        return;
    }
    m_changes.push_back({SuspicionChangeKind::Ended, endpoint, Duration::zero(), author, 0});
    m_suspicions.erase(it);
}

void EndpointSuspicions::onNotice(const InstanceId &author, const SilentEndpoint &notice)
{
    if (author == m_self || m_zones.count(author) == 0) {
        return;
    }
    const EndpointIncarnation endpoint{notice.endpoint, notice.startedAtMs};
    if (notice.ended) {
        removeNotice(author, endpoint);
        return;
    }
    const std::int64_t silentMs = std::clamp<std::int64_t>(notice.silentMs, 0, MaxSilenceMs);
    addNotice(author, endpoint, m_clock.now() - milliseconds(silentMs));
}

std::vector<SilentEndpoint> EndpointSuspicions::takeNotices()
{
    const SteadyTime now = m_clock.now();
    std::vector<SilentEndpoint> result = std::exchange(m_ended, {});
    for (auto &[id, own] : m_own) {
        const bool isCurrent = std::exchange(own.isCurrent, false);
        if (!isCurrent || (own.toldAt && now < *own.toldAt + RepeatInterval)) {
            continue;
        }
        const auto suspicion = m_suspicions.find(id);
        if (suspicion == m_suspicions.end()) {
            continue;
        }
        const auto notice = suspicion->second.notices.find(m_self);
        if (notice != suspicion->second.notices.end()) {
            own.toldAt = now;
            result.push_back({id, own.startedAtMs, toMilliseconds(now - notice->second.silentSince),
                              false, m_self});
        }
    }
    return result;
}

void EndpointSuspicions::onTick()
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_suspicions.begin(); it != m_suspicions.end();) {
        auto &notices = it->second.notices;
        for (auto notice = notices.begin(); notice != notices.end();) {
            const bool isOutdated =
                now >= notice->second.until || m_zones.count(notice->first) == 0;
            notice = isOutdated ? notices.erase(notice) : std::next(notice);
        }
        if (!notices.empty()) {
            ++it;
            continue;
        }
        m_changes.push_back({SuspicionChangeKind::Expired,
                             {it->first, it->second.startedAtMs},
                             Duration::zero(),
                             {},
                             0});
        it = m_suspicions.erase(it);
    }
    for (auto it = m_own.begin(); it != m_own.end();) {
        it = now >= it->second.noticedAt + NoticeLifetime ? m_own.erase(it) : std::next(it);
    }
    for (auto it = m_heard.begin(); it != m_heard.end();) {
        it = now >= it->second.at + HeardRetention ? m_heard.erase(it) : std::next(it);
    }
}

SuspicionLevel EndpointSuspicions::levelOf(const Suspicion &suspicion) const
{
    const SteadyTime now = m_clock.now();
    std::size_t count = 0;
    std::set<ZoneName> zones;
    for (const auto &[author, notice] : suspicion.notices) {
        const auto zone = m_zones.find(author);
        if (now < notice.until && zone != m_zones.end()) {
            ++count;
            zones.insert(zone->second);
        }
    }
    if (count >= ConfirmingNotices || zones.size() >= ConfirmingZones) {
        return SuspicionLevel::Confirmed;
    }
    return count > 0 ? SuspicionLevel::Noticed : SuspicionLevel::None;
}

SuspicionLevel EndpointSuspicions::level(const EndpointIncarnation &endpoint) const
{
    const auto it = m_suspicions.find(endpoint.endpoint);
    return it == m_suspicions.end() || it->second.startedAtMs != endpoint.startedAtMs
        ? SuspicionLevel::None
        : levelOf(it->second);
}

void SuspicionRelay::add(const InstanceId &author, const SilentEndpoint &notice)
{
    const Key key{notice.endpoint, notice.startedAtMs};
    const SteadyTime now = m_clock.now();
    const auto passed = m_passedOn.find(key);
    const bool isKnown = passed != m_passedOn.end() && passed->second.count(author) > 0;
    if (notice.ended && !isKnown) {
        return;
    }
    auto &authors = m_passedOn[key];
    if (!isKnown && authors.size() >= MaxAuthors) {
        return;
    }
    authors[author] = now;
    SilentEndpoint copy = notice;
    copy.by = author;
    m_pending[{key, author}] = {std::move(copy), now};
}

std::vector<SilentEndpoint> SuspicionRelay::take()
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_passedOn.begin(); it != m_passedOn.end();) {
        auto &authors = it->second;
        for (auto author = authors.begin(); author != authors.end();) {
            const bool isOutdated = now >= author->second + AuthorLifetime;
            author = isOutdated ? authors.erase(author) : std::next(author);
        }
        it = authors.empty() ? m_passedOn.erase(it) : std::next(it);
    }
    if (m_pending.empty() || now < m_takenAt + Interval) {
        return {};
    }
    m_takenAt = now;
    std::vector<SilentEndpoint> result;
    for (auto it = m_pending.begin(); it != m_pending.end() && result.size() < MaxNotices;) {
        SilentEndpoint &notice = it->second.notice;
        notice.silentMs += toMilliseconds(now - it->second.at);
        const auto &[key, author] = it->first;
        const auto passed = m_passedOn.find(key);
        if (notice.ended && passed != m_passedOn.end()) {
            passed->second.erase(author);
        }
        result.push_back(std::move(notice));
        it = m_pending.erase(it);
    }
    return result;
}

void SuspicionRelay::clear()
{
    m_pending.clear();
    m_passedOn.clear();
}

} // namespace marigoldspool
