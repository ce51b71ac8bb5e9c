#include "Fleet/StreamOriginRecord.h"

#include "Fleet/StreamOriginExchange.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/JsonText.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const std::string Prefix = "stream-origins/";
constexpr Duration ReadInterval = milliseconds(200);
constexpr Duration LateReadInterval = std::chrono::seconds(1);
// New requests must be served even while the store is away.
constexpr Duration MaxReadTime = std::chrono::seconds(3);
constexpr Duration WriteInterval = milliseconds(500);
constexpr std::size_t KeyDigits = 2 * sizeof(StreamKey);
// 400,000 bytes. The store takes 500,000, and the names of pools and versions need some.
constexpr std::size_t MaxKeysInSlot = 25'000;

void appendHex(std::string &text, StreamKey key)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4) {
        text.push_back(Digits[(key >> shift) & 0xFU]);
    }
}

std::optional<std::vector<StreamKey>> keysFromHex(std::string_view text)
{
    if (text.size() % KeyDigits != 0) {
        return std::nullopt;
    }
    std::vector<StreamKey> keys;
    for (std::size_t i = 0; i < text.size(); i += KeyDigits) {
        const char *end = text.data() + i + KeyDigits;
        StreamKey key = 0;
        const auto result = std::from_chars(text.data() + i, end, key, 16);
        if (result.ec != std::errc() || result.ptr != end) {
            return std::nullopt;
        }
        keys.push_back(key);
    }
    return keys;
}

std::optional<std::vector<StreamOriginGroup>> decodeSlot(std::string_view text)
{
    const json value = parseJson(text);
    if (!value.is_object() || !value.contains("streams") || !value["streams"].is_array()) {
        return std::nullopt;
    }
    std::vector<StreamOriginGroup> groups;
    for (const json &it : value["streams"]) {
        if (!it.is_object() || !it.contains("pool") || !it["pool"].is_string()
            || !it.contains("version") || !it["version"].is_string() || !it.contains("keys")
            || !it["keys"].is_string()) {
            return std::nullopt;
        }
        std::optional<std::vector<StreamKey>> keys =
            keysFromHex(it["keys"].get_ref<const std::string &>());
        if (!keys) {
            return std::nullopt;
        }
        groups.push_back({PoolName(it["pool"].get<std::string>()),
                          SoftwareVersion(it["version"].get<std::string>()), std::move(*keys)});
    }
    return groups;
}

std::string slotName(std::size_t slot)
{
    return std::string(slot < 10 ? "0" : "") + std::to_string(slot);
}

} // namespace

StreamOriginRecord::StreamOriginRecord(FleetRuntime &runtime, PlacementDriver &placement)
    : m_runtime(runtime)
    , m_placement(placement)
    , m_startedAt(runtime.clock.now())
    , m_nextRead(m_startedAt)
{ }

void StreamOriginRecord::onTick()
{
    readAtStart();
    if (!m_isRead || !m_runtime.isLoaded || !m_placement.isLeaseHolder()) {
        reset();
        return;
    }
    if (m_isCalling || m_runtime.clock.now() < m_nextWrite) {
        return;
    }
    const std::set<PoolName> mixed = mixedPools(m_runtime);
    if (mixed.empty()) {
        reset();
        return;
    }
    advanceWriting(mixed);
}

void StreamOriginRecord::readAtStart()
{
    const SteadyTime now = m_runtime.clock.now();
    if (!m_runtime.areStreamOriginsRead && now - m_startedAt >= MaxReadTime) {
        m_runtime.areStreamOriginsRead = true;
        logEvent(LogLevel::Warning, "stream_origins_not_read");
    }
    if (m_isRead || m_isReading || now < m_nextRead) {
        return;
    }
    m_isReading = true;
    m_nextRead = now + (m_runtime.areStreamOriginsRead ? LateReadInterval : ReadInterval);
    m_runtime.store->list(Prefix, [this](const Expected<ListResult> &result) {
        m_isReading = false;
        onReadAtStart(result);
    });
}

void StreamOriginRecord::onReadAtStart(const Expected<ListResult> &result)
{
    if (!result) {
        return;
    }
    std::size_t count = 0;
    for (const StoredObject &object : result->objects) {
        const auto groups = decodeSlot(object.value);
        if (!groups) {
            m_runtime.metrics->add("marigoldspool_unreadable_objects_total", 1,
                                   {{"kind", "stream_origins"}});
            logEvent(LogLevel::Warning, "stream_origins_unreadable", {{"key", object.key}});
            continue;
        }
        for (const StreamOriginGroup &group : *groups) {
            m_runtime.streamOrigins.onNotice(group,
                                             m_runtime.softwareVersions.streamLifetime(group.pool));
            count += group.keys.size();
        }
    }
    m_isRead = true;
    m_runtime.areStreamOriginsRead = true;
    logEvent(
        LogLevel::Info, "stream_origins_read",
        {{"objects", std::to_string(result->objects.size())}, {"streams", std::to_string(count)}});
}

void StreamOriginRecord::advanceWriting(const std::set<PoolName> &mixed)
{
    // What was written since the store's copy was taken is lost, so all is written again.
    if (m_eraStart != m_runtime.store->eraStart()) {
        m_eraStart = m_runtime.store->eraStart();
        m_collectedPools.clear();
        m_isPrepared = false;
    }
    if (!m_isPrepared) {
        prepare();
        return;
    }
    Duration lifetime = Duration::zero();
    for (const PoolName &pool : mixed) {
        lifetime = std::max(lifetime, m_runtime.softwareVersions.streamLifetime(pool));
    }
    collect(mixed);
    // The slot that is being rewritten lacks what it held before, so the others cover a lifetime.
    fillSlot(lifetime / (SlotCount - 1));
    if (m_isDirty) {
        writeSlot();
    }
}

void StreamOriginRecord::prepare()
{
    m_isCalling = true;
    m_nextWrite = m_runtime.clock.now() + ReadInterval;
    m_runtime.store->list(Prefix, [this](const Expected<ListResult> &result) {
        m_isCalling = false;
        if (result) {
            onPrepared(*result);
        }
    });
}

void StreamOriginRecord::onPrepared(const ListResult &result)
{
    m_versions.fill(0);
    std::size_t last = SlotCount - 1;
    std::uint64_t lastVersion = 0;
    for (const StoredObject &object : result.objects) {
        for (std::size_t slot = 0; slot < SlotCount; ++slot) {
            if (object.key != Prefix + slotName(slot)) {
                continue;
            }
            m_versions[slot] = object.version;
            if (object.version > lastVersion) {
                last = slot;
                lastVersion = object.version;
            }
        }
    }
    if (!m_hasSlot) {
        m_hasSlot = true;
        m_slot = (last + 1) % SlotCount;
        m_slotStartedAt = m_runtime.clock.now();
    }
    m_isPrepared = true;
}

void StreamOriginRecord::collect(const std::set<PoolName> &mixed)
{
    const SteadyTime now = m_runtime.clock.now();
    const auto queue = [this](SteadyTime since,
                              const std::function<bool(const PoolName &)> &isDue) {
        for (const StreamOriginGroup &group : m_runtime.streamOrigins.addedSince(since)) {
            if (!isDue(group.pool)) {
                continue;
            }
            for (const StreamKey key : group.keys) {
                m_pending.push_back({group.pool, group.version, key});
            }
        }
    };
    const bool hasNewPool = !std::includes(m_collectedPools.begin(), m_collectedPools.end(),
                                           mixed.begin(), mixed.end());
    if (hasNewPool) {
        queue(SteadyTime(), [&](const PoolName &pool) {
            return mixed.count(pool) > 0 && m_collectedPools.count(pool) == 0;
        });
    }
    queue(m_collectedUntil, [&](const PoolName &pool) {
        return mixed.count(pool) > 0 && m_collectedPools.count(pool) > 0;
    });
    m_collectedPools = mixed;
    m_collectedUntil = now;
    // While the store is away; more streams are not known either.
    if (m_pending.size() > StreamOrigins::MaxStreams) {
        const std::size_t excess = m_pending.size() - StreamOrigins::MaxStreams;
        m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(excess));
        m_runtime.metrics->add("marigoldspool_stream_origins_dropped_total",
                               static_cast<double>(excess));
    }
}

void StreamOriginRecord::fillSlot(Duration slotTime)
{
    const SteadyTime now = m_runtime.clock.now();
    const bool isOver =
        now - m_slotStartedAt >= slotTime || (m_contentSize >= MaxKeysInSlot && !m_pending.empty());
    if (isOver && m_contentSize > 0 && !m_isDirty) {
        m_slot = (m_slot + 1) % SlotCount;
        m_slotStartedAt = now;
        m_content.clear();
        m_contentSize = 0;
    }
    while (!m_pending.empty() && m_contentSize < MaxKeysInSlot) {
        const PendingStream &stream = m_pending.front();
        m_content[{stream.pool, stream.version}].push_back(stream.key);
        ++m_contentSize;
        m_isDirty = true;
        m_pending.pop_front();
    }
}

void StreamOriginRecord::writeSlot()
{
    json streams = json::array();
    for (const auto &[kind, keys] : m_content) {
        std::string text;
        text.reserve(keys.size() * KeyDigits);
        for (const StreamKey key : keys) {
            appendHex(text, key);
        }
        streams.push_back({{"pool", kind.first.str()},
                           {"version", kind.second.str()},
                           {"keys", std::move(text)}});
    }
    m_isCalling = true;
    m_nextWrite = m_runtime.clock.now() + WriteInterval;
    // Names in peers' messages need not be valid UTF-8.
    std::string value =
        json{{"streams", std::move(streams)}}.dump(-1, ' ', false, json::error_handler_t::replace);
    m_runtime.store->put(Prefix + slotName(m_slot), m_versions[m_slot], std::move(value),
                         WriteId(m_runtime.random.hex(16)),
                         [this, slot = m_slot](const Expected<std::uint64_t> &result) {
                             m_isCalling = false;
                             onWritten(slot, result);
                         });
}

void StreamOriginRecord::onWritten(std::size_t slot, const Expected<std::uint64_t> &result)
{
    m_runtime.metrics->add("marigoldspool_stream_origin_writes_total", 1,
                           {{"result", result ? "written" : "failed"}});
    if (result) {
        m_versions[slot] = *result;
        m_isDirty = false;
        return;
    }
    // The write may have taken effect, or another instance may have written the object.
    m_isPrepared = false;
    logEvent(LogLevel::Warning, "stream_origins_not_recorded",
             {{"slot", slotName(slot)}, {"error", describeError(result.error())}});
}

void StreamOriginRecord::reset()
{
    if (m_isCalling || !m_hasSlot) {
        return;
    }
    m_isPrepared = false;
    m_hasSlot = false;
    m_isDirty = false;
    m_content.clear();
    m_contentSize = 0;
    m_pending.clear();
    m_collectedPools.clear();
}

} // namespace marigoldspool
