// Instances behind a link on which a large configuration takes longer than a small answer may.
#include "RequestPathFixture.h"

#include "System/LoopbackProxy.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;
using system_tests::LoopbackProxy;

namespace {

/// The users' bound from the acknowledgement of a version until it is in force.
constexpr Duration VersionInForce = 3s;
/// Takes 2 s for the configuration below.
constexpr std::size_t LinkBytesPerSecond = 300'000;
constexpr int AddedRoutes = 2'800;

json routeTo(const std::string &service, const std::string &name)
{
    return {{"name", "r-" + name},  {"host", "h"},        {"prefix", "/" + name + "/"},
            {"kind", "idempotent"}, {"service", service}, {"attempts", 2},
            {"timeoutMs", 3000},    {"goalMs", 1000},     {"priority", 2},
            {"resumable", false},   {"public", false},    {"sticky", false},
            {"gapTargetMs", 300}};
}

class SlowLinkFixture : public RequestPathFixture
{
public:
    SlowLinkFixture()
    {
        addReplica("i-1", "app", [](const HttpRequest &request, const auto &sink) {
            answerOk(request, sink);
        });
        daemon.reset();
    }

    void addRoutes()
    {
        for (int i = 0; i < AddedRoutes; ++i) {
            routes.push_back(routeTo("app", "big" + std::to_string(i)));
        }
        configure(2, {"k1"});
    }

    // Checks that a request on a route of the newest version is served within \p bound.
    void checkInForce(const std::string &target, Duration bound = VersionInForce)
    {
        const SteadyTime start = clock.now();
        int status = 0;
        while (status != 200 && clock.now() - start < bound) {
            status = callAndWait(target)->status;
            io.restart();
            io.run_for(25ms);
        }
        CHECK(status == 200);
    }

    /// The way of one instance to the store.
    LoopbackProxy storeLink{io, store.address()};
};

/// One instance whose connections to the store share a slow link.
class SlowStoreFixture : public SlowLinkFixture
{
public:
    SlowStoreFixture()
    {
        storeLink.setRate(LinkBytesPerSecond);
        daemon = addInstance("front-1", {}, storeLink.address());
        callUntilStatus(200, "/app/x");
    }
};

/// One instance that has lost the store and reaches its peers over a slow link.
class SlowPeersFixture : public SlowLinkFixture
{
public:
    SlowPeersFixture()
        : peerAddress("127.0.0.1:" + std::to_string(takeFreePort()))
        , peerLink(io, peerAddress)
    {
        peerLink.setRate(LinkBytesPerSecond);
        FleetOptions options;
        options.peerAddress = peerAddress;
        daemon = addInstance("front-9", std::move(options), storeLink.address());
        ownMetrics = daemonMetrics;
        const std::string ownAddress = callerAddress;
        REQUIRE(runUntil(io, [this] {
            return store.has("instances", "front-9");
        }));
        // The others connect to it over the link.
        store.put("instances", "front-9", {{"zone", "z1"}, {"peer", peerLink.address()}});
        for (const char *name : {"front-1", "front-2", "front-3"}) {
            peers.push_back(addInstance(name));
            peerMetrics.push_back(daemonMetrics);
        }
        callerAddress = ownAddress;
        callUntilStatus(200, "/app/x");
        // Wait until the instances are connected.
        io.restart();
        io.run_for(2s);
        storeLink.setFault(LoopbackProxy::Fault::Refuse);
        storeLink.resetConnections();
    }

    double lostLinks() const
    {
        double count = 0;
        for (const char *reason : {"silent", "closed"}) {
            count += ownMetrics->counterValue("marigoldspool_peer_disconnects_total",
                                              {{"reason", reason}});
        }
        return count;
    }

    double relayedBytes() const
    {
        double bytes = 0;
        for (const Metrics *it : peerMetrics) {
            bytes += it->counterValue("marigoldspool_relayed_bytes_total", {{"prefix", "config/"}});
        }
        return bytes;
    }

    std::string peerAddress;
    LoopbackProxy peerLink;
    const Metrics *ownMetrics = nullptr;
    std::vector<std::unique_ptr<FleetDaemon>> peers;
    std::vector<const Metrics *> peerMetrics;
};

} // namespace

// Each read of the configuration ended at the time limit of a call, at any size of the change, and
// the next one began again with the first byte.
TEST_CASE_FIXTURE(SlowStoreFixture, "a version that takes longer than a call's timeout is read")
{
    addRoutes();
    checkInForce("/big2799/x");
    routes.push_back(routeTo("app", "small"));
    configure(3, {"k1"});
    checkInForce("/small/x");
}

TEST_CASE_FIXTURE(SlowStoreFixture, "an instance that starts beside a large configuration serves")
{
    addRoutes();
    daemon.reset();
    daemon = addInstance("front-1", {}, storeLink.address());
    checkInForce("/big2799/x");
}

// Calls behind large answers waited for as long as these took.
TEST_CASE_FIXTURE(SlowLinkFixture, "a call that waits behind large answers ends at its deadline")
{
    addRoutes();
    storeLink.setRate(LinkBytesPerSecond);
    constexpr Duration Timeout = 500ms;
    auto objectStore = makePlatformStore(io, storeLink.address(), Timeout, metrics);
    REQUIRE(objectStore);
    std::size_t lists = 0;
    for (int i = 0; i < 3; ++i) {
        (*objectStore)->list("config/", [&lists](const Expected<ListResult> &result) {
            lists += result ? 1 : 0;
        });
    }
    std::optional<Error> error;
    const SteadyTime start = clock.now();
    (*objectStore)
        ->put("locks/a", 0, "{}", WriteId("w"), [&error](const Expected<std::uint64_t> &result) {
            REQUIRE_FALSE(result);
            error = result.error();
        });
    REQUIRE(runUntil(io, [&error] {
        return error.has_value();
    }));
    CHECK(clock.now() - start < 2 * Timeout);
    CHECK(error->kind == ErrorKind::Unavailable);
    REQUIRE(runUntil(io, [&lists] {
        return lists == 3;
    }));
}

// All peers sent the whole configuration every 300 ms until the first copy had arrived; their
// heartbeats waited behind the copies, and the connections were closed as silent.
TEST_CASE_FIXTURE(SlowPeersFixture, "a large version arrives through peers over a slow link")
{
    addRoutes();
    const std::size_t size = configuration(2, {"k1"}).dump().size();
    const auto carrying = std::chrono::milliseconds(size * 1000 / LinkBytesPerSecond);
    checkInForce("/big2799/x", carrying + VersionInForce);
    CHECK(relayedBytes() < 1.5 * static_cast<double>(size));
    io.restart();
    io.run_for(4s);
    CHECK(lostLinks() == 0);
    routes.push_back(routeTo("app", "small"));
    configure(3, {"k1"});
    checkInForce("/small/x", carrying + VersionInForce);
}

// An instance that cannot know whether a route has been added answered 404, which callers take as
// final. What it knows it goes on serving.
TEST_CASE_FIXTURE(SlowStoreFixture, "an instance with an outdated configuration denies no route")
{
    CHECK(callAndWait("/none/x")->status == 404);
    CHECK(callAndWait("/app/x", {}, "none")->status == 401);
    storeLink.setFault(LoopbackProxy::Fault::Refuse);
    storeLink.resetConnections();
    // The users' bound for a version to be in force, and the time between two confirmations.
    io.restart();
    io.run_for(3500ms);
    const auto refused = callAndWait("/none/x");
    CHECK(refused->status == 503);
    CHECK_FALSE(refused->retryAfter.empty());
    CHECK(callAndWait("/app/x", {}, "none")->status == 503);
    CHECK(callAndWait("/app/x")->status == 200);
    storeLink.setFault(LoopbackProxy::Fault::None);
    callUntilStatus(404, "/none/x");
}
