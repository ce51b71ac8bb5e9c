#include "marigoldspool/Serving/ConfigurationCheck.h"

#include "marigoldspool/Serving/RouteTable.h"

#include <algorithm>

namespace marigoldspool {

namespace {

std::string decimal(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(toMilliseconds(duration)) + " ms";
}

class Findings
{
public:
    void add(FindingKind kind, std::string entry, std::string text)
    {
        m_findings.push_back({kind, std::move(entry), std::move(text)});
    }
    std::vector<ConfigurationFinding> take() { return std::move(m_findings); }

private:
    std::vector<ConfigurationFinding> m_findings;
};

void checkRouteLimits(const PrefixRoute &route, const std::string &entry, Findings &findings)
{
    if (route.timeout < route.objective) {
        findings.add(FindingKind::Contradiction, entry,
                     "the timeout of " + millisecondsText(route.timeout)
                         + " is below the latency objective of "
                         + millisecondsText(route.objective));
    }
    if (route.maxEventGap > route.timeout) {
        findings.add(FindingKind::Contradiction, entry,
                     "the objective for the time between two events is above the timeout");
    }
    if (route.resumable && route.kind != RequestKind::Stream) {
        findings.add(FindingKind::Contradiction, entry, "it is resumable, but no stream");
    }
    if (route.maxAttempts < 1) {
        findings.add(FindingKind::Error, entry, "it allows no attempt");
    }
}

void checkRoutePools(const PrefixRoute &route, const std::string &entry,
                     const ServingConfiguration &configuration, Findings &findings)
{
    double weight = 0;
    for (const WeightedPool &share : route.pools) {
        weight += share.weight;
        if (configuration.pool(share.pool) == nullptr) {
            findings.add(FindingKind::Error, entry,
                         "the service " + share.pool.str() + " does not exist");
        }
        if (share.weight == 0 && route.pools.size() > 1) {
            findings.add(FindingKind::Unreachable, entry,
                         "the service " + share.pool.str() + " has the weight 0");
        }
    }
    if (weight == 0) {
        findings.add(FindingKind::Error, entry, "all of its services have the weight 0");
    }
}

void checkRoutes(const ServingConfiguration &configuration, Findings &findings)
{
    std::map<std::pair<std::string, std::string>, RouteName> seen;
    std::set<RouteName> names;
    for (const PrefixRoute &route : configuration.routes) {
        const std::string entry = "route " + route.name.str();
        if (!names.insert(route.name).second) {
            findings.add(FindingKind::Error, entry, "an earlier route has the same name");
        }
        if (route.prefix.empty() || route.prefix.front() != '/') {
            findings.add(FindingKind::Unreachable, entry,
                         "its prefix does not begin with a slash, as all paths do");
        } else if (route.prefix.back() != '/') {
            findings.add(FindingKind::Error, entry,
                         "its prefix does not end with a slash and matches longer names, too");
        }
        const auto [earlier, isFirst] =
            seen.try_emplace({normalizeHost(route.host), route.prefix}, route.name);
        if (!isFirst) {
            findings.add(FindingKind::Unreachable, entry,
                         "the route " + earlier->second.str()
                             + " has the same host and prefix and comes first");
        }
        checkRouteLimits(route, entry, findings);
        checkRoutePools(route, entry, configuration, findings);
    }
}

void checkEngine(const EngineProfile &engine, const std::string &entry, Findings &findings)
{
    if (engine.slots < 1) {
        findings.add(FindingKind::Error, entry, "its engines have no slots");
    }
    if (engine.models.empty()) {
        findings.add(FindingKind::Unreachable, entry, "its engines have no models");
    }
    for (const auto &[name, model] : engine.models) {
        const std::string text = "the model " + name.str();
        if (model.weightsMb > engine.weightMemoryMb) {
            findings.add(FindingKind::Contradiction, entry,
                         text + " has " + decimal(model.weightsMb) + " MB, an engine "
                             + decimal(engine.weightMemoryMb) + " MB");
        } else if (model.adapterCount > 0
                   && model.weightsMb + model.adapterMb > engine.weightMemoryMb) {
            findings.add(FindingKind::Contradiction, entry,
                         text + " leaves no memory for one of its adapters");
        }
        if (model.adapterCount > 0 && engine.adapterSlots < 1) {
            findings.add(FindingKind::Contradiction, entry,
                         text + " has adapters, but its engines have no slots for them");
        }
    }
}

void checkPools(const ServingConfiguration &configuration, Findings &findings)
{
    std::set<PoolName> used;
    for (const PrefixRoute &route : configuration.routes) {
        for (const WeightedPool &share : route.pools) {
            used.insert(share.pool);
        }
    }
    for (const auto &[name, pool] : configuration.pools) {
        const std::string entry = "service " + name.str();
        if (used.count(name) == 0) {
            findings.add(FindingKind::Unreachable, entry, "no route uses it");
        }
        if (pool.coldRequestsPerSecond > 0 && pool.coldDuration == Duration::zero()) {
            findings.add(FindingKind::Contradiction, entry,
                         "it limits cold endpoints, but they are cold for no time");
        }
        if (pool.engine) {
            checkEngine(*pool.engine, entry, findings);
        }
        if (!pool.replicas) {
            continue;
        }
        if (pool.replicas->min > pool.replicas->max) {
            findings.add(FindingKind::Contradiction, entry,
                         "its autoscale minimum of " + std::to_string(pool.replicas->min)
                             + " is above its maximum of " + std::to_string(pool.replicas->max));
        } else if (pool.replicas->max == 0) {
            findings.add(FindingKind::Error, entry, "its autoscale maximum is 0");
        }
    }
}

void checkWorkspaces(const ServingConfiguration &configuration, Findings &findings)
{
    std::map<std::string, WorkspaceName> keyOwners;
    std::set<WorkspaceName> names;
    for (const ServedWorkspace &workspace : configuration.workspaces) {
        const std::string entry = "tenant " + workspace.name.str();
        if (!names.insert(workspace.name).second) {
            findings.add(FindingKind::Error, entry, "an earlier tenant has the same name");
        }
        if (workspace.keys.empty()) {
            findings.add(FindingKind::Unreachable, entry, "it has no keys");
        }
        for (const std::string &key : workspace.keys) {
            const auto [owner, isFirst] = keyOwners.try_emplace(key, workspace.name);
            // The key itself is a secret and is not printed.
            if (!isFirst) {
                findings.add(FindingKind::Unreachable, entry,
                             owner->second == workspace.name ? "one of its keys is listed twice"
                                                             : "the tenant " + owner->second.str()
                                     + " has one of its keys and comes first");
            }
        }
        // Rates of zero are not limited.
        if (workspace.rate > 0 && workspace.burst < workspace.defaultCost) {
            findings.add(FindingKind::Contradiction, entry,
                         "its burst of " + decimal(workspace.burst) + " is below the cost of one "
                             + "request, " + decimal(workspace.defaultCost));
        }
    }
}

} // namespace

std::string_view findingKindName(FindingKind kind)
{
    switch (kind) {
    case FindingKind::Unreachable:
        return "unreachable";
    case FindingKind::Contradiction:
        return "contradiction";
    case FindingKind::Error:
        break;
    }
    return "error";
}

std::vector<ConfigurationFinding> checkConfiguration(const ServingConfiguration &configuration,
                                                     const ServingConfiguration *inForce)
{
    Findings findings;
    // Instances ignore all but rising versions.
    if (inForce != nullptr && configuration.version <= inForce->version) {
        findings.add(FindingKind::Error, "configuration",
                     "its version " + std::to_string(configuration.version)
                         + " is not above the version " + std::to_string(inForce->version)
                         + " in force, so it would not take effect");
    }
    if (configuration.routes.empty()) {
        findings.add(FindingKind::Error, "configuration", "it has no routes");
    }
    checkRoutes(configuration, findings);
    checkPools(configuration, findings);
    checkWorkspaces(configuration, findings);
    return findings.take();
}

} // namespace marigoldspool
