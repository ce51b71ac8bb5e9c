#include "marigoldspool/Config/Configuration.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marigoldspool {

namespace {

template <class Rule>
const Rule *lookUp(const std::unordered_map<std::string, std::size_t> &index,
                   const std::vector<Rule> &rules, std::string_view name)
{
    const auto it = index.find(std::string(name));
    return it != index.end() ? &rules[it->second] : nullptr;
}

template <class Rule, class NameOf>
std::unordered_map<std::string, std::size_t> makeIndex(const std::vector<Rule> &rules,
                                                       NameOf nameOf)
{
    std::unordered_map<std::string, std::size_t> index;
    index.reserve(rules.size());
    for (std::size_t i = 0; i < rules.size(); ++i) {
        [[maybe_unused]] const bool isNew = index.emplace(nameOf(rules[i]), i).second;
        assert(isNew && "the rules were checked for duplicates");
    }
    return index;
}

bool isPathOrParent(std::string_view parent, std::string_view path)
{
    if (path.substr(0, parent.size()) != parent) {
        return false;
    }
    return path.size() == parent.size() || parent.back() == '/' || path[parent.size()] == '/';
}

} // namespace

Configuration::Configuration(RuleSet rules)
    : m_rules(std::move(rules))
    , m_zoneIndex(makeIndex(m_rules.zones,
                            [](const ZoneRule &rule) {
                                return rule.name.str();
                            }))
    , m_endpointIndex(makeIndex(m_rules.endpoints,
                                [](const EndpointRule &rule) {
                                    return rule.id.str();
                                }))
    , m_modelIndex(makeIndex(m_rules.models,
                             [](const ModelRule &rule) {
                                 return rule.name.str();
                             }))
    , m_workspaceIndex(makeIndex(m_rules.workspaces,
                                 [](const WorkspaceRule &rule) {
                                     return rule.name.str();
                                 }))
    , m_keyIndex(makeIndex(m_rules.keys, [](const KeyRule &rule) {
        return rule.digest.str();
    }))
{ }

const ZoneRule *Configuration::findZone(std::string_view name) const
{
    return lookUp(m_zoneIndex, m_rules.zones, name);
}

const EndpointRule *Configuration::findEndpoint(std::string_view id) const
{
    return lookUp(m_endpointIndex, m_rules.endpoints, id);
}

const ModelRule *Configuration::findModel(std::string_view name) const
{
    return lookUp(m_modelIndex, m_rules.models, name);
}

const WorkspaceRule *Configuration::findWorkspace(std::string_view name) const
{
    return lookUp(m_workspaceIndex, m_rules.workspaces, name);
}

const KeyRule *Configuration::findKey(std::string_view digest) const
{
    return lookUp(m_keyIndex, m_rules.keys, digest);
}

const RouteRule *Configuration::findRouteByPath(std::string_view path) const
{
    const RouteRule *best = nullptr;
    for (const RouteRule &route : m_rules.routes) {
        if (isPathOrParent(route.path, path)
            && (best == nullptr || route.path.size() > best->path.size())) {
            best = &route;
        }
    }
    return best;
}

bool Configuration::isZoneServing(const ZoneName &zone) const
{
    const ZoneRule *rule = findZone(zone.str());
    return rule != nullptr && rule->state == ZoneState::Serving;
}

bool Configuration::canRunIn(const ModelRule &model, const ZoneName &zone) const
{
    const bool isListed = model.zones.empty()
        || std::find(model.zones.begin(), model.zones.end(), zone) != model.zones.end();
    return isListed && isZoneServing(zone);
}

} // namespace marigoldspool
