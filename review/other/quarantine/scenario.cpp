// All instances are killed twice while requests come with a part that crashes engines.
#include "../../standins/Fleet.h"
#include "../../standins/Replica.h"

#include <algorithm>

using namespace marigoldspool::review;

namespace {

constexpr Milliseconds ContactTime(3000);
constexpr std::size_t CrashesOfRule = 5;
constexpr int AllowedArrivals = 3;
constexpr int Kills = 2;
constexpr Milliseconds RestartDelay(500);
constexpr int PoisonPerRound = 4;
constexpr Milliseconds PoisonInterval(4000);
constexpr int ReplicaCount = 6;
const std::string CrashingPart = "5c1e07a2";
const std::string SoundPart = "91bd3f06";
// All requests begin with it.
const std::string CommonPart = "0f3e77c1";

Json configuration()
{
    const Json route = {{"name", "r-draft"},   {"host", "basket.example"},
                        {"prefix", "/draft/"}, {"kind", "stream"},
                        {"timeoutMs", 25'000}, {"goalMs", 3000},
                        {"priority", 0},       {"service", "assistant-llm"},
                        {"attempts", 1},       {"public", false},
                        {"sticky", true},      {"resumable", false},
                        {"gapTargetMs", 250}};
    const Json model = {{"name", "daka510000"}, {"weightsMb", 65'100.0}, {"loadS", 6.0},
                        {"adapters", 0},        {"adapterMb", 12.0},     {"warmS", 0.57},
                        {"diskS", 1.2}};
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
                            {"models", {model}},
                            {"weightsMb", 230'000.0},
                            {"adapterSlots", 8},
                            {"loadsPerS", 4.8}}}};
    const Json tenant = {{"name", "press"},  {"apiKeys", {"key-of-press"}}, {"priority", 1},
                         {"unit", "tokens"}, {"plainTokens", 200},          {"ratePerS", 65'841},
                         {"burst", 65'841}};
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

Request draft(const std::string &kind, const std::string &part, int number)
{
    Request request;
    request.host = "basket.example";
    request.path = "/draft/pickup";
    request.key = "key-of-press";
    request.model = "daka510000";
    request.prefix =
        CommonPart + ":100," + part + ":98," + std::to_string(700'000 + number) + ":628";
    request.tokens = "826,60";
    request.body = std::string(1700, 'b');
    request.kind = kind;
    request.deadline = Milliseconds(25'000);
    return request;
}

Verdict play()
{
    const char *recordPath = std::getenv("RECORD");
    Record record(recordPath == nullptr ? "record.txt" : recordPath);
    const TemporaryFolder folder;
    Fleet fleet(record, folder.path());
    Store store({Fleet::outsideIp(0), fleet.ports().store});
    store.put("config", "main", configuration());
    const std::vector<std::string> zones{"hobart-a", "hobart-b", "kingston"};
    for (const std::string &zone : zones) {
        fleet.add("front-" + zone + "-1", zone);
        fleet.add("front-" + zone + "-2", zone);
    }
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int n = 0; n < ReplicaCount; ++n) {
        ReplicaOptions options;
        options.service = "assistant-llm";
        options.zone = zones[static_cast<std::size_t>(n) % zones.size()];
        options.address = {Fleet::outsideIp(1 + n), fleet.ports().replicas};
        options.slots = 48;
        options.models = {"daka510000"};
        options.crashingPart = CrashingPart;
        // The engine ends after the head of its answer.
        options.eventsBeforeCrash = 0;
        replicas.push_back(std::make_unique<Replica>(store, record, options));
    }
    fleet.startAll();
    if (!fleet.waitReady(Steady::now() + std::chrono::seconds(20))) {
        throw std::runtime_error("the fleet is not ready");
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    Clients clients(record, fleet);
    const std::vector<std::string> names = fleet.names();
    int number = 0;
    const auto load = [&](Milliseconds time) {
        const TimePoint end = Steady::now() + time;
        while (Steady::now() < end) {
            const std::string &name = names[static_cast<std::size_t>(number) % names.size()];
            clients.send(name, draft("sound", SoundPart, number));
            ++number;
            std::this_thread::sleep_for(Milliseconds(250));
        }
    };
    load(std::chrono::seconds(4));
    for (int round = 0; round <= Kills; ++round) {
        if (round > 0 && isTroubled()) {
            for (const std::string &name : names) {
                fleet.kill(name);
            }
            std::this_thread::sleep_for(RestartDelay);
            fleet.startAll();
        }
        for (int n = 0; n < PoisonPerRound; ++n) {
            load(PoisonInterval);
            const std::string &name = names[static_cast<std::size_t>(number) % names.size()];
            clients.send(name, draft("poison", CrashingPart, number));
            ++number;
        }
    }
    load(std::chrono::seconds(2));
    clients.finish();

    std::vector<TimePoint> crashes;
    for (const auto &replica : replicas) {
        const std::vector<TimePoint> own = replica->crashes();
        crashes.insert(crashes.end(), own.begin(), own.end());
    }
    std::sort(crashes.begin(), crashes.end());
    const auto sent = record.sent();
    const TimePoint fifthCrash =
        crashes.size() >= CrashesOfRule ? crashes[CrashesOfRule - 1] : TimePoint::max();
    const auto isAfter = [fifthCrash](TimePoint at, Milliseconds time) {
        return fifthCrash != TimePoint::max() && at > fifthCrash + time;
    };
    int lateCount = 0;
    for (const Arrival &arrival : record.arrivals()) {
        const Sent &request = sent.at(arrival.id);
        // Between two kills, PoisonInterval is longer than contactMs, so the machines are in touch.
        lateCount += request.kind == "poison" && isAfter(arrival.at, ContactTime) ? 1 : 0;
    }
    int brokenOff = 0;
    for (const auto &[id, request] : sent) {
        brokenOff += request.kind == "sound" && request.status == 200 && !request.isWhole ? 1 : 0;
    }
    record.note(std::to_string(crashes.size()) + " crashes; " + std::to_string(lateCount)
                + " requests with the part reached replicas later than "
                + std::to_string(ContactTime.count()) + " ms after the fifth crash ("
                + std::to_string(AllowedArrivals) + " allowed); " + std::to_string(brokenOff)
                + " sound streams were broken off midway");
    return lateCount > AllowedArrivals ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main()
{
    return runScenario(play);
}
