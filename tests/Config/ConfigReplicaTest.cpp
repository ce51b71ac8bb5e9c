#include "marigoldspool/Config/ConfigReplica.h"

#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/RandomSource.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

constexpr std::string_view OfferCounter = "marigoldspool_config_offers_total";

std::string rulesOf(std::uint64_t version)
{
    return "zone z" + std::to_string(version) + " # asked for by: tester\n";
}

class CountingLog final : public EventLog
{
public:
    CountingLog() { setEventLog(this); }
    ~CountingLog() override { setEventLog(nullptr); }
    void write(LogLevel level, std::string_view, gsl::span<const LogField>) override
    {
        errors += level == LogLevel::Error ? 1 : 0;
    }
    int errors = 0;
};

struct Fixture {
    ManualClock clock;
    Metrics metrics;
    CountingLog log;
    ConfigReplica replica{clock, metrics};

    double count(const char *result) const
    {
        return metrics.counterValue(OfferCounter, {{"result", result}});
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a stale read or a restarted peer cannot revert the configuration")
{
    CHECK(replica.version() == 0);
    CHECK(replica.current()->zones().empty());
    REQUIRE(replica.offer(5, rulesOf(5)));
    const Expected<void> older = replica.offer(4, rulesOf(4));
    REQUIRE_FALSE(older);
    CHECK(older.error().kind == ErrorKind::Conflict);
    CHECK(replica.offer(5, rulesOf(5)));
    CHECK(replica.version() == 5);
    CHECK(replica.current()->findZone("z5") != nullptr);
    CHECK(replica.rules() == rulesOf(5));
    CHECK(count("older") == 1);
    CHECK(count("repeated") == 1);
    CHECK(log.errors == 0);
}

TEST_CASE_FIXTURE(Fixture, "other rules under the version in force are refused, logged and counted")
{
    REQUIRE(replica.offer(5, rulesOf(5)));
    const Expected<void> other = replica.offer(5, rulesOf(6));
    REQUIRE_FALSE(other);
    CHECK(other.error().kind == ErrorKind::Conflict);
    CHECK(replica.rules() == rulesOf(5));
    CHECK(count("differs") == 1);
    CHECK(log.errors == 1);
}

TEST_CASE_FIXTURE(Fixture, "rules that do not parse leave the version in force untouched")
{
    REQUIRE(replica.offer(5, rulesOf(5)));
    const Expected<void> invalid = replica.offer(6, "zone z6\n");
    REQUIRE_FALSE(invalid);
    CHECK(invalid.error().kind == ErrorKind::InvalidRule);
    CHECK(replica.version() == 5);
    CHECK_FALSE(replica.offer(7, std::string_view("\xff\x00", 2)));
    CHECK(replica.version() == 5);
    CHECK(count("invalid") == 2);
    CHECK(log.errors == 2);
    // A refused version does not block the next valid one.
    CHECK(replica.offer(6, rulesOf(6)));
}

TEST_CASE_FIXTURE(Fixture, "version 0 is never put in force")
{
    const Expected<void> zero = replica.offer(0, "");
    REQUIRE_FALSE(zero);
    CHECK(zero.error().kind == ErrorKind::InvalidArgument);
}

TEST_CASE_FIXTURE(Fixture,
                  "only the version in force can be confirmed, and its time never decreases")
{
    REQUIRE(replica.offer(5, rulesOf(5)));
    CHECK(replica.timeSinceConfirmation() == Duration::max());
    CHECK(replica.confirmedAgeMs() == -1);
    replica.confirmCurrent(4, clock.now());
    replica.confirmCurrent(6, clock.now());
    CHECK(replica.confirmedAgeMs() == -1);
    const SteadyTime first = clock.now();
    replica.confirmCurrent(5, first);
    clock.advance(std::chrono::seconds(3));
    CHECK(replica.confirmedAgeMs() == 3000);
    replica.confirmCurrent(5, clock.now());
    replica.confirmCurrent(5, first);
    CHECK(replica.timeSinceConfirmation() == Duration::zero());
    replica.confirmCurrent(5, clock.now() + std::chrono::hours(1));
    CHECK(replica.timeSinceConfirmation() == Duration::zero());
}

TEST_CASE_FIXTURE(Fixture, "whatever order versions arrive in, the highest one seen is in force")
{
    SeededRandomSource random(11);
    std::uint64_t highest = 0;
    for (int i = 0; i < 500; ++i) {
        const std::uint64_t version = 1 + random.below(200);
        const bool isTaken = replica.offer(version, rulesOf(version)).has_value();
        CHECK(isTaken == (version >= highest));
        highest = std::max(highest, version);
        CHECK(replica.version() == highest);
        CHECK(replica.rules() == rulesOf(highest));
    }
}
