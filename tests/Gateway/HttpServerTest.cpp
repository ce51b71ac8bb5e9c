#include "Harness.h"

#include <optional>

#include <nlohmann/json.hpp>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

struct Received {
    HttpRequest request;
    std::shared_ptr<ResponseSink> sink;
};

// A server that keeps each request for the test, or echoes the body at once.
class ServerFixture
{
public:
    explicit ServerFixture(HttpServerOptions options = {}, bool echo = false)
    {
        auto handler = [this, echo](HttpRequest request, std::shared_ptr<ResponseSink> sink) {
            if (echo) {
                sink->head(200, {}, false);
                sink->data(request.method + " " + request.target + " " + request.body);
                sink->finish();
            }
            requests.push_back({std::move(request), echo ? nullptr : std::move(sink)});
        };
        auto made = makeHttpServer(loop.io(), std::move(options), std::move(handler), metrics);
        REQUIRE(made);
        server = std::move(*made);
    }

    RawSocket connect(int receiveBuffer = 0)
    {
        return RawSocket::connectTo(server->port(), receiveBuffer);
    }

    bool waitForRequests(std::size_t n)
    {
        return loop.runUntil([&] {
            return requests.size() >= n;
        });
    }

    bool waitForText(RawSocket &socket, std::string_view text)
    {
        return loop.runUntil([&] {
            return socket.hasReceived(text);
        });
    }

    bool waitForClose(RawSocket &socket)
    {
        return loop.runUntil([&] {
            return socket.isClosed();
        });
    }

    void answer(std::size_t index, std::string_view body)
    {
        requests.at(index).sink->head(200, {}, false);
        requests.at(index).sink->data(body);
        requests.at(index).sink->finish();
    }

    double refusals(std::string_view reason) const
    {
        return metrics.counterValue("marigoldspool_refusals_total",
                                    {{"reason", std::string(reason)}});
    }

    TestLoop loop;
    Metrics metrics;
    std::vector<Received> requests;
    std::unique_ptr<HttpServer> server;
};

std::size_t count(std::string_view text, std::string_view part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string_view::npos;
         at = text.find(part, at + part.size())) {
        ++n;
    }
    return n;
}

constexpr std::string_view Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("kept-alive connections serve one request after another")
{
    ServerFixture fixture({}, true);
    RawSocket caller = fixture.connect();
    for (int i = 0; i < 3; ++i) {
        caller.clearReceived();
        caller.send("POST /n HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
        CHECK(fixture.waitForText(caller, "POST /n abc"));
        CHECK(caller.hasReceived("Content-Length: 11\r\n"));
    }
    CHECK(!caller.isClosed());
    CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("answers to pipelined requests come in order and are not mixed up")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 2\r\n\r\nhiGET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
    for (std::size_t i = 0; i < 3; ++i) {
        REQUIRE(fixture.waitForRequests(i + 1));
        fixture.loop.settle();
        // The next request starts only after the answer to the one before.
        REQUIRE(fixture.requests.size() == i + 1);
        CHECK(fixture.requests[i].request.target == "/" + std::to_string(i + 1));
        fixture.answer(i, "answer-" + std::to_string(i + 1) + ";");
    }
    REQUIRE(fixture.waitForText(caller, "answer-3;"));
    const std::string &text = caller.received();
    CHECK(text.find("answer-1;") < text.find("answer-2;"));
    CHECK(text.find("answer-2;") < text.find("answer-3;"));
    CHECK(fixture.requests[1].request.body == "hi");
}

TEST_CASE("a thousand pipelined requests answered at once do not exhaust the stack")
{
    ServerFixture fixture({}, true);
    RawSocket caller = fixture.connect();
    std::string text;
    for (int i = 0; i < 1000; ++i) {
        text.append(Get);
    }
    caller.send(text);
    CHECK(fixture.loop.runUntil([&] {
        return count(caller.received(), "GET /a ") == 1000;
    }));
}

TEST_CASE("a request sent byte by byte is understood")
{
    // Beast asserts that a last chunk has five bytes when it is read on, so the empty body ended
    // the process.
    const std::pair<std::string, std::string> bodies[] = {
        {"2;ext=1\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: 1\r\n\r\n", "abc"}, {"0\r\n\r\n", ""}};
    for (const auto &[chunks, body] : bodies) {
        ServerFixture fixture({}, true);
        RawSocket caller = fixture.connect();
        for (const char c :
             "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks) {
            caller.send(std::string_view(&c, 1));
            fixture.loop.io().restart();
            fixture.loop.io().run_one_for(5ms);
        }
        CHECK(fixture.waitForText(caller, "POST /b " + body));
    }
}

TEST_CASE("an HTTP/1.0 caller gets a plain answer and the connection closes")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send("GET /old HTTP/1.0\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    auto &sink = *fixture.requests[0].sink;
    sink.head(200, {}, true);
    sink.data("part1");
    sink.data("part2");
    sink.finish();
    CHECK(fixture.waitForClose(caller));
    CHECK(!caller.isReset());
    CHECK(caller.hasReceived("\r\n\r\npart1part2"));
    CHECK(!caller.hasReceived("chunked"));
}

TEST_CASE("an aborted HTTP/1.0 stream ends with a reset, since a close would mean its end")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send("GET /old HTTP/1.0\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests[0].sink->head(200, {}, true);
    fixture.requests[0].sink->data("part1");
    REQUIRE(fixture.waitForText(caller, "part1"));
    fixture.requests[0].sink->abort();
    CHECK(fixture.waitForClose(caller));
    CHECK(caller.isReset());
}

TEST_CASE("the answer to HEAD has a length but no body, which would be read as the next answer")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send("HEAD /h HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    fixture.answer(0, "four");
    CHECK(fixture.waitForText(caller, "Content-Length: 4\r\n"));
    CHECK(fixture.waitForText(caller, "\r\n\r\n"));
    CHECK(!caller.hasReceived("four"));
    caller.send(Get);
    CHECK(fixture.waitForRequests(2));
}

TEST_CASE("100 Continue is sent once the head has come, and not after a refusal")
{
    ServerFixture fixture({}, true);
    RawSocket caller = fixture.connect();
    caller.send("POST /e HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    REQUIRE(fixture.waitForText(caller, "100 Continue\r\n\r\n"));
    caller.send("ok");
    CHECK(fixture.waitForText(caller, "POST /e ok"));
    CHECK(count(caller.received(), "100 Continue") == 1);

    RawSocket other = fixture.connect();
    other.send("POST /e HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n"
               "Expect: 100-continue\r\n\r\n");
    CHECK(fixture.waitForText(other, "HTTP/1.1 413"));
    CHECK(!other.hasReceived("100 Continue"));
}

TEST_CASE("a stream is sent in chunks as it comes and ends with the last chunk")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    auto &sink = *fixture.requests[0].sink;
    sink.head(200, {}, true);
    sink.data("hello");
    REQUIRE(fixture.waitForText(caller, "5\r\nhello\r\n"));
    sink.data("");
    fixture.loop.settle();
    CHECK(!caller.hasReceived("0\r\n\r\n"));
    sink.finish();
    CHECK(fixture.waitForText(caller, "0\r\n\r\n"));
    CHECK(fixture.loop.runUntil([&] {
        return fixture.server->openRequests() == 0;
    }));
}

TEST_CASE("abort() closes without the last chunk, so that the caller detects a truncated answer")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests[0].sink->head(200, {}, true);
    fixture.requests[0].sink->data("event: error\n\n");
    fixture.requests[0].sink->abort();
    CHECK(fixture.waitForClose(caller));
    CHECK(caller.hasReceived("event: error"));
    CHECK(!caller.hasReceived("0\r\n\r\n"));
    CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("a caller that closes while its answer is made is noticed, and later calls do nothing")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    int gone = 0;
    fixture.requests[0].sink->onCallerGone([&] {
        ++gone;
    });
    CHECK(fixture.server->openRequests() == 1);
    caller.close();
    CHECK(fixture.loop.runUntil([&] {
        return gone == 1;
    }));
    CHECK(fixture.server->openRequests() == 0);
    fixture.answer(0, "too late");
    fixture.requests[0].sink->abort();
    fixture.loop.settle();
    CHECK(gone == 1);
    CHECK(fixture.requests[0].sink->pendingBytes() == 0);
}

TEST_CASE("a pipelined request behind an answer never runs once its caller has closed")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(std::string(Get) + std::string(Get));
    REQUIRE(fixture.waitForRequests(1));
    caller.close();
    REQUIRE(fixture.loop.runUntil([&] {
        return fixture.server->openRequests() == 0;
    }));
    fixture.answer(0, "late");
    fixture.loop.settle();
    CHECK(fixture.requests.size() == 1);
}

TEST_CASE("pendingBytes grows while the caller does not read and falls when it does")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect(4096);
    caller.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    auto &sink = *fixture.requests[0].sink;
    sink.head(200, {}, true);
    const std::string piece(1 << 20, 'x');
    for (int i = 0; i < 16; ++i) {
        sink.data(piece);
    }
    fixture.loop.settle();
    const std::size_t before = sink.pendingBytes();
    CHECK(before > 0);
    CHECK(before <= 17 * piece.size());
    CHECK(fixture.loop.runUntil([&] {
        caller.received();
        return sink.pendingBytes() == 0;
    }));
    sink.finish();
    CHECK(fixture.waitForText(caller, "0\r\n\r\n"));
    CHECK(count(caller.received(), "x") == 16 * piece.size());
}

TEST_CASE("hop-by-hop fields pass neither to the handler nor to the caller")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Named\r\nX-Named: 1\r\n"
                "Upgrade: h2c\r\nTE: trailers\r\nTrailer: X\r\nKeep-Alive: 5\r\n"
                "Proxy-Authorization: secret\r\nX-Kept: yes\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    const auto &headers = fixture.requests[0].request.headers;
    CHECK(headers.size() == 2);
    CHECK(findHeader(headers, "x-kept") != nullptr);
    const std::vector<HeaderField> answer{{"Connection", "X-Private"}, {"X-Private", "1"},
                                          {"Keep-Alive", "9"},         {"Content-Length", "999"},
                                          {"X-Split", "a\r\nB: c"},    {"X-Fine", "1"}};
    fixture.requests[0].sink->head(200, answer, false);
    fixture.requests[0].sink->finish();
    REQUIRE(fixture.waitForText(caller, "\r\n\r\n"));
    CHECK(caller.received() == "HTTP/1.1 200 OK\r\nX-Fine: 1\r\nContent-Length: 0\r\n\r\n");
}

TEST_CASE("a trailer does not act as a header field")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\nAuthorization: Bearer k\r\n\r\n");
    REQUIRE(fixture.waitForRequests(1));
    CHECK(findHeader(fixture.requests[0].request.headers, "Authorization") == nullptr);
}

TEST_CASE("stopAccepting() closes idle connections and lets open requests finish")
{
    ServerFixture fixture;
    RawSocket idle = fixture.connect();
    RawSocket busy = fixture.connect();
    busy.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    idle.send(Get);
    REQUIRE(fixture.waitForRequests(2));
    fixture.answer(1, "done");
    REQUIRE(fixture.waitForText(idle, "done"));
    fixture.server->stopAccepting();
    CHECK(fixture.waitForClose(idle));
    CHECK(!busy.isClosed());
    fixture.answer(0, "last");
    CHECK(fixture.waitForClose(busy));
    CHECK(busy.hasReceived("Connection: close"));
    CHECK(busy.hasReceived("last"));
}

// Guards against a whole request that is dropped unanswered behind a stream whose head did not
// announce the close, because the stop began after it. The part of a further request makes the
// next answer the last one whatever follows it.
TEST_CASE("a request read behind a stream that a stop overtakes is answered before the close")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(std::string(Get) + "GET /2 HTTP/1.1\r\nHost: x\r\n\r\nGET /3 HT");
    REQUIRE(fixture.waitForRequests(1));
    auto &first = *fixture.requests[0].sink;
    first.head(200, {}, true);
    first.data("stream");
    REQUIRE(fixture.waitForText(caller, "stream"));
    SUBCASE("closeAfterAnswers()")
    {
        fixture.server->closeAfterAnswers();
    }
    SUBCASE("stopAccepting()")
    {
        fixture.server->stopAccepting();
    }
    first.finish();
    REQUIRE(fixture.loop.runUntil([&] {
        return fixture.requests.size() == 2 || caller.isClosed();
    }));
    REQUIRE(fixture.requests.size() == 2);
    CHECK(fixture.requests[1].request.target == "/2");
    CHECK(caller.hasReceived("0\r\n\r\n"));
    CHECK(!caller.hasReceived("Connection: close"));
    fixture.answer(1, "second");
    CHECK(fixture.waitForClose(caller));
    CHECK(!caller.isReset());
    CHECK(count(caller.received(), "Connection: close") == 1);
    CHECK(caller.hasReceived("\r\n\r\nsecond"));
    CHECK(fixture.server->openRequests() == 0);
}

// Guards against a connection that stays open through a stop because its last answer, a stream, did
// not announce the close.
TEST_CASE("a connection closes after a stream that a stop overtakes if no request is behind it")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    auto &sink = *fixture.requests[0].sink;
    sink.head(200, {}, true);
    sink.data("stream");
    REQUIRE(fixture.waitForText(caller, "stream"));
    fixture.server->closeAfterAnswers();
    sink.finish();
    CHECK(fixture.waitForClose(caller));
    CHECK(!caller.isReset());
    CHECK(caller.hasReceived("0\r\n\r\n"));
}

TEST_CASE("a handler that drops its sink leaves no caller without an answer")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    fixture.requests[0].sink.reset();
    CHECK(fixture.waitForText(caller, "\"ran\":\"unknown\""));
}

TEST_CASE("destroying the server closes its connections and tells the handlers")
{
    ServerFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(Get);
    REQUIRE(fixture.waitForRequests(1));
    bool gone = false;
    fixture.requests[0].sink->onCallerGone([&] {
        gone = true;
    });
    fixture.server.reset();
    CHECK(gone);
    CHECK(fixture.waitForClose(caller));
    fixture.answer(0, "late");
}

TEST_CASE("an address in use is reported with a remedy")
{
    ServerFixture fixture;
    HttpServerOptions options;
    options.address = "127.0.0.1:" + std::to_string(fixture.server->port());
    Metrics metrics;
    const auto second = makeHttpServer(fixture.loop.io(), options, {}, metrics);
    REQUIRE(!second);
    CHECK(second.error().kind == ErrorKind::Unavailable);
    CHECK(!second.error().remedy.empty());
}

// Each body was bounded, but not their sum.
TEST_CASE("a request whose body finds no room is refused before its body is read")
{
    HttpServerOptions options;
    options.maxTotalBodyBytes = 100'000;
    ServerFixture fixture(options);
    const auto post = [](std::size_t bytes) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes)
            + "\r\n\r\n";
    };
    RawSocket first = fixture.connect();
    first.send(post(80'000) + std::string(80'000, 'x'));
    REQUIRE(fixture.waitForRequests(1));
    RawSocket second = fixture.connect();
    second.send(post(30'000));
    CHECK(fixture.waitForText(second, "503 Service Unavailable"));
    CHECK(second.hasReceived("Retry-After: 1"));
    CHECK(second.hasReceived("\"ran\":\"no\""));
    RawSocket chunked = fixture.connect();
    chunked.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7530\r\n"
                 + std::string(30'000, 'x'));
    CHECK(fixture.waitForText(chunked, "503 Service Unavailable"));
    // Small requests go on, and the room is free again after the answer.
    RawSocket small = fixture.connect();
    small.send(post(10) + "0123456789");
    REQUIRE(fixture.waitForRequests(2));
    fixture.answer(0, "done");
    CHECK(fixture.waitForText(first, "done"));
    RawSocket third = fixture.connect();
    third.send(post(80'000) + std::string(80'000, 'x'));
    CHECK(fixture.waitForRequests(3));
    // A caller that leaves frees its room.
    bool gone = false;
    fixture.requests[2].sink->onCallerGone([&gone] {
        gone = true;
    });
    third.close();
    REQUIRE(fixture.loop.runUntil([&gone] {
        return gone;
    }));
    RawSocket fourth = fixture.connect();
    fourth.send(post(80'000) + std::string(80'000, 'x'));
    CHECK(fixture.waitForRequests(4));
}
