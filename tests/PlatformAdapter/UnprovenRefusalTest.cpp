// Answers that look like refusals of a request that a replica has run or is running: earlier ones
// written once more, and some that do not state it.
#include "Gateway/Harness.h"
#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const std::string EchoField = "X-Marigoldspool-Request-Id: ";
const std::string NotRunField = "X-Marigoldspool-Not-Run: 1\r\n";
const std::string SealField = "X-Marigoldspool-Replica-Seal: seal\r\n";

const std::string Body = "id: 1\ndata: x\n\n";

std::string answerText(const std::string &status, const std::string &fields,
                       const std::string &body = {})
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// A replica and an engine whose answers the tests write byte for byte, and a replica in another
/// zone that is used when the first one refuses.
class RawReplicaFixture : public RequestPathFixture
{
public:
    RawReplicaFixture()
    {
        StandinReplica &other = addReplica("i-2", "app", answerOk);
        auto entry = other.entry("app");
        entry["zone"] = "z2";
        store.put("servers", "i-2", entry);
        callUntilStatus(200, "/app/x");
        entry["zone"] = "z1";
        entry["addr"] = raw.address();
        store.put("servers", "i-1", entry);
        other.models = {"m"};
        entry = other.entry("llm");
        entry["addr"] = raw.address();
        store.put("servers", "i-3", entry);
        // Wait until the entries are known.
        run(1s);
    }

    void run(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    std::string currentId() const { return "r" + std::to_string(requests); }

    // The connections on which the current request has come, in the order of their opening.
    std::vector<RawSocket *> carriers()
    {
        std::vector<RawSocket *> found;
        for (std::size_t i = 0; i < raw.connections(); ++i) {
            if (raw.connection(i).hasReceived(EchoField + currentId() + "\r\n")) {
                found.push_back(&raw.connection(i));
            }
        }
        return found;
    }

    RawSocket &waitForRequest()
    {
        REQUIRE(runUntil(io, [this] {
            return !carriers().empty();
        }));
        return *carriers().front();
    }

    void waitForEnd(const CallerAnswer &answer)
    {
        REQUIRE(runUntil(io, [&answer] {
            return answer.ended;
        }));
    }

    // Refuses each attempt of the current request until the caller gets an answer, and returns the
    // connections that carried a refusal.
    std::vector<RawSocket *> refuseUntilEnd(const CallerAnswer &answer)
    {
        std::vector<RawSocket *> refused;
        REQUIRE(runUntil(io, [this, &answer, &refused] {
            for (RawSocket *carrier : carriers()) {
                carrier->clearReceived();
                carrier->send(refusal());
                refused.push_back(carrier);
            }
            return answer.ended;
        }));
        return refused;
    }

    // Sends an order and returns the connection on which it has come.
    RawSocket &order(const std::shared_ptr<CallerAnswer> &answer, const std::string &holder)
    {
        ListedEndpoint engine;
        engine.id = EndpointId("i-3");
        engine.address = raw.address();
        EndpointCall call = codec.encodeOrder(engine, PlacementOrder(), InstanceId(holder), 1, 0);
        call.id = RequestId(holder);
        client->call(std::move(call), std::make_shared<CallerHandler>(answer));
        RawSocket *carrier = nullptr;
        REQUIRE(runUntil(io, [&] {
            for (std::size_t i = 0; carrier == nullptr && i < raw.connections(); ++i) {
                carrier = raw.connection(i).hasReceived(holder) ? &raw.connection(i) : nullptr;
            }
            return carrier != nullptr;
        }));
        return *carrier;
    }

    std::string ownAnswer() const
    {
        return answerText("200 OK", EchoField + currentId() + "\r\n" + SealField, Body);
    }

    std::string refusal() const
    {
        return answerText("503 Busy", EchoField + currentId() + "\r\n" + NotRunField);
    }

    RawListener raw;
};

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
