#include "marigoldspool/Serving/StreamOrigins.h"

#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace marigoldspool {

namespace {

constexpr std::size_t MinUnannouncedForPruning = 1'000;

std::vector<StreamOriginGroup>
toList(std::map<std::pair<PoolName, SoftwareVersion>, std::vector<StreamKey>> groups)
{
    std::vector<StreamOriginGroup> list;
    list.reserve(groups.size());
    for (auto &[kind, keys] : groups) {
        list.push_back({kind.first, kind.second, std::move(keys)});
    }
    return list;
}

} // namespace

StreamKey streamKey(const WorkspaceName &workspace, const RequestId &id)
{
    // The size keeps the two parts apart.
    const std::string digest =
        sha256Hex(std::to_string(workspace.str().size()) + ':' + workspace.str() + id.str());
    StreamKey key = 0;
    std::from_chars(digest.data(), digest.data() + 2 * sizeof(key), key, 16);
    return key;
}

StreamOrigins::StreamOrigins(const Clock &clock)
    : m_clock(clock)
{ }

std::uint32_t StreamOrigins::kindOf(const PoolName &pool, const SoftwareVersion &version)
{
    const auto it = std::find_if(m_kinds.begin(), m_kinds.end(), [&](const Kind &kind) {
        return kind.pool == pool && kind.version == version;
    });
    if (it != m_kinds.end()) {
        return static_cast<std::uint32_t>(it - m_kinds.begin());
    }
    const auto unused = std::find_if(m_kinds.begin(), m_kinds.end(), [](const Kind &kind) {
        return kind.uses == 0;
    });
    if (unused != m_kinds.end()) {
        *unused = {pool, version};
        return static_cast<std::uint32_t>(unused - m_kinds.begin());
    }
    m_kinds.push_back({pool, version});
    return static_cast<std::uint32_t>(m_kinds.size() - 1);
}

StreamOrigins::Stream &StreamOrigins::add(const PoolName &pool, StreamKey key,
                                          const SoftwareVersion &version, Duration lifetime)
{
    const SteadyTime now = m_clock.now();
    const std::uint32_t kind = kindOf(pool, version);
    const auto [it, isNew] = m_streams.emplace(key, Stream());
    Stream &stream = it->second;
    if (isNew) {
        stream.kind = kind;
        ++m_kinds[kind].uses;
        stream.addedAt = now;
        m_order.push_back(key);
    } else if (stream.kind != kind && !stream.isAmbiguous) {
        // The record has to hold both versions, also if it holds the first one already.
        m_order.erase(std::find(m_order.begin(), m_order.end(), key));
        m_order.push_back(key);
        stream.addedAt = now;
        stream.isAmbiguous = true;
        stream.otherKind = kind;
        ++m_kinds[kind].uses;
        stream.isOwn = false;
    }
    stream.isExtended = !isNew;
    stream.endsAt = std::max(stream.endsAt, now + lifetime);
    while (m_streams.size() > MaxStreams) {
        forgetOldest();
    }
    return stream;
}

void StreamOrigins::forgetOldest()
{
    const auto it = m_streams.find(m_order.front());
    m_order.pop_front();
    if (it == m_streams.end()) {
        return;
    }
    --m_kinds[it->second.kind].uses;
    if (it->second.isAmbiguous) {
        --m_kinds[it->second.otherKind].uses;
    }
    m_streams.erase(it);
}

void StreamOrigins::onBegun(const PoolName &pool, StreamKey key, const SoftwareVersion &version,
                            Duration lifetime)
{
    Stream &stream = add(pool, key, version, lifetime);
    if (!stream.isOwn) {
        stream.isOwn = true;
        m_unannounced.push_back(key);
    }
    // Nothing takes the streams of a pool that is never mixed.
    if (m_unannounced.size() > 2 * m_streams.size() + MinUnannouncedForPruning) {
        pruneUnannounced();
    }
}

// A key that was forgotten and used again is in the list twice.
void StreamOrigins::pruneUnannounced()
{
    std::sort(m_unannounced.begin(), m_unannounced.end());
    const auto end = std::unique(m_unannounced.begin(), m_unannounced.end());
    const auto isForgotten = [this](StreamKey key) {
        return m_streams.count(key) == 0;
    };
    m_unannounced.erase(std::remove_if(m_unannounced.begin(), end, isForgotten),
                        m_unannounced.end());
}

void StreamOrigins::onNotice(const StreamOriginGroup &group, Duration lifetime)
{
    for (const StreamKey key : group.keys) {
        add(group.pool, key, group.version, lifetime);
    }
}

std::optional<SoftwareVersion> StreamOrigins::find(const PoolName &pool, StreamKey key) const
{
    const auto it = m_streams.find(key);
    if (it == m_streams.end() || it->second.isAmbiguous) {
        return std::nullopt;
    }
    const Kind &kind = m_kinds[it->second.kind];
    return kind.pool == pool ? std::make_optional(kind.version) : std::nullopt;
}

void StreamOrigins::append(Groups &groups, StreamKey key, const Stream &stream) const
{
    const Kind &kind = m_kinds[stream.kind];
    groups[{kind.pool, kind.version}].push_back(key);
    if (stream.isAmbiguous) {
        const Kind &other = m_kinds[stream.otherKind];
        groups[{other.pool, other.version}].push_back(key);
    }
}

std::vector<StreamOriginGroup>
StreamOrigins::takeNew(const std::function<bool(const PoolName &)> &isWanted)
{
    Groups groups;
    std::vector<StreamKey> kept;
    for (const StreamKey key : m_unannounced) {
        const auto it = m_streams.find(key);
        if (it == m_streams.end()) {
            continue;
        }
        const Stream &stream = it->second;
        if (!isWanted(m_kinds[stream.kind].pool)
            && !(stream.isAmbiguous && isWanted(m_kinds[stream.otherKind].pool))) {
            kept.push_back(key);
            continue;
        }
        append(groups, key, it->second);
    }
    m_unannounced = std::move(kept);
    return toList(std::move(groups));
}

std::vector<StreamOriginGroup> StreamOrigins::addedSince(SteadyTime since) const
{
    Groups groups;
    for (auto it = m_order.rbegin(); it != m_order.rend(); ++it) {
        const auto found = m_streams.find(*it);
        if (found == m_streams.end()) {
            continue;
        }
        if (found->second.addedAt <= since) {
            break;
        }
        append(groups, *it, found->second);
    }
    return toList(std::move(groups));
}

// The lifetimes of pools differ, so a stream may be kept longer behind one of another pool.
void StreamOrigins::onTick()
{
    const SteadyTime now = m_clock.now();
    while (!m_order.empty()) {
        const auto it = m_streams.find(m_order.front());
        if (it == m_streams.end() || now >= it->second.endsAt) {
            forgetOldest();
            continue;
        }
        if (!it->second.isExtended) {
            return;
        }
        // A caller that uses an id again and again must not keep all later streams.
        m_order.pop_front();
        m_order.push_back(it->first);
        it->second.addedAt = now;
        it->second.isExtended = false;
    }
}

} // namespace marigoldspool
