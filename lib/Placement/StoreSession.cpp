#include "Placement/StoreSession.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(20);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);

bool isOutcomeUnknown(ErrorKind kind)
{
    return kind != ErrorKind::Conflict && kind != ErrorKind::Unavailable
        && kind != ErrorKind::RateLimited && kind != ErrorKind::TooLarge;
}

} // namespace

StoreSession::StoreSession(InstanceId self, const Clock &clock, RandomSource &random,
                           Observer observer)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_random(random)
    , m_observer(std::move(observer))
{ }

void StoreSession::update(const std::string &key, Change change, Done done, bool freshRead)
{
    Object &object = m_objects[key];
    object.updates.push_back({std::move(change), std::move(done), freshRead});
    startNextOperation(key, object);
}

void StoreSession::refresh(const std::string &key)
{
    Object &object = m_objects[key];
    object.refreshWanted = true;
    startNextOperation(key, object);
}

const KnownObject *StoreSession::find(const std::string &key) const
{
    const auto it = m_objects.find(key);
    return it == m_objects.end() || !it->second.isKnown ? nullptr : &it->second.known;
}

void StoreSession::onReply(const StoreReply &reply)
{
    const auto it = m_tokens.find(reply.token);
    if (it == m_tokens.end()) {
        return;
    }
    const std::string key = std::move(it->second);
    m_tokens.erase(it);
    Object &object = m_objects[key];
    object.token = 0;
    const bool failed = !reply.object && reply.object.error().kind != ErrorKind::Conflict
        && reply.object.error().kind != ErrorKind::NotFound;
    if (!failed) {
        m_failingSince.reset();
    } else if (!m_failingSince) {
        m_failingSince = m_clock.now();
    }
    if (object.writing) {
        onWritten(key, object, reply.object);
    } else {
        onRead(key, object, reply.object);
    }
    startNextOperation(key, object);
}

void StoreSession::tick()
{
    for (auto &[key, object] : m_objects) {
        startNextOperation(key, object);
    }
}

void StoreSession::startNextOperation(const std::string &key, Object &object)
{
    while (object.token == 0 && m_clock.now() >= object.retryAt) {
        const bool wanted = !object.updates.empty() || object.refreshWanted;
        if (!wanted) {
            return;
        }
        const bool read = !object.isKnown || object.refreshWanted || object.outcomeUnknown
            || object.updates.front().freshRead;
        if (read) {
            startRead(key, object);
            return;
        }
        const WriteId writeId(m_self.str() + "-" + m_random.hex(16));
        auto value = object.updates.front().change(object.known, writeId);
        if (!value) {
            finishFirstUpdate(object, tl::unexpected<Error>(value.error()));
        } else if (!*value) {
            finishFirstUpdate(object, WriteOutcome{object.known.version, false, m_clock.now()});
        } else {
            startWrite(key, object, std::move(**value), writeId);
        }
    }
}

void StoreSession::startRead(const std::string &key, Object &object)
{
    object.token = ++m_lastToken;
    object.writing = false;
    object.readIssuedAt = m_clock.now();
    m_tokens.emplace(object.token, key);
    m_actions.emplace_back(StoreGet{object.token, key});
}

void StoreSession::startWrite(const std::string &key, Object &object, std::string value,
                              WriteId writeId)
{
    object.token = ++m_lastToken;
    object.writing = true;
    object.writeIssuedAt = m_clock.now();
    object.writeId = writeId;
    object.writtenValue = value;
    m_tokens.emplace(object.token, key);
    m_actions.emplace_back(
        StorePut{object.token, key, object.known.version, std::move(value), std::move(writeId)});
}

void StoreSession::onRead(const std::string &key, Object &object,
                          const Expected<StoredObject> &result)
{
    if (!result && result.error().kind != ErrorKind::NotFound) {
        backOff(object);
        return;
    }
    object.failures = 0;
    object.refreshWanted = false;
    if (!object.updates.empty()) {
        object.updates.front().freshRead = false;
    }
    // Objects of Placement are never deleted, so a missing object or an older version than the
    // known one is a stale read.
    const bool stale = object.isKnown && (!result || result->version < object.known.version);
    if (!stale) {
        acceptVersion(key, object, result ? result->version : 0,
                      result ? result->value : std::string());
        object.known.checkedAt = object.readIssuedAt;
    }
    if (object.outcomeUnknown) {
        object.outcomeUnknown = false;
        if (result && result->writeId == object.writeId) {
            finishFirstUpdate(object, WriteOutcome{result->version, true, object.writeIssuedAt});
        }
    }
}

void StoreSession::onWritten(const std::string &key, Object &object,
                             const Expected<StoredObject> &result)
{
    object.writing = false;
    if (result) {
        object.failures = 0;
        acceptVersion(key, object, result->version, object.writtenValue);
        object.known.checkedAt = m_clock.now();
        finishFirstUpdate(object, WriteOutcome{result->version, true, object.writeIssuedAt});
        return;
    }
    const ErrorKind kind = result.error().kind;
    if (kind == ErrorKind::TooLarge) {
        finishFirstUpdate(object, tl::unexpected<Error>(result.error()));
        return;
    }
    object.outcomeUnknown = isOutcomeUnknown(kind);
    // Another instance has written the object, or the response was lost: read before the retry.
    object.refreshWanted = kind == ErrorKind::Conflict || object.outcomeUnknown;
    backOff(object);
}

void StoreSession::acceptVersion(const std::string &key, Object &object, std::uint64_t version,
                                 std::string value)
{
    const bool isNew = !object.isKnown || version != object.known.version;
    object.isKnown = true;
    if (isNew) {
        object.known.version = version;
        object.known.value = std::move(value);
    }
    m_observer(key, object.known);
}

void StoreSession::finishFirstUpdate(Object &object, const Expected<WriteOutcome> &outcome)
{
    const Done done = std::move(object.updates.front().done);
    object.updates.pop_front();
    if (done) {
        done(outcome);
    }
}

void StoreSession::backOff(Object &object)
{
    const Duration maxDelay =
        std::min(MaxRetryDelay, InitialRetryDelay * (1 << std::min(object.failures, 7)));
    ++object.failures;
    // Full jitter keeps instances whose writes conflicted from retrying at the same time.
    object.retryAt = m_clock.now()
        + Duration(static_cast<std::int64_t>(static_cast<double>(maxDelay.count())
                                             * m_random.uniform()));
}

} // namespace marigoldspool
