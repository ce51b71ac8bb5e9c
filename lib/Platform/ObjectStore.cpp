#include "marigoldspool/Platform/ObjectStore.h"

namespace marigoldspool {

ObjectStore::~ObjectStore() = default;

} // namespace marigoldspool
