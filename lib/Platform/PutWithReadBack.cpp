#include "marigoldspool/Platform/PutWithReadBack.h"

#include <memory>

namespace marigoldspool {

namespace {

// Each try costs the store a read and a write; an outage outlasts any number of immediate tries.
constexpr int MostTries = 3;

class PutOperation : public std::enable_shared_from_this<PutOperation>
{
public:
    PutOperation(ObjectStore &store, Metrics &metrics, std::string_view key,
                 std::uint64_t expectedVersion, std::string value, WriteId writeId,
                 Callback<std::uint64_t> done)
        : m_store(store)
        , m_metrics(metrics)
        , m_key(key)
        , m_expectedVersion(expectedVersion)
        , m_value(std::move(value))
        , m_writeId(std::move(writeId))
        , m_done(std::move(done))
    { }

    void write()
    {
        ++m_tries;
        m_store.put(m_key, m_expectedVersion, m_value, m_writeId,
                    [self = shared_from_this()](Expected<std::uint64_t> result) {
                        self->onWritten(std::move(result));
                    });
    }

private:
    void onWritten(Expected<std::uint64_t> result)
    {
        const bool lost = !result && result.error().kind == ErrorKind::OutcomeUnknown;
        // After a lost answer, any later failure of the same write still leaves the first one open.
        if (!lost && (result || m_tries == 1)) {
            m_done(std::move(result));
            return;
        }
        m_metrics.countRetry(RetryReason::StoreAnswerLost);
        m_store.get(m_key, [self = shared_from_this()](Expected<StoredObject> object) {
            self->onReadBack(std::move(object));
        });
    }

    void onReadBack(Expected<StoredObject> object)
    {
        if (object && object->writeId == m_writeId) {
            m_done(object->version);
            return;
        }
        const bool absent = !object && object.error().kind == ErrorKind::NotFound;
        if (!object && !absent) {
            finishUnknown("the object could not be read back: " + object.error().message);
            return;
        }
        const std::uint64_t current = absent ? 0 : object->version;
        if (current != m_expectedVersion) {
            finishUnknown("another write has replaced the object since");
            return;
        }
        // The lost write may still be under way, so "not written" is no certain answer. Writing
        // again with the same condition and write id lets at most one of the two take effect.
        if (m_tries < MostTries) {
            write();
            return;
        }
        finishUnknown("answers were lost " + std::to_string(m_tries) + " times");
    }

    void finishUnknown(std::string cause)
    {
        m_done(unexpectedError(ErrorKind::OutcomeUnknown,
                               "write of " + m_key + ": " + std::move(cause),
                               "read the object again and look for the write's effect"));
    }

    ObjectStore &m_store;
    Metrics &m_metrics;
    std::string m_key;
    std::uint64_t m_expectedVersion;
    std::string m_value;
    WriteId m_writeId;
    Callback<std::uint64_t> m_done;
    int m_tries = 0;
};

} // namespace

void putWithReadBack(ObjectStore &store, Metrics &metrics, std::string_view key,
                     std::uint64_t expectedVersion, std::string value, WriteId writeId,
                     Callback<std::uint64_t> done)
{
    std::make_shared<PutOperation>(store, metrics, key, expectedVersion, std::move(value),
                                   std::move(writeId), std::move(done))
        ->write();
}

} // namespace marigoldspool
