#ifndef MARIGOLDSPOOL_SERVING_SOFTWAREVERSIONS_H
#define MARIGOLDSPOOL_SERVING_SOFTWAREVERSIONS_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace marigoldspool {

/// The versions of the endpoints' software that serve each pool or have served it so lately that a
/// stream of theirs may still be taken up.
///
/// The instances keep a record of them in the store: one that starts does not know what was listed
/// before.
class SoftwareVersions
{
public:
    using Versions = std::set<SoftwareVersion>;

    explicit SoftwareVersions(const Clock &clock);

    /// How long after its beginning a stream of \p pool may be taken up.
    void setStreamLifetime(const PoolName &pool, Duration lifetime);
    /// The versions of all endpoints that are listed now.
    void onListed(const std::map<PoolName, Versions> &listed);
    /// The record of \p pool has been read or written. A version that is no longer in it counts
    /// until its streams have ended.
    void onRecorded(const PoolName &pool, Versions versions);

    /// Whether the streams of \p pool may have begun at different versions.
    bool isMixed(const PoolName &pool) const;
    /// The version at which every stream of \p pool has begun; nullopt if there are several or
    /// none is known.
    std::optional<SoftwareVersion> onlyVersion(const PoolName &pool) const;
    /// Whether an endpoint of this version is listed.
    bool isListed(const PoolName &pool, const SoftwareVersion &version) const;
    /// The versions that serve \p pool, or have served it lately.
    Versions knownVersions(const PoolName &pool) const;
    /// The versions at which streams may begin; nullptr if none has been listed or recorded.
    const Versions *allowedForNew(const PoolName &pool) const;
    /// What the record of each pool has to be, where that differs from what it is.
    std::map<PoolName, Versions> recordsToWrite() const;
    /// How long a stream of \p pool may be taken up.
    Duration streamLifetime(const PoolName &pool) const;
    /// How many pools are kept.
    std::size_t size() const { return m_pools.size(); }

private:
    struct VersionState {
        bool isListed = false;
        bool isRecorded = false;
        /// Whether streams may begin at it.
        bool isAllowed = false;
        SteadyTime listedSince;
        /// When the version was last listed, or newly found in the record.
        SteadyTime lastSeen;
    };
    struct PoolState {
        std::map<SoftwareVersion, VersionState> versions;
        /// Derived from \c versions.
        Versions allowed;
    };

    const PoolState *find(const PoolName &pool) const;
    void update(const PoolName &pool, PoolState &state);

    const Clock &m_clock;
    std::map<PoolName, Duration> m_lifetimes;
    std::map<PoolName, PoolState> m_pools;
};

/// The versions separated by commas, for log lines.
std::string versionsText(const SoftwareVersions::Versions &versions);

} // namespace marigoldspool

#endif
