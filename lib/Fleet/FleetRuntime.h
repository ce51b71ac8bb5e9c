#ifndef MARIGOLDSPOOL_LIB_FLEET_FLEETRUNTIME_H
#define MARIGOLDSPOOL_LIB_FLEET_FLEETRUNTIME_H

#include "marigoldspool/Fleet/FleetCodec.h"
#include "marigoldspool/Fleet/FleetOptions.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Serving/ObservedTime.h"
#include "marigoldspool/Serving/PriorityDemands.h"
#include "marigoldspool/Serving/PromptQuarantine.h"
#include "marigoldspool/Serving/RouteTable.h"
#include "marigoldspool/Serving/SoftwareVersions.h"
#include "marigoldspool/Serving/StreamOrigins.h"
#include "marigoldspool/Serving/UsageTally.h"
#include "marigoldspool/Serving/WorkspaceQuota.h"
#include "marigoldspool/Support/Metrics.h"
#include "marigoldspool/Support/RandomSource.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

/// Shared state of the components of one instance. All of it is used on the thread of `io` only.
struct FleetRuntime {
    FleetRuntime(boost::asio::io_context &ioContext, FleetOptions fleetOptions,
                 const FleetCodec &fleetCodec, std::unique_ptr<ObjectStore> objectStore,
                 std::unique_ptr<Metrics> fleetMetrics);

    /// Records what an endpoint states about itself in its answer to a call that named it and was
    /// sent at \p askedAt.
    void noteAnswer(const EndpointIncarnation &called, const AnswerTraits &traits,
                    StatementSource source, SteadyTime askedAt);

    boost::asio::io_context &io;
    FleetOptions options;
    const FleetCodec &codec;
    SystemClock clock;
    SuspendAwareClock orderClock;
    ObservedTime observedTime;
    SeededRandomSource random;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<EndpointClient> endpoints;
    /// Routes of the current configuration; null before the first one.
    std::shared_ptr<const RouteTable> routes;
    /// The store had no configuration newer than that of \c routes at this time.
    SteadyTime configurationConfirmedAt;
    EndpointDirectory directory;
    /// The store's list of endpoints was that of \c directory at this time.
    SteadyTime endpointsConfirmedAt;
    WorkspaceQuota quota;
    RetryBudget retries;
    PromptQuarantine quarantine;
    SoftwareVersions softwareVersions{clock};
    StreamOrigins streamOrigins{clock};
    /// Null if usage is not reported.
    std::unique_ptr<UsageTally> usage;
    std::uint64_t incarnation;
    /// Whether the configuration, endpoints, evacuations and instances have been received. Before,
    /// an instance might use an evacuated zone, or more than its share of a limit.
    bool isLoaded = false;
    /// Whether the streams that were begun before have been read from the store, or need not be
    /// waited for any longer.
    bool areStreamOriginsRead = false;
    /// Whether a planned stop is in progress.
    bool stopping = false;
    /// When a planned stop closes the callers' connections.
    SteadyTime answersEndAt = SteadyTime::max();
    PriorityDemandView priorityDemand{clock};
};

} // namespace marigoldspool

#endif
