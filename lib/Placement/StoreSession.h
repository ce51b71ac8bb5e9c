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

/// The newest version of an object that this instance has seen.
struct KnownObject {
    /// Zero when the object does not exist.
    std::uint64_t version = 0;
    std::string value;
    /// When the latest answered read was issued, or the latest write answered.
    SteadyTime checkedAt;
};

struct WriteOutcome {
    std::uint64_t version = 0;
    /// False when the change was already there.
    bool written = false;
    /// When the successful write was issued.
    SteadyTime issuedAt;
};

/// Reads and conditional read-modify-write updates of store objects, one at a time per object,
/// retried until the store gives a definite answer.
class StoreSession
{
public:
    /// Returns the new value, nothing when no write is needed, or an error that ends the update.
    /// It may be called again on a newer object and must then recognise its own earlier change,
    /// because a write whose answer is lost may have taken effect.
    using Change = std::function<Expected<std::optional<std::string>>(const KnownObject &object,
                                                                      const WriteId &writeId)>;
    using Done = std::function<void(const Expected<WriteOutcome> &)>;
    /// Called with each newer version, before the updates that wait for it go on.
    using Observer = std::function<void(const std::string &key, const KnownObject &object)>;

    StoreSession(InstanceId self, const Clock &clock, RandomSource &random, Observer observer);

    /// With \p freshRead the object is read first even if a version is known.
    void update(const std::string &key, Change change, Done done, bool freshRead = false);
    /// Reads the object unless a read is already wanted.
    void refresh(const std::string &key);
    const KnownObject *find(const std::string &key) const;
    void onReply(const StoreReply &reply);
    /// Starts what is due.
    void tick();
    /// Since when every operation has failed; nothing while the store answers.
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
        /// The operation under way; zero when there is none.
        std::uint64_t token = 0;
        bool writing = false;
        WriteId writeId;
        std::string writtenValue;
        SteadyTime readIssuedAt;
        SteadyTime writeIssuedAt;
        SteadyTime retryAt;
        int failures = 0;
        /// The answer to the last write was lost; a read decides.
        bool outcomeUnknown = false;
    };

    void pump(const std::string &key, Object &object);
    void startRead(const std::string &key, Object &object);
    void startWrite(const std::string &key, Object &object, std::string value, WriteId writeId);
    void onRead(const std::string &key, Object &object, const Expected<StoredObject> &result);
    void onWritten(const std::string &key, Object &object, const Expected<StoredObject> &result);
    void adopt(const std::string &key, Object &object, std::uint64_t version, std::string value);
    void finishFirst(Object &object, const Expected<WriteOutcome> &outcome);
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
