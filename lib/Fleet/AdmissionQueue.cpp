#include "Fleet/AdmissionQueue.h"

#include "Fleet/Exchange.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

namespace marigoldspool {

AdmissionQueue::AdmissionQueue(FleetRuntime &runtime)
    : m_runtime(runtime)
{ }

SlotSupply AdmissionQueue::supplyFor(const Key &key) const
{
    SlotSupply supply;
    const auto group = m_groups.find(key);
    if (group != m_groups.end()) {
        supply = group->second.supply;
    } else if (const EndpointPool *pool = m_runtime.routes->configuration()->pool(key.first)) {
        supply.slots = pool->engine ? std::max(1, pool->engine->slots) : 1;
    }
    supply.meanSlotSeconds =
        m_runtime.directory.responseTimes().expectedSlotSeconds(key.first, 0, 0);
    supply.demand = m_runtime.priorityDemand.demandFor(key.first, key.second);
    return supply;
}

void AdmissionQueue::noteWaiting(const Requests &waiting)
{
    const SteadyTime now = m_runtime.clock.now();
    std::map<PriorityKey, int> counts;
    for (const auto &it : waiting) {
        if (it->usesAdmissionOrder() && it->isWaitingForSlot()) {
            const int priority = agedPriority(it->queuedRequest(), now);
            ++counts[{it->pool()->name, it->model(), priority}];
        }
    }
    m_runtime.priorityDemand.setWaiting(std::move(counts));
}

// The places of a group's requests among those of others are kept: they compete for other slots.
void AdmissionQueue::arrange(Requests &waiting)
{
    std::map<Key, std::vector<Requests::iterator>> places;
    for (auto it = waiting.begin(); it != waiting.end(); ++it) {
        if ((*it)->usesAdmissionOrder()) {
            places[{(*it)->pool()->name, (*it)->model()}].push_back(it);
        }
    }
    noteWaiting(waiting);
    std::map<Key, Group> groups;
    for (const auto &[key, group] : places) {
        std::vector<std::shared_ptr<Exchange>> members;
        std::vector<QueuedRequest> requests;
        for (const auto &place : group) {
            members.push_back(*place);
            requests.push_back((*place)->queuedRequest());
        }
        Group &arranged = groups[key];
        arranged.supply = supplyFor(key);
        const auto entries = orderAdmission(requests, arranged.supply, m_runtime.clock.now());
        for (std::size_t i = 0; i < entries.size(); ++i) {
            *group[i] = members[entries[i].index];
            arranged.entries.emplace(members[entries[i].index].get(), entries[i]);
        }
    }
    m_groups = std::move(groups);
}

bool AdmissionQueue::mustWait(const Exchange &exchange, const EndpointChoice &choice,
                              const Requests &waiting) const
{
    if (!exchange.usesAdmissionOrder() || choice.slots == 0) {
        return false;
    }
    const PoolName &pool = exchange.pool()->name;
    const auto demand = m_runtime.priorityDemand.demandFor(pool, exchange.model());
    if (!demand) {
        return false;
    }
    const int priority = agedPriority(exchange.queuedRequest(), m_runtime.clock.now());
    if (isOutranked(priority, choice.room, *demand)) {
        return true;
    }
    return !exchange.isWaiting()
        && std::any_of(waiting.begin(), waiting.end(), [&](const auto &it) {
               return it->isWaitingForSlot() && it->pool()->name == pool
                   && it->model() == exchange.model();
           });
}

AdmissionEntry AdmissionQueue::entryFor(const Exchange &exchange, const EndpointChoice &choice,
                                        std::optional<Duration> loadedIn, const Requests &waiting)
{
    const Key key{exchange.pool()->name, exchange.model()};
    SlotSupply supply = supplyFor(key);
    supply.freeIn = choice.retryIn;
    supply.slots = std::max(1, choice.slots);
    if (loadedIn) {
        supply.freeIn = std::min(supply.freeIn, *loadedIn);
        supply.slots += exchange.pool()->engine->slots;
    }
    Group &group = m_groups[key];
    group.supply = supply;
    if (const auto known = group.entries.find(&exchange);
        known != group.entries.end() && exchange.isWaiting()) {
        return known->second;
    }
    std::vector<QueuedRequest> requests{exchange.queuedRequest()};
    for (const auto &it : waiting) {
        if (it.get() != &exchange && it->isWaitingForSlot() && it->pool()->name == key.first
            && it->model() == key.second) {
            requests.push_back(it->queuedRequest());
        }
    }
    const auto entries = orderAdmission(requests, supply, m_runtime.clock.now());
    const auto own = std::find_if(entries.begin(), entries.end(), [](const auto &it) {
        return it.index == 0;
    });
    return *own;
}

void AdmissionQueue::onRefused(const Exchange &exchange, const AdmissionEntry &entry,
                               Duration retryAfter) const
{
    const QueuedRequest request = exchange.queuedRequest();
    const SteadyTime now = m_runtime.clock.now();
    const bool isLate = hasBeenAccepted(request, now);
    m_runtime.metrics->add("marigoldspool_admission_refusals_total", 1,
                           {{"when", isLate ? "late" : "at_once"}});
    logEvent(LogLevel::Info, "admission_refused",
             {{"id", exchange.id().str()},
              {"model", exchange.model().str()},
              {"priority", std::to_string(request.priority)},
              {"aged", std::to_string(agedPriority(request, now))},
              {"waited_ms", std::to_string(toMilliseconds(now - request.arrival))},
              {"starts_ms", std::to_string(toMilliseconds(entry.startsIn))},
              {"retry_ms", std::to_string(toMilliseconds(retryAfter))}});
}

} // namespace marigoldspool
