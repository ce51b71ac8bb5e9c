#include "marigoldspool/Serving/RouteTable.h"

#include <map>

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

PrefixRoute makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    PrefixRoute route;
    route.name = RouteName(name);
    route.host = host;
    route.prefix = prefix;
    route.pools = {{PoolName("a"), 1}};
    return route;
}

std::string nameOf(const PrefixRoute *route)
{
    return route == nullptr ? "none" : route->name.str();
}

} // namespace

TEST_CASE("the route is selected by host and longest matching prefix")
{
    auto configuration = std::make_shared<ServingConfiguration>();
    configuration->routes = {makeRoute("short", "one.example", "/x/"),
                             makeRoute("long", "one.example", "/x/y/"),
                             makeRoute("other", "two.example", "/x/y/z/")};
    const RouteTable table(configuration);
    CHECK(nameOf(table.find("one.example", "/x/1")) == "short");
    CHECK(nameOf(table.find("one.example", "/x/y/1?q=/x/")) == "long");
    CHECK(nameOf(table.find("ONE.example:8080", "/x/y/z/1")) == "long");
    CHECK(nameOf(table.find("two.example", "/x/1")) == "none");
    CHECK(nameOf(table.find("three.example", "/x/1")) == "none");
    // The query is not part of the path.
    CHECK(nameOf(table.find("one.example", "/z?/x/")) == "none");
}

TEST_CASE("a key selects its workspace and an unknown key selects none")
{
    auto configuration = std::make_shared<ServingConfiguration>();
    ServedWorkspace workspace;
    workspace.name = WorkspaceName("w");
    workspace.keys = {"k1", "k2"};
    configuration->workspaces = {workspace};
    const RouteTable table(configuration);
    REQUIRE(table.findWorkspace("k2") != nullptr);
    CHECK(table.findWorkspace("k2")->name == WorkspaceName("w"));
    CHECK(table.findWorkspace("k3") == nullptr);
    CHECK(table.findWorkspace("") == nullptr);
}

TEST_CASE("pools share requests by weight, and a request id always selects the same pool")
{
    PrefixRoute route = makeRoute("r", "h", "/");
    route.pools = {{PoolName("big"), 90}, {PoolName("small"), 10}};
    std::map<std::string, int> counts;
    constexpr int Requests = 5000;
    for (int i = 0; i < Requests; ++i) {
        const RequestId id("request-" + std::to_string(i * 7919));
        const PoolName &pool = choosePool(route, id);
        CHECK(pool == choosePool(route, id));
        ++counts[pool.str()];
    }
    CHECK(counts["small"] > Requests * 0.07);
    CHECK(counts["small"] < Requests * 0.13);
}
