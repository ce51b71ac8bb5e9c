#include "marigoldspool/Serving/AdmissionOrder.h"
#include "marigoldspool/Serving/EndpointLoads.h"
#include "marigoldspool/Serving/PriorityDemands.h"
#include "marigoldspool/Support/RandomSource.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

/// A kind of request, and its load as a part of the capacity.
struct Kind {
    int priority;
    Duration objective;
    Duration patience;
    double slotSeconds;
    double load;
    /// When requests of the kind arrive.
    Duration from;
    Duration to;
};

enum class Order {
    PriorityAndArrival,
    EarliestDue,
    ShortestWork,
    Admission,
    /// Without what is told of the arrivals at all instances.
    AdmissionAlone,
};

struct Outcome {
    int arrived = 0;
    int onTime = 0;
    int late = 0;
    int refusedAtOnce = 0;
    int refusedLate = 0;
};

/// Replays arrivals before engines with the given slots, one decision every 10 ms.
class Replay
{
public:
    static constexpr Duration Step = 10ms;
    static constexpr int Slots = 64;

    std::vector<Outcome> run(const std::vector<Kind> &kinds, Order order)
    {
        std::vector<Outcome> outcomes(kinds.size());
        std::vector<double> rates(kinds.size(), 0);
        std::vector<std::deque<SteadyTime>> arrivals(kinds.size());
        std::vector<std::pair<std::size_t, QueuedRequest>> waiting;
        std::vector<SteadyTime> running;
        SeededRandomSource random(20261206);
        const SteadyTime start = SteadyTime() + 1000s;
        for (SteadyTime now = start; now < start + 120s; now += Step) {
            const auto hasEnded = [now](SteadyTime endsAt) {
                return endsAt <= now;
            };
            running.erase(std::remove_if(running.begin(), running.end(), hasEnded), running.end());
            for (std::size_t i = 0; i < kinds.size(); ++i) {
                const Kind &kind = kinds[i];
                const bool isOn = now >= start + kind.from && now < start + kind.to;
                const double perSecond = isOn ? kind.load * Slots / kind.slotSeconds : 0;
                std::deque<SteadyTime> &last = arrivals[i];
                while (!last.empty() && last.front() <= now - 4s) {
                    last.pop_front();
                }
                if (random.uniform() < perSecond * toSeconds(Step)) {
                    last.push_back(now);
                    ++outcomes[i].arrived;
                    waiting.push_back({i,
                                       {kind.priority, now, now + kind.objective,
                                        now + kind.patience, kind.slotSeconds, 100ms}});
                }
                rates[i] = static_cast<double>(last.size()) / 4;
            }
            serve(kinds, rates, order, now, waiting, running, outcomes);
        }
        return outcomes;
    }

private:
    static std::vector<AdmissionEntry> arrange(const std::vector<Kind> &kinds,
                                               const std::vector<double> &rates, Order order,
                                               SteadyTime now,
                                               const std::vector<QueuedRequest> &requests, int free)
    {
        if (order == Order::Admission || order == Order::AdmissionAlone) {
            SlotSupply supply;
            supply.freeIn = free > 0 ? Duration::zero() : Duration(30ms);
            supply.slots = Slots;
            std::vector<PriorityDemand> demand;
            double work = 0;
            double perSecond = 1e-9;
            for (std::size_t i = 0; i < kinds.size(); ++i) {
                work += rates[i] * kinds[i].slotSeconds;
                perSecond += rates[i];
                demand.push_back({kinds[i].priority, 0, rates[i]});
            }
            if (order == Order::Admission) {
                supply.demand = demand;
            }
            supply.meanSlotSeconds = work / perSecond;
            return orderAdmission(requests, supply, now);
        }
        std::vector<AdmissionEntry> entries;
        for (std::size_t i = 0; i < requests.size(); ++i) {
            entries.push_back({i, true, true, Duration::zero()});
        }
        std::stable_sort(entries.begin(), entries.end(), [&](const auto &x, const auto &y) {
            const QueuedRequest &a = requests[x.index];
            const QueuedRequest &b = requests[y.index];
            return order == Order::EarliestDue ? a.dueAt < b.dueAt
                : order == Order::ShortestWork ? a.slotSeconds < b.slotSeconds
                                               : a.priority < b.priority;
        });
        return entries;
    }

    static void serve(const std::vector<Kind> &kinds, const std::vector<double> &rates, Order order,
                      SteadyTime now, std::vector<std::pair<std::size_t, QueuedRequest>> &waiting,
                      std::vector<SteadyTime> &running, std::vector<Outcome> &outcomes)
    {
        std::vector<QueuedRequest> requests;
        requests.reserve(waiting.size());
        for (const auto &it : waiting) {
            requests.push_back(it.second);
        }
        const int free = Slots - static_cast<int>(running.size());
        std::vector<bool> isDone(waiting.size(), false);
        for (const AdmissionEntry &it : arrange(kinds, rates, order, now, requests, free)) {
            const QueuedRequest &request = requests[it.index];
            Outcome &outcome = outcomes[waiting[it.index].first];
            const Duration waited = now - request.arrival;
            isDone[it.index] = true;
            if (!it.isServable || now >= request.patienceEndsAt) {
                const bool isLate = waited > (request.dueAt - request.arrival) / 8;
                ++(isLate ? outcome.refusedLate : outcome.refusedAtOnce);
            } else if (static_cast<int>(running.size()) < Slots) {
                running.push_back(now + fromSeconds(request.slotSeconds));
                ++(now + request.firstByteAfter <= request.dueAt ? outcome.onTime : outcome.late);
            } else {
                isDone[it.index] = false;
            }
        }
        std::size_t kept = 0;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if (!isDone[i]) {
                waiting[kept++] = waiting[i];
            }
        }
        waiting.resize(kept);
    }
};

std::string text(const Outcome &it)
{
    return std::to_string(it.arrived) + " arrived: " + std::to_string(it.onTime) + " on time, "
        + std::to_string(it.late) + " late, " + std::to_string(it.refusedAtOnce)
        + " refused at once, " + std::to_string(it.refusedLate) + " refused late";
}

double served(const Outcome &it)
{
    return static_cast<double>(it.onTime + it.late) / it.arrived;
}

double valueShare(const Outcome &it)
{
    return (it.onTime + LateServiceWeight * it.late) / it.arrived;
}

} // namespace

// Guards against patient requests that are taken in the order of arrival until nearly all of them
// are late, and refused when their callers leave.
TEST_CASE("twice the capacity: urgent requests beside a burst of patient ones")
{
    const std::vector<Kind> kinds{{0, 500ms, 2s, 2, 0.6, 0s, 100s}, {2, 6s, 24s, 2, 1.4, 20s, 60s}};
    const auto before = Replay().run(kinds, Order::PriorityAndArrival);
    const auto after = Replay().run(kinds, Order::Admission);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        INFO("kind " << i << " by priority and arrival: " << text(before[i]));
        INFO("kind " << i << " by least cost: " << text(after[i]));
        CHECK(before[i].arrived == after[i].arrived);
        CHECK(after[i].refusedLate * 100 <= after[i].arrived);
        CHECK(valueShare(after[i]) >= valueShare(before[i]) - 0.01);
    }
    CHECK(after[0].onTime >= before[0].onTime);
    CHECK(after[1].onTime >= 4 * before[1].onTime);
    CHECK(before[1].refusedLate * 2 > before[1].arrived);
}

// Guards against patient requests that are served instead of more urgent ones, whose callers wait
// for a shorter time.
TEST_CASE("more urgent requests than capacity: the less urgent are served less")
{
    const std::vector<Kind> kinds{{0, 500ms, 2s, 2, 1.3, 0s, 100s}, {2, 6s, 24s, 2, 0.7, 0s, 100s}};
    const auto before = Replay().run(kinds, Order::PriorityAndArrival);
    const auto after = Replay().run(kinds, Order::Admission);
    for (const Outcome &it : after) {
        INFO(text(it));
        CHECK(it.refusedLate * 100 <= it.arrived);
    }
    CHECK(valueShare(after[0]) > 1.5 * valueShare(before[0]));
    CHECK(served(after[0]) > served(after[1]));
    const auto earliest = Replay().run(kinds, Order::EarliestDue);
    CHECK(served(earliest[0]) < served(earliest[1]));
}

// Guards against the starvation of long requests, which come last by work alone.
TEST_CASE("long requests of the same priority are served as often as short ones")
{
    const std::vector<Kind> kinds{{1, 1s, 4s, 0.5, 1, 0s, 100s}, {1, 1s, 4s, 4, 1, 0s, 100s}};
    const auto shortest = Replay().run(kinds, Order::ShortestWork);
    CHECK(served(shortest[1]) < served(shortest[0]) - 0.5);
    const auto after = Replay().run(kinds, Order::Admission);
    CHECK(std::abs(served(after[0]) - served(after[1])) < 0.05);
}

// Guards against refusals by guesswork when the lease holder is lost or of an older version.
TEST_CASE("while the demand at all instances is unknown, priority and arrival decide")
{
    const std::vector<Kind> kinds{{0, 500ms, 2s, 2, 1.3, 0s, 30s}, {2, 6s, 24s, 2, 0.7, 0s, 30s}};
    const auto before = Replay().run(kinds, Order::PriorityAndArrival);
    const auto after = Replay().run(kinds, Order::AdmissionAlone);
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        CHECK(text(before[i]) == text(after[i]));
    }
}

TEST_CASE("a request gains a step of priority for each objective that it has waited")
{
    const SteadyTime now = SteadyTime() + 1000s;
    const QueuedRequest urgent{0, now, now + 500ms, now + 2s, 2, 0ms};
    const QueuedRequest aged{2, now - 4s, now - 3s, now + 1s, 2, 0ms};
    CHECK(agedPriority(urgent, now) == 0);
    CHECK(agedPriority(aged, now) == -2);
    CHECK(agedPriority(aged, now + 1h) == MostUrgentPriority);
    CHECK(requestWeight(-2) == 8 * requestWeight(1));
    CHECK(isOutranked(1, 3, std::vector<PriorityDemand>{{0, 3, 0}, {1, 9, 0}}));
    CHECK_FALSE(isOutranked(1, 4, std::vector<PriorityDemand>{{0, 3, 0}, {1, 9, 0}}));
    CHECK_FALSE(isOutranked(1, 0, std::vector<PriorityDemand>{}));
}

// Guards against callers that come back at the same moment, or never.
TEST_CASE("the time to retry is spread and within what callers follow")
{
    CHECK(spreadRetryAfter(0s, 10s, 0) == 500ms);
    CHECK(spreadRetryAfter(2s, 30s, 0) == 2s);
    CHECK(spreadRetryAfter(2s, 30s, 0.5) == 2500ms);
    CHECK(toSeconds(spreadRetryAfter(8s, 12s, 0.999)) <= 4.0);
    CHECK(spreadRetryAfter(8s, 5s, 0) == 8s);
}

// Guards against a claim of one instance that makes all others refuse, and against counts of
// instances that have stopped.
TEST_CASE("demand by priority is summed, bounded and forgotten")
{
    ManualClock clock;
    PriorityDemandSums sums(clock);
    PriorityDemandView view(clock);
    const PoolName pool("p");
    const ModelName model("m");
    CHECK_FALSE(view.demandFor(pool, model));
    view.onArrival({pool, model, 1});
    view.setWaiting({{{pool, model, 0}, 2}});
    const auto own = view.report();
    REQUIRE(own.size() == 2);
    CHECK(own[1].requestsPerSecond > 0);
    view.onOwnReport(own);
    sums.onReport(InstanceId("a"), own);
    sums.onReport(InstanceId("b"), std::vector<PriorityLoad>{{"p", model, 0, 5, 1e300}});
    view.onTotals({1, 1, true, {}, true, sums.totals(true)});
    auto demand = view.demandFor(pool, model);
    REQUIRE(demand->size() == 2);
    CHECK(demand->at(0).waitingElsewhere == 5);
    CHECK(demand->at(0).requestsPerSecond <= 10'000);
    CHECK(view.demandFor(pool, ModelName("other"))->empty());
    // A partial message without the model says that nothing waits for it.
    view.onTotals({1, 2, false, {}, true, {}});
    CHECK(view.demandFor(pool, model)->at(0).waitingElsewhere == 0);
    view.onTotals({1, 3, true, {}, false, {}});
    CHECK_FALSE(view.demandFor(pool, model));
    clock.advance(EndpointLoadSums::ReportLifetime + 1ms);
    sums.onTick();
    CHECK(sums.totals(true).empty());
}
