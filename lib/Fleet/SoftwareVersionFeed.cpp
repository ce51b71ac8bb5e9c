#include "Fleet/SoftwareVersionFeed.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::seconds;

constexpr Duration FeedInterval = seconds(1);
// A caller may take a stream up several times, each time for up to the timeout of its route.
constexpr int LifetimePerTimeout = 2;
constexpr Duration MinStreamLifetime = seconds(30);
constexpr Duration MaxStreamLifetime = seconds(300);

} // namespace

void SoftwareVersionFeed::onConfiguration()
{
    std::map<PoolName, Duration> lifetimes;
    for (const PrefixRoute &route : m_runtime.routes->configuration()->routes) {
        if (!route.resumable) {
            continue;
        }
        const Duration lifetime = std::clamp<Duration>(route.timeout * LifetimePerTimeout,
                                                       MinStreamLifetime, MaxStreamLifetime);
        for (const WeightedPool &it : route.pools) {
            Duration &longest = lifetimes[it.pool];
            longest = std::max(longest, lifetime);
        }
    }
    for (const auto &[pool, lifetime] : lifetimes) {
        m_runtime.softwareVersions.setStreamLifetime(pool, lifetime);
    }
}

// Entries change with each heartbeat, so all is fed at once only for a version that was not listed.
// Until the first list is complete, the version that comes first would count as the only one.
void SoftwareVersionFeed::onEndpoints()
{
    if (!m_runtime.isLoaded) {
        return;
    }
    const auto &endpoints = m_runtime.directory.endpoints();
    const bool hasNew = std::any_of(endpoints.begin(), endpoints.end(), [this](const auto &it) {
        const ListedEndpoint &listed = it.second.listed;
        const auto pool = m_listed.find(listed.pool);
        return pool == m_listed.end() || pool->second.count(listed.softwareVersion) == 0;
    });
    if (hasNew) {
        feed();
    }
}

void SoftwareVersionFeed::onTick()
{
    m_runtime.streamOrigins.onTick();
    if (m_runtime.isLoaded && m_runtime.clock.now() >= m_nextFeed) {
        feed();
    }
}

void SoftwareVersionFeed::feed()
{
    m_nextFeed = m_runtime.clock.now() + FeedInterval;
    m_listed.clear();
    for (const auto &[id, state] : m_runtime.directory.endpoints()) {
        m_listed[state.listed.pool].insert(state.listed.softwareVersion);
    }
    m_runtime.softwareVersions.onListed(m_listed);
}

} // namespace marigoldspool
