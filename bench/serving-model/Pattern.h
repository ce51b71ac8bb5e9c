#ifndef MARIGOLDSPOOL_BENCH_SERVING_MODEL_PATTERN_H
#define MARIGOLDSPOOL_BENCH_SERVING_MODEL_PATTERN_H

#include "marigoldspool/Serving/ServingTypes.h"
#include "marigoldspool/Support/Error.h"

namespace marigoldspool::bench {

/// What a kind of request is worth, and for how long its callers wait.
struct RequestClass {
    std::string name;
    /// A first byte within this time, counted from the first attempt, earns \c worth.
    Duration objective = std::chrono::milliseconds(500);
    /// A caller leaves an attempt without a first byte after this time.
    Duration patience = std::chrono::seconds(2);
    double worth = 1;
    double lateWorth = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// Further attempts of a caller that was refused.
    int retries = 1;
};

struct Arrival {
    /// From the start of the pattern.
    Duration at = Duration::zero();
    std::size_t requestClass = 0;
    ModelName model;
    std::string adapter;
    double promptTokens = 0;
    double outputTokens = 0;
};

struct EngineStart {
    EndpointId id;
    ZoneName zone;
    std::set<ModelName> models;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
};

/// How an engine computes and what its weights come from.
struct EngineFigures {
    /// Time for one token of each running request, alone and for each further request.
    double stepMs = 5;
    double stepPerRunMs = 0.05;
    double promptTokensPerMs = 40;
    /// Loads that the weight store serves at full speed.
    int storeLoadsAtOnce = 2;
    Duration adapterLoad = std::chrono::milliseconds(10);
    /// Dropped models whose weights stay in an engine's memory.
    std::size_t modelsInMemory = 2;
};

/// A recorded pattern of arrivals with the engines that it met.
struct Pattern {
    PoolName pool;
    EngineProfile profile;
    EngineFigures figures;
    std::vector<RequestClass> classes;
    std::vector<EngineStart> engines;
    /// By time.
    std::vector<Arrival> arrivals;

    /// The configuration that the decisions read.
    ServingConfigurationPtr configuration() const;
};

/// Reads a file with one JSON object a line; docs/CAPACITY.md lists the fields.
/// Fails with InvalidArgument and the number of the line.
Expected<Pattern> readPattern(const std::string &path);

} // namespace marigoldspool::bench

#endif
