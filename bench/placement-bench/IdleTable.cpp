#include "Tables.h"

#include "marigoldspool/Placement/IdlePolicy.h"
#include "marigoldspool/Support/RandomSource.h"

#include <cmath>
#include <cstdio>
#include <functional>
#include <string>

namespace marigoldspool::bench {

using std::chrono::duration;
using std::chrono::seconds;

namespace {

constexpr double DaySeconds = 86400;
constexpr int ModelCount = 100;

struct SyntheticModel {
    ModelName name;
    Duration coldStart;
    std::vector<double> requests; ///< Seconds since midnight.
};

double exponential(RandomSource &random, double mean)
{
    return -mean * std::log(1 - random.uniform());
}

// 10 models are used all day, 20 in sessions with pauses, 15 at regular intervals, and 55 a few
// times a day.
std::vector<double> makeRequests(RandomSource &random, int number)
{
    std::vector<double> requests;
    double at = exponential(random, 600);
    if (number < 10) {
        const double mean = 2 + 20 * random.uniform();
        for (; at < DaySeconds; at += exponential(random, mean)) {
            requests.push_back(at);
        }
    } else if (number < 30) {
        while (at < DaySeconds) {
            const double end = at + exponential(random, 900);
            const double mean = 10 + 60 * random.uniform();
            for (; at < std::min(end, DaySeconds); at += exponential(random, mean)) {
                requests.push_back(at);
            }
            at = end + exponential(random, 7200);
        }
    } else if (number < 45) {
        const double interval = 60 * std::exp2(random.uniform() * 6);
        for (; at < DaySeconds; at += interval * (0.9 + 0.2 * random.uniform())) {
            requests.push_back(at);
        }
    } else {
        for (at = exponential(random, 14400); at < DaySeconds; at += exponential(random, 14400)) {
            requests.push_back(at);
        }
    }
    return requests;
}

std::vector<SyntheticModel> makeDay(std::uint64_t seed)
{
    SeededRandomSource random(seed);
    std::vector<SyntheticModel> models;
    for (int n = 0; n < ModelCount; ++n) {
        SyntheticModel model;
        model.name = ModelName("m" + std::to_string(n));
        model.coldStart = std::chrono::duration_cast<Duration>(
            duration<double>(std::exp2(1 + 4 * random.uniform())));
        model.requests = makeRequests(random, n);
        models.push_back(std::move(model));
    }
    return models;
}

using TimeoutRule = std::function<Duration(const SyntheticModel &, SteadyTime lastRequest)>;

struct DaySums {
    double idleHours = 0;
    int coldStarts = 0;
    std::vector<double> waits;
    /// Waits of the requests of models that are used a few times a day or in sessions.
    std::vector<double> rareWaits;
};

// Replays one model: a replica is unloaded when its timeout passes without a request, and a request
// for an unloaded model waits for the cold start. Requests take no time.
void replay(const SyntheticModel &model, bool isRare, const TimeoutRule &rule, DaySums &sums)
{
    double readyAt = 0;
    double unloadAt = -1;
    double idleFrom = 0;
    for (const double at : model.requests) {
        if (at >= unloadAt) {
            sums.idleHours += unloadAt < 0 ? 0 : (unloadAt - idleFrom) / 3600;
            ++sums.coldStarts;
            readyAt = at + duration<double>(model.coldStart).count();
        } else if (at > idleFrom) {
            sums.idleHours += (at - idleFrom) / 3600;
        }
        const double wait = std::max(0.0, readyAt - at);
        sums.waits.push_back(wait);
        if (isRare) {
            sums.rareWaits.push_back(wait);
        }
        const SteadyTime last(std::chrono::duration_cast<Duration>(duration<double>(at)));
        idleFrom = std::max(at, readyAt);
        unloadAt = idleFrom + duration<double>(rule(model, last)).count();
    }
    sums.idleHours += unloadAt < 0 ? 0 : (std::min(unloadAt, DaySeconds) - idleFrom) / 3600;
}

void printRow(const std::string &name, const std::vector<SyntheticModel> &day,
              const TimeoutRule &rule)
{
    DaySums sums;
    for (std::size_t n = 0; n < day.size(); ++n) {
        replay(day[n], n >= 10, rule, sums);
    }
    double total = 0;
    for (const double wait : sums.waits) {
        total += wait;
    }
    std::printf("| %s | %.1f | %d | %.2f | %.2f | %.2f | %.0f |\n", name.c_str(), sums.idleHours,
                sums.coldStarts, percentile(sums.waits, 0.99), percentile(sums.rareWaits, 0.9),
                percentile(sums.rareWaits, 0.99), total);
}

} // namespace

void printIdleCurve(std::uint64_t seed)
{
    const std::vector<SyntheticModel> day = makeDay(seed);
    std::size_t requests = 0;
    for (const SyntheticModel &model : day) {
        requests += model.requests.size();
    }
    std::printf("Synthetic day of %d models, %zu requests, cold starts of 2 to 32 s, seed %llu\n\n",
                ModelCount, requests, static_cast<unsigned long long>(seed));
    std::printf("| timeout | idle replica hours | cold starts | wait p99 s, all | wait p90 s, rare "
                "models | wait p99 s, rare models | sum of waits s |\n"
                "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const int fixed : {30, 60, 120, 300, 600, 900, 1800}) {
        printRow("fixed " + std::to_string(fixed) + " s", day,
                 [&](const SyntheticModel &, SteadyTime) {
                     return Duration(seconds(fixed));
                 });
    }
    for (const double weight : {5.0, 10.0, 20.0, 40.0, 80.0, 160.0}) {
        IdlePolicyOptions options;
        options.coldStartWeight = weight;
        IdlePolicy policy(options);
        printRow("IdlePolicy, weight " + std::to_string(static_cast<int>(weight)), day,
                 [&](const SyntheticModel &model, SteadyTime last) {
                     policy.onRequest(model.name, last);
                     return policy.timeoutFor(model.name, model.coldStart);
                 });
    }
    std::printf("\n");
}

} // namespace marigoldspool::bench
