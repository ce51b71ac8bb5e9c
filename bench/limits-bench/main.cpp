// Measures how much of its rate a workspace gets from limits that are divided over instances, with
// and without loans, against one ideal bucket. All runs are simulated in true time.
#include "Limits/LimitsFleet.h"

#include "marigoldspool/Support/Settings.h"
#include "support/QuietLog.h"

#include <cstdio>
#include <cstdlib>

using namespace marigoldspool;

namespace {

constexpr double Rate = 2000;
constexpr double Burst = 8000;
constexpr int Zones = 4;
// Part of the requests that one instance gets under skewed and moving load.
constexpr double HotPart = 0.9;
constexpr double MovesEverySeconds = 10;

enum class Shape {
    Steady,
    Skewed,
    Moving,
};

const char *shapeName(Shape shape)
{
    return shape == Shape::Steady ? "steady" : shape == Shape::Skewed ? "skewed" : "moving";
}

struct Arrival {
    double at = 0;
    std::size_t node = 0;
    std::size_t workspace = 0;
    double cost = 0;
};

struct Outcome {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    double tokens = 0;

    double refusedPercent() const
    {
        return 100.0 * static_cast<double>(refused) / static_cast<double>(requests);
    }
};

WorkspaceName workspaceName(std::size_t index)
{
    return WorkspaceName("w" + std::to_string(index));
}

std::size_t nodeCount(int perZone)
{
    return static_cast<std::size_t>(perZone) * Zones;
}

// Prompt and answer of a chat request: 64 to 544 tokens, 304 on average.
double randomCost(RandomSource &random)
{
    return 64 + static_cast<double>(random.below(481));
}

std::size_t pickNode(Shape shape, double at, std::size_t nodes, RandomSource &random)
{
    if (shape == Shape::Steady || random.uniform() >= HotPart) {
        return random.below(nodes);
    }
    return shape == Shape::Skewed ? 0
                                  : static_cast<std::size_t>(at / MovesEverySeconds) * 5 % nodes;
}

// Poisson arrivals of one workspace at \p load times its rate.
void addArrivals(std::vector<Arrival> &arrivals, std::size_t workspace, double load, Shape shape,
                 std::size_t nodes, double seconds, RandomSource &random)
{
    const double perSecond = load * Rate / 304;
    double at = 0;
    for (;;) {
        at -= std::log(1 - random.uniform()) / perSecond;
        if (at >= seconds) {
            return;
        }
        arrivals.push_back({at, pickNode(shape, at, nodes, random), workspace, randomCost(random)});
    }
}

std::vector<Arrival> sorted(std::vector<Arrival> arrivals)
{
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) {
        return a.at < b.at;
    });
    return arrivals;
}

// Buckets of rate and burst divided by \p parts; one part is the ideal.
std::vector<Outcome> runBuckets(const std::vector<Arrival> &arrivals, std::size_t workspaces,
                                std::size_t parts)
{
    const SteadyTime start(std::chrono::seconds(1));
    const auto n = static_cast<double>(parts);
    std::vector<TokenBucket> buckets(workspaces * parts,
                                     TokenBucket(Rate / n, Burst / n, Burst / n, start));
    std::vector<Outcome> outcomes(workspaces);
    for (const Arrival &arrival : arrivals) {
        TokenBucket &bucket = buckets[arrival.workspace * parts + arrival.node % parts];
        const SteadyTime at = start + Duration(static_cast<std::int64_t>(arrival.at * 1e9));
        Outcome &outcome = outcomes[arrival.workspace];
        ++outcome.requests;
        if (bucket.tryTake(arrival.cost, at)) {
            outcome.tokens += arrival.cost;
        } else {
            ++outcome.refused;
        }
    }
    return outcomes;
}

LimitsFleetOptions fleetOptions(int perZone, std::size_t workspaces, std::uint64_t seed)
{
    LimitsFleetOptions options;
    options.zones = Zones;
    options.perZone = perZone;
    options.seed = seed;
    options.inOrder = true;
    // Quartz clocks are off by less; the limits allow for 1%.
    options.clockError = 0.0001;
    for (std::size_t i = 0; i < workspaces; ++i) {
        options.rules.limits.push_back({workspaceName(i), Rate, Burst});
    }
    for (int zone = 0; zone < Zones; ++zone) {
        options.rules.zones.push_back({LimitsFleet::zoneName(zone), 1});
    }
    return options;
}

// Runs until every member has its share and its buckets are full. Returns the seconds it took.
double warmUp(LimitsFleet &fleet)
{
    const auto ready = [&] {
        return std::all_of(fleet.nodes().begin(), fleet.nodes().end(), [&](const auto &node) {
            const double whole = static_cast<double>(fleet.nodes().size());
            return node->service->snapshot().share * whole > 0.999;
        });
    };
    while (!ready() && fleet.seconds() < 300) {
        fleet.run(std::chrono::milliseconds(100));
    }
    const double seconds = fleet.seconds();
    fleet.run(std::chrono::seconds(10));
    return seconds;
}

struct FleetOutcome {
    std::vector<Outcome> workspaces;
    LimitsFleetCounts counts;
    double warmUpSeconds = 0;
};

void replay(LimitsFleet &fleet, const std::vector<Arrival> &arrivals,
            std::vector<Outcome> &outcomes)
{
    for (const Arrival &arrival : arrivals) {
        fleet.runAfter(
            Duration(static_cast<std::int64_t>(arrival.at * 1e9)), [&fleet, &outcomes, arrival] {
                Outcome &outcome = outcomes[arrival.workspace];
                ++outcome.requests;
                LimitsFleet::Node &node = fleet.node(arrival.node);
                if (!node.up) {
                    ++outcome.refused;
                    return;
                }
                fleet.request(node, workspaceName(arrival.workspace), arrival.cost,
                              [&outcome, arrival](const LimitDecision &decision) {
                                  if (decision.outcome == LimitDecision::Outcome::Admitted) {
                                      outcome.tokens += arrival.cost;
                                  } else {
                                      ++outcome.refused;
                                  }
                              });
            });
    }
}

FleetOutcome runFleet(const std::vector<Arrival> &arrivals, std::size_t workspaces, int perZone,
                      double seconds, std::uint64_t seed)
{
    LimitsFleet fleet(fleetOptions(perZone, workspaces, seed));
    FleetOutcome result;
    result.warmUpSeconds = warmUp(fleet);
    const LimitsFleetCounts before = fleet.counts();
    result.workspaces.resize(workspaces);
    replay(fleet, arrivals, result.workspaces);
    fleet.run(Duration(static_cast<std::int64_t>((seconds + 1) * 1e9)));
    result.counts.loanMessages = fleet.counts().loanMessages - before.loanMessages;
    result.counts.heartbeats = fleet.counts().heartbeats - before.heartbeats;
    result.counts.storeCalls = fleet.counts().storeCalls - before.storeCalls;
    return result;
}

void measureRefusals(int perZone, Shape shape, double load, double seconds, std::uint64_t seed)
{
    const std::size_t nodes = nodeCount(perZone);
    SeededRandomSource random(seed);
    std::vector<Arrival> arrivals;
    addArrivals(arrivals, 0, load, shape, nodes, seconds, random);
    const Outcome ideal = runBuckets(arrivals, 1, 1)[0];
    const Outcome split = runBuckets(arrivals, 1, nodes)[0];
    const FleetOutcome fleet = runFleet(arrivals, 1, perZone, seconds, seed);
    const double perNode = seconds * static_cast<double>(nodes);
    std::printf("| %zu | %s | %.2f | %llu | %.2f | %.2f | %.2f | %.2f | %.1f |\n", nodes,
                shapeName(shape), load, static_cast<unsigned long long>(ideal.requests),
                ideal.refusedPercent(), split.refusedPercent(),
                fleet.workspaces[0].refusedPercent(),
                static_cast<double>(fleet.counts.loanMessages) / perNode, fleet.warmUpSeconds);
    std::fflush(stdout);
}

// Five workspaces; the first sends ten times its rate.
void measureFairness(int perZone, Shape shape, double seconds, std::uint64_t seed)
{
    constexpr std::size_t Workspaces = 5;
    const std::size_t nodes = nodeCount(perZone);
    SeededRandomSource random(seed);
    std::vector<Arrival> arrivals;
    addArrivals(arrivals, 0, 10, shape, nodes, seconds, random);
    for (std::size_t i = 1; i < Workspaces; ++i) {
        addArrivals(arrivals, i, 0.95, shape, nodes, seconds, random);
    }
    arrivals = sorted(std::move(arrivals));
    const std::vector<Outcome> ideal = runBuckets(arrivals, Workspaces, 1);
    const FleetOutcome fleet = runFleet(arrivals, Workspaces, perZone, seconds, seed);
    double worst = 1;
    for (std::size_t i = 1; i < Workspaces; ++i) {
        worst = std::min(worst, fleet.workspaces[i].tokens / ideal[i].tokens);
    }
    std::printf("| %zu | %s | %.1f | %.1f | %.2f |\n", nodes, shapeName(shape), 100 * worst,
                100 * fleet.workspaces[0].tokens / ideal[0].tokens,
                static_cast<double>(fleet.counts.loanMessages)
                    / (seconds * static_cast<double>(nodes)));
    std::fflush(stdout);
}

// Percent of the whole rate that the instances chosen by \p counts are granted under overload.
double grantedPercent(LimitsFleet &fleet, double seconds, std::uint64_t seed,
                      const std::function<bool(std::size_t)> &counts)
{
    SeededRandomSource random(seed);
    std::vector<Arrival> arrivals;
    addArrivals(arrivals, 0, 4, Shape::Steady, fleet.nodes().size(), seconds, random);
    // Each instance's outcome is counted as if it were a workspace; only the name is shared.
    double tokens = 0;
    for (const Arrival &arrival : arrivals) {
        fleet.runAfter(Duration(static_cast<std::int64_t>(arrival.at * 1e9)), [&, arrival] {
            LimitsFleet::Node &node = fleet.node(arrival.node);
            if (!node.up || !counts(arrival.node)) {
                return;
            }
            fleet.request(node, workspaceName(0), arrival.cost,
                          [&tokens, arrival](const LimitDecision &decision) {
                              const bool admitted =
                                  decision.outcome == LimitDecision::Outcome::Admitted;
                              tokens += admitted ? arrival.cost : 0;
                          });
        });
    }
    fleet.run(Duration(static_cast<std::int64_t>(seconds * 1e9)));
    return 100 * tokens / (Rate * seconds);
}

void measureFaults(int perZone, std::uint64_t seed)
{
    const auto everyone = [](std::size_t) {
        return true;
    };
    LimitsFleet fleet(fleetOptions(perZone, 1, seed));
    warmUp(fleet);
    grantedPercent(fleet, 20, seed, everyone);
    const double connected = grantedPercent(fleet, 40, seed, everyone);
    fleet.setZonePartitioned(LimitsFleet::zoneName(0), true);
    grantedPercent(fleet, 10, seed, everyone);
    const double cut = grantedPercent(fleet, 40, seed, [&](std::size_t node) {
        return fleet.node(node).zone == LimitsFleet::zoneName(0);
    });
    fleet.setZonePartitioned(LimitsFleet::zoneName(0), false);
    fleet.crash(fleet.node(0));
    fleet.node(0).listed = false;
    grantedPercent(fleet, 10, seed, everyone);
    const double dead = grantedPercent(fleet, 40, seed, everyone);
    grantedPercent(fleet, 20, seed, everyone);
    const double reclaimed = grantedPercent(fleet, 40, seed, everyone);
    std::printf("| %zu | %.1f | %.1f | %.1f | %.1f |\n", fleet.nodes().size(), connected, cut, dead,
                reclaimed);
    std::fflush(stdout);
}

void measureAllRefusals(int perZone, double seconds, std::uint64_t seed)
{
    std::printf("Refused requests in percent, within the rate:\n\n"
                "| instances | load | of rate | requests | ideal | equal split | with loans "
                "| loan messages/s and instance | s until all have their share |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const double load : {0.9, 0.98}) {
        for (const Shape shape : {Shape::Steady, Shape::Skewed, Shape::Moving}) {
            measureRefusals(perZone, shape, load, seconds, seed);
        }
    }
}

void measureAllFairness(int perZone, double seconds, std::uint64_t seed)
{
    std::printf("\nTokens granted beside a workspace sending ten times its rate, in percent of an "
                "ideal bucket's:\n\n| instances | load | worst-served of four | the sender of ten "
                "times | loan messages/s and instance |\n| --- | --- | --- | --- | --- |\n");
    for (const Shape shape : {Shape::Steady, Shape::Skewed, Shape::Moving}) {
        measureFairness(perZone, shape, seconds, seed);
    }
}

void measureAll(int perZone, double seconds, std::uint64_t seed, const std::string &part)
{
    std::printf("seed %llu, %.0f s, rate %.0f tokens/s, burst %.0f, %d zones\n\n",
                static_cast<unsigned long long>(seed), seconds, Rate, Burst, Zones);
    if (part == "all" || part == "refusals") {
        measureAllRefusals(perZone, seconds, seed);
    }
    if (part == "all" || part == "fairness") {
        measureAllFairness(perZone, seconds, seed);
    }
    if (part == "all" || part == "faults") {
        std::printf("\nTokens granted under overload at all instances, in percent of the rate:\n\n"
                    "| instances | connected | zone cut off, in it | one dead member | after "
                    "reclaim |\n| --- | --- | --- | --- | --- |\n");
        measureFaults(perZone, seed);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const fake::QuietLog quiet;
    const std::vector<SettingSpec> specs{
        {"seed", "1", "seed of the arrivals and the network", false, false},
        {"per-zone", "2", "instances in each of the four zones", false, false},
        {"part", "all", "refusals, fairness, faults or all", false, false},
        {"length", "120s", "simulated time of each run", false, false},
    };
    const auto settings =
        Settings::parse("limits-bench", specs,
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings || settings->helpRequested()) {
        std::printf("%s\n",
                    settings ? settings->helpText().c_str()
                             : describeError(settings.error()).c_str());
        return settings ? EXIT_SUCCESS : 2;
    }
    const auto seed = settings->integer("seed", 0, 1'000'000'000);
    const auto perZone = settings->integer("per-zone", 1, 74);
    const auto length =
        settings->duration("length", std::chrono::seconds(1), std::chrono::hours(1));
    if (!seed || !perZone || !length) {
        std::fprintf(stderr, "%s\n", settings->helpText().c_str());
        return 2;
    }
    measureAll(static_cast<int>(*perZone), std::chrono::duration<double>(*length).count(),
               static_cast<std::uint64_t>(*seed), settings->text("part"));
    return EXIT_SUCCESS;
}
