#ifndef MARIGOLDSPOOL_PLATFORM_WATCHER_H
#define MARIGOLDSPOOL_PLATFORM_WATCHER_H

#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/RandomSource.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace marigoldspool {

/// Receives the objects under a prefix. Must not destroy the watcher from within a callback.
class WatchListener
{
public:
    virtual ~WatchListener();
    /// Versions of one key only increase. A removal found by listing has the list's revision.
    virtual void onObject(const WatchEvent &event) = 0;
    /// Before the objects of a list: \p keys are all that existed at \p revision. For listeners
    /// that know objects from other sources, too.
    virtual void onListed(const std::set<std::string_view> &keys, std::uint64_t revision);
    /// Everything written before \p asOf has been delivered.
    virtual void onConfirmed(std::uint64_t revision, SteadyTime asOf) = 0;
};

struct WatcherOptions {
    std::string prefix;
    /// How long the store holds a watch call open. Bounds the age of a confirmation.
    Duration wait = std::chrono::seconds(2);
    /// Minimum time between two calls; limits the call rate for a prefix that changes often.
    Duration minInterval = std::chrono::milliseconds(50);
    Duration initialBackoff = std::chrono::milliseconds(200);
    Duration maxBackoff = std::chrono::seconds(10);
};

/// Tracks all objects under a prefix: lists, watches, and lists again after a gap or an outage.
///
/// Performs no I/O itself: the owner calls onTick(), which starts the calls that are due.
class Watcher
{
public:
    Watcher(ObjectStore &store, const Clock &clock, RandomSource &random, WatcherOptions options,
            WatchListener &listener);
    ~Watcher();
    Watcher(const Watcher &) = delete;
    Watcher &operator=(const Watcher &) = delete;

    void start();
    /// No listener callback follows, even for pending calls.
    void stop();
    void onTick();

    /// True from the first complete list until the next gap or failure.
    bool isSynchronized() const { return m_synchronized; }
    std::uint64_t revision() const { return m_revision; }

private:
    void beginList();
    void beginWatch();
    void onList(SteadyTime sent, Expected<ListResult> result);
    void onWatch(SteadyTime sent, Expected<WatchBatch> result);
    void applyList(const ListResult &result);
    bool deliver(const WatchEvent &event);
    void scheduleNext(Duration delay);
    void onFailure(std::string_view call, const Error &error);

    ObjectStore &m_store;
    const Clock &m_clock;
    RandomSource &m_random;
    WatcherOptions m_options;
    WatchListener &m_listener;
    /// Reset by stop(), so that answers to earlier calls are detected and dropped.
    std::shared_ptr<int> m_run;
    std::map<std::string, std::uint64_t> m_versions;
    std::uint64_t m_revision = 0;
    bool m_synchronized = false;
    bool m_callPending = false;
    SteadyTime m_nextCallAt;
    unsigned m_failures = 0;
    SteadyTime m_failureLoggedAt;
};

} // namespace marigoldspool

#endif
