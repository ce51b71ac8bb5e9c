#include "RuleChecks.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace marigoldspool {

namespace {

template <class Rule, class TextOf>
std::unordered_map<std::string, std::size_t>
reportDuplicates(const std::vector<Rule> &rules, const std::vector<int> &lines,
                 std::string_view what, std::string_view remedy, ProblemList &problems,
                 TextOf textOf)
{
    std::unordered_map<std::string, std::size_t> firsts;
    for (std::size_t i = 0; i < rules.size(); ++i) {
        const std::string &text = textOf(rules[i]);
        if (text.empty()) {
            continue; // A missing value was reported when the line was parsed.
        }
        const auto [it, isNew] = firsts.emplace(text, i);
        if (!isNew) {
            problems.error(lines[i],
                           std::string(what) + " " + quoted(text) + " is already in line "
                               + std::to_string(lines[it->second]),
                           std::string(remedy));
        }
    }
    return firsts;
}

class ReferenceCheck
{
public:
    ReferenceCheck(const NumberedRules &numbered, ProblemList &problems)
        : m_numbered(numbered)
        , m_rules(numbered.rules)
        , m_problems(problems)
    { }

    void run()
    {
        findDuplicates();
        checkEndpoints();
        checkModels();
        checkKeys();
        checkRoutes();
    }

private:
    using Index = std::unordered_map<std::string, std::size_t>;

    void findDuplicates()
    {
        static constexpr std::string_view Remedy = "remove one of the two or rename it";
        m_zones = reportDuplicates(m_rules.zones, m_numbered.zoneLines, "zone", Remedy, m_problems,
                                   [](const ZoneRule &rule) {
                                       return rule.name.str();
                                   });
        reportDuplicates(m_rules.endpoints, m_numbered.endpointLines, "endpoint", Remedy,
                         m_problems, [](const EndpointRule &rule) {
                             return rule.id.str();
                         });
        // Two entries for one engine would count its memory twice.
        reportDuplicates(m_rules.endpoints, m_numbered.endpointLines, "endpoint address",
                         "give each endpoint its own address", m_problems,
                         [](const EndpointRule &rule) {
                             return rule.address;
                         });
        m_models = reportDuplicates(m_rules.models, m_numbered.modelLines, "model or adapter",
                                    Remedy, m_problems, [](const ModelRule &rule) {
                                        return rule.name.str();
                                    });
        m_workspaces = reportDuplicates(m_rules.workspaces, m_numbered.workspaceLines, "workspace",
                                        Remedy, m_problems, [](const WorkspaceRule &rule) {
                                            return rule.name.str();
                                        });
        reportDuplicates(m_rules.keys, m_numbered.keyLines, "key digest",
                         "keep one rule for each key", m_problems, [](const KeyRule &rule) {
                             return rule.digest.str();
                         });
        reportDuplicates(m_rules.routes, m_numbered.routeLines, "route", Remedy, m_problems,
                         [](const RouteRule &rule) {
                             return rule.name.str();
                         });
        reportDuplicates(m_rules.routes, m_numbered.routeLines, "path",
                         "give each route its own path", m_problems, [](const RouteRule &rule) {
                             return rule.path;
                         });
    }

    void require(const Index &index, int line, std::string_view what, const std::string &name)
    {
        if (!name.empty() && index.count(name) == 0) {
            m_problems.error(line, std::string(what) + " " + quoted(name) + " has no rule",
                             "add a rule for it or correct the name");
        }
    }

    void checkEndpoints()
    {
        for (std::size_t i = 0; i < m_rules.endpoints.size(); ++i) {
            const EndpointRule &endpoint = m_rules.endpoints[i];
            require(m_zones, m_numbered.endpointLines[i], "zone", endpoint.zone.str());
            if (!endpoint.pool.empty()) {
                m_pools.insert(endpoint.pool);
            }
        }
    }

    void checkModels()
    {
        for (std::size_t i = 0; i < m_rules.models.size(); ++i) {
            const ModelRule &model = m_rules.models[i];
            const int line = m_numbered.modelLines[i];
            for (const ZoneName &zone : model.zones) {
                require(m_zones, line, "zone", zone.str());
            }
            require(m_models, line, "base", model.base.str());
            const auto base = m_models.find(model.base.str());
            if (base != m_models.end()) {
                checkBase(model, m_rules.models[base->second], line);
            }
        }
    }

    void checkBase(const ModelRule &adapter, const ModelRule &base, int line)
    {
        if (base.kind != ModelKind::Model) {
            m_problems.error(line, "base " + quoted(base.name.str()) + " is itself an adapter",
                             "name a model as the base");
            return;
        }
        for (const ZoneName &zone : adapter.zones) {
            if (!base.zones.empty()
                && std::find(base.zones.begin(), base.zones.end(), zone) == base.zones.end()) {
                m_problems.error(line,
                                 "the adapter may run in zone " + quoted(zone.str())
                                     + " but its base " + quoted(base.name.str()) + " may not",
                                 "remove the zone here or add it to the base");
            }
        }
    }

    void checkKeys()
    {
        for (std::size_t i = 0; i < m_rules.keys.size(); ++i) {
            require(m_workspaces, m_numbered.keyLines[i], "workspace",
                    m_rules.keys[i].workspace.str());
        }
    }

    void checkRoutes()
    {
        for (std::size_t i = 0; i < m_rules.routes.size(); ++i) {
            const RouteRule &route = m_rules.routes[i];
            const int line = m_numbered.routeLines[i];
            for (const WorkspaceName &workspace : route.workspaces) {
                require(m_workspaces, line, "workspace", workspace.str());
            }
            if (!route.pool.empty() && m_pools.count(route.pool) == 0) {
                m_problems.error(line, "no endpoint is in pool " + quoted(route.pool),
                                 "add an endpoint with pool=" + route.pool
                                     + " or correct the name");
            }
        }
    }

    const NumberedRules &m_numbered;
    const RuleSet &m_rules;
    ProblemList &m_problems;
    Index m_zones;
    Index m_models;
    Index m_workspaces;
    std::set<std::string> m_pools;
};

class PlausibilityCheck
{
public:
    PlausibilityCheck(const NumberedRules &numbered, ProblemList &problems)
        : m_numbered(numbered)
        , m_rules(numbered.rules)
        , m_problems(problems)
    {
        for (const ZoneRule &zone : m_rules.zones) {
            if (zone.state == ZoneState::Serving) {
                m_serving.insert(zone.name);
            }
        }
        for (const EndpointRule &endpoint : m_rules.endpoints) {
            if (endpoint.kind == EndpointKind::Engine) {
                m_engineMemory[endpoint.zone].push_back(endpoint.memoryBytes);
            }
        }
        for (auto &[zone, memories] : m_engineMemory) {
            std::sort(memories.begin(), memories.end());
        }
        findNeeds();
    }

    void run()
    {
        checkZones();
        checkEndpoints();
        checkModels();
        checkWorkspaces();
        checkRoutes();
    }

private:
    void checkZones()
    {
        if (m_rules.zones.empty()) {
            m_problems.warning(0, "there is no zone, so every request will be refused",
                               "add a zone rule");
            return;
        }
        if (m_serving.empty()) {
            m_problems.warning(m_numbered.zoneLines.back(),
                               "all zones are drained, so every request will be refused",
                               "return at least one zone with state=serving");
        }
        for (std::size_t i = 0; i < m_rules.zones.size(); ++i) {
            const ZoneRule &zone = m_rules.zones[i];
            if (zone.weight == 0 && zone.state == ZoneState::Serving) {
                m_problems.warning(m_numbered.zoneLines[i],
                                   "the zone serves but its weight of zero gives it no part of "
                                   "any limit",
                                   "give it a weight above zero or drain it");
            }
        }
    }

    /// Memory that a replica needs on an engine; an adapter also needs its base there.
    struct Need {
        const ModelRule *model = nullptr;
        /// Null for models.
        const ModelRule *base = nullptr;
        std::uint64_t bytes = 0;
    };

    void findNeeds()
    {
        std::unordered_map<ModelName, const ModelRule *> models;
        for (const ModelRule &model : m_rules.models) {
            models.emplace(model.name, &model);
        }
        m_needs.reserve(m_rules.models.size());
        for (const ModelRule &model : m_rules.models) {
            Need need{&model, nullptr, model.memoryBytes + model.kvBytes};
            if (model.kind == ModelKind::Adapter) {
                need.base = models.at(model.base);
                need.bytes += need.base->memoryBytes + need.base->kvBytes;
            }
            m_needs.push_back(need);
        }
    }

    static bool isListed(const ModelRule &model, const ZoneName &zone)
    {
        return model.zones.empty()
            || std::find(model.zones.begin(), model.zones.end(), zone) != model.zones.end();
    }

    static bool canRunIn(const Need &need, const ZoneName &zone)
    {
        return isListed(*need.model, zone) && (need.base == nullptr || isListed(*need.base, zone));
    }

    void checkEndpoints()
    {
        std::set<std::string> pools;
        for (const RouteRule &route : m_rules.routes) {
            pools.insert(route.pool);
        }
        // Any model fits an engine of the zone if the zone's smallest one does.
        std::map<ZoneName, std::uint64_t> smallest;
        for (const auto &[zone, memories] : m_engineMemory) {
            for (const Need &need : m_needs) {
                if (canRunIn(need, zone)) {
                    const auto [it, isNew] = smallest.emplace(zone, need.bytes);
                    it->second = std::min(it->second, need.bytes);
                }
            }
        }
        for (std::size_t i = 0; i < m_rules.endpoints.size(); ++i) {
            const EndpointRule &endpoint = m_rules.endpoints[i];
            const int line = m_numbered.endpointLines[i];
            if (endpoint.kind == EndpointKind::Service) {
                if (pools.count(endpoint.pool) == 0) {
                    m_problems.warning(line, "no route uses pool " + quoted(endpoint.pool),
                                       "add a route for the pool or remove the endpoint");
                }
                continue;
            }
            const auto it = smallest.find(endpoint.zone);
            if (it == smallest.end() || it->second > endpoint.memoryBytes) {
                m_problems.warning(line,
                                   "no model or adapter that may run in zone "
                                       + quoted(endpoint.zone.str()) + " fits this engine",
                                   "allow a model there, correct memory or remove the endpoint");
            }
        }
    }

    void checkModels()
    {
        bool hasModelRoute = false;
        for (const RouteRule &route : m_rules.routes) {
            hasModelRoute = hasModelRoute || route.kind == RouteKind::Model;
        }
        if (!m_rules.models.empty() && !hasModelRoute) {
            m_problems.warning(m_numbered.modelLines.front(),
                               "there are models but no route with kind=model",
                               "add a route such as path=/v1/chat/completions");
        }
        for (std::size_t i = 0; i < m_needs.size(); ++i) {
            checkModel(m_needs[i], m_numbered.modelLines[i]);
        }
    }

    void checkModel(const Need &need, int line)
    {
        const ModelRule &model = *need.model;
        int fitting = 0;
        bool isInServingZone = false;
        for (const auto &[zone, memories] : m_engineMemory) {
            if (!canRunIn(need, zone)) {
                continue;
            }
            const auto n =
                memories.end() - std::lower_bound(memories.begin(), memories.end(), need.bytes);
            fitting += static_cast<int>(n);
            isInServingZone = isInServingZone || (n > 0 && m_serving.count(zone) > 0);
        }
        const std::string what = std::string(model.kind == ModelKind::Model ? "model " : "adapter ")
            + quoted(model.name.str());
        if (fitting == 0) {
            m_problems.warning(line,
                               what + " fits no engine in the zones where it may run; it needs "
                                   + std::to_string(need.bytes) + " bytes"
                                   + (model.base.empty() ? "" : " with its base"),
                               "add an engine with more memory or allow more zones");
            return;
        }
        if (!isInServingZone) {
            m_problems.warning(line, "all zones in which " + what + " fits an engine are drained",
                               "allow another zone or return one of them");
        }
        if (fitting < model.minReplicas) {
            m_problems.warning(line,
                               "min-replicas is " + std::to_string(model.minReplicas)
                                   + " but the model fits only " + std::to_string(fitting)
                                   + " engines",
                               "lower min-replicas or add engines");
        }
    }

    void checkWorkspaces()
    {
        std::set<WorkspaceName> withKey;
        for (const KeyRule &key : m_rules.keys) {
            if (key.state == KeyState::Active) {
                withKey.insert(key.workspace);
            }
        }
        for (std::size_t i = 0; i < m_rules.workspaces.size(); ++i) {
            const WorkspaceRule &workspace = m_rules.workspaces[i];
            const int line = m_numbered.workspaceLines[i];
            if (workspace.rate == 0) {
                m_problems.warning(line,
                                   "a rate of zero refuses the workspace's requests once its "
                                   "burst is spent",
                                   "set a rate above zero unless that is meant");
            }
            if (withKey.count(workspace.name) == 0) {
                m_problems.warning(line, "the workspace has no active key",
                                   "add one with marigoldspoolctl key new " + workspace.name.str());
            }
        }
    }

    void checkRoutes()
    {
        for (std::size_t i = 0; i < m_rules.routes.size(); ++i) {
            const RouteRule &route = m_rules.routes[i];
            if (route.open) {
                m_problems.warning(m_numbered.routeLines[i],
                                   "the route is open: no key is needed and no workspace's rate "
                                   "limits it",
                                   "set open=no unless that is meant");
            }
            if (route.kind == RouteKind::Service) {
                checkCost(route, m_numbered.routeLines[i]);
            }
        }
    }

    void checkCost(const RouteRule &route, int line)
    {
        for (const WorkspaceRule &workspace : m_rules.workspaces) {
            const bool mayUse = route.workspaces.empty()
                || std::find(route.workspaces.begin(), route.workspaces.end(), workspace.name)
                    != route.workspaces.end();
            if (!route.open && mayUse && route.cost > workspace.burst) {
                m_problems.warning(line,
                                   "one call costs " + formatNumber(route.cost)
                                       + " tokens but the burst of workspace "
                                       + quoted(workspace.name.str()) + " is "
                                       + formatNumber(workspace.burst),
                                   "lower the cost or raise the burst");
            }
        }
    }

    const NumberedRules &m_numbered;
    const RuleSet &m_rules;
    ProblemList &m_problems;
    std::set<ZoneName> m_serving;
    std::vector<Need> m_needs;
    /// In ascending order.
    std::map<ZoneName, std::vector<std::uint64_t>> m_engineMemory;
};

} // namespace

void checkReferences(const NumberedRules &numbered, ProblemList &problems)
{
    ReferenceCheck(numbered, problems).run();
}

void checkPlausibility(const NumberedRules &numbered, ProblemList &problems)
{
    PlausibilityCheck(numbered, problems).run();
}

} // namespace marigoldspool
