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
        store.refuseCalls = true;
        runFor(2s);
        store.restore(copy);
        store.refuseCalls = false;
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
