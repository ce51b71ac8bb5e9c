// What differs between two versions of a configuration.
#include "marigoldspool/Serving/ConfigurationCheck.h"

#include <algorithm>
#include <initializer_list>
#include <sstream>

namespace marigoldspool {

namespace {

/// The fields of an entry as text, by name.
using Fields = std::map<std::string, std::string>;

template <class T>
std::string text(const T &value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string text(Duration value)
{
    return std::to_string(toMilliseconds(value)) + "ms";
}

std::string text(bool value)
{
    return value ? "yes" : "no";
}

std::string kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::Stream:
        return "stream";
    case RequestKind::NonIdempotent:
        break;
    }
    return "not idempotent";
}

Fields fieldsOf(const PrefixRoute &route)
{
    std::string pools;
    for (const WeightedPool &share : route.pools) {
        pools += (pools.empty() ? "" : ",") + share.pool.str() + ':' + text(share.weight);
    }
    return {{"host", route.host},
            {"prefix", route.prefix},
            {"kind", kindName(route.kind)},
            {"timeout", text(route.timeout)},
            {"objective", text(route.objective)},
            {"event gap", text(route.maxEventGap)},
            {"priority", text(route.priority)},
            {"services", pools},
            {"attempts", text(route.maxAttempts)},
            {"public", text(route.open)},
            {"resumable", text(route.resumable)}};
}

Fields fieldsOf(const EndpointPool &pool)
{
    Fields fields{{"health path", pool.healthPath},
                  {"cold requests per second", text(pool.coldRequestsPerSecond)},
                  {"cold time", text(pool.coldDuration)},
                  {"connections", text(pool.maxConnections)}};
    if (pool.replicas) {
        fields["autoscale"] = text(pool.replicas->min) + " to " + text(pool.replicas->max)
            + ", boot " + text(pool.replicas->bootTime);
    }
    if (pool.engine) {
        const EngineProfile &engine = *pool.engine;
        fields["slots"] = text(engine.slots);
        fields["cache tokens"] = text(engine.kvCacheTokens);
        fields["memory"] = text(engine.weightMemoryMb) + "MB";
        fields["adapter slots"] = text(engine.adapterSlots);
        fields["loads per second"] = text(engine.loadsPerSecond);
        for (const auto &[name, model] : engine.models) {
            fields["model " + name.str()] = text(model.weightsMb) + "MB adapters "
                + text(model.adapterCount) + " of " + text(model.adapterMb) + "MB load "
                + text(model.storeLoadTime) + ", " + text(model.diskLoadTime) + ", "
                + text(model.memoryLoadTime);
        }
    }
    return fields;
}

Fields fieldsOf(const ServedWorkspace &workspace)
{
    return {{"priority", workspace.priority ? text(*workspace.priority) : "none"},
            {"rate", text(workspace.rate)},
            {"burst", text(workspace.burst)},
            {"unit", workspace.countsTokens ? "tokens" : "requests"},
            {"default cost", text(workspace.defaultCost)}};
}

void addChanges(const std::string &entry, const Fields &before, const Fields &after,
                std::vector<std::string> &lines)
{
    std::string changes;
    const auto add = [&changes](std::initializer_list<std::string_view> parts) {
        changes += changes.empty() ? "" : "; ";
        for (const std::string_view part : parts) {
            changes += part;
        }
    };
    for (const auto &[name, value] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            add({name, " removed"});
        } else if (found->second != value) {
            add({name, " from ", value, " to ", found->second});
        }
    }
    for (const auto &[name, value] : after) {
        if (before.count(name) == 0) {
            add({name, " added: ", value});
        }
    }
    if (!changes.empty()) {
        lines.push_back(entry + " changed: " + changes);
    }
}

/// Entries by their display name.
template <class T>
using Entries = std::map<std::string, const T *>;

template <class T>
void compare(const Entries<T> &before, const Entries<T> &after, std::vector<std::string> &lines)
{
    for (const auto &[name, entry] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            lines.push_back(name + " removed");
        } else {
            addChanges(name, fieldsOf(*entry), fieldsOf(*found->second), lines);
        }
    }
    for (const auto &[name, entry] : after) {
        if (before.count(name) == 0) {
            lines.push_back(name + " added");
        }
    }
}

Entries<PrefixRoute> routesOf(const ServingConfiguration &configuration)
{
    Entries<PrefixRoute> entries;
    for (const PrefixRoute &route : configuration.routes) {
        entries.emplace("route " + route.name.str(), &route);
    }
    return entries;
}

Entries<EndpointPool> poolsOf(const ServingConfiguration &configuration)
{
    Entries<EndpointPool> entries;
    for (const auto &[name, pool] : configuration.pools) {
        entries.emplace("service " + name.str(), &pool);
    }
    return entries;
}

Entries<ServedWorkspace> workspacesOf(const ServingConfiguration &configuration)
{
    Entries<ServedWorkspace> entries;
    for (const ServedWorkspace &workspace : configuration.workspaces) {
        entries.emplace("tenant " + workspace.name.str(), &workspace);
    }
    return entries;
}

void compareKeys(const Entries<ServedWorkspace> &before, const Entries<ServedWorkspace> &after,
                 std::vector<std::string> &lines)
{
    for (const auto &[name, workspace] : after) {
        const auto found = before.find(name);
        if (found == before.end()) {
            continue;
        }
        const std::set<std::string> was(found->second->keys.begin(), found->second->keys.end());
        const std::set<std::string> is(workspace->keys.begin(), workspace->keys.end());
        const auto countMissing = [](const std::set<std::string> &keys,
                                     const std::set<std::string> &other) {
            return std::count_if(keys.begin(), keys.end(), [&](const std::string &key) {
                return other.count(key) == 0;
            });
        };
        const auto added = countMissing(is, was);
        const auto removed = countMissing(was, is);
        if (added + removed > 0) {
            lines.push_back(name + " keys: " + text(added) + " added, " + text(removed)
                            + " removed");
        }
    }
}

} // namespace

std::vector<std::string> describeChanges(const ServingConfiguration &before,
                                         const ServingConfiguration &after)
{
    std::vector<std::string> lines;
    compare(routesOf(before), routesOf(after), lines);
    compare(poolsOf(before), poolsOf(after), lines);
    compare(workspacesOf(before), workspacesOf(after), lines);
    compareKeys(workspacesOf(before), workspacesOf(after), lines);
    return lines;
}

} // namespace marigoldspool
