#ifndef MARIGOLDSPOOL_TESTS_PLACEMENT_FAKEFLEETCHECKS_H
#define MARIGOLDSPOOL_TESTS_PLACEMENT_FAKEFLEETCHECKS_H

// Invariant checks and state reports of FakeFleet. Included by FakeFleet.h.
#include "Placement/FakeFleet.h"

namespace marigoldspool::fake {

inline void FakeFleet::addViolation(const std::string &what)
{
    m_violations.push_back("seed " + std::to_string(m_options.seed) + ", "
                           + std::to_string(toMilliseconds(m_now)) + " ms: " + what);
}

// Checks that the models on the engines do not exceed the placements, the memory and the limit of
// concurrent loads.
inline void FakeFleet::checkState()
{
    if (!m_options.checkInvariants) {
        return;
    }
    std::size_t loading = 0;
    std::map<ModelName, std::size_t> replicas;
    for (const FakeEngine &engine : m_engines) {
        std::uint64_t used = 0;
        for (const auto &[name, model] : engine.models) {
            used += model.bytes;
            ++replicas[name];
            loading += model.state == EngineModelState::Loading && !isAdapter(name) ? 1 : 0;
        }
        if (used > engine.rule.memoryBytes) {
            addViolation("memory: " + engine.rule.id.str() + " uses " + std::to_string(used));
        }
        const auto it = m_objects.find("ledgers/" + engine.rule.id.str());
        if (it != m_objects.end() && it->second.version != 0) {
            const auto ledger = Ledger::parse(it->second.value);
            if (!ledger || ledger->reservedBytes() > engine.rule.memoryBytes) {
                addViolation("memory: ledger of " + engine.rule.id.str() + " exceeds its capacity");
            }
        }
    }
    for (const auto &[model, count] : replicas) {
        if (count > placedReplicas(model)) {
            addViolation("replicas: " + std::to_string(count) + " of " + model.str() + ", placed "
                         + std::to_string(placedReplicas(model)));
        }
    }
    if (loading > m_options.placement.maxActiveLoads) {
        addViolation("loads: " + std::to_string(loading) + " model loads at once");
    }
}

inline std::size_t FakeFleet::placedReplicas(const ModelName &model) const
{
    const auto it = m_objects.find("placements/" + model.str());
    if (it == m_objects.end() || it->second.version == 0) {
        return 0;
    }
    const auto placement = Placement::parse(it->second.value);
    return placement ? placement->replicas.size() : 0;
}

inline std::size_t FakeFleet::loadedReplicas(const ModelName &model) const
{
    return static_cast<std::size_t>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const FakeEngine &engine) {
            const auto it = engine.models.find(model);
            return it != engine.models.end() && it->second.state == EngineModelState::Loaded;
        }));
}

inline std::uint64_t FakeFleet::loadOrders() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_accepted.begin(), m_accepted.end(), [](const EngineOrder &order) {
            return order.action == OrderAction::Load;
        }));
}

inline std::set<std::string> FakeFleet::unfinishedEntries() const
{
    std::set<std::string> steps;
    for (const auto &[key, object] : m_objects) {
        if (object.version == 0) {
            continue;
        }
        if (key.rfind("ledgers/", 0) == 0) {
            const auto ledger = Ledger::parse(object.value);
            for (const LedgerEntry &entry : ledger->entries()) {
                if (entry.state != EntryState::Loaded) {
                    steps.insert(entry.replica.str() + " "
                                 + std::string(entryStateName(entry.state)) + " "
                                 + entry.order.str());
                }
            }
        }
    }
    return steps;
}

inline std::string FakeFleet::describe() const
{
    std::string text;
    for (const auto &[key, object] : m_objects) {
        text += key + " version " + std::to_string(object.version) + ": " + object.value + "\n";
    }
    for (const FakeEngine &engine : m_engines) {
        text += engine.rule.id.str() + " run " + std::to_string(engine.incarnation) + ", fencing "
            + std::to_string(engine.lastFencing) + ":";
        for (const auto &[name, model] : engine.models) {
            text += " " + name.str() + "/" + std::to_string(static_cast<int>(model.state));
        }
        text += "\n";
    }
    return text;
}

inline FakeEngine *FakeFleet::findEngine(const EndpointId &endpoint)
{
    const auto it = std::find_if(m_engines.begin(), m_engines.end(), [&](const FakeEngine &engine) {
        return engine.rule.id == endpoint;
    });
    return &*it;
}

inline bool FakeFleet::isAdapter(const ModelName &model) const
{
    return std::any_of(m_options.models.begin(), m_options.models.end(),
                       [&](const ModelRule &rule) {
                           return rule.name == model && rule.kind == ModelKind::Adapter;
                       });
}

} // namespace marigoldspool::fake

#endif
