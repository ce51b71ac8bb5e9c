#ifndef MARIGOLDSPOOL_PLATFORM_PUTWITHREADBACK_H
#define MARIGOLDSPOOL_PLATFORM_PUTWITHREADBACK_H

#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Metrics.h"

namespace marigoldspool {

/// Conditional write that resolves a lost answer by reading the object back.
///
/// Success and Conflict are definite. OutcomeUnknown is returned if the object cannot be read, if
/// another write has replaced it (this write may have taken effect before that one), or after
/// repeated lost answers. \p store must outlive the call unless it cancels its calls when it is
/// destroyed.
void putWithReadBack(ObjectStore &store, Metrics &metrics, std::string_view key,
                     std::uint64_t expectedVersion, std::string value, WriteId writeId,
                     Callback<std::uint64_t> done);

} // namespace marigoldspool

#endif
