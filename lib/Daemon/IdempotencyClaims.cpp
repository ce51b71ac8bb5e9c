#include "Daemon/IdempotencyClaims.h"

#include "marigoldspool/Platform/PutWithReadBack.h"
#include "marigoldspool/Support/Digest.h"
#include "marigoldspool/Support/EventLog.h"

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

// The duplicate does not run, but the request that holds the claim may have run.
Refusal duplicateRefusal()
{
    return {RefusalReason::DuplicateRequest, RanState::Unknown,
            "a request with this Idempotency-Key was sent before",
            "look up the outcome of the earlier request, or use a new key for a new request",
            Duration::zero()};
}

Refusal storeRefusal()
{
    return {RefusalReason::StoreUnavailable, RanState::No,
            "the Idempotency-Key cannot be claimed while the platform's store does not answer",
            "send it again later with the same key", std::chrono::seconds(2)};
}

} // namespace

IdempotencyClaims::IdempotencyClaims(Runtime &runtime)
    : m_runtime(runtime)
{ }

void IdempotencyClaims::claim(const WorkspaceName &workspace, std::string_view idempotencyKey,
                              const RequestId &request, ClaimHandler done)
{
    const std::string key = "idempotency/" + workspace.str() + "/" + sha256Hex(idempotencyKey);
    const nlohmann::json value{
        {"request", request.str()},
        {"claimed_ms", toMilliseconds(m_runtime.clock.wallNow().time_since_epoch())}};
    putWithReadBack(*m_runtime.store, m_runtime.metrics, key, 0, value.dump(),
                    WriteId(request.str()),
                    [key, done = std::move(done)](const Expected<std::uint64_t> &version) {
                        if (version) {
                            done(IdempotencyClaim{key, *version});
                        } else if (version.error().kind == ErrorKind::Conflict) {
                            done(tl::make_unexpected(duplicateRefusal()));
                        } else {
                            done(tl::make_unexpected(storeRefusal()));
                        }
                    });
}

void IdempotencyClaims::release(const IdempotencyClaim &claim)
{
    m_runtime.store->remove(claim.key, claim.version, [](const Expected<std::uint64_t> &removed) {
        if (!removed) {
            logEvent(LogLevel::Warning, "idempotency_claim_not_released",
                     {{"error", describeError(removed.error())}});
        }
    });
}

} // namespace marigoldspool
