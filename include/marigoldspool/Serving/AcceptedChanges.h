#ifndef MARIGOLDSPOOL_SERVING_ACCEPTEDCHANGES_H
#define MARIGOLDSPOOL_SERVING_ACCEPTEDCHANGES_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace marigoldspool {

/// Loads and unloads that one engine has accepted and that its reports may not show yet.
///
/// A report is some hundred milliseconds old, and an engine goes on listing a model that it unloads
/// until the model's requests have ended.
class AcceptedChanges
{
public:
    /// A model and one of its adapters; the adapter is empty for the model itself.
    using Key = std::pair<ModelName, std::string>;

    /// The load counts as complete from \p dueAt, without a report that shows it.
    void onLoadAccepted(const Key &load, SteadyTime dueAt);
    void onUnloadAccepted(const Key &unload, SteadyTime now);
    /// Adds the loads that have become due to \p models and returns them.
    std::vector<Key> applyDueLoads(LoadedModels &models, SteadyTime now);
    /// Adds due loads to a report and removes the model that is being unloaded.
    void correctReport(LoadedModels &reported, bool isBusy, SteadyTime now);
    /// Whether the engine may still be waiting for the requests of a model that it unloads.
    bool isUnloading(SteadyTime now) const;
    /// Whether a report received at \p now may be older than the end of the last load.
    bool mayPredateLoad(SteadyTime now) const;

private:
    struct ExpectedLoad {
        SteadyTime dueAt;
        bool applied = false;
    };
    struct ExpectedUnload {
        ModelName model;
        SteadyTime acceptedAt;
    };

    std::map<Key, ExpectedLoad> m_loads;
    std::optional<ExpectedUnload> m_unload;
    SteadyTime m_lastLoadDueAt;
};

} // namespace marigoldspool

#endif
