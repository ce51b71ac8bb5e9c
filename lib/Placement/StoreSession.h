#ifndef MARIGOLDSPOOL_LIB_PLACEMENT_STORESESSION_H
#define MARIGOLDSPOOL_LIB_PLACEMENT_STORESESSION_H

#include "marigoldspool/Placement/PlacementEngine.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldspool {

/// The latest version of an object that this instance has read or written.
struct KnownObject {
    /// Zero when the object does not exist.
    std::uint64_t version = 0;
    std::string value;
    /// When the latest successful read was issued or the latest write completed.
    SteadyTime checkedAt;
};

struct WriteOutcome {
    std::uint64_t version = 0;
    /// False when no write was needed.
    bool written = false;
    /// When the successful write was issued.
    SteadyTime issuedAt;
};

/// Reads and updates store objects with conditional writes, one operation at a time per object.
/// Retries until the outcome is known.
class StoreSession
{
public:
    /// Returns the new value, nothing when no write is needed, or an error that ends the update.
    /// May be called again on a newer object and must then recognise its own earlier change,
    /// because a write whose response was lost may have taken effect.
    using Change = std::function<Expected<std::optional<std::string>>(const KnownObject &object,
                                                                      const WriteId &writeId)>;
    using Done = std::function<void(const Expected<WriteOutcome> &)>;
    /// Called after each write and each read that is not stale, before pending updates continue.
    using Observer = std::function<void(const std::string &key, const KnownObject &object)>;

    StoreSession(InstanceId self, const Clock &clock, RandomSource &random, Observer observer);

    /// With \p freshRead the object is read first even if a version is known.
    void update(const std::string &key, Change change, Done done, bool freshRead = false);
    /// Requests a read of the object; several requests before the read are served by one.
    void refresh(const std::string &key);
    const KnownObject *find(const std::string &key) const;
    void onReply(const StoreReply &reply);
    /// Starts the operations that are due.
    void tick();
    /// Start of the current store outage; nothing while operations succeed.
    std::optional<SteadyTime> failingSince() const { return m_failingSince; }
    std::vector<PlacementAction> takeActions() { return std::exchange(m_actions, {}); }

private:
    struct Update {
        Change change;
        Done done;
        bool freshRead = false;
    };
    struct Object {
        KnownObject known;
        bool isKnown = false;
        bool refreshWanted = false;
        std::deque<Update> updates;
        /// Token of the operation in progress; zero when there is none.
        std::uint64_t token = 0;
        bool writing = false;
        WriteId writeId;
        std::string writtenValue;
        SteadyTime readIssuedAt;
        SteadyTime writeIssuedAt;
        SteadyTime retryAt;
        int failures = 0;
        /// The response to the last write was lost; a read tells whether it took effect.
        bool outcomeUnknown = false;
    };

    void startNextOperation(const std::string &key, Object &object);
    void startRead(const std::string &key, Object &object);
    void startWrite(const std::string &key, Object &object, std::string value, WriteId writeId);
    void onRead(const std::string &key, Object &object, const Expected<StoredObject> &result);
    void onWritten(const std::string &key, Object &object, const Expected<StoredObject> &result);
    void acceptVersion(const std::string &key, Object &object, std::uint64_t version,
                       std::string value);
    void finishFirstUpdate(Object &object, const Expected<WriteOutcome> &outcome);
    void backOff(Object &object);

    InstanceId m_self;
    const Clock &m_clock;
    RandomSource &m_random;
    Observer m_observer;
    std::map<std::string, Object> m_objects;
    std::unordered_map<std::uint64_t, std::string> m_tokens;
    std::uint64_t m_lastToken = 0;
    std::optional<SteadyTime> m_failingSince;
    std::vector<PlacementAction> m_actions;
};

} // namespace marigoldspool

#endif
