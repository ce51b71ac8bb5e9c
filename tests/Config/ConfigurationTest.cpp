#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Config/RuleParser.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

std::shared_ptr<const Configuration> parse(std::string_view text)
{
    return parseRules("rules", text).configuration;
}

} // namespace

TEST_CASE("a path matches the most specific route, never one that is only a string prefix")
{
    const auto configuration =
        parse("route all kind=model path=/ # asked for by: a\n"
              "route chat kind=model path=/v1/chat # asked for by: a\n"
              "route completions kind=model path=/v1/chat/completions/ # asked for by: a\n");
    REQUIRE(configuration);
    const auto nameAt = [&](std::string_view path) {
        const RouteRule *route = configuration->findRouteByPath(path);
        return route != nullptr ? route->name.str() : "";
    };
    CHECK(nameAt("/v1/chat") == "chat");
    CHECK(nameAt("/v1/chatter") == "all");
    CHECK(nameAt("/v1/chat/x") == "chat");
    CHECK(nameAt("/v1/chat/completions/7") == "completions");
    CHECK(nameAt("") == "");
}

TEST_CASE("a model never counts as runnable in a drained, unknown or unlisted zone")
{
    const auto configuration = parse("zone a # asked for by: x\n"
                                     "zone b state=drained # asked for by: x\n"
                                     "zone c # asked for by: x\n"
                                     "model m version=1 memory=1GiB zones=a,b # asked for by: x\n"
                                     "model n version=1 memory=1GiB # asked for by: x\n");
    REQUIRE(configuration);
    const ModelRule &listed = *configuration->findModel("m");
    const ModelRule &anywhere = *configuration->findModel("n");
    CHECK(configuration->canRunIn(listed, ZoneName("a")));
    CHECK_FALSE(configuration->canRunIn(listed, ZoneName("b")));
    CHECK_FALSE(configuration->canRunIn(listed, ZoneName("c")));
    CHECK(configuration->canRunIn(anywhere, ZoneName("c")));
    CHECK_FALSE(configuration->canRunIn(anywhere, ZoneName("d")));
    CHECK(configuration->findModel("o") == nullptr);
}
