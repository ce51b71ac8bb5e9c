#ifndef MARIGOLDSPOOL_LIB_DAEMON_LIMITSSERVICE_H
#define MARIGOLDSPOOL_LIB_DAEMON_LIMITSSERVICE_H

#include "Daemon/ConfigService.h"
#include "Daemon/PeerService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Limits/LimitService.h"
#include "marigoldspool/Routing/Dispatcher.h"
#include "marigoldspool/Supervisor/Supervisor.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <deque>
#include <functional>
#include <optional>

namespace marigoldspool {

/// Executes the actions of this instance's limits: peer messages, roster reads and writes, and the
/// admission of requests that wait for a loan.
class LimitsService final : public Service, public SlotSource, private PeerListener
{
public:
    /// Receives the refusal, or nothing when the request was admitted.
    using AdmitHandler = std::function<void(std::optional<Refusal>)>;

    LimitsService(Runtime &runtime, ConfigService &config, PeerService &peers);

    std::string_view name() const override { return "limits"; }
    Expected<void> start() override;
    /// Releases this instance's share if the store answers in time.
    void stop(std::function<void()> stopped) override;

    void admit(const WorkspaceName &workspace, double cost, AdmitHandler done);
    void reconcile(const WorkspaceName &workspace, double estimated, double used);
    bool tryTakeSlot(const EndpointId &endpoint, Duration left) override;
    void returnSlot(const EndpointId &endpoint) override;
    void setSlots(const EndpointId &endpoint, int slots) override;
    /// \p handler is called when slots may have become free.
    void setSlotsFreedHandler(std::function<void()> handler)
    {
        m_onSlotsFreed = std::move(handler);
    }
    LimitSnapshot snapshot() { return m_limits.snapshot(); }
    /// Whether requests can be admitted: from this instance's own share, or on loan from a peer.
    bool isReady();

private:
    struct WaitingAdmission {
        WorkspaceName workspace;
        double cost = 0;
        SteadyTime deadline;
        AdmitHandler done;
    };

    void onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                       const PeerMessage &message) override;
    void onPlatformList(gsl::span<const PlatformInstance> list) override;
    void onTick();
    void publishMetrics();
    void execute(LimitActions actions);
    void readRoster(const std::string &key);
    void retryWaiting();
    std::optional<Refusal> makeRefusal(const WorkspaceName &workspace, double cost,
                                       const LimitDecision &decision) const;
    void finishStop();

    Runtime &m_runtime;
    PeerService &m_peers;
    LimitService m_limits;
    std::deque<WaitingAdmission> m_waiting;
    std::function<void()> m_onSlotsFreed;
    PeriodicTimer m_timer;
    SteadyTime m_nextPeerUpdate;
    SteadyTime m_startedAt;
    std::function<void()> m_stopped;
    SteadyTime m_stopDeadline;
};

} // namespace marigoldspool

#endif
