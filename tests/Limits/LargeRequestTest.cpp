#include "Limits/LimitsFleet.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

// Counts how many of 80 requests, one every 60 ms, are admitted at one instance of four.
int countAdmitted(const LimitOptions &limits, double cost)
{
    const WorkspaceName workspace("derwent");
    LimitsFleetOptions options;
    options.zones = 2;
    options.perZone = 2;
    options.fullMesh = true;
    options.limits = limits;
    options.rules = {{{workspace, 2000, 2000}}, {{ZoneName("z0"), 1}, {ZoneName("z1"), 1}}, {}};
    LimitsFleet fleet(options);
    fleet.run(7s);
    int admitted = 0;
    for (int i = 0; i < 80; ++i) {
        fleet.request(fleet.node(0), workspace, cost, [&](const LimitDecision &decision) {
            admitted += decision.outcome == LimitDecision::Outcome::Admitted ? 1 : 0;
        });
        fleet.run(60ms);
    }
    return admitted;
}

} // namespace

// Guards against loans that end before a request for most of the burst has borrowed enough tokens.
// With running daemons, each retry lost what the previous one had borrowed and none was admitted;
// RunLocal tests that case, which this simulated network does not reproduce.
TEST_CASE("a request of three quarters of the burst is admitted when it is retried")
{
    // 5 s at 2,000 tokens a second allow 6 requests of 1,505 tokens, in addition to those that
    // the initial tokens allow.
    CHECK(countAdmitted(LimitOptions{}, 1505) >= 3);
}
