// Replicas and a store in trouble that send bytes without end, seen through a whole instance:
// memory stays bounded, connections are closed, other requests are answered, and a request is sent
// again only if that is safe.
#include "RequestPathFixture.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::string Filler(16'384, 'x');

// Bytes of this process in memory.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string echoedHead(const std::string &requestHead)
{
    const std::string field = "X-Marigoldspool-Request-Id: ";
    const std::size_t begin = requestHead.find(field);
    if (begin == std::string::npos) {
        return "HTTP/1.1 200 OK\r\n";
    }
    const std::size_t end = requestHead.find("\r\n", begin);
    return "HTTP/1.1 200 OK\r\n" + requestHead.substr(begin, end - begin)
        + "\r\nX-Marigoldspool-Replica-Seal: seal\r\n";
}

class EndlessReplicaFixture : public RequestPathFixture
{
public:
    // Waits until the instance knows the configuration and the replicas.
    void settle()
    {
        callUntilStatus(404, "/none/x");
        io.restart();
        io.run_for(500ms);
    }
};

} // namespace

TEST_CASE_FIXTURE(EndlessReplicaFixture,
                  "a request that must run once is not sent again after an answer without end")
{
    StandinReplica &endless =
        addReplica("i-1", "app", [this](const auto &request, const auto &sink) {
            sink->head(200, answerHeaders(request), true);
            sendWithoutEnd(io, sink, Filler);
        });
    settle();
    const auto answer = callAndWait("/once/x");
    CHECK(answer->status == 502);
    CHECK(answer->complete);
    CHECK(endless.requests.size() == 1);
}

TEST_CASE_FIXTURE(EndlessReplicaFixture, "a head without end counts as a request that may have run")
{
    EndlessServer endless(
        io,
        [](const std::string &head) {
            return echoedHead(head);
        },
        "X-Field: value\r\n");
    addServer("i-1", "app", endless);
    settle();
    CHECK(callAndWait("/once/x")->status == 502);
    CHECK(endless.connections == 1);
    REQUIRE(runUntil(io, [&endless] {
        return endless.open == 0;
    }));
    // Another replica serves what may be repeated.
    addReplica("i-2", "app", answerOk);
    callUntilStatus(200, "/app/x");
}

TEST_CASE_FIXTURE(EndlessReplicaFixture,
                  "200 answers without end take less than 1 MB each and delay no other request")
{
    constexpr std::size_t Requests = 200;
    constexpr std::size_t BytesEach = 1'000'000;
    // The time that a caller of the other route allows for.
    constexpr auto Objective = 1s;
    EndlessServer endless(
        io,
        [](const std::string &head) {
            return echoedHead(head) + "Transfer-Encoding: chunked\r\n\r\n";
        },
        "4000\r\n" + Filler + "\r\n");
    addServer("i-1", "app", endless);
    addReplica("i-2", "llm",
               [](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                   sink->head(200, streamHeaders(request), true);
                   sink->data("id: 1\ndata: x\n\n");
                   sink->finish();
               },
               {"m"});
    callUntilStatus(200, "/llm/x", "m");
    io.restart();
    io.run_for(500ms);
    const std::size_t before = residentBytes();
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (std::size_t i = 0; i < Requests; ++i) {
        answers.push_back(call("/once/x"));
    }
    std::size_t peak = 0;
    SteadyTime sentAt = clock.now();
    std::shared_ptr<CallerAnswer> other = call("/llm/x", "m");
    Duration longest = Duration::zero();
    REQUIRE(runUntil(io, [&] {
        peak = std::max(peak, residentBytes());
        if (other->ended) {
            CHECK(other->status == 200);
            longest = std::max(longest, clock.now() - sentAt);
            sentAt = clock.now();
            other = call("/llm/x", "m");
        }
        return std::all_of(answers.begin(), answers.end(), [](const auto &it) {
            return it->ended;
        });
    }));
    for (const auto &answer : answers) {
        CHECK(answer->status == 502);
    }
    CHECK(peak - std::min(peak, before) < Requests * BytesEach);
    CHECK(longest < Objective);
    REQUIRE(runUntil(io, [&endless] {
        return endless.open == 0;
    }));
}

TEST_CASE_FIXTURE(EndlessReplicaFixture,
                  "a stream whose event has no end goes on at another replica after the last event")
{
    for (const std::string &filler : {Filler, std::string("no event\n\n")}) {
        const auto stream = [this, filler](const HttpRequest &request,
                                           const std::shared_ptr<ResponseSink> &sink) {
            const bool isResumed = findHeader(request.headers, "Last-Event-Id") != nullptr;
            sink->head(200, streamHeaders(request), true);
            if (!isResumed) {
                sink->data("id: 1\ndata: x\n\n");
            }
            if (request.target == "/llm/cut" && !isResumed) {
                sendWithoutEnd(io, sink, filler);
                return;
            }
            sink->data("id: 2\ndata: x\n\n");
            sink->finish();
        };
        const auto answer = requestCutStream(stream);
        CHECK(answer->complete);
        CHECK(answer->body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    }
}

// 120 such answers took 640 to 682 MB of a process that may use 260 MB: each was bounded, but not
// their sum, and the replica was read on while the caller's output grew.
TEST_CASE_FIXTURE(EndlessReplicaFixture,
                  "answers that callers do not read take a bounded part of the memory")
{
    constexpr std::size_t Requests = 120;
    std::string filler = Filler;
    std::string head = "Content-Length: 1000000000000\r\n\r\n";
    std::string target = "/once/x";
    SUBCASE("bodies of a stated length") { }
    SUBCASE("events")
    {
        head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        target = "/llm/x";
        filler.clear();
        // More than any caller reads.
        for (int i = 1; i <= 20'000; ++i) {
            const std::string event =
                "id: " + std::to_string(i) + "\ndata: " + std::string(1024, 'x') + "\n\n";
            std::array<char, 16> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
            filler.append(size.data()).append(event).append("\r\n");
        }
    }
    EndlessServer endless(
        io,
        [&head](const std::string &requestHead) {
            return echoedHead(requestHead) + head;
        },
        filler);
    const json models = {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}};
    addServer("i-1", target == "/llm/x" ? "llm" : "app", endless, models);
    addReplica("i-2", target == "/llm/x" ? "app" : "llm", answerOk, {"m"});
    settle();
    const std::size_t before = residentBytes();
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (std::size_t i = 0; i < Requests; ++i) {
        answers.push_back(call(target, "m"));
        answers.back()->takesData = false;
    }
    std::size_t peak = 0;
    const SteadyTime until = clock.now() + 1s;
    while (clock.now() < until) {
        io.restart();
        io.run_for(50ms);
        peak = std::max(peak, residentBytes());
    }
    CHECK(endless.connections >= Requests / 2);
    CHECK(peak - std::min(peak, before) < FleetOptions().memoryBytes / 2);
    // A caller that reads on gets more of its answer.
    const std::size_t received = answers[0]->body.size();
    answers[0]->takesData = true;
    CHECK(runUntil(io, [&] {
        return answers[0]->body.size() > received + 5'000'000;
    }));
}

// A large answer with a stated length has an end, so it is delivered.
TEST_CASE_FIXTURE(EndlessReplicaFixture, "a long answer of a known length is delivered whole")
{
    const std::string body(3'000'000, 'y');
    addReplica("i-1", "app", [&body](const auto &request, const auto &sink) {
        sink->head(200, answerHeaders(request), false);
        sink->data(body);
        sink->finish();
    });
    settle();
    const auto answer = callAndWait("/once/x");
    CHECK(answer->status == 200);
    CHECK(answer->complete);
    CHECK(answer->body.size() == body.size());
}

TEST_CASE_FIXTURE(EndlessReplicaFixture, "an engine whose reports have no end gets no orders")
{
    StandinReplica &engine = addEngine();
    engine.reportsWithoutEnd = true;
    callUntilStatus(200, "/llm/x", "m");
    io.restart();
    io.run_for(3s);
    CHECK(engine.reports >= 2);
    CHECK(engine.orders.empty());
    // What the engine has loaded is still served.
    CHECK(callAndWait("/llm/x", "m")->status == 200);
    engine.reportsWithoutEnd = false;
    callUntilStatus(200, "/llm/x", "n");
}

TEST_CASE_FIXTURE(EndlessReplicaFixture, "requests are served while the store answers without end")
{
    StandinReplica &replica = addReplica("i-1", "app", answerOk);
    callUntilStatus(200, "/app/x");
    const std::size_t before = residentBytes();
    store.answersWithoutEnd = true;
    // The watches that were under way end with this change, and the next ones get no end.
    store.put("servers", "i-1", replica.entry("app"));
    std::size_t peak = before;
    const SteadyTime until = clock.now() + 3s;
    while (clock.now() < until) {
        io.restart();
        io.run_for(50ms);
        peak = std::max(peak, residentBytes());
        CHECK(callAndWait("/app/x")->status == 200);
    }
    // Half of the memory of the smallest machines.
    constexpr std::size_t Limit = 80'000'000;
    CHECK(peak - before < Limit);
    store.answersWithoutEnd = false;
    store.put("servers", "i-1", replica.entry("app", "draining"));
    callUntilStatus(503, "/app/x");
}
