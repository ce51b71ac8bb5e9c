#ifndef MARIGOLDSPOOL_TESTS_SUPPORT_OBJECTTABLE_H
#define MARIGOLDSPOOL_TESTS_SUPPORT_OBJECTTABLE_H

#include "marigoldspool/Platform/ObjectStore.h"

#include <deque>
#include <map>
#include <string>

namespace marigoldspool {

/// The objects of a simulated platform. Versions are revisions of the whole table, so the version
/// of an object that is created again after its removal is higher than before.
class ObjectTable
{
public:
    std::uint64_t revision() const { return m_revision; }

    Expected<StoredObject> get(std::string_view key) const
    {
        const auto it = m_objects.find(key);
        if (it == m_objects.end()) {
            return unexpectedError(ErrorKind::NotFound, "no object " + std::string(key),
                                   "create it first");
        }
        return it->second;
    }

    Expected<std::uint64_t> put(std::string_view key, std::uint64_t expectedVersion,
                                std::string value, WriteId writeId)
    {
        const auto it = m_objects.find(key);
        const std::uint64_t current = it == m_objects.end() ? 0 : it->second.version;
        if (current != expectedVersion) {
            return conflict(key, current);
        }
        StoredObject object{std::string(key), ++m_revision, std::move(value), std::move(writeId)};
        record({object.key, object.version, false, object.value});
        m_objects.insert_or_assign(object.key, object);
        return m_revision;
    }

    Expected<std::uint64_t> remove(std::string_view key, std::uint64_t expectedVersion)
    {
        const auto it = m_objects.find(key);
        if (it == m_objects.end()) {
            return unexpectedError(ErrorKind::NotFound, "no object " + std::string(key),
                                   "nothing is left to remove");
        }
        if (it->second.version != expectedVersion) {
            return conflict(key, it->second.version);
        }
        record({it->first, ++m_revision, true, {}});
        m_objects.erase(it);
        return m_revision;
    }

    ListResult list(std::string_view prefix) const
    {
        ListResult result{m_revision, {}};
        for (const auto &[key, object] : m_objects) {
            if (startsWith(key, prefix)) {
                result.objects.push_back(object);
            }
        }
        return result;
    }

    /// An empty batch means that nothing has happened yet.
    WatchBatch eventsAfter(std::string_view prefix, std::uint64_t from) const
    {
        WatchBatch batch{m_revision, from < m_forgottenUpTo || from > m_revision, {}};
        for (const WatchEvent &event : m_events) {
            if (!batch.gap && event.version > from && startsWith(event.key, prefix)) {
                batch.events.push_back(event);
            }
        }
        return batch;
    }

    /// Watches from an earlier revision than the current one report a gap from now on.
    void forgetEvents()
    {
        m_events.clear();
        m_forgottenUpTo = m_revision;
    }

private:
    static constexpr std::size_t MostEvents = 10000;

    static bool startsWith(std::string_view text, std::string_view prefix)
    {
        return text.substr(0, prefix.size()) == prefix;
    }

    static tl::unexpected<Error> conflict(std::string_view key, std::uint64_t current)
    {
        return unexpectedError(ErrorKind::Conflict,
                               std::string(key) + " has version " + std::to_string(current),
                               "read the object again");
    }

    void record(WatchEvent event)
    {
        m_events.push_back(std::move(event));
        if (m_events.size() > MostEvents) {
            m_forgottenUpTo = m_events.front().version;
            m_events.pop_front();
        }
    }

    std::map<std::string, StoredObject, std::less<>> m_objects;
    std::deque<WatchEvent> m_events;
    std::uint64_t m_revision = 0;
    std::uint64_t m_forgottenUpTo = 0;
};

} // namespace marigoldspool

#endif
