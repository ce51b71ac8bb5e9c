#include "marigoldspool/Operator/RuleEdit.h"

#include "marigoldspool/Config/RuleParser.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

const std::string DigestA(64, 'a');
const std::string DigestB(64, 'b');

std::string sampleRules()
{
    return "# zone a is the old building\n"
           "zone  a   state=serving\tweight=2   # asked for by: Ann # zone b\n"
           "zone b # asked for by: Ben\r\n"
           "zone ab state=drained # asked for by: Ann\n"
           "\n"
           "workspace w rate=1 burst=1 # asked for by: Ann\n"
           "key w digest=sha256:"
        + DigestA + " # asked for by: Cyd";
}

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("draining a zone changes its state and no other byte")
{
    const std::string rules = sampleRules();
    CHECK(*setZoneState(rules, ZoneName("a"), ZoneState::Drained, "")
          == replaced(rules, "state=serving", "state=drained"));
    CHECK(*setZoneState(rules, ZoneName("b"), ZoneState::Drained, "")
          == replaced(rules, "zone b #", "zone b state=drained #"));
    CHECK(*setZoneState(rules, ZoneName("ab"), ZoneState::Serving, "")
          == replaced(rules, "state=drained", "state=serving"));
    CHECK(setZoneState(rules, ZoneName("c"), ZoneState::Drained, "").error().kind
          == ErrorKind::NotFound);
}

TEST_CASE("a zone that is already in the state leaves the text as it is")
{
    const std::string rules = sampleRules();
    CHECK(*setZoneState(rules, ZoneName("a"), ZoneState::Serving, "Eve") == rules);
    CHECK(*setZoneState(rules, ZoneName("b"), ZoneState::Serving, "") == rules);
    CHECK(*setZoneState(rules, ZoneName("ab"), ZoneState::Drained, "") == rules);
}

TEST_CASE("the requester name replaces the old one and cannot begin another rule")
{
    const std::string rules = sampleRules();
    const Expected<std::string> drained =
        setZoneState(rules, ZoneName("b"), ZoneState::Drained, "Eve, ticket 7");
    CHECK(*drained
          == replaced(rules, "zone b # asked for by: Ben",
                      "zone b state=drained # asked for by: Eve, ticket 7"));
    CHECK(parseRules("rules", *drained).configuration);
    for (const char *name : {"Eve\nzone c # asked for by: Eve", "\r", "  "}) {
        CHECK(setZoneState(rules, ZoneName("a"), ZoneState::Drained, name).error().kind
              == ErrorKind::InvalidArgument);
        CHECK(addKey(rules, WorkspaceName("w"), KeyDigest(DigestB), name).error().kind
              == ErrorKind::InvalidArgument);
    }
}

TEST_CASE("a key is added below the keys of its workspace, once, with who asked for it")
{
    const std::string rules = sampleRules();
    const Expected<std::string> added =
        addKey(rules, WorkspaceName("w"), KeyDigest(DigestB), "Dan");
    CHECK(*added
          == rules + "\nkey w digest=sha256:" + DigestB + " state=active # asked for by: Dan");
    CHECK(*addKey(*added, WorkspaceName("w"), KeyDigest(DigestB), "Dan") == *added);
    CHECK(parseRules("rules", *added).configuration->findKey(DigestB) != nullptr);
    CHECK(addKey(rules, WorkspaceName("v"), KeyDigest(DigestB), "Dan").error().kind
          == ErrorKind::NotFound);
    CHECK(addKey(rules, WorkspaceName("w"), KeyDigest(DigestB), "").error().kind
          == ErrorKind::InvalidArgument);
}

TEST_CASE("withdrawing a key keeps its rule, so that a withdrawn key differs from an unknown one")
{
    const std::string rules = sampleRules();
    const Expected<std::string> withdrawn = withdrawKey(rules, KeyDigest(DigestA), "");
    const ParseResult parsed = parseRules("rules", *withdrawn);
    REQUIRE(parsed.configuration);
    CHECK(parsed.configuration->findKey(DigestA)->state == KeyState::Withdrawn);
    CHECK(*withdrawKey(*withdrawn, KeyDigest(DigestA), "") == *withdrawn);
    CHECK(withdrawKey(rules, KeyDigest(DigestB), "").error().kind == ErrorKind::NotFound);
}

TEST_CASE("a key given instead of its digest is refused without being repeated")
{
    CHECK(*parseKeyDigest(DigestA) == KeyDigest(DigestA));
    CHECK(*parseKeyDigest("sha256:" + std::string(64, 'A')) == KeyDigest(DigestA));
    const Expected<KeyDigest> key = parseKeyDigest("mgs-secret");
    REQUIRE_FALSE(key);
    CHECK(key.error().message.find("secret") == std::string::npos);
    CHECK(key.error().remedy.find("secret") == std::string::npos);
}
