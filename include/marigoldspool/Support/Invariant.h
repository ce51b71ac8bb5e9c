#ifndef MARIGOLDSPOOL_SUPPORT_INVARIANT_H
#define MARIGOLDSPOOL_SUPPORT_INVARIANT_H

#include <functional>
#include <string_view>

namespace marigoldspool {

/// Called with the name and the detail of a violated invariant.
using InvariantHandler = std::function<void(std::string_view name, std::string_view detail)>;

/// Replaces the handler and returns the previous one; the default logs an error.
InvariantHandler setInvariantHandler(InvariantHandler handler);

/// Reports a violation when \p holds is false. The program continues, since one violated
/// invariant must not stop unrelated requests.
void checkInvariant(bool holds, std::string_view name, std::string_view detail);

} // namespace marigoldspool

#endif
