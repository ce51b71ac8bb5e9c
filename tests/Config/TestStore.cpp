#include "TestStore.h"

namespace marigoldspool {

// Stands in for lib/Platform until that is there.
ObjectStore::~ObjectStore() = default;

} // namespace marigoldspool
