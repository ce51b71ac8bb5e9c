#include "marigoldspool/Serving/ObjectMirror.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace marigoldspool {

namespace {

// Takes 26 ms on a link of 10 Mbit/s, for which other messages wait at most.
constexpr std::size_t PartBytes = 32'768;

} // namespace

ObjectMirror::ObjectMirror(std::string prefix, ChangeHandler onChange)
    : m_prefix(std::move(prefix))
    , m_onChange(std::move(onChange))
{ }

void ObjectMirror::apply(const WatchEvent &event)
{
    const auto it = m_objects.find(event.key);
    if (it != m_objects.end() && event.version <= it->second.version) {
        return;
    }
    const bool existed = it != m_objects.end() && !it->second.deleted;
    m_lastChangeVersion = std::max(m_lastChangeVersion, event.version);
    // A deleted object is kept as a tombstone, so that an older version cannot reappear.
    Entry &entry = m_objects[event.key];
    if (entry.value.size() > MaxInlineBytes) {
        entry.previousVersion = entry.version;
        entry.previousValue = std::move(entry.value);
    }
    entry.version = event.version;
    entry.value = event.value;
    entry.deleted = event.deleted;
    m_hasNewRemoval = m_hasNewRemoval || event.deleted;
    if (!event.deleted || existed) {
        m_onChange(event);
    }
}

void ObjectMirror::removeAbsent(const std::set<std::string_view> &keys, std::uint64_t revision)
{
    std::vector<std::string> removed;
    for (const auto &[key, entry] : m_objects) {
        if (!entry.deleted && keys.count(key) == 0) {
            removed.push_back(key);
        }
    }
    for (const std::string &key : removed) {
        apply({key, revision, true, {}});
    }
}

// A list does not show what was removed before it, so until this copy has been confirmed up to the
// list's revision, that revision stands for the removals. An instance that listed after a removal
// once took the newest of the objects that were left for the last change, and its beacon confirmed
// copies that still had the removed object.
void ObjectMirror::applyList(const std::set<std::string_view> &keys, std::uint64_t revision)
{
    removeAbsent(keys, revision);
    if (revision > m_revision) {
        m_lastChangeVersion = std::max(m_lastChangeVersion, revision);
    }
}

// The version of a removal is only a lower bound of its revision, because the store's event has
// the version of the removed object.
void ObjectMirror::confirm(std::uint64_t revision)
{
    if (std::exchange(m_hasNewRemoval, false)) {
        m_lastChangeVersion = std::max(m_lastChangeVersion, revision);
    }
    m_revision = std::max(m_revision, revision);
}

ObjectsTransfer ObjectMirror::transferSince(std::uint64_t revision, bool inParts) const
{
    ObjectsTransfer transfer;
    transfer.prefix = m_prefix;
    transfer.baseRevision = revision;
    transfer.revision = m_revision;
    transfer.lastChange = m_lastChangeVersion;
    for (const auto &[key, entry] : m_objects) {
        if (entry.deleted) {
            continue;
        }
        transfer.keys.push_back(key);
        if (entry.version <= revision) {
            continue;
        }
        if (inParts && entry.value.size() > MaxInlineBytes) {
            transfer.objects.push_back({key, entry.version, {}, entry.value.size()});
        } else {
            transfer.objects.push_back({key, entry.version, entry.value});
        }
    }
    return transfer;
}

ObjectPart ObjectMirror::partFor(const ObjectPartRequest &request) const
{
    ObjectPart part{request.prefix, request.key, request.version, request.offset, 0, {}};
    const auto it = m_objects.find(request.key);
    if (it == m_objects.end()) {
        return part;
    }
    const Entry &entry = it->second;
    if (request.version != entry.version && request.version != entry.previousVersion) {
        return part;
    }
    const std::string &value = request.version == entry.version ? entry.value : entry.previousValue;
    part.totalBytes = value.size();
    if (request.offset < value.size()) {
        part.bytes = value.substr(request.offset, PartBytes);
    }
    return part;
}

bool ObjectMirror::applyTransfer(const ObjectsTransfer &transfer)
{
    if (transfer.revision <= m_revision || transfer.baseRevision > m_revision) {
        return false;
    }
    removeAbsent({transfer.keys.begin(), transfer.keys.end()}, transfer.revision);
    for (const RelayedObject &object : transfer.objects) {
        apply({object.key, object.version, false, object.value});
    }
    const bool isLastChangeKnown = transfer.lastChange != 0;
    m_lastChangeVersion =
        std::max(m_lastChangeVersion, isLastChangeKnown ? transfer.lastChange : transfer.revision);
    confirm(transfer.revision);
    return true;
}

// When objects change constantly, most beacons announce a newer revision than the mirror has. Such
// a beacon takes effect once the announced objects have arrived; discarding it would make an
// up-to-date mirror look stale.
void RelayFreshness::onBeacon(std::uint64_t announced, std::uint64_t known, SteadyTime at)
{
    if (announced <= known) {
        m_confirmedAt = std::max(m_confirmedAt, at);
        return;
    }
    if (announced >= m_announced) {
        m_announced = announced;
        m_announcedAt = at;
    }
}

void RelayFreshness::onApplied(std::uint64_t known)
{
    if (m_announced != 0 && known >= m_announced) {
        m_confirmedAt = std::max(m_confirmedAt, m_announcedAt);
        m_announced = 0;
    }
}

} // namespace marigoldspool
