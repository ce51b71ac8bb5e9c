#include "marigoldspool/Config/ConfigDiff.h"

#include "RuleLine.h"

#include <cassert>
#include <unordered_map>

namespace marigoldspool {

namespace {

constexpr std::string_view RequesterKey = "asked for by";

std::string formatBytes(std::uint64_t bytes)
{
    static constexpr std::string_view Units[] = {"B", "KiB", "MiB", "GiB", "TiB"};
    std::size_t unit = 0;
    while (bytes != 0 && bytes % 1024 == 0 && unit + 1 < std::size(Units)) {
        bytes /= 1024;
        ++unit;
    }
    return std::to_string(bytes) + std::string(Units[unit]);
}

std::string formatDuration(Duration duration)
{
    const std::int64_t ms = toMilliseconds(duration);
    if (ms % 3'600'000 == 0) {
        return std::to_string(ms / 3'600'000) + "h";
    }
    if (ms % 60'000 == 0) {
        return std::to_string(ms / 60'000) + "m";
    }
    return ms % 1000 == 0 ? std::to_string(ms / 1000) + "s" : std::to_string(ms) + "ms";
}

template <class Name>
void addNames(RuleText &text, std::string key, const std::vector<Name> &names)
{
    std::string list;
    for (const Name &name : names) {
        list += (list.empty() ? "" : ",") + name.str();
    }
    if (!list.empty()) {
        text.fields.push_back({std::move(key), std::move(list)});
    }
}

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

RuleText describe(const ZoneRule &rule)
{
    return {"zone",
            rule.name.str(),
            {{"state", rule.state == ZoneState::Serving ? "serving" : "drained"},
             {"weight", formatNumber(rule.weight)}},
            rule.requestedBy};
}

RuleText describe(const EndpointRule &rule)
{
    const bool isEngine = rule.kind == EndpointKind::Engine;
    RuleText text{"endpoint",
                  rule.id.str(),
                  {{"zone", rule.zone.str()},
                   {"address", rule.address},
                   {"kind", isEngine ? "engine" : "service"}},
                  rule.requestedBy};
    if (isEngine) {
        text.fields.push_back({"memory", formatBytes(rule.memoryBytes)});
        text.fields.push_back(
            {"fencing", rule.fencing == FencingMode::Checked ? "checked" : "ignored"});
    } else {
        text.fields.push_back({"pool", rule.pool});
    }
    text.fields.push_back({"slots", std::to_string(rule.slots)});
    text.fields.push_back({"fresh-slots", std::to_string(rule.freshSlots)});
    text.fields.push_back({"state", rule.state == EndpointState::Serving ? "serving" : "leaving"});
    return text;
}

RuleText describe(const ModelRule &rule)
{
    const bool isModel = rule.kind == ModelKind::Model;
    RuleText text{isModel ? "model" : "adapter", rule.name.str(), {}, rule.requestedBy};
    if (!isModel) {
        text.fields.push_back({"base", rule.base.str()});
    }
    text.fields.push_back({"version", rule.version});
    text.fields.push_back({"memory", formatBytes(rule.memoryBytes)});
    if (isModel) {
        text.fields.push_back({"kv", formatBytes(rule.kvBytes)});
    }
    addNames(text, "zones", rule.zones);
    text.fields.push_back({"min-replicas", std::to_string(rule.minReplicas)});
    text.fields.push_back({"max-replicas", std::to_string(rule.maxReplicas)});
    return text;
}

RuleText describe(const WorkspaceRule &rule)
{
    return {"workspace",
            rule.name.str(),
            {{"rate", formatNumber(rule.rate)},
             {"burst", formatNumber(rule.burst)},
             {"share", formatNumber(rule.share)},
             {"outage-keys", rule.outageKeys == OutageKeys::Serve ? "serve" : "refuse"}},
            rule.requestedBy};
}

RuleText describe(const KeyRule &rule)
{
    return {"key",
            rule.workspace.str(),
            {{"digest", "sha256:" + rule.digest.str()},
             {"state", rule.state == KeyState::Active ? "active" : "withdrawn"}},
            rule.requestedBy};
}

RuleText describe(const RouteRule &rule)
{
    const bool isModel = rule.kind == RouteKind::Model;
    RuleText text{"route",
                  rule.name.str(),
                  {{"kind", isModel ? "model" : "service"}, {"path", rule.path}},
                  rule.requestedBy};
    if (!isModel) {
        text.fields.push_back({"pool", rule.pool});
        text.fields.push_back({"cost", formatNumber(rule.cost)});
    }
    text.fields.push_back({"open", yesNo(rule.open)});
    text.fields.push_back({"idempotent", yesNo(rule.idempotent)});
    text.fields.push_back({"deadline", formatDuration(rule.deadline)});
    addNames(text, "workspaces", rule.workspaces);
    return text;
}

template <class Rule>
void describeAll(gsl::span<const Rule> rules, std::vector<RuleText> &texts)
{
    for (const Rule &rule : rules) {
        texts.push_back(describe(rule));
    }
}

/// The identity by which a rule is matched between two versions. Models and adapters share one
/// namespace, and a key is identified by its digest, whichever workspace it belongs to.
std::string identityOf(const RuleText &rule)
{
    if (rule.kind == "key") {
        return "key " + rule.fields.front().value;
    }
    return (rule.kind == "adapter" ? "model" : rule.kind) + " " + rule.name;
}

std::vector<FieldChange> compareFields(const RuleText &from, const RuleText &to)
{
    std::vector<FieldChange> changes;
    if (from.kind != to.kind) {
        changes.push_back({"rule", from.kind, to.kind});
    }
    if (from.name != to.name) {
        changes.push_back({"name", from.name, to.name});
    }
    std::unordered_map<std::string, std::string> newValues;
    for (const RuleField &field : to.fields) {
        newValues.emplace(field.key, field.value);
    }
    for (const RuleField &field : from.fields) {
        const auto it = newValues.find(field.key);
        const std::string value = it != newValues.end() ? it->second : std::string();
        if (value != field.value) {
            changes.push_back({field.key, field.value, value});
        }
        newValues.erase(field.key);
    }
    for (const RuleField &field : to.fields) {
        if (newValues.count(field.key) > 0) {
            changes.push_back({field.key, {}, field.value});
        }
    }
    if (from.requestedBy != to.requestedBy) {
        changes.push_back({std::string(RequesterKey), from.requestedBy, to.requestedBy});
    }
    return changes;
}

} // namespace

std::vector<RuleText> describeRules(const Configuration &configuration)
{
    std::vector<RuleText> texts;
    describeAll(configuration.zones(), texts);
    describeAll(configuration.endpoints(), texts);
    describeAll(configuration.models(), texts);
    describeAll(configuration.workspaces(), texts);
    describeAll(configuration.keys(), texts);
    describeAll(configuration.routes(), texts);
    return texts;
}

std::string formatRule(const RuleText &rule)
{
    std::string line = rule.kind + " " + rule.name;
    for (const RuleField &field : rule.fields) {
        line += " " + field.key + "=" + field.value;
    }
    return line + " # " + std::string(RequesterKey) + ": " + rule.requestedBy;
}

std::vector<RuleChange> diffRules(const Configuration &from, const Configuration &to)
{
    const std::vector<RuleText> before = describeRules(from);
    const std::vector<RuleText> after = describeRules(to);
    std::unordered_map<std::string, const RuleText *> added;
    for (const RuleText &rule : after) {
        added.emplace(identityOf(rule), &rule);
    }
    std::vector<RuleChange> changes;
    for (const RuleText &rule : before) {
        const auto it = added.find(identityOf(rule));
        if (it == added.end()) {
            changes.push_back({ChangeKind::Removed, rule, {}});
            continue;
        }
        std::vector<FieldChange> fields = compareFields(rule, *it->second);
        if (!fields.empty()) {
            changes.push_back({ChangeKind::Changed, *it->second, std::move(fields)});
        }
        added.erase(it);
    }
    for (const RuleText &rule : after) {
        if (added.count(identityOf(rule)) > 0) {
            changes.push_back({ChangeKind::Added, rule, {}});
        }
    }
    return changes;
}

std::string_view changeKindName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    assert(false && "unknown change kind");
    return "changed";
}

} // namespace marigoldspool
