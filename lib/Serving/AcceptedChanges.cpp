#include "marigoldspool/Serving/AcceptedChanges.h"

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// A load that no report confirms within this time after its expected end is taken as failed. On a
// bench site, reports confirmed 379 loads up to 371 ms after their expected end.
constexpr Duration ExpectedLoadLifetime = milliseconds(600);
// Maximum age of the state in a report, with the time it takes to arrive.
constexpr Duration MaxReportAge = milliseconds(350);
// Longer than any request runs; a model listed after that was not unloaded.
constexpr Duration MaxUnloadTime = std::chrono::seconds(30);

bool isListed(const LoadedModels &models, const AcceptedChanges::Key &key)
{
    const auto model = models.find(key.first);
    return model != models.end() && (key.second.empty() || model->second.count(key.second) > 0);
}

// An adapter can be used only if its model is loaded.
void addLoad(LoadedModels &models, const AcceptedChanges::Key &load)
{
    const auto &[model, adapter] = load;
    if (adapter.empty()) {
        models.emplace(model, std::set<std::string>());
        return;
    }
    const auto loaded = models.find(model);
    if (loaded != models.end()) {
        loaded->second.insert(adapter);
    }
}

} // namespace

void AcceptedChanges::onLoadAccepted(const Key &load, SteadyTime dueAt)
{
    m_loads[load] = {dueAt};
    if (load.second.empty()) {
        // An engine accepts a load of a model only after it has finished the unload before.
        m_unload.reset();
        m_lastLoadDueAt = dueAt;
    }
}

void AcceptedChanges::onUnloadAccepted(const Key &unload, SteadyTime now)
{
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        const bool isGone =
            it->first == unload || (unload.second.empty() && it->first.first == unload.first);
        it = isGone ? m_loads.erase(it) : std::next(it);
    }
    // Reports count accepted orders, so one that is older than the unload of an adapter is known to
    // be. The unload of a model goes on after it has been accepted.
    if (unload.second.empty()) {
        m_unload = {unload.first, now};
    }
}

std::vector<AcceptedChanges::Key> AcceptedChanges::applyDueLoads(LoadedModels &models,
                                                                 SteadyTime now)
{
    std::vector<Key> due;
    for (auto &[load, expected] : m_loads) {
        if (!expected.applied && now >= expected.dueAt) {
            expected.applied = true;
            addLoad(models, load);
            due.push_back(load);
        }
    }
    return due;
}

void AcceptedChanges::correctReport(LoadedModels &reported, bool isBusy, SteadyTime now)
{
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        const auto &[load, expected] = *it;
        const bool isConfirmed = isListed(reported, load);
        const bool isOver = isConfirmed || now >= expected.dueAt + ExpectedLoadLifetime;
        if (!isOver && expected.applied) {
            addLoad(reported, load);
        }
        it = isOver ? m_loads.erase(it) : std::next(it);
    }
    if (!m_unload) {
        return;
    }
    const bool mayPredateUnload = now < m_unload->acceptedAt + MaxReportAge;
    const bool mayStillRun = isBusy && now < m_unload->acceptedAt + MaxUnloadTime;
    if (mayPredateUnload || mayStillRun) {
        reported.erase(m_unload->model);
    } else {
        m_unload.reset();
    }
}

bool AcceptedChanges::isUnloading(SteadyTime now) const
{
    return m_unload && now < m_unload->acceptedAt + MaxUnloadTime;
}

bool AcceptedChanges::mayPredateLoad(SteadyTime now) const
{
    return now >= m_lastLoadDueAt && now < m_lastLoadDueAt + MaxReportAge;
}

} // namespace marigoldspool
