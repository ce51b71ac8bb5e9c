#include "marigoldspool/Routing/Admission.h"
#include "marigoldspool/Routing/HomeSelector.h"

#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Support/Digest.h"

#include <string>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<const Configuration> makeConfiguration(const std::string &zoneState = "serving")
{
    const std::string rules = "zone a state=" + zoneState + R"( # asked for by: t
zone b state=serving # asked for by: t
endpoint e-a zone=a address=127.0.0.1:1 kind=engine memory=8GiB # asked for by: t
endpoint e-b zone=b address=127.0.0.1:2 kind=engine memory=8GiB # asked for by: t
endpoint s-b zone=b address=127.0.0.1:3 kind=service pool=p # asked for by: t
model m version=1 memory=1GiB # asked for by: t
adapter m-adapter base=m version=1 memory=1MiB # asked for by: t
model only-b version=1 memory=1GiB zones=b # asked for by: t
workspace w rate=10 burst=10 share=2 # asked for by: t
workspace cautious rate=10 burst=10 outage-keys=refuse # asked for by: t
key w digest=sha256:)"
        + sha256Hex("good") + R"( # asked for by: t
key w digest=sha256:)"
        + sha256Hex("gone") + R"( state=withdrawn # asked for by: t
key cautious digest=sha256:)"
        + sha256Hex("careful") + R"( # asked for by: t
route chat kind=model path=/v1/chat/completions idempotent=yes deadline=3s # asked for by: t
route book kind=service pool=p path=/book idempotent=no cost=5 workspaces=w # asked for by: t
route open kind=service pool=p path=/open open=yes # asked for by: t
)";
    const ParseResult result = parseRules("rules", rules);
    for (const RuleProblem &problem : result.problems) {
        INFO(problem.line << ": " << problem.cause);
        REQUIRE(problem.severity != Severity::Error);
    }
    REQUIRE(result.configuration);
    return result.configuration;
}

tl::expected<Request, Refusal> admit(const std::string &path, const std::string &key,
                                     const std::string &model = {}, Duration age = 0s,
                                     const std::string &deadline = {})
{
    std::vector<HeaderField> headers;
    if (!key.empty()) {
        headers.push_back({"authorization", "Bearer " + key});
    }
    if (!deadline.empty()) {
        headers.push_back({"X-Deadline-Ms", deadline});
    }
    IncomingRequest incoming;
    incoming.id = RequestId("r");
    incoming.path = path;
    incoming.headers = headers;
    incoming.model = ModelName(model);
    incoming.modelCost = 7;
    return admitRequest(*makeConfiguration(), incoming, SteadyTime(100s), age);
}

RefusalReason reasonOf(const tl::expected<Request, Refusal> &result)
{
    REQUIRE(!result);
    CHECK(result.error().ran == RanState::No);
    CHECK(!result.error().remedy.empty());
    return result.error().reason;
}

} // namespace

TEST_CASE("a request is admitted only for the workspace of its key")
{
    const auto request = admit("/v1/chat/completions", "good", "m");
    REQUIRE(request);
    CHECK(request->workspace == WorkspaceName("w"));
    CHECK(request->share == 2);
    CHECK(request->cost == 7);
    CHECK(request->deadline == SteadyTime(103s));
    CHECK(reasonOf(admit("/v1/chat/completions", "", "m")) == RefusalReason::KeyMissing);
    CHECK(reasonOf(admit("/v1/chat/completions", "bad", "m")) == RefusalReason::KeyUnknown);
    CHECK(reasonOf(admit("/v1/chat/completions", "gone", "m")) == RefusalReason::KeyWithdrawn);
    CHECK(reasonOf(admit("/book", "careful")) == RefusalReason::ModelNotAllowed);
    const auto open = admit("/open", "");
    REQUIRE(open);
    CHECK(open->workspace.empty());
}

TEST_CASE(
    "keys of workspaces with outage-keys=refuse are refused while the configuration is unconfirmed")
{
    CHECK(admit("/v1/chat/completions", "careful", "m", 9s));
    CHECK(reasonOf(admit("/v1/chat/completions", "careful", "m", 11s))
          == RefusalReason::StoreUnavailable);
    CHECK(admit("/v1/chat/completions", "good", "m", 1h));
}

TEST_CASE("unknown routes, unknown models and malformed deadlines have distinct refusal reasons")
{
    CHECK(reasonOf(admit("/nowhere", "good")) == RefusalReason::RouteUnknown);
    CHECK(reasonOf(admit("/v1/chat/completions", "good", "x")) == RefusalReason::ModelUnknown);
    CHECK(reasonOf(admit("/v1/chat/completions", "good")) == RefusalReason::Malformed);
    for (const char *deadline : {"0", "-1", "1e3", "99999999999999999999", "5s", " 5"}) {
        CAPTURE(deadline);
        CHECK(reasonOf(admit("/v1/chat/completions", "good", "m", 0s, deadline))
              == RefusalReason::Malformed);
    }
    CHECK(admit("/v1/chat/completions", "good", "m", 0s, "250")->deadline
          == SteadyTime(100s + 250ms));
}

TEST_CASE("all zones select the same home for a model, so that one replica serves them all")
{
    ManualClock clock;
    PeerTable peersOfA(InstanceId("a1"), ZoneName("a"), clock);
    PeerTable peersOfB(InstanceId("b1"), ZoneName("b"), clock);
    Heartbeat heartbeat;
    heartbeat.zone = ZoneName("b");
    peersOfA.recordHeartbeat(InstanceId("b1"), 1, heartbeat);
    heartbeat.zone = ZoneName("a");
    peersOfB.recordHeartbeat(InstanceId("a1"), 1, heartbeat);
    const auto configuration = makeConfiguration();
    const Target model{ModelName("m"), {}};
    const auto home = selectHome(*configuration, peersOfA, model, ZoneName("a"));
    REQUIRE(home);
    CHECK(selectHome(*configuration, peersOfB, model, ZoneName("b"))->instance == home->instance);
    const Target adapter{ModelName("m-adapter"), {}};
    CHECK(servingZones(*configuration, adapter, ZoneName("a"))
          == servingZones(*configuration, model, ZoneName("b")));
    const auto next = selectHome(*configuration, peersOfA, model, ZoneName("a"), {home->zone});
    REQUIRE(next);
    CHECK(next->zone != home->zone);
    CHECK(!selectHome(*configuration, peersOfA, model, ZoneName("a"),
                      {ZoneName("a"), ZoneName("b")}));
}

TEST_CASE("a home is selected only in zones where the target may run and that are not drained")
{
    ManualClock clock;
    PeerTable peers(InstanceId("a1"), ZoneName("a"), clock);
    Heartbeat heartbeat;
    heartbeat.zone = ZoneName("b");
    peers.recordHeartbeat(InstanceId("b1"), 1, heartbeat);
    const ZoneName own("a");
    const auto configuration = makeConfiguration();
    const Target onlyB{ModelName("only-b"), {}};
    CHECK(selectHome(*configuration, peers, onlyB, own)->instance == InstanceId("b1"));
    CHECK(selectHome(*configuration, peers, Target{{}, "p"}, own)->instance == InstanceId("b1"));
    const Target model{ModelName("m"), {}};
    const auto drained = makeConfiguration("drained");
    CHECK(selectHome(*drained, peers, model, own)->instance == InstanceId("b1"));
}

TEST_CASE("without a reachable serving zone a request is refused as not run, with a retry time")
{
    ManualClock clock;
    const PeerTable peers(InstanceId("a1"), ZoneName("a"), clock);
    const auto home =
        selectHome(*makeConfiguration(), peers, Target{ModelName("only-b"), {}}, ZoneName("a"));
    REQUIRE(!home);
    CHECK(home.error().reason == RefusalReason::NoCapacity);
    CHECK(home.error().ran == RanState::No);
    CHECK(home.error().retryAfter > Duration::zero());
}
