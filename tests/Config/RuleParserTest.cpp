#include "marigoldspool/Config/RuleParser.h"

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

const std::string SampleDigest(64, 'a');

// A file with one rule of each kind and no finding.
std::string validRules()
{
    return "# The rules of the test.\n"
           "\n"
           "zone a state=serving weight=1.5 # asked for by: operations, ticket 12\n"
           "zone b # asked for by: operations\n"
           "endpoint eng-1 zone=a address=127.0.0.1:9001 kind=engine memory=80GiB slots=16 "
           "fresh-slots=2 fencing=checked # asked for by: operations\n"
           "endpoint app-1 zone=a address=[::1]:9101 kind=service pool=bookings state=leaving "
           "# asked for by: drivers' team\n"
           "model m version=3 memory=14GiB kv=2GiB zones=a,b max-replicas=3 # asked for by: x\n"
           "adapter s base=m version=1 memory=200MiB # asked for by: x\n"
           "workspace w rate=2000 burst=8000 share=2 outage-keys=refuse # asked for by: x\n"
           "key w digest=sha256:"
        + SampleDigest
        + " # asked for by: w's admin\n"
          "route chat kind=model path=/v1/chat/completions idempotent=yes # asked for by: x\n"
          "route pickups kind=service pool=bookings path=/pickups deadline=250ms cost=3 "
          "workspaces=w # asked for by: \xc3\xa9quipe\r\n";
}

const RuleProblem *findProblem(const ParseResult &result, std::string_view cause)
{
    const auto it = std::find_if(result.problems.begin(), result.problems.end(),
                                 [&](const RuleProblem &problem) {
                                     return problem.cause.find(cause) != std::string::npos;
                                 });
    return it != result.problems.end() ? &*it : nullptr;
}

std::string allProblems(const ParseResult &result)
{
    std::string text;
    for (const RuleProblem &problem : result.problems) {
        text += formatProblem(problem) + "\n";
    }
    return text;
}

struct BadRule {
    std::string line;
    std::string cause;
};

std::string withAsker(const std::string &rule)
{
    return rule + " # asked for by: tester\n";
}

} // namespace

TEST_CASE("a valid file is accepted without findings and every value arrives")
{
    const ParseResult result = parseRules("rules", validRules());
    INFO(allProblems(result));
    REQUIRE(result.configuration);
    CHECK(result.problems.empty());
    const Configuration &configuration = *result.configuration;
    CHECK(configuration.findZone("a")->weight == 1.5);
    CHECK(configuration.findZone("a")->requestedBy == "operations, ticket 12");
    const EndpointRule &engine = *configuration.findEndpoint("eng-1");
    CHECK(engine.memoryBytes == (std::uint64_t{80} << 30));
    CHECK(engine.slots == 16);
    CHECK(engine.freshSlots == 2);
    CHECK(engine.fencing == FencingMode::Checked);
    const EndpointRule &service = *configuration.findEndpoint("app-1");
    CHECK(service.pool == "bookings");
    CHECK(service.state == EndpointState::Leaving);
    CHECK(configuration.findModel("m")->zones.size() == 2);
    CHECK(configuration.findModel("s")->base == ModelName("m"));
    CHECK(configuration.findWorkspace("w")->outageKeys == OutageKeys::Refuse);
    CHECK(configuration.findKey(SampleDigest)->state == KeyState::Active);
    const RouteRule &route = *configuration.findRouteByPath("/pickups/7");
    CHECK(route.deadline == std::chrono::milliseconds(250));
    CHECK(route.cost == 3);
    CHECK_FALSE(route.idempotent);
    CHECK(route.requestedBy == "\xc3\xa9quipe");
}

TEST_CASE("a faulty rule is refused with its line, cause and remedy")
{
    const std::string hex = "digest=sha256:" + std::string(64, 'b');
    const std::string engine = "endpoint e zone=a address=127.0.0.1:1 memory=1GiB";
    const BadRule cases[] = {
        {"zone z\n", "does not say who asked"},
        {"zone z # asked by: me\n", "does not say who asked"},
        {"zone z # asked for by:  \n", "does not say who asked"},
        {withAsker("zone"), "has no name"},
        {withAsker("zone state=serving"), "has no name"},
        {withAsker("zone -z"), "is no name"},
        {withAsker("zone z/z"), "is no name"},
        {withAsker("zone " + std::string(129, 'z')), "is no name"},
        {withAsker("region z"), "there is no rule"},
        {withAsker("zone z weigth=2"), "has no key \"weigth\""},
        {withAsker("zone z weight"), "not of the form key=value"},
        {withAsker("zone z weight=1 weight=2"), "given twice"},
        {withAsker("zone z weight=nan"), "\"weight\" has the value \"nan\""},
        {withAsker("zone z weight=-1"), "\"weight\" has the value"},
        {withAsker("zone z weight=1e999"), "\"weight\" has the value"},
        {withAsker("zone z state=closed"), "\"state\" has the value \"closed\""},
        {withAsker("zone a"), "zone \"a\" is already in line 3"},
        {withAsker(engine + " zone=q"), "given twice"},
        {withAsker("endpoint e zone=q address=127.0.0.1:1 memory=1GiB"), "\"q\" has no rule"},
        {withAsker("endpoint e address=127.0.0.1:1 memory=1GiB"), "\"zone\" is missing"},
        {withAsker("endpoint e zone=a address=example.org:1 memory=1GiB"), "\"address\""},
        {withAsker("endpoint e zone=a address=127.0.0.1:0 memory=1GiB"), "\"address\""},
        {withAsker("endpoint e zone=a address=127.0.0.1:9001 memory=1GiB"),
         "endpoint address \"127.0.0.1:9001\" is already"},
        {withAsker("endpoint e zone=a address=127.0.0.1:1"), "\"memory\" is missing"},
        {withAsker("endpoint e zone=a address=127.0.0.1:1 memory=80GB"), "\"memory\" has"},
        {withAsker("endpoint e zone=a address=127.0.0.1:1 memory=80"), "\"memory\" has"},
        {withAsker("endpoint e zone=a address=127.0.0.1:1 memory=0B"), "\"memory\" has"},
        {withAsker("endpoint e zone=a address=127.0.0.1:1 memory=17179869185GiB"),
         "\"memory\" has"},
        {withAsker(engine + " slots=0"), "\"slots\" has"},
        {withAsker(engine + " slots=1.5"), "\"slots\" has"},
        {withAsker(engine + " slots=2 fresh-slots=3"), "\"fresh-slots\" has"},
        {withAsker(engine + " pool=p"), "no key \"pool\""},
        {withAsker("endpoint e kind=service zone=a address=127.0.0.1:1"), "\"pool\" is missing"},
        {withAsker("model n memory=1GiB"), "\"version\" is missing"},
        {withAsker("model n version=1 memory=1GiB base=m"), "no key \"base\""},
        {
            withAsker("model n version=1 memory=1GiB zones=a,a"),
            "list each name once",
        },
        {withAsker("model n version=1 memory=1GiB zones=q"), "zone \"q\" has no rule"},
        {withAsker("model n version=1 memory=1GiB min-replicas=4 max-replicas=3"),
         "min-replicas is 4"},
        {withAsker("adapter n version=1 memory=1MiB"), "\"base\" is missing"},
        {withAsker("adapter n version=1 memory=1MiB base=q"), "base \"q\" has no rule"},
        {withAsker("adapter n version=1 memory=1MiB base=s"), "is itself an adapter"},
        {withAsker("adapter m version=1 memory=1MiB base=m"), "model or adapter \"m\" is already"},
        {withAsker("workspace v burst=1"), "\"rate\" is missing"},
        {withAsker("workspace v rate=1"), "\"burst\" is missing"},
        {withAsker("workspace v rate=1/s burst=1"), "\"rate\" has the value"},
        {withAsker("workspace v rate=1 burst=0"), "admits no request"},
        {withAsker("workspace v rate=1 burst=1 share=0"), "\"share\" has the value"},
        {withAsker("key w digest=" + std::string(64, 'b')), "no SHA-256 digest"},
        {withAsker("key w digest=sha256:" + std::string(64, 'B')), "no SHA-256 digest"},
        {withAsker("key q " + hex), "workspace \"q\" has no rule"},
        {withAsker("key w state=withdrawn digest=sha256:" + SampleDigest), "key digest"},
        {withAsker("route r path=/r"), "\"kind\" is missing"},
        {withAsker("route r kind=model path=r"), "\"path\" has the value"},
        {withAsker("route r kind=model path=/r?x"), "\"path\" has the value"},
        {withAsker("route r kind=model path=/r/../x"), "\"path\" has the value"},
        {withAsker("route r kind=model path=/metrics"), "\"path\" has the value"},
        {withAsker("route r kind=model path=/pickups/"), "path \"/pickups\" is already"},
        {withAsker("route r kind=model path=/r cost=1"), "no key \"cost\""},
        {withAsker("route r kind=service path=/r"), "\"pool\" is missing"},
        {withAsker("route r kind=service path=/r pool=q"), "no endpoint is in pool \"q\""},
        {withAsker("route r kind=model path=/r deadline=2"), "\"deadline\" has the value"},
        {withAsker("route r kind=model path=/r deadline=2h"), "\"deadline\" has the value"},
        {withAsker("route r kind=model path=/r workspaces=q"), "workspace \"q\" has no rule"},
        {withAsker("route r kind=model path=/r workspaces=w open=yes"), "open to all and also"},
        {"zone z # asked for by: \xff\n", "not UTF-8"},
        {std::string("zone z\0 # asked for by: x\n", 26), "control character"},
        {withAsker("zone z weight=1" + std::string(9000, ' ')), "longer than"},
    };
    const int lastLine = 12;
    for (const BadRule &bad : cases) {
        CAPTURE(bad.line);
        const ParseResult result = parseRules("rules", validRules() + bad.line);
        INFO(allProblems(result));
        CHECK_FALSE(result.configuration);
        const RuleProblem *problem = findProblem(result, bad.cause);
        if (bad.cause == "list each name once") {
            problem = result.problems.empty() ? nullptr : &result.problems[0];
            CHECK((problem != nullptr && problem->remedy == bad.cause));
        }
        REQUIRE(problem != nullptr);
        CHECK(problem->file == "rules");
        CHECK(problem->line == lastLine + 1);
        CHECK(problem->severity == Severity::Error);
        CHECK_FALSE(problem->remedy.empty());
    }
}

TEST_CASE("all errors of a file are reported in one pass, in line order")
{
    const ParseResult result = parseRules("f",
                                          "zone a weight=x color=red\n"
                                          "endpoint e zone=q address=1 memory=5\n"
                                          "key w digest=secret # asked for by: x\n");
    INFO(allProblems(result));
    CHECK_FALSE(result.configuration);
    CHECK(result.problems.size() == 9);
    CHECK(std::is_sorted(result.problems.begin(), result.problems.end(),
                         [](const RuleProblem &a, const RuleProblem &b) {
                             return a.line < b.line;
                         }));
    // A key pasted instead of its digest must not reach logs or screens.
    CHECK(allProblems(result).find("secret") == std::string::npos);
    CHECK(formatProblem(result.problems[0]).substr(0, 11) == "f:1: error:");
}

TEST_CASE("a rule that can have no effect is accepted with a warning")
{
    const BadRule cases[] = {
        {withAsker("workspace v rate=0 burst=5"), "a rate of zero"},
        {withAsker("workspace v rate=1 burst=5"), "no active key"},
        {withAsker("zone c weight=0"), "weight of zero"},
        {withAsker("endpoint e zone=a address=127.0.0.1:1 memory=1GiB"), "fits this engine"},
        {withAsker("endpoint e zone=a address=127.0.0.1:1 kind=service pool=q"), "no route uses"},
        {withAsker("model n version=1 memory=79GiB kv=2GiB"), "fits no engine"},
        {withAsker("model n version=1 memory=1GiB zones=b"), "fits no engine"},
        {withAsker("adapter n base=m version=1 memory=65GiB"), "fits no engine"},
        {withAsker("model n version=1 memory=1GiB min-replicas=2 max-replicas=2"),
         "fits only 1 engines"},
        {withAsker("route r kind=model path=/r open=yes"), "the route is open"},
        {withAsker("route r kind=service path=/r pool=bookings cost=9000"), "one call costs 9000"},
    };
    for (const BadRule &odd : cases) {
        CAPTURE(odd.line);
        const ParseResult result = parseRules("rules", validRules() + odd.line);
        INFO(allProblems(result));
        CHECK(result.configuration);
        const RuleProblem *problem = findProblem(result, odd.cause);
        REQUIRE(problem != nullptr);
        CHECK(problem->severity == Severity::Warning);
        CHECK_FALSE(problem->remedy.empty());
    }
}

TEST_CASE("draining the last serving zone is accepted with warnings")
{
    std::string rules = validRules();
    rules.replace(rules.find("state=serving"), 13, "state=drained");
    CHECK(findProblem(parseRules("rules", rules), "all zones are drained") == nullptr);
    CHECK(findProblem(parseRules("rules", rules), "fits an engine are drained") != nullptr);
    rules.replace(rules.find("zone b"), 6, "zone b state=drained");
    const ParseResult result = parseRules("rules", rules);
    CHECK(result.configuration);
    CHECK(findProblem(result, "all zones are drained") != nullptr);
}

TEST_CASE("an empty file is accepted with a warning, a huge one is refused")
{
    CHECK(parseRules("rules", "").configuration);
    CHECK(findProblem(parseRules("rules", ""), "there is no zone") != nullptr);
    const ParseResult huge = parseRules("rules", std::string(MaxRuleTextBytes + 1, '\n'));
    CHECK_FALSE(huge.configuration);
    CHECK(huge.problems.size() == 1);
}
