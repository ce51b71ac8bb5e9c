#include "marigoldspool/Routing/FairQueue.h"

#include "marigoldspool/Support/RandomSource.h"

#include <map>
#include <string>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

Request makeRequest(const std::string &id, const std::string &workspace, double cost = 1,
                    double share = 1, Duration deadline = 10s)
{
    Request request;
    request.id = RequestId(id);
    request.workspace = WorkspaceName(workspace);
    request.cost = cost;
    request.share = share;
    request.deadline = SteadyTime(deadline);
    return request;
}

} // namespace

TEST_CASE("a workspace with a long backlog does not delay the first request of another")
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i) {
        queue.push(makeRequest("big" + std::to_string(i), "big"));
    }
    queue.pop();
    CHECK(queue.costAhead(WorkspaceName("small"), 1, 1) <= 1);
    queue.push(makeRequest("small", "small"));
    int position = 1;
    while (queue.pop()->workspace != WorkspaceName("small")) {
        ++position;
    }
    CHECK(position <= 2);
}

TEST_CASE("backlogged workspaces are served tokens in proportion to their shares")
{
    FairQueue queue;
    SeededRandomSource random(11);
    for (int i = 0; i < 2000; ++i) {
        queue.push(makeRequest("a" + std::to_string(i), "a", 1.0 + double(random.below(20)), 1));
        queue.push(makeRequest("b" + std::to_string(i), "b", 1.0 + double(random.below(20)), 3));
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 1500; ++i) {
        const Request request = *queue.pop();
        served[request.workspace.str()] += request.cost;
    }
    CHECK(served["b"] / served["a"] == doctest::Approx(3).epsilon(0.05));
}

TEST_CASE("a workspace accumulates no credit while it is idle")
{
    FairQueue queue;
    for (int i = 0; i < 50; ++i) {
        queue.push(makeRequest("a" + std::to_string(i), "a"));
    }
    for (int i = 0; i < 40; ++i) {
        queue.pop();
    }
    for (int i = 0; i < 10; ++i) {
        queue.push(makeRequest("b" + std::to_string(i), "b"));
    }
    int servedOfA = 0;
    for (int i = 0; i < 10; ++i) {
        servedOfA += queue.pop()->workspace == WorkspaceName("a") ? 1 : 0;
    }
    CHECK(servedOfA >= 4);
}

TEST_CASE("only expired requests are removed, in order of their deadlines")
{
    FairQueue queue;
    queue.push(makeRequest("late", "a", 1, 1, 9s));
    queue.push(makeRequest("early", "a", 1, 1, 2s));
    queue.push(makeRequest("middle", "b", 1, 1, 3s));
    const auto expired = queue.takeExpired(SteadyTime(3s));
    REQUIRE(expired.size() == 2);
    CHECK(expired[0].id == RequestId("early"));
    CHECK(expired[1].id == RequestId("middle"));
    CHECK(queue.size() == 1);
    CHECK(queue.earliestDeadline() == SteadyTime(9s));
}

TEST_CASE("removed requests are not charged to their workspace")
{
    FairQueue queue;
    queue.push(makeRequest("other", "b"));
    queue.push(makeRequest("gone", "a", 1000));
    CHECK(queue.remove(RequestId("gone")));
    CHECK(!queue.remove(RequestId("gone")));
    queue.push(makeRequest("next", "a"));
    queue.push(makeRequest("other2", "b"));
    queue.pop();
    CHECK(queue.pop()->id == RequestId("next"));
}

TEST_CASE("eviction removes requests only from the workspace with the most queued tokens per share")
{
    FairQueue queue;
    for (int i = 0; i < 10; ++i) {
        queue.push(makeRequest("big" + std::to_string(i), "big"));
    }
    queue.push(makeRequest("small0", "small"));
    CHECK(!queue.evictFor(makeRequest("big10", "big")));
    const auto evicted = queue.evictFor(makeRequest("small1", "small"));
    REQUIRE(evicted);
    CHECK(evicted->id == RequestId("big9"));
}

TEST_CASE("no request is lost or returned twice under random operations")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SeededRandomSource random(seed);
        FairQueue queue;
        std::map<RequestId, int> state; // 1 queued, 2 left the queue
        for (int i = 0; i < 500; ++i) {
            const std::string id = std::to_string(i);
            queue.push(makeRequest(id, "w" + std::to_string(random.below(5)),
                                   1.0 + double(random.below(9)), 1,
                                   Duration(std::chrono::seconds(random.below(100)))));
            state[RequestId(id)] = 1;
            if (random.below(2) == 0) {
                const Request request = *queue.pop();
                CHECK(state[request.id]++ == 1);
            }
            if (random.below(10) == 0) {
                for (const Request &request : queue.takeExpired(SteadyTime(20s))) {
                    CHECK(state[request.id]++ == 1);
                }
            }
        }
        for (const Request &request : queue.takeAll()) {
            CHECK(state[request.id]++ == 1);
        }
        for (const auto &[id, n] : state) {
            CHECK(n == 2);
        }
    }
}
