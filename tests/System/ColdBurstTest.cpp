#include "System/Fleet.h"
#include "System/Wait.h"

#include <doctest/doctest.h>

using namespace marigoldspool::system_tests;

namespace {

constexpr Milliseconds Deadline{10'000};
constexpr std::uint64_t GiB = std::uint64_t{1} << 30U;

std::string modelName(int n)
{
    return "assistant-" + std::to_string(n);
}

Call chatFor(const std::string &model)
{
    Call call = chatCall(4, false, Deadline);
    Json body = Json::parse(call.body);
    body["model"] = model;
    call.body = body.dump();
    return call;
}

struct Fixture {
    Fixture(int modelCount, const std::string &fencing, std::uint64_t memoryGiB)
        : models(modelCount)
        , memory(memoryGiB * GiB)
    {
        addCommonRules(fleet);
        for (int n = 0; n < models; ++n) {
            fleet.addRule("model " + modelName(n)
                          + " version=1 memory=14GiB kv=2GiB max-replicas=2");
        }
        for (const std::string zone : {"a", "b"}) {
            fleet.addEngine("engine-" + zone, "zone-" + zone,
                            "memory=" + std::to_string(memoryGiB)
                                + "GiB slots=16 fresh-slots=16 fencing=" + fencing,
                            {"--slots=16", "--load-time=400ms", "--token-time=2ms",
                             "--memory=" + std::to_string(memory), "--fencing=" + fencing});
            fleet.addService("app-" + zone, "zone-" + zone, "slots=16 fresh-slots=16", {});
            fleet.addInstance(zone + "1", "zone-" + zone);
            fleet.addInstance(zone + "2", "zone-" + zone);
        }
        REQUIRE(fleet.apply());
        // A service call, so that no model is loaded before the burst.
        fleet.waitReady(serviceCall("/charts", Deadline));
    }

    // Two calls for each model at each instance, all at once.
    std::vector<Answer> burst()
    {
        AnswerLog log;
        std::vector<std::thread> threads;
        for (int n = 0; n < models; ++n) {
            for (const std::string &id : fleet.instances()) {
                for (int twice = 0; twice < 2; ++twice) {
                    threads.emplace_back([this, &log, &id, n] {
                        log.add(callOnce(fleet.address(id), chatFor(modelName(n))));
                    });
                }
            }
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return log.take();
    }

    std::uint64_t count(const std::string &name) const
    {
        return fleet.counts("engine-a").at(name).get<std::uint64_t>()
            + fleet.counts("engine-b").at(name).get<std::uint64_t>();
    }

    std::uint64_t decided() const
    {
        std::uint64_t replicas = 0;
        for (int n = 0; n < models; ++n) {
            const Json placement = fleet.storedValue("placements/" + modelName(n));
            replicas += placement.is_object() ? placement.at("replicas").size() : 0;
        }
        return replicas;
    }

    void checkMemory() const
    {
        for (const std::string engine : {"engine-a", "engine-b"}) {
            const auto greatest = fleet.counts(engine).at("greatest_memory").get<std::uint64_t>();
            MESSAGE(engine << ": greatest memory " << greatest / GiB << " of " << memory / GiB
                           << " GiB");
            CHECK(greatest <= memory);
        }
    }

    // Loads that were ordered and not taken back are those that were decided.
    void checkLoads() const
    {
        CHECK(waitUntil(Deadline, [&] {
            return count("loads") - count("unloads") == decided();
        }));
        MESSAGE("decided " << decided() << ", orders " << count("orders_accepted") << ", loads "
                           << count("loads") << ", unloads " << count("unloads") << ", refused "
                           << count("orders_refused"));
    }

    int models;
    std::uint64_t memory;
    Fleet fleet;
};

} // namespace

// Guards against instances that each load the model for which first requests come to all of them
// at once (P1).
TEST_CASE("a burst of first requests leads to as many loads as were decided")
{
    Fixture fixture(3, "checked", 80);
    for (const Answer &answer : fixture.burst()) {
        CHECK_MESSAGE(answer.status == 200, answer.body.substr(0, 400));
    }
    fixture.checkLoads();
    CHECK(fixture.count("orders_accepted") == fixture.decided());
    CHECK(fixture.count("orders_refused") == 0);
    CHECK(fixture.decided() >= 3);
    CHECK(fixture.decided() <= 6);
    fixture.checkMemory();
}

// Guards against loads beyond an engine's memory, where more models are asked for than fit (P2).
TEST_CASE("a burst for more models than fit keeps within the engines' memory")
{
    // Two models fit at once on each engine.
    Fixture fixture(8, "ignored", 36);
    int served = 0;
    for (const Answer &answer : fixture.burst()) {
        CHECK(answer.whole);
        served += answer.status == 200 ? 1 : 0;
        if (answer.status != 200) {
            CHECK(answer.errorField("ran") == "no");
            CHECK(answer.retryAfterMs() > 0);
        }
    }
    MESSAGE("served " << served << " of 64");
    CHECK(served > 0);
    fixture.checkLoads();
    CHECK(fixture.count("orders_refused") == 0);
    fixture.checkMemory();
}
