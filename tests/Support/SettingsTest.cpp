#include "marigoldspool/Support/Settings.h"

#include <cstdlib>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

std::vector<SettingSpec> exampleSpecs()
{
    return {{"listen", "127.0.0.1:8080", "address for callers"},
            {"instance", "", "name of this instance", true},
            {"term", "5s", "loan term"},
            {"json", "", "print JSON", false, true}};
}

Expected<Settings> parse(std::vector<const char *> arguments)
{
    return Settings::parse("example", exampleSpecs(), arguments);
}

} // namespace

TEST_CASE("a flag overrides its environment variable")
{
    setenv("MARIGOLDSPOOL_INSTANCE", "from-environment", 1);
    CHECK(parse({})->text("instance") == "from-environment");
    CHECK(parse({"--instance=from-flag"})->text("instance") == "from-flag");
    unsetenv("MARIGOLDSPOOL_INSTANCE");
}

TEST_CASE("the error for a missing required setting names the flag and the variable")
{
    const auto settings = parse({});
    REQUIRE(!settings);
    CHECK(settings.error().kind == ErrorKind::InvalidArgument);
    CHECK(settings.error().remedy.find("--instance") != std::string::npos);
    CHECK(settings.error().remedy.find("MARIGOLDSPOOL_INSTANCE") != std::string::npos);
}

TEST_CASE("an unknown flag is rejected instead of ignored")
{
    CHECK(!parse({"--instance=a", "--no-such-flag"}));
}

TEST_CASE("out-of-range values are rejected with a remedy")
{
    const auto settings = parse({"--instance=a", "--term=2h", "--listen=localhost:1", "rest"});
    REQUIRE(settings);
    CHECK(!settings->duration("term", 1ms, 1min));
    CHECK(settings->duration("term", 1ms, 3h).value() == 2h);
    CHECK(settings->address("listen").error().remedy.find("numeric IP address")
          != std::string::npos);
    REQUIRE(settings->positional().size() == 1);
    CHECK(settings->positional()[0] == "rest");
}

TEST_CASE("durations reject overflow, signs and missing units")
{
    for (const char *text : {"", "5", "s", "-5s", "5x", "99999999999999h", "1.5s"}) {
        CHECK_MESSAGE(!parseDuration(text), text);
    }
    CHECK(parseDuration("250ms").value() == 250ms);
}

TEST_CASE("addresses other than IP:PORT are rejected")
{
    CHECK(parseAddress("[::1]:80"));
    for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:80"}) {
        CHECK_MESSAGE(!parseAddress(text), text);
    }
}
