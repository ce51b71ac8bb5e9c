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
/// The version of an endpoint's software, not of the weights; versions have no order.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

enum class RequestKind {
    Idempotent,
    NonIdempotent,
    Stream,
};

/// A pool of a route and its relative share of the route's requests.
struct WeightedPool {
    PoolName pool;
    double weight = 1;
};

/// A route, selected by host and longest matching path prefix.
struct PrefixRoute {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// Maximum time from arrival to the end of the response.
    Duration timeout = std::chrono::seconds(30);
    /// Latency objective for a response or the first event of a stream.
    Duration objective = std::chrono::seconds(1);
    /// Objective for the time between two events of a stream.
    Duration maxEventGap = Duration::zero();
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedPool> pools;
    /// Maximum number of endpoints that one request is sent to.
    int maxAttempts = 1;
    /// Accepts requests without an API key.
    bool open = false;
    bool resumable = false;
};

/// A model that a pool can serve.
struct HostedModel {
    ModelName name;
    double weightsMb = 0;
    double adapterMb = 0;
    int adapterCount = 0;
    /// Load times from the weight store, from the endpoint's memory and from its disk.
    Duration storeLoadTime = std::chrono::seconds(6);
    Duration memoryLoadTime = std::chrono::seconds(1);
    Duration diskLoadTime = std::chrono::seconds(2);
};

/// Capacity of each engine of a pool.
struct EngineProfile {
    int slots = 1;
    std::int64_t kvCacheTokens = 0;
    double weightMemoryMb = 0;
    int adapterSlots = 0;
    /// Maximum number of loads from the weight store started per second, over all engines.
    double loadsPerSecond = 1;
    std::map<ModelName, HostedModel> models;
};

/// Bounds on the number of endpoints of a pool in each availability zone, which instances order.
struct ReplicaBounds {
    int min = 0;
    int max = 0;
    /// From the order of an endpoint until it serves requests.
    Duration bootTime = Duration::zero();
};

/// A set of endpoints that serve the same requests.
struct EndpointPool {
    PoolName name;
    /// Empty if the configuration names none.
    std::string healthPath;
    /// Rate limit for a cold endpoint, over all instances; zero: unlimited.
    double coldRequestsPerSecond = 0;
    Duration coldDuration = Duration::zero();
    int maxConnections = 0;
    std::optional<EngineProfile> engine;
    /// Unset for a pool whose number of endpoints is not for the instances to order.
    std::optional<ReplicaBounds> replicas;
};

struct ServedWorkspace {
    WorkspaceName name;
    std::vector<std::string> keys;
    std::optional<int> priority;
    /// Rate limit in cost per second, and the burst allowed beyond it; zero: unlimited.
    double rate = 0;
    double burst = 0;
    /// Whether cost is counted in tokens instead of requests.
    bool countsTokens = false;
    /// Cost of a request without token counts.
    double defaultCost = 1;
};

/// One immutable version of the configuration.
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

/// Loaded models, each with its loaded adapters.
using LoadedModels = std::map<ModelName, std::set<std::string>>;

/// An endpoint's own entry in the platform's list.
struct ListedEndpoint {
    EndpointId id;
    PoolName pool;
    ZoneName zone;
    /// `IP:PORT`
    std::string address;
    int slots = 1;
    bool leaving = false;
    /// Remaining time as a cold endpoint when the entry was written.
    Duration remainingColdTime = Duration::zero();
    /// With \c leaving: the time after which the process ends whatever it runs, from when the entry
    /// was written. Unset if the process ends after its requests.
    std::optional<Duration> remainingLifetime;
    /// Start of the process in Unix milliseconds; distinguishes processes that reuse an id.
    std::int64_t startedAtMs = 0;
    SoftwareVersion softwareVersion;
    LoadedModels models;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
};

/// A segment of a prompt, identified by its content.
struct PromptPart {
    std::string id;
    int tokens = 0;
};

/// A parsed request of a caller.
struct ServingRequest {
    RequestId id;
    std::string method;
    std::string target;
    std::string host;
    /// Headers to forward, without the key and without those that the proxy sets.
    std::vector<HeaderField> headers;
    std::string body;
    std::string key;
    /// How long the caller waits for the response, if the request states it.
    std::optional<Duration> callerTimeout;
    ModelName model;
    std::string adapter;
    bool hasTokenCounts = false;
    int promptTokens = 0;
    int outputTokens = 0;
    std::vector<PromptPart> prompt;
    /// Id of the event after which the caller resumes a stream.
    std::string lastEventId;
    /// The caller's attempt that brought the first event of the stream, as the caller says.
    RequestId resumes;
};

} // namespace marigoldspool

#endif
