// Requests that are open when another version of the configuration takes effect: each of them must
// get a whole answer.
#include "RequestPathFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A change of one value of the configuration.
struct Change {
    std::string at;
    std::string value;
    /// The status that a request which waits for a model gets at once; 0: it goes on waiting.
    int waitingStatus = 0;
};

const Change NoRoutes{"/routes", "[]", 404};
const Change Nothing{"/version", "0"};

// Also values that the platform's store would not accept.
const std::vector<Change> Changes{
    NoRoutes,
    {"/tenants/0/apiKeys", R"(["k2"])", 401},
    {"/tenants", "[]"},
    {"/services", "[]", 503},
    {"/services/1/engine", "null", 503},
    {"/services/1/engine/models", "[]"},
    {"/services/1/engine/slots", "0"},
    {"/routes/2/service", R"("none")", 503},
    {"/routes/2/backends", R"([{"service": "llm", "weight": 0}, {"service": "none", "weight": 0}])",
     503},
    {"/routes/2/backends", R"([{"service": "none", "weight": 0}, {"service": "llm"}])"},
    // Another route with the same prefix, before it.
    {"/routes/1/prefix", R"("/llm/")", 200},
    {"/routes/2/resumable", "false"},
    {"/routes/2/kind", R"("idempotent")"},
    {"/routes/2/attempts", "0"},
    {"/routes/2/timeoutMs", "0"},
};

class ConfigurationChangeFixture : public RequestPathFixture
{
public:
    ConfigurationChangeFixture()
    {
        // Callers wait for an event for 2 s.
        routes[2]["goalMs"] = 500;
        configure(++version, {"k1"});
        addReplica("i-1", "llm",
                   [this](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                       if (*findHeader(request.headers, "X-Marigoldspool-Model") != "m") {
                           answerNotRun(request, sink, 421);
                           return;
                       }
                       sink->head(200, streamHeaders(request), true);
                       sink->data("id: 1\ndata: x\n\n");
                       finishUnlessHeld(request, sink);
                   },
                   {"m"});
        addReplica("i-2", "app", [this](const HttpRequest &request, const auto &sink) {
            sink->head(200, answerHeaders(request), false);
            sink->data("the answer");
            finishUnlessHeld(request, sink);
        });
        // The engine executes no order, so model n is never loaded.
        replicas[0]->ordersToDelay = 1000;
        replicas[0]->orderDelay = 60s;
        // Wait until the instance owns the placement.
        callUntilStatus(200, "/llm/x", "m");
        io.restart();
        io.run_for(300ms);
    }

    void finishUnlessHeld(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink)
    {
        if (request.target.find("/hold") == std::string::npos) {
            sink->finish();
        } else {
            heldSinks.push_back(sink);
        }
    }

    void open()
    {
        put(Nothing);
        waitUntilAdopted();
        callUntilStatus(200, "/llm/x", "m");
        callUntilStatus(200, "/once/x");
        waiting.push_back(call("/llm/x", "n"));
        streaming = call("/llm/hold", "m");
        unanswered = call("/once/hold");
        REQUIRE(runUntil(io, [this] {
            return heldSinks.size() == 2;
        }));
        io.restart();
        io.run_for(30ms);
    }

    void put(const Change &change)
    {
        json next = configuration(0, {"k1"});
        next[json::json_pointer(change.at)] = json::parse(change.value);
        next["version"] = ++version;
        next["routes"].push_back({{"name", "probe"},
                                  {"host", "h"},
                                  {"prefix", "/" + std::to_string(version) + "/"},
                                  {"kind", "idempotent"},
                                  {"service", "probe"},
                                  {"public", true}});
        store.put("config", "main", next);
    }

    void waitUntilAdopted() { callUntilStatus(503, "/" + std::to_string(version) + "/x"); }

    void checkAnswered()
    {
        for (const auto &sink : heldSinks) {
            sink->finish();
        }
        heldSinks.clear();
        REQUIRE(runUntil(io, [this] {
            return streaming->ended && unanswered->ended;
        }));
        CHECK(streaming->complete);
        CHECK(streaming->body == "id: 1\ndata: x\n\n");
        CHECK(unanswered->complete);
        CHECK(unanswered->status == 200);
    }

    void checkWaitingAnswered()
    {
        const auto isComplete = [](const auto &it) {
            return it->complete;
        };
        CHECK(runUntil(io, [&] {
            return std::all_of(waiting.begin(), waiting.end(), isComplete);
        }));
    }

    int version = 1;
    std::vector<std::shared_ptr<ResponseSink>> heldSinks;
    std::vector<std::shared_ptr<CallerAnswer>> waiting;
    std::shared_ptr<CallerAnswer> streaming;
    std::shared_ptr<CallerAnswer> unanswered;
};

} // namespace

TEST_CASE_FIXTURE(ConfigurationChangeFixture,
                  "requests that are open when a new version takes effect are answered")
{
    for (const Change &change : Changes) {
        CAPTURE(change.at);
        CAPTURE(change.value);
        open();
        put(change);
        waitUntilAdopted();
        CHECK(waiting.back()->status == change.waitingStatus);
        checkAnswered();
    }
    checkWaitingAnswered();
}

TEST_CASE_FIXTURE(ConfigurationChangeFixture,
                  "requests that are open when versions follow each other at once are answered")
{
    open();
    for (const Change &change : Changes) {
        put(change);
        io.restart();
        io.run_for(10ms);
    }
    waitUntilAdopted();
    checkAnswered();
    checkWaitingAnswered();
}

TEST_CASE_FIXTURE(ConfigurationChangeFixture,
                  "a request that waits for capacity is refused at once when its route is removed")
{
    // The endpoint's slots and its queue.
    constexpr std::size_t MaxInFlight = 12;
    put(Nothing);
    waitUntilAdopted();
    std::vector<std::shared_ptr<CallerAnswer>> sent;
    for (std::size_t i = 0; i < MaxInFlight; ++i) {
        sent.push_back(call("/once/hold"));
    }
    REQUIRE(runUntil(io, [this] {
        return heldSinks.size() == MaxInFlight;
    }));
    const auto queued = call("/once/x");
    io.restart();
    io.run_for(50ms);
    REQUIRE_FALSE(queued->ended);
    put(NoRoutes);
    waitUntilAdopted();
    CHECK(queued->status == 404);
    for (const auto &sink : heldSinks) {
        sink->finish();
    }
    CHECK(runUntil(io, [&sent] {
        return std::all_of(sent.begin(), sent.end(), [](const auto &it) {
            return it->complete;
        });
    }));
}

// The second request is pipelined behind the one that is being read.
TEST_CASE_FIXTURE(ConfigurationChangeFixture,
                  "requests that are being read when their route is removed are answered")
{
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Token k1\r\n"
                             "X-Marigoldspool-Request-Id: a\r\nContent-Length: 4\r\n";
    bool expectsContinue = false;
    SUBCASE("a body") { }
    SUBCASE("a body that the caller announces")
    {
        expectsContinue = true;
    }
    put(Nothing);
    waitUntilAdopted();
    boost::asio::ip::tcp::socket socket(io);
    const std::size_t colon = callerAddress.rfind(':');
    socket.connect({boost::asio::ip::make_address(callerAddress.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(callerAddress.substr(colon + 1)))});
    socket.non_blocking(true);
    const auto send = [&socket](const std::string &text) {
        boost::asio::write(socket, boost::asio::buffer(text));
    };
    send(head + (expectsContinue ? "Expect: 100-continue\r\n\r\n" : "\r\nbo"));
    put(NoRoutes);
    waitUntilAdopted();
    send((expectsContinue ? "body" : "dy") + head + "\r\nbody");
    std::string received;
    const auto countOf = [&received](const std::string &text) {
        int n = 0;
        for (std::size_t at = received.find(text); at != std::string::npos;
             at = received.find(text, at + 1)) {
            ++n;
        }
        return n;
    };
    CHECK(runUntil(io, [&] {
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        received.append(buf.data(), socket.read_some(boost::asio::buffer(buf), ec));
        return countOf("HTTP/1.1 404") == 2;
    }));
    CHECK(countOf("HTTP/1.1 100") == (expectsContinue ? 1 : 0));
}
