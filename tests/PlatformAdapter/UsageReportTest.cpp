// The reports of usage to the control API, from the requests of callers on.
#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct AcceptedCall {
    std::string holder;
    std::uint64_t token = 0;
    std::int64_t window = 0;
    json counts;
    SteadyTime at;
};

FleetOptions dutyOptions(const std::string &apiAddress)
{
    FleetOptions options;
    options.lease.validity = 1500ms;
    options.lease.renewInterval = 400ms;
    options.lease.handoverGap = 500ms;
    options.lease.safetyMargin = 100ms;
    options.duties = DutyOptions();
    options.duties->address = apiAddress;
    options.duties->reportsUsage = true;
    options.duties->callsPerSecond = 20;
    options.duties->usageWindow = 1s;
    options.duties->usageDue = 5s;
    return options;
}

std::string apiAddressOfTest()
{
    static const std::string address = "127.0.0.1:" + std::to_string(takeFreePort());
    return address;
}

FleetOptions laterOptions()
{
    FleetOptions options = dutyOptions(apiAddressOfTest());
    options.lease.acquireDelay = 1s;
    return options;
}

// Two instances with a control API. front-2 has an event loop of its own, which stands still while
// the process is frozen or killed, and takes the lease.
class UsageFixture : public RequestPathFixture
{
public:
    UsageFixture()
        : RequestPathFixture(laterOptions())
    {
        HttpServerOptions serverOptions;
        serverOptions.address = apiAddressOfTest();
        auto server = makeHttpServer(
            io, serverOptions,
            [this](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                onCall(request, *sink);
            },
            metrics);
        REQUIRE(server);
        api = std::move(*server);
        firstAddress = callerAddress;
        FleetOptions options = dutyOptions(apiAddressOfTest());
        options.instance = InstanceId("front-2");
        options.zone = ZoneName("z1");
        const auto port = [] {
            return "127.0.0.1:" + std::to_string(takeFreePort());
        };
        secondAddress = options.callerAddress = port();
        options.readinessAddress = port();
        options.peerAddress = port();
        options.storeAddress = store.address();
        auto objectStore = makePlatformStore(secondIo, store.address(), 800ms, metrics);
        REQUIRE(objectStore);
        second = std::make_unique<FleetDaemon>(secondIo, options, codec, std::move(*objectStore),
                                               std::make_unique<Metrics>());
        REQUIRE(second->start());
        addReplica("i-1", "app", answerOk);
    }

    void onCall(const HttpRequest &request, ResponseSink &sink)
    {
        CHECK(request.target == "/usage");
        if (++calls % 2 == 0 && refusesHalf) {
            answerText(sink, 429, "{}");
            return;
        }
        const json body = json::parse(request.body);
        accepted.push_back(
            {*findHeader(request.headers, "X-Marigoldspool-Duty-Holder"),
             std::stoull(*findHeader(request.headers, "X-Marigoldspool-Fence-Token")),
             body["window"], body["counts"], clock.now()});
        if (answersToLose > 0) {
            --answersToLose;
            sink.head(200, {}, true);
            sink.abort();
            return;
        }
        answerText(sink, 200, "{}");
    }

    void runFor(Duration time)
    {
        const SteadyTime end = clock.now() + time;
        while (clock.now() < end) {
            step();
        }
    }

    void step()
    {
        io.restart();
        io.run_one_for(1ms);
        io.poll();
        if (secondRuns) {
            secondIo.restart();
            secondIo.poll();
        }
    }

    // Sends a request every 20 ms for the time and counts those that were answered.
    void request(const std::string &address, Duration time)
    {
        const SteadyTime end = clock.now() + time;
        while (clock.now() < end) {
            callerAddress = address;
            answers.push_back(call("/once/x"));
            runFor(20ms);
        }
    }

    std::uint64_t answeredCount() const
    {
        return static_cast<std::uint64_t>(
            std::count_if(answers.begin(), answers.end(), [](const auto &it) {
                return it->status == 200;
            }));
    }

    // The sum of all reported counts. Checks what must never happen.
    std::uint64_t reportedCount() const
    {
        std::map<std::int64_t, json> windows;
        std::map<std::uint64_t, std::string> holders;
        std::uint64_t token = 0;
        for (const AcceptedCall &it : accepted) {
            CHECK(windows.emplace(it.window, it.counts).first->second == it.counts);
            CHECK(holders.emplace(it.token, it.holder).first->second == it.holder);
            CHECK(it.token >= token);
            token = it.token;
        }
        std::uint64_t sum = 0;
        for (const auto &[window, counts] : windows) {
            sum += counts.value("t", std::uint64_t{0});
        }
        return sum;
    }

    // Waits for a report of the holder, or of any if it is empty.
    bool waitForReportOf(const std::string &holder)
    {
        const SteadyTime end = clock.now() + 20s;
        while (clock.now() < end) {
            if (!accepted.empty() && (holder.empty() || accepted.back().holder == holder)) {
                return true;
            }
            step();
        }
        return false;
    }

    boost::asio::io_context secondIo;
    bool secondRuns = true;
    std::unique_ptr<FleetDaemon> second;
    std::unique_ptr<HttpServer> api;
    std::string firstAddress;
    std::string secondAddress;
    std::vector<AcceptedCall> accepted;
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    int calls = 0;
    bool refusesHalf = false;
    int answersToLose = 0;
};

} // namespace

TEST_CASE_FIXTURE(UsageFixture,
                  "the reports have the requests of all instances when the API refuses calls")
{
    REQUIRE(waitForReportOf("front-2"));
    SUBCASE("half of the calls are refused")
    {
        refusesHalf = true;
    }
    SUBCASE("answers are lost")
    {
        answersToLose = 3;
    }
    request(firstAddress, 2s);
    request(secondAddress, 2s);
    runFor(4s);
    CHECK(answeredCount() > 50);
    CHECK(reportedCount() == answeredCount());
}

TEST_CASE_FIXTURE(UsageFixture,
                  "another instance reports after the holder has been frozen, which adds nothing")
{
    REQUIRE(waitForReportOf("front-2"));
    request(firstAddress, 2s);
    secondRuns = false;
    const SteadyTime frozenAt = clock.now();
    request(firstAddress, 1s);
    REQUIRE(waitForReportOf("front-1"));
    CHECK(accepted.back().at - frozenAt >= 500ms);
    secondRuns = true;
    request(secondAddress, 1s);
    runFor(4s);
    CHECK(accepted.back().holder == "front-1");
    CHECK(answeredCount() > 50);
    CHECK(reportedCount() == answeredCount());
}

TEST_CASE_FIXTURE(UsageFixture, "reports go on in windows that begin after the store was restored")
{
    store.era = 1;
    // Both take the lease at the same time, when that of a holder before an earlier restore would
    // have ended.
    REQUIRE(waitForReportOf(""));
    runFor(1s);
    const StandinStore::Copy copy = store.copy();
    request(firstAddress, 2s);
    store.restore(copy);
    const std::size_t before = accepted.size();
    runFor(4s);
    const std::uint64_t reported = reportedCount();
    const std::uint64_t answered = answeredCount();
    request(firstAddress, 2s);
    runFor(4s);
    CHECK(accepted.size() > before);
    CHECK(reportedCount() - reported == answeredCount() - answered);
}
