#ifndef MARIGOLDSPOOL_FLEET_FLEETOPTIONS_H
#define MARIGOLDSPOOL_FLEET_FLEETOPTIONS_H

#include "marigoldspool/Serving/OwnerLease.h"
#include "marigoldspool/Serving/RetryBudget.h"
#include "marigoldspool/Serving/WorkspaceQuota.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstddef>
#include <optional>
#include <string>

namespace marigoldspool {

/// Calls to the platform's control API that one instance at a time makes.
struct DutyOptions {
    /// `IP:PORT` of the control API.
    std::string address;
    bool reportsUsage = false;
    bool ordersReplicas = false;
    /// Calls that the API accepts from all instances together; zero: unlimited.
    double callsPerSecond = 0;
    /// Length of the windows in which usage is counted; they begin at multiples of it since the
    /// start of 1970.
    Duration usageWindow = std::chrono::seconds(5);
    /// How long after the end of a window its report is due.
    Duration usageDue = std::chrono::seconds(10);
};

/// Settings of one instance.
struct FleetOptions {
    InstanceId instance;
    ZoneName zone;
    /// Listening addresses, each `IP:PORT`: for callers, for the load balancer's readiness probe,
    /// for other instances and for metrics (empty: disabled); and the address of the store.
    std::string callerAddress;
    std::string readinessAddress;
    std::string peerAddress;
    std::string metricsAddress;
    std::string storeAddress;
    LeaseTimes lease;
    RetryBound retries;
    QuotaBound quota;
    /// Memory that this process may use, in bytes.
    std::size_t memoryBytes = 256'000'000;
    /// Time from SIGTERM to the end of the process.
    Duration gracePeriod = std::chrono::seconds(8);
    /// Concurrent loads that the weight store serves at full speed.
    int storeLoadsAtOnce = 4;
    /// Unset if the deployment has no control API.
    std::optional<DutyOptions> duties;
};

} // namespace marigoldspool

#endif
