#include "System/Fleet.h"
#include "System/Wait.h"

#include <csignal>
#include <future>
#include <map>

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

constexpr Milliseconds Deadline{10'000};
constexpr Milliseconds StopLimit{30'000};
// Far below the drain notice of the instances.
constexpr Milliseconds CheckInterval{30};

// Like the platform's load balancer: sends to instances whose last check was successful.
class Balancer
{
public:
    explicit Balancer(const Fleet &fleet)
        : m_fleet(fleet)
        , m_checks(1, [this](std::size_t) {
            check();
        })
    { }

    // Waits until there is one.
    std::string choose(std::size_t turn)
    {
        std::string chosen;
        waitUntil(StopLimit, [&] {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (!m_ready.empty()) {
                chosen = m_ready[turn % m_ready.size()];
            }
            return !chosen.empty();
        });
        return chosen;
    }

private:
    void check()
    {
        std::vector<std::string> ready;
        for (const std::string &id : m_fleet.instances()) {
            if (m_fleet.isReady(id)) {
                ready.push_back(id);
            }
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_ready = ready;
        }
        std::this_thread::sleep_for(CheckInterval);
    }

    const Fleet &m_fleet;
    std::mutex m_mutex;
    std::vector<std::string> m_ready;
    CallerPool m_checks;
};

struct Load {
    void callFrom(std::size_t caller)
    {
        thread_local std::map<std::string, std::unique_ptr<Connection>> connections;
        thread_local std::size_t turn = caller;
        const std::string id = balancer.choose(++turn);
        auto &connection = connections[id];
        if (!connection) {
            connection = std::make_unique<Connection>(fleet.address(id));
        }
        Call call = caller % 3 == 0
            ? serviceCall("/pickups", Deadline)
            : chatCall(caller % 3 == 1 ? 100 : 10, caller % 3 == 1, Deadline);
        Answer answer = connection->call(call);
        if (answer.status != 200 || !answer.whole) {
            failures.add(answer);
            std::this_thread::sleep_for(Milliseconds(20));
        } else if (caller % 3 == 1 && answer.body.find("data: [DONE]") == std::string::npos) {
            failures.add(answer);
        } else {
            ++served;
        }
    }

    const Fleet &fleet;
    Balancer &balancer;
    AnswerLog failures;
    std::atomic<int> served{0};
};

// With the drain notice of one second, a stop ends two seconds after the signal.
const std::vector<std::string> ShortStop{"--stop-timeout=1s"};
// Long before the end of the stop, and also before the end of the drain notice.
constexpr Milliseconds AtOnce{800};

std::future<Answer> startCall(const std::string &address, Call call)
{
    return std::async(std::launch::async, [address, call = std::move(call)] {
        return callOnce(address, call);
    });
}

std::size_t queued(const Fleet &fleet, const std::string &id)
{
    std::size_t total = 0;
    const Json status = fleet.status(id);
    for (const Json &queue : status.at("queues")) {
        total += queue.at("length").get<std::size_t>();
    }
    return total;
}

bool waitForRuns(const Fleet &fleet, const std::string &endpoint, int runs)
{
    return waitUntil(Deadline, [&] {
        return fleet.counts(endpoint).at("runs_total").get<int>() >= runs;
    });
}

bool waitForQueued(const Fleet &fleet, const std::string &id, std::size_t requests)
{
    return waitUntil(Deadline, [&] {
        return queued(fleet, id) == requests;
    });
}

void addSlowRoute(Fleet &fleet)
{
    fleet.addRule(
        "route slow kind=service pool=bookings path=/slow idempotent=no deadline=20s cost=1");
}

Call slowCall()
{
    return serviceCall("/slow", Milliseconds(20'000));
}

void checkRefused(const Answer &answer, int status, const std::string &code, const std::string &ran)
{
    INFO("status " << answer.status << " whole " << answer.whole << " after " << answer.took.count()
                   << " ms: " << answer.body);
    CHECK(answer.whole);
    CHECK(answer.status == status);
    CHECK(answer.errorField("code") == code);
    CHECK(answer.errorField("ran") == ran);
}

} // namespace

// Guards against connections that close without an answer at the end of a stop, and against
// requests that wait until then although it is known that they cannot be served.
TEST_CASE("what is open at the end of a planned stop is told whether it may have run")
{
    Fleet fleet;
    addCommonRules(fleet);
    addSlowRoute(fleet);
    fleet.addRule("model assistant version=1 memory=14GiB kv=2GiB max-replicas=1");
    fleet.addEngine("engine-a", "zone-a", "memory=80GiB slots=16 fresh-slots=16 fencing=checked",
                    {"--load-time=60s"});
    fleet.addService("app-a", "zone-a", "slots=1 fresh-slots=1", {"--run-time=60s"});
    fleet.addInstance("a1", "zone-a", ShortStop);
    REQUIRE(fleet.apply());
    fleet.waitReady("a1");
    const std::string address = fleet.address("a1");

    std::future<Answer> running = startCall(address, slowCall());
    REQUIRE(waitForRuns(fleet, "app-a", 1));
    std::future<Answer> waiting = startCall(address, slowCall());
    REQUIRE(waitForQueued(fleet, "a1", 1));
    std::future<Answer> cold = startCall(address, chatCall(10, false, Deadline));
    REQUIRE(waitForQueued(fleet, "a1", 2));

    const auto signalledAt = std::chrono::steady_clock::now();
    fleet.process("a1").signal(SIGTERM);
    const Answer coldAnswer = cold.get();
    checkRefused(coldAnswer, 503, "stopping", "no");
    CHECK(coldAnswer.retryAfterMs() > 0);
    CHECK(coldAnswer.ended - signalledAt < AtOnce);
    checkRefused(waiting.get(), 503, "stopping", "no");
    checkRefused(running.get(), 502, "outcome_unknown", "unknown");
    CHECK(fleet.process("a1").waitForExit(StopLimit) == 0);
    CHECK(fleet.counts("app-a").at("runs_total") == 1);
}

// Guards against new requests that wait for the end of the stop although they cannot be served
// before it. The home of the model is the same instance each time, so the request is queued once
// where it arrives and once at another instance.
TEST_CASE("a request that arrives during a planned stop and cannot be served is refused at once")
{
    Fleet fleet;
    addCommonRules(fleet);
    fleet.addRule("model assistant version=1 memory=14GiB kv=2GiB max-replicas=1");
    fleet.addEngine("engine-a", "zone-a", "memory=80GiB slots=16 fresh-slots=16 fencing=checked",
                    {"--load-time=60s"});
    fleet.addService("app-a", "zone-a", "slots=16 fresh-slots=16", {});
    fleet.addInstance("a1", "zone-a", ShortStop);
    fleet.addInstance("a2", "zone-a", ShortStop);
    REQUIRE(fleet.apply());
    for (const std::string id : {"a1", "a2"}) {
        CAPTURE(id);
        fleet.waitReady("a1");
        fleet.waitReady("a2");
        fleet.process(id).signal(SIGTERM);
        REQUIRE(waitUntil(Deadline, [&] {
            return !fleet.isReady(id);
        }));
        const Answer answer = callOnce(fleet.address(id), chatCall(10, false, Deadline));
        INFO("status " << answer.status << " after " << answer.took.count()
                       << " ms: " << answer.body);
        CHECK(answer.whole);
        CHECK(answer.status == 503);
        CHECK(answer.errorField("ran") == "no");
        CHECK(answer.took < AtOnce);
        CHECK(fleet.process(id).waitForExit(StopLimit) == 0);
        fleet.startInstance(id);
    }
}

// Guards against the loss of a request that may not be sent twice: the instance that received it
// did not learn that the stopping one had never sent it.
TEST_CASE("a request that a stopping instance has queued for another one is served elsewhere")
{
    Fleet fleet;
    addCommonRules(fleet);
    addSlowRoute(fleet);
    fleet.addService("app-a", "zone-a", "slots=2 fresh-slots=2", {"--run-time=4s"});
    fleet.addInstance("a1", "zone-a", ShortStop);
    fleet.addInstance("a2", "zone-a", ShortStop);
    REQUIRE(fleet.apply());
    fleet.waitReady("a1");
    fleet.waitReady("a2");
    const std::string home = fleet.homeOf("a1");
    REQUIRE(home == fleet.homeOf("a2"));
    const std::string receiver = home == "a1" ? "a2" : "a1";

    std::future<Answer> first = startCall(fleet.address(home), slowCall());
    std::future<Answer> second = startCall(fleet.address(home), slowCall());
    REQUIRE(waitForRuns(fleet, "app-a", 2));
    std::future<Answer> waiting = startCall(fleet.address(receiver), slowCall());
    REQUIRE(waitForQueued(fleet, home, 1));
    fleet.process(home).signal(SIGTERM);

    checkRefused(first.get(), 502, "outcome_unknown", "unknown");
    checkRefused(second.get(), 502, "outcome_unknown", "unknown");
    const Answer served = waiting.get();
    INFO("status " << served.status << " after " << served.took.count() << " ms: " << served.body);
    CHECK(served.whole);
    CHECK(served.status == 200);
    CHECK(fleet.process(home).waitForExit(StopLimit) == 0);
    CHECK(fleet.counts("app-a").at("runs_total") == 3);
}

// Guards against a stream that breaks off at the end of a stop without a word to its caller.
TEST_CASE("a stream that outlasts a planned stop ends with an error event")
{
    Fleet fleet;
    addCommonRules(fleet);
    fleet.addRule("model assistant version=1 memory=14GiB kv=2GiB max-replicas=1");
    fleet.addEngine("engine-a", "zone-a", "memory=80GiB slots=16 fresh-slots=16 fencing=checked",
                    {"--load-time=200ms", "--token-time=10ms"});
    fleet.addService("app-a", "zone-a", "slots=16 fresh-slots=16", {});
    fleet.addInstance("a1", "zone-a", ShortStop);
    fleet.addInstance("a2", "zone-a", ShortStop);
    REQUIRE(fleet.apply());
    fleet.waitReady(chatCall(1, false, Deadline));
    // The home of the model is the same instance each time, so the stream once comes through it.
    for (const std::string id : {"a1", "a2"}) {
        CAPTURE(id);
        const int runs = fleet.counts("engine-a").at("runs_total").get<int>();
        std::future<Answer> stream = startCall(fleet.address(id), chatCall(1'500, true, Deadline));
        REQUIRE(waitForRuns(fleet, "engine-a", runs + 1));
        std::this_thread::sleep_for(Milliseconds(200));
        fleet.process(id).signal(SIGTERM);
        const Answer answer = stream.get();
        INFO("status " << answer.status << " after " << answer.took.count() << " ms: "
                       << answer.body.substr(answer.body.size()
                                             - std::min<std::size_t>(answer.body.size(), 300)));
        CHECK(answer.status == 200);
        CHECK(!answer.whole);
        CHECK(answer.body.find("answer_incomplete") != std::string::npos);
        CHECK(fleet.process(id).waitForExit(StopLimit) == 0);
        fleet.startInstance(id);
        fleet.waitReady(chatCall(1, false, Deadline));
    }
}

// Guards against requests that a replacement of instances interrupts: streams under way, requests
// on kept connections, queued and forwarded requests (P12).
TEST_CASE("instances are replaced one after another without a failed request")
{
    Fleet fleet;
    addCommonRules(fleet);
    fleet.addRule("model assistant version=1 memory=14GiB kv=2GiB max-replicas=2");
    for (const std::string zone : {"a", "b"}) {
        fleet.addEngine("engine-" + zone, "zone-" + zone,
                        "memory=80GiB slots=16 fresh-slots=16 fencing=checked",
                        {"--slots=16", "--load-time=200ms", "--token-time=8ms"});
        fleet.addService("app-" + zone, "zone-" + zone, "slots=16 fresh-slots=16",
                         {"--run-time=10ms"});
        fleet.addInstance(zone + "1", "zone-" + zone);
        fleet.addInstance(zone + "2", "zone-" + zone);
    }
    REQUIRE(fleet.apply());
    fleet.waitReady(chatCall(1, false, Deadline));
    fleet.waitReady(serviceCall("/pickups", Deadline));

    Balancer balancer(fleet);
    Load load{fleet, balancer, {}, {}};
    CallerPool callers(12, [&](std::size_t caller) {
        load.callFrom(caller);
    });
    // Both of one zone, so that each home role moves, and one that receives forwarded requests.
    for (const std::string id : {"a1", "a2", "b1"}) {
        fleet.process(id).signal(SIGTERM);
        const std::optional<int> code = fleet.process(id).waitForExit(StopLimit);
        CHECK_MESSAGE(code == 0, id << " exited with " << code.value_or(-1));
        fleet.startInstance(id);
        fleet.waitReady(id);
    }
    callers.stop();
    for (const Answer &answer : load.failures.take()) {
        FAIL_CHECK("status " << answer.status << " whole " << answer.whole << " after "
                             << answer.took.count() << " ms: " << answer.body.substr(0, 400));
    }
    MESSAGE("served " << load.served.load());
    CHECK(load.served > 200);
}
