#include "marigoldspool/Daemon/Daemon.h"

#include "Daemon/ConfigService.h"
#include "Daemon/FrontService.h"
#include "Daemon/GatewayService.h"
#include "Daemon/HomeService.h"
#include "Daemon/LimitsService.h"
#include "Daemon/OperatorPages.h"
#include "Daemon/PeerService.h"
#include "Daemon/PlacementService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"

#include <utility>

namespace marigoldspool {

namespace {

// The supervisor tree owns the services; Impl keeps references to those it calls.
template <class T>
T &addService(SupervisorNode &root, std::unique_ptr<T> service)
{
    T &reference = *service;
    root.add(std::move(service));
    return reference;
}

} // namespace

class Daemon::Impl
{
public:
    // Placement stops after routing, since requests that are still queued may need a model load.
    Impl(boost::asio::io_context &io, DaemonSettings settings)
        : runtime(io, std::move(settings))
        , root("root", io, runtime.clock)
        , peers(addService(root, std::make_unique<PeerService>(runtime)))
        , config(addService(root, std::make_unique<ConfigService>(runtime, peers)))
        , limits(addService(root, std::make_unique<LimitsService>(runtime, config, peers)))
        , m_pendingHome(std::make_unique<HomeService>(runtime, config, peers, limits))
        , placement(addService(
              root, std::make_unique<PlacementService>(runtime, config, peers, *m_pendingHome)))
        , home(addService(root, std::move(m_pendingHome)))
        , front(addService(root,
                           std::make_unique<FrontService>(runtime, config, peers, limits, home)))
        , gateway(addService(root, std::make_unique<GatewayService>(runtime, config, front)))
        , pages(runtime, config, peers, limits, home, placement)
    {
        gateway.setReadyCheck([this] {
            return limits.isReady();
        });
        gateway.addPage("/status", [this](std::string_view) {
            return serializeStatus(pages.status(gateway.isReady()));
        });
        gateway.addPage("/explain", [this](std::string_view query) {
            return pages.explain(query);
        });
        limits.setSlotsFreedHandler([this] {
            home.dispatchQueued();
        });
    }

    Runtime runtime;
    SupervisorNode root;
    PeerService &peers;
    ConfigService &config;
    LimitsService &limits;

private:
    std::unique_ptr<HomeService> m_pendingHome;

public:
    PlacementService &placement;
    HomeService &home;
    FrontService &front;
    GatewayService &gateway;
    OperatorPages pages;
};

Daemon::Daemon(boost::asio::io_context &io, DaemonSettings settings)
    : m_impl(std::make_unique<Impl>(io, std::move(settings)))
{
    setInvariantHandler([this](std::string_view name, std::string_view detail) {
        m_impl->runtime.metrics.add("marigoldspool_invariant_violations_total", 1,
                                    {{"invariant", std::string(name)}});
        logEvent(LogLevel::Error, "invariant_violated",
                 {{"name", std::string(name)}, {"detail", std::string(detail)}});
    });
}

Daemon::~Daemon()
{
    setInvariantHandler(nullptr);
}

Expected<void> Daemon::start()
{
    Expected<void> started = m_impl->root.start();
    if (started) {
        const DaemonSettings &settings = m_impl->runtime.settings;
        logEvent(LogLevel::Info, "started",
                 {{"instance", settings.instance.str()},
                  {"zone", settings.zone.str()},
                  {"listen", settings.listenAddress},
                  {"port", std::to_string(port())},
                  {"incarnation", std::to_string(m_impl->runtime.incarnation)}});
    }
    return started;
}

void Daemon::stop(std::function<void()> stopped)
{
    logEvent(LogLevel::Info, "stopping", {{"open", std::to_string(m_impl->front.openRequests())}});
    Runtime &runtime = m_impl->runtime;
    runtime.stopping = true;
    runtime.answersEndAt =
        runtime.clock.now() + runtime.settings.drainNotice + runtime.settings.stopTimeout;
    m_impl->peers.announceStopping();
    m_impl->home.beginStop();
    m_impl->root.stop(std::move(stopped));
}

void Daemon::setFailureHandler(std::function<void(Error)> handler)
{
    m_impl->root.setFailureHandler(std::move(handler));
}

std::uint16_t Daemon::port() const
{
    return m_impl->gateway.port();
}

} // namespace marigoldspool
