#ifndef MARIGOLDSPOOL_LIB_FLEET_FLEETSTATE_H
#define MARIGOLDSPOOL_LIB_FLEET_FLEETSTATE_H

#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Peer/PeerTopology.h"
#include "marigoldspool/Platform/Watcher.h"
#include "marigoldspool/Serving/ObjectMirror.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

class WatchedPrefix;

/// An instance of the fleet as registered in the store.
struct FleetMember {
    InstanceId id;
    ZoneName zone;
    std::string peerAddress;
    /// Identifies the process; 0 in objects that lack it.
    std::uint64_t incarnation = 0;
    bool isStopping = false;
    /// Version of the object in the store.
    std::uint64_t version = 0;
    /// When a stopping instance that is still listed counts as gone.
    SteadyTime goneAt = SteadyTime::max();
};

/// Tracks the configuration, endpoints, zone evacuations, instances and records of software
/// versions in the store, either by watching the store or through peers that do.
class FleetState
{
public:
    explicit FleetState(FleetRuntime &runtime);
    ~FleetState();

    void start();
    void stop();
    void onTick();
    /// Removes this instance from the list, at the end of a planned stop.
    void unregister() { m_isUnregistering = true; }
    /// Whether this instance has no object in the store, as far as it knows, and writes none.
    bool isUnregistered() const
    {
        return m_registration == Registration::None && !m_isWritingRegistration;
    }

    /// \name Handlers called after each change
    /// \{
    void setMembersHandler(std::function<void()> handler) { m_onMembers = std::move(handler); }
    void setConfigurationHandler(std::function<void()> handler)
    {
        m_onConfiguration = std::move(handler);
    }
    void setEndpointsHandler(std::function<void()> handler) { m_onEndpoints = std::move(handler); }
    void setVersionRecordHandler(std::function<void(const WatchEvent &)> handler)
    {
        m_onVersionRecord = std::move(handler);
    }
    /// \}

    /// The instances that run, with those in a planned stop. What an instance may be elected for
    /// is decided by electableMembers().
    const std::map<InstanceId, FleetMember> &members() const { return m_members; }
    /// The same, ordered by id.
    std::vector<TopologyMember> topology() const;
    std::vector<TopologyMember> ownZoneTopology() const;
    bool isInOwnZone(const InstanceId &id) const;
    /// Requests to peers for the prefixes that have not been confirmed recently.
    std::vector<ObjectsRequest> outdatedPrefixes() const;
    ObjectsTransfer transferFor(const ObjectsRequest &request) const;
    /// Applies \p transfer, or returns the request for the first part of what it lacks, to be sent
    /// to \p from.
    std::optional<ObjectPartRequest> onTransfer(const InstanceId &from,
                                                const ObjectsTransfer &transfer);
    ObjectPart partFor(const ObjectPartRequest &request) const;
    /// Returns the request for the next part, to be sent to \p from, if there is one.
    std::optional<ObjectPartRequest> onPart(const InstanceId &from, const ObjectPart &part);
    /// Requests for parts that a peer has not sent in time, each to another of \p connected.
    std::vector<AddressedMessage> resumeDownloads(gsl::span<const InstanceId> connected);
    /// Whether this instance watches the store on behalf of others.
    bool isWatcher() const { return m_isWatcher; }
    /// Whether this instance sends changes to \p peer. One watcher sends them; the other watchers
    /// send only beacons.
    bool sendsChangesTo(const InstanceId &peer) const;
    bool sendsBeaconsTo(const InstanceId &peer) const;
    RevisionBeacon beacon() const;
    /// Returns the requests to send to the sender of \p beacon.
    std::vector<ObjectsRequest> onBeacon(const RevisionBeacon &beacon);
    /// Returns the changes since the last call, which a watcher sends to its peers.
    std::vector<ObjectsTransfer> takeChanges();

private:
    /// What this instance's object in the store says.
    enum class Registration {
        /// There is none.
        None,
        /// An earlier process of this instance wrote it.
        Earlier,
        Serving,
        Stopping,
    };

    static constexpr const char *MemberPrefix = "instances/";

    static std::string nameInKey(std::string_view key);
    /// Whether all prefixes have been received, and a configuration with them.
    bool hasAll() const;
    void applyTransfer(WatchedPrefix &prefix, const InstanceId &from,
                       const ObjectsTransfer &transfer);
    WatchedPrefix *find(std::string_view prefix) const;
    void logChangedRates(const ServingConfiguration &configuration) const;
    void onConfiguration(const WatchEvent &event);
    void onEndpoint(const WatchEvent &event);
    void onEvacuation(const WatchEvent &event);
    void onMember(const WatchEvent &event);
    void onVersionRecord(const WatchEvent &event);
    /// Number of instances, including this one.
    std::size_t memberCount() const;
    void applyMembers();
    /// Lets \p event take effect later, unless another one for its key follows, if the store was
    /// restored lately and the event may only show what its copy lacks or has too much. Returns
    /// whether it did.
    bool holdBack(const WatchEvent &event);
    void applyHeldBack();
    Registration wantedRegistration() const;
    void registerSelf();
    void writeRegistration(Registration wanted);
    void onRegistrationWritten(Registration written, const Expected<std::uint64_t> &result);
    /// Takes over what the store says of this instance's own object; \p member is null if it has
    /// been removed.
    void onOwnObject(std::uint64_t version, const FleetMember *member);
    /// Drops the instances that are listed as stopping for longer than a planned stop takes.
    void expireStoppedMembers();
    /// Removes the objects of dropped instances from the store.
    void removeExpired();
    void chooseWatchers();

    FleetRuntime &m_runtime;
    std::vector<std::unique_ptr<WatchedPrefix>> m_prefixes;
    std::map<InstanceId, FleetMember> m_members;
    /// Events of the store's copy that do not take effect yet, by key, and when they do.
    std::map<std::string, std::pair<WatchEvent, SteadyTime>> m_heldBack;
    std::function<void()> m_onMembers;
    std::function<void()> m_onConfiguration;
    std::function<void()> m_onEndpoints;
    std::function<void(const WatchEvent &)> m_onVersionRecord;
    std::unique_ptr<ConfigurationDecoder> m_configurationDecoder;
    SteadyTime m_nextRegistration;
    /// Whether the list of instances is complete; shares of limits follow from it.
    bool m_areMembersKnown = false;
    bool m_isWatcher = true;
    bool m_isFirstWatcher = true;
    Registration m_registration = Registration::None;
    Registration m_wantedRegistration = Registration::None;
    bool m_isWritingRegistration = false;
    bool m_isUnregistering = false;
    /// Version of this instance's own object in the store; 0 if it does not exist.
    std::uint64_t m_ownVersion = 0;
    /// Versions of the objects of dropped instances that are still in the store.
    std::map<InstanceId, std::uint64_t> m_expired;
    bool m_isRemovingExpired = false;
    SteadyTime m_nextRemoval;
};

} // namespace marigoldspool

#endif
