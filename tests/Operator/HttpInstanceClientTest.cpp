#include "marigoldspool/Operator/InstanceClient.h"

#include <array>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

using boost::asio::ip::tcp;

// Accepts one connection, reads the request and sends fixed bytes.
struct Fixture {
    boost::asio::io_context io;
    tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket socket{io};
    std::array<char, 4096> buf{};
    std::string request;
    std::string answer;
    std::unique_ptr<InstanceClient> client = makeHttpInstanceClient(io);

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    void serve(std::string bytes, bool closes)
    {
        answer = std::move(bytes);
        acceptor.async_accept(socket, [this, closes](boost::system::error_code accepted) {
            REQUIRE_FALSE(accepted);
            socket.async_read_some(boost::asio::buffer(buf),
                                   [this, closes](boost::system::error_code, std::size_t n) {
                                       request.assign(buf.data(), n);
                                       reply(closes);
                                   });
        });
    }

    void reply(bool closes)
    {
        boost::asio::async_write(socket, boost::asio::buffer(answer),
                                 [this, closes](boost::system::error_code, std::size_t) {
                                     if (closes) {
                                         socket.close();
                                     }
                                 });
    }

    Expected<InstanceResponse> ask(const std::string &where, Duration timeout)
    {
        std::optional<Expected<InstanceResponse>> result;
        client->get(where, "/status?x=1", timeout, [&](Expected<InstanceResponse> value) {
            CHECK_FALSE(result.has_value());
            result = std::move(value);
        });
        CHECK_FALSE(result.has_value());
        while (!result && io.run_one() > 0) {
        }
        REQUIRE(result.has_value());
        return *result;
    }
};

constexpr Duration LongTimeout = std::chrono::seconds(60);

} // namespace

TEST_CASE_FIXTURE(Fixture, "responses with a length and in chunks both arrive complete")
{
    serve("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false);
    Expected<InstanceResponse> result = ask(address(), LongTimeout);
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(result->body == "hello");
    CHECK(request.substr(0, 26) == "GET /status?x=1 HTTP/1.1\r\n");
    socket.close();
    serve("HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", true);
    result = ask(address(), LongTimeout);
    REQUIRE(result);
    CHECK(result->status == 404);
    CHECK(result->body == "no");
}

TEST_CASE_FIXTURE(Fixture,
                  "a truncated response and one that is not HTTP are errors, not empty pages")
{
    serve("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", true);
    CHECK(ask(address(), LongTimeout).error().kind == ErrorKind::Malformed);
    serve("SSH-2.0-x\r\n", true);
    CHECK(ask(address(), LongTimeout).error().kind == ErrorKind::Malformed);
}

// The commands take no page but that of a response with status 200.
TEST_CASE_FIXTURE(Fixture, "a response with a broken head is no page")
{
    for (const std::string head :
         {"000 Trouble\r\n", "099 Trouble\r\n", "600 Trouble\r\n", "200 OK\r\nX A: 1\r\n",
          "200 OK\r\nX\x01-A: 1\r\n", "200 OK\r\nContent Length: 5\r\n"}) {
        CAPTURE(head);
        serve("HTTP/1.1 " + head + "Content-Length: 5\r\n\r\nhello", true);
        const Expected<InstanceResponse> result = ask(address(), LongTimeout);
        CHECK((!result || result->status != 200));
        CHECK((result || result.error().kind == ErrorKind::Malformed));
    }
}

TEST_CASE_FIXTURE(Fixture, "an instance that accepts but never answers does not hang the command")
{
    serve("", false);
    CHECK(ask(address(), std::chrono::milliseconds(50)).error().kind == ErrorKind::Timeout);
}

TEST_CASE_FIXTURE(Fixture, "an unreachable instance and an invalid address give different errors")
{
    const std::string gone = address();
    acceptor.close();
    CHECK(ask(gone, LongTimeout).error().kind == ErrorKind::Unavailable);
    CHECK(ask("localhost:1", LongTimeout).error().kind == ErrorKind::InvalidArgument);
}
