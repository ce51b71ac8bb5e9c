#ifndef MARIGOLDSPOOL_SERVING_LOADFORECASTVIEW_H
#define MARIGOLDSPOOL_SERVING_LOADFORECASTVIEW_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Support/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marigoldspool {

/// When a model or adapter is expected to be loaded.
struct ExpectedLoad {
    /// Zero if it should be loaded.
    Duration remaining = Duration::zero();
    /// How long it should have been loaded.
    Duration overdue = Duration::zero();
};

/// What the placement owner has said about loads that requests of this instance wait for.
class LoadForecastView
{
public:
    explicit LoadForecastView(const Clock &clock);

    /// Replaces the forecasts received before.
    void onForecasts(const LoadForecasts &forecasts);
    /// An endpoint in reach has the model, with the adapter unless that is empty.
    void onAvailable(const ModelName &model, const std::string &adapter);
    void clear() { m_forecasts.clear(); }

    /// nullopt if the owner has to be asked; it answers the report of a waiting request.
    std::optional<ExpectedLoad> find(const ModelName &model, const std::string &adapter) const;

private:
    using Key = std::pair<ModelName, std::string>;
    struct Forecast {
        SteadyTime readyAt;
        SteadyTime statedAt;
    };

    const Clock &m_clock;
    std::map<Key, Forecast> m_forecasts;
};

} // namespace marigoldspool

#endif
