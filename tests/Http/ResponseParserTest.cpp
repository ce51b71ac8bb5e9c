#include "marigoldspool/Http/ResponseParser.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::string_literals;

namespace {

// Feeds the text in parts of \p partBytes, as a connection does, until it ends or is refused.
std::string problemOf(ResponseParser &parser, const std::string &text, std::size_t partBytes)
{
    std::string problem;
    std::string unparsed;
    for (std::size_t i = 0; i < text.size() && problem.empty() && !parser.isDone();
         i += partBytes) {
        unparsed.append(text, i, partBytes);
        unparsed.erase(0, parser.feed(unparsed, problem));
    }
    return problem;
}

void checkRefused(const std::string &text)
{
    for (const std::size_t partBytes : {text.size(), std::size_t{1}, std::size_t{7}}) {
        CAPTURE(text);
        CAPTURE(partBytes);
        ResponseParser parser(false);
        CHECK_FALSE(problemOf(parser, text, partBytes).empty());
        CHECK_FALSE(parser.isHeadDone());
    }
}

const std::string Length = "Content-Length: 2\r\n";

// Places the fields in the final head, before and behind its length, and in and behind an interim
// one.
void checkFieldsRefused(const std::string &fields)
{
    checkRefused("HTTP/1.1 200 OK\r\n" + fields + Length + "\r\nab");
    checkRefused("HTTP/1.1 200 OK\r\n" + Length + fields + "\r\nab");
    checkRefused("HTTP/1.1 103 Early Hints\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + Length
                 + "\r\nab");
    checkRefused("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + Length + "\r\nab");
}

} // namespace

TEST_CASE("an answer without a status of RFC 9110 is refused")
{
    for (const char *status : {"000", "001", "099", "600", "999", "1000", "20", "2 0", "", "-20",
                               "+20", "0x2", "2OO", "\x01"}) {
        checkRefused("HTTP/1.1 "s + status + " Trouble\r\n" + Length + "\r\nab");
    }
}

TEST_CASE("an answer with a field name that is no token is refused, in any of its heads")
{
    for (const std::string &name :
         {"X A"s, "X-A "s, "X-A\t"s, "X\tA"s, "X\x01"s, "\x01X"s, "X\0"s, "X\x7f"s, "X\x80"s,
          "X\x0b"s, "X\x1b[0m"s, "X\r"s, "X\n"s, ""s, "X(A)"s, "Content Length"s,
          "Content-Length "s, "Transfer-Encoding "s, "Content-\x01Length"s}) {
        checkFieldsRefused(name + ": 2\r\n");
    }
    checkRefused("HTTP/1.1 200 OK\r\n X-A: 1\r\n" + Length + "\r\nab");
    checkRefused("HTTP/1.1 200 OK\r\nno colon\r\n" + Length + "\r\nab");
}

// Beast takes such a line for the rest of the value before it, so a length or an encoding in it had
// no effect, and the line was passed on in that value.
TEST_CASE("an answer with a folded line is refused, in any of its heads")
{
    for (const char *fields :
         {"X-A: 1\r\n X-B: 1\r\n", "X-A: 1\r\n\tX-B: 1\r\n", "X-A: 1\r\n \r\n", "X-A:\r\n 1\r\n",
          "X-A: 1\r\n Content-Length: 1\r\n", "X-A: 1\r\n Transfer-Encoding: chunked\r\n"}) {
        checkFieldsRefused(fields);
    }
    checkRefused("HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\nab");
    checkRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n");
}

// Guards against a reader that waits for a body of which it already knows that it is too long.
TEST_CASE("a body above the limit is refused, and with its head if that states the length")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const std::string text : {"Content-Length: 4\r\n\r\n", "Content-Length: 4\r\n\r\nabcd",
                                   "Transfer-Encoding: chunked\r\n\r\n4\r\n", "\r\nabcd"}) {
        CAPTURE(text);
        ResponseParser parser(false, 3);
        CHECK_FALSE(problemOf(parser, head + text, 100).empty());
    }
    ResponseParser parser(false, 3);
    CHECK(problemOf(parser, head + "Content-Length: 3\r\n\r\nabc", 100).empty());
    CHECK(parser.isDone());
}

// Lines of a body may begin with a blank.
TEST_CASE("a body is read whatever its lines begin with")
{
    for (const std::size_t partBytes : {100, 1, 7}) {
        CAPTURE(partBytes);
        ResponseParser parser(false);
        CHECK(problemOf(parser,
                        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
                        "Content-Length: 6\r\n\r\n x\r\n y",
                        partBytes)
                  .empty());
        CHECK(parser.isDone());
    }
}

// Beast asserts that a last chunk has five bytes when it is read on, so this ended the process.
TEST_CASE("an empty body in chunks is read however its bytes come")
{
    for (const std::string &body : {"0\r\n\r\n"s, "0\r\nX-T: 1\r\n\r\n"s, "0;x=y\r\n\r\n"s,
                                    "00\r\n\r\n"s, "0a\r\n0123456789\r\n0\r\n\r\n"s}) {
        for (const std::size_t partBytes : {100, 1, 2, 3, 4}) {
            CAPTURE(body);
            CAPTURE(partBytes);
            ResponseParser parser(false);
            CHECK(problemOf(parser, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
                            partBytes)
                      .empty());
            CHECK(parser.isDone());
        }
    }
}
