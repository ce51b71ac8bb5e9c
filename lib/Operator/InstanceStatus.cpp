#include "marigoldspool/Operator/InstanceStatus.h"

#include "JsonNames.h"

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using Json = nlohmann::json;

constexpr NamedValue<InstanceStatus::PeerState> PeerStates[] = {
    {InstanceStatus::PeerState::Alive, "alive"},
    {InstanceStatus::PeerState::Suspected, "suspected"},
    {InstanceStatus::PeerState::Stopping, "stopping"},
};

constexpr NamedValue<InstanceStatus::EndpointState> EndpointStates[] = {
    {InstanceStatus::EndpointState::Serving, "serving"},
    {InstanceStatus::EndpointState::Leaving, "leaving"},
    {InstanceStatus::EndpointState::Unreachable, "unreachable"},
};

constexpr NamedValue<InstanceStatus::ModelState> ModelStates[] = {
    {InstanceStatus::ModelState::Idle, "idle"},
    {InstanceStatus::ModelState::Loading, "loading"},
    {InstanceStatus::ModelState::Ready, "ready"},
    {InstanceStatus::ModelState::Unloading, "unloading"},
};

Json toJson(const InstanceStatus::Peer &peer)
{
    return {{"id", peer.id.str()},
            {"zone", peer.zone.str()},
            {"address", peer.address},
            {"state", stateName(peer.state)},
            {"config_version", peer.configVersion},
            {"silent_ms", peer.silentMs}};
}

Json toJson(const InstanceStatus::Endpoint &endpoint)
{
    return {{"id", endpoint.id.str()},
            {"zone", endpoint.zone.str()},
            {"state", stateName(endpoint.state)},
            {"slots", endpoint.slots},
            {"in_flight", endpoint.inFlight},
            {"fresh", endpoint.fresh}};
}

Json toJson(const InstanceStatus::Model &model)
{
    Json endpoints = Json::array();
    for (const EndpointId &endpoint : model.endpoints) {
        endpoints.push_back(endpoint.str());
    }
    return {{"name", model.name.str()},
            {"state", stateName(model.state)},
            {"endpoints", std::move(endpoints)}};
}

Json toJson(const InstanceStatus::Queue &queue)
{
    return {{"target", queue.target}, {"length", queue.length}};
}

template <class Item>
Json listToJson(const std::vector<Item> &items)
{
    Json list = Json::array();
    for (const Item &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

InstanceStatus::Peer peerFrom(const Json &json)
{
    return {InstanceId(json.at("id")), ZoneName(json.at("zone")),
            json.at("address"),        enumFromName(PeerStates, json.at("state")),
            json.at("config_version"), json.at("silent_ms")};
}

InstanceStatus::Endpoint endpointFrom(const Json &json)
{
    return {EndpointId(json.at("id")),
            ZoneName(json.at("zone")),
            enumFromName(EndpointStates, json.at("state")),
            json.at("slots"),
            json.at("in_flight"),
            json.at("fresh")};
}

InstanceStatus::Model modelFrom(const Json &json)
{
    InstanceStatus::Model model{
        ModelName(json.at("name")), enumFromName(ModelStates, json.at("state")), {}};
    for (const Json &endpoint : json.at("endpoints")) {
        model.endpoints.emplace_back(endpoint.get<std::string>());
    }
    return model;
}

InstanceStatus::Queue queueFrom(const Json &json)
{
    return {json.at("target"), json.at("length")};
}

template <class Item>
void readList(const Json &list, std::vector<Item> &items, Item (*read)(const Json &))
{
    for (const Json &item : list) {
        items.push_back(read(item));
    }
}

} // namespace

std::string serializeStatus(const InstanceStatus &status)
{
    const Json json{{"instance", status.instance.str()},
                    {"zone", status.zone.str()},
                    {"incarnation", status.incarnation},
                    {"started_ms", status.startedMs},
                    {"ready", status.ready},
                    {"stopping", status.stopping},
                    {"config_version", status.configVersion},
                    {"config_age_ms", status.configAgeMs},
                    {"store_reachable", status.storeReachable},
                    {"roster_epoch", status.rosterEpoch},
                    {"share", status.share},
                    {"peers", listToJson(status.peers)},
                    {"endpoints", listToJson(status.endpoints)},
                    {"models", listToJson(status.models)},
                    {"queues", listToJson(status.queues)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Expected<InstanceStatus> parseStatus(std::string_view text)
{
    return readJson<InstanceStatus>("status", text, [](const Json &json) {
        InstanceStatus status;
        status.instance = InstanceId(json.at("instance"));
        status.zone = ZoneName(json.at("zone"));
        json.at("incarnation").get_to(status.incarnation);
        json.at("started_ms").get_to(status.startedMs);
        json.at("ready").get_to(status.ready);
        json.at("stopping").get_to(status.stopping);
        json.at("config_version").get_to(status.configVersion);
        json.at("config_age_ms").get_to(status.configAgeMs);
        json.at("store_reachable").get_to(status.storeReachable);
        json.at("roster_epoch").get_to(status.rosterEpoch);
        json.at("share").get_to(status.share);
        readList(json.at("peers"), status.peers, peerFrom);
        readList(json.at("endpoints"), status.endpoints, endpointFrom);
        readList(json.at("models"), status.models, modelFrom);
        readList(json.at("queues"), status.queues, queueFrom);
        return status;
    });
}

std::string_view stateName(InstanceStatus::PeerState state)
{
    return enumName(PeerStates, state);
}

std::string_view stateName(InstanceStatus::EndpointState state)
{
    return enumName(EndpointStates, state);
}

std::string_view stateName(InstanceStatus::ModelState state)
{
    return enumName(ModelStates, state);
}

} // namespace marigoldspool
