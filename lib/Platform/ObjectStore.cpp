#include "marigoldspool/Platform/ObjectStore.h"

#include "marigoldspool/Platform/StorePosition.h"

namespace marigoldspool {

std::string positionText(std::uint64_t position)
{
    return std::to_string(eraOf(position)) + '.' + std::to_string(revisionOf(position));
}

ObjectStore::~ObjectStore() = default;

} // namespace marigoldspool
