#include "NodeSettings.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldspool;
using nlohmann::json;

namespace {

json validSettings()
{
    return json::parse(R"({
        "node": "front-1", "zone": "z1", "ip": "10.1.0.5",
        "listen": {"front": "10.1.0.5:8221", "ready": "10.1.0.5:8224"},
        "portRange": [7600, 7615],
        "bounds": {"leaseMs": 3000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52,
                   "graceS": 8, "quotaWindowS": 8, "quotaSlack": 17000},
        "limits": {"cpuShare": 0.25, "linkMbps": 1000},
        "provider": {"addr": "10.200.1.7:8225"},
        "somethingNew": {"x": 1}
    })");
}

} // namespace

TEST_CASE("valid settings are parsed and unknown fields ignored")
{
    const Expected<FleetOptions> options = readNodeSettings(validSettings().dump());
    REQUIRE(options);
    CHECK(options->instance == InstanceId("front-1"));
    CHECK(options->zone == ZoneName("z1"));
    CHECK(options->callerAddress == "10.1.0.5:8221");
    CHECK(options->readinessAddress == "10.1.0.5:8224");
    CHECK(options->peerAddress == "10.1.0.5:7600");
    CHECK(options->metricsAddress == "10.1.0.5:7601");
    CHECK(options->storeAddress == "10.200.1.7:8225");
    CHECK(options->lease.handoverGap == std::chrono::seconds(3));
    CHECK(options->retries.slack == 52);
    CHECK(options->quota.slack == 17'000);
    CHECK(options->quota.window == std::chrono::seconds(8));
    CHECK(options->gracePeriod == std::chrono::seconds(8));
    CHECK(options->lease.acquireDelay == Duration::zero());
}

TEST_CASE("the error names the field that is missing or has a wrong type")
{
    const auto problemAfter = [](const char *pointer, const json &value) {
        json settings = validSettings();
        settings[json::json_pointer(pointer)] = value;
        const Expected<FleetOptions> options = readNodeSettings(settings.dump());
        return options ? std::string() : options.error().message;
    };
    CHECK(problemAfter("/node", 5).find("/node") != std::string::npos);
    CHECK(problemAfter("/listen/front", "nowhere").find("/listen/front") != std::string::npos);
    CHECK(problemAfter("/provider", json::array()).find("/provider/addr") != std::string::npos);
    CHECK(problemAfter("/bounds/leaseMs", "x").find("/bounds/leaseMs") != std::string::npos);
    CHECK(problemAfter("/portRange", json::array()).find("/portRange/0") != std::string::npos);
}

// Instances did not start with settings files that lack the field, such as those of the fault soak.
TEST_CASE("settings without a quota window are accepted, and a malformed window is reported")
{
    json settings = validSettings();
    settings["bounds"].erase("quotaWindowS");
    const Expected<FleetOptions> options = readNodeSettings(settings.dump());
    REQUIRE(options);
    CHECK(options->quota.window == Duration::zero());
    settings["bounds"]["quotaWindowS"] = "8";
    const Expected<FleetOptions> malformed = readNodeSettings(settings.dump());
    REQUIRE_FALSE(malformed);
    CHECK(malformed.error().message.find("/bounds/quotaWindowS") != std::string::npos);
}

TEST_CASE("a settings file that is missing or not a JSON object is an error")
{
    CHECK_FALSE(readNodeSettings("[1]"));
    CHECK_FALSE(readNodeSettings("{\"node\": "));
    const Expected<FleetOptions> missing = readNodeFile("/nonexistent/boot.json");
    REQUIRE_FALSE(missing);
    CHECK(missing.error().message.find("/nonexistent/boot.json") != std::string::npos);
}

TEST_CASE("an instance with a slow link or a small CPU share acquires the lease later")
{
    json settings = validSettings();
    settings["limits"]["linkMbps"] = 10;
    CHECK(readNodeSettings(settings.dump())->lease.acquireDelay > Duration::zero());
    settings = validSettings();
    settings["limits"]["cpuShare"] = 0.12;
    CHECK(readNodeSettings(settings.dump())->lease.acquireDelay > Duration::zero());
}

// Guards against duties in deployments without a control API, and against a start without one that
// the settings call for.
TEST_CASE("duties are read from the section of the control API, and are off without it")
{
    json settings = validSettings();
    CHECK_FALSE(readNodeSettings(settings.dump())->duties);
    settings["cloud"] = {
        {"addr", "10.200.1.9:8300"}, {"duties", {"metering", "unknown"}}, {"dutyPerS", 4}};
    settings["bounds"]["usageWindowS"] = 2.5;
    const Expected<FleetOptions> options = readNodeSettings(settings.dump());
    REQUIRE(options);
    REQUIRE(options->duties);
    CHECK(options->duties->address == "10.200.1.9:8300");
    CHECK(options->duties->reportsUsage);
    CHECK_FALSE(options->duties->ordersReplicas);
    CHECK(options->duties->callsPerSecond == 4);
    CHECK(options->duties->usageWindow == std::chrono::milliseconds(2500));
    CHECK(options->duties->usageDue == std::chrono::seconds(10));
    settings["cloud"].erase("addr");
    CHECK(readNodeSettings(settings.dump()).error().message.find("/cloud/addr")
          != std::string::npos);
}
