// Requests that were accepted and ended without a complete answer although no endpoint had broken
// them off.
#include "RequestPathFixture.h"

#include "marigoldspool/Support/IpAddress.h"

#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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

// For one retry in each second.
FleetOptions optionsWithOneRetry()
{
    FleetOptions options;
    options.retries.ratio = 0;
    options.retries.slack = 2;
    options.retries.window = 1s;
    return options;
}

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
            pausedSink = sink;
            sink->onCallerGone([this] {
                pausedGoneAt = clock.now();
            });
            const auto timer = std::make_shared<boost::asio::steady_timer>(io, pause);
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
    Duration pause = Pause;
    std::shared_ptr<ResponseSink> pausedSink;
    /// When the paused stream was cancelled.
    std::optional<SteadyTime> pausedGoneAt;
};

class OneRetryFixture : public LostAnswerFixture
{
public:
    OneRetryFixture()
        : LostAnswerFixture(optionsWithOneRetry())
    { }
};

class NoRetriesFixture : public LostAnswerFixture
{
public:
    NoRetriesFixture()
        : LostAnswerFixture(optionsWithoutRetries())
    { }
};

FleetOptions optionsWithGrace(Duration grace)
{
    FleetOptions options;
    options.gracePeriod = grace;
    return options;
}

class ShortGraceFixture : public RequestPathFixture
{
public:
    explicit ShortGraceFixture(Duration grace = 2s)
        : RequestPathFixture(optionsWithGrace(grace))
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

// Seconds without an acknowledgement after which the kernel ends a connection to the address.
int keepAliveSeconds(const std::string &address)
{
    constexpr int MaxDescriptor = 1024;
    const auto option = [](int socket, int name) {
        int value = 0;
        socklen_t size = sizeof(value);
        ::getsockopt(socket, IPPROTO_TCP, name, &value, &size);
        return value;
    };
    for (int socket = 0; socket < MaxDescriptor; ++socket) {
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        if (::getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &size) == 0
            && ntohs(peer.sin_port) == splitAddress(address)->port) {
            return option(socket, TCP_KEEPIDLE)
                + option(socket, TCP_KEEPINTVL) * option(socket, TCP_KEEPCNT);
        }
    }
    return 0;
}

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

TEST_CASE_FIXTURE(OneRetryFixture,
                  "a stream whose silent engine is given up for one that refuses is not cut off")
{
    StandinReplica::Handler successor;
    std::shared_ptr<ResponseSink> openSink;
    SUBCASE("busy")
    {
        successor = [](const auto &request, const auto &sink) {
            answerNotRun(request, sink, 503);
        };
    }
    SUBCASE("model not loaded")
    {
        successor = [](const auto &request, const auto &sink) {
            answerNotRun(request, sink, 421);
        };
    }
    SUBCASE("error")
    {
        successor = [](const auto &request, const auto &sink) {
            sink->head(500, answerHeaders(request), false);
            sink->data("failed");
            sink->finish();
        };
    }
    SUBCASE("closed connection")
    {
        successor = [](const auto &, const auto &sink) {
            sink->abort();
        };
    }
    SUBCASE("no answer before the silent engine goes on")
    {
        pause = 1450ms;
        successor = [&openSink](const auto &, const auto &sink) {
            openSink = sink;
        };
    }
    SUBCASE("accepted, and the silent engine breaks off")
    {
        successor = [this](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
            pausedSink->abort();
            const auto timer = std::make_shared<boost::asio::steady_timer>(io, 50ms);
            timer->async_wait([timer, request, sink](const boost::system::error_code &) {
                sink->head(200, streamHeaders(request), true);
                sink->data(SecondEvent);
                sink->finish();
            });
        };
    }
    const auto answer = callPaused();
    idleEngine().handler = successor;
    checkWhole(answer);
    CHECK(pausedStreams == 1);
}

// Both engines may work on the request for 400 ms.
TEST_CASE_FIXTURE(LostAnswerFixture,
                  "a silent engine does not keep a stream that another engine has accepted")
{
    std::optional<SteadyTime> acceptedAt;
    std::shared_ptr<ResponseSink> openSink;
    bool isAnswering = false;
    const auto answer = callPaused();
    const StandinReplica &next = idleEngine();
    const auto accept = [&](const HttpRequest &, const std::shared_ptr<ResponseSink> &sink) {
        acceptedAt = clock.now();
        openSink = sink;
    };
    const auto begin = [&] {
        openSink->head(200, streamHeaders(idleEngine().requests.back()), true);
        openSink->data(SecondEvent);
        isAnswering = true;
    };
    SUBCASE("and has not begun to answer")
    {
        idleEngine().handler = accept;
    }
    SUBCASE("and answers")
    {
        idleEngine().handler = [&](const auto &request, const auto &sink) {
            accept(request, sink);
            begin();
        };
    }
    REQUIRE(runUntil(io, [&] {
        return pausedGoneAt && acceptedAt;
    }));
    CHECK(*pausedGoneAt - *acceptedAt < 400ms);
    // No other attempt can follow it.
    CHECK(keepAliveSeconds(next.address()) == 128);
    if (!isAnswering) {
        begin();
    }
    openSink->finish();
    checkWhole(answer);
}

TEST_CASE_FIXTURE(LostAnswerFixture,
                  "a stream is not cut off at a timeout that a new version has raised")
{
    bool isCutByEngine = false;
    SUBCASE("at the same engine") { }
    SUBCASE("at another engine, since the first one ends it at the old deadline")
    {
        isCutByEngine = true;
    }
    pause = 1200ms;
    routes[2]["timeoutMs"] = 1000;
    const auto answer = callPaused();
    routes[2]["timeoutMs"] = 4000;
    configure(3, {"k1"});
    if (isCutByEngine) {
        io.restart();
        io.run_for(950ms);
        idleEngine().handler = [](const auto &request, const auto &sink) {
            sink->head(200, streamHeaders(request), true);
            sink->data(SecondEvent);
            sink->finish();
        };
        pausedSink->abort();
    }
    checkWhole(answer);
}

// The platform expects the final answer at the timeout of the version at its arrival.
TEST_CASE_FIXTURE(RequestPathFixture,
                  "a request without an answer is not held beyond the timeout it was accepted with")
{
    std::shared_ptr<ResponseSink> openSink;
    routes[1]["timeoutMs"] = 600;
    configure(2, {"k1"});
    addReplica("i-1", "app", [&openSink](const auto &request, const auto &sink) {
        if (request.target == "/app/x") {
            answerOk(request, sink);
        } else {
            openSink = sink;
        }
    });
    callUntilStatus(200, "/app/x");
    const SteadyTime before = clock.now();
    const auto answer = call("/once/slow");
    REQUIRE(runUntil(io, [&openSink] {
        return openSink != nullptr;
    }));
    routes[1]["timeoutMs"] = 3000;
    configure(3, {"k1"});
    REQUIRE(runUntil(io, [&answer] {
        return answer->ended;
    }));
    CHECK(answer->status == 504);
    CHECK(clock.now() - before < 1s);
}

// Five full engines refused a silent stream within half a second. When it broke off, no attempt was
// left to resume it.
TEST_CASE_FIXTURE(LostAnswerFixture,
                  "refused successors do not use up the attempts of a stream that breaks off later")
{
    bool isBusy = true;
    std::shared_ptr<ResponseSink> silentSink;
    engineMemoryMb = 200;
    configure(2, {"k1"});
    const auto stream = [&](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
        const bool isResumed = findHeader(request.headers, "Last-Event-Id") != nullptr;
        if (isResumed && isBusy) {
            answerNotRun(request, sink, 503);
            return;
        }
        sink->head(200, streamHeaders(request), true);
        if (!isResumed) {
            sink->data(FirstEvent);
        }
        if (request.target == "/llm/pause" && !isResumed) {
            silentSink = sink;
            return;
        }
        sink->data(SecondEvent);
        sink->finish();
    };
    for (int i = 0; i < 6; ++i) {
        addReplica("i-" + std::to_string(i), "llm", stream, {"m"});
    }
    callUntilStatus(200, "/llm/x", "m");
    io.restart();
    io.run_for(1s);
    // The retry limit grows with the requests.
    for (int i = 0; i < 60; ++i) {
        callAndWait("/llm/x", "m");
    }
    const auto answer = call("/llm/pause", "m");
    io.restart();
    io.run_for(1900ms);
    isBusy = false;
    REQUIRE(silentSink);
    silentSink->abort();
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
    routes[0]["kind"] = "non_idempotent";
    routes[0]["attempts"] = 1;
    configure(2, {"k1"});
    REQUIRE(runUntil(io, [&slow] {
        return slow->ended;
    }));
    CHECK(openSinks.size() == 1);
    CHECK(slow->status == 504);
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "an answer that arrives while the event loop is held up is not requested again")
{
    std::shared_ptr<ResponseSink> openSink;
    HttpRequest received;
    int sent = 0;
    const auto answer = [&](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
        if (request.target == "/app/slow") {
            ++sent;
            received = request;
            openSink = sink;
            return;
        }
        answerOk(request, sink);
    };
    // Silent requests of the route are moved after 250 ms.
    routes[0]["goalMs"] = 100;
    configure(2, {"k1"});
    addReplica("i-1", "app", answer);
    addReplica("i-2", "app", answer);
    callUntilStatus(200, "/app/x");
    io.restart();
    io.run_for(1s);
    const auto slow = call("/app/slow");
    REQUIRE(runUntil(io, [&sent] {
        return sent == 1;
    }));
    // The answer arrives, and the loop is held up, when the instance's next tick is due already.
    boost::asio::steady_timer stall(io);
    boost::asio::post(io, [&] {
        stall.expires_after(0s);
        stall.async_wait([&](const boost::system::error_code &) {
            answerOk(received, openSink);
            std::this_thread::sleep_for(400ms);
        });
        std::this_thread::sleep_for(60ms);
    });
    REQUIRE(runUntil(io, [&slow] {
        return slow->ended;
    }));
    CHECK(slow->status == 200);
    CHECK(sent == 1);
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

// Its answer would be cut off, and a request that may run only once could not be sent again.
TEST_CASE("a request that would outlast a planned stop is refused before it is sent")
{
    // Answers end half a second before the grace does.
    ShortGraceFixture f(3500ms);
    std::vector<std::shared_ptr<boost::asio::steady_timer>> timers;
    const StandinReplica &replica =
        f.addReplica("i-1", "app", [&f, &timers](const auto &request, const auto &sink) {
            timers.push_back(std::make_shared<boost::asio::steady_timer>(f.io, 1200ms));
            timers.back()->async_wait([request, sink](const boost::system::error_code &) {
                answerOk(request, sink);
            });
        });
    f.callUntilStatus(200, "/once/x");
    f.stopDaemon();
    f.io.restart();
    f.io.run_for(2200ms);
    const std::size_t before = replica.requests.size();
    const SteadyTime sentAt = f.clock.now();
    const auto answer = f.callAndWait("/once/x");
    CHECK(answer->status == 503);
    CHECK_FALSE(answer->retryAfter.empty());
    CHECK(f.clock.now() - sentAt < 500ms);
    CHECK(replica.requests.size() == before);
}

// The connection of each request failed after 3 s without a path to the endpoint. Requests that may
// run only once were answered 502, and streams were cut off, although the path came back in time.
TEST_CASE_FIXTURE(RequestPathFixture,
                  "an attempt that no other one can follow outlasts the loss of its path")
{
    std::vector<std::shared_ptr<ResponseSink>> openSinks;
    const StandinReplica &replica =
        addReplica("i-1", "app", [&openSinks](const auto &request, const auto &sink) {
            if (request.target == "/app/x") {
                answerOk(request, sink);
                return;
            }
            openSinks.push_back(sink);
        });
    callUntilStatus(200, "/app/x");
    // The second call uses the connection of the first one. The kernel accepts at most 128 s,
    // longer than the request may take.
    const std::pair<std::string, int> rows[] = {{"/app/slow", 3}, {"/once/slow", 128}};
    for (const auto &row : rows) {
        CAPTURE(row.first);
        const auto answer = call(row.first);
        REQUIRE(runUntil(io, [&openSinks] {
            return openSinks.size() == 1;
        }));
        CHECK(keepAliveSeconds(replica.address()) == row.second);
        openSinks.front()->head(500, {}, false);
        openSinks.front()->finish();
        openSinks.clear();
        REQUIRE(runUntil(io, [&answer] {
            return answer->ended;
        }));
    }
}
