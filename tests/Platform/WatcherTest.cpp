#include "marigoldspool/Platform/Watcher.h"
#include "support/FakeObjectStore.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

/// Records the delivered objects and counts versions that do not increase.
class RecordingListener final : public WatchListener
{
public:
    void onObject(const WatchEvent &event) override
    {
        std::uint64_t &newest = m_newest[event.key];
        if (event.version <= newest) {
            ++regressions;
        }
        newest = event.version;
        if (event.deleted) {
            values.erase(event.key);
        } else {
            values[event.key] = event.value;
        }
        ++events;
    }

    void onConfirmed(std::uint64_t revision, SteadyTime asOf) override
    {
        confirmedRevision = revision;
        confirmedAsOf = asOf;
    }

    std::map<std::string, std::string> values;
    int events = 0;
    int regressions = 0;
    std::uint64_t confirmedRevision = 0;
    SteadyTime confirmedAsOf;

private:
    std::map<std::string, std::uint64_t> m_newest;
};

struct WatcherFixture {
    ManualClock clock;
    SeededRandomSource random{1};
    FakeObjectStore store{clock};
    RecordingListener listener;
    Watcher watcher{store, clock, random, {"a/"}, listener};

    void write(const std::string &key, const std::string &value)
    {
        const auto current = store.table().get(key);
        REQUIRE(store.table().put(key, current ? current->version : 0, value, WriteId("w")));
    }

    void erase(const std::string &key)
    {
        REQUIRE(store.table().remove(key, store.table().get(key)->version));
    }

    void advance(Duration time)
    {
        for (const SteadyTime end = clock.now() + time; clock.now() < end;) {
            clock.advance(50ms);
            watcher.onTick();
            store.runAll();
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(WatcherFixture, "objects from before and after the start are delivered once each")
{
    write("a/1", "x");
    write("b/1", "other prefix");
    watcher.start();
    store.runAll();
    CHECK(watcher.isSynchronized());
    write("a/2", "y");
    advance(1s);
    erase("a/1");
    advance(1s);
    CHECK(listener.values == std::map<std::string, std::string>{{"a/2", "y"}});
    CHECK(listener.events == 3);
    CHECK(listener.confirmedRevision == store.table().revision());
}

TEST_CASE_FIXTURE(WatcherFixture, "a gap loses neither changes nor removals")
{
    write("a/1", "x");
    write("a/2", "y");
    watcher.start();
    store.runAll();
    store.setAway(true);
    advance(5s);
    CHECK_FALSE(watcher.isSynchronized());
    write("a/1", "x2");
    erase("a/2");
    write("a/3", "z");
    store.table().forgetEvents();
    store.setAway(false);
    advance(30s);
    CHECK(watcher.isSynchronized());
    CHECK(listener.values == std::map<std::string, std::string>{{"a/1", "x2"}, {"a/3", "z"}});
    CHECK(listener.regressions == 0);
}

TEST_CASE_FIXTURE(WatcherFixture, "a gap reported by a watch causes a new list")
{
    write("a/1", "x");
    watcher.start();
    store.runAll();
    write("a/1", "x2");
    store.table().forgetEvents();
    advance(1s);
    CHECK(listener.values == std::map<std::string, std::string>{{"a/1", "x2"}});
}

TEST_CASE_FIXTURE(WatcherFixture, "a stale list is not delivered and does not count as confirmed")
{
    write("a/1", "old");
    ObjectTable behind = store.table();
    write("a/1", "new");
    write("a/2", "new");
    watcher.start();
    store.runAll();
    const SteadyTime confirmed = listener.confirmedAsOf;
    watcher.stop();
    store.runAll();

    // From here a stale replica answers, which lacks the last writes.
    std::swap(store.table(), behind);
    watcher.start();
    advance(5s);
    CHECK(listener.values.at("a/1") == "new");
    CHECK(listener.values.count("a/2") == 1);
    CHECK(listener.confirmedAsOf == confirmed);
    CHECK_FALSE(watcher.isSynchronized());

    std::swap(store.table(), behind);
    write("a/2", "newer");
    advance(30s);
    CHECK(listener.values.at("a/2") == "newer");
    CHECK(listener.regressions == 0);
}

// Guards against overloading a store that is down: the call rate must fall during an outage.
TEST_CASE_FIXTURE(WatcherFixture,
                  "calls back off during an outage and resume within the maximum backoff")
{
    store.setAway(true);
    watcher.start();
    advance(60s);
    const std::uint64_t firstMinute = store.operationsSeen();
    advance(60s);
    const std::uint64_t secondMinute = store.operationsSeen() - firstMinute;
    CHECK(firstMinute <= 25);
    CHECK(secondMinute <= 13);
    CHECK(secondMinute >= 5);
    write("a/1", "x");
    store.setAway(false);
    advance(11s);
    CHECK(listener.values.size() == 1);
}

TEST_CASE_FIXTURE(WatcherFixture,
                  "an idle prefix costs one call per wait and a busy one has a bounded call rate")
{
    watcher.start();
    store.runAll();
    advance(60s);
    CHECK(store.operationsSeen() <= 32);
    const std::uint64_t before = store.operationsSeen();
    for (int i = 0; i < 200; ++i) {
        write("a/1", std::to_string(i));
        advance(50ms);
    }
    CHECK(store.operationsSeen() - before <= 201);
}

TEST_CASE_FIXTURE(WatcherFixture, "nothing is delivered after stop, even for pending calls")
{
    write("a/1", "x");
    watcher.start();
    watcher.stop();
    store.runAll();
    CHECK(listener.events == 0);
    watcher.start();
    store.runAll();
    CHECK(listener.events == 1);
}

// Guards against out-of-order delivery and lost updates under random combinations of faults.
TEST_CASE("the watcher converges and never delivers older versions under random faults")
{
    CHECK(rc::check([](std::uint64_t seed) {
        WatcherFixture f;
        SeededRandomSource choice(seed);
        f.watcher.start();
        for (int step = 0; step < 300; ++step) {
            const std::string key = "a/" + std::to_string(choice.below(4));
            const auto current = f.store.table().get(key);
            switch (choice.below(10)) {
            case 0:
                f.store.setAway(choice.below(2) == 0);
                break;
            case 1:
                f.store.setStale(choice.below(2) == 0);
                break;
            case 2:
                f.store.table().forgetEvents();
                break;
            case 3:
                if (current) {
                    RC_ASSERT(f.store.table().remove(key, current->version).has_value());
                }
                break;
            case 4:
            case 5:
                RC_ASSERT(f.store.table()
                              .put(key, current ? current->version : 0, std::to_string(step),
                                   WriteId("w"))
                              .has_value());
                break;
            default:
                f.clock.advance(std::chrono::milliseconds(choice.below(300)));
                f.watcher.onTick();
                f.store.runRandom(choice);
            }
        }
        f.store.setAway(false);
        f.store.setStale(false);
        f.advance(30s);
        std::map<std::string, std::string> expected;
        for (const StoredObject &object : f.store.table().list("a/").objects) {
            expected[object.key] = object.value;
        }
        RC_ASSERT(f.listener.regressions == 0);
        RC_ASSERT(f.listener.values == expected);
    }));
}
