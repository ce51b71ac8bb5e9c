#include "Commands.h"

#include "marigoldspool/Operator/Explain.h"

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

namespace marigoldspool {

namespace {

using Json = nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

constexpr Duration PollInterval = std::chrono::milliseconds(200);
constexpr int HttpOk = 200;

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string phaseOf(const InstanceStatus &status)
{
    if (status.stopping) {
        return "stopping";
    }
    return status.ready ? "ready" : "starting";
}

std::string formatDecimal(double value)
{
    std::string text = std::to_string(value);
    return text.substr(0, text.find('.') + 4);
}

void printInstances(std::ostream &out, const std::vector<InstanceStatusResult> &results)
{
    Rows rows{{"INSTANCE", "ZONE", "ADDRESS", "STATE", "VERSION", "CONFIRMED", "STORE", "ROSTER",
               "SHARE", "PEERS", "QUEUED"}};
    for (const InstanceStatusResult &entry : results) {
        if (!entry.status) {
            rows.push_back({entry.instance.id.empty() ? "?" : entry.instance.id,
                            entry.instance.zone.empty() ? "?" : entry.instance.zone,
                            entry.instance.address, "no answer"});
            continue;
        }
        const InstanceStatus &status = *entry.status;
        const auto alive = std::count_if(status.peers.begin(), status.peers.end(),
                                         [](const InstanceStatus::Peer &peer) {
                                             return peer.state == InstanceStatus::PeerState::Alive;
                                         });
        std::size_t queued = 0;
        for (const InstanceStatus::Queue &queue : status.queues) {
            queued += queue.length;
        }
        rows.push_back(
            {status.instance.str(), status.zone.str(), entry.instance.address, phaseOf(status),
             std::to_string(status.configVersion),
             status.configAgeMs < 0 ? "never" : std::to_string(status.configAgeMs) + "ms ago",
             status.storeReachable ? "reachable" : "away", std::to_string(status.rosterEpoch),
             formatDecimal(status.share),
             std::to_string(alive) + "/" + std::to_string(status.peers.size()),
             std::to_string(queued)});
    }
    printTable(out, rows);
}

/// State of a zone in the rules, and how many of its instances answered and are ready.
struct ZoneSummary {
    std::string state = "?";
    int instances = 0;
    int ready = 0;
};

struct EndpointSummary {
    ZoneName zone;
    std::set<std::string> states;
    int slots = 0;
    int inFlight = 0;
    bool fresh = false;
};

struct ModelSummary {
    std::set<std::string> states;
    std::set<std::string> endpoints;
};

struct FleetSummary {
    std::map<std::string, ZoneSummary> zones;
    std::map<EndpointId, EndpointSummary> endpoints;
    std::map<ModelName, ModelSummary> models;
    std::map<std::string, std::size_t> queues;
};

void addStatus(FleetSummary &summary, const InstanceStatus &status)
{
    ZoneSummary &zone = summary.zones[status.zone.str()];
    ++zone.instances;
    zone.ready += status.ready ? 1 : 0;
    for (const InstanceStatus::Endpoint &endpoint : status.endpoints) {
        EndpointSummary &entry = summary.endpoints[endpoint.id];
        entry.zone = endpoint.zone;
        entry.states.emplace(stateName(endpoint.state));
        entry.slots += endpoint.slots;
        entry.inFlight += endpoint.inFlight;
        entry.fresh = entry.fresh || endpoint.fresh;
    }
    for (const InstanceStatus::Model &model : status.models) {
        ModelSummary &entry = summary.models[model.name];
        entry.states.emplace(stateName(model.state));
        for (const EndpointId &endpoint : model.endpoints) {
            entry.endpoints.insert(endpoint.str());
        }
    }
    for (const InstanceStatus::Queue &queue : status.queues) {
        summary.queues[queue.target] += queue.length;
    }
}

/// Joins the states that different instances report for one object, such as `leaving,serving`.
std::string joined(const std::set<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text.empty() ? "-" : text;
}

void printSummary(std::ostream &out, const FleetSummary &summary)
{
    Rows zones{{"ZONE", "STATE", "READY"}};
    for (const auto &[name, zone] : summary.zones) {
        zones.push_back(
            {name, zone.state, std::to_string(zone.ready) + "/" + std::to_string(zone.instances)});
    }
    Rows endpoints{{"ENDPOINT", "ZONE", "STATE", "IN FLIGHT", "SLOTS", "FRESH"}};
    for (const auto &[id, endpoint] : summary.endpoints) {
        endpoints.push_back({id.str(), endpoint.zone.str(), joined(endpoint.states),
                             std::to_string(endpoint.inFlight), std::to_string(endpoint.slots),
                             yesNo(endpoint.fresh)});
    }
    Rows models{{"MODEL", "STATE", "ENDPOINTS"}};
    for (const auto &[name, model] : summary.models) {
        models.push_back({name.str(), joined(model.states), joined(model.endpoints)});
    }
    Rows queues{{"QUEUE", "LENGTH"}};
    for (const auto &[target, length] : summary.queues) {
        queues.push_back({target, std::to_string(length)});
    }
    for (const Rows &rows : {zones, endpoints, models, queues}) {
        if (rows.size() > 1) {
            out << "\n";
            printTable(out, rows);
        }
    }
}

Json statusResultToJson(const InstanceStatusResult &entry)
{
    Json json{{"address", entry.instance.address}, {"answered", entry.status.has_value()}};
    if (entry.status) {
        json["status"] = Json::parse(serializeStatus(*entry.status));
    } else {
        json["id"] = entry.instance.id;
        json["error"] = {{"kind", errorKindName(entry.status.error().kind)},
                         {"message", entry.status.error().message},
                         {"remedy", entry.status.error().remedy}};
    }
    return json;
}

FleetSummary summarize(const std::vector<InstanceStatusResult> &results,
                       const Expected<VersionedRules> &published)
{
    FleetSummary summary;
    for (const InstanceStatusResult &entry : results) {
        if (entry.status) {
            addStatus(summary, *entry.status);
        }
    }
    const ParseResult rules = parseRules("in force", published ? published->text : "");
    if (rules.configuration) {
        for (const ZoneRule &zone : rules.configuration->zones()) {
            summary.zones[zone.name.str()].state =
                zone.state == ZoneState::Serving ? "serving" : "drained";
        }
    }
    return summary;
}

void printStatusJson(CommandRun &run, const std::vector<InstanceStatusResult> &results,
                     const Expected<VersionedRules> &published, const FleetSummary &summary)
{
    Json list = Json::array();
    for (const InstanceStatusResult &entry : results) {
        list.push_back(statusResultToJson(entry));
    }
    Json zones = Json::object();
    for (const auto &[name, zone] : summary.zones) {
        zones[name] = {{"state", zone.state}, {"instances", zone.instances}, {"ready", zone.ready}};
    }
    run.printJson({{"published_version", published ? Json(published->version) : Json()},
                   {"zones", std::move(zones)},
                   {"instances", std::move(list)}});
}

void printStatusText(CommandRun &run, const std::vector<InstanceStatusResult> &results,
                     const Expected<VersionedRules> &published, const FleetSummary &summary)
{
    std::ostream &out = run.context().out;
    out << "version published in the store: "
        << (published ? std::to_string(published->version) : "unknown") << "\n\n";
    if (results.empty()) {
        out << "no live instance is listed\n";
    } else {
        printInstances(out, results);
    }
    printSummary(out, summary);
    for (const InstanceStatusResult &entry : results) {
        if (!entry.status) {
            run.context().err << "error: " << describeError(entry.status.error()) << "\n";
        }
    }
}

/// Why \p version is not confirmed at the instance; nullopt when it is.
std::optional<std::string> reasonToWait(const InstanceStatusResult &entry, std::uint64_t version)
{
    if (!entry.status) {
        return entry.status.error().message;
    }
    if (entry.status->configVersion >= version) {
        return std::nullopt;
    }
    return entry.status->instance.str() + " at " + entry.instance.address + " has version "
        + std::to_string(entry.status->configVersion);
}

struct PollRound {
    std::size_t instances = 0;
    /// Instances without the version, and errors; empty when all instances have it.
    std::vector<std::string> reasons;
};

/// Lists the instances again for each poll, so that the wait ignores instances that have left.
Expected<PollRound> pollVersion(CommandRun &run, std::uint64_t version, Duration timeout)
{
    PollRound round;
    const Expected<std::vector<PlatformInstance>> instances = run.liveInstances();
    if (!instances) {
        if (exitCodeFor(instances.error().kind) != ExitCode::Unreachable) {
            return tl::make_unexpected(instances.error());
        }
        round.reasons.push_back(instances.error().message);
        return round;
    }
    round.instances = instances->size();
    if (instances->empty()) {
        round.reasons.emplace_back("no live instance is listed");
    }
    for (const InstanceStatusResult &entry : queryStatus(run, *instances, timeout)) {
        if (const std::optional<std::string> reason = reasonToWait(entry, version)) {
            round.reasons.push_back(*reason);
        }
    }
    return round;
}

void reportWait(CommandRun &run, std::int64_t version, const PollRound &round)
{
    if (run.isJson()) {
        run.printJson({{"in_force", round.reasons.empty()},
                       {"version", version},
                       {"waiting", round.reasons}});
        return;
    }
    if (round.reasons.empty()) {
        run.context().out << "version " << version << " or a newer one is in force at "
                          << round.instances << " instances\n";
    }
    for (const std::string &reason : round.reasons) {
        run.context().err << "still waiting: " << reason << "\n";
    }
}

Expected<ExplainRequest> parseExplainArguments(CommandRun &run)
{
    std::map<std::string, std::string> values;
    for (const std::string &word : run.settings().positional()) {
        const std::size_t equals = std::min(word.find('='), word.size());
        const std::string key = word.substr(0, equals);
        const bool isKnown = key == "workspace" || key == "path" || key == "model";
        if (equals == word.size() || !isKnown
            || !values.emplace(key, word.substr(equals + 1)).second) {
            return unexpectedError(ErrorKind::InvalidArgument,
                                   "\"" + word + "\" is not a request parameter, or is repeated",
                                   "write workspace=NAME, path=/PATH and model=NAME once each");
        }
    }
    ExplainRequest request{WorkspaceName(values["workspace"]), values["path"],
                           ModelName(values["model"])};
    if (request.path.empty() || request.path[0] != '/') {
        return unexpectedError(ErrorKind::InvalidArgument, "the request has no path",
                               "add path=/PATH, such as path=/v1/chat/completions");
    }
    return request;
}

void printExplanation(std::ostream &out, const ExplainAnswer &answer)
{
    out << answer.instance.str() << " with version " << answer.configVersion << ": "
        << outcomeName(answer.outcome);
    if (answer.reason) {
        out << " (" << refusalCode(*answer.reason) << ")";
    }
    out << (answer.message.empty() ? "" : ": " + answer.message)
        << (answer.remedy.empty() ? "" : "; remedy: " + answer.remedy) << "\n";
    out << "route " << (answer.route.empty() ? "(none)" : answer.route.str()) << ", cost "
        << formatDecimal(answer.cost) << ", home instance "
        << (answer.home.empty() ? "(none)" : answer.home.str()) << "\n";
    Rows steps{{"CHECK", "PASSED", "DETAIL"}};
    for (const ExplainAnswer::Step &step : answer.steps) {
        steps.push_back({step.check, yesNo(step.passed), step.detail});
    }
    printTable(out, steps);
    Rows endpoints{{"ENDPOINT", "ZONE", "ELIGIBLE", "REASON"}};
    for (const ExplainAnswer::Endpoint &endpoint : answer.endpoints) {
        endpoints.push_back(
            {endpoint.id.str(), endpoint.zone.str(), yesNo(endpoint.eligible), endpoint.reason});
    }
    if (endpoints.size() > 1) {
        printTable(out, endpoints);
    }
}

Expected<ExplainAnswer> fetchExplanation(CommandRun &run, const std::string &address,
                                         const std::string &target, Duration timeout)
{
    const Expected<InstanceResponse> answer =
        run.await<InstanceResponse>([&](Callback<InstanceResponse> done) {
            run.context().instances.get(address, target, timeout, std::move(done));
        });
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->status != HttpOk) {
        return unexpectedError(ErrorKind::Unavailable,
                               address + " answered " + std::to_string(answer->status),
                               "check that the address is that of an instance of this version");
    }
    return parseExplanation(answer->body);
}

} // namespace

std::vector<InstanceStatusResult>
queryStatus(CommandRun &run, const std::vector<PlatformInstance> &instances, Duration timeout)
{
    struct Round {
        std::vector<InstanceStatusResult> results;
        std::size_t outstanding = 0;
    };
    const auto round = std::make_shared<Round>();
    for (const PlatformInstance &instance : instances) {
        round->results.push_back(
            {instance, unexpectedError(ErrorKind::Internal, "not asked", "try again")});
    }
    round->outstanding = instances.size();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        const std::string &address = instances[i].address;
        run.context().instances.get(
            address, "/status", timeout,
            [round, i, address](const Expected<InstanceResponse> &answer) {
                --round->outstanding;
                Expected<InstanceStatus> &status = round->results[i].status;
                if (!answer) {
                    status = tl::make_unexpected(answer.error());
                } else if (answer->status != HttpOk) {
                    status =
                        unexpectedError(ErrorKind::Unavailable,
                                        address + " answered " + std::to_string(answer->status),
                                        "check that the address is that of an instance");
                } else {
                    status = parseStatus(answer->body);
                }
            });
    }
    while (round->outstanding > 0 && run.context().runOne()) {
    }
    return round->results;
}

ExitCode runStatus(CommandRun &run)
{
    const Expected<Duration> timeout = run.callTimeout();
    if (!timeout) {
        return run.reportError(timeout.error());
    }
    const Expected<std::vector<PlatformInstance>> instances = run.liveInstances();
    if (!instances) {
        return run.reportError(instances.error());
    }
    const std::vector<InstanceStatusResult> results = queryStatus(run, *instances, *timeout);
    // Shows the instances even when the store is unreachable: operators need them most then.
    Expected<VersionedRules> published =
        unexpectedError(ErrorKind::Unavailable, "no platform is set", "pass --platform");
    if (run.settings().isSet("platform")) {
        published = run.fetchInForce();
    }
    const FleetSummary summary = summarize(results, published);
    if (run.isJson()) {
        printStatusJson(run, results, published, summary);
    } else {
        printStatusText(run, results, published, summary);
    }
    const bool isComplete =
        std::all_of(results.begin(), results.end(), [](const InstanceStatusResult &entry) {
            return entry.status.has_value();
        });
    return isComplete ? ExitCode::Success : ExitCode::Unreachable;
}

ExitCode runExplain(CommandRun &run)
{
    const Expected<ExplainRequest> request = parseExplainArguments(run);
    if (!request) {
        return run.reportError(request.error());
    }
    const Expected<Duration> timeout = run.callTimeout();
    if (!timeout) {
        return run.reportError(timeout.error());
    }
    const Expected<std::vector<PlatformInstance>> instances = run.liveInstances();
    if (!instances) {
        return run.reportError(instances.error());
    }
    Error error = makeError(ErrorKind::NotFound, "there is no live instance to ask",
                            "start an instance or pass --instances");
    for (const PlatformInstance &instance : *instances) {
        const Expected<ExplainAnswer> answer =
            fetchExplanation(run, instance.address, formatExplainTarget(*request), *timeout);
        if (!answer) {
            error = answer.error();
            continue;
        }
        if (run.isJson()) {
            run.printJson(Json::parse(serializeExplanation(*answer)));
        } else {
            printExplanation(run.context().out, *answer);
        }
        return ExitCode::Success;
    }
    return run.reportError(error);
}

ExitCode runWait(CommandRun &run)
{
    const Expected<std::int64_t> version = run.settings().integer("in-force", 1, INT64_MAX);
    const Expected<Duration> limit =
        run.settings().duration("timeout", Duration::zero(), std::chrono::hours(24));
    const Expected<Duration> callTimeout = run.callTimeout();
    if (!version || !limit || !callTimeout) {
        return run.reportError(!version     ? version.error()
                                   : !limit ? limit.error()
                                            : callTimeout.error());
    }
    const Clock &clock = run.context().clock;
    const SteadyTime deadline = clock.now() + *limit;
    while (true) {
        const Duration left =
            std::max<Duration>(std::chrono::milliseconds(1), deadline - clock.now());
        const Expected<PollRound> round =
            pollVersion(run, static_cast<std::uint64_t>(*version), std::min(*callTimeout, left));
        if (!round) {
            return run.reportError(round.error());
        }
        if (round->reasons.empty() || clock.now() >= deadline) {
            reportWait(run, *version, *round);
            return round->reasons.empty() ? ExitCode::Success : ExitCode::TimedOut;
        }
        run.context().sleep(std::min<Duration>(PollInterval, deadline - clock.now()));
    }
}

} // namespace marigoldspool
