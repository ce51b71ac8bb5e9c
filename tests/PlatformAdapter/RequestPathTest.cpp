#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE_FIXTURE(
    RequestPathFixture,
    "a request is routed and authenticated by the configuration and served by a replica")
{
    StandinReplica &replica = addReplica("i-1", "app", answerOk);
    const auto answer = callUntilStatus(200, "/app/x");
    CHECK(answer->body == "the answer");
    REQUIRE_FALSE(replica.requests.empty());
    const HttpRequest &forwarded = replica.requests.back();
    CHECK(forwarded.target == "/app/x");
    CHECK(*findHeader(forwarded.headers, "X-Marigoldspool-Tenant") == "t");
    CHECK(*findHeader(forwarded.headers, "X-Marigoldspool-Expect-Replica") == "i-1");
    CHECK(findHeader(forwarded.headers, "Authorization") == nullptr);
    CHECK(callAndWait("/none/x")->status == 404);
    CHECK(callAndWait("/app/x", {}, "other")->status == 401);
}

TEST_CASE_FIXTURE(RequestPathFixture, "a removed key is refused")
{
    addReplica("i-1", "app", answerOk);
    callUntilStatus(200, "/app/x");
    configure(2, {"k2"});
    callUntilStatus(401, "/app/x");
    callUntilStatus(200, "/app/x", {}, "k2");
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "a request that a replica did not process is sent to another one")
{
    StandinReplica &first = addReplica("i-1", "app", [](const auto &request, const auto &sink) {
        answerNotRun(request, sink, 503);
    });
    StandinReplica &second = addReplica("i-2", "app", answerOk);
    for (int i = 0; i < 4; ++i) {
        callUntilStatus(200, "/once/x");
    }
    CHECK(second.requests.size() >= 4);
    CHECK_FALSE(first.requests.empty());
}

// The answer is lost after the request was processed: the request must not be sent again, and the
// status must not mean that it was not processed.
TEST_CASE_FIXTURE(RequestPathFixture,
                  "a non-idempotent request is not repeated after a lost answer")
{
    StandinReplica &replica = addReplica("i-1", "app", [](const auto &request, const auto &sink) {
        if (request.target == "/app/warm") {
            answerOk(request, sink);
            return;
        }
        sink->head(200, answerHeaders(request), true);
        sink->abort();
    });
    callUntilStatus(200, "/app/warm");
    const std::size_t before = replica.requests.size();
    CHECK(callAndWait("/once/x")->status == 502);
    CHECK(replica.requests.size() == before + 1);
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "a stream that is cut off resumes at another replica without a gap")
{
    constexpr int Events = 4;
    constexpr int CutAfter = 2;
    std::vector<std::string> resumedAfter;
    const auto stream = [&resumedAfter](const HttpRequest &request,
                                        const std::shared_ptr<ResponseSink> &sink) {
        const std::string *after = findHeader(request.headers, "Last-Event-Id");
        if (after != nullptr) {
            resumedAfter.push_back(*after);
        }
        const int begin = after == nullptr ? 1 : std::stoi(*after) + 1;
        const bool isCut = request.target == "/llm/cut" && after == nullptr;
        sink->head(200, streamHeaders(request), true);
        for (int i = begin; i <= (isCut ? CutAfter : Events); ++i) {
            sink->data("id: " + std::to_string(i) + "\ndata: x\n\n");
        }
        if (isCut) {
            // A replica may fail in the middle of an event.
            sink->data("id: 9");
            sink->abort();
            return;
        }
        sink->finish();
    };
    const auto answer = requestCutStream(stream);
    CHECK(answer->complete);
    CHECK(answer->body
          == "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n");
    CHECK(resumedAfter == std::vector<std::string>{"2"});
}

// The replica that was to resume the stream answered 500, and the stream was ended as complete
// (derwent-press, scale-2, seed 578775347983).
TEST_CASE_FIXTURE(RequestPathFixture, "a stream that cannot resume is not ended as complete")
{
    const auto stream = [](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
        if (findHeader(request.headers, "Last-Event-Id") != nullptr) {
            sink->head(500, answerHeaders(request), false);
            sink->data("failed");
            sink->finish();
            return;
        }
        sink->head(200, streamHeaders(request), true);
        sink->data("id: 1\ndata: x\n\n");
        if (request.target == "/llm/cut") {
            sink->abort();
            return;
        }
        sink->finish();
    };
    const auto answer = requestCutStream(stream);
    CHECK_FALSE(answer->complete);
    CHECK(answer->body == "id: 1\ndata: x\n\n");
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "a model that no replica has loaded is loaded for a waiting request")
{
    StandinReplica &replica = addEngine();
    callUntilStatus(200, "/llm/x", "m");
    callUntilStatus(200, "/llm/x", "n");
    REQUIRE_FALSE(replica.orders.empty());
    for (const json &order : replica.orders) {
        CHECK(order["holder"] == "front-1");
        CHECK(order["fence"].get<int>() >= 1);
    }
    // Memory is enough for one model, so the first was unloaded before the second was loaded.
    CHECK(replica.models.size() == 1);
}

// The owner read reports of idle engines every 4 s, and requests for the models of a crashed engine
// were refused until then.
TEST_CASE_FIXTURE(RequestPathFixture,
                  "a model of a replica that has crashed is loaded on another one")
{
    const auto answer = [](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
        sink->head(200, streamHeaders(request), true);
        sink->data("id: 1\ndata: x\n\n");
        sink->finish();
    };
    addReplica("i-1", "llm", answer, {"m"});
    StandinReplica &other = addReplica("i-2", "llm", answer, {"n"});
    callUntilStatus(200, "/llm/x", "m");
    callUntilStatus(200, "/llm/x", "n");
    // Wait until the owner has read reports of both.
    io.restart();
    io.run_for(1s);
    replicas[0].reset();
    const SteadyTime before = clock.now();
    CHECK(callAndWait("/llm/x", "m")->status == 200);
    CHECK(clock.now() - before < 3s);
    CHECK(std::find(other.models.begin(), other.models.end(), "m") != other.models.end());
}

// Engines' reports lag, which delayed each request for a rarely used model by a quarter of a
// second.
TEST_CASE_FIXTURE(RequestPathFixture, "a model loaded from memory is used before a report shows it")
{
    engineMemoryMb = 200;
    configure(2, {"k1"});
    StandinReplica &replica = addEngine();
    callUntilStatus(200, "/llm/x", "m");
    replica.inMemory = {"m", "n"};
    store.put("servers", "i-1", replica.entry("llm"));
    // Wait until the owner has read a report that lists the models in memory.
    io.restart();
    io.run_for(4500ms);
    replica.reportsStale = true;
    const SteadyTime before = clock.now();
    CHECK(callAndWait("/llm/x", "n")->status == 200);
    CHECK(clock.now() - before < 500ms);
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "an order that is executed late does not exceed an engine's memory")
{
    StandinReplica &replica = addEngine();
    callUntilStatus(200, "/llm/x", "m");
    replica.ordersToDelay = 2;
    replica.orderDelay = 2500ms;
    callUntilStatus(200, "/llm/x", "n");
    io.restart();
    io.run_for(3s);
    callUntilStatus(200, "/llm/x", "m");
    // Memory is enough for one of the two models.
    CHECK(replica.maxModels == 1);
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "requests are served during a store outage, and changes arrive after it")
{
    StandinReplica &replica = addReplica("i-1", "app", answerOk);
    callUntilStatus(200, "/app/x");
    store.refuseCalls = true;
    io.restart();
    io.run_for(1500ms);
    CHECK(callAndWait("/app/x")->status == 200);
    store.refuseCalls = false;
    store.put("servers", "i-1", replica.entry("app", "draining"));
    callUntilStatus(503, "/app/x");
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "a change is received although the store has dropped its history")
{
    addReplica("i-1", "app", answerOk);
    callUntilStatus(200, "/app/x");
    store.erase("servers", "i-1");
    store.dropHistory();
    const auto refused = callUntilStatus(503, "/app/x");
    CHECK_FALSE(refused->retryAfter.empty());
}

// A stream that was accepted 3.19 s after the signal was cut off at the end of the grace period
// (seen on derwent-press). Requests sent up to 3 s after the signal may still arrive.
TEST_CASE_FIXTURE(RequestPathFixture,
                  "no request is accepted later than three seconds after a planned stop began")
{
    StandinReplica &replica = addReplica("i-1", "app", [](const auto &request, const auto &sink) {
        if (request.target != "/app/slow") {
            answerOk(request, sink);
        }
    });
    callUntilStatus(200, "/app/x");
    call("/app/slow");
    REQUIRE(runUntil(io, [&replica] {
        return replica.requests.back().target == "/app/slow";
    }));
    daemon->stop([] {});
    io.restart();
    io.run_for(2s);
    CHECK(callAndWait("/app/x")->status == 200);
    io.restart();
    io.run_for(1s);
    const std::size_t before = replica.requests.size();
    CHECK(callAndWait("/app/x")->status == 0);
    CHECK(replica.requests.size() == before);
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "a planned stop completes open requests and removes the instance from the store")
{
    std::shared_ptr<ResponseSink> openSink;
    addReplica("i-1", "app", [&openSink](const auto &request, const auto &sink) {
        if (request.target == "/app/slow") {
            sink->head(200, answerHeaders(request), false);
            openSink = sink;
            return;
        }
        answerOk(request, sink);
    });
    callUntilStatus(200, "/app/x");
    REQUIRE(runUntil(io, [this] {
        return store.has("instances", "front-1");
    }));
    const auto slow = call("/app/slow");
    REQUIRE(runUntil(io, [&openSink] {
        return openSink != nullptr;
    }));
    bool stopped = false;
    daemon->stop([&stopped] {
        stopped = true;
    });
    REQUIRE(runUntil(io, [this] {
        const auto objects = store.copy().objects;
        return objects.at("instances").at("front-1").spec.find("stopping") != std::string::npos;
    }));
    // The others need the instance in the list for as long as it serves.
    io.restart();
    io.run_for(1s);
    CHECK(store.has("instances", "front-1"));
    CHECK_FALSE(stopped);
    openSink->data("late");
    openSink->finish();
    REQUIRE(runUntil(io, [&stopped] {
        return stopped;
    }));
    CHECK(slow->complete);
    CHECK(slow->body == "late");
    CHECK_FALSE(store.has("instances", "front-1"));
}

// Guards against shares of limits that stay with an instance which was killed in its planned stop.
TEST_CASE_FIXTURE(RequestPathFixture,
                  "an instance that is killed in its planned stop is removed after its grace")
{
    const Duration grace = FleetOptions().gracePeriod;
    std::unique_ptr<FleetDaemon> second = addInstance("front-2");
    REQUIRE(runUntil(io, [this] {
        return store.has("instances", "front-1") && store.has("instances", "front-2");
    }));
    io.restart();
    io.run_for(1s);
    const SteadyTime before = clock.now();
    second->stop([] {});
    io.restart();
    io.run_for(500ms);
    second.reset();
    REQUIRE(runUntil(io, [this] {
        return !store.has("instances", "front-2");
    }));
    CHECK(clock.now() - before >= grace);
    CHECK(clock.now() - before < grace + 2s);
}

// The name of an adapter stands in the order to load it.
TEST_CASE_FIXTURE(RequestPathFixture, "an adapter's name that is no UTF-8 does not end the process")
{
    addEngine();
    callUntilStatus(200, "/llm/x", "m");
    CHECK(callAndWait("/llm/x", "m/\xff\xfe")->status >= 400);
    callUntilStatus(200, "/llm/x", "m");
}

// After requests had waited for a model once, those for its adapters were refused at once and for
// good, and the owner was not told that anybody asked for them.
TEST_CASE_FIXTURE(RequestPathFixture, "adapters of a model that was waited for are loaded")
{
    engineMemoryMb = 200;
    adapters = 2;
    configure(2, {"k1"});
    addEngine().handler = [](const HttpRequest &request,
                             const std::shared_ptr<ResponseSink> &sink) {
        sink->head(200, streamHeaders(request), true);
        sink->data("id: 1\ndata: x\n\n");
        sink->finish();
    };
    callUntilStatus(200, "/llm/x", "m");
    callUntilStatus(200, "/llm/x", "n");
    io.restart();
    io.run_for(3s);
    CHECK(callAndWait("/llm/x", "n/a1")->status == 200);
    CHECK(callAndWait("/llm/x", "n/a2")->status == 200);
}
