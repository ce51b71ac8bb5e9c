#include "Harness.h"

#include "marigoldspool/Gateway/OpenAi.h"

#include <nlohmann/json.hpp>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

// A server whose handler counts the requests that reach it.
class StrictServer
{
public:
    explicit StrictServer(HttpServerOptions options = {})
    {
        auto handler = [this](HttpRequest request, std::shared_ptr<ResponseSink> sink) {
            ++handled;
            sink->head(200, {}, false);
            sink->data(request.body);
            sink->finish();
        };
        server = std::move(*makeHttpServer(loop.io(), std::move(options), handler, metrics));
    }

    RawSocket connect() { return RawSocket::connectTo(server->port()); }

    // Checks the JSON error, the counters and that the connection closes in order.
    void expectRefusal(RawSocket &caller, int status, const std::string &code)
    {
        REQUIRE(loop.runUntil([&] {
            return caller.isClosed();
        }));
        CHECK(!caller.isReset());
        const std::string &text = caller.received();
        const std::string start = "HTTP/1.1 " + std::to_string(status) + " ";
        CHECK(text.substr(0, start.size()) == start);
        const std::size_t body = text.find("\r\n\r\n");
        REQUIRE(body != std::string::npos);
        const auto error = nlohmann::json::parse(text.substr(body + 4)).at("error");
        CHECK(error.at("code") == code);
        CHECK(error.at("ran") == "no");
        CHECK(!error.at("message").get<std::string>().empty());
        CHECK(!error.at("remedy").get<std::string>().empty());
        CHECK(metrics.counterValue("marigoldspool_refusals_total", {{"reason", code}}) == 1);
        CHECK(metrics.counterValue("marigoldspool_http_rejected_total",
                                   {{"status", std::to_string(status)}})
              == 1);
        CHECK(handled == 0);
    }

    TestLoop loop;
    Metrics metrics;
    int handled = 0;
    std::unique_ptr<HttpServer> server;
};

std::string post(std::string_view fields, std::string_view rest)
{
    return "POST /a HTTP/1.1\r\nHost: x\r\n" + std::string(fields) + "\r\n" + std::string(rest);
}

} // namespace

TEST_CASE("a body whose length can be read in two ways is refused (request smuggling)")
{
    for (const char *fields :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: 3, 3\r\n",
          "Content-Length: +3\r\n", "Content-Length: 0x3\r\n", "Content-Length: -1\r\n",
          "Content-Length:\r\n", "Content-Length: 99999999999999999999999\r\n",
          "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
          "Transfer-Encoding: xchunked\r\n",
          "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding:\tchunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding : chunked\r\n", "Content-Length : 3\r\n",
          "Transfer-Encoding:\r\n chunked\r\n"}) {
        CAPTURE(fields);
        StrictServer server;
        RawSocket caller = server.connect();
        caller.send(post(fields, "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"));
        server.expectRefusal(caller, 400, "malformed");
    }
}

TEST_CASE("heads with bare CR or LF, folded lines or control bytes are refused")
{
    using namespace std::string_literals;
    for (const std::string &text :
         {"GET /a HTTP/1.1\nHost: x\n\n"s, "GET /a HTTP/1.1\r\nHost: x\nX-A: b\r\n\r\n"s,
          "GET /a HTTP/1.1\r\nHost: x\rX-A: b\r\n\r\n"s,
          "GET /a HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n"s,
          "GET /a HTTP/1.1\r\nHost: x\r\nX-A: \0\r\n\r\n"s,
          "GET /a HTTP/1.1\r\nHost: x\r\nX-A\r\n\r\n"s, "GET  /a HTTP/1.1\r\nHost: x\r\n\r\n"s,
          "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n"s, "GET /a HTTP/3.0\r\nHost: x\r\n\r\n"s,
          "GET /a\r\n\r\n"s, "\x16\x03\x01\r\n\r\n"s, "GET /a HTTP/1.1\r\n: x\r\n\r\n"s}) {
        CAPTURE(text);
        StrictServer server;
        RawSocket caller = server.connect();
        caller.send(text);
        server.expectRefusal(caller, 400, "malformed");
    }
}

TEST_CASE("requests without one Host, or whose target is no path, are refused")
{
    for (const char *text :
         {"GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
          "GET http://other/ HTTP/1.1\r\nHost: x\r\n\r\n",
          "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
          "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
        CAPTURE(text);
        StrictServer server;
        RawSocket caller = server.connect();
        caller.send(text);
        server.expectRefusal(caller, 400, "malformed");
    }
}

TEST_CASE("a path that an endpoint could resolve to another route is refused")
{
    for (const char *target :
         {"/open/../pickups", "/open/..", "/open/.", "/open/%2e%2E/pickups", "/open/.%2e/pickups",
          "/open/..%2fpickups", "/open\\..\\pickups", "/open/..?a", "/open#/pickups"}) {
        CAPTURE(target);
        StrictServer server;
        RawSocket caller = server.connect();
        caller.send(std::string("GET ") + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        server.expectRefusal(caller, 400, "malformed");
    }
    for (const char *target : {"/a..b/.c/..d", "/a?x=../..", "/a%", "/a%zz/%2"}) {
        CAPTURE(target);
        StrictServer server;
        RawSocket caller = server.connect();
        caller.send(std::string("GET ") + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(server.loop.runUntil([&] {
            return server.handled == 1;
        }));
    }
}

TEST_CASE("malformed chunks are refused")
{
    for (const char *chunks : {"zz\r\n", "3\nabc", "3\r\nabcX\r\n", "-1\r\n", "3 \r\nabc\r\n",
                               "fffffffffffffffff\r\n", "0\r\nContent-Length: 3\r\n\r\n"}) {
        CAPTURE(chunks);
        StrictServer server;
        RawSocket caller = server.connect();
        caller.send(post("Transfer-Encoding: chunked\r\n", std::string(chunks) + "\r\n\r\n"));
        server.expectRefusal(caller, 400, "malformed");
    }
}

TEST_CASE("a head above the limit is refused, whether it comes whole or not")
{
    HttpServerOptions options;
    options.maxHeaderBytes = 1024;
    for (const char *end : {"", "\r\n\r\n"}) {
        StrictServer server(options);
        RawSocket caller = server.connect();
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\nX-A: " + std::string(4000, 'a') + end);
        server.expectRefusal(caller, 431, "malformed");
    }
    StrictServer server(options);
    RawSocket caller = server.connect();
    caller.send(post("Transfer-Encoding: chunked\r\n", "1;e=" + std::string(4000, 'a')));
    server.expectRefusal(caller, 431, "malformed");
}

TEST_CASE("a body above the limit is refused before it is read, with a length and in chunks")
{
    HttpServerOptions options;
    options.maxBodyBytes = 100;
    for (const std::string &text :
         {post("Content-Length: 101\r\n", ""), post("Content-Length: 99999999\r\n", "begin"),
          post("Transfer-Encoding: chunked\r\n", "65\r\n"),
          post("Transfer-Encoding: chunked\r\n",
               "60\r\n" + std::string(96, 'a') + "\r\n5\r\nabcde\r\n0\r\n\r\n")}) {
        CAPTURE(text);
        StrictServer server(options);
        RawSocket caller = server.connect();
        caller.send(text);
        server.expectRefusal(caller, 413, "body_too_large");
    }
    StrictServer server(options);
    RawSocket caller = server.connect();
    caller.send(post("Content-Length: 100\r\n", std::string(100, 'a')));
    CHECK(server.loop.runUntil([&] {
        return server.handled == 1;
    }));
}

TEST_CASE("the refusal of a body that is still being sent reaches its sender")
{
    StrictServer server;
    RawSocket caller = server.connect();
    caller.send(post("Content-Length: 3000000\r\n", std::string(100'000, 'a')));
    server.loop.settle();
    caller.send(std::string(100'000, 'a'));
    server.expectRefusal(caller, 413, "body_too_large");
}

TEST_CASE("a caller that sends too slowly is answered with 408, in the head and in the body")
{
    HttpServerOptions options;
    options.readTimeout = 50ms;
    for (const std::string &text :
         {std::string("GET /a HTT"), post("Content-Length: 10\r\n", "part"),
          post("Transfer-Encoding: chunked\r\n", "3\r\nab")}) {
        CAPTURE(text);
        StrictServer server(options);
        RawSocket caller = server.connect();
        caller.send(text);
        server.expectRefusal(caller, 408, "malformed");
    }
}

TEST_CASE("sending a byte now and then does not extend the time to send")
{
    HttpServerOptions options;
    options.readTimeout = 100ms;
    StrictServer server(options);
    RawSocket caller = server.connect();
    caller.send(post("Content-Length: 1000000\r\n", ""));
    REQUIRE(server.loop.runUntil([&] {
        caller.send("x");
        return caller.hasReceived("HTTP/1.1 408");
    }));
    CHECK(server.handled == 0);
}

TEST_CASE("a connection without a request is closed after the idle time, without an answer")
{
    HttpServerOptions options;
    options.idleTimeout = 50ms;
    StrictServer server(options);
    RawSocket caller = server.connect();
    CHECK(server.loop.runUntil([&] {
        return caller.isClosed();
    }));
    CHECK(caller.received().empty());
}

TEST_CASE("a caller that does not read its answer does not hold its connection for ever")
{
    HttpServerOptions options;
    options.idleTimeout = 100ms;
    options.readTimeout = 20ms;
    TestLoop loop;
    Metrics metrics;
    std::shared_ptr<ResponseSink> kept;
    const auto server = makeHttpServer(
        loop.io(), options,
        [&](HttpRequest, std::shared_ptr<ResponseSink> sink) {
            kept = std::move(sink);
        },
        metrics);
    REQUIRE(server);
    RawSocket caller = RawSocket::connectTo((*server)->port(), 4096);
    caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(loop.runUntil([&] {
        return kept != nullptr;
    }));
    bool gone = false;
    kept->onCallerGone([&] {
        gone = true;
    });
    kept->head(200, {}, true);
    kept->data(std::string(std::size_t{32} << 20, 'x'));
    CHECK(loop.runUntil([&] {
        return gone;
    }));
    CHECK((*server)->openRequests() == 0);
}

TEST_CASE("connections beyond the limit are answered with 503, and a free place is used again")
{
    HttpServerOptions options;
    options.maxConnections = 1;
    StrictServer server(options);
    RawSocket first = server.connect();
    server.loop.settle();
    RawSocket second = server.connect();
    server.expectRefusal(second, 503, "no_capacity");
    first.close();
    server.loop.settle();
    RawSocket third = server.connect();
    third.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(server.loop.runUntil([&] {
        return third.hasReceived("HTTP/1.1 200");
    }));
}
