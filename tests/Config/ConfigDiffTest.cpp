#include "marigoldspool/Config/ConfigDiff.h"
#include "marigoldspool/Config/RuleParser.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

std::vector<RuleChange> diff(std::string_view from, std::string_view to)
{
    const ParseResult before = parseRules("from", from);
    const ParseResult after = parseRules("to", to);
    REQUIRE(before.configuration);
    REQUIRE(after.configuration);
    return diffRules(*before.configuration, *after.configuration);
}

} // namespace

TEST_CASE("order, blanks, comments and explicit defaults make no difference")
{
    CHECK(diff("zone a # asked for by: x\nzone b # asked for by: x\n",
               "# reordered\n zone  b   weight=1.0  # asked for by:  x\n"
               "zone a state=serving # asked for by: x\n")
              .empty());
}

TEST_CASE("added, removed and changed rules are distinguished, by key and requester")
{
    const auto changes = diff("zone a # asked for by: x\nzone b # asked for by: x\n",
                              "zone c # asked for by: x\n"
                              "zone b state=drained # asked for by: y\n");
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].change == ChangeKind::Removed);
    CHECK(changes[0].rule.name == "a");
    CHECK(changes[1].change == ChangeKind::Changed);
    REQUIRE(changes[1].fields.size() == 2);
    CHECK(changes[1].fields[0].key == "state");
    CHECK(changes[1].fields[0].from == "serving");
    CHECK(changes[1].fields[0].to == "drained");
    CHECK(changes[1].fields[1].key == "asked for by");
    CHECK(changes[2].change == ChangeKind::Added);
    CHECK(changes[2].rule.name == "c");
}

TEST_CASE("a key that moves to another workspace is shown as a change, not hidden")
{
    const std::string digest = " digest=sha256:" + std::string(64, '1') + " # asked for by: x\n";
    const std::string workspaces = "workspace v rate=1 burst=1 # asked for by: x\n"
                                   "workspace w rate=1 burst=1 # asked for by: x\n";
    const auto changes = diff(workspaces + "key v" + digest, workspaces + "key w" + digest);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].change == ChangeKind::Changed);
    CHECK(changes[0].fields[0].key == "name");
    CHECK(changes[0].fields[0].to == "w");
}
