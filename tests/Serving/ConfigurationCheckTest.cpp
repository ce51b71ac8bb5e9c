#include "marigoldspool/Serving/ConfigurationCheck.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

ServingConfiguration soundConfiguration()
{
    ServingConfiguration configuration;
    configuration.version = 4;
    PrefixRoute route;
    route.name = RouteName("chat");
    route.host = "api.example";
    route.prefix = "/chat/";
    route.pools = {{PoolName("llm"), 1}};
    configuration.routes = {route};
    EndpointPool pool;
    pool.name = PoolName("llm");
    pool.engine = EngineProfile();
    pool.engine->weightMemoryMb = 80'000;
    pool.engine->models[ModelName("m")].weightsMb = 70'000;
    pool.replicas = ReplicaBounds{1, 4, 8s};
    configuration.pools[pool.name] = pool;
    ServedWorkspace workspace;
    workspace.name = WorkspaceName("w");
    workspace.keys = {"secret"};
    workspace.rate = 5;
    workspace.burst = 10;
    configuration.workspaces = {workspace};
    return configuration;
}

std::string findingsOf(const ServingConfiguration &configuration,
                       const ServingConfiguration *inForce = nullptr)
{
    std::string text;
    for (const ConfigurationFinding &it : checkConfiguration(configuration, inForce)) {
        text += std::string(findingKindName(it.kind)) + ": " + it.entry + ": " + it.text + '\n';
    }
    return text;
}

} // namespace

TEST_CASE("a sound configuration has no findings, each fault has one that names its entry")
{
    ServingConfiguration it = soundConfiguration();
    CHECK(findingsOf(it).empty());
    std::string expected;
    SUBCASE("hosts are compared as requests are")
    {
        it.routes.push_back(it.routes[0]);
        it.routes[1].name = RouteName("second");
        it.routes[1].host = "API.example:443";
        expected = "unreachable: route second: the route chat has the same host and prefix";
    }
    SUBCASE("timeout")
    {
        it.routes[0].timeout = 500ms;
        expected = "contradiction: route chat: the timeout of 500 ms is below";
    }
    SUBCASE("service")
    {
        it.routes[0].pools[0].pool = PoolName("lost");
        expected = "error: route chat: the service lost does not exist\n"
                   "unreachable: service llm: no route uses it";
    }
    SUBCASE("autoscale")
    {
        it.pools[PoolName("llm")].replicas->min = 5;
        expected = "contradiction: service llm: its autoscale minimum of 5 is above";
    }
    SUBCASE("memory")
    {
        it.pools[PoolName("llm")].engine->weightMemoryMb = 69'999.5;
        expected = "contradiction: service llm: the model m has 70000 MB, an engine 69999.5 MB";
    }
    SUBCASE("burst")
    {
        it.workspaces[0].burst = 0.5;
        expected = "contradiction: tenant w: its burst of 0.5 is below the cost of one request, 1";
    }
    SUBCASE("keys")
    {
        it.workspaces.push_back(it.workspaces[0]);
        it.workspaces[1].name = WorkspaceName("v");
        expected = "unreachable: tenant v: the tenant w has one of its keys and comes first";
    }
    const std::string text = findingsOf(it);
    CHECK_MESSAGE(text.substr(0, expected.size()) == expected, text);
    CHECK(text.find("secret") == std::string::npos);
}

TEST_CASE("a version that would not take effect is found, and changes are described without keys")
{
    const ServingConfiguration before = soundConfiguration();
    CHECK(findingsOf(before, &before).find("version 4 is not above") != std::string::npos);
    CHECK(describeChanges(before, before).empty());
    ServingConfiguration after = before;
    after.routes[0].timeout = 20s;
    after.pools[PoolName("llm")].replicas->max = 6;
    after.pools[PoolName("plain")].name = PoolName("plain");
    after.workspaces[0].keys = {"new"};
    const std::vector<std::string> expected{
        "route chat changed: timeout from 30000ms to 20000ms",
        "service llm changed: autoscale from 1 to 4, boot 8000ms to 1 to 6, boot 8000ms",
        "service plain added", "tenant w keys: 1 added, 1 removed"};
    CHECK(describeChanges(before, after) == expected);
}
