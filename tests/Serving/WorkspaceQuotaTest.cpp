#include "marigoldspool/Serving/WorkspaceQuota.h"
#include "marigoldspool/Serving/UsageHubSelector.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const WorkspaceName Workspace("w");
constexpr double Rate = 60'000;
constexpr double Burst = Rate;
constexpr double Cost = 1'200;
// The specified limit: 10 % above rate and burst, plus a slack for requests in transit.
constexpr double Tolerance = 0.1;
constexpr double Slack = 17'000;
constexpr Duration Window = 8s;

// Instances that exchange reports four times a second, with requests of equal cost.
class QuotaFleet
{
public:
    explicit QuotaFleet(std::size_t count, double workspaceRate = Rate, double burstSeconds = 1,
                        double boundSlack = Slack)
        : rate(workspaceRate)
        , burst(burstSeconds * workspaceRate)
        , slack(boundSlack)
        , demand(count, 0)
        , partition(count, 0)
    {
        auto newConfiguration = std::make_shared<ServingConfiguration>();
        ServedWorkspace workspace;
        workspace.name = Workspace;
        workspace.rate = rate;
        workspace.burst = burst;
        workspace.countsTokens = true;
        newConfiguration->workspaces = {workspace};
        configuration = newConfiguration;
        instances.resize(count);
        incarnations.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            restart(i);
        }
    }

    void restart(std::size_t i)
    {
        instances[i] = std::make_unique<WorkspaceQuota>(clock, QuotaBound{slack, Window});
        instances[i]->setConfiguration(configuration);
        instances[i]->setInstanceCount(instances.size());
        ++incarnations[i];
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 10ms) {
            for (std::size_t i = 0; i < instances.size(); ++i) {
                dueRequests.resize(instances.size());
                dueRequests[i] += demand[i] * 0.01 / Cost;
                for (; dueRequests[i] >= 1; dueRequests[i] -= 1) {
                    requested += Cost;
                    if (!instances[i]->tryTake(Workspace, Cost)) {
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
        if (!hubs.empty()) {
            exchangeThroughHubs();
            return;
        }
        if (usesSingleHub) {
            exchangeThroughHub();
            return;
        }
        for (std::size_t i = 0; i < instances.size(); ++i) {
            for (std::size_t j = 0; j < instances.size(); ++j) {
                if (i != j && partition[i] == partition[j]) {
                    instances[j]->onReport(InstanceId(std::to_string(i)), incarnations[i],
                                           instances[i]->report());
                }
            }
        }
    }

    // The first instance is the hub, like the placement owner of a large fleet.
    void exchangeThroughHub()
    {
        const InstanceId hubId("0");
        for (std::size_t i = 1; i < instances.size(); ++i) {
            instances[0]->onReport(InstanceId(std::to_string(i)), incarnations[i],
                                   instances[i]->report());
        }
        for (std::size_t i = 1; i < instances.size(); ++i) {
            instances[i]->onTotals(hubId, incarnations[0], instances[0]->totals());
        }
    }

    // All instances are connected to the owner and to those of their zone, as in a large fleet.
    void useHubs(std::size_t zones)
    {
        for (std::size_t i = 0; i < instances.size(); ++i) {
            hubs.push_back(std::make_unique<UsageHubSelector>(nameOf(i), clock));
            hubs[i]->setOwner(nameOf(0));
            std::vector<InstanceId> members;
            for (std::size_t j = i % zones; j < instances.size(); j += zones) {
                members.push_back(nameOf(j));
            }
            zoneMembers.push_back(members);
            hubs[i]->setZoneMembers(std::move(members));
        }
    }

    std::vector<InstanceId> connected(std::size_t i) const
    {
        std::vector<InstanceId> ids;
        for (const InstanceId &id : zoneMembers[i]) {
            if (id != nameOf(i) && !(isOwnerLost && id == nameOf(0))) {
                ids.push_back(id);
            }
        }
        if (!isOwnerLost && i != 0) {
            ids.push_back(nameOf(0));
        }
        return ids;
    }

    void exchangeThroughHubs()
    {
        for (std::size_t i = 0; i < instances.size(); ++i) {
            if (isOwnerLost && i == 0) {
                continue;
            }
            const InstanceId to = hubs[i]->currentHub(connected(i));
            if (to != nameOf(i)) {
                instances[std::stoul(to.str())]->onReport(nameOf(i), incarnations[i],
                                                          instances[i]->report());
                continue;
            }
            for (std::size_t j = 0; j < instances.size(); ++j) {
                const std::vector<InstanceId> peers = connected(j);
                const bool isConnected =
                    std::find(peers.begin(), peers.end(), nameOf(i)) != peers.end();
                if (isConnected && hubs[j]->acceptTotals(nameOf(i), peers)) {
                    instances[j]->onTotals(nameOf(i), incarnations[i], instances[i]->totals());
                }
            }
        }
    }

    static InstanceId nameOf(std::size_t i) { return InstanceId(std::to_string(i)); }

    void checkBound()
    {
        while (!admissions.empty() && admissions.front().first + Window <= clock.now()) {
            admissions.pop_front();
        }
        double sum = 0;
        for (const auto &[at, cost] : admissions) {
            sum += cost;
        }
        maxAdmittedInWindow = std::max(maxAdmittedInWindow, sum);
    }

    double allowedInWindow() const { return (rate * 8 + burst) * (1 + Tolerance) + slack; }

    // Requests of random cost arrive at random instances, with a total of \p perSecond tokens per
    // second.
    void runRandomRequests(Duration time, double perSecond)
    {
        constexpr double MinCost = 300;
        constexpr double MeanExtraCost = 700;
        std::poisson_distribution<int> arrivals(perSecond / (MinCost + MeanExtraCost) * 0.01);
        std::exponential_distribution<double> size(1 / MeanExtraCost);
        for (Duration passed{}; passed < time; passed += 10ms) {
            for (int n = arrivals(random); n > 0; --n) {
                const double cost = MinCost + size(random);
                requested += cost;
                if (!instances[random() % instances.size()]->tryTake(Workspace, cost)) {
                    admitted += cost;
                    admissions.emplace_back(clock.now(), cost);
                }
            }
            if (passed % 450ms == Duration::zero()) {
                exchange();
            }
            checkBound();
            clock.advance(10ms);
        }
    }

    double rate;
    double burst;
    double slack;
    ManualClock clock;
    std::mt19937 random{7};
    ServingConfigurationPtr configuration;
    std::vector<std::unique_ptr<WorkspaceQuota>> instances;
    std::vector<std::uint64_t> incarnations;
    /// Tokens per second at each instance.
    std::vector<double> demand;
    /// Instances with the same number are connected.
    std::vector<int> partition;
    bool usesSingleHub = false;
    std::vector<std::unique_ptr<UsageHubSelector>> hubs;
    std::vector<std::vector<InstanceId>> zoneMembers;
    bool isOwnerLost = false;
    std::vector<double> dueRequests;
    std::deque<std::pair<SteadyTime, double>> admissions;
    double requested = 0;
    double admitted = 0;
    double maxAdmittedInWindow = 0;
};

} // namespace

// Guards against refusals within the rate when demand is uneven: in the benchmark trouble-2, 1,008
// requests were refused because a third of the demand arrived at one of six instances.
TEST_CASE("uneven demand within the rate is admitted completely")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand = {0.3 * Rate, 0.02 * Rate, 0.04 * Rate, 0.1 * Rate, 0.05 * Rate, 0.05 * Rate};
    fleet.run(30s);
    CHECK(fleet.admitted == fleet.requested);
}

TEST_CASE("demand of a multiple of the rate is limited to the bound")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand.assign(6, 0.9 * Rate);
    fleet.run(30s);
    CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
    // The rate is also used.
    CHECK(fleet.admitted >= 0.85 * Rate * 30);
}

TEST_CASE("the bound holds while the network is partitioned into groups of instances")
{
    QuotaFleet fleet(6);
    fleet.run(10s);
    fleet.demand.assign(6, 0.9 * Rate);
    fleet.run(10s);
    fleet.partition = {0, 0, 0, 1, 1, 2};
    fleet.run(15s);
    fleet.partition.assign(6, 0);
    fleet.run(10s);
    CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
}

TEST_CASE("restarted instances do not get their shares again")
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
    CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
}

TEST_CASE("the bound holds when all instances are killed at once under overload")
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
    CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
}

TEST_CASE("an isolated instance is limited to its even share")
{
    QuotaFleet fleet(4);
    fleet.partition = {0, 1, 2, 3};
    fleet.run(10s);
    fleet.demand = {Rate, 0, 0, 0};
    fleet.run(16s);
    CHECK(fleet.maxAdmittedInWindow <= (Rate * 8 + Burst) / 4 + 2 * Cost);
    CHECK(fleet.admitted > 0);
}

TEST_CASE("a refusal comes with a retry delay")
{
    QuotaFleet fleet(2);
    fleet.run(10s);
    fleet.demand.assign(2, 4 * Rate);
    fleet.run(12s);
    std::optional<Duration> wait;
    for (int i = 0; i < 500 && !wait; ++i) {
        wait = fleet.instances[0]->tryTake(Workspace, Cost);
    }
    REQUIRE(wait);
    CHECK(*wait >= 300ms);
    CHECK(*wait <= 4s);
}

// Guards against deducting an instance's own usage a second time when it returns in the totals,
// which caused refusals of all workspaces within their rates in a large benchmark.
TEST_CASE("in a fleet with a hub, demand within the rate is admitted")
{
    QuotaFleet fleet(30);
    fleet.usesSingleHub = true;
    fleet.run(10s);
    fleet.demand.assign(30, 0.55 * Rate / 30);
    fleet.demand[7] = 0.1 * Rate;
    fleet.run(30s);
    CHECK(fleet.admitted >= 0.99 * fleet.requested);
}

TEST_CASE("in a fleet with a hub, the bound holds through overload and restarts")
{
    QuotaFleet fleet(30);
    fleet.usesSingleHub = true;
    fleet.run(10s);
    fleet.demand.assign(30, 5 * Rate / 30);
    fleet.run(10s);
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.restart(i);
        fleet.run(1s);
    }
    CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
    CHECK(fleet.admitted >= 0.7 * Rate * 20);
}

// Guards against refusals while no instance receives totals: in the benchmark scale-2 the placement
// owner was lost for four seconds, and four in ten requests within the rates were refused.
TEST_CASE("demand within the rate is admitted while the owner that acts as hub is unreachable")
{
    QuotaFleet fleet(30);
    fleet.useHubs(3);
    fleet.run(10s);
    fleet.demand.assign(30, 0.55 * Rate / 30);
    fleet.demand[0] = 0;
    fleet.run(5s);
    const double requestedBefore = fleet.requested;
    const double admittedBefore = fleet.admitted;
    for (int i = 0; i < 2; ++i) {
        fleet.isOwnerLost = true;
        fleet.run(6s);
        fleet.isOwnerLost = false;
        fleet.run(4s);
    }
    CHECK(fleet.admitted - admittedBefore >= 0.99 * (fleet.requested - requestedBefore));
}

TEST_CASE("the bound holds under overload while the owner that acts as hub is repeatedly lost")
{
    QuotaFleet fleet(30);
    fleet.useHubs(3);
    fleet.run(10s);
    fleet.demand.assign(30, 5 * Rate / 30);
    fleet.run(10s);
    for (int i = 0; i < 4; ++i) {
        fleet.isOwnerLost = !fleet.isOwnerLost;
        fleet.run(5s);
    }
    CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
    CHECK(fleet.admitted >= 0.6 * Rate * 30);
}

TEST_CASE("the bound holds with a lowered rate while the owner that acts as hub is repeatedly lost")
{
    QuotaFleet fleet(30, 25'000, 3.6);
    fleet.useHubs(3);
    fleet.run(10s);
    fleet.demand.assign(30, 5 * fleet.rate / 30);
    fleet.run(10s);
    for (int i = 0; i < 4; ++i) {
        fleet.isOwnerLost = !fleet.isOwnerLost;
        fleet.run(5s);
    }
    CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
}

TEST_CASE("the instances of a zone select the same hub while the owner sends no totals")
{
    ManualClock clock;
    const std::vector<InstanceId> zone{InstanceId("a"), InstanceId("b"), InstanceId("c")};
    UsageHubSelector a(InstanceId("a"), clock);
    UsageHubSelector b(InstanceId("b"), clock);
    for (UsageHubSelector *hub : {&a, &b}) {
        hub->setZoneMembers(zone);
        hub->setOwner(InstanceId("owner"));
    }
    const std::vector<InstanceId> peersOfA{InstanceId("b"), InstanceId("c"), InstanceId("owner")};
    const std::vector<InstanceId> peersOfB{InstanceId("a"), InstanceId("c"), InstanceId("owner")};
    CHECK(a.acceptTotals(InstanceId("owner"), peersOfA));
    CHECK(a.currentHub(peersOfA) == InstanceId("owner"));
    clock.advance(2s);
    CHECK(a.currentHub(peersOfA) == b.currentHub(peersOfB));
    CHECK(a.currentHub(peersOfA) != InstanceId("owner"));
    CHECK(a.currentHub({}) == InstanceId("a"));
}

// Guards against a burst that is not refilled: in the benchmark quiet-1 the rate of a workspace was
// lowered to a quarter of its burst, and a third of what the bound allows per window was refused.
TEST_CASE("part of a burst beyond one second of the rate is admitted again in each window")
{
    for (const std::size_t count : {6, 62}) {
        CAPTURE(count);
        QuotaFleet fleet(count, 25'000, 3.6);
        if (count > 12) {
            fleet.useHubs(3);
        }
        fleet.runRandomRequests(10s, 10'000);
        const double admittedBefore = fleet.admitted;
        fleet.runRandomRequests(40s, 60'000);
        CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
        // The rate, and in each window a third of the burst beyond one second of the rate.
        const double extraBurst = fleet.burst - fleet.rate;
        CHECK(fleet.admitted - admittedBefore >= (fleet.rate + extraBurst / 3 / 8) * 40);
    }
}

// Guards against refusals within the limit: on a site with a slack above the burst, a workspace
// with a lowered rate got 10,750 tokens/s where rate and burst allow 14,450 (sanduhr-eg, quiet-1).
TEST_CASE("with a large slack, the whole burst beyond one second of the rate is admitted again")
{
    for (const std::size_t count : {6, 62}) {
        CAPTURE(count);
        QuotaFleet fleet(count, 9'040, 4.8, 72'000);
        if (count > 12) {
            fleet.useHubs(3);
        }
        fleet.runRandomRequests(10s, 5'000);
        const double admittedBefore = fleet.admitted;
        fleet.runRandomRequests(40s, 27'000);
        CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
        const double extraBurst = fleet.burst - fleet.rate;
        CHECK(fleet.admitted - admittedBefore >= (fleet.rate + 0.9 * extraBurst / 8) * 40);
    }
}

// Guards against refilling the first second of the burst: in the benchmark scale-2 (seed
// 117851550705) this exceeded the bound by 2.5 %.
TEST_CASE("a burst of one second of the rate is not refilled in addition to the rate")
{
    ManualClock clock;
    auto newConfiguration = std::make_shared<ServingConfiguration>();
    ServedWorkspace workspace;
    workspace.name = Workspace;
    workspace.rate = Rate;
    workspace.burst = Rate;
    newConfiguration->workspaces = {workspace};
    double admitted[] = {0, 0};
    const Duration windows[] = {Duration::zero(), Window};
    for (int i = 0; i < 2; ++i) {
        WorkspaceQuota quota(clock, {Slack, windows[i]});
        quota.setConfiguration(newConfiguration);
        for (int step = 0; step < 2000; ++step) {
            admitted[i] += quota.tryTake(Workspace, Cost) ? 0 : Cost;
            clock.advance(10ms);
        }
    }
    CHECK(admitted[1] == admitted[0]);
}

// Guards against shares smaller than one request: in the benchmark quiet-1 between a third and a
// half of the requests of small workspaces were refused at half of their rates.
TEST_CASE("demand of small workspaces within their rates is admitted in a large fleet")
{
    for (const double rate : {4'200.0, 8'000.0, 20'000.0, 170'000.0}) {
        CAPTURE(rate);
        QuotaFleet fleet(62, rate);
        fleet.useHubs(5);
        fleet.runRandomRequests(10s, 0.55 * rate);
        const double requestedBefore = fleet.requested;
        const double admittedBefore = fleet.admitted;
        fleet.runRandomRequests(30s, 0.55 * rate);
        CHECK(fleet.admitted - admittedBefore >= 0.99 * (fleet.requested - requestedBefore));
    }
}

TEST_CASE("the bound holds in a large fleet when demand rises suddenly to five times the rate")
{
    for (const double rate : {4'200.0, 20'000.0, 60'000.0}) {
        for (const bool restarts : {false, true}) {
            CAPTURE(rate);
            CAPTURE(restarts);
            QuotaFleet fleet(62, rate);
            fleet.useHubs(5);
            fleet.runRandomRequests(10s, 0.2 * rate);
            fleet.runRandomRequests(4s, 5 * rate);
            for (std::size_t i = 0; restarts && i < 62; i += 2) {
                fleet.restart(i);
            }
            fleet.runRandomRequests(8s, 5 * rate);
            CHECK(fleet.maxAdmittedInWindow <= fleet.allowedInWindow());
        }
    }
}
