#include "marigoldspool/Support/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace marigoldspool {

namespace {

constexpr std::string_view RefusalCounter = "marigoldspool_refusals_total";
constexpr std::string_view RetryCounter = "marigoldspool_retries_total";

// Bucket bounds in seconds, from a loopback call to a load from the weight store.
const prometheus::Histogram::BucketBoundaries &latencyBounds()
{
    static const prometheus::Histogram::BucketBoundaries bounds{
        0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
    return bounds;
}

} // namespace

class Metrics::Registry
{
public:
    // With InsertBehavior::Merge the registry returns an existing family of the same name, so this
    // class needs no map of families.
    prometheus::Counter &counter(std::string_view name, const Labels &labels)
    {
        return prometheus::BuildCounter().Name(std::string(name)).Register(m_registry).Add(labels);
    }

    prometheus::Gauge &gauge(std::string_view name, const Labels &labels)
    {
        return prometheus::BuildGauge().Name(std::string(name)).Register(m_registry).Add(labels);
    }

    prometheus::Histogram &histogram(std::string_view name, const Labels &labels)
    {
        return prometheus::BuildHistogram()
            .Name(std::string(name))
            .Register(m_registry)
            .Add(labels, latencyBounds());
    }

    std::string exposition() const
    {
        return prometheus::TextSerializer().Serialize(m_registry.Collect());
    }

private:
    prometheus::Registry m_registry{prometheus::Registry::InsertBehavior::Merge};
};

// Registers the counters of all reasons, so that they are exposed while still zero.
Metrics::Metrics()
    : m_registry(std::make_unique<Registry>())
{
    for (const RefusalReason reason : allRefusalReasons()) {
        add(RefusalCounter, 0, {{"reason", std::string(refusalCode(reason))}});
    }
    for (const RetryReason reason : allRetryReasons()) {
        add(RetryCounter, 0, {{"reason", std::string(retryCode(reason))}});
    }
}

Metrics::~Metrics() = default;

void Metrics::countRefusal(RefusalReason reason)
{
    add(RefusalCounter, 1, {{"reason", std::string(refusalCode(reason))}});
}

void Metrics::countRetry(RetryReason reason)
{
    add(RetryCounter, 1, {{"reason", std::string(retryCode(reason))}});
}

void Metrics::add(std::string_view counter, double by, const Labels &labels)
{
    m_registry->counter(counter, labels).Increment(by);
}

void Metrics::set(std::string_view gauge, double value, const Labels &labels)
{
    m_registry->gauge(gauge, labels).Set(value);
}

void Metrics::observe(std::string_view histogram, double seconds, const Labels &labels)
{
    m_registry->histogram(histogram, labels).Observe(seconds);
}

double Metrics::counterValue(std::string_view counter, const Labels &labels) const
{
    return m_registry->counter(counter, labels).Value();
}

std::string Metrics::exposition() const
{
    return m_registry->exposition();
}

} // namespace marigoldspool
