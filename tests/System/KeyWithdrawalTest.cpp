#include "System/Fleet.h"
#include "System/Wait.h"

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

using Steady = std::chrono::steady_clock;

constexpr const char *WithdrawnKey = "system-test-key-to-withdraw";
// "Within seconds" of the requirements.
constexpr Milliseconds WithdrawalLimit{5'000};
constexpr Milliseconds LongDeadline{20'000};
// The time of a stream, and of the queue behind it, far beyond the limit.
constexpr int LongTokens = 3'000;

// Calls with the withdrawn key that are under way at each instance.
struct HeldCalls {
    explicit HeldCalls(const Fleet &fleet)
    {
        for (const std::string &id : fleet.instances()) {
            // More calls than slots: the first stream, the others wait.
            for (int n = 0; n < 4; ++n) {
                threads.emplace_back([this, &fleet, id] {
                    answers.add(callOnce(fleet.address(id),
                                         chatCall(LongTokens, true, LongDeadline, WithdrawnKey)));
                });
            }
        }
    }

    ~HeldCalls() { join(); }

    void join()
    {
        for (std::thread &thread : threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    AnswerLog answers;
    std::vector<std::thread> threads;
};

std::size_t runningAt(const Fleet &fleet, const std::string &engine)
{
    Call call;
    call.target = "/engine/status";
    const Json status = Json::parse(callOnce(fleet.address(engine), call).body);
    return status.at("running").get<std::size_t>();
}

void checkNewCalls(const Fleet &fleet, Steady::time_point withdrawnAt)
{
    for (const std::string &id : fleet.instances()) {
        Answer last;
        const bool refused = waitUntil(WithdrawalLimit, [&] {
            last = callOnce(fleet.address(id), serviceCall("/charts", LongDeadline, WithdrawnKey));
            return last.status == 401;
        });
        CHECK_MESSAGE(refused, id << " still takes the key");
        CHECK(last.errorField("code") == "key_withdrawn");
        CHECK(Steady::now() - withdrawnAt <= WithdrawalLimit);
    }
    for (const std::string &id : fleet.instances()) {
        const Answer other =
            callOnce(fleet.address(id), serviceCall("/charts", LongDeadline, WithdrawnKey));
        CHECK_MESSAGE(other.status == 401, id << " takes the key again");
        CHECK(callOnce(fleet.address(id), serviceCall("/charts", LongDeadline)).status == 200);
    }
}

void checkHeldCalls(HeldCalls &held, Steady::time_point withdrawnAt)
{
    held.join();
    int streams = 0;
    int queued = 0;
    for (const Answer &answer : held.answers.take()) {
        INFO("status " << answer.status << " whole " << answer.whole << " " << answer.took.count()
                       << " ms, ends with "
                       << answer.body.substr(answer.body.size()
                                             - std::min<std::size_t>(answer.body.size(), 300)));
        CHECK(answer.ended - withdrawnAt <= WithdrawalLimit);
        CHECK(answer.body.find("data: [DONE]") == std::string::npos);
        CHECK(answer.body.find("key_withdrawn") != std::string::npos);
        if (answer.status == 200) {
            ++streams;
            CHECK_FALSE(answer.whole);
        } else {
            ++queued;
            CHECK(answer.errorField("ran") == "no");
        }
    }
    MESSAGE("ended streams " << streams << ", refused from the queue " << queued);
    CHECK(streams > 0);
    CHECK(queued > 0);
}

// No endpoint may see a key, in whatever header.
void checkNoKeySeen(const Fleet &fleet, const std::vector<std::string> &endpoints)
{
    for (const std::string &endpoint : endpoints) {
        const Json headers = fleet.counts(endpoint).at("headers");
        const std::string text = headers.dump();
        CHECK_MESSAGE(text.find(Key) == std::string::npos, endpoint << " saw " << text);
        CHECK_MESSAGE(text.find(WithdrawnKey) == std::string::npos, endpoint << " saw " << text);
        for (const auto &item : headers.items()) {
            CHECK(item.key() != "Authorization");
        }
    }
}

} // namespace

// Guards against a key that goes on working after its withdrawal at an instance that has not heard
// of it, for a queued or streaming request, and against a key that reaches an endpoint (P4).
TEST_CASE("a withdrawn key stops working for new, queued and streaming requests")
{
    Fleet fleet;
    addCommonRules(fleet);
    const std::string keyRule = "key derwent digest=" + keyDigest(WithdrawnKey);
    fleet.addRule(keyRule);
    fleet.addRule("model assistant version=1 memory=14GiB kv=2GiB max-replicas=2");
    for (const std::string zone : {"a", "b"}) {
        fleet.addEngine("engine-" + zone, "zone-" + zone,
                        "memory=80GiB slots=4 fresh-slots=4 fencing=checked",
                        {"--slots=4", "--load-time=200ms", "--token-time=5ms"});
        fleet.addService("app-" + zone, "zone-" + zone, "slots=16 fresh-slots=16", {});
        fleet.addInstance(zone + "1", "zone-" + zone);
        fleet.addInstance(zone + "2", "zone-" + zone);
    }
    REQUIRE(fleet.apply());
    fleet.waitReady(chatCall(1, false, LongDeadline));
    fleet.waitReady(serviceCall("/charts", LongDeadline, WithdrawnKey));

    HeldCalls held(fleet);
    REQUIRE(waitUntil(Milliseconds(10'000), [&] {
        return runningAt(fleet, "engine-a") + runningAt(fleet, "engine-b") >= 4;
    }));
    fleet.changeRules(keyRule, keyRule + " state=withdrawn");
    REQUIRE(fleet.apply());
    const auto withdrawnAt = Steady::now();
    checkNewCalls(fleet, withdrawnAt);
    checkHeldCalls(held, withdrawnAt);
    checkNoKeySeen(fleet, {"engine-a", "engine-b", "app-a", "app-b"});
}
