#include "marigoldspool/Platform/PutWithReadBack.h"
#include "support/FakeObjectStore.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

struct PutFixture {
    ManualClock clock;
    Metrics metrics;
    FakeObjectStore store{clock};
    std::optional<Expected<std::uint64_t>> result;

    void begin(std::uint64_t expected, const std::string &value, const std::string &write)
    {
        putWithReadBack(store, metrics, "a", expected, value, WriteId(write),
                        [this](Expected<std::uint64_t> outcome) {
                            REQUIRE_FALSE(result.has_value());
                            result.emplace(std::move(outcome));
                        });
    }
};

} // namespace

TEST_CASE_FIXTURE(PutFixture, "a write that took effect is a success although its answer was lost")
{
    store.loseAnswers(1);
    begin(0, "1", "w1");
    store.runAll();
    REQUIRE(result);
    CHECK(result->value() == store.table().get("a")->version);
    CHECK(store.table().revision() == 1);
    CHECK(metrics.counterValue("marigoldspool_retries_total", {{"reason", "store_answer_lost"}})
          == 1);
}

TEST_CASE_FIXTURE(PutFixture, "a write that was lost before it took effect is retried")
{
    store.loseWrites(1);
    begin(0, "1", "w1");
    store.runAll();
    REQUIRE(result);
    CHECK(result->has_value());
    CHECK(store.table().revision() == 1);
}

// Guards against reporting Conflict, which means "not written", for a write that took effect.
TEST_CASE_FIXTURE(PutFixture, "a lost write that another write replaced has an unknown outcome")
{
    store.loseAnswers(1);
    begin(0, "1", "w1");
    store.apply();
    REQUIRE(store.table().put("a", 1, "2", WriteId("w2")));
    store.runAll();
    REQUIRE(result);
    CHECK(result->error().kind == ErrorKind::OutcomeUnknown);
}

// Guards against reporting Conflict when the retry conflicts with the delayed first attempt.
TEST_CASE_FIXTURE(PutFixture,
                  "a retry that conflicts with its own delayed first attempt is a success")
{
    store.loseWrites(1);
    begin(0, "1", "w1");
    while (store.pendingOperations() + store.pendingAnswers() > 0 && store.operationsSeen() < 3) {
        store.runOne();
    }
    REQUIRE(store.operationsSeen() == 3);
    REQUIRE(store.table().put("a", 0, "1", WriteId("w1")));
    store.runAll();
    REQUIRE(result);
    CHECK(result->value() == 1);
}

TEST_CASE_FIXTURE(PutFixture, "a conflict on the first attempt is final and not read back")
{
    REQUIRE(store.table().put("a", 0, "1", WriteId("w0")));
    begin(0, "1", "w1");
    store.runAll();
    REQUIRE(result);
    CHECK(result->error().kind == ErrorKind::Conflict);
    CHECK(store.operationsSeen() == 1);
}

TEST_CASE_FIXTURE(PutFixture, "an outage during the read back leaves the outcome unknown")
{
    store.loseAnswers(1);
    begin(0, "1", "w1");
    store.apply();
    store.setAway(true);
    store.runAll();
    REQUIRE(result);
    CHECK(result->error().kind == ErrorKind::OutcomeUnknown);
}

TEST_CASE_FIXTURE(PutFixture, "a write whose answers are always lost ends after a few attempts")
{
    store.loseWrites(1000);
    begin(0, "1", "w1");
    store.runAll();
    REQUIRE(result);
    CHECK(result->error().kind == ErrorKind::OutcomeUnknown);
    CHECK(store.operationsSeen() == 6);
}
