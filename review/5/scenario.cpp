// All instances restart while an engine is cold: its zone was evacuated and has just been taken
// back.
#include "../standins/Fleet.h"
#include "../standins/Replica.h"

#include <algorithm>

using namespace marigoldspool::review;

namespace {

// coldPerS x coldTolerance + coldSlack of the sheet: 18 x 1.5 + 5.
constexpr int ColdBound = 32;
constexpr int CrashRate = 45;
constexpr Milliseconds RestartDelay(500);
const std::string Model = "daka510000";
// The engines of the other zones are full with these, which are asked for all the time.
const std::vector<std::string> OtherModels{"rada7437b5", "ravo486f6a", "nymi57a71f",
                                           "gopu49ded4", "base151689", "xada684e3e"};
constexpr std::size_t ModelsOfEngine = 3;
const std::string Zone = "hobart-a";

Json engineModel(const std::string &name)
{
    return {{"name", name},      {"weightsMb", 72'700.0}, {"loadS", 6.0}, {"adapters", 0},
            {"adapterMb", 12.0}, {"warmS", 0.6},          {"diskS", 1.3}};
}

Json configuration()
{
    Json models = Json::array({engineModel(Model)});
    for (const std::string &model : OtherModels) {
        models.push_back(engineModel(model));
    }
    const Json route = {{"name", "r-reply"},   {"host", "basket.example"},
                        {"prefix", "/reply/"}, {"kind", "stream"},
                        {"timeoutMs", 12'000}, {"goalMs", 500},
                        {"priority", 0},       {"service", "assistant-llm"},
                        {"attempts", 2},       {"public", false},
                        {"sticky", true},      {"resumable", false},
                        {"gapTargetMs", 250}};
    const Json service = {{"name", "assistant-llm"},
                          {"healthPath", "/health"},
                          {"maxConns", 290},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"coldStartS", 3.0},
                          {"coldPerS", 18.0},
                          {"engine",
                           {{"slots", 48},
                            {"kvTokens", 130'610},
                            {"models", models},
                            {"weightsMb", 230'000.0},
                            {"adapterSlots", 8},
                            {"loadsPerS", 4.8}}}};
    const Json tenant = {{"name", "press"},  {"apiKeys", {"key-of-press"}}, {"priority", 1},
                         {"unit", "tokens"}, {"plainTokens", 200},          {"ratePerS", 400'000},
                         {"burst", 400'000}};
    return {{"version", 7},
            {"routes", {route}},
            {"services", {service}},
            {"limits",
             {{"headerBytes", 16'384},
              {"bodyBytes", 4'194'304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15'000}}},
            {"tenants", {tenant}}};
}

Request reply(const std::string &model, int number)
{
    Request request;
    request.host = "basket.example";
    request.path = "/reply/customer";
    request.key = "key-of-press";
    request.model = model;
    request.prefix =
        std::to_string(500'000 + number % 97) + ":198," + std::to_string(700'000 + number) + ":628";
    request.tokens = "826,60";
    request.body = std::string(1700, 'b');
    request.kind = model == Model ? "reply" : "other";
    request.deadline = Milliseconds(6'000);
    return request;
}

// The most arrivals at the replica within one second that were also sent within it.
int mostInOneSecond(const Record &record, const std::string &replica)
{
    const auto sent = record.sent();
    std::vector<Arrival> arrivals;
    for (const Arrival &arrival : record.arrivals()) {
        if (arrival.replica == replica && arrival.hasRun) {
            arrivals.push_back(arrival);
        }
    }
    std::size_t most = 0;
    for (const Arrival &first : arrivals) {
        const TimePoint end = first.at;
        const TimePoint begin = end - std::chrono::seconds(1);
        const auto isInside = [&](const Arrival &arrival) {
            return arrival.at > begin && arrival.at <= end && sent.at(arrival.id).at > begin;
        };
        most = std::max(
            most,
            static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), isInside)));
    }
    return static_cast<int>(most);
}

Verdict play()
{
    const char *recordPath = std::getenv("RECORD");
    Record record(recordPath == nullptr ? "record.txt" : recordPath);
    const TemporaryFolder folder;
    Fleet fleet(record, folder.path());
    Store store({Fleet::outsideIp(0), fleet.ports().store});
    store.put("config", "main", configuration());
    const std::vector<std::string> zones{Zone, "hobart-b", "kingston"};
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const std::string &zone : zones) {
        fleet.add("front-" + zone + "-1", zone);
        fleet.add("front-" + zone + "-2", zone);
        ReplicaOptions options;
        options.service = "assistant-llm";
        options.zone = zone;
        options.address = {Fleet::outsideIp(1 + static_cast<int>(replicas.size())),
                           fleet.ports().replicas};
        options.slots = 48;
        options.events = 6;
        if (zone == Zone) {
            options.models = {Model};
        } else {
            const auto begin = OtherModels.begin()
                + static_cast<std::ptrdiff_t>((replicas.size() - 1) * ModelsOfEngine);
            options.models.assign(begin, begin + ModelsOfEngine);
        }
        // It crashes "at a rate well above" coldPerS.
        options.coldLimit = CrashRate;
        replicas.push_back(std::make_unique<Replica>(store, record, options));
    }
    Replica &cold = *replicas.front();
    const std::string coldId = cold.id();
    fleet.startAll();
    if (!fleet.waitReady(Steady::now() + std::chrono::seconds(20))) {
        throw std::runtime_error("the fleet is not ready");
    }
    Clients clients(record, fleet);
    int number = 0;
    const auto load = [&](Milliseconds time, int perSecond, const std::string &asked = {}) {
        const std::vector<std::string> names = fleet.names();
        const TimePoint end = Steady::now() + time;
        for (TimePoint next = Steady::now(); next < end;
             next += std::chrono::microseconds(1'000'000 / perSecond)) {
            std::this_thread::sleep_until(next);
            const std::string &name = names[static_cast<std::size_t>(number) % names.size()];
            const std::string &model = asked.empty()
                ? OtherModels[static_cast<std::size_t>(number) % OtherModels.size()]
                : asked;
            clients.send(name, reply(model, number));
            ++number;
        }
    };
    constexpr int Usual = 20;
    // Users ask for the model of the zone as soon as it is back.
    constexpr int Rush = 80;
    load(Milliseconds(4000), Usual);
    store.put("evacuations", Zone, Json::object());
    record.note("evacuation of " + Zone);
    load(Milliseconds(4000), Usual);
    cold.becomeCold();
    load(Milliseconds(800), Usual);
    if (isTroubled()) {
        for (const std::string &name : fleet.names()) {
            fleet.kill(name);
        }
    }
    load(RestartDelay - Milliseconds(100), Usual);
    store.remove("evacuations", Zone);
    record.note(Zone + " is taken back");
    load(Milliseconds(100), Usual);
    if (isTroubled()) {
        fleet.startAll();
    }
    load(Milliseconds(1600), Rush, Model);
    clients.finish();

    const int most = mostInOneSecond(record, coldId);
    int brokenOff = 0;
    for (const auto &[id, request] : record.sent()) {
        brokenOff += request.status == 200 && !request.isWhole ? 1 : 0;
    }
    record.note(std::to_string(most) + " requests ran at the cold replica " + coldId
                + " within one second (" + std::to_string(ColdBound) + " allowed); it crashed "
                + std::to_string(cold.crashes().size()) + " times; " + std::to_string(brokenOff)
                + " streams were broken off midway");
    return most > ColdBound ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main()
{
    return runScenario(play);
}
