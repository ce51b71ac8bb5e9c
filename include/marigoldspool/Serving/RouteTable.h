#ifndef MARIGOLDSPOOL_SERVING_ROUTETABLE_H
#define MARIGOLDSPOOL_SERVING_ROUTETABLE_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <string_view>
#include <unordered_map>

namespace marigoldspool {

/// The form in which host names are compared: lower case, without the port.
std::string normalizeHost(std::string_view host);

/// Finds the route and the workspace of a request in one configuration.
class RouteTable
{
public:
    explicit RouteTable(ServingConfigurationPtr configuration);

    /// The route of \p host whose prefix is the longest match for the path of \p target, or null.
    const PrefixRoute *find(std::string_view host, std::string_view target) const;
    /// The workspace that \p key belongs to, or null.
    const ServedWorkspace *findWorkspace(std::string_view key) const;
    bool requiresKeys() const { return !m_configuration->workspaces.empty(); }
    const ServingConfigurationPtr &configuration() const { return m_configuration; }

private:
    ServingConfigurationPtr m_configuration;
    /// The routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const PrefixRoute *>> m_routesByHost;
    std::unordered_map<std::string, const ServedWorkspace *> m_workspacesByKey;
};

/// Selects a pool of \p route by weight; the result is the same for each call with the same \p id.
const PoolName &choosePool(const PrefixRoute &route, const RequestId &id);

} // namespace marigoldspool

#endif
