#include "Daemon/EngineProtocol.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using nlohmann::json;

CheckpointTier parseTier(const std::string &text)
{
    if (text == "memory") {
        return CheckpointTier::Memory;
    }
    return text == "disk" ? CheckpointTier::Disk : CheckpointTier::Remote;
}

// An unknown state counts as loading, so that no requests are sent to the model yet.
EngineModelState parseModelState(const std::string &text)
{
    if (text == "loaded") {
        return EngineModelState::Loaded;
    }
    return text == "unloading" ? EngineModelState::Unloading : EngineModelState::Loading;
}

EngineStatus readStatus(const json &body)
{
    EngineStatus status;
    status.endpoint = EndpointId(body.at("endpoint").get<std::string>());
    status.incarnation = body.at("incarnation").get<std::string>();
    status.memoryTotal = body.at("memory_total").get<std::uint64_t>();
    status.memoryUsed = body.at("memory_used").get<std::uint64_t>();
    status.running = body.at("running").get<int>();
    status.waiting = body.at("waiting").get<int>();
    status.completed = body.at("completed").get<std::uint64_t>();
    status.lastFencing = body.value("last_fencing", std::uint64_t{0});
    for (const json &model : body.at("loaded")) {
        status.models.push_back({ModelName(model.at("model").get<std::string>()),
                                 model.at("version").get<std::string>(),
                                 model.at("bytes").get<std::uint64_t>(),
                                 parseModelState(model.at("state").get<std::string>())});
    }
    for (const json &entry : body.value("cached", json::array())) {
        status.cached.push_back({ModelName(entry.at("model").get<std::string>()),
                                 parseTier(entry.at("place").get<std::string>())});
    }
    return status;
}

} // namespace

Expected<EngineStatus> parseEngineStatus(std::string_view body, const EndpointId &endpoint,
                                         SteadyTime requestedAt)
{
    try {
        EngineStatus status = readStatus(json::parse(body));
        if (status.endpoint != endpoint) {
            return unexpectedError(ErrorKind::Malformed,
                                   "the status is from the engine of endpoint "
                                       + status.endpoint.str(),
                                   "correct the address of endpoint " + endpoint.str());
        }
        status.requestedAt = requestedAt;
        return status;
    } catch (const json::exception &e) {
        return unexpectedError(ErrorKind::Malformed,
                               std::string("the engine's status cannot be read: ") + e.what(),
                               "check that the address belongs to an engine");
    }
}

std::string formatOrder(const EngineOrder &order, std::int64_t validMs)
{
    const json body{{"order_id", order.id.str()},
                    {"action", order.action == OrderAction::Load ? "load" : "unload"},
                    {"model", order.model.str()},
                    {"version", order.version},
                    {"bytes", order.bytes},
                    {"fencing", order.fencing},
                    {"valid_ms", validMs}};
    return body.dump();
}

Expected<void> parseOrderReply(int status, std::string_view body)
{
    if (status >= 200 && status < 300) {
        return {};
    }
    const std::string text(body.substr(0, 200));
    if (status == 409) {
        return unexpectedError(ErrorKind::StaleFencing, "the engine refused the order: " + text,
                               "decide again from the current ledger");
    }
    if (status == 507) {
        return unexpectedError(ErrorKind::InsufficientMemory,
                               "the engine has too little memory: " + text,
                               "lower the memory rules of the endpoint");
    }
    return unexpectedError(ErrorKind::Internal,
                           "the engine answered " + std::to_string(status) + ": " + text,
                           "look at the engine's log");
}

} // namespace marigoldspool
