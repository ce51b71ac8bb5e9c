#include "Tables.h"

#include "Placement/FakeFleet.h"

#include <cmath>
#include <cstdio>
#include <map>

namespace marigoldspool::bench {

using namespace fake;

namespace {

struct User {
    const char *name;
    int zones;
    int enginesPerZone;
    int models;
    int adapters;
    std::size_t loadsPerSecond;
    Duration longestAdapterLoad;
};

/// Requests a second at all instances together.
struct RequestRates {
    double models;
    double adapters;
};

enum Kind { Model, Adapter, AdapterWithBase };

class ColdStarts
{
public:
    ColdStarts(const User &user, RequestRates rates, Duration statusLag, std::uint64_t seed);
    void run(int minutes);
    void print(const char *rates, Duration statusLag) const;

private:
    static FakeFleetOptions optionsOf(const User &user, Duration statusLag, std::uint64_t seed);
    void scheduleNext(bool adapter);
    void request(bool adapter);
    void onReport(const FakeInstance &instance, const PlacementAction &action);

    struct Pending {
        Duration since;
        Kind kind;
    };
    User m_user;
    RequestRates m_rates;
    SeededRandomSource m_random;
    FakeFleet m_fleet;
    std::map<std::pair<InstanceId, ModelName>, Pending> m_pending;
    std::vector<double> m_waits[3];
    int m_warm = 0;
    int m_refused = 0;
};

FakeFleetOptions ColdStarts::optionsOf(const User &user, Duration statusLag, std::uint64_t seed)
{
    FakeFleetOptions options;
    options.seed = seed;
    options.zones = user.zones;
    options.instancesPerZone = 2;
    options.enginesPerZone = user.enginesPerZone;
    options.engineMemory = 80'000;
    options.randomDemand = false;
    options.checkInvariants = false;
    options.faults.demandChange = 0;
    options.statusLag = statusLag;
    // Four loads at once use up the rate of the weight store.
    options.loadTime = Duration(seconds(4)) / static_cast<int>(user.loadsPerSecond);
    options.minAdapterLoadTime = milliseconds(5);
    options.maxAdapterLoadTime = user.longestAdapterLoad;
    options.placement.loadsPerSecond = user.loadsPerSecond;
    for (int n = 0; n < user.models; ++n) {
        ModelRule rule;
        rule.name = ModelName("m" + std::to_string(n));
        rule.version = "1";
        rule.memoryBytes = static_cast<std::uint64_t>(16'000 + 4'000 * (n % 5));
        rule.maxReplicas = 1;
        options.models.push_back(rule);
    }
    for (int n = 0; n < user.adapters; ++n) {
        ModelRule rule;
        rule.name = ModelName("a" + std::to_string(n));
        rule.version = "1";
        rule.kind = ModelKind::Adapter;
        rule.base = ModelName("m" + std::to_string(n % (user.models / 5)));
        rule.memoryBytes = 200;
        rule.maxReplicas = 1;
        options.models.push_back(rule);
    }
    return options;
}

ColdStarts::ColdStarts(const User &user, RequestRates rates, Duration statusLag, std::uint64_t seed)
    : m_user(user)
    , m_rates(rates)
    , m_random(seed + 1)
    , m_fleet(optionsOf(user, statusLag, seed))
{
    m_fleet.onReport = [this](const FakeInstance &instance, const PlacementAction &action) {
        onReport(instance, action);
    };
}

void ColdStarts::run(int minutes)
{
    m_fleet.run(seconds(5));
    scheduleNext(false);
    scheduleNext(true);
    m_fleet.run(std::chrono::minutes(minutes));
}

void ColdStarts::scheduleNext(bool adapter)
{
    const double rate = adapter ? m_rates.adapters : m_rates.models;
    const double wait = -std::log(1 - m_random.uniform()) / rate;
    m_fleet.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
                  [this, adapter] {
                      request(adapter);
                      scheduleNext(adapter);
                  });
}

void ColdStarts::request(bool adapter)
{
    const auto count = static_cast<std::uint64_t>(adapter ? m_user.adapters : m_user.models);
    const std::uint64_t number = m_random.below(count);
    const ModelName model((adapter ? "a" : "m") + std::to_string(number));
    // One home instance for each zone and model.
    const auto zone =
        static_cast<std::size_t>(m_random.below(static_cast<std::uint64_t>(m_user.zones)));
    const std::size_t home = zone * 2 + number % 2;
    FakeInstance &instance = m_fleet.instance(home);
    if (!instance.placement->readyEndpoints(model).empty()) {
        ++m_warm;
        m_fleet.demand(home, model);
        instance.demanded.erase(model);
        return;
    }
    const ModelName base("m"
                         + std::to_string(number % static_cast<std::uint64_t>(m_user.models / 5)));
    const bool hasBase = !adapter || !instance.placement->readyEndpoints(base).empty();
    const Kind kind = !adapter ? Model : hasBase ? Adapter : AdapterWithBase;
    m_pending.try_emplace({instance.id, model}, Pending{m_fleet.now(), kind});
    m_fleet.demand(home, model);
}

void ColdStarts::onReport(const FakeInstance &instance, const PlacementAction &action)
{
    const auto *ready = std::get_if<ReplicaReady>(&action);
    const auto *refused = std::get_if<LoadRefused>(&action);
    if (!ready && !refused) {
        return;
    }
    const ModelName &model = ready ? ready->model : refused->model;
    const auto it = m_pending.find({instance.id, model});
    if (it == m_pending.end()) {
        return;
    }
    if (ready) {
        const Duration waited = m_fleet.now() - it->second.since;
        m_waits[it->second.kind].push_back(std::chrono::duration<double>(waited).count());
    } else {
        ++m_refused;
    }
    m_pending.erase(it);
    m_fleet.endDemand(instance, model);
}

void ColdStarts::print(const char *rates, Duration statusLag) const
{
    std::printf("| %s | %s | %lld | %d | %d | %zu |", m_user.name, rates,
                static_cast<long long>(toMilliseconds(statusLag)), m_warm, m_refused,
                m_pending.size());
    for (const std::vector<double> &waits : m_waits) {
        std::printf(" %zu: %.2f / %.2f |", waits.size(), percentile(waits, 0.5),
                    percentile(waits, 0.99));
    }
    std::printf("\n");
    std::fflush(stdout);
}

} // namespace

void printColdStarts(std::uint64_t seed, int minutes)
{
    const User users[] = {
        {"first", 3, 7, 100, 100, 5, milliseconds(15)},
        {"second", 4, 3, 50, 55, 3, milliseconds(10)},
    };
    const struct {
        const char *name;
        RequestRates rates;
    } loads[] = {{"0.2 models, 0.4 adapters", {0.2, 0.4}}, {"1 model, 2 adapters", {1, 2}}};
    std::printf("Cold starts, two instances a zone, %d simulated minutes, seed %llu; model loads "
                "of 0.4 to 1.2 s (first) and 0.7 to 2.0 s (second)\n\n",
                minutes, static_cast<unsigned long long>(seed));
    std::printf("| user | requests a second | status lag ms | warm | refused | waiting at the end "
                "| model cold starts: p50 / p99 s | adapter on a loaded base | adapter, base not "
                "known as loaded "
                "|\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const User &user : users) {
        for (const auto &load : loads) {
            for (const Duration lag : {Duration(milliseconds(20)), Duration(seconds(1))}) {
                ColdStarts run(user, load.rates, lag, seed);
                run.run(minutes);
                run.print(load.name, lag);
            }
        }
    }
    std::printf("\n");
}

} // namespace marigoldspool::bench
