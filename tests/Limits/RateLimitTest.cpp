#include "marigoldspool/Limits/RateLimit.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const SteadyTime Start(1000s);
const InstanceId Peer("peer");

// Half of a limit of 100 tokens per second and a burst of 200, with a full bucket.
RateLimit halfOfLimit()
{
    return RateLimit(100, 200, 1, 0.5, 100, Start);
}

} // namespace

TEST_CASE("a lender has neither the tokens nor the fraction that it lends until the term ends")
{
    RateLimit lender = halfOfLimit();
    const RateLimit::Offer offer = lender.offer(Peer, {0.3, 60, 5s}, 0.1, 0, Start + 6s, Start);
    CHECK(offer.fraction == doctest::Approx(0.3));
    CHECK(offer.tokens == doctest::Approx(60));
    REQUIRE(lender.lend(Peer, 1, offer, Start + 6s, Start));
    CHECK(lender.level(Start) == doctest::Approx(40));
    CHECK(lender.capacity(Start) == doctest::Approx(40));
    CHECK(lender.fraction(Start) == doctest::Approx(0.2));
    CHECK(lender.capacity(Start + 6s) == doctest::Approx(100));
    CHECK(lender.level(Start + 6s) == doctest::Approx(40));
}

TEST_CASE("tokens lent alone take their capacity with them, so that the lender cannot refill it")
{
    RateLimit lender = halfOfLimit();
    const RateLimit::Offer offer = lender.offer(Peer, {0, 70, 1s}, 0, 0, Start + 2s, Start);
    REQUIRE(lender.lend(Peer, 1, offer, Start + 2s, Start));
    CHECK(lender.level(Start + 1s) == doctest::Approx(30));
    CHECK(lender.level(Start + 3s) == doctest::Approx(80));
}

TEST_CASE("a borrower that was paused past a loan's end admits no more than its own part allows")
{
    RateLimit borrower = halfOfLimit();
    borrower.borrow(Peer, 1, 0.5, 100, Start + 5s, Start);
    CHECK(borrower.capacity(Start) == doctest::Approx(200));
    CHECK_FALSE(borrower.tryTake(101, Start + 5s));
    CHECK(borrower.tryTake(100, Start + 5s));
}

TEST_CASE("a grant that arrives after its term is ignored")
{
    RateLimit borrower = halfOfLimit();
    borrower.borrow(Peer, 1, 0.5, 100, Start + 5s, Start + 5s);
    CHECK(borrower.capacity(Start + 5s) == doctest::Approx(100));
}

TEST_CASE("a renewal does not reserve the fraction twice and does not count twice")
{
    RateLimit lender = halfOfLimit();
    REQUIRE(lender.lend(Peer, 1, {0.5, 0, 5s}, Start + 5s, Start));
    const RateLimit::Offer offer = lender.offer(Peer, {0.5, 0, 5s}, 0, 0, Start + 9s, Start + 4s);
    CHECK(offer.fraction == doctest::Approx(0.5));
    REQUIRE(lender.lend(Peer, 2, offer, Start + 9s, Start + 4s));
    CHECK(lender.fraction(Start + 4s) == doctest::Approx(0));
    RateLimit borrower = halfOfLimit();
    borrower.borrow(Peer, 1, 0.5, 0, Start + 5s, Start);
    borrower.borrow(Peer, 2, 0.5, 0, Start + 9s, Start + 4s);
    CHECK(borrower.fraction(Start + 4s) == doctest::Approx(1));
}

TEST_CASE("a borrowed fraction is relent only until the lender's own loan ends")
{
    RateLimit middle(100, 200, 1, 0, 0, Start);
    middle.borrow(Peer, 1, 0.4, 0, Start + 5s, Start);
    const InstanceId other("other");
    CHECK(middle.offer(other, {0.4, 0, 5s}, 0, 0, Start + 6s, Start).fraction == 0);
    CHECK(middle.offer(other, {0.4, 0, 4s}, 0, 0, Start + 5s, Start).fraction
          == doctest::Approx(0.4));
}

TEST_CASE("a loan that has been relent is not returned early")
{
    RateLimit middle(100, 200, 1, 0, 0, Start);
    middle.borrow(Peer, 1, 0.4, 0, Start + 5s, Start);
    REQUIRE(middle.lend(InstanceId("other"), 2, {0.4, 0, 4s}, Start + 5s, Start));
    CHECK(middle.returnLoan(Peer, 1, 0, Start) < 0);
    CHECK(middle.borrowed().loans().size() == 1);
}

TEST_CASE("a lender that has lent the capacity again does not accept returned tokens")
{
    RateLimit lender = halfOfLimit();
    REQUIRE(lender.lend(Peer, 1, {0.3, 60, 5s}, Start + 5s, Start));
    REQUIRE(lender.lend(Peer, 2, {0.3, 0, 5s}, Start + 5s, Start));
    CHECK(lender.onReturned(Peer, 1, 60, Start));
    CHECK(lender.level(Start) == doctest::Approx(40));
    CHECK(lender.onReturned(Peer, 2, 60, Start));
    CHECK(lender.level(Start) == doctest::Approx(100));
    CHECK_FALSE(lender.onReturned(Peer, 2, 60, Start));
}

TEST_CASE("a share reduced below what is lent does not cover the loans until they have ended")
{
    RateLimit lender = halfOfLimit();
    REQUIRE(lender.lend(Peer, 1, {0.4, 0, 5s}, Start + 5s, Start));
    lender.setShare(0.25, Start);
    CHECK_FALSE(lender.coversCommitments(Start + 4s));
    CHECK(lender.coversCommitments(Start + 5s));
}

TEST_CASE("a loan between instances with different rules adds no capacity once the rules agree")
{
    // The lender applies the larger burst before it lends, the borrower after it has the loan.
    RateLimit lender(100, 400, 1, 0.5, 200, Start);
    RateLimit borrower = halfOfLimit();
    REQUIRE(lender.lend(Peer, 1, {0.1, 60, 5s}, Start + 5s, Start));
    borrower.borrow(Peer, 1, 0.1, 60, Start + 5s, Start);
    borrower.setRule(100, 400, Start);
    CHECK(lender.capacity(Start) + borrower.capacity(Start) == doctest::Approx(400));
}
