#include "marigoldspool/Serving/WorkspaceQuota.h"

#include <deque>
#include <memory>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const WorkspaceName Workspace("w");
constexpr double Rate = 60'000;
constexpr double Burst = 60'000;
constexpr double Cost = 1'200;
// The stated bound: a tenth above rate and burst, and a slack for requests on their way.
constexpr double Tolerance = 0.1;
constexpr double Slack = 17'000;

// Instances that exchange reports four times a second, with requests of one size.
class QuotaFleet
{
public:
    explicit QuotaFleet(std::size_t count)
        : demand(count, 0)
        , group(count, 0)
    {
        auto made = std::make_shared<ServingConfiguration>();
        ServedWorkspace workspace;
        workspace.name = Workspace;
        workspace.rate = Rate;
        workspace.burst = Burst;
        workspace.countsTokens = true;
        made->workspaces = {workspace};
        configuration = made;
        instances.resize(count);
        incarnations.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            restart(i);
        }
    }

    void restart(std::size_t i)
    {
        instances[i] = std::make_unique<WorkspaceQuota>(clock);
        instances[i]->setConfiguration(configuration);
        instances[i]->setInstances(instances.size());
        ++incarnations[i];
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 10ms) {
            for (std::size_t i = 0; i < instances.size(); ++i) {
                due.resize(instances.size());
                due[i] += demand[i] * 0.01 / Cost;
                for (; due[i] >= 1; due[i] -= 1) {
                    asked += Cost;
                    if (!instances[i]->take(Workspace, Cost)) {
                        admitted += Cost;
                        admissions.emplace_back(clock.now(), Cost);
                    }
                }
            }
            if (passed % 250ms == Duration::zero()) {
                exchange();
            }
            checkBound();
            clock.advance(10ms);
        }
    }

    void exchange()
    {
        if (hub) {
            exchangeThroughHub();
            return;
        }
        for (std::size_t i = 0; i < instances.size(); ++i) {
            for (std::size_t j = 0; j < instances.size(); ++j) {
                if (i != j && group[i] == group[j]) {
                    instances[j]->onReport(InstanceId(std::to_string(i)), incarnations[i],
                                           instances[i]->report());
                }
            }
        }
    }

    // The first instance sums up, as the placement owner of a large fleet does.
    void exchangeThroughHub()
    {
        const InstanceId first("0");
        for (std::size_t i = 1; i < instances.size(); ++i) {
            instances[0]->onReport(InstanceId(std::to_string(i)), incarnations[i],
                                   instances[i]->report());
        }
        for (std::size_t i = 1; i < instances.size(); ++i) {
            instances[i]->onTotals(first, incarnations[0], instances[0]->totals());
        }
    }

    void checkBound()
    {
        while (!admissions.empty() && admissions.front().first + 8s <= clock.now()) {
            admissions.pop_front();
        }
        double sum = 0;
        for (const auto &[at, cost] : admissions) {
            sum += cost;
        }
        most = std::max(most, sum);
    }

    double allowed() const { return (Rate * 8 + Burst) * (1 + Tolerance) + Slack; }

    ManualClock clock;
    ServingConfigurationPtr configuration;
    std::vector<std::unique_ptr<WorkspaceQuota>> instances;
    std::vector<std::uint64_t> incarnations;
    /// Tokens each second at each instance.
    std::vector<double> demand;
    /// Instances with the same number hear each other.
    std::vector<int> group;
    bool hub = false;
    std::vector<double> due;
    std::deque<std::pair<SteadyTime, double>> admissions;
    double asked = 0;
    double admitted = 0;
    double most = 0;
};

} // namespace

// trouble-2 of a bench site: 1,008 tries within the rate were refused because a third of the
// demand came in at one of six instances.
TEST_CASE("uneven demand within the rate is served whole")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand = {0.3 * Rate, 0.02 * Rate, 0.04 * Rate, 0.1 * Rate, 0.05 * Rate, 0.05 * Rate};
    fleet.run(30s);
    CHECK(fleet.admitted == fleet.asked);
}

TEST_CASE("a workspace that asks for a multiple of its rate stays within the bound")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand.assign(6, 0.9 * Rate);
    fleet.run(30s);
    CHECK(fleet.most <= fleet.allowed());
    // What the rate allows is also used.
    CHECK(fleet.admitted >= 0.85 * Rate * 30);
}

TEST_CASE("the bound holds while the instances are cut into groups")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand.assign(6, 0.9 * Rate);
    fleet.run(10s);
    fleet.group = {0, 0, 0, 1, 1, 2};
    fleet.run(15s);
    fleet.group.assign(6, 0);
    fleet.run(10s);
    CHECK(fleet.most <= fleet.allowed());
}

TEST_CASE("instances that restart do not get their shares anew")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand.assign(6, 0.9 * Rate);
    fleet.run(10s);
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.restart(i);
        fleet.run(1s);
    }
    fleet.run(8s);
    CHECK(fleet.most <= fleet.allowed());
}

TEST_CASE("the bound holds when all instances are killed at once in the middle of an overload")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand.assign(6, 0.9 * Rate);
    fleet.run(10s);
    fleet.clock.advance(1500ms);
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.restart(i);
    }
    fleet.run(10s);
    CHECK(fleet.most <= fleet.allowed());
}

TEST_CASE("an instance that hears nobody keeps to its even share")
{
    QuotaFleet fleet(4);
    fleet.group = {0, 1, 2, 3};
    fleet.run(10s);
    fleet.demand = {Rate, 0, 0, 0};
    fleet.run(16s);
    CHECK(fleet.most <= (Rate * 8 + Burst) / 4 + 2 * Cost);
    CHECK(fleet.admitted > 0);
}

TEST_CASE("what is refused is told when to come back")
{
    QuotaFleet fleet(2);
    fleet.run(10s);
    fleet.demand.assign(2, 4 * Rate);
    fleet.run(12s);
    std::optional<Duration> wait;
    for (int i = 0; i < 500 && !wait; ++i) {
        wait = fleet.instances[0]->take(Workspace, Cost);
    }
    REQUIRE(wait);
    CHECK(*wait >= 300ms);
    CHECK(*wait <= 4s);
}

// On a grown bench site all workspaces were refused within their rates: an instance took its own
// use out of the bucket a second time when it came back in the sum of all.
TEST_CASE("in a fleet with a hub, demand within the rate is served whole")
{
    QuotaFleet fleet(30);
    fleet.hub = true;
    fleet.run(10s);
    fleet.demand.assign(30, 0.55 * Rate / 30);
    fleet.demand[7] = 0.1 * Rate;
    fleet.run(30s);
    CHECK(fleet.admitted >= 0.99 * fleet.asked);
}

TEST_CASE("in a fleet with a hub, the bound holds through overload and restarts")
{
    QuotaFleet fleet(30);
    fleet.hub = true;
    fleet.run(10s);
    fleet.demand.assign(30, 5 * Rate / 30);
    fleet.run(10s);
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.restart(i);
        fleet.run(1s);
    }
    CHECK(fleet.most <= fleet.allowed());
    CHECK(fleet.admitted >= 0.7 * Rate * 20);
}
