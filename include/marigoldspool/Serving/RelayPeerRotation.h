#ifndef MARIGOLDSPOOL_SERVING_RELAYPEERROTATION_H
#define MARIGOLDSPOOL_SERVING_RELAYPEERROTATION_H

#include "marigoldspool/Support/Identifiers.h"

#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// Selects the peers that an instance asks for objects that it misses, a few at a time.
class RelayPeerRotation
{
public:
    /// The peers to ask now: all in a small fleet, else the next few of \p connected, so that
    /// repeated calls reach each of them.
    std::vector<InstanceId> next(gsl::span<const InstanceId> connected, bool isSmallFleet);

private:
    std::size_t m_position = 0;
};

} // namespace marigoldspool

#endif
