#include "Harness.h"

#include "marigoldspool/Gateway/SseScanner.h"
#include "standins/engine-standin/Engine.h"

using namespace marigoldspool;
using namespace marigoldspool::standins;
using namespace std::chrono_literals;

namespace {

struct Answer final : public EndpointCallHandler {
    void onHead(int newStatus, gsl::span<const HeaderField> newHeaders) override
    {
        status = newStatus;
        headers.assign(newHeaders.begin(), newHeaders.end());
    }
    void onData(std::string_view bytes) override
    {
        body.append(bytes);
        scanner.feed(bytes);
    }
    void onComplete() override { completed = true; }
    void onFailure(SendStage, Error) override { failed = true; }
    bool hasField(const std::string &name, const std::string &value) const
    {
        const std::string *field = findHeader(headers, name);
        return field != nullptr && *field == value;
    }
    bool isOver() const { return completed || failed; }
    Json json() const { return Json::parse(body); }

    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    SseScanner scanner;
    bool completed = false;
    bool failed = false;
};

using AnswerPtr = std::shared_ptr<Answer>;

EngineOptions defaultOptions()
{
    EngineOptions options;
    options.endpoint = "eng-1";
    options.memory = 100;
    options.slots = 2;
    return options;
}

class EngineFixture
{
public:
    explicit EngineFixture(EngineOptions options = defaultOptions())
        : engine(loop.io(), std::move(options))
        , port(engine.open("127.0.0.1:0").value())
        , client(makeEndpointClient(loop.io(), clock, metrics))
    { }

    AnswerPtr start(std::string id, std::string target, const Json &body = nullptr)
    {
        EndpointCall call;
        call.id = RequestId(std::move(id));
        call.address = "127.0.0.1:" + std::to_string(port);
        call.method = body.is_null() ? "GET" : "POST";
        call.target = std::move(target);
        call.body = body.is_null() ? "" : body.dump();
        auto answer = std::make_shared<Answer>();
        client->call(std::move(call), answer);
        return answer;
    }

    AnswerPtr wait(AnswerPtr answer)
    {
        REQUIRE(loop.runUntil([&] {
            return answer->isOver();
        }));
        return answer;
    }

    int order(const std::string &id, const std::string &action, const std::string &model,
              std::uint64_t bytes, std::uint64_t fencing)
    {
        return wait(start("order", "/engine/orders",
                          {{"order_id", id},
                           {"action", action},
                           {"model", model},
                           {"version", "1"},
                           {"bytes", bytes},
                           {"fencing", fencing},
                           {"valid_ms", 5000}}))
            ->status;
    }

    Json status() { return wait(start("status", "/engine/status"))->json(); }

    void load(const std::string &model)
    {
        REQUIRE(order("load-" + model, "load", model, 10, 1) == 202);
        REQUIRE(loop.runUntil([&] {
            return status()["loaded"][0]["state"] == "loaded";
        }));
    }

    AnswerPtr complete(std::string id, bool stream = false, int tokens = 4)
    {
        return start(
            std::move(id), "/v1/chat/completions",
            {{"model", "m"}, {"messages", ""}, {"stream", stream}, {"max_tokens", tokens}});
    }

    void setMode(const std::string &mode, int delayMs = 1)
    {
        REQUIRE(wait(start("mode", "/control", {{"mode", mode}, {"delay_ms", delayMs}}))->status
                == 200);
    }

    TestLoop loop;
    Metrics metrics;
    SystemClock clock;
    Engine engine;
    std::uint16_t port;
    std::unique_ptr<EndpointClient> client;
};

} // namespace

TEST_CASE("engine-standin: an order with an old fencing number is refused if checking is enabled")
{
    EngineOptions options = defaultOptions();
    for (const bool checks : {true, false}) {
        options.checksFencing = checks;
        EngineFixture fixture(options);
        CHECK(fixture.order("o1", "load", "m", 10, 5) == 202);
        CHECK(fixture.order("o2", "load", "n", 10, 4) == (checks ? 409 : 202));
        CHECK(fixture.order("o1", "load", "m", 10, 5) == 202);
        const Json counts = fixture.engine.counts();
        CHECK(counts["loads"] == (checks ? 1 : 2));
        CHECK(counts["orders_refused"] == (checks ? 1 : 0));
        CHECK(fixture.status()["last_fencing"] == 5);
    }
}

TEST_CASE("engine-standin: memory is never exceeded and comes back with an unload")
{
    EngineFixture fixture;
    CHECK(fixture.order("o1", "load", "m", 60, 1) == 202);
    CHECK(fixture.order("o2", "load", "n", 60, 2) == 507);
    CHECK(fixture.order("o3", "unload", "m", 60, 3) == 202);
    CHECK(fixture.order("o4", "load", "n", 60, 4) == 202);
    CHECK(fixture.engine.counts()["greatest_memory"] == 60);
    CHECK(fixture.status()["memory_used"] == 60);
}

TEST_CASE("engine-standin: a model that is not loaded yet is refused before running")
{
    EngineOptions options = defaultOptions();
    options.loadTime = 50ms;
    EngineFixture fixture(options);
    CHECK(fixture.order("o1", "load", "m", 10, 1) == 202);
    const AnswerPtr early = fixture.wait(fixture.complete("r1"));
    CHECK(early->status == 503);
    CHECK(early->json()["error"]["code"] == "model_not_loaded");
    CHECK(early->json()["error"]["ran"] == "no");
    REQUIRE(fixture.loop.runUntil([&] {
        return fixture.status()["loaded"][0]["state"] == "loaded";
    }));
    CHECK(fixture.wait(fixture.complete("r2"))->status == 200);
    CHECK(fixture.engine.counts()["runs"] == Json{{"r2", 1}});
}

TEST_CASE("engine-standin: answers echo their request id and the batch does not exceed its slots")
{
    EngineOptions options = defaultOptions();
    options.tokenTime = 1ms;
    EngineFixture fixture(options);
    fixture.load("m");
    std::vector<AnswerPtr> answers;
    answers.reserve(6);
    for (int i = 0; i < 6; ++i) {
        answers.push_back(fixture.complete("r" + std::to_string(i), i % 2 == 0));
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        fixture.wait(answers[i]);
        const std::string id = "r" + std::to_string(i);
        CHECK(answers[i]->completed);
        CHECK(answers[i]->body.find(id) != std::string::npos);
        CHECK(answers[i]->body.find("r" + std::to_string((i + 1) % 6)) == std::string::npos);
        CHECK(answers[i]->scanner.isDone() == (i % 2 == 0));
        CHECK(answers[i]->scanner.dataEvents() == (i % 2 == 0 ? 4U : 0U));
    }
    CHECK(fixture.engine.counts()["greatest_concurrency"] == 2);
}

TEST_CASE("engine-standin: a fresh engine fails calls above its limit at once")
{
    EngineOptions options = defaultOptions();
    options.tokenTime = 5ms;
    options.freshLimit = 1;
    options.freshTime = 1h;
    EngineFixture fixture(options);
    fixture.load("m");
    const AnswerPtr first = fixture.complete("r1");
    const AnswerPtr second = fixture.complete("r2");
    CHECK(fixture.wait(second)->json()["error"]["code"] == "overloaded");
    CHECK(fixture.wait(first)->status == 200);
    CHECK(fixture.engine.counts()["refused_fresh"] == 1);
}

TEST_CASE("engine-standin: on request all answers state that it leaves, and refusals for how long")
{
    EngineFixture fixture;
    fixture.load("m");
    REQUIRE(
        fixture
            .wait(fixture.start("c", "/control",
                                {{"mode", "normal"}, {"leaving", true}, {"retry_after", "1.5"}}))
            ->status
        == 200);
    for (const AnswerPtr &answer :
         {fixture.complete("r1"), fixture.complete("r2", true),
          fixture.start("status", "/engine/status"), fixture.start("none", "/none")}) {
        CHECK(fixture.wait(answer)->hasField("Server-Leaving", "1"));
        CHECK_FALSE(answer->hasField("Retry-After", "1.5"));
    }
    const AnswerPtr refused = fixture.wait(
        fixture.start("r3", "/v1/chat/completions", {{"model", "absent"}, {"messages", ""}}));
    CHECK(refused->status == 503);
    CHECK(refused->hasField("Server-Leaving", "1"));
    CHECK(refused->hasField("Retry-After", "1.5"));
    fixture.setMode("normal");
    CHECK_FALSE(fixture.wait(fixture.complete("r4"))->hasField("Server-Leaving", "1"));
}

TEST_CASE("engine-standin: truncated answers end midway, in JSON and in streams")
{
    EngineFixture fixture;
    fixture.load("m");
    fixture.setMode("cut_answers");
    for (const bool stream : {false, true}) {
        const AnswerPtr answer = fixture.wait(fixture.complete("r1", stream));
        CHECK(answer->failed);
        CHECK(!answer->body.empty());
        CHECK(!answer->scanner.isDone());
    }
}

TEST_CASE("engine-standin: silent requests are never answered, late ones after their delay")
{
    EngineFixture fixture;
    fixture.load("m");
    fixture.setMode("silent");
    const AnswerPtr silent = fixture.complete("r1");
    fixture.loop.settle();
    fixture.setMode("late", 3'600'000);
    const AnswerPtr veryLate = fixture.complete("r2");
    fixture.loop.settle();
    CHECK(fixture.engine.counts()["runs"]["r2"] == 1);
    CHECK(!veryLate->isOver());
    fixture.setMode("late", 1);
    CHECK(fixture.wait(fixture.complete("r3"))->status == 200);
    fixture.setMode("fail");
    CHECK(fixture.wait(fixture.complete("r4"))->status == 500);
    CHECK(!silent->isOver());
}

TEST_CASE("engine-standin: a cold start fails calls and discards models and the incarnation")
{
    EngineOptions options = defaultOptions();
    options.tokenTime = 50ms;
    EngineFixture fixture(options);
    fixture.load("m");
    const Json before = fixture.status();
    const AnswerPtr running = fixture.complete("r1", true, 1000);
    REQUIRE(fixture.loop.runUntil([&] {
        return running->status == 200;
    }));
    fixture.setMode("cold");
    CHECK(fixture.wait(running)->failed);
    const Json after = fixture.status();
    CHECK(after["loaded"].empty());
    CHECK(after["incarnation"] != before["incarnation"]);
    CHECK(fixture.wait(fixture.complete("r2"))->status == 503);
}

TEST_CASE("engine-standin: a cancelled call frees its slot")
{
    EngineOptions options = defaultOptions();
    options.tokenTime = 5ms;
    EngineFixture fixture(options);
    fixture.load("m");
    const AnswerPtr answer = fixture.complete("r1", true, 100'000);
    REQUIRE(fixture.loop.runUntil([&] {
        return answer->status == 200;
    }));
    fixture.client->cancel(RequestId("r1"));
    CHECK(fixture.loop.runUntil([&] {
        return fixture.engine.counts()["cancelled"] == 1;
    }));
    CHECK(fixture.status()["running"] == 0);
}

TEST_CASE("engine-standin: a delayed status reports an earlier state")
{
    EngineOptions options = defaultOptions();
    for (const bool longLag : {true, false}) {
        options.statusLag = longLag ? Duration(1h) : Duration(1ms);
        EngineFixture fixture(options);
        CHECK(fixture.order("o1", "load", "m", 10, 1) == 202);
        if (longLag) {
            CHECK(fixture.status()["loaded"].empty());
            CHECK(fixture.engine.counts()["loads"] == 1);
        } else {
            CHECK(fixture.loop.runUntil([&] {
                return !fixture.status()["loaded"].empty();
            }));
        }
    }
}
