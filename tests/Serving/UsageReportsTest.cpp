#include "marigoldspool/Serving/UsageReports.h"

#include "marigoldspool/Serving/UsageTally.h"
#include "marigoldspool/Support/RandomSource.h"

#include <memory>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

class SteppedClock final : public Clock
{
public:
    SteadyTime now() const override { return SteadyTime(elapsed); }
    WallTime wallNow() const override { return WallTime(1'700'000'000s + elapsed + step); }

    Duration elapsed = 1000s;
    Duration step = 0s;
};

std::uint64_t countIn(const RequestStarts &starts, std::int64_t window)
{
    std::uint64_t sum = 0;
    for (const WindowStarts &it : starts.windows) {
        for (const WorkspaceCount &count : it.counts) {
            sum += it.window == window ? count.count : 0;
        }
    }
    return sum;
}

bool isFinal(const RequestStarts &starts, std::int64_t window)
{
    for (const WindowStarts &it : starts.windows) {
        if (it.window == window) {
            return it.final;
        }
    }
    return false;
}

} // namespace

// Requests were counted in windows of a time of day that had jumped for some seconds.
TEST_CASE("a step of the system clock is followed only after it has lasted 30 s")
{
    SteppedClock clock;
    WindowClock windows(clock, 5s);
    const auto run = [&](Duration time) {
        for (Duration passed{}; passed < time; passed += 25ms) {
            clock.elapsed += 25ms;
            windows.onTick();
        }
    };
    const Duration start = windows.now();
    clock.step = 7s;
    run(29s);
    CHECK(windows.now() == start + 29s);
    clock.step = 0s;
    run(29s);
    CHECK(windows.now() == start + 58s);
    clock.step = -7s;
    run(31s);
    CHECK(windows.now() == start + 89s - 7s);
    CHECK(windows.endOf(windows.windowAt(windows.now())) > windows.now());
}

TEST_CASE("a request counts once it may have run, in the window in which it was sent")
{
    SteppedClock clock;
    UsageTally tally(clock, 5s);
    const WorkspaceName workspace("w");
    const std::int64_t window = tally.windows().current();
    tally.onFirstEvent(workspace);
    const std::uint64_t refused = tally.onSent(workspace);
    clock.elapsed = Duration(tally.windows().endOf(window)) - 1'700'000'000s - 1ms;
    const std::uint64_t answered = tally.onSent(workspace);
    const std::uint64_t running = tally.onSent(workspace);
    tally.onNotRun(refused);
    clock.elapsed += 400ms;
    CHECK(countIn(tally.report(), window) == 1);
    CHECK_FALSE(isFinal(tally.report(), window));
    tally.onRun(answered);
    CHECK(countIn(tally.report(), window) == 2);
    // No endpoint has refused it for 2 s, so it runs.
    clock.elapsed += 2s;
    CHECK(countIn(tally.report(), window) == 3);
    CHECK(isFinal(tally.report(), window));
    tally.onRun(running);
    CHECK(countIn(tally.report(), window) == 3);
    CHECK(countIn(tally.report(), window + 1) == 0);
}

namespace {

// Instances that count requests, one after the other as the holder of the lease, with one store and
// one control API.
class UsageFleet
{
public:
    struct Member {
        Member(const Clock &clock, std::string name)
            : id(std::move(name))
            , tally(clock, 5s)
            , reports(tally.windows(), 10s)
        { }

        InstanceId id;
        UsageTally tally;
        UsageReports reports;
        /// Completes the call to the store that was sent.
        std::function<void()> ledgerCall;
        std::optional<std::int64_t> sentWindow;
    };

    explicit UsageFleet(std::uint64_t seed)
        : random(seed)
    {
        std::set<InstanceId> ids;
        for (int i = 0; i < 8; ++i) {
            members.push_back(std::make_unique<Member>(clock, "m" + std::to_string(i)));
            ids.insert(members.back()->id);
        }
        for (const auto &it : members) {
            it->reports.setMembers(ids);
        }
        firstWindow = members[0]->tally.windows().current() + 1;
    }

    std::int64_t current() const { return members[0]->tally.windows().current(); }

    void countRequests()
    {
        for (const auto &it : members) {
            if (random.below(3) == 0) {
                const WorkspaceName workspace("w" + std::to_string(random.below(5)));
                it->tally.onFirstEvent(workspace);
                ++truth[current()][workspace];
            }
        }
    }

    void stepLedger(Member &member, bool isWrite)
    {
        if (!isWrite) {
            UsageLedger read = stored;
            member.ledgerCall = [&member, read] {
                member.reports.onLedgerRead(read);
            };
            return;
        }
        UsageLedger draft = member.reports.nextLedger();
        const bool isCurrent = draft.version == stored.version && hasStore;
        if (isCurrent) {
            draft.version = ++version;
            stored = draft;
        }
        const bool isAnswered = isCurrent && random.below(8) != 0;
        member.ledgerCall = [this, &member, isAnswered, draft] {
            if (isAnswered) {
                member.reports.onLedgerWritten(draft.version, era);
            } else {
                member.reports.onLedgerFailure();
            }
        };
    }

    void stepCall(Member &member)
    {
        const UsageWindowReport report = member.reports.nextReport();
        member.sentWindow = report.window;
        isAccepted = random.below(100) >= refusedPercent;
        if (!isAccepted) {
            return;
        }
        const auto [it, isNew] = accepted.emplace(report.window, report.counts);
        // The one thing that must never happen.
        CHECK(it->second == report.counts);
        if (random.below(100) < lostPercent) {
            isAccepted = false;
        }
    }

    void finishCalls(Member &member)
    {
        if (member.ledgerCall && hasStore) {
            std::exchange(member.ledgerCall, nullptr)();
        }
        if (member.sentWindow) {
            member.reports.onAnswer(*std::exchange(member.sentWindow, std::nullopt), isAccepted);
        }
    }

    // One step of 50 ms. The holder's calls of the last step complete in this one.
    void step()
    {
        clock.elapsed += 50ms;
        countRequests();
        for (const auto &it : members) {
            if (it.get() != cutOff && holder != nullptr
                && (clock.elapsed % 1s == 0s || holder != sentTo)) {
                holder->reports.onStarts(it->id, 1, it->tally.report());
            }
        }
        sentTo = holder;
        if (holder == nullptr) {
            return;
        }
        finishCalls(*holder);
        holder->reports.onEra(era);
        holder->reports.setTerm(term);
        lastStep = holder->reports.nextStep(canCall);
        if (lastStep == UsageStep::SendReport) {
            stepCall(*holder);
        } else if (lastStep != UsageStep::Nothing) {
            stepLedger(*holder, lastStep == UsageStep::WriteLedger);
        }
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 50ms) {
            step();
        }
    }

    void runUntilStep(UsageStep awaited)
    {
        do {
            step();
        } while (lastStep != awaited);
    }

    // The holder does nothing more; the next one may act after its lease and the gap have ended.
    Member &replaceHolder(std::size_t next)
    {
        Member &before = *holder;
        holder = nullptr;
        run(6800ms);
        ++term;
        holder = members[next].get();
        return before;
    }

    // Windows without an accepted report, or with one that is off by more than the users' bound.
    int wrongWindows()
    {
        int wrong = 0;
        for (std::int64_t window = firstWindow; window <= current() - 3; ++window) {
            const auto found = accepted.find(window);
            bool isRight = found != accepted.end();
            for (const auto &[workspace, count] : truth[window]) {
                const auto reported = isRight ? found->second.find(workspace)
                                              : decltype(found->second.find(workspace)){};
                isRight = isRight && reported != found->second.end()
                    && static_cast<double>(reported->second) >= 0.95 * static_cast<double>(count)
                    && reported->second <= count;
            }
            wrong += isRight ? 0 : 1;
        }
        return wrong;
    }

    SteppedClock clock;
    SeededRandomSource random;
    std::vector<std::unique_ptr<Member>> members;
    UsageLedger stored;
    std::uint64_t version = 0;
    std::uint64_t era = 1;
    bool hasStore = true;
    bool canCall = true;
    bool isAccepted = false;
    std::uint64_t refusedPercent = 0;
    std::uint64_t lostPercent = 0;
    std::uint64_t term = 1;
    Member *holder = nullptr;
    Member *sentTo = nullptr;
    /// Its counts do not reach the holder.
    Member *cutOff = nullptr;
    UsageStep lastStep = UsageStep::Nothing;
    std::int64_t firstWindow = 0;
    std::map<std::int64_t, std::map<WorkspaceName, std::uint64_t>> truth;
    std::map<std::int64_t, std::map<WorkspaceName, std::uint64_t>> accepted;
};

} // namespace

// Replays two minutes of requests at eight instances.
TEST_CASE("every window is reported with its counts")
{
    UsageFleet fleet(1);
    fleet.holder = fleet.members[0].get();
    SUBCASE("without faults") { }
    SUBCASE("while the control API refuses half of the calls and answers get lost")
    {
        fleet.refusedPercent = 50;
        fleet.lostPercent = 25;
    }
    fleet.run(120s);
    CHECK(fleet.wrongWindows() == 0);
    CHECK(fleet.accepted.size() >= 20);
}

TEST_CASE("a successor repeats what the holder has written, and computes the rest")
{
    UsageFleet fleet(2);
    fleet.holder = fleet.members[0].get();
    fleet.run(22s);
    SUBCASE("the holder is killed between counting and the ledger")
    {
        fleet.runUntilStep(UsageStep::WriteLedger);
        fleet.stored = fleet.holder->reports.nextLedger();
        fleet.stored.reports.pop_back();
        fleet.stored.version = ++fleet.version;
    }
    SUBCASE("the holder is killed between the ledger and the call")
    {
        fleet.runUntilStep(UsageStep::WriteLedger);
    }
    SUBCASE("the holder is killed after the call")
    {
        fleet.runUntilStep(UsageStep::SendReport);
    }
    fleet.replaceHolder(1);
    fleet.run(40s);
    CHECK(fleet.wrongWindows() == 0);
}

// Guards against a report whose counts a successor cannot know.
TEST_CASE("a report that the store has not acknowledged is not sent")
{
    UsageFleet fleet(6);
    fleet.holder = fleet.members[0].get();
    fleet.run(21050ms);
    fleet.cutOff = fleet.members[7].get();
    fleet.run(10s);
    fleet.hasStore = false;
    // The window is computed without most counts of the instance, since its report is due soon.
    fleet.run(3s);
    fleet.hasStore = true;
    fleet.cutOff = nullptr;
    fleet.replaceHolder(1);
    fleet.run(40s);
    CHECK(fleet.wrongWindows() == 0);
}

// The holder had computed the window with the counts of fewer instances than its successor.
TEST_CASE("a frozen holder that wakes after its successor has acted changes no report")
{
    UsageFleet fleet(3);
    fleet.holder = fleet.members[0].get();
    fleet.run(22s);
    fleet.runUntilStep(UsageStep::WriteLedger);
    UsageFleet::Member &frozen = fleet.replaceHolder(1);
    fleet.run(5s);
    // Wakes with the answer to its write, and takes its lease for valid.
    UsageFleet::Member *const successor = fleet.holder;
    fleet.holder = &frozen;
    const std::uint64_t term = std::exchange(fleet.term, 1);
    fleet.run(3s);
    fleet.holder = successor;
    fleet.term = term;
    fleet.run(30s);
    CHECK(fleet.wrongWindows() == 0);
}

TEST_CASE("a window that may have been reported before a restore of the store is left out")
{
    UsageFleet fleet(4);
    fleet.holder = fleet.members[0].get();
    fleet.run(20s);
    const UsageLedger copy = fleet.stored;
    fleet.run(20s);
    const std::int64_t restoredIn = fleet.current();
    fleet.stored = copy;
    ++fleet.era;
    fleet.replaceHolder(1);
    fleet.members[1]->reports.onEra(fleet.era);
    const std::size_t before = fleet.accepted.size();
    fleet.run(60s);
    CHECK(fleet.accepted.size() >= before + 8);
    for (const auto &[window, counts] : fleet.accepted) {
        CHECK(counts == fleet.truth[window]);
    }
    CHECK(fleet.accepted.count(restoredIn) == 0);
}

TEST_CASE("windows are given up when the store was away for too long, and later ones reported")
{
    UsageFleet fleet(5);
    fleet.holder = fleet.members[0].get();
    fleet.run(20s);
    fleet.hasStore = false;
    fleet.run(60s);
    const std::size_t before = fleet.accepted.size();
    fleet.hasStore = true;
    fleet.firstWindow = fleet.current();
    fleet.run(40s);
    CHECK(fleet.accepted.size() > before);
    CHECK(fleet.wrongWindows() == 0);
    std::int64_t givenUp = 0;
    for (const UsageOutcomeRecord &it : fleet.holder->reports.takeOutcomes()) {
        givenUp += it.outcome == UsageOutcome::GivenUp ? it.windowCount : 0;
    }
    CHECK(givenUp >= 5);
}
