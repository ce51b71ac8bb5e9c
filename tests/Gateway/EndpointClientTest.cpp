#include "Harness.h"

#include <optional>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

class RecordingHandler final : public EndpointCallHandler
{
public:
    void onHead(int newStatus, gsl::span<const HeaderField> newHeaders) override
    {
        status = newStatus;
        headers.assign(newHeaders.begin(), newHeaders.end());
    }
    void onData(std::string_view bytes) override
    {
        body.append(bytes);
        if (onBody) {
            onBody();
        }
    }
    void onComplete() override { ++completed; }
    void onFailure(SendStage newStage, Error newError) override
    {
        ++failed;
        stage = newStage;
        error = std::move(newError);
    }
    bool isOver() const { return completed + failed > 0; }

    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    int completed = 0;
    int failed = 0;
    SendStage stage = SendStage::NotSent;
    Error error;
    std::function<void()> onBody;
};

using HandlerPtr = std::shared_ptr<RecordingHandler>;

class ClientFixture
{
public:
    EndpointCall makeCall(std::string id, std::string method = "GET") const
    {
        EndpointCall call;
        call.id = RequestId(std::move(id));
        call.address = listener.address();
        call.method = std::move(method);
        call.target = "/x";
        return call;
    }

    HandlerPtr start(EndpointCall call)
    {
        auto handler = std::make_shared<RecordingHandler>();
        client->call(std::move(call), handler);
        return handler;
    }

    // Waits until the request with this id has come on the connection with this index.
    RawSocket &waitForRequest(std::size_t index, std::string_view id)
    {
        REQUIRE(loop.runUntil([&] {
            return listener.connections() > index;
        }));
        RawSocket &socket = listener.connection(index);
        const std::string field = "X-Request-Id: " + std::string(id) + "\r\n";
        REQUIRE(loop.runUntil([&] {
            return socket.hasReceived(field);
        }));
        return socket;
    }

    void waitForEnd(const HandlerPtr &handler)
    {
        REQUIRE(loop.runUntil([&] {
            return handler->isOver();
        }));
        CHECK(handler->completed + handler->failed == 1);
    }

    // Makes one call on a new connection, which is kept for the next one.
    void warmUp()
    {
        const HandlerPtr handler = start(makeCall("warm-up"));
        waitForRequest(0, "warm-up").send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        waitForEnd(handler);
        REQUIRE(handler->completed == 1);
    }

    TestLoop loop;
    Metrics metrics;
    SystemClock clock;
    RawListener listener;
    std::unique_ptr<EndpointClient> client = makeEndpointClient(loop.io(), clock, metrics);
};

} // namespace

TEST_CASE("a call sends its request once and delivers head and body")
{
    ClientFixture fixture;
    EndpointCall call = fixture.makeCall("r1", "POST");
    call.headers = {{"X-Kept", "1"},       {"Authorization", "Bearer k"},
                    {"TE", "trailers"},    {"Connection", "X-Named"},
                    {"X-Named", "2"},      {"X-Request-Id", "forged"},
                    {"X-Split", "a\r\nB"}, {"Proxy-Authorization", "k"}};
    call.body = "abc";
    const HandlerPtr handler = fixture.start(call);
    RawSocket &socket = fixture.waitForRequest(0, "r1");
    REQUIRE(fixture.loop.runUntil([&] {
        return socket.hasReceived("\r\n\r\nabc");
    }));
    CHECK(socket.received()
          == "POST /x HTTP/1.1\r\nHost: " + fixture.listener.address()
              + "\r\nX-Request-Id: r1\r\nX-Kept: 1\r\nContent-Length: 3\r\n\r\nabc");
    socket.send("HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\nKeep-Alive: 5\r\nX-A: b\r\n"
                "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    fixture.waitForEnd(handler);
    CHECK(handler->completed == 1);
    CHECK(handler->status == 201);
    CHECK(handler->body == "hello");
    REQUIRE(handler->headers.size() == 1);
    CHECK(handler->headers[0].name == "X-A");
}

TEST_CASE("the handler is never called from within call()")
{
    ClientFixture fixture;
    EndpointCall call = fixture.makeCall("r1");
    call.target = "/x HTTP/1.1\r\nInjected: 1";
    const HandlerPtr refused = fixture.start(call);
    CHECK(!refused->isOver());
    fixture.waitForEnd(refused);
    CHECK(refused->stage == SendStage::NotSent);
    CHECK(refused->error.kind == ErrorKind::InvalidArgument);
    fixture.listener.close();
    const HandlerPtr unreachable = fixture.start(fixture.makeCall("r2"));
    CHECK(!unreachable->isOver());
    fixture.waitForEnd(unreachable);
}

TEST_CASE("a refused connection counts as not sent")
{
    ClientFixture fixture;
    fixture.listener.close();
    const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
    fixture.waitForEnd(handler);
    CHECK(handler->failed == 1);
    CHECK(handler->stage == SendStage::NotSent);
    CHECK(handler->error.kind == ErrorKind::Unavailable);
}

TEST_CASE("a connection is kept for the next call")
{
    ClientFixture fixture;
    fixture.warmUp();
    const HandlerPtr handler = fixture.start(fixture.makeCall("r2"));
    fixture.waitForRequest(0, "r2").send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz");
    fixture.waitForEnd(handler);
    CHECK(handler->body == "z");
    CHECK(fixture.listener.connections() == 1);
}

TEST_CASE("an idle connection that the endpoint has closed is not used")
{
    ClientFixture fixture;
    fixture.warmUp();
    // The event loop has not run since the close, so only the check before reuse can detect it.
    fixture.listener.connection(0).close();
    const HandlerPtr handler = fixture.start(fixture.makeCall("r2"));
    fixture.waitForRequest(1, "r2").send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.waitForEnd(handler);
    CHECK(handler->completed == 1);
}

TEST_CASE("bytes that come on an idle connection are not the answer to the next call")
{
    ClientFixture fixture;
    fixture.warmUp();
    fixture.listener.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    const HandlerPtr handler = fixture.start(fixture.makeCall("r2"));
    fixture.waitForRequest(1, "r2").send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    fixture.waitForEnd(handler);
    CHECK(handler->body == "right");
}

TEST_CASE("bytes after the end of an answer close the connection")
{
    ClientFixture fixture;
    const HandlerPtr first = fixture.start(fixture.makeCall("r1"));
    fixture.waitForRequest(0, "r1").send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    fixture.waitForEnd(first);
    CHECK(first->body == "ok");
    const HandlerPtr second = fixture.start(fixture.makeCall("r2"));
    fixture.waitForRequest(1, "r2").send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    fixture.waitForEnd(second);
    CHECK(second->body == "right");
}

// An endpoint may write an answer once more, on the connection on which it wrote it first.
TEST_CASE("a repeated call is not sent on a connection that may have carried its id")
{
    ClientFixture fixture;
    constexpr const char *Refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const std::vector<HandlerPtr> earlier{fixture.start(fixture.makeCall("a")),
                                          fixture.start(fixture.makeCall("b"))};
    fixture.waitForRequest(0, "a").send(Refusal);
    fixture.waitForEnd(earlier[0]);
    fixture.waitForRequest(1, "b").send(Refusal);
    fixture.waitForEnd(earlier[1]);
    // The other idle connection is used before a new one.
    for (const std::size_t connection : {1, 0, 2}) {
        const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
        fixture.waitForRequest(connection, "r1").send(Refusal);
        fixture.waitForEnd(handler);
    }
}

// Guards against the copy of an answer to one call without an id that passes for that to another.
TEST_CASE("a call without an id that needs its own answer shares its connection with no other one")
{
    ClientFixture fixture;
    const auto exchange = [&fixture](const std::string &id, bool sendsNoId, bool needsOwnAnswer,
                                     std::size_t connection) {
        CAPTURE(id);
        EndpointCall call = fixture.makeCall(id);
        call.sendsNoId = sendsNoId;
        call.needsOwnAnswer = needsOwnAnswer;
        const HandlerPtr handler = fixture.start(std::move(call));
        fixture.waitForRequest(connection, id).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        fixture.waitForEnd(handler);
    };
    exchange("order-1", true, true, 0);
    exchange("report-1", true, false, 1);
    exchange("order-2", true, true, 2);
    exchange("report-2", true, false, 1);
    exchange("r1", false, false, 1);
    exchange("order-3", true, true, 3);
    exchange("r2", false, false, 3);
    CHECK(fixture.listener.connections() == 4);
}

// Guards against a caller that takes all connections of an endpoint by reusing one id.
TEST_CASE("repeated calls with one id leave few idle connections")
{
    ClientFixture fixture;
    constexpr std::size_t Calls = 20;
    for (std::size_t i = 0; i < Calls; ++i) {
        const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
        fixture.waitForRequest(i, "r1").send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        fixture.waitForEnd(handler);
    }
    std::size_t openCount = 0;
    for (std::size_t i = 0; i < Calls; ++i) {
        openCount += fixture.listener.connection(i).isClosed() ? 0 : 1;
    }
    CHECK(openCount <= 9);
}

// Guards against ids that a busy connection keeps without bound.
TEST_CASE("a connection is replaced after many calls")
{
    ClientFixture fixture;
    constexpr int MaxCalls = 1024;
    for (int i = 0; i < MaxCalls + 1; ++i) {
        const std::string id = "r" + std::to_string(i);
        const HandlerPtr handler = fixture.start(fixture.makeCall(id));
        RawSocket &socket = fixture.waitForRequest(i < MaxCalls ? 0 : 1, id);
        socket.clearReceived();
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        fixture.waitForEnd(handler);
    }
}

TEST_CASE("a reused connection closed after the request was written counts as maybe sent")
{
    ClientFixture fixture;
    fixture.warmUp();
    const HandlerPtr handler = fixture.start(fixture.makeCall("r2", "POST"));
    fixture.waitForRequest(0, "r2").close();
    fixture.waitForEnd(handler);
    CHECK(handler->failed == 1);
    CHECK(handler->stage == SendStage::MaybeSent);
    CHECK(handler->error.kind == ErrorKind::OutcomeUnknown);
}

TEST_CASE("an answer truncated before its length or its last chunk is a failure")
{
    for (const char *text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
          "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nContent-Le", ""}) {
        CAPTURE(text);
        ClientFixture fixture;
        const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
        RawSocket &socket = fixture.waitForRequest(0, "r1");
        socket.send(text);
        socket.close();
        fixture.waitForEnd(handler);
        CHECK(handler->failed == 1);
        CHECK(handler->stage == SendStage::MaybeSent);
        CHECK(handler->error.kind == ErrorKind::OutcomeUnknown);
    }
}

// An endpoint that stops in the middle of a head must not look like one whose answer has no body.
TEST_CASE("an answer that is cut at any byte of its head is a failure")
{
    const std::string heads[] = {
        "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Seal: s\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
        "chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n"};
    for (const std::string &head : heads) {
        for (const bool isKept : {false, true}) {
            ClientFixture fixture;
            for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
                CAPTURE(head.substr(0, bytes));
                CAPTURE(isKept);
                const std::size_t index = fixture.listener.connections();
                if (isKept) {
                    const HandlerPtr first = fixture.start(fixture.makeCall("first"));
                    fixture.waitForRequest(index, "first")
                        .send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    fixture.waitForEnd(first);
                }
                EndpointCall call = fixture.makeCall("r1");
                call.mayEndWithConnection = true;
                const HandlerPtr handler = fixture.start(std::move(call));
                RawSocket &socket = fixture.waitForRequest(index, "r1");
                socket.send(head.substr(0, bytes));
                socket.close();
                fixture.waitForEnd(handler);
                REQUIRE(handler->failed == 1);
                CHECK(handler->status == 0);
                CHECK(handler->stage == SendStage::MaybeSent);
            }
        }
    }
}

// The write took the reset, and the read behind it ended like after a clean close, so that a part
// of an answer counted as a whole one.
TEST_CASE("a reset while the request is being sent ends only answers that state their end")
{
    const std::pair<std::string, bool> answers[] = {
        {"\r\npart", false},
        {"Content-Length: 4\r\n\r\npart", true},
        {"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
        {"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", true}};
    for (const auto &it : answers) {
        const std::string &answer = it.first;
        CAPTURE(answer);
        ClientFixture fixture;
        EndpointCall call = fixture.makeCall("r1", "POST");
        call.body.assign(16'000'000, 'x');
        call.mayEndWithConnection = true;
        const HandlerPtr handler = fixture.start(std::move(call));
        RawSocket &socket = fixture.waitForRequest(0, "r1");
        socket.send("HTTP/1.1 200 OK\r\n" + answer);
        socket.reset();
        fixture.waitForEnd(handler);
        CHECK(handler->completed == (it.second ? 1 : 0));
        CHECK(handler->body == "part");
    }
}

TEST_CASE("an answer without a known status, or with two lengths, is refused")
{
    for (const char *text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\n",
          "HTTP/1.1 999 No\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 099 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "SMTP ready\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        CAPTURE(text);
        ClientFixture fixture;
        const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
        fixture.waitForRequest(0, "r1").send(text);
        fixture.waitForEnd(handler);
        CHECK(handler->error.kind == ErrorKind::Malformed);
        CHECK(handler->stage == SendStage::MaybeSent);
    }
}

TEST_CASE("an answer that comes after the timeout never reaches the next call")
{
    ClientFixture fixture;
    fixture.warmUp();
    EndpointCall call = fixture.makeCall("r2");
    call.timeout = 20ms;
    const HandlerPtr late = fixture.start(call);
    RawSocket &socket = fixture.waitForRequest(0, "r2");
    fixture.waitForEnd(late);
    CHECK(late->error.kind == ErrorKind::Timeout);
    CHECK(late->stage == SendStage::MaybeSent);
    const HandlerPtr next = fixture.start(fixture.makeCall("r3"));
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    RawSocket &other = fixture.waitForRequest(1, "r3");
    fixture.loop.settle();
    CHECK(!next->isOver());
    other.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine");
    fixture.waitForEnd(next);
    CHECK(next->body == "mine");
    CHECK(late->failed == 1);
    CHECK(socket.isClosed());
}

TEST_CASE("a connection that carries no byte is abandoned before the timeout of the call")
{
    ClientFixture fixture;
    EndpointCall call = fixture.makeCall("r1");
    call.timeout = 1h;
    call.idleTimeout = 20ms;
    const HandlerPtr handler = fixture.start(call);
    RawSocket &socket = fixture.waitForRequest(0, "r1");
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    fixture.waitForEnd(handler);
    CHECK(handler->error.kind == ErrorKind::Timeout);
    CHECK(handler->body == "half");
    CHECK(fixture.loop.runUntil([&] {
        return socket.isClosed();
    }));
}

TEST_CASE("the timeout ends a call whose answer arrives slowly without end")
{
    ClientFixture fixture;
    EndpointCall call = fixture.makeCall("r1");
    call.timeout = 50ms;
    call.idleTimeout = 1h;
    const HandlerPtr handler = fixture.start(call);
    RawSocket &socket = fixture.waitForRequest(0, "r1");
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n");
    REQUIRE(fixture.loop.runUntil([&] {
        socket.send("x");
        return handler->isOver();
    }));
    CHECK(handler->error.kind == ErrorKind::Timeout);
}

TEST_CASE("cancel() closes the connection and its handler is not called again")
{
    ClientFixture fixture;
    const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
    RawSocket &socket = fixture.waitForRequest(0, "r1");
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    REQUIRE(fixture.loop.runUntil([&] {
        return handler->body == "half";
    }));
    fixture.client->cancel(RequestId("r1"));
    socket.send("-again");
    fixture.loop.settle();
    CHECK(!handler->isOver());
    CHECK(handler->body == "half");
    CHECK(socket.isClosed());
    const HandlerPtr next = fixture.start(fixture.makeCall("r2"));
    fixture.waitForRequest(1, "r2").send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.waitForEnd(next);
}

// An abandoned order must not reach the engine after a zone partition heals, when orders of the
// next holder have already arrived.
TEST_CASE("an abandoned call resets its connection, so that no queued data is delivered later")
{
    ClientFixture fixture;
    const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
    RawSocket &socket = fixture.waitForRequest(0, "r1");
    fixture.client->cancel(RequestId("r1"));
    fixture.loop.settle();
    CHECK(!handler->isOver());
    CHECK(socket.isReset());
}

TEST_CASE("cancel() from within the handler is safe")
{
    ClientFixture fixture;
    const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
    handler->onBody = [&] {
        fixture.client->cancel(RequestId("r1"));
    };
    fixture.waitForRequest(0, "r1").send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    REQUIRE(fixture.loop.runUntil([&] {
        return handler->body == "body";
    }));
    fixture.loop.settle();
    CHECK(!handler->isOver());
}

TEST_CASE("a connection answered before its request is fully written is not reused")
{
    ClientFixture fixture;
    EndpointCall call = fixture.makeCall("r1", "POST");
    call.body.assign(std::size_t{32} << 20, 'b');
    const HandlerPtr handler = fixture.start(call);
    REQUIRE(fixture.loop.runUntil([&] {
        return fixture.listener.connections() == 1;
    }));
    fixture.loop.settle();
    fixture.listener.connection(0).send("HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n");
    fixture.waitForEnd(handler);
    CHECK(handler->completed == 1);
    CHECK(handler->status == 413);
    const HandlerPtr next = fixture.start(fixture.makeCall("r2"));
    fixture.waitForRequest(1, "r2").send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.waitForEnd(next);
}

TEST_CASE("an interim answer is skipped")
{
    ClientFixture fixture;
    const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
    fixture.waitForRequest(0, "r1").send(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    fixture.waitForEnd(handler);
    CHECK(handler->status == 200);
    CHECK(handler->body == "ok");
}

// Guards against an answer of which a part is taken for the body of the answer that is skipped.
TEST_CASE("the answer to a HEAD request that is written again does not hide the next answer")
{
    ClientFixture fixture;
    const std::string copied = "HTTP/1.1 200 OK\r\nX-Echo: r1\r\nContent-Length: 20\r\n\r\n";
    EndpointCall head = fixture.makeCall("r1", "HEAD");
    head.echoField = "X-Echo";
    const HandlerPtr first = fixture.start(std::move(head));
    RawSocket &old = fixture.waitForRequest(0, "r1");
    old.send(copied);
    fixture.waitForEnd(first);
    EndpointCall get = fixture.makeCall("r2");
    get.echoField = "X-Echo";
    const HandlerPtr second = fixture.start(std::move(get));
    REQUIRE(fixture.loop.runUntil([&] {
        return old.hasReceived("X-Request-Id: r2\r\n") || fixture.listener.connections() > 1;
    }));
    old.send(copied);
    RawSocket &current = fixture.listener.connection(fixture.listener.connections() - 1);
    current.send("HTTP/1.1 200 OK\r\nX-Echo: r2\r\nContent-Length: 2\r\n\r\nok");
    fixture.waitForEnd(second);
    CHECK(second->completed == 1);
    CHECK(second->body == "ok");
}

TEST_CASE("an answer received byte by byte is whole")
{
    ClientFixture fixture;
    const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
    RawSocket &socket = fixture.waitForRequest(0, "r1");
    for (const char c : std::string_view("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                         "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n")) {
        socket.send(std::string_view(&c, 1));
        fixture.loop.io().restart();
        fixture.loop.io().run_one_for(5ms);
    }
    fixture.waitForEnd(handler);
    CHECK(handler->completed == 1);
    CHECK(handler->body == "abcde");
}

TEST_CASE("concurrent calls use connections of their own and get their own answers")
{
    ClientFixture fixture;
    const HandlerPtr first = fixture.start(fixture.makeCall("r1"));
    const HandlerPtr second = fixture.start(fixture.makeCall("r2"));
    REQUIRE(fixture.loop.runUntil([&] {
        return fixture.listener.connections() == 2;
    }));
    RawSocket &one = fixture.waitForRequest(0, "r1");
    RawSocket &two = fixture.waitForRequest(1, "r2");
    two.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
    one.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    fixture.waitForEnd(first);
    fixture.waitForEnd(second);
    CHECK(first->body == "1");
    CHECK(second->body == "2");
}

TEST_CASE("idle connections are closed after the keep-alive timeout")
{
    ClientFixture fixture;
    fixture.warmUp();
    CHECK(fixture.loop.runUntil([&] {
        return fixture.listener.connection(0).isClosed();
    }));
}

TEST_CASE("idle connections to an address are closed on request, and those in use stay open")
{
    ClientFixture fixture;
    const HandlerPtr first = fixture.start(fixture.makeCall("r1"));
    const HandlerPtr second = fixture.start(fixture.makeCall("r2"));
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    fixture.waitForRequest(0, "r1").send(answer);
    fixture.waitForEnd(first);
    RawSocket &inUse = fixture.waitForRequest(1, "r2");
    fixture.client->closeIdle("127.0.0.1:1");
    fixture.loop.settle();
    CHECK_FALSE(fixture.listener.connection(0).isClosed());
    fixture.client->closeIdle(fixture.makeCall("r3").address);
    CHECK(fixture.loop.runUntil([&] {
        return fixture.listener.connection(0).isClosed();
    }));
    inUse.send(answer);
    fixture.waitForEnd(second);
    CHECK(second->completed == 1);
}

TEST_CASE("destroying the client closes its connections without calling handlers")
{
    ClientFixture fixture;
    const HandlerPtr handler = fixture.start(fixture.makeCall("r1"));
    RawSocket &socket = fixture.waitForRequest(0, "r1");
    fixture.client.reset();
    fixture.loop.settle();
    CHECK(!handler->isOver());
    CHECK(socket.isClosed());
}
