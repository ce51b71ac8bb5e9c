// Streams at an engine whose entry announces the end of its process.
#include "RequestPathFixture.h"

#include "marigoldspool/Support/EventLog.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

FleetOptions optionsWithRetries()
{
    FleetOptions options;
    options.retries.slack = 10'000;
    return options;
}

/// Counts the engines that are taken for crashed, and the orders that replace leaving engines.
class DecisionLog final : public EventLog
{
public:
    DecisionLog() { setEventLog(this); }
    ~DecisionLog() override { setEventLog(nullptr); }

    void write(LogLevel /*level*/, std::string_view event,
               gsl::span<const LogField> fields) override
    {
        const std::string line = formatEvent(event, fields);
        crashes += event == "engine_crashed" ? 1 : 0;
        replacements += line.find(" cause=replaces_leaving ") != std::string::npos ? 1 : 0;
    }

    int crashes = 0;
    int replacements = 0;
};

class ShortNoticeFixture : public RequestPathFixture
{
public:
    ShortNoticeFixture()
        : RequestPathFixture(optionsWithRetries())
    {
        engineMemoryMb = 200;
        configure(2, {"k1"});
    }

    void addEngines(int count)
    {
        for (int i = 1; i <= count; ++i) {
            addReplica("i-" + std::to_string(i), "llm",
                       [this](const auto &request, const auto &sink) {
                           stream(request, sink);
                       },
                       {"m"});
        }
        callUntilStatus(200, "/llm/x", "m");
        io.restart();
        io.run_for(1s);
    }

    // Sends an event every 10 ms until the test ends the stream; /llm/x ends with the first one.
    // The first engine sends some more while the other one has not answered.
    void stream(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink)
    {
        const std::string *last = findHeader(request.headers, "Last-Event-Id");
        if (last == nullptr) {
            begin(request, sink, 1);
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(io, 60ms);
        timer->async_wait([=, next = std::stoi(*last) + 1](const boost::system::error_code &ec) {
            if (!ec && timer && refusesResumed) {
                answerNotRun(request, sink, 503);
            } else if (!ec) {
                begin(request, sink, next);
            }
        });
    }

    void begin(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink, int event)
    {
        sink->head(200, streamHeaders(request), true);
        const auto gone = std::make_shared<bool>(false);
        sink->onCallerGone([gone] {
            *gone = true;
        });
        sendEvents(sink, gone, event, request.target == "/llm/x");
    }

    void sendEvents(const std::shared_ptr<ResponseSink> &sink, const std::shared_ptr<bool> &gone,
                    int event, bool isLast)
    {
        if (*gone) {
            return;
        }
        sink->data("id: " + std::to_string(event) + "\ndata: x\n\n");
        if (isLast) {
            sink->finish();
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(io, 10ms);
        timer->async_wait([=](const boost::system::error_code &ec) {
            if (!ec && timer) {
                sendEvents(sink, gone, event + 1, isFinishing);
            }
        });
    }

    // Starts a stream and announces the end of its engine.
    void callWithNotice()
    {
        answer = call("/llm/long", "m", "k1", "part:9");
        REQUIRE(runUntil(io, [this] {
            return !answer->body.empty();
        }));
        const auto isServing = [](const auto &replica) {
            return !replica->requests.empty() && replica->requests.back().target == "/llm/long";
        };
        engine = std::find_if(replicas.begin(), replicas.end(), isServing)->get();
        nlohmann::json entry = engine->entry("llm", "draining");
        entry["ttlLeftMs"] = 1500;
        store.put("servers", engine->id, entry);
    }

    void waitForOutcome(const std::string &outcome)
    {
        REQUIRE(runUntil(io, [&] {
            return count(outcome) > 0 || answer->ended;
        }));
        CHECK(count(outcome) == 1);
        CHECK_FALSE(answer->ended);
    }

    // Ends the stream, which then has to be whole.
    void checkWhole()
    {
        isFinishing = true;
        REQUIRE(runUntil(io, [this] {
            return answer->ended;
        }));
        CHECK(answer->complete);
        CHECK(answer->body == bodyOfSameLength());
    }

    std::string bodyOfSameLength() const
    {
        std::string text;
        for (int i = 1; text.size() < answer->body.size(); ++i) {
            text += "id: " + std::to_string(i) + "\ndata: x\n\n";
        }
        return text;
    }

    double count(const std::string &outcome) const
    {
        return daemonMetrics->counterValue("marigoldspool_streams_moved_total",
                                           {{"outcome", outcome}});
    }

    std::shared_ptr<CallerAnswer> answer;
    StandinReplica *engine = nullptr;
    bool refusesResumed = false;
    bool isFinishing = false;
};

} // namespace

// Streams broke off with their engine, and their callers waited until another one was found.
TEST_CASE_FIXTURE(ShortNoticeFixture, "a stream goes on at another engine before its own one ends")
{
    addEngines(2);
    callWithNotice();
    waitForOutcome("moved");
    engine->crash();
    checkWhole();
}

// Guards against events that are lost or sent twice when a trial fails.
TEST_CASE_FIXTURE(ShortNoticeFixture, "a stream that no other engine takes goes on where it is")
{
    SUBCASE("there is none")
    {
        addEngines(1);
        callWithNotice();
        waitForOutcome("no_successor");
    }
    SUBCASE("it refuses")
    {
        refusesResumed = true;
        addEngines(2);
        callWithNotice();
        waitForOutcome("trial_failed");
    }
    checkWhole();
    CHECK(count("moved") == 0);
}

// Such a crash counts against all parts of the prompts that the engine had, and five put a part
// under quarantine.
TEST_CASE_FIXTURE(ShortNoticeFixture, "the announced end of an engine is not taken as a crash")
{
    DecisionLog log;
    addEngines(1);
    callWithNotice();
    waitForOutcome("no_successor");
    io.restart();
    io.run_for(600ms);
    engine->crash();
    REQUIRE(runUntil(io, [this] {
        return answer->ended;
    }));
    CHECK_FALSE(answer->complete);
    CHECK(answer->body == bodyOfSameLength());
    io.restart();
    io.run_for(500ms);
    CHECK(log.crashes == 0);
}

// The model was loaded only when a request waited for it.
TEST_CASE_FIXTURE(ShortNoticeFixture, "a model is loaded when the only engine with it leaves")
{
    DecisionLog log;
    addEngines(1);
    nlohmann::json entry = replicas[0]->entry("llm", "draining");
    entry["ttlLeftMs"] = 5000;
    store.put("servers", "i-1", entry);
    const StandinReplica &other = addReplica("i-2", "llm", answerOk);
    REQUIRE(runUntil(io, [&other] {
        return std::count(other.models.begin(), other.models.end(), "m") > 0;
    }));
    CHECK(log.replacements == 1);
}
