#include "Daemon/EndpointAttempt.h"

#include "marigoldspool/Support/EventLog.h"

#include <optional>
#include <string>

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

class RecordingObserver final : public AttemptObserver
{
public:
    void onAnswerHead(const RequestId &, int answerStatus, gsl::span<const HeaderField> fields,
                      bool) override
    {
        status = answerStatus;
        headers.assign(fields.begin(), fields.end());
    }
    void onAnswerData(const RequestId &, std::string_view bytes) override { body.append(bytes); }
    void onAttemptEnded(const RequestId &, EndpointOutcome ended) override { outcome = ended; }

    std::optional<int> status;
    std::vector<HeaderField> headers;
    std::string body;
    std::optional<EndpointOutcome> outcome;
};

struct AttemptFixture {
    RecordingObserver observer;
    EndpointAttempt attempt{RequestId("r"), observer};

    void head(int status, const std::string &type)
    {
        const HeaderField headers[] = {
            {"Content-Type", type}, {"Content-Length", "5"}, {"X-Trace", "t"}};
        attempt.onHead(status, headers);
    }
};

const std::string JsonType = "application/json";
const std::string EventStreamType = "text/event-stream";

} // namespace

TEST_CASE("an answer that is not a stream is forwarded only when it is complete")
{
    AttemptFixture whole;
    whole.head(200, JsonType);
    whole.attempt.onData("{\"a\":");
    CHECK(!whole.observer.status);
    whole.attempt.onData("1}");
    whole.attempt.onComplete();
    CHECK(whole.observer.status == 200);
    CHECK(whole.observer.body == "{\"a\":1}");
    CHECK(whole.observer.outcome == EndpointOutcome::Answered);
    // Content-Length describes the connection to the endpoint and is not forwarded.
    REQUIRE(whole.observer.headers.size() == 2);
    CHECK(whole.observer.headers[1].name == "X-Trace");

    AttemptFixture broken;
    broken.head(200, JsonType);
    broken.attempt.onData("{\"a\":");
    broken.attempt.onFailure(SendStage::MaybeSent, makeError(ErrorKind::Timeout, "t", "r"));
    CHECK(!broken.observer.status);
    CHECK(broken.observer.outcome == EndpointOutcome::MaybeSent);
}

TEST_CASE("a stream that ends without its end marker counts as cut off, not as answered")
{
    AttemptFixture stream;
    stream.head(200, EventStreamType);
    CHECK(!stream.observer.status);
    stream.attempt.onData("data: {}\n\n");
    CHECK(stream.observer.status == 200);
    stream.attempt.onComplete();
    CHECK(stream.observer.outcome == EndpointOutcome::CutOff);
}

TEST_CASE("a stream that fails before its first event can still be retried")
{
    AttemptFixture stream;
    stream.head(200, EventStreamType);
    stream.attempt.onFailure(SendStage::MaybeSent, makeError(ErrorKind::Timeout, "t", "r"));
    CHECK(!stream.observer.status);
    CHECK(stream.observer.outcome == EndpointOutcome::MaybeSent);
}

TEST_CASE("a 503 is a refusal only if the endpoint states that it did not run the request")
{
    struct Case {
        int status;
        std::string body;
        EndpointOutcome outcome;
    };
    const Case cases[] = {
        {503, R"({"error":{"code":"model_not_loaded","ran":"no"}})",
         EndpointOutcome::RefusedNotLoaded},
        {503, R"({"error":{"code":"overloaded","ran":"no"}})", EndpointOutcome::RefusedOverloaded},
        {503, R"({"error":{"code":"overloaded"}})", EndpointOutcome::Answered},
        {503, R"({"error":{"code":"overloaded","ran":"unknown"}})", EndpointOutcome::Answered},
        {503, R"({"error":"ran no"})", EndpointOutcome::Answered},
        {503, "", EndpointOutcome::Answered},
        {500, R"({"error":{"code":"overloaded","ran":"no"}})", EndpointOutcome::Answered},
    };
    for (const Case &expected : cases) {
        CAPTURE(expected.body);
        AttemptFixture attempt;
        attempt.head(expected.status, JsonType);
        attempt.attempt.onData(expected.body);
        attempt.attempt.onComplete();
        CHECK(attempt.observer.outcome == expected.outcome);
    }
}

TEST_CASE("a call that fails before it is sent counts as not sent")
{
    AttemptFixture attempt;
    attempt.attempt.onFailure(SendStage::NotSent, makeError(ErrorKind::Unavailable, "t", "r"));
    CHECK(attempt.observer.outcome == EndpointOutcome::NotSent);
}
