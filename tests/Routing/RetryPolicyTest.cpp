#include "marigoldspool/Routing/RetryPolicy.h"

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

constexpr EndpointOutcome Failures[] = {EndpointOutcome::RefusedOverloaded,
                                        EndpointOutcome::RefusedNotLoaded, EndpointOutcome::NotSent,
                                        EndpointOutcome::MaybeSent, EndpointOutcome::CutOff};

bool isRetry(const RetryDecision &decision)
{
    return std::holds_alternative<Retry>(decision);
}

} // namespace

TEST_CASE("a non-idempotent request that may have run is never sent again")
{
    for (const EndpointOutcome outcome : Failures) {
        for (const bool earlier : {false, true}) {
            const RetryDecision decision = decideRetry({false, 1, false}, outcome, earlier);
            if (earlier || mayHaveRun(outcome)) {
                CHECK(!isRetry(decision));
            } else {
                CHECK(isRetry(decision));
            }
        }
    }
}

TEST_CASE("a refusal says not run only when no try can have run")
{
    for (const EndpointOutcome outcome : Failures) {
        for (const bool earlier : {false, true}) {
            for (const bool idempotent : {false, true}) {
                const RetryDecision decision =
                    decideRetry({idempotent, MaxAttempts, false}, outcome, earlier);
                REQUIRE(!isRetry(decision));
                const bool saysNotRun = std::get<GiveUp>(decision).ran == RanState::No;
                CHECK(saysNotRun == (!earlier && !mayHaveRun(outcome)));
            }
        }
    }
}

TEST_CASE("an answer that has begun is never continued by another try")
{
    const RetryDecision decision = decideRetry({true, 1, true}, EndpointOutcome::CutOff, false);
    REQUIRE(!isRetry(decision));
    CHECK(std::get<GiveUp>(decision).reason == RefusalReason::AnswerIncomplete);
}

TEST_CASE("tries are bounded even for idempotent requests")
{
    CHECK(isRetry(decideRetry({true, 1, false}, EndpointOutcome::MaybeSent, false)));
    CHECK(!isRetry(decideRetry({true, MaxAttempts, false}, EndpointOutcome::MaybeSent, false)));
}
