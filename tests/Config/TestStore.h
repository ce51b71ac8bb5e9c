#ifndef MARIGOLDSPOOL_TESTS_CONFIG_TESTSTORE_H
#define MARIGOLDSPOOL_TESTS_CONFIG_TESTSTORE_H

#include "marigoldspool/Platform/ObjectStore.h"

#include <deque>
#include <map>
#include <vector>

namespace marigoldspool {

/// An in-memory object store that answers when the test says so, with faults that the test chooses.
class TestStore final : public ObjectStore
{
public:
    enum class Fault {
        None,
        Unavailable, ///< Not done.
        LoseRequest, ///< Not done, outcome unknown.
        LoseAnswer, ///< Done, outcome unknown.
        DelayEffect, ///< Outcome unknown, done at applyDelayed().
        StaleRead, ///< A get yields the version before the present one.
    };
    /// Chooses the fault for each operation; \p operation is its name in ObjectStore.
    using FaultChooser = std::function<Fault(std::string_view operation, std::string_view key)>;

    void setFaults(FaultChooser chooser) { m_chooser = std::move(chooser); }
    std::map<std::string, StoredObject> &objects() { return m_objects; }
    std::size_t pending() const { return m_queue.size(); }
    std::size_t operations() const { return m_operations; }

    /// Carries out and answers the \p n th pending operation.
    void step(std::size_t n = 0)
    {
        const std::function<void()> operation = std::move(m_queue[n]);
        m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(n));
        operation();
    }

    void runAll()
    {
        while (!m_queue.empty()) {
            step();
        }
    }

    void applyDelayed()
    {
        for (const std::function<void()> &effect : std::exchange(m_delayed, {})) {
            effect();
        }
    }

    void get(std::string_view key, Callback<StoredObject> done) override
    {
        post("get", key, [this, key = std::string(key), done](Fault fault) {
            if (fault == Fault::Unavailable) {
                done(unavailable<StoredObject>());
                return;
            }
            const auto &source = fault == Fault::StaleRead ? m_former : m_objects;
            const auto it = source.find(key);
            done(it != source.end() ? Expected<StoredObject>(it->second)
                                    : fail<StoredObject>(ErrorKind::NotFound));
        });
    }

    void put(std::string_view key, std::uint64_t expectedVersion, std::string value,
             WriteId writeId, Callback<std::uint64_t> done) override
    {
        post("put", key,
             [this, key = std::string(key), expectedVersion, value, writeId, done](Fault fault) {
                 answerWrite(fault, done, [=] {
                     return write(key, expectedVersion, value, writeId);
                 });
             });
    }

    void remove(std::string_view key, std::uint64_t expectedVersion,
                Callback<std::uint64_t> done) override
    {
        post("remove", key, [this, key = std::string(key), expectedVersion, done](Fault fault) {
            answerWrite(fault, done, [=] {
                return erase(key, expectedVersion);
            });
        });
    }

    void list(std::string_view prefix, Callback<ListResult> done) override
    {
        post("list", prefix, [this, prefix = std::string(prefix), done](Fault fault) {
            if (fault == Fault::Unavailable) {
                done(unavailable<ListResult>());
                return;
            }
            ListResult result;
            for (const auto &[key, object] : m_objects) {
                if (key.compare(0, prefix.size(), prefix) == 0) {
                    result.objects.push_back(object);
                }
            }
            done(std::move(result));
        });
    }

    void watch(std::string_view, std::uint64_t, Duration, Callback<WatchBatch> done) override
    {
        post("watch", "", [done](Fault) {
            done(unavailable<WatchBatch>());
        });
    }

    void instances(Callback<std::vector<PlatformInstance>> done) override
    {
        post("instances", "", [done](Fault) {
            done(std::vector<PlatformInstance>());
        });
    }

private:
    template <class T>
    static Expected<T> fail(ErrorKind kind)
    {
        return unexpectedError(kind, "test store", "none");
    }
    template <class T>
    static Expected<T> unavailable()
    {
        return fail<T>(ErrorKind::Unavailable);
    }

    void post(std::string_view operation, std::string_view key, std::function<void(Fault)> run)
    {
        ++m_operations;
        const Fault fault = m_chooser ? m_chooser(operation, key) : Fault::None;
        m_queue.push_back([run = std::move(run), fault] {
            run(fault);
        });
    }

    void answerWrite(Fault fault, const Callback<std::uint64_t> &done,
                     const std::function<Expected<std::uint64_t>()> &effect)
    {
        if (fault == Fault::Unavailable) {
            done(unavailable<std::uint64_t>());
            return;
        }
        if (fault == Fault::DelayEffect) {
            m_delayed.push_back([effect] {
                effect();
            });
        }
        if (fault == Fault::None || fault == Fault::StaleRead) {
            done(effect());
            return;
        }
        if (fault == Fault::LoseAnswer) {
            effect();
        }
        done(fail<std::uint64_t>(ErrorKind::OutcomeUnknown));
    }

    Expected<std::uint64_t> write(const std::string &key, std::uint64_t expectedVersion,
                                  const std::string &value, const WriteId &writeId)
    {
        const auto it = m_objects.find(key);
        if ((it != m_objects.end() ? it->second.version : 0) != expectedVersion) {
            return fail<std::uint64_t>(ErrorKind::Conflict);
        }
        if (it != m_objects.end()) {
            m_former[key] = it->second;
        }
        m_objects[key] = {key, ++m_lastVersion, value, writeId};
        return m_lastVersion;
    }

    Expected<std::uint64_t> erase(const std::string &key, std::uint64_t expectedVersion)
    {
        const auto it = m_objects.find(key);
        if (it == m_objects.end()) {
            return fail<std::uint64_t>(ErrorKind::NotFound);
        }
        if (it->second.version != expectedVersion) {
            return fail<std::uint64_t>(ErrorKind::Conflict);
        }
        m_objects.erase(it);
        return ++m_lastVersion;
    }

    std::map<std::string, StoredObject> m_objects;
    std::map<std::string, StoredObject> m_former;
    std::deque<std::function<void()>> m_queue;
    std::vector<std::function<void()>> m_delayed;
    FaultChooser m_chooser;
    // Versions are not consecutive for one object, as a store may number all writes together.
    std::uint64_t m_lastVersion = 100;
    std::size_t m_operations = 0;
};

} // namespace marigoldspool

#endif
