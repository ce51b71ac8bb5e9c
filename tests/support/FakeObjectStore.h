#ifndef MARIGOLDSPOOL_TESTS_SUPPORT_FAKEOBJECTSTORE_H
#define MARIGOLDSPOOL_TESTS_SUPPORT_FAKEOBJECTSTORE_H

#include "marigoldspool/Support/RandomSource.h"
#include "support/ObjectTable.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace marigoldspool {

/// Object store in memory. Nothing happens until the test lets an operation take effect and lets
/// its answer arrive, so a test decides every interleaving.
class FakeObjectStore final : public ObjectStore
{
public:
    explicit FakeObjectStore(const Clock &clock)
        : m_clock(clock)
    { }

    /// Shares one table among the stores of several simulated instances, each with own faults.
    FakeObjectStore(const Clock &clock, ObjectTable &table)
        : m_clock(clock)
        , m_table(table)
    { }

    // Faults.

    /// While away, operations fail with Unavailable without effect and watches end.
    void setAway(bool away) { m_away = away; }
    /// While stale, reads and lists see the table as it is now; writes still take effect.
    void setStale(bool stale)
    {
        m_snapshot = stale ? std::optional<ObjectTable>(m_table) : std::nullopt;
    }
    /// The next \p n writes take effect and fail with OutcomeUnknown.
    void loseAnswers(int n) { m_answersToLose = n; }
    /// The next \p n writes fail with OutcomeUnknown without effect.
    void loseWrites(int n) { m_writesToLose = n; }
    void limitRate(bool limited) { m_rateLimited = limited; }

    ObjectTable &table() { return m_table; }
    void setInstances(std::vector<PlatformInstance> list) { m_instances = std::move(list); }

    // Steps.

    std::size_t pendingOperations() const { return m_operations.size(); }
    std::size_t pendingAnswers() const { return m_answers.size(); }
    std::size_t waitingWatches() const { return m_watches.size(); }
    std::uint64_t operationsSeen() const { return m_operationsSeen; }

    /// Lets operation number \p n take effect; its answer waits for deliver().
    void apply(std::size_t n = 0)
    {
        const auto it = m_operations.begin() + static_cast<std::ptrdiff_t>(n);
        const std::function<void()> operation = std::move(*it);
        m_operations.erase(it);
        operation();
    }

    void deliver(std::size_t n = 0)
    {
        const auto it = m_answers.begin() + static_cast<std::ptrdiff_t>(n);
        const std::function<void()> answer = std::move(*it);
        m_answers.erase(it);
        answer();
    }

    /// One step, in order; false when nothing is left to do at this time.
    bool runOne()
    {
        wakeWatches();
        if (!m_answers.empty()) {
            deliver();
            return true;
        }
        if (!m_operations.empty()) {
            apply();
            return true;
        }
        return false;
    }

    /// Everything, in order, including what callbacks start.
    void runAll()
    {
        while (runOne()) {
        }
    }

    /// One step in random order; false when nothing is left to do at this time.
    bool runRandom(RandomSource &random)
    {
        wakeWatches();
        const std::size_t steps = m_operations.size() + m_answers.size();
        if (steps == 0) {
            return false;
        }
        const auto n = static_cast<std::size_t>(random.below(steps));
        if (n < m_operations.size()) {
            apply(n);
        } else {
            deliver(n - m_operations.size());
        }
        return true;
    }

    // ObjectStore.

    void get(std::string_view key, Callback<StoredObject> done) override
    {
        enqueue<StoredObject>(
            [this, key = std::string(key)]() {
                return readTable().get(key);
            },
            std::move(done));
    }

    void put(std::string_view key, std::uint64_t expectedVersion, std::string value,
             WriteId writeId, Callback<std::uint64_t> done) override
    {
        enqueue<std::uint64_t>(
            [this, key = std::string(key), expectedVersion, value = std::move(value),
             writeId = std::move(writeId)]() {
                return write([&]() {
                    return m_table.put(key, expectedVersion, value, writeId);
                });
            },
            std::move(done));
    }

    void remove(std::string_view key, std::uint64_t expectedVersion,
                Callback<std::uint64_t> done) override
    {
        enqueue<std::uint64_t>(
            [this, key = std::string(key), expectedVersion]() {
                return write([&]() {
                    return m_table.remove(key, expectedVersion);
                });
            },
            std::move(done));
    }

    void list(std::string_view prefix, Callback<ListResult> done) override
    {
        enqueue<ListResult>(
            [this, prefix = std::string(prefix)]() -> Expected<ListResult> {
                return readTable().list(prefix);
            },
            std::move(done));
    }

    void watch(std::string_view prefix, std::uint64_t fromRevision, Duration wait,
               Callback<WatchBatch> done) override
    {
        ++m_operationsSeen;
        m_watches.push_back(
            {std::string(prefix), fromRevision, m_clock.now() + wait, std::move(done)});
    }

    void instances(Callback<std::vector<PlatformInstance>> done) override
    {
        enqueue<std::vector<PlatformInstance>>(
            [this]() -> Expected<std::vector<PlatformInstance>> {
                return m_instances;
            },
            std::move(done));
    }

private:
    struct Watch {
        std::string prefix;
        std::uint64_t from;
        SteadyTime until;
        Callback<WatchBatch> done;
    };

    template <class T>
    void enqueue(std::function<Expected<T>()> operation, Callback<T> done)
    {
        ++m_operationsSeen;
        m_operations.push_back([this, operation = std::move(operation), done = std::move(done)]() {
            Expected<T> result = unreachable() ? Expected<T>(failure()) : operation();
            answer<T>(done, std::move(result));
        });
    }

    template <class T>
    void answer(const Callback<T> &done, Expected<T> result)
    {
        m_answers.push_back([done, result = std::move(result)]() {
            done(result);
        });
    }

    bool unreachable() const { return m_away || m_rateLimited; }

    tl::unexpected<Error> failure() const
    {
        return unexpectedError(m_away ? ErrorKind::Unavailable : ErrorKind::RateLimited,
                               "the store is away or limits the rate", "try again later");
    }

    template <class Write>
    Expected<std::uint64_t> write(Write effect)
    {
        if (m_writesToLose > 0) {
            --m_writesToLose;
            return lostAnswer();
        }
        Expected<std::uint64_t> result = effect();
        if (m_answersToLose > 0) {
            --m_answersToLose;
            return lostAnswer();
        }
        return result;
    }

    static tl::unexpected<Error> lostAnswer()
    {
        return unexpectedError(ErrorKind::OutcomeUnknown, "the answer was lost",
                               "read the object back");
    }

    const ObjectTable &readTable() const { return m_snapshot ? *m_snapshot : m_table; }

    void wakeWatches()
    {
        std::vector<Watch> waiting;
        for (Watch &watch : m_watches) {
            if (unreachable()) {
                answer<WatchBatch>(watch.done, failure());
                continue;
            }
            WatchBatch batch = readTable().eventsAfter(watch.prefix, watch.from);
            if (batch.gap || !batch.events.empty() || m_clock.now() >= watch.until) {
                answer<WatchBatch>(watch.done, std::move(batch));
            } else {
                waiting.push_back(std::move(watch));
            }
        }
        m_watches = std::move(waiting);
    }

    const Clock &m_clock;
    ObjectTable m_ownTable;
    ObjectTable &m_table = m_ownTable;
    std::optional<ObjectTable> m_snapshot;
    std::vector<PlatformInstance> m_instances;
    std::deque<std::function<void()>> m_operations;
    std::deque<std::function<void()>> m_answers;
    std::vector<Watch> m_watches;
    std::uint64_t m_operationsSeen = 0;
    bool m_away = false;
    bool m_rateLimited = false;
    int m_answersToLose = 0;
    int m_writesToLose = 0;
};

} // namespace marigoldspool

#endif
