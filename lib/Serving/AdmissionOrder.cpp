#include "marigoldspool/Serving/AdmissionOrder.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Bounds the weights, and the time that aging takes to exceed every priority.
constexpr int MaxPriority = -MostUrgentPriority;
constexpr Duration::rep MaxSteps = Duration::rep(2) * MaxPriority;
// A refusal later than this part of the objective counts as late.
constexpr int AcceptedAfterFraction = 8;
// Capacity that remains for a request when more urgent ones arrive faster than they can run.
constexpr double MinCapacityFraction = 0.02;
// When a late request should get a slot, from its due time to the end of its caller's patience.
constexpr double LateTurnFraction = 0.5;
constexpr double MinSlotSeconds = 0.01;
// Bounds the forecasts, which are converted to time points.
constexpr double MaxForecastSeconds = 3600;
constexpr Duration MinRetryAfter = milliseconds(500);
constexpr double RetrySpread = 0.5;
constexpr double HonouredFraction = 1.0 / 3;

struct Candidate {
    std::size_t index = 0;
    int priority = 0;
    SteadyTime arrival;
    /// By when it must get a slot, in seconds from now.
    double latestStart = 0;
    /// By when it should get one; the order of service.
    double dueStart = 0;
    /// Value of meeting latestStart.
    double value = 0;
    double work = 0;
    /// Work of other instances that is served before, in seconds of one slot.
    double workElsewhere = 0;
    /// Slots that are left for this request and for those that are served before it.
    double slots = 1;
    bool isAccepted = false;
    bool isOnTime = false;

    double density() const { return value / work; }
    double startsIn(double freeIn, double workAhead) const
    {
        return freeIn + (workAhead + workElsewhere) / slots;
    }
};

struct Selection {
    std::vector<Candidate> kept;
    std::vector<Candidate> leftOut;
};

// In the order in which they are due, keeps the requests of the greatest value that all start in
// time. A request that has been kept is only given up for one of more value.
Selection selectInTime(std::vector<Candidate> candidates, double freeIn)
{
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.dueStart, a.priority, a.arrival)
            < std::tie(b.dueStart, b.priority, b.arrival);
    });
    const auto isDenser = [&candidates](std::size_t a, std::size_t b) {
        return candidates[a].density() > candidates[b].density();
    };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(isDenser)> kept(isDenser);
    double work = 0;
    std::vector<bool> isKept(candidates.size(), false);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &it = candidates[i];
        const auto isLate = [&] {
            return it.startsIn(freeIn, work) > it.latestStart;
        };
        if (it.startsIn(freeIn, 0) > it.latestStart) {
            continue;
        }
        std::vector<std::size_t> removed;
        double removedValue = 0;
        while (isLate() && !kept.empty()) {
            const Candidate &least = candidates[kept.top()];
            if (least.density() >= it.density() || removedValue + least.value >= it.value) {
                break;
            }
            removedValue += least.value;
            work -= least.work;
            removed.push_back(kept.top());
            kept.pop();
        }
        const bool fits = !isLate();
        for (const std::size_t index : removed) {
            isKept[index] = !fits;
            if (!fits) {
                kept.push(index);
                work += candidates[index].work;
            }
        }
        if (fits) {
            isKept[i] = true;
            kept.push(i);
            work += it.work;
        }
    }
    Selection selection;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        (isKept[i] ? selection.kept : selection.leftOut).push_back(candidates[i]);
    }
    return selection;
}

double arrivingWork(const SlotSupply &supply, int priority, bool withSame)
{
    double perSecond = 0;
    for (const PriorityDemand &it : *supply.demand) {
        if (it.priority < priority || (withSame && it.priority == priority)) {
            perSecond += it.requestsPerSecond;
        }
    }
    return perSecond * supply.meanSlotSeconds;
}

// Of the requests with the same priority elsewhere, half are expected to be served before.
double workElsewhere(const SlotSupply &supply, int priority)
{
    double requests = 0;
    for (const PriorityDemand &it : *supply.demand) {
        if (it.priority <= priority) {
            requests += it.waitingElsewhere * (it.priority == priority ? 0.5 : 1);
        }
    }
    return requests * supply.meanSlotSeconds;
}

// An accepted request keeps its turn, so what will arrive does not count against it.
double slotsLeft(const SlotSupply &supply, const Candidate &candidate, bool withSame)
{
    const double slots = std::max(1.0, supply.slots);
    if (candidate.isAccepted) {
        return slots;
    }
    return std::max(slots - arrivingWork(supply, candidate.priority, withSame),
                    slots * MinCapacityFraction);
}

Candidate makeCandidate(gsl::span<const QueuedRequest> requests, std::size_t index,
                        const SlotSupply &supply, SteadyTime now)
{
    const QueuedRequest &request = requests[index];
    Candidate it;
    it.index = index;
    it.priority = agedPriority(request, now);
    it.arrival = request.arrival;
    it.latestStart = toSeconds(request.dueAt - request.firstByteAfter - now);
    it.dueStart = it.latestStart;
    it.value = requestWeight(it.priority);
    it.work = std::max(MinSlotSeconds, request.slotSeconds);
    it.workElsewhere = workElsewhere(supply, it.priority);
    it.isAccepted = hasBeenAccepted(request, now);
    it.slots = slotsLeft(supply, it, false);
    return it;
}

// A late request uses slots that a later one of the same priority could use in time, so it is
// accepted only if these don't use all slots. Its turn comes well before its caller's patience
// ends, since slots become free later than expected as well: with the end itself as the due time, 5
// in 100 urgent requests at 1.3 times the capacity were accepted and then not served.
void becomeLate(Candidate &candidate, const QueuedRequest &request, const SlotSupply &supply,
                SteadyTime now)
{
    candidate.isOnTime = false;
    candidate.latestStart = toSeconds(request.patienceEndsAt - request.firstByteAfter - now);
    candidate.dueStart += (candidate.latestStart - candidate.dueStart) * LateTurnFraction;
    candidate.value *= LateServiceWeight;
    candidate.slots = slotsLeft(supply, candidate, true);
}

Duration forecastTime(double seconds)
{
    return fromSeconds(std::clamp(seconds, 0.0, MaxForecastSeconds));
}

std::vector<AdmissionEntry> orderByPriority(gsl::span<const QueuedRequest> requests,
                                            const SlotSupply &supply)
{
    std::vector<AdmissionEntry> entries;
    entries.reserve(requests.size());
    for (std::size_t i = 0; i < requests.size(); ++i) {
        entries.push_back({i, false, true, supply.freeIn});
    }
    std::sort(entries.begin(), entries.end(),
              [requests](const AdmissionEntry &a, const AdmissionEntry &b) {
                  return std::tie(requests[a.index].priority, requests[a.index].arrival, a.index)
                      < std::tie(requests[b.index].priority, requests[b.index].arrival, b.index);
              });
    return entries;
}

} // namespace

int agedPriority(const QueuedRequest &request, SteadyTime now)
{
    const Duration objective = std::max<Duration>(request.dueAt - request.arrival, milliseconds(1));
    const auto steps = std::clamp<Duration::rep>((now - request.arrival) / objective, 0, MaxSteps);
    const int priority = std::clamp(request.priority, 0, MaxPriority);
    return std::max(priority - static_cast<int>(steps), MostUrgentPriority);
}

bool hasBeenAccepted(const QueuedRequest &request, SteadyTime now)
{
    return now - request.arrival > (request.dueAt - request.arrival) / AcceptedAfterFraction;
}

double requestWeight(int priority)
{
    return std::exp2(-std::clamp(priority, MostUrgentPriority, MaxPriority));
}

std::vector<AdmissionEntry> orderAdmission(gsl::span<const QueuedRequest> requests,
                                           const SlotSupply &supply, SteadyTime now)
{
    if (!supply.demand) {
        return orderByPriority(requests, supply);
    }
    std::vector<Candidate> candidates;
    candidates.reserve(requests.size());
    for (std::size_t i = 0; i < requests.size(); ++i) {
        candidates.push_back(makeCandidate(requests, i, supply, now));
    }
    const double freeIn = std::max(0.0, toSeconds(supply.freeIn));
    Selection onTime = selectInTime(std::move(candidates), freeIn);
    for (Candidate &it : onTime.kept) {
        it.isOnTime = true;
    }
    for (Candidate &it : onTime.leftOut) {
        becomeLate(it, requests[it.index], supply, now);
        onTime.kept.push_back(it);
    }
    Selection served = selectInTime(std::move(onTime.kept), freeIn);
    std::sort(served.leftOut.begin(), served.leftOut.end(),
              [](const Candidate &a, const Candidate &b) {
                  return std::make_tuple(!a.isAccepted, a.priority, a.arrival)
                      < std::make_tuple(!b.isAccepted, b.priority, b.arrival);
              });
    std::vector<AdmissionEntry> entries;
    entries.reserve(requests.size());
    double workAhead = 0;
    for (const Candidate &it : served.kept) {
        entries.push_back(
            {it.index, it.isOnTime, true, forecastTime(it.startsIn(freeIn, workAhead))});
        workAhead += it.work;
    }
    const double slots = std::max(1.0, supply.slots);
    for (const Candidate &it : served.leftOut) {
        const double startsIn = freeIn + (workAhead + it.workElsewhere) / slots;
        entries.push_back({it.index, false, it.isAccepted, forecastTime(startsIn)});
        workAhead += it.isAccepted ? it.work : 0;
    }
    return entries;
}

bool isOutranked(int priority, int room, gsl::span<const PriorityDemand> demand)
{
    int ahead = 0;
    for (const PriorityDemand &it : demand) {
        ahead += it.priority < priority ? it.waitingElsewhere : 0;
    }
    return ahead > 0 && ahead >= room;
}

Duration spreadRetryAfter(Duration backlog, Duration callerTimeLeft, double draw)
{
    const double spread = 1 + RetrySpread * draw;
    double seconds = toSeconds(backlog);
    if (backlog < callerTimeLeft) {
        seconds =
            std::min(seconds, toSeconds(callerTimeLeft) * HonouredFraction / (1 + RetrySpread));
    }
    return fromSeconds(std::max(seconds, toSeconds(MinRetryAfter)) * spread);
}

} // namespace marigoldspool
