#ifndef MARIGOLDSPOOL_LIB_DAEMON_IDEMPOTENCYCLAIMS_H
#define MARIGOLDSPOOL_LIB_DAEMON_IDEMPOTENCYCLAIMS_H

#include "Daemon/Runtime.h"
#include "marigoldspool/Support/Refusal.h"

#include <functional>
#include <string>

#include <tl/expected.hpp>

namespace marigoldspool {

/// A caller's idempotency key, claimed for one request.
struct IdempotencyClaim {
    std::string key;
    std::uint64_t version = 0;
};

/// Claims callers' idempotency keys through conditional creates in the store, so that at most one
/// request per key runs across all instances.
class IdempotencyClaims
{
public:
    using ClaimHandler = std::function<void(tl::expected<IdempotencyClaim, Refusal>)>;

    explicit IdempotencyClaims(Runtime &runtime);

    /// Refuses with DuplicateRequest if the key is already claimed, and with StoreUnavailable if
    /// the outcome of the claim is not known.
    void claim(const WorkspaceName &workspace, std::string_view idempotencyKey,
               const RequestId &request, ClaimHandler done);
    /// Releases the key of a request that is known not to have run, so that it can be sent again.
    void release(const IdempotencyClaim &claim);

private:
    Runtime &m_runtime;
};

} // namespace marigoldspool

#endif
