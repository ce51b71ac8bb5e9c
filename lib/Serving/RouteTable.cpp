#include "marigoldspool/Serving/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <functional>

namespace marigoldspool {

std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return name;
}

RouteTable::RouteTable(ServingConfigurationPtr configuration)
    : m_configuration(std::move(configuration))
{
    assert(m_configuration != nullptr && "the configuration must not be null");
    for (const PrefixRoute &route : m_configuration->routes) {
        m_routesByHost[normalizeHost(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const PrefixRoute *a, const PrefixRoute *b) {
                             return a->prefix.size() > b->prefix.size();
                         });
    }
    for (const ServedWorkspace &workspace : m_configuration->workspaces) {
        for (const std::string &key : workspace.keys) {
            m_workspacesByKey.emplace(key, &workspace);
        }
    }
}

const PrefixRoute *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto it = m_routesByHost.find(normalizeHost(host));
    if (it == m_routesByHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    const auto matches = [path](const PrefixRoute *route) {
        return path.substr(0, route->prefix.size()) == route->prefix;
    };
    const auto route = std::find_if(it->second.begin(), it->second.end(), matches);
    return route == it->second.end() ? nullptr : *route;
}

const ServedWorkspace *RouteTable::findWorkspace(std::string_view key) const
{
    const auto it = m_workspacesByKey.find(std::string(key));
    return it == m_workspacesByKey.end() ? nullptr : it->second;
}

const PoolName &choosePool(const PrefixRoute &route, const RequestId &id)
{
    assert(!route.pools.empty() && "the route must have at least one pool");
    double total = 0;
    for (const WeightedPool &share : route.pools) {
        total += share.weight;
    }
    // Weights are whole percentages, so a resolution of 0.01 % is enough.
    constexpr std::size_t WeightSteps = 10'000;
    const double at =
        total * static_cast<double>(std::hash<RequestId>()(id) % WeightSteps) / WeightSteps;
    double sum = 0;
    for (const WeightedPool &share : route.pools) {
        sum += share.weight;
        if (at < sum) {
            return share.pool;
        }
    }
    return route.pools.back().pool;
}

} // namespace marigoldspool
