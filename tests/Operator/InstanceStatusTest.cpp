#include "marigoldspool/Operator/InstanceStatus.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldspool;

namespace {

InstanceStatus sampleStatus()
{
    InstanceStatus status;
    status.instance = InstanceId("i-1");
    status.zone = ZoneName("a");
    // Above 2^53, where a floating-point number would lose digits.
    status.incarnation = 18'446'744'073'709'551'615U;
    status.startedMs = 1'700'000'000'123;
    status.ready = true;
    status.stopping = true;
    status.configVersion = 12;
    status.configAgeMs = 250;
    status.storeReachable = true;
    status.rosterEpoch = 4;
    status.share = 0.125;
    status.peers = {{InstanceId("i-2"), ZoneName("b"), "127.0.0.1:1",
                     InstanceStatus::PeerState::Suspected, 11, 3500}};
    status.endpoints = {
        {EndpointId("e"), ZoneName("a"), InstanceStatus::EndpointState::Unreachable, 8, 3, true}};
    status.models = {{ModelName("m"), InstanceStatus::ModelState::Loading, {EndpointId("e")}}};
    status.queues = {{"model:m", 7}};
    return status;
}

} // namespace

TEST_CASE("a serialized status is parsed without loss")
{
    const std::string json = serializeStatus(sampleStatus());
    const Expected<InstanceStatus> read = parseStatus(json);
    REQUIRE(read);
    CHECK(serializeStatus(*read) == json);
    CHECK(read->incarnation == 18'446'744'073'709'551'615U);
    CHECK(read->share == 0.125);
    CHECK(read->peers[0].state == InstanceStatus::PeerState::Suspected);
    CHECK(read->endpoints[0].inFlight == 3);
    CHECK(read->models[0].endpoints[0] == EndpointId("e"));
    CHECK(read->queues[0].length == 7);
}

TEST_CASE("fields of a newer instance are ignored, missing and mistyped ones are refused")
{
    nlohmann::json json = nlohmann::json::parse(serializeStatus(sampleStatus()));
    json["added_later"] = 1;
    CHECK(parseStatus(json.dump()));
    for (const auto &item : json.items()) {
        const std::string &key = item.key();
        if (key == "added_later") {
            continue;
        }
        CAPTURE(key);
        nlohmann::json missing = json;
        missing.erase(key);
        REQUIRE_FALSE(parseStatus(missing.dump()));
        CHECK(parseStatus(missing.dump()).error().kind == ErrorKind::Malformed);
        nlohmann::json mistyped = json;
        mistyped[key] = item.value().is_string() ? nlohmann::json(1) : nlohmann::json("x");
        CHECK_FALSE(parseStatus(mistyped.dump()));
    }
    json["models"][0]["state"] = "warm";
    CHECK_FALSE(parseStatus(json.dump()));
    CHECK_FALSE(parseStatus("<html>"));
}
