#ifndef MARIGOLDSPOOL_SERVING_STREAMORIGINS_H
#define MARIGOLDSPOOL_SERVING_STREAMORIGINS_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// Identifies a caller's attempt that has begun a stream; the same at all instances.
using StreamKey = std::uint64_t;

/// Attempts of other workspaces have other keys, whatever ids their callers choose.
StreamKey streamKey(const WorkspaceName &workspace, const RequestId &id);

/// Streams of one pool that have begun at endpoints of one software version.
struct StreamOriginGroup {
    PoolName pool;
    SoftwareVersion version;
    std::vector<StreamKey> keys;
};

/// Remembers which software version began each resumable stream, at this instance and, as far as
/// they have told it, at others.
class StreamOrigins
{
public:
    /// At most this many streams are kept; the oldest are forgotten first. A fleet that begins
    /// 2,600 streams a second, each of which may be taken up for 50 s, needs 130,000.
    static constexpr std::size_t MaxStreams = 200'000;

    explicit StreamOrigins(const Clock &clock);

    /// The first event of the stream has come, or the rest of an earlier one, at this instance.
    void onBegun(const PoolName &pool, StreamKey key, const SoftwareVersion &version,
                 Duration lifetime);
    /// Another instance, or the record in the store, knows of these streams.
    void onNotice(const StreamOriginGroup &group, Duration lifetime);
    /// The version that began the stream; nullopt if it is not known, or if more than one has begun
    /// a stream under this key.
    std::optional<SoftwareVersion> find(const PoolName &pool, StreamKey key) const;
    /// The streams begun here that have not been returned before, of the pools for which
    /// \p isWanted is true; the others are kept for a later call.
    std::vector<StreamOriginGroup> takeNew(const std::function<bool(const PoolName &)> &isWanted);
    /// All streams that are known and were added after \p since, for a record in the store.
    std::vector<StreamOriginGroup> addedSince(SteadyTime since) const;
    /// Forgets streams whose lifetime is over.
    void onTick();
    std::size_t size() const { return m_streams.size(); }
    /// How many pairs of pool and version have a place, with free ones.
    std::size_t kindCount() const { return m_kinds.size(); }
    /// How many entries wait for takeNew(), with those of streams that have been forgotten.
    std::size_t unannouncedCount() const { return m_unannounced.size(); }

private:
    struct Stream {
        /// Index into m_kinds.
        std::uint32_t kind = 0;
        /// The same for another version, if isAmbiguous.
        std::uint32_t otherKind = 0;
        /// Whether it has begun here, with all the versions that are known.
        bool isOwn = false;
        /// Streams of two versions have this key.
        bool isAmbiguous = false;
        /// Whether its key has been used again since it was put into m_order.
        bool isExtended = false;
        SteadyTime addedAt;
        SteadyTime endsAt;
    };
    struct Kind {
        PoolName pool;
        SoftwareVersion version;
        /// Streams that refer to it; at 0 its place is free.
        std::size_t uses = 0;
    };

    using Groups = std::map<std::pair<PoolName, SoftwareVersion>, std::vector<StreamKey>>;

    /// Adds the stream under each version that is known of it.
    void append(Groups &groups, StreamKey key, const Stream &stream) const;
    void pruneUnannounced();
    void forgetOldest();
    std::uint32_t kindOf(const PoolName &pool, const SoftwareVersion &version);
    Stream &add(const PoolName &pool, StreamKey key, const SoftwareVersion &version,
                Duration lifetime);

    const Clock &m_clock;
    std::unordered_map<StreamKey, Stream> m_streams;
    /// Keys in the order in which they were added.
    std::deque<StreamKey> m_order;
    std::vector<Kind> m_kinds;
    /// Own streams that takeNew() has not returned.
    std::vector<StreamKey> m_unannounced;
};

} // namespace marigoldspool

#endif
