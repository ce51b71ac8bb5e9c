#ifndef MARIGOLDSPOOL_SERVING_SERVINGTYPES_H
#define MARIGOLDSPOOL_SERVING_SERVINGTYPES_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/HeaderField.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldspool {

using PoolName = Identifier<struct PoolTag>;

enum class RequestKind {
    Idempotent,
    NonIdempotent,
    Stream,
};

/// One of the pools that share the requests of a route by weight.
struct WeightedPool {
    PoolName pool;
    double weight = 1;
};

/// A route that is selected by host and longest path prefix.
struct PrefixRoute {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// The longest time that a caller may be kept waiting.
    Duration timeout = std::chrono::seconds(30);
    /// Within this time an answer, or the first event of a stream, earns its full credit.
    Duration objective = std::chrono::seconds(1);
    /// The longest pause between two events of a stream that is still on time.
    Duration longestPause = Duration::zero();
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedPool> pools;
    /// Most endpoints to which one request may be sent.
    int attempts = 1;
    /// Needs no key.
    bool open = false;
    bool resumable = false;
};

struct HostedModel {
    ModelName name;
    double weightsMb = 0;
    double adapterMb = 0;
    int adapters = 0;
    /// Time to load from the weight store, from the endpoint's memory and from its disk.
    Duration storeLoad = std::chrono::seconds(6);
    Duration memoryLoad = std::chrono::seconds(1);
    Duration diskLoad = std::chrono::seconds(2);
};

/// What the engines of a pool can hold and run.
struct EngineProfile {
    int slots = 1;
    std::int64_t memoryTokens = 0;
    double weightsMb = 0;
    int adapterPlaces = 0;
    /// Loads from the weight store that may begin each second, over all engines.
    double loadsPerSecond = 1;
    std::map<ModelName, HostedModel> models;
};

struct EndpointPool {
    PoolName name;
    std::string healthPath;
    /// Requests that a cold endpoint tolerates each second, from all instances; zero: no bound.
    double coldPerSecond = 0;
    Duration coldTime = Duration::zero();
    int maxConnections = 0;
    std::optional<EngineProfile> engine;
};

struct ServedWorkspace {
    WorkspaceName name;
    std::vector<std::string> keys;
    std::optional<int> priority;
    /// Cost per second and at once; zero: unlimited.
    double rate = 0;
    double burst = 0;
    /// Cost is counted in tokens, not in requests.
    bool countsTokens = false;
    /// Cost of a request that names no tokens.
    double plainCost = 1;
};

/// The configuration that is in force: one immutable version.
struct ServingConfiguration {
    std::uint64_t version = 0;
    std::vector<PrefixRoute> routes;
    std::map<PoolName, EndpointPool> pools;
    std::vector<ServedWorkspace> workspaces;

    const EndpointPool *pool(const PoolName &name) const
    {
        const auto it = pools.find(name);
        return it == pools.end() ? nullptr : &it->second;
    }
    const ServedWorkspace *workspace(const WorkspaceName &name) const
    {
        for (const ServedWorkspace &it : workspaces) {
            if (it.name == name) {
                return &it;
            }
        }
        return nullptr;
    }
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

/// A model held by an endpoint, with its adapters.
using HeldModels = std::map<ModelName, std::set<std::string>>;

/// What an endpoint says of itself in the platform's list.
struct ListedEndpoint {
    EndpointId id;
    PoolName pool;
    ZoneName zone;
    /// `IP:PORT`
    std::string address;
    int slots = 1;
    bool leaving = false;
    /// How long the endpoint stays cold, from when the entry was written.
    Duration coldLeft = Duration::zero();
    /// Start of the process, in milliseconds since 1970; tells two runs with one id apart.
    std::int64_t startedAtMs = 0;
    HeldModels models;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
};

struct PromptPart {
    std::string id;
    int tokens = 0;
};

/// A caller's request as the decisions see it.
struct ServingRequest {
    RequestId id;
    std::string method;
    std::string target;
    std::string host;
    /// Fields to pass on, without those that the system sets itself and without the key.
    std::vector<HeaderField> headers;
    std::string body;
    std::string key;
    /// How long the caller waits; empty when the request does not say.
    std::optional<Duration> patience;
    ModelName model;
    std::string adapter;
    bool hasTokens = false;
    int promptTokens = 0;
    int outputTokens = 0;
    std::vector<PromptPart> prompt;
    /// The caller resumes a stream after this event.
    std::string lastEventId;
};

} // namespace marigoldspool

#endif
