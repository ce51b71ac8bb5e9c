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

TEST_CASE("a non-idempotent request that may have run is never retried")
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

TEST_CASE("a refusal states not run only if no attempt can have run")
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

TEST_CASE("a request is not retried once its answer has begun")
{
    const RetryDecision decision = decideRetry({true, 1, true}, EndpointOutcome::CutOff, false);
    REQUIRE(!isRetry(decision));
    CHECK(std::get<GiveUp>(decision).reason == RefusalReason::AnswerIncomplete);
}

TEST_CASE("the number of attempts is limited even for idempotent requests")
{
    CHECK(isRetry(decideRetry({true, 1, false}, EndpointOutcome::MaybeSent, false)));
    CHECK(!isRetry(decideRetry({true, MaxAttempts, false}, EndpointOutcome::MaybeSent, false)));
}
