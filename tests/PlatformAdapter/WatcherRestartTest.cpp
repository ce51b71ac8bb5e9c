// Changes of the store while the instances that watch it for the others restart.
#include "RequestPathFixture.h"

#include "marigoldspool/Peer/PeerTable.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

class WatcherRestartFixture : public RequestPathFixture
{
public:
    WatcherRestartFixture()
    {
        for (const char *name : {"front-1", "front-2", "front-3", "front-4"}) {
            ids.emplace_back(name);
        }
        daemon.reset();
        for (const InstanceId &id : ids) {
            start(id);
        }
        // All instances are in one zone, so the order alone decides.
        watchers = rendezvousOrder("watchers", ids);
        watchers.resize(2);
        addReplica("i-1", "llm", answerOk);
        runFor(4s);
        addReplica("i-2", "app", answerOk);
        runFor(3s);
    }

    void start(const InstanceId &id)
    {
        instances[id] = addInstance(id.str());
        addresses[id] = callerAddress;
    }

    void runFor(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    // Changes the store while both watching instances are down. The first of them sends changes to
    // the others, the second one only beacons.
    void restartWatchersAround(const std::function<void()> &change)
    {
        for (const InstanceId &id : watchers) {
            instances.erase(id);
            runFor(300ms);
        }
        change();
        SUBCASE("both are back")
        {
            start(watchers[0]);
            runFor(300ms);
        }
        SUBCASE("the first one stays down") { }
        start(watchers[1]);
        runFor(300ms);
    }

    // The statuses that the instances which did not restart answer with.
    std::set<int> statusesElsewhere(const std::string &target)
    {
        std::set<int> statuses;
        for (const InstanceId &id : ids) {
            if (std::find(watchers.begin(), watchers.end(), id) != watchers.end()) {
                continue;
            }
            callerAddress = addresses[id];
            for (int i = 0; i < 10; ++i) {
                statuses.insert(callAndWait(target)->status);
            }
        }
        return statuses;
    }

    std::vector<InstanceId> ids;
    std::vector<InstanceId> watchers;
    std::map<InstanceId, std::unique_ptr<FleetDaemon>> instances;
    std::map<InstanceId, std::string> addresses;
};

} // namespace

// 166 to 214 requests of the other instances reached an endpoint that had left, until it exited.
TEST_CASE_FIXTURE(WatcherRestartFixture,
                  "an endpoint that is removed while both watching instances restart is not used")
{
    CHECK(statusesElsewhere("/app/x") == std::set<int>{200});
    restartWatchersAround([this] {
        store.erase("servers", "i-2");
    });
    // The users' bound.
    runFor(2s);
    CHECK(statusesElsewhere("/app/x") == std::set<int>{503});
}

// A zone whose evacuation ended meanwhile stayed unused.
TEST_CASE_FIXTURE(WatcherRestartFixture,
                  "an evacuation that ends while both watching instances restart ends everywhere")
{
    store.put("evacuations", "z1", json::object());
    runFor(4s);
    CHECK(statusesElsewhere("/app/x") == std::set<int>{503});
    restartWatchersAround([this] {
        store.erase("evacuations", "z1");
    });
    // The users' bound.
    runFor(5s);
    CHECK(statusesElsewhere("/app/x") == std::set<int>{200});
}
