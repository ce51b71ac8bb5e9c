#include "marigoldspool/Config/ConfigDiff.h"
#include "marigoldspool/Config/RuleParser.h"

#include <algorithm>
#include <string>
#include <tuple>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldspool;

namespace {

template <class T>
T pick(std::initializer_list<T> values)
{
    return *rc::gen::elementOf(std::vector<T>(values));
}

int numberUpTo(int most)
{
    return *rc::gen::inRange(0, most + 1);
}

double anyNumber()
{
    // Thirds have no short decimal form, so the shortest exact text is exercised.
    return numberUpTo(100'000) / 3.0;
}

std::uint64_t anyBytes()
{
    return *rc::gen::inRange<std::uint64_t>(1, 1 << 20) << pick({0, 10, 20, 30});
}

std::string anyAsker()
{
    std::string name =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ019 ,.'#=/\"")));
    return "x" + name + "x";
}

template <class Name>
std::vector<Name> anySubset(const std::vector<std::string> &names)
{
    std::vector<Name> subset;
    for (const std::string &name : names) {
        if (*rc::gen::arbitrary<bool>()) {
            subset.emplace_back(name);
        }
    }
    return subset;
}

std::vector<std::string> makeNames(std::string_view prefix, int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        names.push_back(std::string(prefix) + std::to_string(i));
    }
    return names;
}

EndpointRule anyEndpoint(int n, const std::vector<std::string> &zones)
{
    EndpointRule rule;
    rule.id = EndpointId("e" + std::to_string(n));
    rule.zone = ZoneName(*rc::gen::elementOf(zones));
    rule.address = "127.0.0.1:" + std::to_string(1000 + n);
    rule.kind = pick({EndpointKind::Engine, EndpointKind::Service});
    rule.slots = 1 + numberUpTo(50);
    rule.freshSlots = 1 + numberUpTo(rule.slots - 1);
    rule.state = pick({EndpointState::Serving, EndpointState::Leaving});
    if (rule.kind == EndpointKind::Engine) {
        rule.memoryBytes = anyBytes();
        rule.fencing = pick({FencingMode::Checked, FencingMode::Ignored});
    } else {
        rule.pool = "pool";
    }
    rule.requestedBy = anyAsker();
    return rule;
}

ModelRule anyModel(int n, const std::vector<std::string> &zones)
{
    ModelRule rule;
    rule.name = ModelName("m" + std::to_string(n));
    rule.version = std::to_string(numberUpTo(9));
    rule.memoryBytes = anyBytes();
    if (n > 0 && *rc::gen::arbitrary<bool>()) {
        rule.kind = ModelKind::Adapter;
        rule.base = ModelName("m0");
    } else {
        rule.kvBytes = *rc::gen::arbitrary<bool>() ? anyBytes() : 0;
    }
    // The base of all adapters may run everywhere.
    rule.zones = n > 0 ? anySubset<ZoneName>(zones) : std::vector<ZoneName>();
    rule.minReplicas = numberUpTo(3);
    rule.maxReplicas = std::max(1, rule.minReplicas + numberUpTo(3));
    rule.requestedBy = anyAsker();
    return rule;
}

RouteRule anyRoute(int n, bool hasPool, const std::vector<std::string> &workspaces)
{
    RouteRule rule;
    rule.name = RouteName("r" + std::to_string(n));
    rule.path = "/p/" + std::to_string(n);
    rule.open = *rc::gen::arbitrary<bool>();
    rule.idempotent = *rc::gen::arbitrary<bool>();
    rule.deadline = std::chrono::milliseconds(10 + numberUpTo(3'000'000));
    if (hasPool && *rc::gen::arbitrary<bool>()) {
        rule.kind = RouteKind::Service;
        rule.pool = "pool";
        rule.cost = anyNumber();
    }
    if (!rule.open) {
        rule.workspaces = anySubset<WorkspaceName>(workspaces);
    }
    rule.requestedBy = anyAsker();
    return rule;
}

RuleSet anyRules()
{
    RuleSet rules;
    const std::vector<std::string> zones = makeNames("z", 1 + numberUpTo(3));
    const std::vector<std::string> workspaces = makeNames("w", numberUpTo(3));
    for (const std::string &zone : zones) {
        rules.zones.push_back({ZoneName(zone), pick({ZoneState::Serving, ZoneState::Drained}),
                               numberUpTo(3000) / 3.0, anyAsker()});
    }
    bool hasPool = false;
    for (int n = numberUpTo(4); n > 0; --n) {
        rules.endpoints.push_back(anyEndpoint(n, zones));
        hasPool = hasPool || !rules.endpoints.back().pool.empty();
    }
    const int modelCount = numberUpTo(4);
    for (int n = 0; n < modelCount; ++n) {
        rules.models.push_back(anyModel(n, zones));
    }
    for (const std::string &workspace : workspaces) {
        rules.workspaces.push_back({WorkspaceName(workspace), anyNumber(), 1 + anyNumber(),
                                    0.5 + numberUpTo(100) / 7.0,
                                    pick({OutageKeys::Serve, OutageKeys::Refuse}), anyAsker()});
        const std::string digits(63, pick({'0', 'a', 'f'}));
        rules.keys.push_back({WorkspaceName(workspace), KeyDigest(digits + workspace[1]),
                              pick({KeyState::Active, KeyState::Withdrawn}), anyAsker()});
    }
    for (int n = numberUpTo(4); n > 0; --n) {
        rules.routes.push_back(anyRoute(n, hasPool, workspaces));
    }
    return rules;
}

auto fieldsOf(const ZoneRule &r)
{
    return std::tie(r.name, r.state, r.weight, r.requestedBy);
}
auto fieldsOf(const EndpointRule &r)
{
    return std::tie(r.id, r.zone, r.address, r.kind, r.memoryBytes, r.slots, r.freshSlots,
                    r.fencing, r.pool, r.state, r.requestedBy);
}
auto fieldsOf(const ModelRule &r)
{
    return std::tie(r.name, r.version, r.kind, r.base, r.memoryBytes, r.kvBytes, r.zones,
                    r.minReplicas, r.maxReplicas, r.requestedBy);
}
auto fieldsOf(const WorkspaceRule &r)
{
    return std::tie(r.name, r.rate, r.burst, r.share, r.outageKeys, r.requestedBy);
}
auto fieldsOf(const KeyRule &r)
{
    return std::tie(r.workspace, r.digest, r.state, r.requestedBy);
}
auto fieldsOf(const RouteRule &r)
{
    return std::tie(r.name, r.kind, r.path, r.pool, r.open, r.idempotent, r.deadline, r.cost,
                    r.workspaces, r.requestedBy);
}

template <class Rule>
bool areSame(gsl::span<const Rule> a, gsl::span<const Rule> b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const Rule &x, const Rule &y) {
        return fieldsOf(x) == fieldsOf(y);
    });
}

std::string formatRules(const Configuration &configuration)
{
    std::string text;
    for (const RuleText &rule : describeRules(configuration)) {
        text += formatRule(rule) + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("a formatted rule set parses back to the same rules")
{
    // Guards against a key that is written and read differently, or left out of describeRules().
    CHECK(rc::check([] {
        const Configuration before(anyRules());
        const ParseResult result = parseRules("rules", formatRules(before));
        for (const RuleProblem &problem : result.problems) {
            if (problem.severity == Severity::Error) {
                RC_FAIL(formatProblem(problem));
            }
        }
        const Configuration &after = *result.configuration;
        RC_ASSERT(areSame(before.zones(), after.zones()));
        RC_ASSERT(areSame(before.endpoints(), after.endpoints()));
        RC_ASSERT(areSame(before.models(), after.models()));
        RC_ASSERT(areSame(before.workspaces(), after.workspaces()));
        RC_ASSERT(areSame(before.keys(), after.keys()));
        RC_ASSERT(areSame(before.routes(), after.routes()));
        RC_ASSERT(diffRules(before, after).empty());
    }));
}

TEST_CASE("arbitrary bytes never crash the parser")
{
    CHECK(rc::check([] {
        const std::string text = *rc::gen::arbitrary<std::string>();
        const ParseResult result = parseRules("rules", text);
        for (const RuleProblem &problem : result.problems) {
            RC_ASSERT(!problem.cause.empty());
            RC_ASSERT(!problem.remedy.empty());
        }
    }));
}

TEST_CASE("a damaged rule file never crashes the parser and is never accepted with an error")
{
    CHECK(rc::check([] {
        std::string text = formatRules(Configuration(anyRules()));
        const int damages = 1 + numberUpTo(5);
        for (int i = 0; i < damages && !text.empty(); ++i) {
            const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
            switch (numberUpTo(2)) {
            case 0:
                text[at] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                text.erase(at, 1 + static_cast<std::size_t>(numberUpTo(20)));
                break;
            default:
                text.insert(at, text.substr(0, at));
            }
        }
        const ParseResult result = parseRules("rules", text);
        const bool hasError = std::any_of(result.problems.begin(), result.problems.end(),
                                          [](const RuleProblem &problem) {
                                              return problem.severity == Severity::Error;
                                          });
        RC_ASSERT(hasError == (result.configuration == nullptr));
    }));
}
