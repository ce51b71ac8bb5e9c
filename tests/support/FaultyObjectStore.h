#ifndef MARIGOLDSPOOL_TESTS_SUPPORT_FAULTYOBJECTSTORE_H
#define MARIGOLDSPOOL_TESTS_SUPPORT_FAULTYOBJECTSTORE_H

#include "support/FakeObjectStore.h"

#include <map>
#include <utility>

namespace marigoldspool {

/// A FakeObjectStore whose faults the test chooses for each operation and key.
class FaultyObjectStore final : public ObjectStore
{
public:
    enum class Fault {
        None,
        Unavailable, ///< Not done.
        LoseRequest, ///< Not done, outcome unknown.
        LoseAnswer, ///< Done, outcome unknown.
        DelayEffect, ///< Outcome unknown, done at applyDelayed().
        StaleRead, ///< A get yields the value before the last put.
    };
    /// \p operation is the name of the function in ObjectStore.
    using FaultChooser = std::function<Fault(std::string_view operation, std::string_view key)>;

    explicit FaultyObjectStore(const Clock &clock)
        : m_fake(clock)
    { }

    void setFaults(FaultChooser chooser) { m_chooser = std::move(chooser); }
    FakeObjectStore &fake() { return m_fake; }

    std::vector<StoredObject> objects(std::string_view prefix = "")
    {
        return m_fake.table().list(prefix).objects;
    }
    bool has(std::string_view key) { return m_fake.table().get(key).has_value(); }
    std::string valueOf(std::string_view key) { return m_fake.table().get(key)->value; }
    void replace(std::string_view key, std::string value)
    {
        const StoredObject object = *m_fake.table().get(key);
        m_fake.table().put(key, object.version, std::move(value), object.writeId);
    }
    void erase(std::string_view key)
    {
        m_fake.table().remove(key, m_fake.table().get(key)->version);
    }
    void clear()
    {
        for (const StoredObject &object : objects()) {
            erase(object.key);
        }
    }

    std::size_t pending() const { return m_fake.pendingOperations(); }
    std::uint64_t operations() const { return m_fake.operationsSeen(); }
    /// Carries out and answers the pending operation number \p n.
    void step(std::size_t n = 0)
    {
        m_fake.apply(n);
        m_fake.deliver(m_fake.pendingAnswers() - 1);
    }
    void stepNewest() { step(pending() - 1); }
    void runAll() { m_fake.runAll(); }
    void applyDelayed()
    {
        for (const std::function<void()> &effect : std::exchange(m_delayed, {})) {
            effect();
        }
    }

    void get(std::string_view key, Callback<StoredObject> done) override
    {
        const Fault fault = choose("get", key);
        const auto former = m_former.find(std::string(key));
        if (fault == Fault::StaleRead && former != m_former.end()) {
            answerInstead<StoredObject>(former->second, std::move(done));
        } else if (fault == Fault::Unavailable) {
            answerInstead<StoredObject>(failure(ErrorKind::Unavailable), std::move(done));
        } else {
            m_fake.get(key, std::move(done));
        }
    }

    void put(std::string_view key, std::uint64_t expectedVersion, std::string value,
             WriteId writeId, Callback<std::uint64_t> done) override
    {
        const Fault fault = choose("put", key);
        const Expected<StoredObject> object = m_fake.table().get(key);
        if (object && object->version == expectedVersion) {
            m_former[std::string(key)] = *object;
        }
        if (fault == Fault::DelayEffect) {
            m_delayed.push_back([=, key = std::string(key)] {
                m_fake.table().put(key, expectedVersion, value, writeId);
            });
        }
        if (isNotDone(fault)) {
            answerInstead<std::uint64_t>(failureOf(fault), std::move(done));
            return;
        }
        m_fake.put(key, expectedVersion, std::move(value), std::move(writeId),
                   lossy(fault, std::move(done)));
    }

    void remove(std::string_view key, std::uint64_t expectedVersion,
                Callback<std::uint64_t> done) override
    {
        const Fault fault = choose("remove", key);
        if (isNotDone(fault)) {
            answerInstead<std::uint64_t>(failureOf(fault), std::move(done));
            return;
        }
        m_fake.remove(key, expectedVersion, lossy(fault, std::move(done)));
    }

    void list(std::string_view prefix, Callback<ListResult> done) override
    {
        if (choose("list", prefix) == Fault::Unavailable) {
            answerInstead<ListResult>(failure(ErrorKind::Unavailable), std::move(done));
            return;
        }
        m_fake.list(prefix, std::move(done));
    }

    void watch(std::string_view prefix, std::uint64_t fromRevision, Duration wait,
               Callback<WatchBatch> done) override
    {
        m_fake.watch(prefix, fromRevision, wait, std::move(done));
    }

    void instances(Callback<std::vector<PlatformInstance>> done) override
    {
        if (choose("instances", "") == Fault::Unavailable) {
            answerInstead<std::vector<PlatformInstance>>(failure(ErrorKind::Unavailable),
                                                         std::move(done));
            return;
        }
        m_fake.instances(std::move(done));
    }

private:
    Fault choose(std::string_view operation, std::string_view key) const
    {
        return m_chooser ? m_chooser(operation, key) : Fault::None;
    }

    static bool isNotDone(Fault fault)
    {
        return fault == Fault::Unavailable || fault == Fault::LoseRequest
            || fault == Fault::DelayEffect;
    }

    static tl::unexpected<Error> failure(ErrorKind kind)
    {
        return unexpectedError(kind, "chosen by the test", "none");
    }

    static tl::unexpected<Error> failureOf(Fault fault)
    {
        return failure(fault == Fault::Unavailable ? ErrorKind::Unavailable
                                                   : ErrorKind::OutcomeUnknown);
    }

    /// Answers when the step of this operation comes, without its effect.
    template <class T>
    void answerInstead(Expected<T> answer, Callback<T> done)
    {
        m_fake.get("", [answer = std::move(answer), done = std::move(done)](const auto &) {
            done(answer);
        });
    }

    static Callback<std::uint64_t> lossy(Fault fault, Callback<std::uint64_t> done)
    {
        if (fault != Fault::LoseAnswer) {
            return done;
        }
        return [done = std::move(done)](const Expected<std::uint64_t> &) {
            done(failure(ErrorKind::OutcomeUnknown));
        };
    }

    FakeObjectStore m_fake;
    FaultChooser m_chooser;
    std::map<std::string, StoredObject> m_former;
    std::vector<std::function<void()>> m_delayed;
};

} // namespace marigoldspool

#endif
