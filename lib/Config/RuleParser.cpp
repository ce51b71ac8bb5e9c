#include "marigoldspool/Config/RuleParser.h"

#include "RuleChecks.h"
#include "RuleLine.h"
#include "marigoldspool/Support/Settings.h"

#include <algorithm>

namespace marigoldspool {

namespace {

constexpr int MaxSlots = 100'000;
constexpr int MaxReplicas = 10'000;
constexpr double MaxWeight = 1000;
constexpr double MaxTokens = 1e12;
constexpr Duration MinDeadline = std::chrono::milliseconds(10);
constexpr Duration MaxDeadline = std::chrono::hours(1);
constexpr std::string_view DigestPrefix = "sha256:";
constexpr std::size_t DigestDigits = 64;

template <class Name>
std::vector<Name> takeNameList(RuleLine &line, std::string_view key)
{
    std::vector<Name> names;
    for (std::string &name : line.takeNames(key)) {
        names.emplace_back(std::move(name));
    }
    return names;
}

bool takeYesNo(RuleLine &line, std::string_view key, bool defaultValue)
{
    return line.takeChoice(key, defaultValue, {{"yes", true}, {"no", false}});
}

ZoneRule readZone(RuleLine &line)
{
    ZoneRule rule;
    rule.name = ZoneName(line.name());
    rule.state =
        line.takeChoice("state", ZoneState::Serving,
                        {{"serving", ZoneState::Serving}, {"drained", ZoneState::Drained}});
    rule.weight = line.takeNumber("weight", 1, 0, MaxWeight);
    rule.requestedBy = line.requestedBy();
    return rule;
}

std::string takeEndpointAddress(RuleLine &line)
{
    std::string address = line.takeRequired("address");
    if (!line.has("address")) {
        return address;
    }
    const Expected<std::string> checked = parseAddress(address);
    if (!checked) {
        line.reportBadValue("address", address, checked.error().remedy);
    } else if (address.substr(address.rfind(':') + 1).find_first_not_of('0') == std::string::npos) {
        line.reportBadValue("address", address, "write the port at which the endpoint listens");
    }
    return address;
}

EndpointRule readEndpoint(RuleLine &line)
{
    EndpointRule rule;
    rule.id = EndpointId(line.name());
    rule.zone = ZoneName(line.takeName("zone", true));
    rule.address = takeEndpointAddress(line);
    rule.kind =
        line.takeChoice("kind", EndpointKind::Engine,
                        {{"engine", EndpointKind::Engine}, {"service", EndpointKind::Service}});
    rule.slots = line.takeCount("slots", 1, 1, MaxSlots);
    rule.freshSlots = line.takeCount("fresh-slots", 1, 1, rule.slots);
    rule.state =
        line.takeChoice("state", EndpointState::Serving,
                        {{"serving", EndpointState::Serving}, {"leaving", EndpointState::Leaving}});
    if (rule.kind == EndpointKind::Engine) {
        rule.memoryBytes = line.takeBytes("memory", 1, true);
        rule.fencing =
            line.takeChoice("fencing", FencingMode::Ignored,
                            {{"checked", FencingMode::Checked}, {"ignored", FencingMode::Ignored}});
    } else {
        rule.pool = line.takeName("pool", true);
    }
    rule.requestedBy = line.requestedBy();
    return rule;
}

ModelRule readModel(RuleLine &line, ModelKind kind)
{
    ModelRule rule;
    rule.name = ModelName(line.name());
    rule.kind = kind;
    rule.version = line.takeName("version", true);
    rule.memoryBytes = line.takeBytes("memory", 1, true);
    if (kind == ModelKind::Adapter) {
        rule.base = ModelName(line.takeName("base", true));
    } else {
        rule.kvBytes = line.takeBytes("kv", 0, false);
    }
    rule.zones = takeNameList<ZoneName>(line, "zones");
    rule.minReplicas = line.takeCount("min-replicas", 0, 0, MaxReplicas);
    rule.maxReplicas = line.takeCount("max-replicas", 1, 1, MaxReplicas);
    if (rule.minReplicas > rule.maxReplicas) {
        line.error("min-replicas is " + std::to_string(rule.minReplicas) + " but max-replicas is "
                       + std::to_string(rule.maxReplicas),
                   "raise max-replicas or lower min-replicas");
    }
    rule.requestedBy = line.requestedBy();
    return rule;
}

WorkspaceRule readWorkspace(RuleLine &line)
{
    WorkspaceRule rule;
    rule.name = WorkspaceName(line.name());
    for (const std::string_view key : {"rate", "burst"}) {
        if (!line.has(key)) {
            line.takeRequired(key);
        }
    }
    rule.rate = line.takeNumber("rate", 0, 0, MaxTokens);
    rule.burst = line.takeNumber("burst", 0, 0, MaxTokens);
    rule.share = line.takeNumber("share", 1, 0.001, MaxWeight);
    rule.outageKeys =
        line.takeChoice("outage-keys", OutageKeys::Serve,
                        {{"serve", OutageKeys::Serve}, {"refuse", OutageKeys::Refuse}});
    if (rule.rate > 0 && rule.burst < 1 && line.has("burst")) {
        line.error("a rate of " + formatNumber(rule.rate) + " with a burst of "
                       + formatNumber(rule.burst) + " admits no request",
                   "set burst to the cost of the largest request, at least 1, or set rate=0");
    }
    rule.requestedBy = line.requestedBy();
    return rule;
}

KeyRule readKey(RuleLine &line)
{
    KeyRule rule;
    rule.workspace = WorkspaceName(line.name());
    const std::string text = line.takeRequired("digest");
    const std::string digits = text.substr(std::min(DigestPrefix.size(), text.size()));
    if (line.has("digest")
        && (text.compare(0, DigestPrefix.size(), DigestPrefix) != 0 || digits.size() != DigestDigits
            || digits.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        // The value is not shown: it may be a key that was pasted by mistake.
        line.error("key \"digest\" is no SHA-256 digest",
                   "write sha256: and 64 lower-case hexadecimal digits; "
                   "marigoldspoolctl key new makes a key");
    }
    rule.digest = KeyDigest(digits);
    rule.state =
        line.takeChoice("state", KeyState::Active,
                        {{"active", KeyState::Active}, {"withdrawn", KeyState::Withdrawn}});
    rule.requestedBy = line.requestedBy();
    return rule;
}

bool isRoutePath(std::string_view path)
{
    if (path.empty() || path[0] != '/' || path.find("//") != std::string_view::npos
        || path.find("/..") != std::string_view::npos
        || path.find("/./") != std::string_view::npos) {
        return false;
    }
    // '*' and '%' are not allowed: a path is matched literally.
    return std::all_of(path.begin(), path.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || std::string_view("/._~:@!$&+-").find(c) != std::string_view::npos;
    });
}

std::string takePath(RuleLine &line)
{
    static constexpr std::string_view Reserved[] = {"/healthz", "/readyz",  "/metrics",
                                                    "/status",  "/explain", "/v1/models"};
    std::string path = line.takeRequired("path");
    if (!line.has("path")) {
        return path;
    }
    if (!isRoutePath(path)) {
        line.reportBadValue("path", path,
                            "write a path such as /v1/pickups, without query or patterns");
        return path;
    }
    if (path.size() > 1 && path.back() == '/') {
        path.pop_back();
    }
    if (std::find(std::begin(Reserved), std::end(Reserved), path) != std::end(Reserved)) {
        line.reportBadValue("path", path, "choose another path; the instances answer this one");
    }
    return path;
}

RouteRule readRoute(RuleLine &line)
{
    RouteRule rule;
    rule.name = RouteName(line.name());
    if (!line.has("kind")) {
        line.takeRequired("kind");
    }
    rule.kind = line.takeChoice("kind", RouteKind::Model,
                                {{"model", RouteKind::Model}, {"service", RouteKind::Service}});
    rule.path = takePath(line);
    rule.open = takeYesNo(line, "open", false);
    rule.idempotent = takeYesNo(line, "idempotent", false);
    rule.deadline =
        line.takeDuration("deadline", std::chrono::seconds(30), MinDeadline, MaxDeadline);
    if (rule.kind == RouteKind::Service) {
        rule.pool = line.takeName("pool", true);
        rule.cost = line.takeNumber("cost", 1, 0, MaxTokens);
    }
    rule.workspaces = takeNameList<WorkspaceName>(line, "workspaces");
    if (rule.open && !rule.workspaces.empty()) {
        line.error("the route is open to all and also limited to workspaces",
                   "set open=no or remove workspaces");
    }
    rule.requestedBy = line.requestedBy();
    return rule;
}

void readRule(RuleLine &line, NumberedRules &numbered)
{
    RuleSet &rules = numbered.rules;
    const std::string &kind = line.kind();
    if (kind == "zone") {
        rules.zones.push_back(readZone(line));
        numbered.zoneLines.push_back(line.line());
    } else if (kind == "endpoint") {
        rules.endpoints.push_back(readEndpoint(line));
        numbered.endpointLines.push_back(line.line());
    } else if (kind == "model" || kind == "adapter") {
        rules.models.push_back(
            readModel(line, kind == "model" ? ModelKind::Model : ModelKind::Adapter));
        numbered.modelLines.push_back(line.line());
    } else if (kind == "workspace") {
        rules.workspaces.push_back(readWorkspace(line));
        numbered.workspaceLines.push_back(line.line());
    } else if (kind == "key") {
        rules.keys.push_back(readKey(line));
        numbered.keyLines.push_back(line.line());
    } else if (kind == "route") {
        rules.routes.push_back(readRoute(line));
        numbered.routeLines.push_back(line.line());
    } else {
        line.error("there is no rule " + quoted(kind),
                   "begin the line with zone, endpoint, model, adapter, workspace, key or route");
        return;
    }
    line.reportUnknownKeys();
}

} // namespace

ParseResult parseRules(std::string_view fileName, std::string_view text)
{
    ProblemList problems(fileName);
    NumberedRules numbered;
    if (text.size() > MaxRuleTextBytes) {
        problems.error(0, "the file is larger than " + std::to_string(MaxRuleTextBytes) + " bytes",
                       "remove rules that are not needed any more");
        return {nullptr, problems.takeSorted()};
    }
    int lineNumber = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        std::optional<RuleLine> line = RuleLine::read(text.substr(0, end), ++lineNumber, problems);
        if (line) {
            readRule(*line, numbered);
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    checkReferences(numbered, problems);
    if (problems.hasErrors()) {
        return {nullptr, problems.takeSorted()};
    }
    checkPlausibility(numbered, problems);
    return {std::make_shared<const Configuration>(std::move(numbered.rules)),
            problems.takeSorted()};
}

std::string formatProblem(const RuleProblem &problem)
{
    const std::string place =
        problem.line > 0 ? problem.file + ":" + std::to_string(problem.line) : problem.file;
    return place + ": " + (problem.severity == Severity::Error ? "error" : "warning") + ": "
        + problem.cause + "; remedy: " + problem.remedy;
}

} // namespace marigoldspool
