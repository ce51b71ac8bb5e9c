#include "System/Fleet.h"
#include "System/Wait.h"

#include <algorithm>
#include <csignal>

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

using Steady = std::chrono::steady_clock;

constexpr int Changes = 30;
// The stated target for a change to be in force everywhere.
constexpr Milliseconds InForceLimit{15'000};

// Reads the version of each instance again and again.
class VersionMonitor
{
public:
    explicit VersionMonitor(const Fleet &fleet)
        : m_fleet(fleet)
        , m_readers(fleet.instances().size(), [this](std::size_t n) {
            read(n);
        })
    { }

    void stop() { m_readers.stop(); }

    // Versions that were lower than one seen before at the same instance.
    std::vector<std::string> regressions() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_regressions;
    }

    // When the last instance had at least this version in force; empty before.
    std::optional<Steady::time_point> inForceSince(std::uint64_t version) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Steady::time_point latest;
        for (const std::string &id : m_fleet.instances()) {
            const auto history = m_history.find(id);
            if (history == m_history.end()) {
                return std::nullopt;
            }
            const auto first = history->second.lower_bound(version);
            if (first == history->second.end()) {
                return std::nullopt;
            }
            latest = std::max(latest, first->second);
        }
        return latest;
    }

private:
    void read(std::size_t n)
    {
        const std::string &id = m_fleet.instances()[n];
        const std::uint64_t version = m_fleet.configVersion(id);
        // An instance that is down or has just started has none.
        if (version > 0) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            auto &history = m_history[id];
            history.emplace(version, Steady::now());
            if (version < history.rbegin()->first) {
                m_regressions.push_back(id + " went from " + std::to_string(history.rbegin()->first)
                                        + " to " + std::to_string(version));
            }
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }

    const Fleet &m_fleet;
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::uint64_t, Steady::time_point>> m_history;
    std::vector<std::string> m_regressions;
    CallerPool m_readers;
};

struct Accepted {
    std::uint64_t version;
    std::string rules;
    Steady::time_point at;
};

// Operators that publish at the same time, each its own text, until enough changes were accepted.
class Operators
{
public:
    explicit Operators(const Fleet &fleet)
        : m_fleet(fleet)
        , m_publishers(2, [this](std::size_t n) {
            publish(n);
        })
    { }

    std::vector<Accepted> finish()
    {
        const bool enough = waitUntil(Milliseconds(60'000), [&] {
            return count() >= Changes;
        });
        CHECK_MESSAGE(enough, "only " << count() << " changes were accepted");
        m_publishers.stop();
        return m_accepted;
    }

    int count() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return static_cast<int>(m_accepted.size());
    }
    int conflicts() const { return m_conflicts; }

private:
    void publish(std::size_t n)
    {
        if (count() >= Changes) {
            std::this_thread::sleep_for(Milliseconds(5));
            return;
        }
        const std::string author = "operator-" + std::to_string(n);
        const std::string rules = m_fleet.rules() + "workspace " + author + "-"
            + std::to_string(m_turn++) + " rate=100 burst=100   # asked for by: " + author + "\n";
        const std::optional<std::uint64_t> version = m_fleet.publishText(rules, author);
        if (!version) {
            ++m_conflicts;
            return;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_accepted.push_back({*version, rules, Steady::now()});
    }

    const Fleet &m_fleet;
    mutable std::mutex m_mutex;
    std::vector<Accepted> m_accepted;
    std::atomic<int> m_conflicts{0};
    std::atomic<int> m_turn{0};
    CallerPool m_publishers;
};

void checkUnique(std::vector<Accepted> accepted)
{
    std::sort(accepted.begin(), accepted.end(), [](const Accepted &a, const Accepted &b) {
        return a.version < b.version;
    });
    for (std::size_t i = 1; i < accepted.size(); ++i) {
        CHECK_MESSAGE(accepted[i - 1].version < accepted[i].version,
                      "version " << accepted[i].version << " was accepted twice");
    }
}

void checkTimes(const VersionMonitor &monitor, const std::vector<Accepted> &accepted)
{
    std::vector<Milliseconds> times;
    for (const Accepted &change : accepted) {
        const auto since = monitor.inForceSince(change.version);
        REQUIRE(since.has_value());
        times.push_back(std::max(Milliseconds(0),
                                 std::chrono::duration_cast<Milliseconds>(*since - change.at)));
    }
    std::sort(times.begin(), times.end());
    MESSAGE("time until in force everywhere: p50 " << times[times.size() / 2].count() << " ms, max "
                                                   << times.back().count() << " ms");
    CHECK(times.back() <= InForceLimit);
}

} // namespace

// Guards against a configuration that goes back at an instance, an accepted change that is lost or
// not put in force everywhere, and two operators who are both told that they hold a version (P13).
TEST_CASE("accepted configurations reach all instances and never go back")
{
    Fleet fleet;
    addCommonRules(fleet);
    fleet.addService("app-a", "zone-a", "slots=16 fresh-slots=16", {});
    for (const std::string id : {"a1", "a2", "b1", "b2"}) {
        fleet.addInstance(id, std::string("zone-") + id[0]);
    }
    REQUIRE(fleet.apply());
    for (const std::string &id : fleet.instances()) {
        fleet.waitReady(id);
    }
    VersionMonitor monitor(fleet);
    Operators operators(fleet);
    const auto waitForChanges = [&](int count) {
        CHECK(waitUntil(Milliseconds(60'000), [&] {
            return operators.count() >= count;
        }));
    };
    waitForChanges(6);
    fleet.setPlatformFaults({{"mode", "slow"}, {"delay_ms", 150}});
    waitForChanges(10);
    fleet.process("a1").kill();
    fleet.startInstance("a1");
    waitForChanges(14);
    fleet.setPlatformFaults({{"mode", "lose_answers"}, {"probability", 0.5}});
    waitForChanges(20);
    fleet.process("b1").signal(SIGSTOP);
    waitForChanges(24);
    fleet.process("b1").signal(SIGCONT);
    fleet.setPlatformFaults({{"mode", "normal"}});
    const std::vector<Accepted> accepted = operators.finish();
    const std::uint64_t newest = fleet.storedValue("config/root").at("version");
    CHECK(waitUntil(InForceLimit, [&] {
        return monitor.inForceSince(newest).has_value();
    }));
    monitor.stop();
    for (const std::string &regression : monitor.regressions()) {
        FAIL_CHECK(regression);
    }
    for (const std::string &id : fleet.instances()) {
        CHECK_MESSAGE(fleet.configVersion(id) == newest, id << " is behind");
    }
    MESSAGE("accepted " << accepted.size() << ", conflicts " << operators.conflicts());
    CHECK(newest >= accepted.size());
    checkUnique(accepted);
    checkTimes(monitor, accepted);
}
