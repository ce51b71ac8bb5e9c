#ifndef MARIGOLDSPOOL_SUPPORT_METRICS_H
#define MARIGOLDSPOOL_SUPPORT_METRICS_H

#include "marigoldspool/Support/Refusal.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace marigoldspool {

using Labels = std::map<std::string, std::string>;

/// Counters, gauges and histograms of one process, exposed in the Prometheus text format.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void countRefusal(RefusalReason reason);
    void countRetry(RetryReason reason);
    /// Increments a counter; its name ends in `_total`.
    void add(std::string_view counter, double by = 1, const Labels &labels = {});
    void set(std::string_view gauge, double value, const Labels &labels = {});
    /// Adds one observation, in seconds.
    void observe(std::string_view histogram, double seconds, const Labels &labels = {});
    /// The current value of a counter, zero if it was never incremented.
    double counterValue(std::string_view counter, const Labels &labels = {}) const;
    /// All metrics as text.
    std::string exposition() const;

private:
    class Registry;
    std::unique_ptr<Registry> m_registry;
};

} // namespace marigoldspool

#endif
