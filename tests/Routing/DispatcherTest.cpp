#include "marigoldspool/Routing/Dispatcher.h"

#include "marigoldspool/Support/RandomSource.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

class CountingSlots final : public SlotSource
{
public:
    bool tryTakeSlot(const EndpointId &endpoint, Duration) override
    {
        if (m_taken[endpoint] >= m_limit[endpoint]) {
            return false;
        }
        ++m_taken[endpoint];
        return true;
    }
    void returnSlot(const EndpointId &endpoint) override { --m_taken[endpoint]; }
    void setSlots(const EndpointId &endpoint, int slots) override { m_limit[endpoint] = slots; }
    int taken(const EndpointId &endpoint) { return m_taken[endpoint]; }

private:
    std::map<EndpointId, int> m_taken;
    std::map<EndpointId, int> m_limit;
};

KeyRule makeKey(KeyState state)
{
    return {WorkspaceName("w0"), KeyDigest("k0"), state, "tests"};
}

RuleSet makeRules()
{
    RuleSet rules;
    rules.zones.push_back({ZoneName("z"), ZoneState::Serving, 1, "tests"});
    for (const char *id : {"e0", "e1"}) {
        EndpointRule rule;
        rule.id = EndpointId(id);
        rule.zone = ZoneName("z");
        rule.slots = 8;
        rule.freshSlots = 2;
        rules.endpoints.push_back(rule);
    }
    ModelRule model;
    model.name = ModelName("m");
    rules.models.push_back(model);
    rules.workspaces.push_back({WorkspaceName("w0"), 100, 100, 1, OutageKeys::Serve, "tests"});
    rules.keys.push_back(makeKey(KeyState::Active));
    return rules;
}

struct Fixture {
    ManualClock clock;
    CountingSlots slots;
    Metrics metrics;
    Dispatcher dispatcher{DispatcherOptions{ZoneName("z"), 20, 2s, 30ms}, clock, slots, metrics};

    explicit Fixture(const RuleSet &rules = makeRules())
    {
        dispatcher.onConfiguration(std::make_shared<Configuration>(rules));
    }

    Request makeRequest(const std::string &id, Duration timeout = 10s, bool idempotent = false)
    {
        Request request;
        request.id = RequestId(id);
        request.workspace = WorkspaceName("w0");
        request.target = Target{ModelName("m"), {}};
        request.deadline = clock.now() + timeout;
        request.idempotent = idempotent;
        return request;
    }

    DispatchActions loadEverywhere()
    {
        return dispatcher.onReplicas(ModelName("m"), {EndpointId("e0"), EndpointId("e1")});
    }
};

template <class Action>
std::vector<Action> actionsOf(const DispatchActions &actions)
{
    std::vector<Action> found;
    for (const DispatchAction &action : actions) {
        if (const auto *it = std::get_if<Action>(&action)) {
            found.push_back(*it);
        }
    }
    return found;
}

} // namespace

TEST_CASE("a newly started endpoint gets at most its fresh slots until it has answered requests")
{
    Fixture fixture;
    fixture.dispatcher.onReplicas(ModelName("m"), {EndpointId("e0")});
    for (int i = 0; i < 10; ++i) {
        fixture.dispatcher.submit(fixture.makeRequest(std::to_string(i)));
    }
    CHECK(fixture.dispatcher.inFlightCount() == 2);
    fixture.dispatcher.onEndpointResult(RequestId("0"), EndpointOutcome::Answered);
    fixture.dispatcher.onEndpointResult(RequestId("1"), EndpointOutcome::Answered);
    CHECK(fixture.dispatcher.inFlightCount() == 4);
}

TEST_CASE("a restarted endpoint is reset to its fresh slots")
{
    Fixture fixture;
    fixture.dispatcher.onEndpointStatus(EndpointId("e0"), "run1", 0);
    fixture.dispatcher.onEndpointStatus(EndpointId("e0"), "run1", 100);
    CHECK(fixture.dispatcher.endpointSnapshots()[0].slots == 8);
    fixture.dispatcher.onEndpointStatus(EndpointId("e0"), "run2", 0);
    CHECK(fixture.dispatcher.endpointSnapshots()[0].slots == 2);
}

TEST_CASE("requests for a model that is not loaded are queued and reported as demand")
{
    Fixture fixture;
    const auto actions = fixture.dispatcher.submit(fixture.makeRequest("r"));
    const auto demands = actionsOf<ReportDemand>(actions);
    REQUIRE(demands.size() == 1);
    CHECK(demands[0].waiting == 1);
    fixture.loadEverywhere();
    CHECK(fixture.dispatcher.inFlightCount() == 1);
}

TEST_CASE("a request whose predicted wait exceeds its deadline is refused at once")
{
    Fixture fixture;
    const auto actions = fixture.dispatcher.submit(fixture.makeRequest("r", 500ms));
    const auto refusals = actionsOf<RefuseRequest>(actions);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].refusal.reason == RefusalReason::DeadlineTooShort);
    CHECK(refusals[0].refusal.ran == RanState::No);
    CHECK(refusals[0].refusal.retryAfter == 2s);
    // The refusal tells the caller when to retry, so the model has to be loaded by then.
    CHECK(actionsOf<ReportDemand>(actions).size() == 1);
}

// Guards against requests that wait for the end of a planned stop although it is known that they
// are not served by then, and against the refusal of those that are.
TEST_CASE("a planned stop refuses at once what cannot be served before its end, and nothing else")
{
    Fixture fixture;
    fixture.dispatcher.submit(fixture.makeRequest("queued"));
    SUBCASE("the model is expected before the end")
    {
        CHECK(fixture.dispatcher.stopBy(fixture.clock.now() + 3s).empty());
        CHECK(actionsOf<RefuseRequest>(fixture.dispatcher.submit(fixture.makeRequest("late")))
                  .empty());
        CHECK(fixture.dispatcher.queuedCount() == 2);
        fixture.clock.advance(2500ms);
        CHECK(actionsOf<SendToEndpoint>(fixture.loadEverywhere()).size() == 2);
    }
    SUBCASE("the model is expected after the end")
    {
        DispatchActions actions = fixture.dispatcher.stopBy(fixture.clock.now() + 1s);
        const DispatchActions late = fixture.dispatcher.submit(fixture.makeRequest("late"));
        actions.insert(actions.end(), late.begin(), late.end());
        const auto refusals = actionsOf<RefuseRequest>(actions);
        REQUIRE(refusals.size() == 2);
        for (const RefuseRequest &refused : refusals) {
            CHECK(refused.refusal.reason == RefusalReason::Stopping);
            CHECK(refused.refusal.ran == RanState::No);
        }
        CHECK(fixture.dispatcher.queuedCount() == 0);
    }
}

// Guards against a refusal at the end of a planned stop that denies a possible run, and against a
// request that is sent in the last moment because an abandoned one has freed a slot.
TEST_CASE("what is open at the end of a planned stop is refused with what is known of its run")
{
    Fixture fixture;
    fixture.dispatcher.onReplicas(ModelName("m"), {EndpointId("e0")});
    for (const char *id : {"sent", "answering", "queued"}) {
        fixture.dispatcher.submit(fixture.makeRequest(id));
    }
    REQUIRE(fixture.dispatcher.inFlightCount() == 2);
    fixture.dispatcher.onAnswerStarted(RequestId("answering"));
    const SteadyTime end = fixture.clock.now() + 1s;
    CHECK(fixture.dispatcher.stopBy(end).empty());
    fixture.clock.advance(1s);

    const auto queued = actionsOf<RefuseRequest>(fixture.dispatcher.refuseQueued());
    REQUIRE(queued.size() == 1);
    CHECK(queued[0].request == RequestId("queued"));
    CHECK(queued[0].refusal.reason == RefusalReason::Stopping);
    CHECK(queued[0].refusal.ran == RanState::No);

    const DispatchActions sent = fixture.dispatcher.abandon(RequestId("sent"));
    CHECK(actionsOf<CancelAtEndpoint>(sent).size() == 1);
    REQUIRE(actionsOf<RefuseRequest>(sent).size() == 1);
    CHECK(actionsOf<RefuseRequest>(sent)[0].refusal.reason == RefusalReason::OutcomeUnknown);
    CHECK(actionsOf<RefuseRequest>(sent)[0].refusal.ran == RanState::Unknown);

    const auto answering =
        actionsOf<RefuseRequest>(fixture.dispatcher.abandon(RequestId("answering")));
    REQUIRE(answering.size() == 1);
    CHECK(answering[0].refusal.reason == RefusalReason::AnswerIncomplete);
    CHECK(fixture.slots.taken(EndpointId("e0")) == 0);
    CHECK(
        actionsOf<SendToEndpoint>(fixture.dispatcher.submit(fixture.makeRequest("after"))).empty());
}

// Guards against another attempt that cannot be answered before the end of a planned stop.
TEST_CASE("a request that fails unsent at the end of a planned stop is refused, not sent again")
{
    Fixture fixture;
    fixture.loadEverywhere();
    fixture.dispatcher.submit(fixture.makeRequest("r"));
    fixture.dispatcher.stopBy(fixture.clock.now() + 1s);
    fixture.clock.advance(990ms);
    const auto actions =
        fixture.dispatcher.onEndpointResult(RequestId("r"), EndpointOutcome::NotSent);
    CHECK(actionsOf<SendToEndpoint>(actions).empty());
    const auto refusals = actionsOf<RefuseRequest>(actions);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].refusal.reason == RefusalReason::Stopping);
    CHECK(refusals[0].refusal.ran == RanState::No);
}

TEST_CASE("a queued request is refused shortly before its deadline, not dropped")
{
    Fixture fixture;
    fixture.dispatcher.submit(fixture.makeRequest("r", 3s));
    fixture.clock.advance(2960ms);
    CHECK(actionsOf<RefuseRequest>(fixture.dispatcher.onTick()).empty());
    fixture.clock.advance(20ms);
    const auto refusals = actionsOf<RefuseRequest>(fixture.dispatcher.onTick());
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].refusal.reason == RefusalReason::DeadlinePassed);
    CHECK(refusals[0].refusal.ran == RanState::No);
}

TEST_CASE("queued and running requests of a withdrawn key are refused")
{
    Fixture fixture;
    Request queued = fixture.makeRequest("queued");
    queued.key = KeyDigest("k0");
    fixture.dispatcher.submit(queued);
    fixture.loadEverywhere();
    Request running = fixture.makeRequest("running");
    running.key = KeyDigest("k0");
    fixture.dispatcher.submit(running);
    RuleSet rules = makeRules();
    rules.keys[0] = makeKey(KeyState::Withdrawn);
    const auto actions = fixture.dispatcher.onConfiguration(std::make_shared<Configuration>(rules));
    CHECK(actionsOf<RefuseRequest>(actions).size() == 2);
    CHECK(actionsOf<CancelAtEndpoint>(actions).size() == 2);
    Request later = fixture.makeRequest("later");
    later.key = KeyDigest("k0");
    const auto refused = actionsOf<RefuseRequest>(fixture.dispatcher.submit(later));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].refusal.reason == RefusalReason::KeyWithdrawn);
}

TEST_CASE("drained zones and leaving endpoints get no new requests and finish their running ones")
{
    for (const bool drainZone : {true, false}) {
        Fixture fixture;
        fixture.loadEverywhere();
        fixture.dispatcher.submit(fixture.makeRequest("running"));
        RuleSet rules = makeRules();
        if (drainZone) {
            rules.zones[0].state = ZoneState::Drained;
        } else {
            rules.endpoints[0].state = EndpointState::Leaving;
            rules.endpoints[1].state = EndpointState::Leaving;
        }
        const auto actions =
            fixture.dispatcher.onConfiguration(std::make_shared<Configuration>(rules));
        CHECK(actionsOf<CancelAtEndpoint>(actions).empty());
        const auto later = fixture.dispatcher.submit(fixture.makeRequest("later"));
        CHECK(actionsOf<SendToEndpoint>(later).empty());
        CHECK(fixture.dispatcher.inFlightCount() == 1);
    }
}

TEST_CASE("a refusal because a model is not loaded is reported, removes the replica and requeues "
          "the request")
{
    Fixture fixture;
    fixture.dispatcher.onReplicas(ModelName("m"), {EndpointId("e0")});
    fixture.dispatcher.submit(fixture.makeRequest("r"));
    const auto actions =
        fixture.dispatcher.onEndpointResult(RequestId("r"), EndpointOutcome::RefusedNotLoaded);
    CHECK(actionsOf<ModelNotLoaded>(actions).size() == 1);
    CHECK(actionsOf<ReportDemand>(actions).size() == 1);
    CHECK(fixture.dispatcher.queuedCount() == 1);
}

// Guards against slots wasted on requests that expire at the endpoint while others could be served.
TEST_CASE(
    "a queued request with too little time left for its answer is refused without using a slot")
{
    Fixture fixture;
    fixture.loadEverywhere();
    fixture.dispatcher.submit(fixture.makeRequest("first", 60s));
    fixture.clock.advance(1s);
    fixture.dispatcher.onEndpointResult(RequestId("first"), EndpointOutcome::Answered);
    int running = 0;
    while (fixture.dispatcher.queuedCount() == 0) {
        fixture.dispatcher.submit(fixture.makeRequest("run-" + std::to_string(running++), 60s));
    }
    fixture.dispatcher.submit(fixture.makeRequest("short", 5s));
    fixture.dispatcher.submit(fixture.makeRequest("long", 60s));
    fixture.clock.advance(4500ms);
    DispatchActions actions;
    for (int n = 0; fixture.dispatcher.queuedCount() > 0; ++n) {
        const DispatchActions next = fixture.dispatcher.onEndpointResult(
            RequestId("run-" + std::to_string(n)), EndpointOutcome::Answered);
        actions.insert(actions.end(), next.begin(), next.end());
    }
    const auto refusals = actionsOf<RefuseRequest>(actions);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].request == RequestId("short"));
    CHECK(refusals[0].refusal.reason == RefusalReason::DeadlineTooShort);
    CHECK(refusals[0].refusal.ran == RanState::No);
    const auto sent = actionsOf<SendToEndpoint>(actions);
    REQUIRE_FALSE(sent.empty());
    CHECK(sent.back().request == RequestId("long"));
}

// Guards against a prediction that counts only requests that were answered: those that expired at
// their endpoint were not measured, so later ones were sent with too little time left.
TEST_CASE("a request that expired at its endpoint raises the run time expected for later requests")
{
    Fixture fixture;
    fixture.loadEverywhere();
    for (int i = 0; i < 20; ++i) {
        const std::string id = "answered" + std::to_string(i);
        fixture.dispatcher.submit(fixture.makeRequest(id));
        fixture.clock.advance(2s);
        fixture.dispatcher.onEndpointResult(RequestId(id), EndpointOutcome::Answered);
    }
    fixture.dispatcher.submit(fixture.makeRequest("expiring", 4s));
    int running = 0;
    while (fixture.dispatcher.queuedCount() == 0) {
        fixture.dispatcher.submit(fixture.makeRequest("running" + std::to_string(running++), 60s));
    }
    fixture.dispatcher.cancel(RequestId("running" + std::to_string(running - 1)));
    fixture.dispatcher.submit(fixture.makeRequest("next", 6600ms));
    fixture.dispatcher.submit(fixture.makeRequest("last", 60s));
    fixture.clock.advance(3980ms);
    const auto actions = fixture.dispatcher.onTick();
    const auto refusals = actionsOf<RefuseRequest>(actions);
    std::map<RequestId, RanState> ran;
    for (const RefuseRequest &refusal : refusals) {
        ran[refusal.request] = refusal.refusal.ran;
    }
    REQUIRE(ran.count(RequestId("expiring")) == 1);
    CHECK(ran.at(RequestId("expiring")) == RanState::Unknown);
    REQUIRE(ran.count(RequestId("next")) == 1);
    CHECK(ran.at(RequestId("next")) == RanState::No);
}

// Guards against sending a queued request as a probe: under overload one was sent with 222 ms left
// for a run of 413 ms because nothing else was in flight. It expired at the endpoint and its
// outcome was unknown.
TEST_CASE("a request that has waited is not sent with too little time left for its run")
{
    Fixture fixture;
    fixture.loadEverywhere();
    fixture.dispatcher.submit(fixture.makeRequest("first", 60s));
    fixture.clock.advance(1s);
    fixture.dispatcher.onEndpointResult(RequestId("first"), EndpointOutcome::Answered);
    fixture.dispatcher.onReplicas(ModelName("m"), {});
    fixture.dispatcher.submit(fixture.makeRequest("waited", 5s));
    REQUIRE(fixture.dispatcher.queuedCount() == 1);
    fixture.clock.advance(4500ms);
    const auto refusals = actionsOf<RefuseRequest>(fixture.loadEverywhere());
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].request == RequestId("waited"));
    CHECK(refusals[0].refusal.ran == RanState::No);
}

// Guards against the same failure for a request that had waited in another zone and arrived with
// 250 ms left for a run of 437 ms.
TEST_CASE(
    "an overflowed request with too little time left is not sent while the estimate is recent")
{
    Fixture fixture;
    fixture.loadEverywhere();
    fixture.dispatcher.submit(fixture.makeRequest("first", 60s));
    fixture.clock.advance(1s);
    fixture.dispatcher.onEndpointResult(RequestId("first"), EndpointOutcome::Answered);
    Request overflowed = fixture.makeRequest("overflowed", 500ms);
    overflowed.overflow = true;
    const auto refusals = actionsOf<RefuseRequest>(fixture.dispatcher.submit(overflowed));
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].refusal.ran == RanState::No);
    // Once the estimate is old, such a request is sent too, so that an estimate that is too high is
    // corrected when there are no other requests.
    fixture.clock.advance(6s);
    overflowed = fixture.makeRequest("later", 500ms);
    overflowed.overflow = true;
    CHECK(actionsOf<SendToEndpoint>(fixture.dispatcher.submit(overflowed)).size() == 1);
}

// Guards against an estimate that is too high and is never corrected because nothing is sent.
TEST_CASE(
    "a new request is sent regardless of its expected run time if nothing is queued or in flight")
{
    Fixture fixture;
    fixture.loadEverywhere();
    fixture.dispatcher.submit(fixture.makeRequest("first", 60s));
    fixture.clock.advance(20s);
    fixture.dispatcher.onEndpointResult(RequestId("first"), EndpointOutcome::Answered);
    const auto actions = fixture.dispatcher.submit(fixture.makeRequest("next", 5s));
    CHECK(actionsOf<RefuseRequest>(actions).empty());
    CHECK(actionsOf<SendToEndpoint>(actions).size() == 1);
}

// Random submissions, endpoint results, cancellations, replica changes and clock steps. Each
// request must end exactly once, a non-idempotent one must not be resent after it may have run, a
// refusal must not claim "not run" for a request that may have run, and all slots must be returned.
TEST_CASE("every request ends exactly once under random faults")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        SeededRandomSource random(seed);
        Fixture fixture;
        fixture.loadEverywhere();
        std::map<RequestId, Request> open;
        std::set<RequestId> running;
        std::set<RequestId> mayHaveRunIds;
        std::size_t submitted = 0;
        std::size_t ended = 0;
        const auto apply = [&](const DispatchActions &actions) {
            for (const auto &send : actionsOf<SendToEndpoint>(actions)) {
                REQUIRE(open.count(send.request) == 1);
                CHECK(running.insert(send.request).second);
                const bool ranBefore = mayHaveRunIds.count(send.request) == 1;
                CHECK((open[send.request].idempotent || !ranBefore));
            }
            for (const auto &cancel : actionsOf<CancelAtEndpoint>(actions)) {
                running.erase(cancel.request);
                mayHaveRunIds.insert(cancel.request);
            }
            for (const auto &answer : actionsOf<RefuseRequest>(actions)) {
                REQUIRE(open.erase(answer.request) == 1);
                ++ended;
                const bool ran = mayHaveRunIds.count(answer.request) == 1;
                CHECK((answer.refusal.ran == RanState::Unknown || !ran));
            }
        };
        for (int step = 0; step < 600; ++step) {
            const std::uint64_t kind = random.below(10);
            if (kind < 4) {
                const std::string id = std::to_string(submitted++);
                const Request request = fixture.makeRequest(
                    id, std::chrono::milliseconds(100 + random.below(3000)), random.below(2) == 0);
                open[request.id] = request;
                apply(fixture.dispatcher.submit(request));
            } else if (kind < 7 && !running.empty()) {
                auto it = running.begin();
                std::advance(it, static_cast<long>(random.below(running.size())));
                const RequestId id = *it;
                running.erase(it);
                const auto outcome = static_cast<EndpointOutcome>(random.below(6));
                if (outcome == EndpointOutcome::Answered) {
                    open.erase(id);
                    ++ended;
                } else if (mayHaveRun(outcome)) {
                    mayHaveRunIds.insert(id);
                }
                if (outcome == EndpointOutcome::CutOff) {
                    fixture.dispatcher.onAnswerStarted(id);
                }
                apply(fixture.dispatcher.onEndpointResult(id, outcome));
            } else if (kind == 7 && !open.empty()) {
                const RequestId id = open.begin()->first;
                apply(fixture.dispatcher.cancel(id));
                open.erase(id);
                ++ended;
            } else if (kind == 8) {
                apply(fixture.loadEverywhere());
                apply(fixture.dispatcher.onReplicas(
                    ModelName("m"), {EndpointId(random.below(2) == 0 ? "e0" : "e1")}));
            } else {
                fixture.clock.advance(std::chrono::milliseconds(random.below(300)));
                apply(fixture.dispatcher.onTick());
            }
        }
        fixture.clock.advance(1min);
        apply(fixture.dispatcher.onTick());
        CHECK(open.empty());
        CHECK(ended == submitted);
        CHECK(fixture.slots.taken(EndpointId("e0")) == 0);
        CHECK(fixture.slots.taken(EndpointId("e1")) == 0);
    }
}
