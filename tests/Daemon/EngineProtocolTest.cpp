#include "Daemon/EngineProtocol.h"

#include "marigoldspool/Daemon/DaemonSettings.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldspool;

namespace {

const std::string StatusBody = R"({"endpoint":"e","incarnation":"i","memory_total":100,
    "memory_used":14,"loaded":[{"model":"m","version":"1","bytes":14,"state":"loaded"}],
    "running":1,"waiting":0,"slots":8,"completed":3,"last_fencing":7,
    "cached":[{"model":"m","place":"disk"}]})";

} // namespace

TEST_CASE("an engine status is parsed with the fields that placement uses")
{
    const auto status = parseEngineStatus(StatusBody, EndpointId("e"), SteadyTime());
    REQUIRE(status);
    CHECK(status->memoryTotal == 100);
    REQUIRE(status->models.size() == 1);
    CHECK(status->models[0].state == EngineModelState::Loaded);
    CHECK(status->lastFencing == 7);
    REQUIRE(status->cached.size() == 1);
    CHECK(status->cached[0].tier == CheckpointTier::Disk);
}

TEST_CASE("the status of another engine is refused, so that a wrong address cannot mix up ledgers")
{
    CHECK(!parseEngineStatus(StatusBody, EndpointId("other"), SteadyTime()));
}

TEST_CASE("truncated and wrongly typed statuses are refused without a crash")
{
    for (std::size_t n = 0; n < StatusBody.size(); ++n) {
        CHECK(!parseEngineStatus(StatusBody.substr(0, n), EndpointId("e"), SteadyTime()));
    }
    for (const char *body : {"[]", "null", R"({"endpoint":1})"}) {
        CHECK(!parseEngineStatus(body, EndpointId("e"), SteadyTime()));
    }
}

TEST_CASE("order replies distinguish a stale fencing number from a lack of memory")
{
    CHECK(parseOrderReply(202, ""));
    CHECK(parseOrderReply(409, "").error().kind == ErrorKind::StaleFencing);
    CHECK(parseOrderReply(507, "").error().kind == ErrorKind::InsufficientMemory);
    CHECK(parseOrderReply(500, "").error().kind == ErrorKind::Internal);
}

TEST_CASE("an order carries its fencing number and its remaining validity")
{
    EngineOrder order;
    order.id = OrderId("o");
    order.model = ModelName("m");
    order.fencing = 42;
    const auto body = nlohmann::json::parse(formatOrder(order, 1500));
    CHECK(body["fencing"] == 42);
    CHECK(body["valid_ms"] == 1500);
    CHECK(body["action"] == "load");
}

TEST_CASE("an invalid daemon setting is refused with a remedy")
{
    const auto read = [](std::vector<const char *> arguments) {
        arguments.insert(
            arguments.begin(),
            {"--instance=a1", "--zone=a", "--platform=127.0.0.1:1", "--peer-secret=s"});
        return readDaemonSettings(
            *Settings::parse("marigoldspoold", daemonSettingSpecs(), arguments));
    };
    CHECK(read({}));
    CHECK(read({"--listen=127.0.0.1:8080"})->peerListenAddress == "127.0.0.1:9080");
    for (const char *wrong :
         {"--instance=Upper", "--zone=a b", "--listen=nowhere", "--listen=127.0.0.1:65000",
          "--drain-notice=5", "--loads-per-second=0", "--peer-port-offset=-1"}) {
        CAPTURE(wrong);
        const auto settings = read({wrong});
        REQUIRE(!settings);
        CHECK(!settings.error().remedy.empty());
    }
}
