#include "marigoldspool/Fleet/FleetDaemon.h"

#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"
#include "Fleet/FleetState.h"
#include "Fleet/PlacementDriver.h"
#include "Fleet/ServingFront.h"
#include "marigoldspool/Serving/UsageHub.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <utility>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration SilenceInterval = milliseconds(100);
constexpr Duration TickInterval = milliseconds(25);
// How often instances report. In a large fleet the owner hears all of them, and has a fraction of a
// core.
constexpr Duration SmallDemandInterval = milliseconds(700);
constexpr Duration LargeDemandInterval = milliseconds(1500);
constexpr Duration SmallUsageInterval = milliseconds(300);
constexpr Duration LargeUsageInterval = milliseconds(450);
// What the owner said counts this long; it says all of it each second.
constexpr Duration PlacementFreshness = milliseconds(2500);
// The load balancer asks once a second and takes an instance out after two misses. What is taken
// later than 3 s after the signal must be finished whatever it takes, which the grace may not
// allow.
constexpr Duration DrainNotice = milliseconds(2700);
// Left of the grace for closing connections.
constexpr Duration GraceMargin = milliseconds(500);
constexpr Duration StopPollInterval = milliseconds(20);

void answerText(ResponseSink &sink, int status, std::string_view body)
{
    const HeaderField headers[] = {{"Content-Type", "text/plain; version=0.0.4"}};
    sink.head(status, headers, false);
    sink.data(body);
    sink.finish();
}

} // namespace

class FleetDaemon::Parts
{
public:
    Parts(boost::asio::io_context &io, FleetOptions options, const FleetWire &wire,
          std::unique_ptr<ObjectStore> store, std::unique_ptr<Metrics> metrics)
        : m_runtime(io, std::move(options), wire, std::move(store), std::move(metrics))
        , m_state(m_runtime)
        , m_link(m_runtime, m_state)
        , m_placement(m_runtime, m_link)
        , m_front(m_runtime)
        , m_usageHub(m_runtime.options.instance, m_runtime.clock)
        , m_tick(io)
        , m_stopTimer(io)
        , m_demandAt(m_runtime.clock.now())
        , m_usageAt(m_runtime.clock.now())
    { }

    Expected<void> start()
    {
        m_state.setMembersHandler([this] {
            m_link.onMembers();
            m_usageHub.setZoneMembers(zoneMembers());
        });
        m_state.setConfigurationHandler([this] {
            m_placement.onConfiguration();
            m_placement.onEndpoints();
            m_front.poke();
        });
        m_state.setEndpointsHandler([this] {
            m_placement.onEndpoints();
            m_front.poke();
        });
        m_link.setHandler(
            [this](const InstanceId &from, std::uint64_t incarnation, const PeerMessage &message) {
                onMessage(from, incarnation, message);
            });
        m_placement.setUpdateHandler([this](const PlacementUpdate &update) {
            m_placementAt = m_runtime.clock.now();
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
            result = serve(m_ready, m_runtime.options.readyAddress,
                           [this](const HttpRequest &, ResponseSink &sink) {
                               const bool ready = isReady();
                               answerText(sink, ready ? 200 : 503, ready ? "ready\n" : "no\n");
                           });
        }
        if (result && !m_runtime.options.metricsAddress.empty()) {
            result = serve(m_metrics, m_runtime.options.metricsAddress,
                           [this](const HttpRequest &, ResponseSink &sink) {
                               answerText(sink, 200, m_runtime.metrics->exposition());
                           });
        }
        if (!result) {
            return result;
        }
        m_state.start();
        m_tick.start(TickInterval, [this] {
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
        m_stopped = std::move(stopped);
        m_runtime.stopping = true;
        m_placement.release();
        m_front.closeAfterAnswers();
        const SteadyTime now = m_runtime.clock.now();
        m_acceptUntil = now + DrainNotice;
        m_stopBy = now + m_runtime.options.grace - GraceMargin;
        m_stopTimer.start(StopPollInterval, [this] {
            pollStop();
        });
    }

private:
    using Page = std::function<void(const HttpRequest &, ResponseSink &)>;

    Expected<void> serve(std::unique_ptr<HttpServer> &server, const std::string &address, Page page)
    {
        HttpServerOptions options;
        options.address = address;
        auto made = makeHttpServer(
            m_runtime.io, options,
            [page = std::move(page)](const HttpRequest &request,
                                     const std::shared_ptr<ResponseSink> &sink) {
                page(request, *sink);
            },
            *m_runtime.metrics);
        if (!made) {
            return tl::make_unexpected(made.error());
        }
        server = std::move(*made);
        return {};
    }

    bool isReady() const { return !m_runtime.stopping && m_state.isLoaded(); }

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
        } else if (const auto *totals = std::get_if<UsageTotals>(&message)) {
            m_usageHub.setOwner(usageOwner());
            if (m_usageHub.onTotals(from, m_link.connectedPeers())) {
                m_runtime.quota.onTotals(from, incarnation, *totals);
            }
        }
    }

    void onPlacement(const InstanceId &from, const PlacementUpdate &update)
    {
        if (update.term < m_placementTerm) {
            return;
        }
        m_placementAt = m_runtime.clock.now();
        const bool isNewOwner = update.term > m_placementTerm;
        m_placementTerm = update.term;
        m_placement.onOwnerSeen(from, update);
        if (update.full || (!isNewOwner && update.sequence == m_placementHave + 1)) {
            m_placementHave = update.sequence;
            m_front.onPlacement(update);
            return;
        }
        if (isNewOwner || update.sequence > m_placementHave) {
            // Something is missing between what is known here and this update. A new owner knows
            // nothing of the demand here either.
            m_placementHave = 0;
            m_demandAt = m_placementAt;
        }
    }

    bool isSmallFleet() const { return m_state.members().size() <= FleetLink::MostMeshMembers; }

    std::vector<InstanceId> zoneMembers() const
    {
        std::vector<InstanceId> ids;
        for (const auto &[id, member] : m_state.members()) {
            if (m_state.isInOwnZone(id)) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    /// Whoever holds the lease sums up the use of quotas, also while it may not order yet.
    InstanceId usageOwner() const
    {
        if (m_placement.holdsLease()) {
            return m_runtime.options.instance;
        }
        const InstanceId &owner = m_link.owner();
        return owner == m_runtime.options.instance ? InstanceId() : owner;
    }

    // In a small fleet everyone hears everyone; in a larger one a hub sums up.
    void reportUsage()
    {
        const SteadyTime now = m_runtime.clock.now();
        if (now < m_usageAt) {
            return;
        }
        const bool isSmall = isSmallFleet();
        m_usageAt = now + (isSmall ? SmallUsageInterval : LargeUsageInterval);
        const UsageReport report = m_runtime.quota.report();
        const std::vector<InstanceId> connected = m_link.connectedPeers();
        if (isSmall) {
            for (const InstanceId &peer : connected) {
                m_link.send(peer, report);
            }
            return;
        }
        const InstanceId owner = usageOwner();
        m_usageHub.setOwner(owner);
        const InstanceId hub = m_usageHub.current(connected);
        if (hub != m_runtime.options.instance) {
            m_link.send(hub, report);
            return;
        }
        const UsageTotals totals = m_runtime.quota.totals();
        for (const InstanceId &peer : connected) {
            if (hub == owner || m_state.isInOwnZone(peer)) {
                m_link.send(peer, totals);
            }
        }
    }

    void reportDemand()
    {
        const SteadyTime now = m_runtime.clock.now();
        if (now < m_demandAt && !m_front.hasNewDemand()) {
            return;
        }
        m_demandAt = now + (isSmallFleet() ? SmallDemandInterval : LargeDemandInterval);
        DemandReport report = m_front.takeDemand();
        report.knownSequence = m_placementHave;
        if (m_placement.isOwner()) {
            m_placement.onDemand(m_runtime.options.instance, report);
        } else if (m_link.isOwnerReachable()) {
            m_link.send(m_link.owner(), report);
        }
    }

    void onTick()
    {
        m_state.onTick();
        m_link.onTick();
        m_placement.onTick();
        m_runtime.directory.onTick();
        const SteadyTime now = m_runtime.clock.now();
        const bool isFresh = now - m_placementAt < PlacementFreshness;
        if (m_wasFresh && !isFresh) {
            logEvent(LogLevel::Warning, "owner_lost", {{"owner", m_link.owner().str()}});
            m_front.forgetPlacement();
            m_placementHave = 0;
        } else if (!m_wasFresh && isFresh) {
            logEvent(LogLevel::Info, "owner_found", {{"owner", m_link.owner().str()}});
        }
        m_wasFresh = isFresh;
        m_front.setOwnerReachable(isFresh && m_link.isOwnerReachable());
        reportDemand();
        reportUsage();
        m_front.onTick();
        if (now >= m_silenceAt) {
            m_silenceAt = now + SilenceInterval;
            m_front.checkSilence();
        }
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
        if (!m_accepting) {
            if (m_front.openRequests() == 0 || now >= m_stopBy) {
                finishStop();
            }
            return;
        }
        m_accepting = false;
        m_front.stopAccepting();
    }

    void finishStop()
    {
        logEvent(LogLevel::Info, "stopped",
                 {{"open", std::to_string(m_front.openRequests())},
                  {"released", m_placement.isReleased() ? "yes" : "no"}});
        m_stopTimer.stop();
        m_tick.stop();
        m_state.stop();
        std::exchange(m_stopped, nullptr)();
    }

    FleetRuntime m_runtime;
    FleetState m_state;
    FleetLink m_link;
    PlacementDriver m_placement;
    ServingFront m_front;
    UsageHub m_usageHub;
    std::unique_ptr<HttpServer> m_ready;
    std::unique_ptr<HttpServer> m_metrics;
    PeriodicTimer m_tick;
    PeriodicTimer m_stopTimer;
    std::function<void()> m_stopped;
    SteadyTime m_demandAt;
    SteadyTime m_silenceAt;
    SteadyTime m_usageAt;
    SteadyTime m_placementAt;
    std::uint64_t m_placementTerm = 0;
    /// The last placement update known here without a gap before it; 0: none.
    std::uint64_t m_placementHave = 0;
    SteadyTime m_acceptUntil;
    SteadyTime m_stopBy;
    bool m_accepting = true;
    bool m_wasFresh = false;
    bool m_wasReady = false;
};

FleetDaemon::FleetDaemon(boost::asio::io_context &io, FleetOptions options, const FleetWire &wire,
                         std::unique_ptr<ObjectStore> store, std::unique_ptr<Metrics> metrics)
    : m_parts(
        std::make_unique<Parts>(io, std::move(options), wire, std::move(store), std::move(metrics)))
{ }

FleetDaemon::~FleetDaemon() = default;

Expected<void> FleetDaemon::start()
{
    return m_parts->start();
}

void FleetDaemon::stop(std::function<void()> stopped)
{
    m_parts->stop(std::move(stopped));
}

} // namespace marigoldspool
