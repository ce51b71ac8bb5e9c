#include "RequestPathFixture.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using nlohmann::json;

// Guards against a driver that the daemon does not run, or whose order is lost with one refusal.
TEST_CASE("the lease holder orders missing endpoints from the control API until it accepts")
{
    FleetOptions options;
    options.duties = DutyOptions();
    options.duties->address = "127.0.0.1:" + std::to_string(takeFreePort());
    options.duties->ordersReplicas = true;
    RequestPathFixture fixture(options);
    std::vector<HttpRequest> calls;
    HttpServerOptions apiOptions;
    apiOptions.address = options.duties->address;
    auto api = makeHttpServer(
        fixture.io, apiOptions,
        [&](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
            calls.push_back(request);
            answerText(*sink, calls.size() == 1 ? 429 : 200, "");
        },
        fixture.metrics);
    REQUIRE(api);
    json configuration = fixture.configuration(2, {"k1"});
    configuration["services"][0]["autoscale"] = {{"min", 2}, {"max", 4}, {"bootS", 1}};
    fixture.store.put("config", "main", configuration);
    fixture.addReplica("a-1", "app", answerOk);
    REQUIRE(runUntil(fixture.io, [&] {
        return calls.size() >= 2;
    }));
    for (const HttpRequest &call : calls) {
        CHECK(call.target == "/scale");
        CHECK(json::parse(call.body) == json({{"service", "app"}, {"zone", "z1"}, {"desired", 2}}));
        CHECK(*findHeader(call.headers, "X-Marigoldspool-Duty-Holder") == "front-1");
        CHECK(*findHeader(call.headers, "X-Marigoldspool-Fence-Token") == "1");
    }
    fixture.addReplica("a-2", "app", answerOk);
    fixture.io.restart();
    fixture.io.run_for(std::chrono::milliseconds(500));
    const std::size_t count = calls.size();
    fixture.io.restart();
    fixture.io.run_for(std::chrono::seconds(4));
    CHECK_MESSAGE(calls.size() == count, "the ordered endpoints are there");
}
