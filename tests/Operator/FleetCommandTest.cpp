#include "CommandFixture.h"

#include "marigoldspool/Operator/Explain.h"

#include <nlohmann/json.hpp>

using namespace marigoldspool;

namespace {

using Json = nlohmann::json;

constexpr const char *Platform = "--platform=127.0.0.1:7000";
constexpr std::string_view Rules = "zone a # asked for by: Ann\n"
                                   "zone b state=drained # asked for by: Ann\n";

bool contains(const std::ostringstream &stream, std::string_view text)
{
    return stream.str().find(text) != std::string::npos;
}

} // namespace

TEST_CASE_FIXTURE(CommandFixture, "status merges all reports and lists unreachable instances")
{
    publishAsOtherOperator(std::string(Rules), 0);
    InstanceStatus first = statusOf("i-1", 1);
    first.endpoints = {
        {EndpointId("e"), ZoneName("a"), InstanceStatus::EndpointState::Serving, 4, 1, false}};
    first.models = {{ModelName("m"), InstanceStatus::ModelState::Ready, {EndpointId("e")}}};
    InstanceStatus second = statusOf("i-2", 0);
    second.endpoints = {
        {EndpointId("e"), ZoneName("a"), InstanceStatus::EndpointState::Leaving, 4, 2, true}};
    second.queues = {{"model:m", 5}};
    addInstance("i-1", "127.0.0.1:1", first);
    addInstance("i-2", "127.0.0.1:2", second);
    CHECK(run({"status", Platform}) == ExitCode::Success);
    CHECK(contains(out, "published in the store: 1"));
    CHECK(contains(out, "leaving,serving"));
    CHECK(contains(out, "drained"));
    addInstance("i-3", "127.0.0.1:3", std::nullopt);
    CHECK(run({"status", Platform, "--json"}) == ExitCode::Unreachable);
    const Json json = Json::parse(out.str());
    CHECK(json["published_version"] == 1);
    CHECK(json["zones"]["a"]["instances"] == 2);
    CHECK(json["instances"].size() == 3);
    CHECK(json["instances"][1]["status"]["queues"][0]["length"] == 5);
    CHECK(json["instances"][2]["answered"] == false);
}

TEST_CASE_FIXTURE(CommandFixture, "status with --instances works while the store is unreachable")
{
    addInstance("i-1", "127.0.0.1:1", statusOf("i-1", 7));
    store.setFaults([](std::string_view, std::string_view) {
        return FaultyObjectStore::Fault::Unavailable;
    });
    CHECK(run({"status", Platform}) == ExitCode::Unreachable);
    CHECK(run({"status", Platform, "--instances=127.0.0.1:1"}) == ExitCode::Success);
    CHECK(contains(out, "published in the store: unknown"));
    CHECK(contains(out, "i-1"));
    CHECK(run({"status", "--instances=127.0.0.1:1"}) == ExitCode::Success);
    CHECK(run({"status", "--instances=here"}) == ExitCode::Usage);
    CHECK(run({"status"}) == ExitCode::Usage);
}

TEST_CASE_FIXTURE(CommandFixture, "an instance that returns an HTTP error counts as unreachable")
{
    addInstance("i-1", "127.0.0.1:1", std::nullopt);
    instances.answers["127.0.0.1:1"] = {503, "{}"};
    CHECK(run({"status", Platform}) == ExitCode::Unreachable);
    instances.answers["127.0.0.1:1"] = {200, "{}"};
    CHECK(run({"status", Platform}) == ExitCode::Unreachable);
    CHECK(contains(err, "cannot be read"));
}

TEST_CASE_FIXTURE(CommandFixture, "wait ends when the last live instance has the version")
{
    addInstance("i-1", "127.0.0.1:1", statusOf("i-1", 5));
    addInstance("i-2", "127.0.0.1:2", statusOf("i-2", 3));
    addInstance("i-3", "127.0.0.1:3", std::nullopt);
    listed.push_back({"i-4", "a", "127.0.0.1:4", PlatformState::Leaving});
    int sleeps = 0;
    onSleep = [&] {
        ++sleeps;
        if (sleeps == 2) {
            instances.answers["127.0.0.1:2"] = {200, serializeStatus(statusOf("i-2", 6))};
        }
        if (sleeps == 4) {
            // The unreachable instance is removed from the list.
            listed.erase(listed.begin() + 2);
        }
    };
    CHECK(run({"wait", "--in-force=5", "--timeout=30s", Platform}) == ExitCode::Success);
    CHECK(sleeps == 4);
    CHECK(contains(out, "at 2 instances"));
}

TEST_CASE_FIXTURE(CommandFixture, "wait times out and names the instances without the version")
{
    addInstance("i-1", "127.0.0.1:1", statusOf("i-1", 4));
    const SteadyTime begin = clock.now();
    CHECK(run({"wait", "--in-force=5", "--timeout=3s", Platform}) == ExitCode::TimedOut);
    CHECK(clock.now() - begin == std::chrono::seconds(3));
    CHECK(contains(err, "i-1 at 127.0.0.1:1 has version 4"));
    CHECK(run({"wait", "--in-force=5", "--timeout=0s", Platform, "--json"}) == ExitCode::TimedOut);
    CHECK(Json::parse(out.str())["in_force"] == false);
    listed.clear();
    CHECK(run({"wait", "--in-force=1", "--timeout=1s", Platform}) == ExitCode::TimedOut);
    CHECK(contains(err, "no live instance"));
    store.setFaults([](std::string_view, std::string_view) {
        return FaultyObjectStore::Fault::Unavailable;
    });
    CHECK(run({"wait", "--in-force=1", "--timeout=1s", Platform}) == ExitCode::TimedOut);
    CHECK(run({"wait", Platform}) == ExitCode::Usage);
    CHECK(run({"wait", "--in-force=0", Platform}) == ExitCode::Usage);
}

TEST_CASE_FIXTURE(CommandFixture, "explain asks the first instance that answers")
{
    ExplainAnswer answer;
    answer.instance = InstanceId("i-2");
    answer.reason = RefusalReason::ZoneDrained;
    answer.message = "all zones are drained";
    answer.steps = {{"zone", false, "b is drained"}};
    addInstance("i-1", "127.0.0.1:1", std::nullopt);
    addInstance("i-2", "127.0.0.1:2", std::nullopt);
    instances.answers["127.0.0.1:2"] = {200, serializeExplanation(answer)};
    CHECK(run({"explain", "workspace=w", "path=/v1/chat/completions", "model=m", Platform})
          == ExitCode::Success);
    CHECK(contains(out, "zone_drained"));
    CHECK(contains(out, "b is drained"));
    REQUIRE(instances.targets.size() == 2);
    CHECK(parseExplainTarget(instances.targets[1])->model == ModelName("m"));
    CHECK(run({"explain", "path=/x", "--instances=127.0.0.1:2", "--json"}) == ExitCode::Success);
    CHECK(Json::parse(out.str())["code"] == "zone_drained");
    CHECK(run({"explain", "path=/x", "--instances=127.0.0.1:1"}) == ExitCode::Unreachable);
    CHECK(run({"explain", "path=/x", "zone=a", Platform}) == ExitCode::Usage);
    CHECK(run({"explain", "workspace=w", Platform}) == ExitCode::Usage);
    listed.clear();
    CHECK(run({"explain", "path=/x", Platform}) == ExitCode::NotFound);
}
