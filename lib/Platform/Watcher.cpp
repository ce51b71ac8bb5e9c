#include "marigoldspool/Platform/Watcher.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <set>

namespace marigoldspool {

namespace {

// The reason of a series of failures may change, for example when an outage ends.
constexpr Duration FailureLogInterval = std::chrono::seconds(2);

} // namespace

WatchListener::~WatchListener() = default;

void WatchListener::onListed(const std::set<std::string_view> & /*keys*/,
                             std::uint64_t /*revision*/)
{ }

Watcher::Watcher(ObjectStore &store, const Clock &clock, RandomSource &random,
                 WatcherOptions options, WatchListener &listener)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
    , m_options(std::move(options))
    , m_listener(listener)
{ }

Watcher::~Watcher() = default;

void Watcher::start()
{
    m_run = std::make_shared<int>(0);
    m_callPending = false;
    m_synchronized = false;
    m_failures = 0;
    m_nextCallAt = m_clock.now();
    onTick();
}

void Watcher::stop()
{
    m_run.reset();
    m_callPending = false;
    m_synchronized = false;
}

void Watcher::onTick()
{
    if (m_run == nullptr || m_callPending || m_clock.now() < m_nextCallAt) {
        return;
    }
    m_callPending = true;
    if (m_synchronized) {
        beginWatch();
    } else {
        beginList();
    }
}

void Watcher::beginList()
{
    m_store.list(
        m_options.prefix,
        [this, run = std::weak_ptr<int>(m_run), sent = m_clock.now()](Expected<ListResult> result) {
            if (!run.expired()) {
                onList(sent, std::move(result));
            }
        });
}

void Watcher::beginWatch()
{
    m_store.watch(
        m_options.prefix, m_revision, m_options.wait,
        [this, run = std::weak_ptr<int>(m_run), sent = m_clock.now()](Expected<WatchBatch> result) {
            if (!run.expired()) {
                onWatch(sent, std::move(result));
            }
        });
}

void Watcher::onList(SteadyTime sent, Expected<ListResult> result)
{
    m_callPending = false;
    if (!result) {
        onFailure("list", result.error());
        return;
    }
    if (result->revision < m_revision) {
        // A stale read: applying it would deliver older versions after newer ones.
        onFailure("list",
                  makeError(ErrorKind::Unavailable,
                            "the store listed revision " + std::to_string(result->revision)
                                + " after " + std::to_string(m_revision),
                            "if this persists, the store lost writes; restart the instance"));
        return;
    }
    const std::weak_ptr<int> run = m_run;
    applyList(*result);
    if (run.expired()) {
        return;
    }
    m_revision = result->revision;
    m_synchronized = true;
    m_failures = 0;
    scheduleNext(m_options.minInterval);
    m_listener.onConfirmed(m_revision, sent);
}

void Watcher::applyList(const ListResult &result)
{
    std::set<std::string_view> listed;
    for (const StoredObject &object : result.objects) {
        listed.insert(object.key);
    }
    const std::weak_ptr<int> run = m_run;
    m_listener.onListed(listed, result.revision);
    if (run.expired()) {
        return;
    }
    std::vector<std::string> removed;
    for (const auto &[key, version] : m_versions) {
        if (listed.count(key) == 0) {
            removed.push_back(key);
        }
    }
    for (const std::string &key : removed) {
        if (!deliver({key, result.revision, true, {}})) {
            return;
        }
    }
    for (const StoredObject &object : result.objects) {
        if (!deliver({object.key, object.version, false, object.value})) {
            return;
        }
    }
}

void Watcher::onWatch(SteadyTime sent, Expected<WatchBatch> result)
{
    m_callPending = false;
    if (!result) {
        onFailure("watch", result.error());
        return;
    }
    if (result->gap || result->revision < m_revision) {
        logEvent(LogLevel::Info, "watch_gap",
                 {{"prefix", m_options.prefix}, {"revision", std::to_string(m_revision)}});
        m_synchronized = false;
        scheduleNext(m_options.minInterval);
        return;
    }
    std::vector<WatchEvent> events = std::move(result->events);
    std::stable_sort(events.begin(), events.end(), [](const WatchEvent &a, const WatchEvent &b) {
        return a.version < b.version;
    });
    for (const WatchEvent &event : events) {
        // Everything up to the requested revision was already delivered; skip duplicates.
        if (event.version <= m_revision) {
            continue;
        }
        if (!deliver(event)) {
            return;
        }
    }
    // Back off after an empty answer that came long before the wait expired, which would
    // otherwise cause a tight loop of watch calls.
    const bool early = events.empty() && m_clock.now() - sent < m_options.wait / 2;
    m_revision = result->revision;
    m_failures = 0;
    scheduleNext(early ? std::max(m_options.minInterval, m_options.initialBackoff)
                       : m_options.minInterval);
    m_listener.onConfirmed(m_revision, sent);
}

// Returns false if the listener stopped the watcher.
bool Watcher::deliver(const WatchEvent &event)
{
    const auto it = m_versions.find(event.key);
    if (it != m_versions.end() && event.version <= it->second) {
        return true;
    }
    if (event.deleted) {
        if (it == m_versions.end()) {
            return true;
        }
        m_versions.erase(it);
    } else {
        m_versions[event.key] = event.version;
    }
    const std::weak_ptr<int> run = m_run;
    m_listener.onObject(event);
    return !run.expired();
}

void Watcher::scheduleNext(Duration delay)
{
    m_nextCallAt = m_clock.now() + delay;
}

void Watcher::onFailure(std::string_view call, const Error &error)
{
    const SteadyTime now = m_clock.now();
    if (m_failures == 0 || now - m_failureLoggedAt >= FailureLogInterval) {
        m_failureLoggedAt = now;
        logEvent(LogLevel::Warning, "watch_failed",
                 {{"prefix", m_options.prefix},
                  {"call", std::string(call)},
                  {"failures", std::to_string(m_failures + 1)},
                  {"error", describeError(error)}});
    }
    m_synchronized = false;
    const unsigned doublings = std::min(m_failures++, 10U);
    const Duration maxDelay =
        std::min(m_options.maxBackoff, m_options.initialBackoff * (1U << doublings));
    // Half of the delay is random, so that instances do not all retry at once after an outage.
    const auto jitter =
        static_cast<Duration::rep>(m_random.uniform() * static_cast<double>(maxDelay.count()) / 2);
    scheduleNext(maxDelay / 2 + Duration(jitter));
}

} // namespace marigoldspool
