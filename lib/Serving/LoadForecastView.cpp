#include "marigoldspool/Serving/LoadForecastView.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// The owner answers each report of waiting requests, which instances of large fleets send every
// 1.5 s. That a model has been loaded says nothing of whether it still is, and a request that is
// refused for it is not reported, so an older statement would never be corrected.
constexpr Duration StatementLifetime = std::chrono::seconds(2);

} // namespace

LoadForecastView::LoadForecastView(const Clock &clock)
    : m_clock(clock)
{ }

void LoadForecastView::onForecasts(const LoadForecasts &forecasts)
{
    const SteadyTime now = m_clock.now();
    std::map<Key, Forecast> updated;
    for (const LoadForecast &load : forecasts.loading) {
        const Key key{load.model, load.adapter};
        SteadyTime readyAt = now + std::chrono::milliseconds(load.readyInMs);
        const auto before = m_forecasts.find(key);
        if (load.readyInMs == 0 && before != m_forecasts.end()) {
            // Loaded since then.
            readyAt = std::min(readyAt, before->second.readyAt);
        }
        updated[key] = {readyAt, now};
    }
    m_forecasts = std::move(updated);
}

// A load that has been used here is over. If the model is lost, the next load is another one.
void LoadForecastView::onAvailable(const ModelName &model, const std::string &adapter)
{
    const auto it = m_forecasts.find({model, adapter});
    if (it != m_forecasts.end() && it->second.readyAt <= m_clock.now()) {
        m_forecasts.erase(it);
    }
}

std::optional<ExpectedLoad> LoadForecastView::find(const ModelName &model,
                                                   const std::string &adapter) const
{
    const SteadyTime now = m_clock.now();
    const auto own = m_forecasts.find({model, adapter});
    if (own != m_forecasts.end()) {
        const Forecast &forecast = own->second;
        if (forecast.readyAt > now) {
            return ExpectedLoad{forecast.readyAt - now, Duration::zero()};
        }
        if (now - forecast.statedAt <= StatementLifetime) {
            return ExpectedLoad{Duration::zero(), now - forecast.readyAt};
        }
    }
    // An adapter is loaded after its model. Once the model is loaded, its forecast says nothing of
    // the adapter.
    const auto ofModel = m_forecasts.find({model, {}});
    if (ofModel == m_forecasts.end() || ofModel->second.readyAt <= now) {
        return std::nullopt;
    }
    return ExpectedLoad{ofModel->second.readyAt - now, Duration::zero()};
}

} // namespace marigoldspool
