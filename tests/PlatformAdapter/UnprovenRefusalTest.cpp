// Answers that look like refusals of a request that a replica has run or is running: earlier ones
// written once more, and some that do not state it.
#include "RawReplicaFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

// Status line and fields.
const std::vector<std::pair<std::string, std::string>> ForeignAnswers{
    {"503 Busy", NotRunField},
    {"429 Many", NotRunField},
    {"421 Other", NotRunField},
    {"400 Bad", NotRunField},
    {"500 Failed", SealField},
    {"200 OK", SealField},
    {"503 Busy", NotRunField + EchoField + "\r\n"},
    {"503 Busy", NotRunField + EchoField + "r0\r\n"},
};

} // namespace

TEST_CASE_FIXTURE(RawReplicaFixture,
                  "an answer without the id of the running request does not end the request")
{
    const std::size_t before = replicas.front()->requests.size();
    for (const auto &it : ForeignAnswers) {
        for (const std::string target : {"/once/x", "/app/x", "/llm/x"}) {
            CAPTURE(it.first);
            CAPTURE(it.second);
            CAPTURE(target);
            const auto answer = call(target, target == "/llm/x" ? "m" : "");
            RawSocket &replica = waitForRequest();
            replica.send(answerText(it.first, it.second, "another's"));
            run(100ms);
            CHECK_FALSE(answer->ended);
            replica.send(ownAnswer());
            waitForEnd(*answer);
            CHECK(answer->status == 200);
            CHECK(answer->body == Body);
        }
    }
    // Without the awaited answer, the request may have run.
    const auto answer = call("/once/x");
    RawSocket &replica = waitForRequest();
    replica.send(answerText("503 Busy", NotRunField));
    replica.closeSending();
    waitForEnd(*answer);
    CHECK(answer->status == 502);
    CHECK(replicas.front()->requests.size() == before);
}

TEST_CASE_FIXTURE(RawReplicaFixture,
                  "a refusal that is written again does not end the repeated request")
{
    store.erase("servers", "i-2");
    run(3s);
    // The first refusal is written once or, in one piece, twice.
    for (const int copies : {1, 2}) {
        CAPTURE(copies);
        const auto answer = call("/once/x");
        RawSocket &first = waitForRequest();
        first.clearReceived();
        first.send(copies == 1 ? refusal() : refusal() + refusal());
        RawSocket &second = waitForRequest();
        second.clearReceived();
        first.send(refusal());
        run(200ms);
        CHECK_FALSE(answer->ended);
        CHECK(carriers().empty());
        second.send(ownAnswer());
        waitForEnd(*answer);
        CHECK(answer->status == 200);
        CHECK(&first != &second);
    }
}

// A caller was told that its request had not run, or it was sent to another endpoint, while it ran.
// The endpoint writes the copy of the refusal on the connections that carried it.
TEST_CASE_FIXTURE(RawReplicaFixture,
                  "a refusal that is written again does not end another attempt with its id")
{
    store.erase("servers", "i-2");
    run(3s);
    for (const int requestsBetween : {0, 1, 7}) {
        CAPTURE(requestsBetween);
        const auto refused = call("/once/x");
        const std::vector<RawSocket *> refusals = refuseUntilEnd(*refused);
        CHECK(refused->status == 503);
        for (int i = 0; i < requestsBetween; ++i) {
            const auto answer = call("/once/x");
            waitForRequest().send(ownAnswer());
            waitForEnd(*answer);
        }
        requests -= requestsBetween + 1;
        const auto answer = call("/once/x");
        RawSocket &carrier = waitForRequest();
        carrier.clearReceived();
        CHECK(std::any_of(refusals.begin(), refusals.end(), [](RawSocket *it) {
            return !it->isClosed();
        }));
        for (RawSocket *it : refusals) {
            it->send(refusal());
        }
        run(200ms);
        CHECK_FALSE(answer->ended);
        CHECK(carriers().empty());
        carrier.send(ownAnswer());
        waitForEnd(*answer);
        requests += requestsBetween;
        CHECK(answer->status == 200);
    }
}

TEST_CASE_FIXTURE(RequestPathFixture,
                  "a refusal that does not state that the request has not run is not passed on")
{
    int status = 200;
    StandinReplica &replica =
        addReplica("i-1", "app", [&status](const auto &request, const auto &sink) {
            sink->head(status, answerHeaders(request), false);
            sink->finish();
        });
    callUntilStatus(200, "/app/x");
    for (const int refused : {408, 429, 503}) {
        CAPTURE(refused);
        status = refused;
        const std::size_t before = replica.requests.size();
        CHECK(callAndWait("/once/x")->status == 502);
        CHECK(replica.requests.size() == before + 1);
    }
}

// Orders and reports share the connections of the requests, and bear no id.
TEST_CASE_FIXTURE(RawReplicaFixture, "an answer to a request is not taken for that to an order")
{
    const auto answer = std::make_shared<CallerAnswer>();
    RawSocket &carrier = order(answer, "tester");
    carrier.send(ownAnswer());
    carrier.send(answerText("409 Conflict", ""));
    waitForEnd(*answer);
    CHECK(answer->status == 409);
}

// An engine that carries out an order was taken for one that had refused it.
TEST_CASE_FIXTURE(
    RawReplicaFixture,
    "an answer to an order that is written again is not taken for that to the next one")
{
    const auto refused = std::make_shared<CallerAnswer>();
    RawSocket &first = order(refused, "first-tester");
    first.send(answerText("409 Conflict", ""));
    waitForEnd(*refused);
    const auto accepted = std::make_shared<CallerAnswer>();
    RawSocket &second = order(accepted, "second-tester");
    first.send(answerText("409 Conflict", ""));
    run(200ms);
    CHECK_FALSE(accepted->ended);
    second.send(answerText("202 Accepted", ""));
    waitForEnd(*accepted);
    CHECK(accepted->status == 202);
}
