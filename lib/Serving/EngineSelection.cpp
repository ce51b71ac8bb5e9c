#include "marigoldspool/Serving/EngineSelection.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace marigoldspool {

namespace {

// An engine gets fewer requests the worse it is than the best one. From this difference of their
// penalties on it gets only what the others have no room for.
constexpr double MaxPenaltyDifference = 0.6;
constexpr double LastChoiceWeight = 0.02;
// From this difference on the engine fails or cannot be reached, so a request waits for another
// one.
constexpr double MaxUsableDifference = 2.5;
// Requests that fill the slots which become free until the load is known again. Without them these
// slots would stay empty for that time; more of them would wait at this engine while another one
// becomes free.
constexpr Duration MaxQueueTime = std::chrono::milliseconds(400);
// Run time that is assumed before an answer has been measured.
constexpr Duration DefaultRun = std::chrono::milliseconds(1000);

Duration runOf(const EngineCandidate &candidate)
{
    return candidate.meanRun > Duration::zero() ? candidate.meanRun : DefaultRun;
}

Duration waitAt(const EngineCandidate &candidate)
{
    const int slots = std::max(1, candidate.slots);
    return runOf(candidate) * std::max(0, candidate.requests - slots + 1) / slots;
}

// Requests beyond the slots that wait for MaxQueueTime at most.
int queueOf(const EngineCandidate &candidate)
{
    return static_cast<int>(MaxQueueTime * std::max(1, candidate.slots) / runOf(candidate));
}

// Draws an index with a probability in proportion to its weight; at least one weight is positive.
std::size_t drawIndex(const std::vector<double> &weights, double draw)
{
    double left = draw * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t last = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (weights[i] <= 0) {
            continue;
        }
        last = i;
        if (left < weights[i]) {
            break;
        }
        left -= weights[i];
    }
    return last;
}

// The part of its room that each engine gets for its penalty.
std::vector<double> preferences(gsl::span<const EngineCandidate> candidates)
{
    double leastPenalty = std::numeric_limits<double>::infinity();
    for (const EngineCandidate &it : candidates) {
        leastPenalty = std::min(leastPenalty, it.penalty);
    }
    std::vector<double> result;
    for (const EngineCandidate &it : candidates) {
        const double difference = it.penalty - leastPenalty;
        const double lastChoice = difference < MaxUsableDifference ? LastChoiceWeight : 0;
        result.push_back(std::max(lastChoice, 1 - difference / MaxPenaltyDifference));
    }
    return result;
}

// In proportion to the free slots, what all instances send until they know the new loads fills the
// engines evenly. A preference for the emptier ones fills these beyond their slots. The free slots
// of a single engine would draw the requests of all instances, so queues are used before the last
// slots are.
std::vector<double> weightsByRoom(gsl::span<const EngineCandidate> candidates,
                                  const std::vector<double> &preferred)
{
    int freeSlots = 0;
    int maxSlots = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EngineCandidate &it = candidates[i];
        freeSlots += preferred[i] > 0 ? std::max(0, it.slots - it.requests) : 0;
        maxSlots = std::max(maxSlots, it.slots);
    }
    std::vector<double> weights;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EngineCandidate &it = candidates[i];
        const int queue = freeSlots < maxSlots ? queueOf(it) : 0;
        weights.push_back(preferred[i] * std::max(0, it.slots + queue - it.requests));
    }
    return weights;
}

bool hasWeight(const std::vector<double> &weights)
{
    return std::any_of(weights.begin(), weights.end(), [](double it) {
        return it > 0;
    });
}

} // namespace

EngineSelection selectEngine(gsl::span<const EngineCandidate> candidates, double draw)
{
    EngineSelection selection;
    if (candidates.empty()) {
        return selection;
    }
    const std::vector<double> preferred = preferences(candidates);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EngineCandidate &it = candidates[i];
        const int slots = preferred[i] > 0 ? std::max(1, it.slots) : 0;
        selection.slots += slots;
        selection.room += slots > 0 ? std::max(0, slots + queueOf(it) - it.requests) : 0;
    }
    const std::vector<double> weights = weightsByRoom(candidates, preferred);
    if (hasWeight(weights)) {
        selection.index = drawIndex(weights, draw);
        return selection;
    }
    Duration firstFreeIn = Duration::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (preferred[i] > 0 && waitAt(candidates[i]) < firstFreeIn) {
            firstFreeIn = waitAt(candidates[i]);
            selection.firstFree = i;
        }
    }
    selection.freeIn = std::max(firstFreeIn - MaxQueueTime, Duration::zero());
    return selection;
}

} // namespace marigoldspool
