#include "marigoldspool/Placement/IdlePolicy.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

void addRequests(IdlePolicy &policy, const ModelName &model, Duration gap, int count)
{
    for (int n = 0; n < count; ++n) {
        policy.onRequest(model, SteadyTime(gap * (n + 1)));
    }
}

} // namespace

TEST_CASE("the timeout covers regular gaps that cost less than a cold start")
{
    IdlePolicyOptions options;
    options.coldStartWeight = 40; // 20 s of cold start cost as much as 800 s of idle time
    IdlePolicy policy(options);
    const ModelName model("m");
    addRequests(policy, model, minutes(4), 20);
    CHECK(policy.timeoutFor(model, seconds(20)) >= minutes(4));
    CHECK(policy.timeoutFor(model, seconds(20)) <= minutes(8));
    // Four minutes of idle time cost more than one short cold start.
    CHECK(policy.timeoutFor(model, seconds(1)) <= minutes(1));
}

TEST_CASE("a model that is never used again within the maximum timeout gets a short one")
{
    IdlePolicy policy;
    const ModelName model("m");
    addRequests(policy, model, minutes(120), 20);
    CHECK(policy.timeoutFor(model, seconds(10)) <= minutes(2));
}

TEST_CASE("the timeout stays within its limits for any history")
{
    IdlePolicy policy;
    for (const int gap : {0, 1, 7, 60, 600, 3600, 86400}) {
        const ModelName model("m" + std::to_string(gap));
        addRequests(policy, model, seconds(gap), 5);
        for (const int coldStart : {0, 1, 100, 10000}) {
            const Duration timeout = policy.timeoutFor(model, seconds(coldStart));
            CHECK(timeout >= seconds(30));
            CHECK(timeout <= minutes(30));
        }
    }
}

TEST_CASE("another request is expected only after enough requests in the history")
{
    IdlePolicy policy;
    const ModelName model("m");
    CHECK_FALSE(policy.isRequestExpectedWithin(model, minutes(10)));
    addRequests(policy, model, seconds(30), 2);
    CHECK_FALSE(policy.isRequestExpectedWithin(model, minutes(10)));
    addRequests(policy, model, seconds(30), 8);
    CHECK(policy.isRequestExpectedWithin(model, minutes(10)));
    CHECK_FALSE(policy.isRequestExpectedWithin(model, seconds(5)));
}
