// An engine whose entry announces the end of its process.
#include "RequestPathFixture.h"

#include "marigoldspool/Support/EventLog.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const std::string First = "id: 1\ndata: x\n\n";
const std::string Second = "id: 2\ndata: x\n\n";
const std::string Third = "id: 3\ndata: x\n\n";

class ShortNoticeFixture : public RequestPathFixture, public EventLog
{
public:
    ShortNoticeFixture() { setEventLog(this); }
    ~ShortNoticeFixture() override { setEventLog(nullptr); }

    void write(LogLevel /*level*/, std::string_view event,
               gsl::span<const LogField> fields) override
    {
        log += formatEvent(event, fields);
    }

    // Streams of /llm/long have three events. The first engine sends the first one, and the second
    // one after the other engine has been asked for it.
    void start(int engineCount)
    {
        engineMemoryMb = 200;
        configure(2, {"k1"});
        const auto stream = [this](const HttpRequest &request, const auto &sink) {
            if (findHeader(request.headers, "Last-Event-Id") == nullptr) {
                sink->head(200, streamHeaders(request), true);
                sink->data(First);
                firstSink = sink;
                const auto *id = findHeader(request.headers, "X-Marigoldspool-Expect-Replica");
                engine = replicas[*id == "i-1" ? 0 : 1].get();
                if (request.target == "/llm/x") {
                    sink->finish();
                }
                return;
            }
            firstSink->data(Second);
            const auto timer = std::make_shared<boost::asio::steady_timer>(io, 60ms);
            timer->async_wait([this, timer, request, sink](const auto & /*ec*/) {
                if (refusesResumed) {
                    return answerNotRun(request, sink, 503);
                }
                sink->head(200, streamHeaders(request), true);
                sink->data(Second + Third);
                sink->finish();
            });
        };
        for (int i = 1; i <= engineCount; ++i) {
            addReplica("i-" + std::to_string(i), "llm", stream, {"m"});
        }
        callUntilStatus(200, "/llm/x", "m");
        io.run_for(1s);
    }

    void announceEnd()
    {
        nlohmann::json entry = engine->entry("llm", "draining");
        entry["ttlLeftMs"] = 1500;
        store.put("servers", engine->id, entry);
    }

    // Announces the end of the engine that serves a new stream, and waits for what happens to it.
    void callUntilOutcome(const std::string &outcome)
    {
        answer = call("/llm/long", "m", "k1", "part:9");
        REQUIRE(runUntil(io, [this] {
            return !answer->body.empty();
        }));
        announceEnd();
        REQUIRE(runUntil(io, [&] {
            return daemonMetrics->counterValue("marigoldspool_streams_moved_total",
                                               {{"outcome", outcome}})
                > 0;
        }));
    }

    std::string log;
    std::shared_ptr<CallerAnswer> answer;
    std::shared_ptr<ResponseSink> firstSink;
    StandinReplica *engine = nullptr;
    bool refusesResumed = false;
};

} // namespace

// Streams broke off with their engine. Guards also against events that are lost or sent twice.
TEST_CASE_FIXTURE(ShortNoticeFixture, "a stream goes on at another engine before its own one ends")
{
    start(2);
    SUBCASE("the other one takes over")
    {
        callUntilOutcome("moved");
        engine->crash();
    }
    SUBCASE("the other one refuses")
    {
        refusesResumed = true;
        callUntilOutcome("trial_failed");
        firstSink->data(Third);
        firstSink->finish();
    }
    REQUIRE(runUntil(io, [this] {
        return answer->ended;
    }));
    CHECK((answer->complete && answer->body == First + Second + Third));
}

// A crash counts against all parts of the prompts that the engine had, and five put a part under
// quarantine.
TEST_CASE_FIXTURE(ShortNoticeFixture, "the announced end of an engine is not taken as a crash")
{
    start(1);
    callUntilOutcome("no_successor");
    io.restart();
    io.run_for(600ms);
    engine->crash();
    io.restart();
    io.run_for(1s);
    CHECK((answer->ended && !answer->complete && answer->body == First));
    CHECK(log.find("event=engine_crashed") == std::string::npos);
}

// The model was loaded only when a request waited for it.
TEST_CASE_FIXTURE(ShortNoticeFixture, "a model is loaded when the only engine with it leaves")
{
    start(1);
    announceEnd();
    addReplica("i-2", "llm", answerOk);
    REQUIRE(runUntil(io, [this] {
        return !replicas[1]->models.empty();
    }));
    CHECK(log.find(" cause=replaces_leaving ") != std::string::npos);
}
