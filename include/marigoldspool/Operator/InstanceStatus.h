#ifndef MARIGOLDSPOOL_OPERATOR_INSTANCESTATUS_H
#define MARIGOLDSPOOL_OPERATOR_INSTANCESTATUS_H

#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// Response of an instance to `GET /status`. docs/operators.md describes the JSON.
struct InstanceStatus {
    enum class PeerState {
        Alive,
        Suspected, ///< No message within the suspicion timeout.
        Stopping,
    };
    struct Peer {
        InstanceId id;
        ZoneName zone;
        std::string address;
        PeerState state = PeerState::Alive;
        std::uint64_t configVersion = 0;
        /// Milliseconds since its last message.
        std::int64_t silentMs = 0;
    };

    enum class EndpointState {
        Serving,
        Leaving,
        Unreachable,
    };
    struct Endpoint {
        EndpointId id;
        ZoneName zone;
        EndpointState state = EndpointState::Serving;
        /// Requests that this instance may have at the endpoint at once.
        int slots = 0;
        /// Requests of this instance that are running there.
        int inFlight = 0;
        /// Freshly started or cold, and therefore limited to its fresh slots.
        bool fresh = false;
    };

    enum class ModelState {
        Idle, ///< Loaded nowhere.
        Loading,
        Ready,
        Unloading,
    };
    struct Model {
        ModelName name;
        ModelState state = ModelState::Idle;
        /// Where it is loaded, loading or unloading.
        std::vector<EndpointId> endpoints;
    };

    struct Queue {
        /// `model:NAME` or `pool:NAME`, as Target::key() yields it.
        std::string target;
        /// Requests that wait at this instance.
        std::size_t length = 0;
    };

    InstanceId instance;
    ZoneName zone;
    std::uint64_t incarnation = 0;
    /// Milliseconds since 1970.
    std::int64_t startedMs = 0;
    bool ready = false;
    bool stopping = false;
    /// 0 until it has a configuration.
    std::uint64_t configVersion = 0;
    /// Milliseconds since the configuration was last confirmed as current; -1 when it never was.
    std::int64_t configAgeMs = -1;
    bool storeReachable = false;
    std::uint64_t rosterEpoch = 0;
    /// Part of each workspace's rate and burst that this instance holds, without loans: 0 to 1.
    double share = 0;
    std::vector<Peer> peers;
    std::vector<Endpoint> endpoints;
    std::vector<Model> models;
    /// Only queues in which a request waits.
    std::vector<Queue> queues;
};

std::string serializeStatus(const InstanceStatus &status);
/// Ignores unknown fields. Fails with Malformed on missing or mistyped ones.
Expected<InstanceStatus> parseStatus(std::string_view json);

std::string_view stateName(InstanceStatus::PeerState state);
std::string_view stateName(InstanceStatus::EndpointState state);
std::string_view stateName(InstanceStatus::ModelState state);

} // namespace marigoldspool

#endif
