#include "System/Fleet.h"
#include "System/Wait.h"

#include <algorithm>
#include <csignal>

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

using Steady = std::chrono::steady_clock;

constexpr Milliseconds Deadline{1500};
// Allows for a busy machine, not for a late answer of the instance.
constexpr Milliseconds SchedulingMargin{500};

struct TakenCall {
    std::string instance;
    Answer answer;
};

// While an instance is killed or paused it cannot answer its own callers.
struct Disturbance {
    std::string instance;
    Steady::time_point from;
    Steady::time_point until;
};

class Run
{
public:
    Run()
    {
        addCommonRules(fleet);
        fleet.addService("app-a", "zone-a", "slots=16 fresh-slots=16", {"--run-time=20ms"});
        fleet.addService("app-b", "zone-b", "slots=16 fresh-slots=16", {"--run-time=20ms"});
        for (const char *id : {"a1", "a2", "b1", "b2"}) {
            fleet.addInstance(id, std::string("zone-") + id[0]);
        }
        REQUIRE(fleet.apply());
        fleet.waitReady(serviceCall("/charts", Deadline));
    }

    void callOnceFrom(std::size_t caller)
    {
        const std::string &instance = fleet.instances()[caller % fleet.instances().size()];
        thread_local std::unique_ptr<Connection> connection;
        if (!connection) {
            connection = std::make_unique<Connection>(fleet.address(instance));
        }
        Call call = serviceCall("/pickups", Deadline);
        call.limit = Deadline * 2;
        Answer answer = connection->call(call);
        if (answer.status != 200) {
            // An instance that is down or just started answers at once: bounds the call rate.
            std::this_thread::sleep_for(Milliseconds(20));
        }
        const std::lock_guard<std::mutex> lock(mutex);
        calls.push_back({instance, std::move(answer)});
    }

    std::size_t callsSoFar()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return calls.size();
    }

    // Lets the load go on for a while under the fault in force.
    void loadFor(Milliseconds time) const { std::this_thread::sleep_for(time); }

    void killHome(const std::string &asker)
    {
        const std::string victim = fleet.homeOf(asker);
        REQUIRE_FALSE(victim.empty());
        const auto from = Steady::now();
        fleet.process(victim).kill();
        loadFor(Milliseconds(500));
        fleet.startInstance(victim);
        disturbances.push_back({victim, from, Steady::now()});
    }

    void pauseHome(const std::string &asker, Milliseconds time)
    {
        const std::string victim = fleet.homeOf(asker);
        REQUIRE_FALSE(victim.empty());
        const auto from = Steady::now();
        fleet.process(victim).signal(SIGSTOP);
        loadFor(time);
        fleet.process(victim).signal(SIGCONT);
        fleet.waitReady(victim);
        disturbances.push_back({victim, from, Steady::now()});
    }

    bool isExcused(const TakenCall &call) const
    {
        return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance &d) {
            return d.instance == call.instance && call.answer.began <= d.until
                && call.answer.ended >= d.from;
        });
    }

    Fleet fleet;
    std::mutex mutex;
    std::vector<TakenCall> calls;
    std::vector<Disturbance> disturbances;
};

struct Totals {
    int served = 0;
    int refusedNotRun = 0;
    int refusedUnknown = 0;
    int excused = 0;
    std::map<std::string, int> reasons;
};

void checkAnswer(const Run &run, const TakenCall &call, const std::map<std::string, int> &runs,
                 Totals &totals)
{
    const Answer &answer = call.answer;
    INFO(call.instance << " status " << answer.status << " after " << answer.took.count() << " ms "
                       << answer.body);
    CHECK_FALSE(answer.hasSurplus);
    if (!answer.whole && run.isExcused(call)) {
        ++totals.excused;
        return;
    }
    CHECK(answer.whole);
    if (!run.isExcused(call)) {
        CHECK(answer.took <= Deadline + SchedulingMargin);
    }
    const auto found = runs.find(answer.requestId);
    const int ran = found == runs.end() ? 0 : found->second;
    if (answer.status == 200) {
        ++totals.served;
        CHECK(ran == 1);
        CHECK(Json::parse(answer.body).at("request_id") == answer.requestId);
        return;
    }
    ++totals.reasons[answer.errorField("code")];
    if (answer.errorField("ran") == "no") {
        ++totals.refusedNotRun;
        CHECK(ran == 0);
    } else {
        ++totals.refusedUnknown;
        CHECK(answer.errorField("ran") == "unknown");
    }
}

void checkAll(Run &run)
{
    const std::map<std::string, int> runs = run.fleet.settledRuns({"app-a", "app-b"});
    for (const auto &entry : runs) {
        CHECK_MESSAGE(entry.second <= 1, entry.first << " ran " << entry.second << " times");
    }
    Totals totals;
    for (const TakenCall &call : run.calls) {
        checkAnswer(run, call, runs, totals);
    }
    MESSAGE("calls " << run.calls.size() << ", served " << totals.served << ", refused not run "
                     << totals.refusedNotRun << ", refused unknown " << totals.refusedUnknown
                     << ", lost with their instance " << totals.excused << ", reasons "
                     << Json(totals.reasons).dump());
    CHECK(totals.served > 100);
}

} // namespace

// Guards against a second run of a confirmation after a retry or a transfer between instances
// (P10), a refusal that says "not run" of a call that ran (P9), and a caller without an answer.
TEST_CASE("a non-idempotent call runs at most once while instances are killed and paused")
{
    Run run;
    CallerPool callers(16, [&](std::size_t caller) {
        run.callOnceFrom(caller);
    });
    run.killHome("a1");
    run.killHome("b1");
    // Longer than the silence after which others take over the home role.
    run.pauseHome("a2", Milliseconds(3000));
    run.pauseHome("b2", Milliseconds(700));
    run.killHome("b2");
    run.loadFor(Milliseconds(1500));
    callers.stop();
    checkAll(run);
}

// The same failures, with an endpoint that answers late, cuts its answers or goes silent.
TEST_CASE("a non-idempotent call runs at most once while the service misbehaves")
{
    Run run;
    CallerPool callers(16, [&](std::size_t caller) {
        run.callOnceFrom(caller);
    });
    run.fleet.control("app-a", {{"mode", "late"}, {"delay_ms", 400}});
    run.killHome("b1");
    run.fleet.control("app-a", {{"mode", "late"}, {"delay_ms", 1600}});
    run.fleet.control("app-b", {{"mode", "cut_answers"}});
    run.pauseHome("a1", Milliseconds(1500));
    run.fleet.control("app-a", {{"mode", "silent"}});
    run.killHome("a2");
    run.loadFor(Milliseconds(1000));
    run.fleet.control("app-a", {{"mode", "normal"}});
    run.fleet.control("app-b", {{"mode", "fail"}});
    run.loadFor(Milliseconds(500));
    run.fleet.control("app-b", {{"mode", "normal"}});
    callers.stop();
    checkAll(run);
}
