#include "Pattern.h"

#include <algorithm>
#include <fstream>

#include <nlohmann/json.hpp>

namespace marigoldspool::bench {

namespace {

using nlohmann::json;

Duration millisecondsOf(const json &line, const char *name)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(line.at(name).get<double>()));
}

std::set<ModelName> namesOf(const json &line, const char *name)
{
    std::set<ModelName> names;
    for (const auto &it : line.value(name, json::array())) {
        names.emplace(it.get<std::string>());
    }
    return names;
}

void readPool(const json &line, Pattern &pattern)
{
    pattern.pool = PoolName(line.at("name").get<std::string>());
    pattern.profile.slots = line.at("slots").get<int>();
    pattern.profile.weightMemoryMb = line.at("weights_mb").get<double>();
    pattern.profile.adapterSlots = line.at("adapter_places").get<int>();
    EngineFigures &figures = pattern.figures;
    figures.stepMs = line.at("step_ms").get<double>();
    figures.stepPerRunMs = line.at("step_per_run_ms").get<double>();
    figures.promptTokensPerMs = line.at("prompt_tokens_per_ms").get<double>();
    figures.storeLoadsAtOnce = line.at("store_loads_at_once").get<int>();
    figures.adapterLoad = millisecondsOf(line, "adapter_load_ms");
    figures.modelsInMemory = line.at("models_in_memory").get<std::size_t>();
}

void readModel(const json &line, Pattern &pattern)
{
    HostedModel model;
    model.name = ModelName(line.at("name").get<std::string>());
    model.weightsMb = line.at("weights_mb").get<double>();
    model.adapterMb = line.value("adapter_mb", 0.0);
    model.adapterCount = line.value("adapters", 0);
    model.storeLoadTime = millisecondsOf(line, "store_load_ms");
    model.diskLoadTime = millisecondsOf(line, "disk_load_ms");
    model.memoryLoadTime = millisecondsOf(line, "memory_load_ms");
    pattern.profile.models.emplace(model.name, model);
}

void readClass(const json &line, Pattern &pattern)
{
    RequestClass read;
    read.name = line.at("name").get<std::string>();
    read.objective = millisecondsOf(line, "objective_ms");
    read.patience = millisecondsOf(line, "patience_ms");
    read.worth = line.at("worth").get<double>();
    read.lateWorth = line.at("late_worth").get<double>();
    read.priority = line.at("priority").get<int>();
    read.retries = line.at("retries").get<int>();
    pattern.classes.push_back(std::move(read));
}

void readEngine(const json &line, Pattern &pattern)
{
    EngineStart engine;
    engine.id = EndpointId(line.at("name").get<std::string>());
    engine.zone = ZoneName(line.at("zone").get<std::string>());
    engine.models = namesOf(line, "models");
    engine.inMemory = namesOf(line, "in_memory");
    engine.onDisk = namesOf(line, "on_disk");
    pattern.engines.push_back(std::move(engine));
}

bool readArrival(const json &line, Pattern &pattern)
{
    const auto &classes = pattern.classes;
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const RequestClass &it) {
        return it.name == line.at("class").get<std::string>();
    });
    if (found == classes.end()) {
        return false;
    }
    Arrival arrival;
    arrival.at = millisecondsOf(line, "at_ms");
    arrival.requestClass = static_cast<std::size_t>(found - classes.begin());
    arrival.model = ModelName(line.at("model").get<std::string>());
    arrival.adapter = line.value("adapter", std::string());
    arrival.promptTokens = line.at("prompt_tokens").get<double>();
    arrival.outputTokens = line.at("output_tokens").get<double>();
    pattern.arrivals.push_back(std::move(arrival));
    return true;
}

// Models of like size are recorded once, under this name.
const ModelName AnyOther("*");

void addOtherModels(Pattern &pattern)
{
    auto &models = pattern.profile.models;
    const auto other = models.find(AnyOther);
    if (other == models.end()) {
        return;
    }
    HostedModel figures = other->second;
    models.erase(other);
    const auto add = [&](const ModelName &name) {
        figures.name = name;
        models.emplace(name, figures);
    };
    for (const EngineStart &engine : pattern.engines) {
        std::for_each(engine.models.begin(), engine.models.end(), add);
        std::for_each(engine.onDisk.begin(), engine.onDisk.end(), add);
    }
    for (const Arrival &arrival : pattern.arrivals) {
        add(arrival.model);
    }
}

/// Empty, or what is wrong with the line.
std::string readLine(const std::string &text, Pattern &pattern)
{
    try {
        const json line = json::parse(text);
        const std::string type = line.at("type").get<std::string>();
        if (type == "pool") {
            readPool(line, pattern);
        } else if (type == "model") {
            readModel(line, pattern);
        } else if (type == "class") {
            readClass(line, pattern);
        } else if (type == "engine") {
            readEngine(line, pattern);
        } else if (type != "request") {
            return "unknown type " + type;
        } else if (!readArrival(line, pattern)) {
            return "a request of a class that no earlier line names";
        }
    } catch (const json::exception &error) {
        return error.what();
    }
    return {};
}

} // namespace

ServingConfigurationPtr Pattern::configuration() const
{
    auto made = std::make_shared<ServingConfiguration>();
    EndpointPool endpoints;
    endpoints.name = pool;
    endpoints.engine = profile;
    made->pools.emplace(pool, endpoints);
    return made;
}

Expected<Pattern> readPattern(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return unexpectedError(ErrorKind::InvalidArgument, "cannot open " + path,
                               "name a readable file");
    }
    Pattern pattern;
    std::string text;
    for (int number = 1; std::getline(file, text); ++number) {
        if (text.empty()) {
            continue;
        }
        const std::string problem = readLine(text, pattern);
        if (!problem.empty()) {
            std::string message = path;
            message.append(":").append(std::to_string(number)).append(": ").append(problem);
            return unexpectedError(ErrorKind::InvalidArgument, std::move(message),
                                   "record the pattern again");
        }
    }
    addOtherModels(pattern);
    std::sort(pattern.arrivals.begin(), pattern.arrivals.end(),
              [](const Arrival &a, const Arrival &b) {
                  return a.at < b.at;
              });
    return pattern;
}

} // namespace marigoldspool::bench
