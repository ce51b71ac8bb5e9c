#ifndef MARIGOLDSPOOL_PLATFORM_OBJECTSTORE_H
#define MARIGOLDSPOOL_PLATFORM_OBJECTSTORE_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

struct StoredObject {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    /// The write that produced this version.
    WriteId writeId;
};

struct ListResult {
    /// The revision of the list; a watch from here misses no event.
    std::uint64_t revision = 0;
    std::vector<StoredObject> objects;
};

struct WatchEvent {
    std::string key;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;
};

struct WatchBatch {
    std::uint64_t revision = 0;
    /// Events were lost; the client has to list again.
    bool gap = false;
    std::vector<WatchEvent> events;
};

enum class PlatformState {
    Live,
    Leaving,
};

/// An entry instance or an endpoint in the platform's list, which may be out of date.
struct PlatformInstance {
    std::string id;
    std::string zone;
    std::string address;
    PlatformState state = PlatformState::Live;
};

/// Called exactly once, never from within the function that it was passed to.
template <class T>
using Callback = std::function<void(Expected<T>)>;

/// The platform's object API.
///
/// Every operation may fail with Unavailable (had no effect), RateLimited or Timeout; writes may
/// fail with OutcomeUnknown, after which the caller reads back and compares the write id.
///
/// Versions and revisions are positions (StorePosition.h): they increase also when the store was
/// restored from an older copy, which may lack what was written last.
class ObjectStore
{
public:
    virtual ~ObjectStore();
    /// Fails with NotFound.
    virtual void get(std::string_view key, Callback<StoredObject> done) = 0;
    /// Writes if the object still has \p expectedVersion (0: it does not exist) and returns the
    /// new version. Fails with Conflict (not written) or TooLarge.
    virtual void put(std::string_view key, std::uint64_t expectedVersion, std::string value,
                     WriteId writeId, Callback<std::uint64_t> done) = 0;
    /// Removes if the object still has \p expectedVersion. Fails with Conflict or NotFound.
    virtual void remove(std::string_view key, std::uint64_t expectedVersion,
                        Callback<std::uint64_t> done) = 0;
    virtual void list(std::string_view prefix, Callback<ListResult> done) = 0;
    /// Returns the events after \p fromRevision, or an empty batch after \p wait.
    virtual void watch(std::string_view prefix, std::uint64_t fromRevision, Duration wait,
                       Callback<WatchBatch> done) = 0;
    /// Positions below this one are from before the store was last restored, as far as its answers
    /// have shown.
    virtual std::uint64_t eraStart() const { return 0; }
    virtual void instances(Callback<std::vector<PlatformInstance>> done) = 0;
};

} // namespace marigoldspool

#endif
