// Endpoints in trouble that send bytes without end, in the head or the body of an answer.
#include "Harness.h"
#include "support/EndlessServer.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

class CountingHandler final : public EndpointCallHandler
{
public:
    void onHead(int /*status*/, gsl::span<const HeaderField> /*headers*/) override { ++heads; }
    void onData(std::string_view bytes) override { bodyBytes += bytes.size(); }
    void onComplete() override { ended = true; }
    void onFailure(SendStage newStage, Error newError) override
    {
        ended = true;
        failed = true;
        stage = newStage;
        error = std::move(newError);
    }

    int heads = 0;
    std::size_t bodyBytes = 0;
    bool ended = false;
    bool failed = false;
    SendStage stage = SendStage::NotSent;
    Error error;
};

class EndlessFixture
{
public:
    // Calls a server that answers with these bytes, and waits for the end of the call.
    std::shared_ptr<CountingHandler> call(const std::string &prefix, const std::string &filler,
                                          std::size_t maxAnswerBytes)
    {
        EndlessServer server(
            loop.io(),
            [&prefix](const std::string &) {
                return prefix;
            },
            filler);
        EndpointCall call;
        call.id = RequestId("r1");
        call.address = server.address();
        call.method = "POST";
        call.target = "/x";
        call.host = "h";
        call.echoField = "X-Echo";
        call.timeout = 50s;
        call.maxAnswerBytes = maxAnswerBytes;
        call.mayEndWithConnection = true;
        auto handler = std::make_shared<CountingHandler>();
        client->call(std::move(call), handler);
        REQUIRE(loop.runUntil([&handler] {
            return handler->ended;
        }));
        // The server notices that the connection is closed.
        REQUIRE(loop.runUntil([&server] {
            return server.open == 0;
        }));
        CHECK(server.connections == 1);
        return handler;
    }

    TestLoop loop;
    Metrics metrics;
    SystemClock clock;
    std::unique_ptr<EndpointClient> client = makeEndpointClient(loop.io(), clock, metrics);
};

const std::string OwnHead = "HTTP/1.1 200 OK\r\nX-Echo: r1\r\n";
const std::string OwnChunkedHead = OwnHead + "Transfer-Encoding: chunked\r\n";
const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
const std::string Chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";

} // namespace

TEST_CASE_FIXTURE(EndlessFixture, "a head without end fails the call and closes the connection")
{
    for (const std::string &prefix : {std::string(), std::string("HTTP/1.1 200 OK\r\n"),
                                      std::string("HTTP/1.1 200 OK\r\nX: ")}) {
        for (const std::string &filler :
             {std::string(8192, 'x'), std::string("X-Field: value\r\n"), std::string(512, '\0')}) {
            const auto handler = call(prefix, filler, 0);
            CHECK(handler->failed);
            CHECK(handler->heads == 0);
            // The endpoint has received the request, so it may have run.
            CHECK(handler->stage == SendStage::MaybeSent);
            CHECK(handler->error.kind == ErrorKind::Malformed);
        }
    }
}

TEST_CASE_FIXTURE(EndlessFixture, "interim answers without end fail the call")
{
    const auto handler = call("", "HTTP/1.1 100 Continue\r\n\r\n", 0);
    CHECK(handler->failed);
    CHECK(handler->heads == 0);
}

TEST_CASE_FIXTURE(EndlessFixture, "a body without end fails the call at its limit")
{
    constexpr std::size_t Limit = 100'000;
    // Read in pieces of at most 64 KiB.
    constexpr std::size_t OnePiece = 65'536;
    for (const std::string &prefix : {OwnChunkedHead + "\r\n", OwnHead + "\r\n",
                                      OwnHead + "Content-Length: 100000000000\r\n\r\n"}) {
        const auto handler = call(prefix, Chunk, Limit);
        CHECK(handler->failed);
        CHECK(handler->heads == 1);
        CHECK(handler->bodyBytes <= Limit + OnePiece);
        CHECK(handler->error.kind == ErrorKind::Malformed);
    }
}

TEST_CASE_FIXTURE(EndlessFixture, "a chunk header or trailer without end fails the call")
{
    for (const std::string &prefix :
         {OwnChunkedHead + "\r\n10;", OwnChunkedHead + "\r\n0\r\nX-Trailer: "}) {
        const auto handler = call(prefix, std::string(4096, 'y'), 0);
        CHECK(handler->failed);
        CHECK(handler->bodyBytes == 0);
    }
}

// An answer to another request is skipped, as the awaited one may follow it.
TEST_CASE_FIXTURE(EndlessFixture, "answers to other requests without end fail the call")
{
    const std::string small = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    for (const auto &[prefix, filler] :
         {std::pair{ChunkedHead + "X-Echo: other\r\n\r\n", Chunk},
          std::pair{ChunkedHead + "\r\n", Chunk}, std::pair{small, small}}) {
        const auto handler = call(prefix, filler, 0);
        CHECK(handler->failed);
        CHECK(handler->stage == SendStage::MaybeSent);
        CHECK(handler->heads == 0);
        CHECK(handler->bodyBytes == 0);
    }
}
