#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Digest.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"
#include "marigoldspool/Support/Metrics.h"
#include "marigoldspool/Support/PeriodicTimer.h"
#include "marigoldspool/Support/RandomSource.h"

#include <memory>
#include <set>
#include <thread>

#include <doctest/doctest.h>

using namespace marigoldspool;

TEST_CASE("log values cannot forge a second line or field")
{
    const LogField fields[] = {{"path", "a\nevent=forged"}, {"n", "1"}};
    CHECK(formatEvent("request", fields) == "event=request path=\"a\\nevent=forged\" n=1");
}

TEST_CASE("every refusal reason has a distinct code that can be read back")
{
    std::set<std::string_view> codes;
    for (const RefusalReason reason : allRefusalReasons()) {
        CHECK(codes.insert(refusalCode(reason)).second);
        CHECK(refusalFromCode(refusalCode(reason)) == reason);
        CHECK(refusalHttpStatus(reason) >= 400);
    }
}

TEST_CASE("counters of all reasons are visible before the first refusal")
{
    Metrics metrics;
    metrics.countRefusal(RefusalReason::QueueFull);
    const std::string text = metrics.exposition();
    CHECK(text.find("marigoldspool_refusals_total{reason=\"queue_full\"} 1") != std::string::npos);
    CHECK(text.find("marigoldspool_refusals_total{reason=\"key_unknown\"} 0") != std::string::npos);
    CHECK(text.find("marigoldspool_retries_total{reason=\"store_conflict\"} 0")
          != std::string::npos);
}

TEST_CASE("the digest matches the published SHA-256 test vector")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("the same seed gives the same random sequence")
{
    SeededRandomSource a(7);
    SeededRandomSource b(7);
    CHECK(a.hex(40) == b.hex(40));
    CHECK(a.uniform() < 1.0);
}

TEST_CASE("a violated invariant is reported to the installed handler")
{
    std::string seen;
    auto previous = setInvariantHandler([&](std::string_view name, std::string_view) {
        seen = std::string(name);
    });
    checkInvariant(true, "holds", "");
    CHECK(seen.empty());
    checkInvariant(false, "broken", "detail");
    setInvariantHandler(std::move(previous));
    CHECK(seen == "broken");
}

TEST_CASE("seconds convert to a duration and back, and decay halves in each half-life")
{
    CHECK(fromSeconds(1.5) == std::chrono::milliseconds(1500));
    CHECK(fromSeconds(-0.25) == std::chrono::milliseconds(-250));
    CHECK(toSeconds(fromSeconds(0.001)) == doctest::Approx(0.001));
    CHECK(decayFactor(Duration::zero(), 3) == 1);
    CHECK(decayFactor(std::chrono::seconds(3), 3) == doctest::Approx(0.5));
    CHECK(decayFactor(std::chrono::seconds(6), 3) == doctest::Approx(0.25));
    // The value was taken after the given time, as clocks of two sources may differ.
    CHECK(decayFactor(-std::chrono::seconds(6), 3) == 1);
}

// A daemon that was destroyed while its tick was due crashed the process.
TEST_CASE("a periodic timer that is destroyed after it has expired does not call its task")
{
    boost::asio::io_context io;
    int calls = 0;
    auto timer = std::make_unique<PeriodicTimer>(io);
    boost::asio::steady_timer earlier(io, std::chrono::milliseconds(1));
    earlier.async_wait([&timer](boost::system::error_code) {
        timer.reset();
    });
    timer->start(std::chrono::milliseconds(2), [&calls] {
        ++calls;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    io.run();
    CHECK(calls == 0);
}
