// Replicas in trouble whose answers have a broken head, seen through a whole instance: no byte of
// such an answer reaches a caller, nothing in it counts, and its connection is closed.
#include "RawReplicaFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

const std::string LengthField = "Content-Length: " + std::to_string(Body.size()) + "\r\n";

// Status line and fields behind the id and the seal.
struct BrokenHead {
    std::string status;
    std::string fields;
};

// More than the buffers of a connection hold, so that it is still being written when it is
// answered.
const std::string LongUpload(4'000'000, 'x');

const std::vector<BrokenHead> UnknownStatuses{{"000 Trouble", LengthField},
                                              {"000 Trouble", ""},
                                              {"099 Trouble", LengthField},
                                              {"600 Trouble", LengthField},
                                              {"00 Trouble", LengthField}};

const std::vector<BrokenHead> BrokenNames{
    {"200 OK", "X A: 1\r\n" + LengthField},     {"200 OK", "X-A : 1\r\n" + LengthField},
    {"200 OK", "X\x01-A: 1\r\n" + LengthField}, {"200 OK", "X\0-A: 1\r\n"s + LengthField},
    {"200 OK", "Content Length: 15\r\n"},       {"200 OK", "Content-Length : 15\r\n"}};

// The name begins with a blank, so that the line looks like the rest of the value before it.
// Without the length or the chunks, the body goes on to the end of the connection.
const std::vector<BrokenHead> FoldedLines{
    {"200 OK", "X-A: 1\r\n X-B: 1\r\n" + LengthField},
    {"200 OK", "X-A: 1\r\n\tContent-Encoding: gzip\r\n" + LengthField},
    {"200 OK", "X-A: 1\r\n " + LengthField},
    {"200 OK", "X-A: 1\r\n Transfer-Encoding: chunked\r\n"}};

class BrokenAnswerFixture : public RawReplicaFixture
{
public:
    struct Sent {
        std::shared_ptr<CallerAnswer> answer;
        RawSocket *replica = nullptr;
    };

    // Lists the raw replica under another id, since one that has failed is avoided for seconds.
    void renewReplica()
    {
        nlohmann::json entry = replicas.front()->entry("app");
        entry["addr"] = raw.address();
        store.erase("servers", m_replicaId);
        m_replicaId = "raw-" + std::to_string(requests);
        store.put("servers", m_replicaId, entry);
    }

    // Repeats the request until the raw replica gets it.
    Sent callRaw(const std::string &target)
    {
        const SteadyTime until = clock.now() + 10s;
        while (clock.now() < until) {
            const auto answer = call(target, target == "/llm/x" ? "m" : "");
            REQUIRE(runUntil(io, [&] {
                return answer->ended || !carriers().empty();
            }));
            if (!answer->ended) {
                return {answer, carriers().front()};
            }
            run(20ms);
        }
        FAIL("no request has reached the replica");
        return {};
    }

    // Writes the answer and ends the connection, as a replica does whose body has no length.
    void sendBroken(RawSocket &replica, const BrokenHead &head, const std::string &rest) const
    {
        replica.clearReceived();
        replica.send(before + "HTTP/1.1 " + head.status + "\r\n" + EchoField + currentId() + "\r\n"
                     + SealField + "Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n"
                     + head.fields + "\r\n" + Body + rest);
        replica.closeSending();
    }

    void checkRefused(const std::vector<BrokenHead> &heads, const std::string &rest = {})
    {
        for (const BrokenHead &head : heads) {
            CAPTURE(head.status);
            CAPTURE(head.fields);
            // The connection is kept for the next request.
            const Sent sound = callRaw("/once/x");
            sound.replica->send(ownAnswer());
            waitForEnd(*sound.answer);
            CHECK(sound.answer->status == 200);
            const Sent once = callRaw("/once/x");
            sendBroken(*once.replica, head, rest);
            waitForEnd(*once.answer);
            // The request may have run.
            CHECK(once.answer->status == 502);
            CHECK(once.answer->complete);
            CHECK(once.answer->body.find(Body) == std::string::npos);
            CHECK(once.replica->isClosed());
            renewReplica();
            // Another replica answers what may run twice.
            const Sent repeatable = callRaw("/app/x");
            sendBroken(*repeatable.replica, head, rest);
            waitForEnd(*repeatable.answer);
            renewReplica();
            CHECK(repeatable.answer->status == 200);
            CHECK(repeatable.answer->body == "the answer");
            // The only engine gets the stream again.
            const Sent stream = callRaw("/llm/x");
            sendBroken(*stream.replica, head, rest);
            REQUIRE(runUntil(io, [&] {
                return stream.answer->ended || !carriers().empty();
            }));
            CHECK_FALSE(stream.answer->ended);
            if (!stream.answer->ended) {
                carriers().front()->send(ownAnswer());
                waitForEnd(*stream.answer);
                CHECK(stream.answer->status == 200);
                CHECK(stream.answer->body == Body);
            }
        }
        CHECK(daemonMetrics->exposition().find("marigoldspool_endpoint_statements_total{")
              == std::string::npos);
    }

    /// Written before each broken answer.
    std::string before;

private:
    std::string m_replicaId = "i-1";
};

} // namespace

TEST_CASE_FIXTURE(BrokenAnswerFixture, "an answer with an unknown status reaches no caller")
{
    SUBCASE("behind the request") { }
    SUBCASE("while the upload is being written")
    {
        upload = LongUpload;
    }
    checkRefused(UnknownStatuses);
}

TEST_CASE_FIXTURE(BrokenAnswerFixture, "an answer with a broken field name reaches no caller")
{
    SUBCASE("where the answer is due") { }
    SUBCASE("behind the answer to another request")
    {
        before = answerText("200 OK", SealField, "another's");
    }
    SUBCASE("while the upload is being written")
    {
        upload = LongUpload;
    }
    checkRefused(BrokenNames);
}

// Callers got such answers with the line as part of a value, or with a body that had the bytes of
// other answers or of chunk headers in it.
TEST_CASE_FIXTURE(BrokenAnswerFixture, "an answer with a folded line reaches no caller")
{
    checkRefused(FoldedLines, answerText("200 OK", SealField, "another's"));
}

// A reset that came while the request was being written was taken by the write. The read behind it
// found what had come of the answer and a plain end, which passed for the end of a whole one.
TEST_CASE_FIXTURE(BrokenAnswerFixture, "a reset during the upload ends no answer without a length")
{
    upload = LongUpload;
    const auto sendPart = [this](RawSocket &replica) {
        replica.clearReceived();
        replica.send("HTTP/1.1 200 OK\r\n" + EchoField + currentId() + "\r\n" + SealField
                     + "Content-Type: text/event-stream\r\n\r\n" + Body);
        replica.reset();
    };
    const Sent once = callRaw("/once/x");
    sendPart(*once.replica);
    waitForEnd(*once.answer);
    CHECK(once.answer->status == 502);
    CHECK(once.answer->body.find(Body) == std::string::npos);
    renewReplica();
    const Sent repeatable = callRaw("/app/x");
    sendPart(*repeatable.replica);
    waitForEnd(*repeatable.answer);
    CHECK(repeatable.answer->status == 200);
    CHECK(repeatable.answer->body == "the answer");
    // The rest of the stream comes from the engine that is asked for it.
    const Sent stream = callRaw("/llm/x");
    sendPart(*stream.replica);
    REQUIRE(runUntil(io, [&] {
        return stream.answer->ended || !carriers().empty();
    }));
    CHECK(stream.answer->body == Body);
    CHECK_FALSE(stream.answer->complete);
}
