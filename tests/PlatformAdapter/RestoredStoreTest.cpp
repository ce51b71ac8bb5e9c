// A store that comes back from a copy that is some seconds old.
#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

class RestoredStoreFixture : public RequestPathFixture
{
public:
    RestoredStoreFixture()
    {
        store.era = 1;
        addReplica("i-1", "app", answerOk);
        callUntilStatus(200, "/app/x");
    }

    void runFor(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    // Adds a route of its own to each version.
    void addRoute(int version)
    {
        json route = routes[0];
        route["name"] = "added-" + std::to_string(version);
        route["prefix"] = "/added-" + std::to_string(version) + "/";
        routes.push_back(route);
        configure(version, {"k1"});
    }

    void restore(const StandinStore::Copy &copy)
    {
        store.refuseCalls = true;
        runFor(1s);
        store.restore(copy);
        store.refuseCalls = false;
    }

    // The status at all instances, or 0 if they differ.
    int statusAtAll(const std::string &target)
    {
        std::set<int> statuses;
        for (const std::string &address : addresses) {
            callerAddress = address;
            statuses.insert(callAndWait(target)->status);
        }
        return statuses.size() == 1 ? *statuses.begin() : 0;
    }

    std::vector<std::string> addresses{callerAddress};
};

} // namespace

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "a version that is written after the store was restored takes effect")
{
    std::vector<std::unique_ptr<FleetDaemon>> others;
    for (const char *name : {"front-2", "front-3", "front-4"}) {
        others.push_back(addInstance(name));
        addresses.push_back(callerAddress);
        callUntilStatus(200, "/app/x");
    }
    int version = 1;
    addRoute(++version);
    runFor(1s);
    const StandinStore::Copy copy = store.copy();
    for (int i = 0; i < 20; ++i) {
        addRoute(++version);
        runFor(50ms);
    }
    runFor(500ms);
    for (int restores = 0; restores < 2; ++restores) {
        CAPTURE(restores);
        restore(copy);
        runFor(500ms);
        // What the operator had written before stays in force, and is written again.
        CHECK(statusAtAll("/added-" + std::to_string(version) + "/x") == 200);
        configure(version, {"k1"});
        runFor(1s);
        addRoute(++version);
        // The users' bound.
        runFor(2s);
        CHECK(statusAtAll("/added-" + std::to_string(version) + "/x") == 200);
    }
}

TEST_CASE_FIXTURE(
    RestoredStoreFixture,
    "an endpoint that the store's copy lacks is used until it has had time to register")
{
    const StandinStore::Copy copy = store.copy();
    store.erase("servers", "i-1");
    const StandinReplica &later = addReplica("i-2", "app", answerOk);
    runFor(1s);
    restore(copy);
    for (int i = 0; i < 3; ++i) {
        runFor(500ms);
        CHECK(callAndWait("/app/x")->status == 200);
    }
    // The entry of i-1 is back, but i-1 has gone.
    CHECK(replicas[0]->requests.size() <= 1);
    store.put("servers", "i-2", later.entry("app"));
    store.erase("servers", "i-1");
    runFor(6s);
    CHECK(callAndWait("/app/x")->status == 200);
    CHECK(replicas[0]->requests.size() <= 1);
}

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "an endpoint that has left stays unused when its old entry is back")
{
    addReplica("i-2", "app", answerOk);
    runFor(1s);
    const StandinStore::Copy copy = store.copy();
    store.put("servers", "i-1", replicas[0]->entry("app", "draining"));
    SUBCASE("draining") { }
    SUBCASE("removed")
    {
        runFor(700ms);
        store.erase("servers", "i-1");
    }
    runFor(1s);
    const std::size_t before = replicas[0]->requests.size();
    restore(copy);
    for (int i = 0; i < 20; ++i) {
        runFor(200ms);
        CHECK(callAndWait("/app/x")->status == 200);
    }
    CHECK(replicas[0]->requests.size() == before);
}

TEST_CASE_FIXTURE(
    RestoredStoreFixture,
    "an evacuation that the store's copy lacks stays in force until it is written again")
{
    const StandinStore::Copy copy = store.copy();
    store.put("evacuations", "z1", json::object());
    callUntilStatus(503, "/app/x");
    restore(copy);
    runFor(2s);
    CHECK(callAndWait("/app/x")->status == 503);
    runFor(5s);
    CHECK(callAndWait("/app/x")->status == 200);
}

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "an instance registers again and models are loaded after the store was restored")
{
    store.erase("servers", "i-1");
    replicas.clear();
    addEngine();
    callUntilStatus(200, "/llm/x", "m");
    StandinStore::Copy copy = store.copy();
    SUBCASE("the copy has the lease")
    {
        // Renewed many times since then.
        runFor(3s);
    }
    SUBCASE("the copy has neither the lease nor the instance")
    {
        copy.objects.erase("leases");
        copy.objects.erase("instances");
        runFor(1s);
    }
    restore(copy);
    // At the latest when the lease of an unknown holder would have ended, and its orders.
    const LeaseTimes times;
    const SteadyTime latest =
        clock.now() + times.validity + times.safetyMargin + times.handoverGap + 2s;
    REQUIRE(runUntil(io, [this] {
        return store.has("instances", "front-1") && store.has("leases", "placement");
    }));
    callUntilStatus(200, "/llm/x", "n");
    CHECK(clock.now() < latest);
}

TEST_CASE_FIXTURE(RestoredStoreFixture,
                  "an endpoint that lists itself as draining and then as ready again is used")
{
    store.put("servers", "i-1", replicas[0]->entry("app", "draining"));
    callUntilStatus(503, "/app/x");
    store.put("servers", "i-1", replicas[0]->entry("app"));
    callUntilStatus(200, "/app/x");
}
