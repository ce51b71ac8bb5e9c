// Replicas that say in their answers that they are leaving, or that they want no requests for a
// while.
#include "RequestPathFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const HeaderField Leaving{"Server-Leaving", "1"};
const HeaderField Sealed{"X-Marigoldspool-Replica-Seal", "seal"};
const HeaderField NotRun{"X-Marigoldspool-Not-Run", "1"};
const HeaderField OwnId{"X-Marigoldspool-Replica-Id", "i-1"};

HeaderField retryAfter(const std::string &value)
{
    return {"Retry-After", value};
}

/// The answer that a replica gives once, to a request of the path /app/state or /once/state.
struct StatingAnswer {
    const char *name;
    int status;
    std::vector<HeaderField> marks;
};

// The retry limit must not refuse the few requests of a test.
FleetOptions optionsWithRetries()
{
    FleetOptions options;
    options.retries.ratio = 10;
    return options;
}

/// A replica that keeps its connections open: states on the path /app/state that it is leaving, and
/// sends half of its answer on /app/slow until it is told to finish.
class KeptConnections
{
public:
    explicit KeptConnections(boost::asio::io_context &io)
        : m_acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    bool hasUnfinished() const { return m_unfinished != nullptr; }
    void finish() { boost::asio::write(*m_unfinished, boost::asio::buffer("b", 1)); }

    int accepted = 0;
    int open = 0;

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &ec, Socket socket) {
            if (!ec) {
                ++accepted;
                ++open;
                read(std::make_shared<Socket>(std::move(socket)), std::make_shared<std::string>());
                accept();
            }
        });
    }

    void read(const std::shared_ptr<Socket> &socket, const std::shared_ptr<std::string> &request)
    {
        boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(*request), "\r\n\r\n",
                                      [=](const boost::system::error_code &ec, std::size_t /*n*/) {
                                          if (ec) {
                                              --open;
                                              return;
                                          }
                                          answer(socket, *request);
                                          request->clear();
                                          read(socket, request);
                                      });
    }

    void answer(const std::shared_ptr<Socket> &socket, const std::string &request)
    {
        const bool isSlow = request.find("/app/slow") != std::string::npos;
        const bool isStating = request.find("/app/state") != std::string::npos;
        const std::size_t idAt = request.find("X-Marigoldspool-Request-Id");
        const std::string id = request.substr(idAt, request.find('\n', idAt) + 1 - idAt);
        const std::string text = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n") + id
            + "X-Marigoldspool-Replica-Seal: seal\r\n" + (isStating ? "Server-Leaving: 1\r\n" : "")
            + (isSlow ? "\r\na" : "\r\nab");
        boost::asio::write(*socket, boost::asio::buffer(text));
        if (isSlow) {
            m_unfinished = socket;
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<Socket> m_unfinished;
};

class StatementFixture : public RequestPathFixture
{
public:
    StatementFixture()
        : RequestPathFixture(optionsWithRetries())
    { }

    // Adds the service i-1, which gives the answer once and then serves.
    StandinReplica &addStatingService(const StatingAnswer &answer)
    {
        return addReplica("i-1", "app", [this, answer](const auto &request, const auto &sink) {
            arrivals.push_back(clock.now());
            const bool isStating = request.target == "/app/state" && arrivalsOfState++ == 0;
            if (!isStating) {
                answerOk(request, sink);
                return;
            }
            std::vector<HeaderField> headers = answer.marks;
            headers.push_back({"X-Marigoldspool-Request-Id", requestId(request)});
            sink->head(answer.status, headers, false);
            sink->data("x");
            sink->finish();
            statedAt = arrivals.size();
        });
    }

    // Adds an engine that serves streams and states what its field `statement` has.
    StandinReplica &addStatingEngine(const std::string &id, std::vector<std::string> models,
                                     std::vector<HeaderField> statement = {})
    {
        StandinReplica &engine = addReplica(
            id, "llm",
            [this, id](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                arrivals.push_back(clock.now());
                serve(replica(id), request, sink);
            },
            std::move(models));
        engine.statement = std::move(statement);
        return engine;
    }

    StandinReplica &replica(const std::string &id)
    {
        for (const auto &it : replicas) {
            if (it->id == id) {
                return *it;
            }
        }
        FAIL("no replica ", id);
        return *replicas.front();
    }

    void serve(const StandinReplica &engine, const HttpRequest &request,
               const std::shared_ptr<ResponseSink> &sink) const
    {
        const std::string model = *findHeader(request.headers, "X-Marigoldspool-Model");
        const auto &loaded = engine.models;
        if (std::find(loaded.begin(), loaded.end(), model) == loaded.end()) {
            answerNotRun(request, sink, 421);
            return;
        }
        std::vector<HeaderField> headers = streamHeaders(request);
        headers.insert(headers.end(), engine.statement.begin(), engine.statement.end());
        sink->head(200, headers, true);
        const bool isCut =
            request.target == "/llm/cut" && findHeader(request.headers, "Last-Event-Id") == nullptr;
        sink->data(isCut ? "id: 1\ndata: x\n\n" : "id: 2\ndata: x\n\n");
        isCut ? sink->abort() : sink->finish();
    }

    void runFor(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    // Requests that came after the statement.
    std::size_t arrivalsAfter() const { return arrivals.size() - statedAt; }

    std::vector<SteadyTime> arrivals;
    int arrivalsOfState = 0;
    std::size_t statedAt = 0;
};

} // namespace

TEST_CASE("a replica that says in any answer that it is leaving gets no further request")
{
    const StatingAnswer rows[] = {{"success", 200, {Sealed, Leaving}},
                                  {"failure", 500, {Sealed, Leaving}},
                                  {"refusal", 404, {Sealed, Leaving}},
                                  {"failure without seal", 500, {Leaving}},
                                  {"not run", 503, {NotRun, Leaving}},
                                  {"not run, too many", 429, {NotRun, Leaving}},
                                  {"not the model", 421, {NotRun, OwnId, Leaving}},
                                  {"health", 503, {OwnId, Leaving}}};
    bool hasOutage = true;
    for (const StatingAnswer &row : rows) {
        const std::string name = row.name;
        CAPTURE(name);
        StatementFixture f;
        StandinReplica &replica = f.addStatingService(row);
        f.callUntilStatus(200, "/app/x");
        f.callAndWait("/app/state");
        REQUIRE(f.statedAt > 0);
        json entry = replica.entry("app");
        entry["coldLeftMs"] = 1;
        f.store.put("servers", "i-1", entry);
        f.runFor(300ms);
        CHECK(f.callAndWait("/app/x")->status == 503);
        if (std::exchange(hasOutage, false)) {
            f.store.refuseCalls = true;
            f.runFor(1500ms);
            CHECK(f.callAndWait("/app/x")->status == 503);
            f.store.refuseCalls = false;
        }
        CHECK(f.arrivalsAfter() == 0);
        replica.born = 2;
        f.store.put("servers", "i-1", replica.entry("app"));
        f.callUntilStatus(200, "/app/x");
    }
}

TEST_CASE_FIXTURE(StatementFixture, "an engine that is leaving by its report gets no request")
{
    StandinReplica &engine = addStatingEngine("i-1", {"m"}, {Leaving});
    REQUIRE(runUntil(io, [&engine] {
        return engine.reports > 0;
    }));
    runFor(100ms);
    CHECK(callAndWait("/llm/x", "m")->status == 503);
    CHECK(arrivals.empty());
    CHECK(engine.orders.empty());
    runFor(5s);
    CHECK(engine.reports == 1);
}

TEST_CASE_FIXTURE(StatementFixture,
                  "an engine that is leaving by its answer to an order gets no further order")
{
    StandinReplica &engine = addStatingEngine("i-1", {"m"});
    callUntilStatus(200, "/llm/x", "m");
    engine.statement = {Leaving};
    engine.reportsState = false;
    // Memory is enough for one model, so the first order is to unload the other one.
    CHECK(callAndWait("/llm/x", "n")->status == 503);
    CHECK(engine.orders.size() == 1);
}

TEST_CASE_FIXTURE(StatementFixture,
                  "the models of an engine that says that it is leaving are loaded elsewhere")
{
    StandinReplica &first = addStatingEngine("i-1", {"m"});
    StandinReplica &second = addStatingEngine("i-2", {"n"});
    callUntilStatus(200, "/llm/x", "m");
    callUntilStatus(200, "/llm/x", "n");
    const std::string ownerAddress = callerAddress;
    SUBCASE("the owner has heard it") { }
    std::unique_ptr<FleetDaemon> other;
    SUBCASE("another instance has heard it")
    {
        // The reports of the engine do not say it, so that only the message can tell the owner.
        first.reportsState = false;
        other = addInstance("front-2");
    }
    runFor(1500ms);
    first.statement = {Leaving};
    CHECK(callAndWait("/llm/x", "m")->status == 200);
    const std::size_t before = first.requests.size();
    runFor(200ms);
    callerAddress = ownerAddress;
    CHECK(callAndWait("/llm/x", "m")->status == 200);
    CHECK(first.requests.size() == before);
    CHECK(std::find(second.models.begin(), second.models.end(), "m") != second.models.end());
    REQUIRE_FALSE(second.orders.empty());
    CHECK(second.orders.back()["holder"] == "front-1");
}

TEST_CASE_FIXTURE(StatementFixture, "a stream is not resumed at a replica that is leaving")
{
    engineMemoryMb = 200;
    configure(2, {"k1"});
    StandinReplica &first = addStatingEngine("i-1", {"m"});
    callUntilStatus(200, "/llm/x", "m");
    runFor(1s);
    StandinReplica &second = addStatingEngine("i-2", {"m"}, {Leaving});
    REQUIRE(runUntil(io, [&second] {
        return second.reports > 0;
    }));
    runFor(100ms);
    const auto answer = callAndWait("/llm/cut", "m");
    CHECK(answer->complete);
    CHECK(answer->body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    CHECK(first.requests.size() >= 3);
    CHECK(second.requests.empty());
}

// A stream that was cut off because its replica is leaving would be lost for its caller.
TEST_CASE_FIXTURE(StatementFixture,
                  "what a leaving replica is answering ends, and its connections are closed then")
{
    KeptConnections connections(io);
    json entry = addReplica("i-9", "else", answerOk).entry("app");
    entry["addr"] = connections.address();
    store.put("servers", "i-1", entry);
    callUntilStatus(200, "/app/x");
    const auto slow = call("/app/slow");
    REQUIRE(runUntil(io, [&connections] {
        return connections.hasUnfinished();
    }));
    callAndWait("/app/state");
    const int before = connections.accepted;
    runFor(300ms);
    CHECK(connections.open == 1);
    CHECK_FALSE(slow->ended);
    connections.finish();
    REQUIRE(runUntil(io, [&slow] {
        return slow->ended;
    }));
    CHECK(slow->complete);
    CHECK(slow->body == "ab");
    runFor(300ms);
    CHECK(connections.open == 0);
    CHECK(connections.accepted == before);
}

// The address was assigned to a replica of another service, which is leaving.
TEST_CASE("what another replica at the address says is not held against a replica")
{
    for (const HeaderField &mark : {HeaderField{"X-Marigoldspool-Replica-Id", "i-9"}, NotRun}) {
        CAPTURE(mark.name);
        StatementFixture f;
        int refusals = 0;
        const StandinReplica &other =
            f.addReplica("i-9", "else", [&](const auto &request, const auto &sink) {
                if (++refusals > 1) {
                    answerOk(request, sink);
                    return;
                }
                const HeaderField headers[] = {
                    {"X-Marigoldspool-Request-Id", requestId(request)}, Leaving, mark};
                sink->head(421, headers, false);
                sink->finish();
            });
        f.store.put("servers", "i-1", other.entry("app"));
        f.callUntilStatus(200, "/app/x");
        CHECK(refusals > 1);
    }
}

TEST_CASE("a request waits as long as the only replica wants no requests")
{
    constexpr auto Wanted = 1200ms;
    const StatingAnswer rows[] = {{"not run", 503, {NotRun, retryAfter("1.2")}},
                                  {"failure", 503, {Sealed, retryAfter("1.2")}},
                                  {"health", 503, {OwnId, retryAfter("1.2")}}};
    for (const StatingAnswer &row : rows) {
        const std::string name = row.name;
        CAPTURE(name);
        StatementFixture f;
        f.addStatingService(row);
        f.callUntilStatus(200, "/app/x");
        const auto answer = f.call("/app/state");
        REQUIRE(runUntil(f.io, [&f] {
            return f.statedAt > 0;
        }));
        const SteadyTime statedAt = f.arrivals.back();
        f.runFor(50ms);
        const auto second = f.callAndWait("/app/x");
        CHECK(second->status == 200);
        REQUIRE(runUntil(f.io, [&answer] {
            return answer->ended;
        }));
        CHECK(answer->status == 200);
        REQUIRE(f.arrivalsAfter() == 2);
        CHECK(f.arrivals[f.statedAt] - statedAt >= Wanted);
        CHECK(f.arrivals[f.statedAt] - statedAt < Wanted + 500ms);
    }
}

TEST_CASE_FIXTURE(StatementFixture,
                  "a request that cannot wait until the replica wants requests is refused at once")
{
    addStatingService({"not run", 503, {NotRun, retryAfter("60")}});
    callUntilStatus(200, "/app/x");
    const SteadyTime before = clock.now();
    for (const char *target : {"/app/state", "/app/x", "/once/x"}) {
        const auto answer = callAndWait(target);
        CHECK(answer->status == 503);
        REQUIRE_FALSE(answer->retryAfter.empty());
        CHECK(std::stod(answer->retryAfter) > 58);
        CHECK(std::stod(answer->retryAfter) <= 60);
    }
    CHECK(clock.now() - before < 1s);
    CHECK(arrivalsAfter() == 0);
    // Another replica is used meanwhile.
    addReplica("i-2", "app", answerOk);
    callUntilStatus(200, "/app/x");
    CHECK(arrivalsAfter() == 0);
}

TEST_CASE("a replica whose Retry-After states no time gets requests as after other refusals")
{
    for (const std::string value : {"0", "-5", "soon", "Sat, 05 Dec 2026 01:00:00 GMT"}) {
        CAPTURE(value);
        StatementFixture f;
        f.addStatingService({"not run", 503, {NotRun, retryAfter(value)}});
        f.callUntilStatus(200, "/app/x");
        const SteadyTime before = f.clock.now();
        CHECK(f.callAndWait("/app/state")->status == 200);
        CHECK(f.clock.now() - before < 500ms);
    }
}

TEST_CASE("an engine that wants no requests gets no order or report")
{
    for (const bool isOrder : {false, true}) {
        CAPTURE(isOrder);
        StatementFixture f;
        StandinReplica &engine = f.addStatingEngine("i-1", {"m"});
        f.callUntilStatus(200, "/llm/x", "m");
        if (isOrder) {
            REQUIRE(runUntil(f.io, [&engine] {
                return engine.reports > 0;
            }));
        }
        engine.statement = {retryAfter("1.5")};
        engine.engineCallStatus = 503;
        // Needs an order, and before that a report.
        const auto answer = f.call("/llm/x", "n");
        REQUIRE(runUntil(f.io, [&engine] {
            return engine.refusedCalls > 0;
        }));
        const SteadyTime refusedAt = f.clock.now();
        engine.engineCallStatus = 0;
        engine.statement.clear();
        const int reports = engine.reports;
        REQUIRE(runUntil(f.io, [&] {
            return engine.reports > reports || !engine.orders.empty();
        }));
        CHECK(f.clock.now() - refusedAt >= 1450ms);
        REQUIRE(runUntil(f.io, [&answer] {
            return answer->ended;
        }));
        CHECK(answer->status == 200);
    }
}
