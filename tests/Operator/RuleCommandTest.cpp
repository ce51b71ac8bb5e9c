#include "CommandFixture.h"

#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Support/Digest.h"

#include <nlohmann/json.hpp>

using namespace marigoldspool;

namespace {

using Json = nlohmann::json;
using Fault = FaultyObjectStore::Fault;

constexpr const char *Platform = "--platform=127.0.0.1:7000";

std::string rulesWith(const std::string &more)
{
    return "# kept comment\n"
           "zone a # asked for by: Ann\n"
           "zone b # asked for by: Ann\n"
           "workspace w rate=1 burst=1 # asked for by: Ann\n"
        + more;
}

bool contains(const std::ostringstream &stream, std::string_view text)
{
    return stream.str().find(text) != std::string::npos;
}

} // namespace

TEST_CASE_FIXTURE(CommandFixture, "check needs no platform and shows every error with its line")
{
    CHECK(run({"check", file(rulesWith(""))}) == ExitCode::Success);
    CHECK(contains(out, "3 rules"));
    CHECK(run({"check", file("zone a\nzone b weight=x\n")}) == ExitCode::InvalidRules);
    CHECK(contains(err, ":1: error:"));
    CHECK(contains(err, ":2: error:"));
    CHECK(run({"check", file("zone a\n"), "--json"}) == ExitCode::InvalidRules);
    const Json json = Json::parse(out.str());
    CHECK(json["valid"] == false);
    CHECK(json["problems"][0]["line"] == 1);
    CHECK(run({"check", "/nonexistent/rules"}) == ExitCode::NotFound);
    CHECK(openedAddress.empty());
}

TEST_CASE_FIXTURE(CommandFixture, "diff shows what apply would change and changes nothing")
{
    publishAsOtherOperator(rulesWith(""), 0);
    const std::string changed = rulesWith("zone c # asked for by: Cyd\n");
    CHECK(run({"diff", file(changed), Platform}) == ExitCode::Success);
    CHECK(contains(out, "+ zone c"));
    CHECK(openedAddress == "127.0.0.1:7000");
    CHECK(inForce().version == 1);
    CHECK(run({"diff", file(changed), Platform, "--json"}) == ExitCode::Success);
    CHECK(Json::parse(out.str())["changes"][0]["name"] == "c");
    CHECK(run({"diff", file("zone a\n"), Platform}) == ExitCode::InvalidRules);
}

TEST_CASE_FIXTURE(CommandFixture, "apply publishes the file byte for byte, and only once")
{
    CHECK(run({"apply", file(rulesWith("")), Platform, "--author=Ann"}) == ExitCode::Success);
    CHECK(contains(out, "version 1 is in force"));
    CHECK(inForce().text == rulesWith(""));
    CHECK(inForce().author == "Ann");
    CHECK(run({"apply", file(rulesWith("")), Platform, "--json"}) == ExitCode::Success);
    CHECK(Json::parse(out.str())["changed"] == false);
    CHECK(Json::parse(out.str())["version"] == 1);
    CHECK(inForce().version == 1);
    CHECK(run({"apply", file("zone a\n"), Platform, "--json"}) == ExitCode::InvalidRules);
    CHECK(Json::parse(out.str())["problems"].size() == 1);
    CHECK(run({"show", Platform}) == ExitCode::Success);
    CHECK(out.str() == rulesWith(""));
}

TEST_CASE_FIXTURE(CommandFixture,
                  "apply does not overwrite what another operator published meanwhile")
{
    publishAsOtherOperator(rulesWith(""), 0);
    // The other operator publishes after this one has read the rules in force.
    onRunOne = [this, n = 0]() mutable {
        if (++n == 3) {
            publishAsOtherOperator(rulesWith("zone other # asked for by: Ben\n"), 1);
        }
    };
    CHECK(run({"apply", file(rulesWith("zone c # asked for by: Cyd\n")), Platform})
          == ExitCode::Conflict);
    CHECK(contains(err, "another operator"));
    CHECK(contains(err, "remedy:"));
    onRunOne = {};
    CHECK(inForce().text == rulesWith("zone other # asked for by: Ben\n"));
    // Nor does it overwrite when --expect-version names an older version.
    CHECK(run({"apply", file(rulesWith("")), Platform, "--expect-version=1", "--json"})
          == ExitCode::Conflict);
    CHECK(Json::parse(out.str())["error"]["kind"] == "conflict");
    CHECK(run({"apply", file(rulesWith("")), Platform, "--expect-version=2"}) == ExitCode::Success);
    CHECK(run({"apply", file(rulesWith("")), Platform, "--expect-version=x"}) == ExitCode::Usage);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "an unknown outcome and an unreachable store have their own exit codes")
{
    const std::string changed = rulesWith("zone c # asked for by: Cyd\n");
    publishAsOtherOperator(rulesWith(""), 0);
    store.setFaults([](std::string_view op, std::string_view key) {
        return op == "put" && key == ConfigRootKey ? Fault::LoseRequest : Fault::None;
    });
    CHECK(run({"apply", file(changed), Platform}) == ExitCode::OutcomeUnknown);
    store.setFaults([](std::string_view, std::string_view) {
        return Fault::Unavailable;
    });
    CHECK(run({"apply", file(changed), Platform}) == ExitCode::Unreachable);
    CHECK(run({"show", Platform}) == ExitCode::Unreachable);
    CHECK(run({"zone", "drain", "a", Platform}) == ExitCode::Unreachable);
}

TEST_CASE_FIXTURE(CommandFixture, "rules that cannot be read are repaired by applying them again")
{
    publishAsOtherOperator(rulesWith(""), 0);
    store.replace(store.objects(ConfigPiecePrefix)[0].key, "x");
    CHECK(run({"show", Platform}) == ExitCode::Failed);
    CHECK(contains(err, "--expect-version=1"));
    CHECK(run({"apply", file(rulesWith("")), Platform}) == ExitCode::Failed);
    CHECK(run({"apply", file(rulesWith("")), Platform, "--expect-version=1"}) == ExitCode::Success);
    CHECK(inForce().text == rulesWith(""));
    CHECK(inForce().version == 2);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "rules can be published above the version that instances still hold")
{
    CHECK(run({"apply", file(rulesWith("")), Platform}) == ExitCode::Success);
    CHECK(run({"apply", file(rulesWith("")), Platform, "--least-version=1208"})
          == ExitCode::Success);
    CHECK(inForce().version == 1208);
    CHECK(run({"apply", file(rulesWith("")), Platform, "--least-version=-1"}) == ExitCode::Usage);
}

TEST_CASE_FIXTURE(CommandFixture, "draining and returning a zone edits one line and keeps comments")
{
    CHECK(run({"zone", "drain", "a", Platform}) == ExitCode::NotFound);
    publishAsOtherOperator(rulesWith(""), 0);
    CHECK(run({"zone", "drain", "a", Platform, "--asked-by=Eve"}) == ExitCode::Success);
    CHECK(contains(out, "zone a is drained"));
    CHECK(inForce().text.find("# kept comment\nzone a state=drained # asked for by: Eve\n") == 0);
    CHECK(run({"zone", "drain", "a", Platform}) == ExitCode::Success);
    CHECK(contains(out, "already drained"));
    CHECK(inForce().version == 2);
    CHECK(run({"zone", "drain", "b", Platform}) == ExitCode::Success);
    CHECK(contains(err, "all zones are drained"));
    CHECK(run({"zone", "return", "a", Platform, "--json"}) == ExitCode::Success);
    CHECK(Json::parse(out.str())
          == Json{{"zone", "a"}, {"state", "serving"}, {"changed", true}, {"version", 4}});
    CHECK(run({"zone", "return", "q", Platform}) == ExitCode::NotFound);
    CHECK(run({"zone", "shut", "a", Platform}) == ExitCode::Usage);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "a drain that conflicts with another change keeps it and still drains")
{
    publishAsOtherOperator(rulesWith(""), 0);
    onRunOne = [this, n = 0]() mutable {
        if (++n == 3) {
            publishAsOtherOperator(rulesWith("zone other # asked for by: Ben\n"), 1);
        }
    };
    CHECK(run({"zone", "drain", "a", Platform}) == ExitCode::Success);
    onRunOne = {};
    CHECK(inForce().version == 3);
    CHECK(inForce().text.find("zone other") != std::string::npos);
    CHECK(inForce().text.find("zone a state=drained") != std::string::npos);
}

TEST_CASE_FIXTURE(CommandFixture, "a key is printed once while the store holds only its digest")
{
    publishAsOtherOperator(rulesWith(""), 0);
    CHECK(run({"key", "new", "w", Platform}) == ExitCode::Usage);
    CHECK(contains(err, "--asked-by"));
    CHECK(run({"key", "new", "w", Platform, "--asked-by=Dan", "--json"}) == ExitCode::Success);
    const Json json = Json::parse(out.str());
    const std::string key = json["key"];
    CHECK(key.size() == 68);
    CHECK(json["digest"] == sha256Hex(key));
    for (const StoredObject &object : store.objects()) {
        CHECK(object.value.find(key) == std::string::npos);
    }
    const auto parsed = parseRules("rules", inForce().text).configuration;
    CHECK(parsed->findKey(sha256Hex(key))->workspace == WorkspaceName("w"));
    CHECK(parsed->findKey(sha256Hex(key))->requestedBy == "Dan");
    CHECK(run({"key", "new", "w", Platform, "--asked-by=Dan"}) == ExitCode::Success);
    CHECK_FALSE(contains(out, key));
    CHECK(run({"key", "new", "q", Platform, "--asked-by=Dan"}) == ExitCode::NotFound);

    const std::string digest = "sha256:" + sha256Hex(key);
    CHECK(run({"key", "withdraw", digest.c_str(), Platform}) == ExitCode::Success);
    CHECK(parseRules("rules", inForce().text).configuration->findKey(sha256Hex(key))->state
          == KeyState::Withdrawn);
    CHECK(run({"key", "withdraw", key.c_str(), Platform}) == ExitCode::Usage);
    CHECK_FALSE(contains(err, key));
}

TEST_CASE_FIXTURE(CommandFixture, "a key whose publication is uncertain is not printed")
{
    publishAsOtherOperator(rulesWith(""), 0);
    store.setFaults([](std::string_view op, std::string_view key) {
        return op == "put" && key == ConfigRootKey ? Fault::LoseRequest : Fault::None;
    });
    CHECK(run({"key", "new", "w", Platform, "--asked-by=Dan"}) == ExitCode::OutcomeUnknown);
    CHECK(out.str().empty());
    CHECK(contains(err, "withdraw it"));
}

TEST_CASE_FIXTURE(CommandFixture, "a command with invalid arguments prints its usage")
{
    CHECK(run({}) == ExitCode::Usage);
    CHECK(run({"aply", "x"}) == ExitCode::Usage);
    CHECK(contains(err, "apply FILE"));
    CHECK(run({"apply"}) == ExitCode::Usage);
    CHECK(run({"apply", "a", "b"}) == ExitCode::Usage);
    CHECK(run({"apply", "a", "--colour"}) == ExitCode::Usage);
    CHECK(run({"show"}) == ExitCode::Usage);
    CHECK(contains(err, "--platform=IP:PORT"));
    CHECK(run({"show", "--platform=somewhere"}) == ExitCode::Usage);
    CHECK(run({"--help"}) == ExitCode::Success);
    CHECK(contains(out, "key withdraw DIGEST"));
    for (const std::vector<const char *> &command :
         std::vector<std::vector<const char *>>{{"check"},
                                                {"diff"},
                                                {"apply"},
                                                {"show"},
                                                {"status"},
                                                {"zone", "drain"},
                                                {"zone", "return"},
                                                {"key", "new"},
                                                {"key", "withdraw"},
                                                {"explain"},
                                                {"wait"}}) {
        std::vector<const char *> arguments = command;
        arguments.push_back("--help");
        CHECK(run(arguments) == ExitCode::Success);
        CHECK(contains(out, "usage: marigoldspoolctl " + std::string(command[0])));
    }
}
