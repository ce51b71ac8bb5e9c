#include "marigoldspool/Serving/SoftwareVersions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::seconds;

constexpr Duration DefaultStreamLifetime = seconds(60);
// While the store cannot be written, endpoints of a new version would otherwise serve no streams. A
// kill of all instances in that time loses that the version has served.
constexpr Duration MaxUnrecordedTime = seconds(5);
// Instances learn at different times that an endpoint has left, and a request that was sent before
// begins its stream afterwards. Without this time, the version of such a stream is forgotten first.
constexpr Duration LateBeginning = seconds(10);

} // namespace

SoftwareVersions::SoftwareVersions(const Clock &clock)
    : m_clock(clock)
{ }

void SoftwareVersions::setStreamLifetime(const PoolName &pool, Duration lifetime)
{
    m_lifetimes[pool] = lifetime;
}

Duration SoftwareVersions::streamLifetime(const PoolName &pool) const
{
    const auto it = m_lifetimes.find(pool);
    return it == m_lifetimes.end() ? DefaultStreamLifetime : it->second;
}

void SoftwareVersions::onListed(const std::map<PoolName, Versions> &listed)
{
    const SteadyTime now = m_clock.now();
    for (const auto &[pool, versions] : listed) {
        for (const SoftwareVersion &version : versions) {
            m_pools[pool].versions[version];
        }
    }
    for (auto entry = m_pools.begin(); entry != m_pools.end();) {
        auto &[pool, state] = *entry;
        const auto found = listed.find(pool);
        const Duration lifetime = streamLifetime(pool);
        for (auto &[version, it] : state.versions) {
            const bool isListed = found != listed.end() && found->second.count(version) > 0;
            if (isListed && !it.isListed) {
                it.listedSince = now;
                // The lease holder may have removed it from the record in the meantime.
                const bool isRecordCurrent = now - it.lastSeen < lifetime;
                it.isRecorded = it.isRecorded && isRecordCurrent;
                it.isAllowed = it.isAllowed && isRecordCurrent;
            }
            it.isListed = isListed;
            it.lastSeen = isListed ? now : it.lastSeen;
        }
        update(pool, state);
        entry = state.versions.empty() ? m_pools.erase(entry) : std::next(entry);
    }
}

void SoftwareVersions::onRecorded(const PoolName &pool, Versions versions)
{
    const SteadyTime now = m_clock.now();
    PoolState &state = m_pools[pool];
    for (const SoftwareVersion &version : versions) {
        VersionState &it = state.versions[version];
        if (!it.isRecorded) {
            it.lastSeen = now;
        }
    }
    for (auto &[version, it] : state.versions) {
        it.isRecorded = versions.count(version) > 0;
    }
    update(pool, state);
}

// A version that was recorded before this instance started may have served until then, so it counts
// for a whole lifetime from when it was found.
void SoftwareVersions::update(const PoolName &pool, PoolState &state)
{
    const SteadyTime now = m_clock.now();
    const Duration retention = streamLifetime(pool) + LateBeginning;
    bool hasRecord = false;
    for (auto it = state.versions.begin(); it != state.versions.end();) {
        const bool isOver = !it->second.isListed && now - it->second.lastSeen >= retention;
        if (isOver && !it->second.isRecorded) {
            it = state.versions.erase(it);
            continue;
        }
        hasRecord = hasRecord || it->second.isRecorded;
        ++it;
    }
    state.allowed.clear();
    for (auto &[version, it] : state.versions) {
        // Before the first record, the only version is the one that it will have.
        it.isAllowed = it.isRecorded || (!hasRecord && state.versions.size() == 1)
            || (it.isListed && (it.isAllowed || now - it.listedSince >= MaxUnrecordedTime));
        if (it.isAllowed) {
            state.allowed.insert(version);
        }
    }
}

const SoftwareVersions::PoolState *SoftwareVersions::find(const PoolName &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? nullptr : &it->second;
}

bool SoftwareVersions::isMixed(const PoolName &pool) const
{
    const PoolState *state = find(pool);
    return state != nullptr && state->versions.size() > 1;
}

std::optional<SoftwareVersion> SoftwareVersions::onlyVersion(const PoolName &pool) const
{
    const PoolState *state = find(pool);
    if (state == nullptr || state->versions.size() != 1) {
        return std::nullopt;
    }
    return state->versions.begin()->first;
}

bool SoftwareVersions::isListed(const PoolName &pool, const SoftwareVersion &version) const
{
    const PoolState *state = find(pool);
    if (state == nullptr) {
        return false;
    }
    const auto it = state->versions.find(version);
    return it != state->versions.end() && it->second.isListed;
}

SoftwareVersions::Versions SoftwareVersions::knownVersions(const PoolName &pool) const
{
    Versions versions;
    if (const PoolState *state = find(pool)) {
        for (const auto &[version, it] : state->versions) {
            versions.insert(version);
        }
    }
    return versions;
}

const SoftwareVersions::Versions *SoftwareVersions::allowedForNew(const PoolName &pool) const
{
    const PoolState *state = find(pool);
    return state == nullptr || state->versions.empty() ? nullptr : &state->allowed;
}

std::map<PoolName, SoftwareVersions::Versions> SoftwareVersions::recordsToWrite() const
{
    const SteadyTime now = m_clock.now();
    std::map<PoolName, Versions> records;
    for (const auto &[pool, state] : m_pools) {
        const Duration retention = streamLifetime(pool) + LateBeginning;
        Versions versions;
        bool isDifferent = false;
        for (const auto &[version, it] : state.versions) {
            const bool isDue = it.isListed || now - it.lastSeen < retention;
            if (isDue) {
                versions.insert(version);
            }
            isDifferent = isDifferent || isDue != it.isRecorded;
        }
        if (isDifferent) {
            records[pool] = std::move(versions);
        }
    }
    return records;
}

std::string versionsText(const SoftwareVersions::Versions &versions)
{
    std::string text;
    for (const SoftwareVersion &version : versions) {
        text += (text.empty() ? "" : ",") + version.str();
    }
    return text;
}

} // namespace marigoldspool
