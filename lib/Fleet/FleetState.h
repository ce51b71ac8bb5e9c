#ifndef MARIGOLDSPOOL_LIB_FLEET_FLEETSTATE_H
#define MARIGOLDSPOOL_LIB_FLEET_FLEETSTATE_H

#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Platform/Watcher.h"
#include "marigoldspool/Serving/ObjectMirror.h"

#include <functional>
#include <map>
#include <vector>

namespace marigoldspool {

/// Another instance, as its object in the store says.
struct FleetMember {
    InstanceId id;
    ZoneName zone;
    std::string peerAddress;
};

/// Follows the configuration, the endpoints, the evacuations and the instances in the store, and
/// through peers while the store turns this instance away.
class FleetState
{
public:
    explicit FleetState(FleetRuntime &runtime);
    ~FleetState();

    void start();
    void stop();
    void onTick();

    /// Called after each change of what the handler's name says.
    void setMembersHandler(std::function<void()> handler) { m_onMembers = std::move(handler); }
    void setConfigurationHandler(std::function<void()> handler)
    {
        m_onConfiguration = std::move(handler);
    }
    void setEndpointsHandler(std::function<void()> handler) { m_onEndpoints = std::move(handler); }

    const std::map<InstanceId, FleetMember> &members() const { return m_members; }
    bool isInOwnZone(const InstanceId &id) const;
    /// Prefixes that nobody has confirmed for a while, to be asked of peers.
    std::vector<ObjectsRequest> outdatedPrefixes() const;
    ObjectsTransfer transferFor(const ObjectsRequest &request) const;
    void onTransfer(const InstanceId &from, const ObjectsTransfer &transfer);
    /// Whether this instance watches the store on behalf of others.
    bool isWatcher() const { return m_isWatcher; }
    /// Of the instances that watch on behalf of \p peer, this one sends the changes; the others
    /// only say what they know.
    bool sendsChangesTo(const InstanceId &peer) const;
    bool sendsBeaconsTo(const InstanceId &peer) const;
    RevisionBeacon beacon() const;
    /// Returns what is to be asked of the sender.
    std::vector<ObjectsRequest> onBeacon(const RevisionBeacon &beacon);
    /// What others lack since the last call; for a watcher.
    std::vector<ObjectsTransfer> takeChanges();
    /// Configuration and endpoints are known.
    bool isLoaded() const;

private:
    class WatchedPrefix;

    WatchedPrefix *find(std::string_view prefix) const;
    void logChangedRates(const ServingConfiguration &configuration) const;
    void onConfiguration(const WatchEvent &event);
    void onEndpoint(const WatchEvent &event);
    void onEvacuation(const WatchEvent &event);
    void onMember(const WatchEvent &event);
    void registerSelf();
    void chooseWatchers();

    FleetRuntime &m_runtime;
    std::vector<std::unique_ptr<WatchedPrefix>> m_prefixes;
    std::map<InstanceId, FleetMember> m_members;
    std::function<void()> m_onMembers;
    std::function<void()> m_onConfiguration;
    std::function<void()> m_onEndpoints;
    SteadyTime m_nextRegistration;
    bool m_isWatcher = true;
    bool m_isFirstWatcher = true;
    bool m_registered = false;
    bool m_registering = false;
    /// Version of this instance's own object; 0 if there is none.
    std::uint64_t m_ownVersion = 0;
};

} // namespace marigoldspool

#endif
