#include "marigoldspool/Limits/RateLimit.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const SteadyTime start(1000s);
const InstanceId peer("peer");

// Half of a limit of 100 tokens per second and a burst of 200, full.
RateLimit half()
{
    return RateLimit(100, 200, 1, 0.5, 100, start);
}

} // namespace

TEST_CASE("a lender has neither the tokens nor the fraction that it lends until the term ends")
{
    RateLimit lender = half();
    const RateLimit::Offer offer = lender.offer(peer, {0.3, 60, 5s}, 0.1, 0, start + 6s, start);
    CHECK(offer.fraction == doctest::Approx(0.3));
    CHECK(offer.tokens == doctest::Approx(60));
    REQUIRE(lender.lend(peer, 1, offer, start + 6s, start));
    CHECK(lender.level(start) == doctest::Approx(40));
    CHECK(lender.capacity(start) == doctest::Approx(40));
    CHECK(lender.fraction(start) == doctest::Approx(0.2));
    CHECK(lender.capacity(start + 6s) == doctest::Approx(100));
    CHECK(lender.level(start + 6s) == doctest::Approx(40));
}

TEST_CASE("tokens lent alone take their capacity along, so that the lender cannot refill it")
{
    RateLimit lender = half();
    const RateLimit::Offer offer = lender.offer(peer, {0, 70, 1s}, 0, 0, start + 2s, start);
    REQUIRE(lender.lend(peer, 1, offer, start + 2s, start));
    CHECK(lender.level(start + 1s) == doctest::Approx(30));
    CHECK(lender.level(start + 3s) == doctest::Approx(80));
}

TEST_CASE("a borrower that was paused past a loan's end admits no more than its own part allows")
{
    RateLimit borrower = half();
    borrower.borrow(peer, 1, 0.5, 100, start + 5s, start);
    CHECK(borrower.capacity(start) == doctest::Approx(200));
    CHECK_FALSE(borrower.tryTake(101, start + 5s));
    CHECK(borrower.tryTake(100, start + 5s));
}

TEST_CASE("a grant that arrives after its term is dropped")
{
    RateLimit borrower = half();
    borrower.borrow(peer, 1, 0.5, 100, start + 5s, start + 5s);
    CHECK(borrower.capacity(start + 5s) == doctest::Approx(100));
}

TEST_CASE("a renewal does not need the fraction twice and does not count twice")
{
    RateLimit lender = half();
    REQUIRE(lender.lend(peer, 1, {0.5, 0, 5s}, start + 5s, start));
    const RateLimit::Offer offer = lender.offer(peer, {0.5, 0, 5s}, 0, 0, start + 9s, start + 4s);
    CHECK(offer.fraction == doctest::Approx(0.5));
    REQUIRE(lender.lend(peer, 2, offer, start + 9s, start + 4s));
    CHECK(lender.fraction(start + 4s) == doctest::Approx(0));
    RateLimit borrower = half();
    borrower.borrow(peer, 1, 0.5, 0, start + 5s, start);
    borrower.borrow(peer, 2, 0.5, 0, start + 9s, start + 4s);
    CHECK(borrower.fraction(start + 4s) == doctest::Approx(1));
}

TEST_CASE("what is borrowed is lent on only until the lender's own loan ends")
{
    RateLimit middle(100, 200, 1, 0, 0, start);
    middle.borrow(peer, 1, 0.4, 0, start + 5s, start);
    const InstanceId other("other");
    CHECK(middle.offer(other, {0.4, 0, 5s}, 0, 0, start + 6s, start).fraction == 0);
    CHECK(middle.offer(other, {0.4, 0, 4s}, 0, 0, start + 5s, start).fraction
          == doctest::Approx(0.4));
}

TEST_CASE("a loan that is lent on is not returned early")
{
    RateLimit middle(100, 200, 1, 0, 0, start);
    middle.borrow(peer, 1, 0.4, 0, start + 5s, start);
    REQUIRE(middle.lend(InstanceId("other"), 2, {0.4, 0, 4s}, start + 5s, start));
    CHECK(middle.returnLoan(peer, 1, 0, start) < 0);
    CHECK(middle.borrowed().loans().size() == 1);
}

TEST_CASE("returned tokens do not come back to a lender that has lent their capacity again")
{
    RateLimit lender = half();
    REQUIRE(lender.lend(peer, 1, {0.3, 60, 5s}, start + 5s, start));
    REQUIRE(lender.lend(peer, 2, {0.3, 0, 5s}, start + 5s, start));
    CHECK(lender.onReturned(peer, 1, 60, start));
    CHECK(lender.level(start) == doctest::Approx(40));
    CHECK(lender.onReturned(peer, 2, 60, start));
    CHECK(lender.level(start) == doctest::Approx(100));
    CHECK_FALSE(lender.onReturned(peer, 2, 60, start));
}

TEST_CASE("a share that shrinks below what is lent does not fit until the loans are over")
{
    RateLimit lender = half();
    REQUIRE(lender.lend(peer, 1, {0.4, 0, 5s}, start + 5s, start));
    lender.setShare(0.25, start);
    CHECK_FALSE(lender.fits(start + 4s));
    CHECK(lender.fits(start + 5s));
}

TEST_CASE("a loan between two configurations is no larger for the borrower after the change")
{
    // The lender has the larger burst already when it lends, the borrower when the loan is there.
    RateLimit lender(100, 400, 1, 0.5, 200, start);
    RateLimit borrower = half();
    REQUIRE(lender.lend(peer, 1, {0.1, 60, 5s}, start + 5s, start));
    borrower.borrow(peer, 1, 0.1, 60, start + 5s, start);
    borrower.setRule(100, 400, start);
    CHECK(lender.capacity(start) + borrower.capacity(start) == doctest::Approx(400));
}
