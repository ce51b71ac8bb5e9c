#ifndef MARIGOLDSPOOL_LIB_FLEET_SOFTWAREVERSIONRECORD_H
#define MARIGOLDSPOOL_LIB_FLEET_SOFTWAREVERSIONRECORD_H

#include "Fleet/FleetRuntime.h"
#include "Fleet/PlacementDriver.h"

#include <map>

namespace marigoldspool {

/// The record in the store of the software versions that serve each pool or have served it lately.
/// All instances read it; the lease holder writes it.
class SoftwareVersionRecord
{
public:
    static constexpr const char *Prefix = "software-versions/";

    SoftwareVersionRecord(FleetRuntime &runtime, PlacementDriver &placement);

    void onTick();
    /// The record of a pool has changed in the store.
    void onObject(const WatchEvent &event);

private:
    struct Record {
        /// Version of the object in the store; 0 if it does not exist.
        std::uint64_t version = 0;
        /// Position of the last known change; earlier changes are ignored.
        std::uint64_t position = 0;
        SteadyTime nextWrite;
    };

    void write(const PoolName &pool, const SoftwareVersions::Versions &versions);
    void onWritten(const PoolName &pool, const SoftwareVersions::Versions &versions,
                   const Expected<std::uint64_t> &result);

    FleetRuntime &m_runtime;
    PlacementDriver &m_placement;
    std::map<PoolName, Record> m_records;
    bool m_isWriting = false;
};

} // namespace marigoldspool

#endif
