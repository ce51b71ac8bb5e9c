// Requests whose prompts have a part that crashes each engine that begins to answer them.
#include "RequestPathFixture.h"

#include <boost/asio/steady_timer.hpp>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

constexpr int Engines = 8;
const std::string CrashingPart = "bad";

class CrashingPromptFixture : public RequestPathFixture
{
public:
    // Engines that have model m loaded, and crash on the part.
    void addEngines()
    {
        engineMemoryMb = 200;
        configure(2, {"k1"});
        const auto answer = [this](const HttpRequest &request,
                                   const std::shared_ptr<ResponseSink> &sink) {
            const std::string *prompt = findHeader(request.headers, "X-Marigoldspool-Prefix-Hash");
            if (prompt != nullptr && prompt->find(CrashingPart + ':') != std::string::npos) {
                ++crashes;
                const std::string id =
                    *findHeader(request.headers, "X-Marigoldspool-Expect-Replica");
                if (eventsBeforeCrash > 0) {
                    sink->head(200, streamHeaders(request), true);
                }
                const std::string *last = findHeader(request.headers, "Last-Event-Id");
                const int first = last == nullptr ? 1 : std::stoi(*last) + 1;
                for (int i = first; i < first + eventsBeforeCrash; ++i) {
                    sink->data("id: " + std::to_string(i) + "\ndata: x\n\n");
                }
                // Not from within the engine's own handler, and after the events have been sent.
                const auto timer = std::make_shared<boost::asio::steady_timer>(io, 10ms);
                timer->async_wait([this, id, sink, timer](const boost::system::error_code &) {
                    engine(id).crash();
                });
                return;
            }
            sink->head(200, streamHeaders(request), true);
            sink->data("id: 1\ndata: x\n\n");
            sink->finish();
        };
        for (int i = 0; i < Engines; ++i) {
            addReplica("i-" + std::to_string(i), "llm", answer, {"m"});
        }
        callUntilStatus(200, "/llm/x", "m");
        io.restart();
        io.run_for(1s);
    }

    // Asks with a part that all requests share, then these, and a last one of its own.
    std::shared_ptr<CallerAnswer> ask(const std::vector<std::string> &parts)
    {
        std::string prompt = "first:100,";
        for (const std::string &part : parts) {
            prompt.append(part).append(":40,");
        }
        prompt.append("own").append(std::to_string(++prompts)).append(":9");
        auto answer = call("/llm/x", "m", "k1", prompt);
        REQUIRE(runUntil(io, [&answer] {
            return answer->ended;
        }));
        // Crashes at the same moment have a common cause, so they count once.
        io.restart();
        io.run_for(150ms);
        return answer;
    }

    int crashes = 0;
    int prompts = 0;
    int eventsBeforeCrash = 0;

private:
    StandinReplica &engine(const std::string &id)
    {
        const auto it = std::find_if(replicas.begin(), replicas.end(), [&id](const auto &replica) {
            return replica->id == id;
        });
        REQUIRE(it != replicas.end());
        return **it;
    }
};

} // namespace

// 35 requests with one part were sent to engines after it had crashed five of them, and 50 engines
// crashed in 22 s; half of the sound requests of the same caller were not served meanwhile.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "a prompt part that crashes engines is refused after a few crashes, and sound "
                  "requests with the other parts are served")
{
    // The users allow five crashes before a part must be kept from engines.
    constexpr int MaxCrashes = 5;
    SUBCASE("before the first event") { }
    // The first event cleared the part, so the quarantine never came.
    SUBCASE("after the first event")
    {
        eventsBeforeCrash = 1;
    }
    SUBCASE("after ten events")
    {
        eventsBeforeCrash = 10;
    }
    addEngines();
    for (int i = 0; i < 3; ++i) {
        CHECK(ask({"session" + std::to_string(i)})->status == 200);
    }
    std::shared_ptr<CallerAnswer> refused;
    for (int i = 0; i < 10 && (refused == nullptr || refused->status != 503); ++i) {
        refused = ask({CrashingPart, "session" + std::to_string(i)});
    }
    CHECK(refused->status == 503);
    CHECK_FALSE(refused->retryAfter.empty());
    CHECK(crashes <= MaxCrashes);
    const int before = crashes;
    for (int i = 0; i < 5; ++i) {
        CHECK(ask({CrashingPart})->status == 503);
        CHECK(ask({"session0"})->status == 200);
    }
    CHECK(crashes == before);
}

// A connection that is lost while its engine goes on says nothing about the prompt.
TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "lost connections to engines that go on put no prompt under quarantine")
{
    engineMemoryMb = 200;
    configure(2, {"k1"});
    const auto loseAnswer = [](const HttpRequest &request,
                               const std::shared_ptr<ResponseSink> &sink) {
        if (findHeader(request.headers, "X-Marigoldspool-Prefix-Hash") == nullptr) {
            sink->head(200, streamHeaders(request), true);
            sink->data("id: 1\ndata: x\n\n");
            sink->finish();
            return;
        }
        sink->head(200, streamHeaders(request), true);
        sink->abort();
    };
    for (int i = 0; i < 3; ++i) {
        addReplica("i-" + std::to_string(i), "llm", loseAnswer, {"m"});
    }
    callUntilStatus(200, "/llm/x", "m");
    for (int i = 0; i < 6; ++i) {
        CHECK(ask({"session"})->status == 502);
    }
}
