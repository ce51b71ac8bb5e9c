#include "marigoldspool/Platform/PutWithReadBack.h"

#include <memory>

namespace marigoldspool {

namespace {

// Each attempt costs the store a read and a write, and immediate retries do not outlast an outage.
constexpr int MaxAttempts = 3;

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
        ++m_attempts;
        m_store.put(m_key, m_expectedVersion, m_value, m_writeId,
                    [self = shared_from_this()](Expected<std::uint64_t> result) {
                        self->onWritten(std::move(result));
                    });
    }

private:
    void onWritten(Expected<std::uint64_t> result)
    {
        const bool answerLost = !result && result.error().kind == ErrorKind::OutcomeUnknown;
        // Once an answer was lost, a failed retry does not tell whether the first attempt took
        // effect.
        if (!answerLost && (result || m_attempts == 1)) {
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
            finishUnknown("another write has replaced the object");
            return;
        }
        // The lost write may still arrive, so it cannot be reported as not written. A retry with
        // the same expected version and write id ensures that at most one of the two takes effect.
        if (m_attempts < MaxAttempts) {
            write();
            return;
        }
        finishUnknown("no definite result after " + std::to_string(m_attempts) + " attempts");
    }

    void finishUnknown(std::string cause)
    {
        m_done(unexpectedError(ErrorKind::OutcomeUnknown,
                               "write of " + m_key + ": " + std::move(cause),
                               "read the object again and check whether the write took effect"));
    }

    ObjectStore &m_store;
    Metrics &m_metrics;
    std::string m_key;
    std::uint64_t m_expectedVersion;
    std::string m_value;
    WriteId m_writeId;
    Callback<std::uint64_t> m_done;
    int m_attempts = 0;
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
