#include "marigoldspool/Routing/ForwardTable.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const InstanceId Home("home");
const InstanceId Other("other");

Request makeRequest(const char *id, bool idempotent, bool stream = false)
{
    Request request;
    request.id = RequestId(id);
    request.idempotent = idempotent;
    request.stream = stream;
    request.deadline = SteadyTime(10s);
    return request;
}

} // namespace

TEST_CASE("answer heads are rejected if repeated, from another instance or for an unknown request")
{
    ForwardTable table;
    table.add(makeRequest("r", true), Home);
    CHECK(!table.acceptHead(RequestId("r"), Other));
    CHECK(!table.acceptHead(RequestId("unknown"), Home));
    CHECK(table.acceptHead(RequestId("r"), Home));
    // A second head would mix two answers.
    CHECK(!table.acceptHead(RequestId("r"), Home));
}

TEST_CASE("a missing or repeated part of an answer is rejected")
{
    ForwardTable table;
    table.add(makeRequest("r", true), Home);
    CHECK(!table.acceptData(RequestId("r"), Home, 0));
    table.acceptHead(RequestId("r"), Home);
    CHECK(table.acceptData(RequestId("r"), Home, 0));
    CHECK(!table.acceptData(RequestId("r"), Home, 0));
    CHECK(!table.acceptData(RequestId("r"), Home, 2));
    CHECK(table.acceptData(RequestId("r"), Home, 1));
}

TEST_CASE("after the loss of the home only idempotent requests without an answer are resent")
{
    ForwardTable table;
    table.add(makeRequest("idempotent", true), Home);
    table.add(makeRequest("confirmation", false), Home);
    table.add(makeRequest("started", true), Home);
    table.acceptHead(RequestId("started"), Home);
    table.add(makeRequest("elsewhere", true), Other);
    const auto outcomes = table.onPeerDown(Home);
    REQUIRE(outcomes.size() == 3);
    for (const ForwardTable::LossOutcome &outcome : outcomes) {
        if (const auto *resend = std::get_if<ForwardTable::Resend>(&outcome)) {
            CHECK(resend->request.id == RequestId("idempotent"));
            CHECK(resend->request.mayHaveRun);
            continue;
        }
        const auto &refuse = std::get<ForwardTable::Refuse>(outcome);
        CHECK(refuse.refusal.ran == RanState::Unknown);
        CHECK(refuse.request != RequestId("idempotent"));
    }
    CHECK(table.size() == 1);
}

TEST_CASE("a forwarded request is refused if its home does not answer by the deadline")
{
    ForwardTable table;
    table.add(makeRequest("silent", true), Home);
    table.add(makeRequest("streaming", true, true), Home);
    table.acceptHead(RequestId("streaming"), Home);
    CHECK(table.takeOverdue(SteadyTime(9s), Duration::zero()).empty());
    const auto overdue = table.takeOverdue(SteadyTime(10s), Duration::zero());
    REQUIRE(overdue.size() == 1);
    CHECK(overdue[0].request == RequestId("silent"));
    CHECK(overdue[0].refusal.ran == RanState::Unknown);
    CHECK(table.isPendingAt(RequestId("streaming"), Home));
}
