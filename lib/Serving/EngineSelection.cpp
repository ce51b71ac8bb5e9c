#include "marigoldspool/Serving/EngineSelection.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace marigoldspool {

namespace {

// An engine that is worse by more than this is not drawn: its penalty has a reason that free slots
// do not outweigh.
constexpr double MaxDrawnDifference = 0.6;
// Requests that fill the slots which become free until the load is known again. Without them these
// slots would stay empty for that time; more of them would wait at this engine while another one
// becomes free.
constexpr Duration MaxQueueTime = std::chrono::milliseconds(400);
// Run time that is assumed before an answer has been measured.
constexpr Duration DefaultRun = std::chrono::milliseconds(1000);

double loadOf(const EngineCandidate &candidate)
{
    return static_cast<double>(candidate.requests) / std::max(1, candidate.slots);
}

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

// In proportion to the free slots, what all instances send until they know the new loads fills the
// engines evenly. A preference for the emptier ones fills these beyond their slots.
std::vector<double> weightsByRoom(gsl::span<const EngineCandidate> candidates, bool withQueue)
{
    const auto roomOf = [withQueue](const EngineCandidate &it) {
        return it.slots + (withQueue ? queueOf(it) : 0) - it.requests;
    };
    double best = std::numeric_limits<double>::infinity();
    for (const EngineCandidate &it : candidates) {
        if (roomOf(it) > 0) {
            best = std::min(best, loadOf(it) + it.penalty);
        }
    }
    std::vector<double> weights;
    for (const EngineCandidate &it : candidates) {
        const bool isNearBest = loadOf(it) + it.penalty <= best + MaxDrawnDifference;
        weights.push_back(isNearBest ? std::max(0, roomOf(it)) : 0);
    }
    return weights;
}

// The free slots of a single engine would draw the requests of all instances, so queues are used
// before the last slots are.
bool hasFewSlots(gsl::span<const EngineCandidate> candidates)
{
    int free = 0;
    int slots = 0;
    for (const EngineCandidate &it : candidates) {
        free += std::max(0, it.slots - it.requests);
        slots = std::max(slots, it.slots);
    }
    return free < slots;
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
    for (const EngineCandidate &it : candidates) {
        const int slots = std::max(1, it.slots);
        selection.slots += slots;
        selection.room += std::max(0, slots + queueOf(it) - it.requests);
    }
    const std::vector<double> weights = weightsByRoom(candidates, hasFewSlots(candidates));
    if (hasWeight(weights)) {
        selection.index = drawIndex(weights, draw);
        return selection;
    }
    Duration shortest = Duration::max();
    for (const EngineCandidate &it : candidates) {
        shortest = std::min(shortest, waitAt(it));
    }
    selection.freeIn = shortest - MaxQueueTime;
    return selection;
}

} // namespace marigoldspool
