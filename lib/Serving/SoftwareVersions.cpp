#include "marigoldspool/Serving/SoftwareVersions.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::seconds;

constexpr Duration DefaultStreamLifetime = seconds(60);
// While the store cannot be written, endpoints of a new version would otherwise serve no streams. A
// kill of all instances in that time loses that the version has served.
constexpr Duration MaxUnrecordedTime = seconds(5);

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
    for (auto &[pool, state] : m_pools) {
        const auto found = listed.find(pool);
        for (auto &[version, it] : state.versions) {
            const bool isListed = found != listed.end() && found->second.count(version) > 0;
            if (isListed && !it.isListed) {
                it.listedSince = now;
            }
            it.isListed = isListed;
            it.lastSeen = isListed ? now : it.lastSeen;
        }
        update(pool, state);
    }
}

void SoftwareVersions::onRecorded(const PoolName &pool, Versions versions)
{
    const SteadyTime now = m_clock.now();
    PoolState &state = m_pools[pool];
    for (const SoftwareVersion &version : versions) {
        const auto [it, isNew] = state.versions.emplace(version, VersionState());
        if (isNew) {
            it->second.lastSeen = now;
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
    const Duration lifetime = streamLifetime(pool);
    bool hasRecord = false;
    std::size_t listedCount = 0;
    for (auto it = state.versions.begin(); it != state.versions.end();) {
        const bool isOver = !it->second.isListed && now - it->second.lastSeen >= lifetime;
        if (isOver && !it->second.isRecorded) {
            it = state.versions.erase(it);
            continue;
        }
        hasRecord = hasRecord || it->second.isRecorded;
        listedCount += it->second.isListed ? 1 : 0;
        ++it;
    }
    state.allowed.clear();
    state.isAnyAllowed = true;
    for (auto &[version, it] : state.versions) {
        // Before the first record, the only version is the one that it will have.
        it.isAllowed = it.isRecorded || (!hasRecord && listedCount <= 1)
            || (it.isListed && (it.isAllowed || now - it.listedSince >= MaxUnrecordedTime));
        if (it.isAllowed) {
            state.allowed.insert(version);
        } else {
            state.isAnyAllowed = false;
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
    return state == nullptr || state->isAnyAllowed ? nullptr : &state->allowed;
}

std::map<PoolName, SoftwareVersions::Versions> SoftwareVersions::recordsToWrite() const
{
    const SteadyTime now = m_clock.now();
    std::map<PoolName, Versions> records;
    for (const auto &[pool, state] : m_pools) {
        Versions versions;
        bool isDifferent = false;
        for (const auto &[version, it] : state.versions) {
            const bool isDue = it.isListed || now - it.lastSeen < streamLifetime(pool);
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

} // namespace marigoldspool
