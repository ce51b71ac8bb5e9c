#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Gateway/SseScanner.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

TEST_CASE("model, stream, token limit and prompt size are read from a chat request")
{
    const auto request = parseModelRequest(
        R"({"model":"m-1","stream":true,"max_tokens":7,"messages":[{"role":"user",)"
        R"("content":"12345678"},{"role":"user","content":[{"type":"text","text":"abcd"}]}]})");
    REQUIRE(request);
    CHECK(request->model == ModelName("m-1"));
    CHECK(request->stream);
    CHECK(request->maxTokens == 7);
    // Roles and part types count too.
    CHECK(request->promptBytes == 8 + 4 + 4 + 4 + 4);
}

TEST_CASE("max_completion_tokens takes precedence, and token ids count as tokens")
{
    const auto request = parseModelRequest(
        R"({"max_completion_tokens":5,"max_tokens":9,"prompt":[1,2,3],"model":"m"})");
    REQUIRE(request);
    CHECK(request->maxTokens == 5);
    CHECK(!request->stream);
    CHECK(request->promptBytes == 12);
}

TEST_CASE("null stands for a field that is not given")
{
    const auto request =
        parseModelRequest(R"({"model":"m","prompt":"a","max_tokens":null,"stream":null})");
    REQUIRE(request);
    CHECK(!request->maxTokens);
}

TEST_CASE("wrong types and values are typed errors with a remedy")
{
    for (const char *body :
         {R"({"prompt":"a"})", R"({"model":"","prompt":"a"})", R"({"model":7,"prompt":"a"})",
          R"({"model":null,"prompt":"a"})", R"({"model":["m"],"prompt":"a"})",
          R"({"model":{"a":"m"},"prompt":"a"})", R"({"model":"m"})",
          R"({"model":"m","prompt":"a","max_tokens":0})",
          R"({"model":"m","prompt":"a","max_tokens":-1})",
          R"({"model":"m","prompt":"a","max_tokens":1.5})",
          R"({"model":"m","prompt":"a","max_tokens":"9"})",
          R"({"model":"m","prompt":"a","max_completion_tokens":[1]})",
          R"({"model":"m","prompt":"a","stream":"yes"})",
          R"({"model":"m","prompt":"a","stream":1})"}) {
        const auto request = parseModelRequest(body);
        REQUIRE_MESSAGE(!request, body);
        CHECK(request.error().kind == ErrorKind::InvalidArgument);
        CHECK(!request.error().remedy.empty());
    }
}

TEST_CASE("bodies that are no JSON object, or that readers may understand differently, fail")
{
    const std::string deep(100'000, '[');
    for (const std::string &body :
         {std::string(), std::string("[]"), std::string("\"a\""), std::string("{\"model\":\"m\""),
          std::string(R"({"model":"a","prompt":"x","model":"b"})"),
          std::string(R"({"model":"m","prompt":"x"} trailing)"),
          std::string("{\"model\":\"\xff\"}"), R"({"model":"m","prompt":)" + deep}) {
        const auto request = parseModelRequest(body);
        REQUIRE(!request);
        CHECK(request.error().kind == ErrorKind::Malformed);
    }
}

TEST_CASE("a huge token limit does not overflow")
{
    const auto request =
        parseModelRequest(R"({"model":"m","prompt":"a","max_tokens":18446744073709551615})");
    REQUIRE(request);
    CHECK(request->maxTokens == INT64_MAX);
}

TEST_CASE("the error body has all fields and stays valid JSON with any text")
{
    const Refusal refusal{RefusalReason::RateExceeded, RanState::No, "bad \xff text", "wait",
                          1500ms};
    const auto error = nlohmann::json::parse(errorBody(refusal, RequestId("r-1"))).at("error");
    CHECK(error.at("code") == "rate_exceeded");
    CHECK(error.at("remedy") == "wait");
    CHECK(error.at("ran") == "no");
    CHECK(error.at("retry_after_ms") == 1500);
    CHECK(error.at("request_id") == "r-1");
    CHECK(retryAfterValue(refusal) == "2");
    CHECK(!retryAfterValue(Refusal{}));
}

TEST_CASE("an error event stays one event and does not end a stream as the marker does")
{
    const Refusal refusal{RefusalReason::AnswerIncomplete, RanState::Unknown, "two\n\nlines",
                          "data: [DONE]"};
    const std::string event = errorEvent(refusal, RequestId("r-1"));
    SseScanner scanner;
    scanner.feed(event);
    CHECK(scanner.dataEvents() == 1);
    CHECK(!scanner.isDone());
    CHECK(event.find("\n\n") == event.size() - 2);
}

TEST_CASE("the model list names each model")
{
    const std::vector<ModelName> models{ModelName("a"), ModelName("b")};
    const auto list = nlohmann::json::parse(modelListBody(models));
    CHECK(list.at("object") == "list");
    REQUIRE(list.at("data").size() == 2);
    CHECK(list.at("data")[1].at("id") == "b");
}

TEST_CASE("the end marker is seen whatever the line ends are")
{
    for (const char *text : {"data: [DONE]\n\n", "data:[DONE]\r\n\r\n", "data: [DONE]\r\r",
                             "data: {}\n\nid: 1\ndata: [DONE]\n\n"}) {
        SseScanner scanner;
        scanner.feed(text);
        CHECK_MESSAGE(scanner.isDone(), text);
    }
}

TEST_CASE("text that only looks like the end marker does not end a stream")
{
    for (const char *text :
         {"data: [DONE]", "data: [DONE]\n", "data: {\"t\":\"data: [DONE]\"}\n\n",
          ": data: [DONE]\n\n", "data: [DONE]x\n\n", "xdata: [DONE]\n\n",
          "data: a\ndata: [DONE]\n\n", "data: [DONE]\ndata: a\n\n", "data:  [DONE]\n\n"}) {
        SseScanner scanner;
        scanner.feed(text);
        CHECK_MESSAGE(!scanner.isDone(), text);
    }
}

TEST_CASE("the scanner sees the same wherever a stream is cut")
{
    rc::check([] {
        const std::string text = "data: {\"a\":1}\r\n\r\n: ping\n\nevent: x\ndata: 2\ndata: 3\n\n"
                                 "data: [DONE]\n\n";
        SseScanner scanner;
        std::string_view rest = text;
        while (!rest.empty()) {
            const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
            RC_ASSERT(!scanner.isDone());
            scanner.feed(rest.substr(0, n));
            rest.remove_prefix(n);
        }
        RC_ASSERT(scanner.isDone());
        RC_ASSERT(scanner.dataEvents() == 2U);
    });
}
