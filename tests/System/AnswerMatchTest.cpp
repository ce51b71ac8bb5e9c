#include "System/Fleet.h"

#include <algorithm>
#include <sstream>

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

constexpr int Tokens = 12;
constexpr Milliseconds Deadline{1200};

struct Part {
    int ownTokens = 0;
    int otherTokens = 0;
    bool hasError = false;
    bool isDone = false;
};

void countTokens(const std::string &text, const std::string &id, Part &part)
{
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        ++(word == id ? part.ownTokens : part.otherTokens);
    }
}

Part readStream(const Answer &answer)
{
    Part part;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("data: ", 0) != 0) {
            continue;
        }
        if (line == "data: [DONE]") {
            part.isDone = true;
            continue;
        }
        const Json event = Json::parse(line.substr(6), nullptr, false);
        if (!event.is_object() || event.contains("error")) {
            part.hasError = true;
            continue;
        }
        const Json choice = event.at("choices").at(0);
        countTokens(choice.at("delta").at("content").get<std::string>(), answer.requestId, part);
    }
    return part;
}

struct Totals {
    int whole = 0;
    int refused = 0;
    int endedEarly = 0;
};

void checkStream(const Answer &answer, Totals &totals)
{
    const Part part = readStream(answer);
    CHECK(part.otherTokens == 0);
    if (part.isDone) {
        ++totals.whole;
        CHECK(answer.whole);
        CHECK_FALSE(part.hasError);
        CHECK(part.ownTokens == Tokens);
        return;
    }
    // The caller must not take a part for the whole.
    ++totals.endedEarly;
    CHECK_FALSE(answer.whole);
    CHECK(part.hasError);
}

void checkPlain(const Answer &answer, Totals &totals)
{
    CHECK(answer.whole);
    const Json body = Json::parse(answer.body, nullptr, false);
    REQUIRE(body.is_object());
    ++totals.whole;
    if (body.contains("request_id")) {
        CHECK(body["request_id"] == answer.requestId);
        return;
    }
    Part part;
    const Json choice = body.at("choices").at(0);
    countTokens(choice.at("message").at("content").get<std::string>(), answer.requestId, part);
    CHECK(part.ownTokens == Tokens);
    CHECK(part.otherTokens == 0);
}

struct Fixture {
    Fixture()
    {
        addCommonRules(fleet);
        fleet.addRule("model assistant version=1 memory=14GiB kv=2GiB max-replicas=2");
        for (const std::string zone : {"a", "b"}) {
            fleet.addEngine("engine-" + zone, "zone-" + zone,
                            "memory=80GiB slots=16 fresh-slots=16 fencing=checked",
                            {"--slots=16", "--load-time=200ms", "--token-time=5ms"});
            fleet.addService("app-" + zone, "zone-" + zone, "slots=16 fresh-slots=16",
                             {"--run-time=5ms"});
            fleet.addInstance(zone + "1", "zone-" + zone);
        }
        REQUIRE(fleet.apply());
        fleet.waitReady(chatCall(1, false, Milliseconds(10'000)));
        fleet.waitReady(serviceCall("/charts", Deadline));
    }

    void callFrom(std::size_t caller)
    {
        const bool stream = caller % 3 == 0;
        Call call =
            caller % 3 == 2 ? serviceCall("/charts", Deadline) : chatCall(Tokens, stream, Deadline);
        call.limit = Milliseconds(15'000);
        const std::string &instance = fleet.instances()[caller / 3 % fleet.instances().size()];
        thread_local std::unique_ptr<Connection> connection;
        if (!connection) {
            connection = std::make_unique<Connection>(fleet.address(instance));
        }
        Answer answer = connection->call(call);
        if (answer.status != 200) {
            std::this_thread::sleep_for(Milliseconds(20));
        }
        (stream ? streams : plain).add(std::move(answer));
    }

    void controlAll(const Json &mode) const
    {
        for (const char *endpoint : {"engine-a", "engine-b", "app-a", "app-b"}) {
            fleet.control(endpoint, mode);
        }
    }

    // Lets the load go on under the fault in force.
    static void loadFor(Milliseconds time) { std::this_thread::sleep_for(time); }

    Fleet fleet;
    AnswerLog streams;
    AnswerLog plain;
};

void checkAll(Fixture &fixture)
{
    Totals totals;
    for (const bool isStream : {true, false}) {
        for (const Answer &answer : (isStream ? fixture.streams : fixture.plain).take()) {
            INFO("status " << answer.status << " id " << answer.requestId << " after "
                           << answer.took.count() << " ms " << answer.body);
            CHECK_FALSE(answer.hasSurplus);
            CHECK_FALSE(answer.timedOut);
            CHECK_FALSE(answer.requestId.empty());
            if (answer.status != 200) {
                ++totals.refused;
                CHECK(answer.whole);
            } else if (isStream) {
                checkStream(answer, totals);
            } else {
                checkPlain(answer, totals);
            }
        }
    }
    MESSAGE("whole " << totals.whole << ", refused " << totals.refused << ", ended early "
                     << totals.endedEarly);
    CHECK(totals.whole > 100);
}

} // namespace

// Guards against an answer that reaches the caller of another request after its own request was
// given up, and against a part of an answer that looks whole (P8).
TEST_CASE("each answer belongs to its request when endpoints answer late and cut answers")
{
    Fixture fixture;
    CallerPool callers(18, [&](std::size_t caller) {
        fixture.callFrom(caller);
    });
    fixture.loadFor(Milliseconds(500));
    // Some answers come in time, some after their request was given up; the changes cross them.
    for (const int delay : {300, 50, 1300, 100, 1150, 0}) {
        fixture.controlAll({{"mode", "late"}, {"delay_ms", delay}});
        fixture.loadFor(Milliseconds(700));
    }
    fixture.controlAll({{"mode", "cut_answers"}});
    fixture.loadFor(Milliseconds(500));
    fixture.controlAll({{"mode", "normal"}});
    fixture.loadFor(Milliseconds(1500));
    callers.stop();
    checkAll(fixture);
}
