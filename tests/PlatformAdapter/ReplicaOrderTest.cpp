#include "Fleet/ReplicaOrderSender.h"
#include "PlatformCodec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldspool;
using nlohmann::json;

namespace {

// The control API as the lease holder sees it: calls stay open until answered.
class FakeDutyCalls final : public DutyCalls
{
public:
    struct Call {
        OrderSubject subject;
        EndpointCall call;
        Callback<int> done;
    };

    bool canCall(const OrderSubject &subject) const override
    {
        return isHolder && open.count(subject) == 0;
    }
    std::uint64_t token() const override { return 7; }
    void call(const OrderSubject &subject, EndpointCall call, Callback<int> done) override
    {
        REQUIRE(canCall(subject));
        open.insert(subject);
        calls.push_back({subject, std::move(call), std::move(done)});
    }
    void answer(std::size_t index, const Expected<int> &status)
    {
        open.erase(calls.at(index).subject);
        calls.at(index).done(status);
    }
    int desired(std::size_t index) const
    {
        return json::parse(calls.at(index).call.body)["desired"];
    }

    bool isHolder = true;
    std::set<OrderSubject> open;
    std::vector<Call> calls;
};

struct SenderFixture {
    SenderFixture()
        : sender(
            api,
            [this](const ReplicaOrder &order, std::uint64_t token) {
                return codec.encodeReplicaCount("10.0.0.1:80", order.pool, order.zone,
                                                order.desired, InstanceId("front-1"), token);
            },
            [this](const ReplicaOrder &order) {
                accepted.push_back(order.desired);
            })
    { }

    void order(int desired, const char *zone = "z1")
    {
        ReplicaOrder it;
        it.pool = PoolName("llm");
        it.zone = ZoneName(zone);
        it.desired = desired;
        sender.add(it);
        sender.send();
    }

    const PlatformCodec codec;
    FakeDutyCalls api;
    std::vector<int> accepted;
    ReplicaOrderSender sender;
};

const Expected<int> NoAnswer =
    unexpectedError(ErrorKind::OutcomeUnknown, "the connection was closed", "none");

} // namespace

TEST_CASE("an order for a number of endpoints is encoded as the control API expects it")
{
    const EndpointCall call = PlatformCodec().encodeReplicaCount(
        "10.0.0.1:80", PoolName("llm"), ZoneName("z1"), 6, InstanceId("front-1"), 12);
    CHECK(call.method == "POST");
    CHECK(call.target == "/scale");
    CHECK(call.address == "10.0.0.1:80");
    CHECK(json::parse(call.body) == json({{"service", "llm"}, {"zone", "z1"}, {"desired", 6}}));
    const auto valueOf = [&](std::string_view name) {
        for (const HeaderField &field : call.headers) {
            if (field.name == name) {
                return field.value;
            }
        }
        return std::string();
    };
    CHECK(valueOf("X-Marigoldspool-Duty-Holder") == "front-1");
    CHECK(valueOf("X-Marigoldspool-Fence-Token") == "12");
    CHECK(valueOf("Content-Type") == "application/json");
    // The copy of an answer to an earlier duty must not pass for the acceptance of this one.
    CHECK((call.sendsNoId && call.needsOwnAnswer));
}

TEST_CASE("a call without an answer is repeated with the newest number")
{
    SenderFixture fixture;
    fixture.order(5);
    fixture.order(6);
    fixture.order(3, "z2");
    REQUIRE_MESSAGE(fixture.api.calls.size() == 2, "one open call for each zone");
    fixture.api.answer(0, NoAnswer);
    fixture.sender.send();
    REQUIRE(fixture.api.calls.size() == 3);
    CHECK(fixture.api.desired(2) == 6);
    fixture.api.answer(2, 429);
    fixture.sender.send();
    REQUIRE(fixture.api.calls.size() == 4);
    fixture.api.answer(3, 200);
    fixture.sender.send();
    CHECK(fixture.api.calls.size() == 4);
    CHECK(fixture.accepted == std::vector<int>{6});
}

TEST_CASE("an acceptance of an older number does not end the order for the newer one")
{
    SenderFixture fixture;
    fixture.order(5);
    fixture.order(4);
    fixture.api.answer(0, 200);
    CHECK(fixture.accepted.empty());
    fixture.sender.send();
    REQUIRE(fixture.api.calls.size() == 2);
    CHECK(fixture.api.desired(1) == 4);
}

TEST_CASE("a holder that has lost the lease sends nothing and ignores late answers")
{
    SenderFixture fixture;
    fixture.order(5);
    fixture.api.isHolder = false;
    fixture.order(6, "z2");
    CHECK(fixture.api.calls.size() == 1);
    fixture.sender.clear();
    fixture.api.isHolder = true;
    fixture.api.answer(0, 200);
    fixture.sender.send();
    CHECK(fixture.accepted.empty());
    CHECK(fixture.api.calls.size() == 1);
}
