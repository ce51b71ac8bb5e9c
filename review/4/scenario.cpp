// A replica's entry is removed while the two instances that watch the store for the others are
// down.
#include "../standins/Fleet.h"
#include "../standins/Replica.h"

#include <algorithm>
#include <random>

using namespace marigoldspool::review;

namespace {

constexpr Milliseconds DrainBound(2000);
constexpr int Rounds = 2;
// Processes that end are started again "after a short delay".
constexpr Milliseconds RestartDelay(500);
// After the first kill.
constexpr Milliseconds SecondKill(350);
constexpr Milliseconds Removal(420);
// The replica serves on for drainMs and "a little longer (at times many seconds)".
constexpr Milliseconds ServesOnFor(8000);

Json configuration()
{
    const Json route = {{"name", "r-confirm"},   {"host", "basket.example"},
                        {"prefix", "/confirm/"}, {"kind", "non_idempotent"},
                        {"timeoutMs", 600},      {"goalMs", 100},
                        {"priority", 2},         {"service", "basket-app"},
                        {"attempts", 1},         {"public", false},
                        {"sticky", false},       {"resumable", false}};
    const Json service = {
        {"name", "basket-app"}, {"healthPath", "/health"}, {"maxConns", 96}, {"protocol", "h1"},
        {"tls", false},         {"coldStartS", 0.0},       {"coldPerS", 0.0}};
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

Request confirmation()
{
    Request request;
    request.host = "basket.example";
    request.path = "/confirm/collected";
    request.key = "key-of-press";
    request.body = std::string(600, 'b');
    request.kind = "confirm";
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
    for (const char *name : {"front-hobart-a-1", "front-hobart-a-2", "front-hobart-a-3"}) {
        fleet.add(name, "hobart-a");
    }
    fleet.add("front-hobart-b-1", "hobart-b");
    fleet.add("front-kingston-1", "kingston");
    fleet.add("front-kingston-2", "kingston");
    std::vector<std::unique_ptr<Replica>> replicas;
    const auto addReplica = [&](const std::string &zone) {
        ReplicaOptions options;
        options.service = "basket-app";
        options.zone = zone;
        options.work = Milliseconds(60);
        options.address = {Fleet::outsideIp(1 + static_cast<int>(replicas.size())),
                           fleet.ports().replicas};
        replicas.push_back(std::make_unique<Replica>(store, record, options));
    };
    addReplica("hobart-b");
    addReplica("kingston");
    for (const std::string &name : fleet.names()) {
        fleet.start(name);
        // All machines start within 0.3 s.
        std::this_thread::sleep_for(Milliseconds(50));
    }
    if (!fleet.waitReady(Steady::now() + std::chrono::seconds(20))) {
        throw std::runtime_error("the fleet is not ready");
    }
    Clients clients(record, fleet);
    std::set<std::string> down;
    std::minstd_rand random(static_cast<unsigned>(Steady::now().time_since_epoch().count()));
    const auto load = [&](Milliseconds time) {
        const TimePoint end = Steady::now() + time;
        const std::vector<std::string> names = fleet.names();
        while (Steady::now() < end) {
            const std::string &name = names[random() % names.size()];
            if (down.count(name) == 0) {
                clients.send(name, confirmation());
            }
            std::this_thread::sleep_for(std::min<Steady::duration>(
                Milliseconds(25), std::max<Steady::duration>(end - Steady::now(), {})));
        }
    };
    const auto kill = [&](const std::string &name) {
        if (isTroubled()) {
            fleet.kill(name);
            down.insert(name);
        }
    };
    const auto restart = [&](const std::string &name) {
        if (isTroubled()) {
            fleet.start(name);
            down.erase(name);
        }
    };
    // The instances that watch the store for the others in a fleet of these six names.
    const std::string first = "front-hobart-b-1";
    const std::string second = "front-kingston-2";
    std::map<std::string, TimePoint> removedAt;
    for (int round = 0; round < Rounds; ++round) {
        load(Milliseconds(4000));
        addReplica("hobart-a");
        load(Milliseconds(4000));
        Replica &leaving = *replicas.back();
        kill(first);
        load(SecondKill);
        kill(second);
        load(Removal - SecondKill);
        removedAt[leaving.id()] = leaving.unlist();
        load(RestartDelay - Removal);
        restart(first);
        load(SecondKill);
        restart(second);
        std::thread exit([&leaving] {
            std::this_thread::sleep_for(ServesOnFor);
            leaving.end();
        });
        load(ServesOnFor + Milliseconds(1000));
        exit.join();
    }
    clients.finish();

    const auto sent = record.sent();
    int lateCount = 0;
    int lostCount = 0;
    for (const Arrival &arrival : record.arrivals()) {
        const Sent &request = sent.at(arrival.id);
        const auto removed = removedAt.find(arrival.replica);
        // The two that are killed don't count at all, whether in touch or not.
        const bool wasKilled = request.node == first || request.node == second;
        if (removed == removedAt.end() || !arrival.hasRun || wasKilled
            || arrival.at <= removed->second + DrainBound) {
            continue;
        }
        ++lateCount;
        lostCount += request.status == 200 && request.isWhole ? 0 : 1;
    }
    record.note(
        std::to_string(lateCount) + " requests ran at a replica later than "
        + std::to_string(DrainBound.count())
        + " ms after the store had acknowledged that it is gone, sent by machines in touch; "
        + std::to_string(lostCount) + " of them were not answered with success");
    return lateCount > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main()
{
    return runScenario(play);
}
