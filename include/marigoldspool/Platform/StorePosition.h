#ifndef MARIGOLDSPOOL_PLATFORM_STOREPOSITION_H
#define MARIGOLDSPOOL_PLATFORM_STOREPOSITION_H

#include <cstdint>
#include <string>

namespace marigoldspool {

/// A store that was restored from an older copy gives out its revisions again, in a new era. A
/// position orders the revisions of all eras in one number. In era 0 it is the revision itself, so
/// that a store without eras needs none.
constexpr unsigned RevisionBits = 44;
constexpr std::uint64_t MaxRevision = (std::uint64_t{1} << RevisionBits) - 1;
constexpr std::uint64_t MaxEra = (std::uint64_t{1} << (64 - RevisionBits)) - 1;

/// \p era and \p revision must not exceed their maxima.
constexpr std::uint64_t storePosition(std::uint64_t era, std::uint64_t revision)
{
    return (era << RevisionBits) | revision;
}

constexpr std::uint64_t eraOf(std::uint64_t position)
{
    return position >> RevisionBits;
}

constexpr std::uint64_t revisionOf(std::uint64_t position)
{
    return position & MaxRevision;
}

/// ERA.REVISION, for logs.
std::string positionText(std::uint64_t position);

} // namespace marigoldspool

#endif
