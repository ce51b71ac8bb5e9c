// Requests that were accepted and ended without a complete answer although no endpoint had broken
// them off.
#include "RequestPathFixture.h"

#include <boost/asio/post.hpp>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view FirstEvent = "id: 1\ndata: x\n\n";
constexpr std::string_view SecondEvent = "id: 2\ndata: x\n\n";
constexpr std::string_view BothEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

// Longer than the time after which a silent stream is moved to another endpoint, and shorter than
// the callers of the test route wait for an event.
constexpr auto Pause = 2s;

FleetOptions optionsWithoutRetries()
{
    FleetOptions options;
    options.retries.ratio = 0;
    options.retries.slack = 0;
    return options;
}

class LostAnswerFixture : public RequestPathFixture
{
public:
    using RequestPathFixture::RequestPathFixture;

    // Two engines that have model m loaded. A stream of /llm/pause stops for a while after its
    // first event and then goes on at the same engine.
    void addPausingEngines()
    {
        engineMemoryMb = 200;
        configure(2, {"k1"});
        const auto stream = [this](const HttpRequest &request,
                                   const std::shared_ptr<ResponseSink> &sink) {
            const bool isResumed = findHeader(request.headers, "Last-Event-Id") != nullptr;
            sink->head(200, streamHeaders(request), true);
            if (!isResumed) {
                sink->data(FirstEvent);
            }
            const auto finish = [sink] {
                sink->data(SecondEvent);
                sink->finish();
            };
            if (request.target != "/llm/pause") {
                finish();
                return;
            }
            ++pausedStreams;
            const auto timer = std::make_shared<boost::asio::steady_timer>(io, Pause);
            timer->async_wait([timer, finish](const boost::system::error_code &) {
                finish();
            });
        };
        addReplica("i-1", "llm", stream, {"m"});
        addReplica("i-2", "llm", stream, {"m"});
        callUntilStatus(200, "/llm/x", "m");
        io.restart();
        io.run_for(1s);
    }

    // Sends a request whose stream is in its pause.
    std::shared_ptr<CallerAnswer> callPaused()
    {
        addPausingEngines();
        auto answer = call("/llm/pause", "m");
        REQUIRE(runUntil(io, [this] {
            return pausedStreams == 1;
        }));
        return answer;
    }

    void checkWhole(const std::shared_ptr<CallerAnswer> &answer)
    {
        REQUIRE(runUntil(io, [&answer] {
            return answer->ended;
        }));
        CHECK(answer->complete);
        CHECK(answer->body == BothEvents);
    }

    // The engine that has not served the paused stream.
    StandinReplica &idleEngine()
    {
        const auto hasPaused = [](const auto &replica) {
            return std::any_of(replica->requests.begin(), replica->requests.end(),
                               [](const auto &request) {
                                   return request.target == "/llm/pause";
                               });
        };
        return hasPaused(replicas[0]) ? *replicas[1] : *replicas[0];
    }

    int pausedStreams = 0;
};

class NoRetriesFixture : public LostAnswerFixture
{
public:
    NoRetriesFixture()
        : LostAnswerFixture(optionsWithoutRetries())
    { }
};

FleetOptions optionsWithShortGrace()
{
    FleetOptions options;
    options.gracePeriod = 2s;
    return options;
}

class ShortGraceFixture : public RequestPathFixture
{
public:
    ShortGraceFixture()
        : RequestPathFixture(optionsWithShortGrace())
    { }

    // Stops the instance and ends it as the process does.
    void stopDaemon()
    {
        daemon->stop([this] {
            boost::asio::post(io, [this] {
                daemon.reset();
            });
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(NoRetriesFixture,
                  "a silent stream is not cut off when the retry limit allows no other endpoint")
{
    addPausingEngines();
    const auto answer = callAndWait("/llm/pause", "m");
    CHECK(answer->complete);
    CHECK(answer->body == BothEvents);
    CHECK(pausedStreams == 1);
}

TEST_CASE_FIXTURE(LostAnswerFixture,
                  "a silent stream is not cut off when its route or key has been removed")
{
    const auto answer = callPaused();
    configure(3, {"k2"});
    callUntilStatus(401, "/app/x");
    checkWhole(answer);
}

// 27 streams of a played day were cut off because a crashed endpoint had not accepted the
// connection on which they were to resume.
TEST_CASE_FIXTURE(LostAnswerFixture,
                  "a stream resumes at a third endpoint when the second cannot be reached")
{
    engineMemoryMb = 200;
    configure(2, {"k1"});
    const auto stream = [this](const HttpRequest &request,
                               const std::shared_ptr<ResponseSink> &sink) {
        const bool isResumed = findHeader(request.headers, "Last-Event-Id") != nullptr;
        sink->head(200, streamHeaders(request), true);
        if (!isResumed) {
            sink->data(FirstEvent);
        }
        if (request.target == "/llm/cut" && !isResumed) {
            // An endpoint that has served nothing is preferred.
            for (const auto &replica : replicas) {
                if (replica->requests.empty()) {
                    replica->crash();
                }
            }
            sink->abort();
            return;
        }
        sink->data(SecondEvent);
        sink->finish();
    };
    addReplica("i-1", "llm", stream, {"m"});
    addReplica("i-2", "llm", stream, {"m"});
    addReplica("i-3", "llm", stream, {"m"});
    callUntilStatus(200, "/llm/x", "m");
    io.restart();
    io.run_for(1s);
    const auto answer = callAndWait("/llm/cut", "m");
    CHECK(answer->complete);
    CHECK(answer->body == BothEvents);
}

// 28 streams of two played days ended so: silent engines were given up for engines behind the same
// network partition.
TEST_CASE_FIXTURE(LostAnswerFixture,
                  "a silent stream is not given up for an endpoint that cannot be reached")
{
    const auto answer = callPaused();
    idleEngine().crash();
    checkWhole(answer);
}

TEST_CASE_FIXTURE(LostAnswerFixture,
                  "a stream returns to the endpoint that was silent when the next one refuses it")
{
    const auto answer = callPaused();
    idleEngine().handler = [](const auto &request, const auto &sink) {
        answerNotRun(request, sink, 503);
    };
    checkWhole(answer);
}

TEST_CASE_FIXTURE(LostAnswerFixture,
                  "a stream resumes at its own endpoint when only the connection was lost")
{
    engineMemoryMb = 200;
    configure(2, {"k1"});
    addReplica("i-1", "llm",
               [](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                   const bool isResumed = findHeader(request.headers, "Last-Event-Id") != nullptr;
                   sink->head(200, streamHeaders(request), true);
                   if (!isResumed) {
                       sink->data(FirstEvent);
                   }
                   if (request.target == "/llm/cut" && !isResumed) {
                       sink->abort();
                       return;
                   }
                   sink->data(SecondEvent);
                   sink->finish();
               },
               {"m"});
    callUntilStatus(200, "/llm/x", "m");
    // The retry limit grows in the first seconds.
    io.restart();
    io.run_for(1s);
    const auto answer = callAndWait("/llm/cut", "m");
    CHECK(answer->complete);
    CHECK(answer->body == BothEvents);
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "a silent request is not sent again once its route allows one attempt only")
{
    std::vector<std::shared_ptr<ResponseSink>> openSinks;
    const auto answer = [&openSinks](const HttpRequest &request,
                                     const std::shared_ptr<ResponseSink> &sink) {
        if (request.target == "/app/slow") {
            openSinks.push_back(sink);
            return;
        }
        answerOk(request, sink);
    };
    addReplica("i-1", "app", answer);
    addReplica("i-2", "app", answer);
    callUntilStatus(200, "/app/x");
    io.restart();
    io.run_for(1s);
    const auto slow = call("/app/slow");
    REQUIRE(runUntil(io, [&openSinks] {
        return openSinks.size() == 1;
    }));
    store.put("config", "main",
              {{"version", 2},
               {"routes",
                {{{"name", "app"},
                  {"host", "h"},
                  {"prefix", "/app/"},
                  {"kind", "non_idempotent"},
                  {"service", "app"},
                  {"attempts", 1},
                  {"timeoutMs", 3000},
                  {"goalMs", 1000}}}},
               {"services", {{{"name", "app"}}}},
               {"tenants", {{{"name", "t"}, {"apiKeys", {"k1"}}}}}});
    REQUIRE(runUntil(io, [&slow] {
        return slow->ended;
    }));
    CHECK(openSinks.size() == 1);
    CHECK(slow->status == 504);
}

// The stop ends before the request has waited for as long as it may. The caller's connection was
// closed without an answer.
TEST_CASE_FIXTURE(
    ShortGraceFixture,
    "a request that waits for a model when the instance stops is told that it has not "
    "run")
{
    StandinReplica &engine = addEngine();
    // The engine executes no order, so the other model is never loaded.
    engine.ordersToDelay = 1000;
    engine.orderDelay = 60s;
    callUntilStatus(200, "/llm/x", "m");
    stopDaemon();
    io.restart();
    io.run_for(1600ms);
    const auto answer = call("/llm/x", "n");
    REQUIRE(runUntil(io, [&answer] {
        return answer->ended;
    }));
    CHECK(answer->complete);
    CHECK(answer->status == 503);
    CHECK_FALSE(answer->retryAfter.empty());
}

// An endpoint that answers after the end of the grace period: the caller is told that the request
// may have run, instead of losing its connection.
TEST_CASE_FIXTURE(ShortGraceFixture,
                  "a request still at its endpoint at the end of a planned stop gets an answer")
{
    std::shared_ptr<ResponseSink> openSink;
    addReplica("i-1", "app", [&openSink](const auto &request, const auto &sink) {
        if (request.target == "/once/slow") {
            openSink = sink;
            return;
        }
        answerOk(request, sink);
    });
    callUntilStatus(200, "/app/x");
    const auto answer = call("/once/slow");
    REQUIRE(runUntil(io, [&openSink] {
        return openSink != nullptr;
    }));
    stopDaemon();
    REQUIRE(runUntil(io, [&answer] {
        return answer->ended;
    }));
    CHECK(answer->complete);
    CHECK(answer->status == 502);
}
