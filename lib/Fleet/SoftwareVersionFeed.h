#ifndef MARIGOLDSPOOL_LIB_FLEET_SOFTWAREVERSIONFEED_H
#define MARIGOLDSPOOL_LIB_FLEET_SOFTWAREVERSIONFEED_H

#include "Fleet/FleetRuntime.h"

namespace marigoldspool {

/// Tells SoftwareVersions of the listed endpoints and of the configuration, and both it and
/// StreamOrigins of the time.
class SoftwareVersionFeed
{
public:
    explicit SoftwareVersionFeed(FleetRuntime &runtime)
        : m_runtime(runtime)
    { }

    void onConfiguration();
    /// To be called after each change of an endpoint, before requests are dispatched.
    void onEndpoints();
    void onTick();

private:
    void feed();

    FleetRuntime &m_runtime;
    std::map<PoolName, SoftwareVersions::Versions> m_listed;
    SteadyTime m_nextFeed;
};

} // namespace marigoldspool

#endif
