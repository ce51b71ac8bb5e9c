#include "marigoldspool/Fleet/FleetDaemon.h"

#include "Fleet/DutyDriver.h"
#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"
#include "Fleet/FleetState.h"
#include "Fleet/LoadExchange.h"
#include "Fleet/PlacementDriver.h"
#include "Fleet/ReplicaCountDriver.h"
#include "Fleet/ServingFront.h"
#include "Fleet/SoftwareVersionFeed.h"
#include "Fleet/SoftwareVersionRecord.h"
#include "Fleet/StatementMonitor.h"
#include "Fleet/StreamOriginExchange.h"
#include "Fleet/StreamOriginRecord.h"
#include "Fleet/SuspicionExchange.h"
#include "Fleet/UsageReporter.h"
#include "marigoldspool/Serving/UsageHubSelector.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration SilenceCheckInterval = milliseconds(100);
constexpr Duration TickInterval = milliseconds(25);
// How often instances report. In a large fleet they report less often, since the owner receives all
// reports and may have only a fraction of a core.
constexpr Duration SmallFleetDemandInterval = milliseconds(700);
constexpr Duration LargeFleetDemandInterval = milliseconds(1500);
// Minimum time between two reports of requests that have just begun to wait.
constexpr Duration LargeFleetUrgentInterval = milliseconds(100);
constexpr Duration SmallFleetUsageInterval = milliseconds(300);
constexpr Duration LargeFleetUsageInterval = milliseconds(450);
// How long the owner's last update is used; the owner publishes at least once a second.
constexpr Duration PlacementFreshness = milliseconds(2500);
// How long requests are accepted after the signal. The load balancer probes once a second and
// removes an instance after two failures. A request accepted later than 3 s after the signal must
// be completed however long it takes, for which the grace period may be too short.
constexpr Duration DrainAcceptTime = milliseconds(2700);
// Reserved at the end of the grace period for closing connections.
constexpr Duration GraceMargin = milliseconds(500);
// How long the end of a planned stop waits for the store to remove this instance from the list. The
// store answers within some milliseconds; the others drop an instance that it could not remove.
constexpr Duration UnregisterTime = milliseconds(300);
static_assert(UnregisterTime < GraceMargin, "the process ends within the grace period");
constexpr Duration StopPollInterval = milliseconds(20);
constexpr Duration QuarantineRepeatInterval = std::chrono::seconds(1);
constexpr Duration MinLoggedTickDelay = milliseconds(250);

void sendText(ResponseSink &sink, int status, std::string_view body)
{
    const HeaderField headers[] = {{"Content-Type", "text/plain; version=0.0.4"}};
    sink.head(status, headers, false);
    sink.data(body);
    sink.finish();
}

} // namespace

class FleetDaemon::Impl final : private StatementMonitor::FleetSender
{
public:
    Impl(boost::asio::io_context &io, FleetOptions options, const FleetCodec &codec,
         std::unique_ptr<ObjectStore> store, std::unique_ptr<Metrics> metrics)
        : m_runtime(io, std::move(options), codec, std::move(store), std::move(metrics))
        , m_softwareVersions(m_runtime)
        , m_state(m_runtime)
        , m_link(m_runtime, m_state)
        , m_placement(m_runtime, m_link)
        , m_loads(m_runtime, m_link, m_placement)
        , m_duties(m_runtime, m_placement.lease())
        , m_replicas(m_runtime, m_state, m_placement, m_duties)
        , m_front(m_runtime)
        , m_statements(m_runtime, m_link, *this)
        , m_suspicions(m_runtime, m_placement, *this)
        , m_versionRecord(m_runtime, m_placement)
        , m_originExchange(m_runtime, m_state, m_link, *this)
        , m_originRecord(m_runtime, m_placement)
        , m_usageHub(m_runtime.options.instance, m_runtime.clock)
        , m_tickTimer(io)
        , m_stopTimer(io)
        , m_nextDemandReport(m_runtime.clock.now())
        , m_nextUsageReport(m_runtime.clock.now())
    {
        if (m_runtime.usage) {
            m_usageReporter = std::make_unique<UsageReporter>(m_runtime, m_state, m_link,
                                                              m_placement.lease(), m_duties);
        }
    }

    Expected<void> start()
    {
        m_state.setMembersHandler([this] {
            m_link.updatePeers();
            m_usageHub.setZoneMembers(electableMembers(m_state.ownZoneTopology()));
            m_placement.onMembers();
            if (m_usageReporter) {
                m_usageReporter->onMembers();
            }
        });
        m_state.setConfigurationHandler([this] {
            m_softwareVersions.onConfiguration();
            m_placement.onConfiguration();
            m_placement.onEndpoints();
            m_front.scheduleDispatch();
            logOpenRequests();
        });
        const auto onEndpoints = [this] {
            m_softwareVersions.onEndpoints();
            m_placement.onEndpoints();
            m_front.scheduleDispatch();
        };
        m_state.setEndpointsHandler(onEndpoints);
        m_state.setVersionRecordHandler([this](const WatchEvent &event) {
            m_versionRecord.onObject(event);
        });
        m_statements.setChangeHandler(onEndpoints);
        m_link.setHandler(
            [this](const InstanceId &from, std::uint64_t incarnation, const PeerMessage &message) {
                onMessage(from, incarnation, message);
            });
        m_placement.setUpdateHandler([this](const PlacementUpdate &update) {
            m_lastPlacementAt = m_runtime.clock.now();
            m_placementTerm = update.term;
            m_front.onPlacement(update);
        });
        m_placement.setForecastHandler([this](const LoadForecasts &forecasts) {
            m_front.onForecasts(forecasts);
        });
        Expected<void> result = m_front.start();
        if (result) {
            result = m_link.start();
        }
        if (result) {
            result = startServer(m_readinessServer, m_runtime.options.readinessAddress,
                                 [this](const HttpRequest &, ResponseSink &sink) {
                                     const bool ready = isReady();
                                     sendText(sink, ready ? 200 : 503, ready ? "ready\n" : "no\n");
                                 });
        }
        if (result && !m_runtime.options.metricsAddress.empty()) {
            result = startServer(m_metricsServer, m_runtime.options.metricsAddress,
                                 [this](const HttpRequest &, ResponseSink &sink) {
                                     sendText(sink, 200, m_runtime.metrics->exposition());
                                 });
        }
        if (!result) {
            return result;
        }
        m_state.start();
        m_tickTimer.start(TickInterval, [this] {
            onTick();
        });
        logEvent(LogLevel::Info, "started",
                 {{"instance", m_runtime.options.instance.str()},
                  {"zone", m_runtime.options.zone.str()},
                  {"callers", m_runtime.options.callerAddress},
                  {"peers", m_runtime.options.peerAddress},
                  {"store", m_runtime.options.storeAddress},
                  {"incarnation", std::to_string(m_runtime.incarnation)}});
        return {};
    }

    void stop(std::function<void()> stopped)
    {
        logEvent(LogLevel::Info, "stopping", {{"open", std::to_string(m_front.openRequests())}});
        m_onStopped = std::move(stopped);
        m_runtime.stopping = true;
        m_placement.release();
        m_front.closeAfterAnswers();
        const SteadyTime now = m_runtime.clock.now();
        m_acceptUntil = now + DrainAcceptTime;
        m_stopDeadline = now + m_runtime.options.gracePeriod - GraceMargin;
        m_runtime.answersEndAt = m_stopDeadline;
        m_stopTimer.start(StopPollInterval, [this] {
            pollStop();
        });
    }

private:
    using PageHandler = std::function<void(const HttpRequest &, ResponseSink &)>;

    Expected<void> startServer(std::unique_ptr<HttpServer> &server, const std::string &address,
                               PageHandler handler)
    {
        HttpServerOptions options;
        options.address = address;
        auto created = makeHttpServer(
            m_runtime.io, options,
            [handler = std::move(handler)](const HttpRequest &request,
                                           const std::shared_ptr<ResponseSink> &sink) {
                handler(request, *sink);
            },
            *m_runtime.metrics);
        if (!created) {
            return tl::make_unexpected(created.error());
        }
        server = std::move(*created);
        return {};
    }

    // Tells which requests a change of the configuration can have affected.
    void logOpenRequests() const
    {
        const RequestCounts counts = m_front.requestCounts();
        logEvent(LogLevel::Info, "open_requests",
                 {{"waiting", std::to_string(counts.waiting)},
                  {"unanswered", std::to_string(counts.unanswered)},
                  {"answering", std::to_string(counts.answering)}});
    }

    bool isReady() const { return !m_runtime.stopping && m_runtime.isLoaded; }

    void onMessage(const InstanceId &from, std::uint64_t incarnation, const PeerMessage &message)
    {
        if (const auto *demand = std::get_if<DemandReport>(&message)) {
            m_placement.onDemand(from, *demand);
        } else if (const auto *update = std::get_if<PlacementUpdate>(&message)) {
            onPlacement(from, *update);
        } else if (const auto *forecasts = std::get_if<LoadForecasts>(&message)) {
            if (forecasts->term == m_placementTerm) {
                m_front.onForecasts(*forecasts);
            }
        } else if (const auto *usage = std::get_if<UsageReport>(&message)) {
            m_runtime.quota.onReport(from, incarnation, *usage);
        } else if (const auto *evidence = std::get_if<PromptEvidence>(&message)) {
            m_runtime.quarantine.onEvidence(*evidence, isHub());
        } else if (const auto *leaving = std::get_if<LeavingEndpoints>(&message)) {
            m_statements.onLeaving(*leaving);
        } else if (const auto *limited = std::get_if<LimitedEndpoints>(&message)) {
            m_statements.onLimited(*limited);
        } else if (const auto *loads = std::get_if<EndpointLoads>(&message)) {
            m_loads.onLoads(from, *loads);
        } else if (const auto *fleetLoads = std::get_if<FleetLoads>(&message)) {
            m_loads.onTotals(from, *fleetLoads);
        } else if (const auto *silent = std::get_if<SilentEndpoints>(&message)) {
            m_suspicions.onMessage(from, from == usageHub() || from == usageOwner(), *silent);
        } else if (const auto *origins = std::get_if<StreamOriginNotices>(&message)) {
            m_originExchange.onMessage(from == usageHub() || from == usageOwner(), *origins);
        } else if (const auto *totals = std::get_if<UsageTotals>(&message)) {
            m_usageHub.setOwner(usageOwner());
            if (m_usageHub.acceptTotals(from, m_link.connectedPeers())) {
                m_runtime.quota.onTotals(from, incarnation, *totals);
            }
        } else if (const auto *starts = std::get_if<RequestStarts>(&message)) {
            if (m_usageReporter) {
                m_usageReporter->onStarts(from, incarnation, *starts);
            }
        }
    }

    void onPlacement(const InstanceId &from, const PlacementUpdate &update)
    {
        if (update.term < m_placementTerm) {
            return;
        }
        m_lastPlacementAt = m_runtime.clock.now();
        const bool isNewOwner = update.term > m_placementTerm;
        m_placementTerm = update.term;
        m_placement.onOwnerSeen(from, update);
        if (update.full || (!isNewOwner && update.sequence == m_placementSequence + 1)) {
            m_placementSequence = update.sequence;
            m_front.onPlacement(update);
            return;
        }
        if (isNewOwner || update.sequence > m_placementSequence) {
            // An update was missed. The next demand report, sent at once, requests a full update
            // and tells a new owner the demand here.
            m_placementSequence = 0;
            m_nextDemandReport = m_lastPlacementAt;
        }
    }

    bool isSmallFleet() const { return m_state.members().size() <= FleetLink::MaxMeshMembers; }

    /// The lease holder aggregates quota usage, even while it may not send orders yet.
    InstanceId usageOwner() const
    {
        if (m_placement.isLeaseHolder()) {
            return m_runtime.options.instance;
        }
        const InstanceId &owner = m_link.owner();
        return owner == m_runtime.options.instance ? InstanceId() : owner;
    }

    // In a small fleet, instances exchange usage with each other; in a large one, through a hub.
    void reportUsage()
    {
        const SteadyTime now = m_runtime.clock.now();
        if (now < m_nextUsageReport) {
            return;
        }
        const bool isSmall = isSmallFleet();
        m_nextUsageReport = now + (isSmall ? SmallFleetUsageInterval : LargeFleetUsageInterval);
        const UsageReport report = m_runtime.quota.report();
        const std::vector<InstanceId> connected = m_link.connectedPeers();
        if (isSmall) {
            for (const InstanceId &peer : connected) {
                m_link.send(peer, report);
            }
            return;
        }
        const InstanceId hub = usageHub();
        if (hub != m_runtime.options.instance) {
            m_link.send(hub, report);
            return;
        }
        const UsageTotals totals = m_runtime.quota.totals();
        for (const InstanceId &peer : connected) {
            if (hub == usageOwner() || m_state.isInOwnZone(peer)) {
                m_link.send(peer, totals);
            }
        }
    }

    InstanceId usageHub()
    {
        m_usageHub.setOwner(usageOwner());
        return m_usageHub.currentHub(m_link.connectedPeers());
    }

    /// In a large fleet, the instance that aggregates usage also passes on evidence and rate
    /// limits.
    bool isHub() override { return !isSmallFleet() && usageHub() == m_runtime.options.instance; }

    void sendToFleet(const PeerMessage &message) override
    {
        if (isSmallFleet() || isHub()) {
            for (const InstanceId &peer : m_link.connectedPeers()) {
                m_link.send(peer, message);
            }
            return;
        }
        m_link.send(usageHub(), message);
    }

    // Evidence is sent at once, since each request with a part that crashes engines costs one. All
    // that is under quarantine is repeated, for instances that have started or missed a message.
    void exchangeEvidence()
    {
        m_runtime.quarantine.onTick();
        const PromptEvidence evidence = m_runtime.quarantine.takeEvidence();
        if (!evidence.empty()) {
            sendToFleet(evidence);
        }
        const SteadyTime now = m_runtime.clock.now();
        if (now >= m_nextQuarantineRepeat) {
            m_nextQuarantineRepeat = now + QuarantineRepeatInterval;
            if (m_runtime.quarantine.quarantinedCount() > 0) {
                sendToFleet(m_runtime.quarantine.allQuarantined());
            }
        }
        for (const TrialChange &change : m_runtime.quarantine.trials().takeChanges()) {
            logEvent(LogLevel::Info, "prompt_trial",
                     {{"pool", change.pool.str()},
                      {"part", change.part},
                      {"id", change.request.str()},
                      {"outcome", std::string(change.outcome)}});
            m_runtime.metrics->add("marigoldspool_prompt_trials_total", 1,
                                   {{"outcome", std::string(change.outcome)}});
        }
        bool hasNew = false;
        for (const QuarantineChange &change : m_runtime.quarantine.takeChanges()) {
            hasNew = hasNew || change.quarantined;
            logEvent(LogLevel::Warning,
                     change.quarantined ? "prompt_quarantined" : "prompt_released",
                     {{"pool", change.pool.str()},
                      {"part", change.part},
                      {"crashes", std::to_string(change.crashes)},
                      {"remaining_ms", std::to_string(toMilliseconds(change.remaining))}});
            m_runtime.metrics->add("marigoldspool_prompt_quarantine_total", 1,
                                   {{"change", change.quarantined ? "imposed" : "released"}});
        }
        if (hasNew) {
            m_front.onQuarantine();
        }
    }

    void reportDemand()
    {
        const SteadyTime now = m_runtime.clock.now();
        const bool isUrgent = m_front.hasNewDemand() && now >= m_nextUrgentReport;
        if (now < m_nextDemandReport && !isUrgent) {
            return;
        }
        const bool isSmall = isSmallFleet();
        m_nextDemandReport = now + (isSmall ? SmallFleetDemandInterval : LargeFleetDemandInterval);
        m_nextUrgentReport = now + (isSmall ? TickInterval : LargeFleetUrgentInterval);
        DemandReport report = m_front.takeDemand();
        report.knownSequence = m_placementSequence;
        if (m_placement.isOwner()) {
            m_placement.onDemand(m_runtime.options.instance, report);
        } else if (m_link.isOwnerReachable()) {
            m_link.send(m_link.owner(), report);
        }
    }

    // A late tick means that the machine has too little processor time, and that everything else on
    // the event loop is late by as much.
    void checkTickDelay()
    {
        const SteadyTime now = m_runtime.clock.now();
        const Duration delay = m_lastTickAt == SteadyTime()
            ? Duration::zero()
            : std::max(now - m_lastTickAt - TickInterval, Duration::zero());
        m_lastTickAt = now;
        m_runtime.metrics->observe("marigoldspool_tick_delay_seconds", toSeconds(delay));
        if (delay >= MinLoggedTickDelay) {
            logEvent(LogLevel::Warning, "event_loop_delayed",
                     {{"delay_ms", std::to_string(toMilliseconds(delay))},
                      {"owner", m_placement.isOwner() ? "yes" : "no"},
                      {"open", std::to_string(m_front.openRequests())}});
        }
    }

    void onTick()
    {
        checkTickDelay();
        m_runtime.observedTime.onTick(m_runtime.clock.now());
        m_state.onTick();
        m_link.onTick();
        m_placement.onTick();
        if (m_usageReporter) {
            m_usageReporter->onTick();
        }
        m_runtime.directory.onTick();
        m_softwareVersions.onTick();
        m_statements.onTick();
        m_loads.onTick();
        m_replicas.onTick();
        const SteadyTime now = m_runtime.clock.now();
        const bool isFresh = now - m_lastPlacementAt < PlacementFreshness;
        if (m_wasPlacementFresh && !isFresh) {
            logEvent(LogLevel::Warning, "owner_lost", {{"owner", m_link.owner().str()}});
            m_front.clearPlacement();
            m_placementSequence = 0;
        } else if (!m_wasPlacementFresh && isFresh) {
            logEvent(LogLevel::Info, "owner_found", {{"owner", m_link.owner().str()}});
        }
        m_wasPlacementFresh = isFresh;
        m_front.setOwnerReachable(isFresh && m_link.isOwnerReachable());
        reportDemand();
        reportUsage();
        exchangeEvidence();
        m_front.onTick();
        if (now >= m_nextSilenceCheck) {
            m_nextSilenceCheck = now + SilenceCheckInterval;
            m_front.checkSilence();
        }
        m_suspicions.onTick();
        m_versionRecord.onTick();
        m_originExchange.onTick();
        m_originRecord.onTick();
        const bool ready = isReady();
        if (ready != m_wasReady) {
            m_wasReady = ready;
            logEvent(LogLevel::Info, ready ? "ready" : "not_ready");
        }
    }

    void pollStop()
    {
        const SteadyTime now = m_runtime.clock.now();
        if (now < m_acceptUntil) {
            return;
        }
        if (m_accepting) {
            m_accepting = false;
            m_front.stopAccepting();
            return;
        }
        const bool isDue = now >= m_stopDeadline;
        if (m_front.openRequests() > 0 && !isDue) {
            return;
        }
        if (m_unregisterUntil == SteadyTime()) {
            m_unregisterUntil = now + UnregisterTime;
            m_stoppedOpenCount = m_front.openRequests();
            m_front.endOpenRequests();
            m_state.unregister();
        }
        if (m_state.isUnregistered() || now >= m_unregisterUntil) {
            finishStop();
        }
    }

    void finishStop()
    {
        m_stoppedOpenCount += m_front.openRequests();
        m_front.endOpenRequests();
        const RequestCounts counts = m_front.requestCounts();
        const std::string started = std::to_string(counts.started);
        const std::string finished = std::to_string(counts.finished);
        checkInvariant(counts.started == counts.finished, "started_requests_finished",
                       started + " started, " + finished + " finished");
        logEvent(LogLevel::Info, "stopped",
                 {{"open", std::to_string(m_stoppedOpenCount)},
                  {"started", started},
                  {"finished", finished},
                  {"released", m_placement.isReleased() ? "yes" : "no"},
                  {"unregistered", m_state.isUnregistered() ? "yes" : "no"}});
        m_stopTimer.stop();
        m_tickTimer.stop();
        m_state.stop();
        std::exchange(m_onStopped, nullptr)();
    }

    FleetRuntime m_runtime;
    SoftwareVersionFeed m_softwareVersions;
    FleetState m_state;
    FleetLink m_link;
    PlacementDriver m_placement;
    LoadExchange m_loads;
    DutyDriver m_duties;
    /// Null if usage is not reported.
    std::unique_ptr<UsageReporter> m_usageReporter;
    ReplicaCountDriver m_replicas;
    ServingFront m_front;
    StatementMonitor m_statements;
    SuspicionExchange m_suspicions;
    SoftwareVersionRecord m_versionRecord;
    StreamOriginExchange m_originExchange;
    StreamOriginRecord m_originRecord;
    UsageHubSelector m_usageHub;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    PeriodicTimer m_tickTimer;
    PeriodicTimer m_stopTimer;
    std::function<void()> m_onStopped;
    SteadyTime m_nextDemandReport;
    SteadyTime m_nextUrgentReport;
    SteadyTime m_lastTickAt;
    SteadyTime m_nextSilenceCheck;
    SteadyTime m_nextUsageReport;
    SteadyTime m_nextQuarantineRepeat;
    SteadyTime m_lastPlacementAt;
    std::uint64_t m_placementTerm = 0;
    /// Sequence number of the last placement update received without a gap; 0: none.
    std::uint64_t m_placementSequence = 0;
    SteadyTime m_acceptUntil;
    SteadyTime m_stopDeadline;
    /// When the process ends even if it is still listed; not set before its requests have ended.
    SteadyTime m_unregisterUntil;
    /// Requests that the end of a planned stop has ended.
    std::size_t m_stoppedOpenCount = 0;
    bool m_accepting = true;
    bool m_wasPlacementFresh = false;
    bool m_wasReady = false;
};

FleetDaemon::FleetDaemon(boost::asio::io_context &io, FleetOptions options, const FleetCodec &codec,
                         std::unique_ptr<ObjectStore> store, std::unique_ptr<Metrics> metrics)
    : m_impl(
        std::make_unique<Impl>(io, std::move(options), codec, std::move(store), std::move(metrics)))
{ }

FleetDaemon::~FleetDaemon() = default;

Expected<void> FleetDaemon::start()
{
    return m_impl->start();
}

void FleetDaemon::stop(std::function<void()> stopped)
{
    m_impl->stop(std::move(stopped));
}

} // namespace marigoldspool
