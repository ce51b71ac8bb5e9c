// Replicas that name the rate of requests that they take from all instances together.
#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

/// Instances that all get requests for one replica, which names a rate in its answers.
class RateLimitFixture : public RequestPathFixture
{
public:
    RateLimitFixture()
    {
        instanceAddresses.push_back(callerAddress);
        others.push_back(addInstance("front-2"));
        instanceAddresses.push_back(callerAddress);
        addReplica("i-1", "app", [this](const auto &request, const auto &sink) {
            arrivals.push_back(clock.now());
            std::vector<HeaderField> headers = answerHeaders(request);
            if (!limit.empty()) {
                headers.push_back({"Server-Limit", limit});
            }
            sink->head(200, headers, false);
            sink->data("the answer");
            sink->finish();
        });
        for (const std::string &address : instanceAddresses) {
            callerAddress = address;
            callUntilStatus(200, "/app/x");
        }
        // The instances find each other.
        runFor(1s);
        arrivals.clear();
    }

    void runFor(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    // Sends a request every 50 ms, to each instance in turn.
    void sendFor(Duration time)
    {
        constexpr auto Interval = 50ms;
        const SteadyTime end = clock.now() + time;
        while (clock.now() < end) {
            callerAddress = instanceAddresses[answers.size() % instanceAddresses.size()];
            answers.push_back(call("/app/x"));
            runFor(Interval);
        }
    }

    // The most requests that arrived within 4 s, of those that came at `from` or later.
    std::size_t mostWithinWindow(SteadyTime from) const
    {
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto last = std::upper_bound(first, arrivals.end(), *first + 4s);
            most = *first < from ? most : std::max<std::size_t>(most, last - first);
        }
        return most;
    }

    std::string limit;
    std::vector<std::unique_ptr<FleetDaemon>> others;
    std::vector<std::string> instanceAddresses;
    std::vector<SteadyTime> arrivals;
    std::vector<std::shared_ptr<CallerAnswer>> answers;
};

} // namespace

TEST_CASE_FIXTURE(RateLimitFixture,
                  "a replica that names a rate gets no more than that from all instances")
{
    limit = "2";
    const SteadyTime namedAt = clock.now();
    sendFor(8s);
    // The users' bound: one and a half times the limit, and five requests, within 4 s.
    CHECK(mostWithinWindow(namedAt + 3s) <= 1.5 * 2 * 4 + 5);
    CHECK(arrivals.size() >= 8);
}

TEST_CASE_FIXTURE(RateLimitFixture, "a replica whose limit has ended gets all requests again")
{
    limit = "0.5";
    sendFor(2s);
    limit.clear();
    // A request of either instance shows the end, of which it tells the other one.
    sendFor(6s);
    arrivals.clear();
    sendFor(2s);
    CHECK(arrivals.size() >= 35);
}

// What can't be served in time is refused at once, with the time until its turn.
TEST_CASE_FIXTURE(RateLimitFixture, "requests behind a limited replica's queue are refused at once")
{
    limit = "0.5";
    sendFor(1s);
    answers.clear();
    const SteadyTime start = clock.now();
    for (int i = 0; i < 10; ++i) {
        answers.push_back(call("/app/x"));
    }
    runFor(300ms);
    const auto refused = std::count_if(answers.begin(), answers.end(), [](const auto &it) {
        return it->status == 503 && !it->retryAfter.empty();
    });
    CHECK(refused >= 8);
    CHECK(std::stod(answers.back()->retryAfter) > 3);
    CHECK(clock.now() - start < 1s);
}
