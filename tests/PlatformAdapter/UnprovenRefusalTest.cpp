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

// The copy bears the id of the request in flight, so only the connection tells them apart.
TEST_CASE_FIXTURE(RawReplicaFixture,
                  "a copied refusal does not end the caller's next attempt with the same id")
{
    store.erase("servers", "i-2");
    run(3s);
    const auto refused = call("/once/x");
    std::vector<RawSocket *> earlier;
    REQUIRE(runUntil(io, [&] {
        for (RawSocket *it : carriers()) {
            it->clearReceived();
            it->send(refusal());
            earlier.push_back(it);
        }
        return refused->ended;
    }));
    REQUIRE(refused->status == 503);
    REQUIRE_FALSE(earlier.empty());
    // The next call bears the same id.
    --requests;
    const auto answer = call("/once/x");
    RawSocket &carrier = waitForRequest();
    for (RawSocket *it : earlier) {
        it->send(refusal());
    }
    run(200ms);
    CHECK_FALSE(answer->ended);
    CHECK(std::find(earlier.begin(), earlier.end(), &carrier) == earlier.end());
    carrier.send(ownAnswer());
    waitForEnd(*answer);
    CHECK(answer->status == 200);
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
    ListedEndpoint engine;
    engine.id = EndpointId("i-3");
    engine.address = raw.address();
    EndpointCall order = codec.encodeOrder(engine, PlacementOrder(), InstanceId("tester"), 1, 0);
    order.id = RequestId("order");
    const auto answer = std::make_shared<CallerAnswer>();
    client->call(std::move(order), std::make_shared<CallerHandler>(answer));
    RawSocket *carrier = nullptr;
    REQUIRE(runUntil(io, [&] {
        for (std::size_t i = 0; carrier == nullptr && i < raw.connections(); ++i) {
            carrier = raw.connection(i).hasReceived("tester") ? &raw.connection(i) : nullptr;
        }
        return carrier != nullptr;
    }));
    carrier->send(ownAnswer());
    carrier->send(answerText("409 Conflict", ""));
    waitForEnd(*answer);
    CHECK(answer->status == 409);
}
