#ifndef MARIGOLDSPOOL_PEER_MESSAGES_H
#define MARIGOLDSPOOL_PEER_MESSAGES_H

#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/HeaderField.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Refusal.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// Version of the protocol between instances; messages of any other version are rejected.
constexpr std::uint32_t PeerProtocolVersion = 1;

/// Header of every message.
struct Envelope {
    std::uint32_t protocol = PeerProtocolVersion;
    InstanceId from;
    /// Identifies one run of the instance; a later run has a higher number.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

/// Sent each second to every connected peer.
struct Heartbeat {
    ZoneName zone;
    std::string address;
    std::uint64_t configVersion = 0;
    /// Milliseconds since the sender's configuration was last confirmed as current; negative when
    /// it never was.
    std::int64_t configAgeMs = -1;
    std::uint64_t rosterEpoch = 0;
    bool stopping = false;
};

struct ConfigRequest {
    std::uint64_t knownVersion = 0;
};

struct ConfigTransfer {
    std::uint64_t version = 0;
    std::string rules;
};

/// Asks a peer to lend tokens, or slots, of a limit and part of its fraction of the limit.
struct LoanRequest {
    std::string limit;
    std::uint64_t loanId = 0;
    double tokens = 0;
    double fraction = 0;
};

/// Answers the LoanRequest with the same id; the term starts when the request was sent.
struct LoanGrant {
    std::string limit;
    std::uint64_t loanId = 0;
    double tokens = 0;
    double fraction = 0;
    std::int64_t termMs = 0;
};

/// Confirms that the sender has applied the roster epoch; with \c released, that it has stopped
/// using its share.
struct EpochAck {
    std::uint64_t epoch = 0;
    std::uint64_t memberIncarnation = 0;
    bool released = false;
};

/// Transfers a request; once it is received, only the receiver may send it to an endpoint.
struct ForwardRequest {
    RequestId id;
    WorkspaceName workspace;
    /// Empty on routes that require no key. Lets the receiver check that the key has not been
    /// revoked.
    KeyDigest key;
    RouteName route;
    /// Empty for services.
    ModelName model;
    /// Empty for models.
    std::string pool;
    std::string target;
    std::string method;
    std::vector<HeaderField> headers;
    std::string body;
    /// In tokens.
    double cost = 0;
    /// Milliseconds left when the message was sent.
    std::int64_t deadlineMs = 0;
    bool idempotent = false;
    bool stream = false;
    /// Set if a preferred zone of the target could not serve the request in time.
    bool overflow = false;
};

/// Status and header fields of the response to a ForwardRequest.
struct ForwardHead {
    RequestId id;
    int status = 0;
    std::vector<HeaderField> headers;
    /// Set if the length of the response body is not known in advance.
    bool stream = false;
};

/// A chunk of the response body; \c index starts at 0 and has no gaps.
struct ForwardData {
    RequestId id;
    std::uint64_t index = 0;
    std::string bytes;
    bool last = false;
};

/// Refuses a ForwardRequest.
struct ForwardRefusal {
    RequestId id;
    RefusalReason reason = RefusalReason::NoCapacity;
    RanState ran = RanState::Unknown;
    std::string message;
    std::string remedy;
    std::int64_t retryAfterMs = 0;
};

/// Cancels a ForwardRequest.
struct ForwardCancel {
    RequestId id;
};

/// Demand at one instance for one model or adapter.
struct ReportedDemand {
    std::string pool;
    ModelName model;
    /// Empty for the model itself.
    std::string adapter;
    /// Smoothed request rate at the sender.
    double requestsPerSecond = 0;
    /// Time since the last request.
    std::int64_t idleMs = 0;
    std::uint64_t waiting = 0;
    /// Age of the oldest waiting request.
    std::int64_t oldestWaitMs = 0;
    /// Longest time that a waiting request has until its latency objective; 0: all have passed it.
    std::int64_t dueInMs = 0;
    /// Priority of the most urgent waiting request; 0 is the most urgent.
    std::int64_t priority = 0;
    /// Requests that wait for a free slot, in pools whose number of endpoints is ordered. They are
    /// not among the waiting ones, which wait for a load.
    std::uint64_t waitingForSlot = 0;
    /// Value of serving all waiting requests on time; see requestWeight(). 0: not stated.
    double weight = 0;
    /// Shortest time that a waiting request has until its latency objective.
    std::int64_t firstDueInMs = 0;
    /// When the last caller of a waiting request gives up; 0: not stated.
    std::int64_t leaveInMs = 0;
};

/// Demand at the sender; replaces its previous report.
struct DemandReport {
    /// Sequence number of the last placement update received; 0 requests a full update.
    std::uint64_t knownSequence = 0;
    std::vector<ReportedDemand> models;
};

/// Models that one endpoint may be asked to serve; adapters are written as MODEL/ADAPTER.
struct PlacedEndpoint {
    EndpointId endpoint;
    std::vector<std::string> models;
};

/// Expected completion of a model or adapter load in progress.
struct LoadForecast {
    ModelName model;
    std::string adapter;
    std::int64_t readyInMs = 0;
};

struct EndpointDelay {
    EndpointId endpoint;
    std::int64_t delayMs = 0;
};

/// The sender's placement lease as last acknowledged by the store. Saves other instances from
/// reading it from the store.
struct LeaseAnnouncement {
    /// The store's version of the lease object; 0 if the message says nothing about the lease.
    std::uint64_t version = 0;
    std::uint64_t renewal = 0;
    bool released = false;
    /// With \c released: the endpoints to which orders were sent recently.
    std::vector<std::string> recentlyOrdered;
    /// How long the next holder must not send orders because of earlier holders' orders, to any
    /// endpoint and to single ones.
    std::int64_t orderDelayMs = 0;
    std::vector<EndpointDelay> endpointDelays;
};

/// The placement owner's view: all endpoints if \c full, otherwise those that changed since the
/// update with the preceding sequence number.
struct PlacementUpdate {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    bool full = false;
    std::vector<PlacedEndpoint> endpoints;
    LeaseAnnouncement lease;
};

/// Answers a demand report; replaces the forecasts sent earlier.
struct LoadForecasts {
    std::uint64_t term = 0;
    std::vector<LoadForecast> loading;
};

/// Requests the objects under a prefix that changed after a revision.
struct ObjectsRequest {
    std::string prefix;
    std::uint64_t revision = 0;
    /// The sender fetches large values in parts; false from instances of older versions.
    bool acceptsParts = false;
};

struct RelayedObject {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    /// Size of a value that is left out because it is large; 0 if \c value is the whole value.
    std::uint64_t omittedBytes = 0;
};

/// The sender's copy of a prefix: all keys, and the objects changed after \c baseRevision.
struct ObjectsTransfer {
    std::string prefix;
    std::uint64_t baseRevision = 0;
    std::uint64_t revision = 0;
    std::vector<std::string> keys;
    std::vector<RelayedObject> objects;
    /// A position that no change in the copy follows; 0 from instances of older versions.
    std::uint64_t lastChange = 0;
};

/// Requests the bytes of a large value from \c offset on. Answered with an ObjectPart.
struct ObjectPartRequest {
    std::string prefix;
    std::string key;
    std::uint64_t version = 0;
    std::uint64_t offset = 0;
};

/// Part of a large value; without bytes, the sender does not have the value.
struct ObjectPart {
    std::string prefix;
    std::string key;
    std::uint64_t version = 0;
    std::uint64_t offset = 0;
    /// Size of the whole value.
    std::uint64_t totalBytes = 0;
    std::string bytes;
};

/// Revision of the sender's copy of a prefix, and how long ago the store confirmed it.
struct KnownRevision {
    std::string prefix;
    std::uint64_t revision = 0;
    /// Version of the last change under the prefix; the store's revision also grows without one.
    std::uint64_t lastChangeVersion = 0;
    std::int64_t ageMs = 0;
};

/// Announces the revisions that the sender has of its prefixes.
struct RevisionBeacon {
    std::vector<KnownRevision> prefixes;
};

/// Cost that was admitted (\c used) and requested for one workspace.
struct WorkspaceUsage {
    WorkspaceName workspace;
    double used = 0;
    double requested = 0;
};

/// Usage at the sender since it started.
struct UsageReport {
    std::vector<WorkspaceUsage> workspaces;
};

/// Usage in the quota window of all instances that report to the sender.
struct UsageTotals {
    /// Instances that reported recently, including the sender.
    std::uint64_t members = 0;
    std::vector<WorkspaceUsage> workspaces;
};

/// An engine has crashed before it began to answer a request.
struct EngineCrash {
    EndpointId endpoint;
    std::string pool;
    /// The shared prompt parts of the request with which the sender has seen no answer begin
    /// lately.
    std::vector<std::string> parts;
    /// The last part of the prompt, which only this request or its session has.
    std::string ownPart;
    /// Random; tells the report of this crash from those of others. 0: from an instance of an older
    /// version.
    std::uint64_t report = 0;
    /// The caller's attempt that was in work; empty if the sender does not name it.
    RequestId request;
};

struct PromptPartRef {
    std::string pool;
    std::string part;
};

struct QuarantinedPart {
    std::string pool;
    std::string part;
    std::int64_t sinceMs = 0;
    std::int64_t remainingMs = 0;
    /// How often the part has been put under quarantine.
    std::uint64_t repetitions = 1;
    /// Parts of the same pool that were in the same crashes and are under quarantine as well.
    std::vector<std::string> rivals;
};

/// A request that is to show, or has shown, whether a part under quarantine crashes engines.
struct PromptTrial {
    std::string pool;
    std::string part;
    /// Random; of claims made at the same time the lowest holds.
    std::uint64_t claim = 0;
    RequestId request;
    bool sent = false;
    /// Ended without an outcome.
    bool ended = false;
};

/// What the sender knows of prompt parts that may crash engines.
struct PromptEvidence {
    std::vector<EngineCrash> crashes;
    /// Suspected parts that an engine has survived.
    std::vector<PromptPartRef> served;
    std::vector<QuarantinedPart> quarantined;
    std::vector<PromptTrial> trials;

    bool empty() const
    {
        return crashes.empty() && served.empty() && quarantined.empty() && trials.empty();
    }
};

struct LeavingEndpoint {
    EndpointId endpoint;
    /// Start of the process that leaves, in Unix milliseconds.
    std::int64_t startedAtMs = 0;
};

/// Endpoints that have told the sender that they are leaving. Sent to the placement owner.
struct LeavingEndpoints {
    std::vector<LeavingEndpoint> endpoints;
};

/// The rate that an endpoint takes from all instances together.
struct LimitedEndpoint {
    EndpointId endpoint;
    /// Start of the process that named it, in Unix milliseconds.
    std::int64_t startedAtMs = 0;
    /// Requests a second; without meaning if \c ended.
    double perSecond = 0;
    /// The endpoint names no limit any more.
    bool ended = false;
    /// Time since the endpoint last named the limit; with \c ended, since the request was sent
    /// whose answer named none.
    std::int64_t ageMs = 0;
};

/// Rate limits of endpoints that the sender knows. Passed on by the hub in a large fleet.
struct LimitedEndpoints {
    std::vector<LimitedEndpoint> endpoints;
};

/// Requests of one instance for one model at one endpoint, sent and not ended.
struct ModelLoad {
    ModelName model;
    std::int64_t requests = 0;
    /// Of these, those without a first byte of the answer.
    std::int64_t unstarted = 0;
};

struct EndpointLoad {
    EndpointId endpoint;
    /// Start of the endpoint's process, in Unix milliseconds.
    std::int64_t startedAtMs = 0;
    std::vector<ModelLoad> models;
};

/// Requests of one priority for one model, at one instance or at all.
struct PriorityLoad {
    std::string pool;
    ModelName model;
    /// With aging, so it may be negative; 0 is the most urgent one of routes.
    std::int64_t priority = 0;
    /// Requests that wait for a slot.
    std::int64_t waiting = 0;
    /// Smoothed arrival rate.
    double requestsPerSecond = 0;
};

/// The sender's requests at endpoints and its demand in contended pools; replaces its previous
/// report. Sent to the lease holder.
struct EndpointLoads {
    std::vector<EndpointLoad> endpoints;
    std::vector<PriorityLoad> demand = {};
};

/// Requests of all instances at one endpoint.
struct EndpointTotal {
    EndpointId endpoint;
    std::int64_t startedAtMs = 0;
    std::int64_t requests = 0;
    std::int64_t unstarted = 0;
};

/// The lease holder's sums: all endpoints with requests if \c full, otherwise those that changed
/// since the message with the preceding sequence number.
struct FleetLoads {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    bool full = false;
    std::vector<EndpointTotal> endpoints;
    /// Whether the holder sums the demand.
    bool hasDemand = false;
    /// All models with waiting requests; if \c full, also those with many arrivals.
    std::vector<PriorityLoad> demand = {};
};

/// An endpoint that has sent an instance nothing for longer than is usual.
struct SilentEndpoint {
    EndpointId endpoint;
    /// Start of the process that is silent, in Unix milliseconds.
    std::int64_t startedAtMs = 0;
    std::int64_t silentMs = 0;
    /// The endpoint has sent something since the author's last notice.
    bool ended = false;
    /// The instance that has noticed it. Counts only in messages of the hub; others tell of
    /// themselves.
    InstanceId by;
};

/// Silent endpoints of contended pools. Passed on by the hub.
struct SilentEndpoints {
    std::vector<SilentEndpoint> endpoints;
};

struct WorkspaceCount {
    WorkspaceName workspace;
    std::uint64_t count = 0;
};

/// The requests that began to run at the sender in one window.
struct WindowStarts {
    std::int64_t window = 0;
    /// The window has ended, and the sender knows of all requests of it whether they have run.
    bool final = false;
    std::vector<WorkspaceCount> counts;
};

/// Counts of the sender's process since its start; they replace those that it sent earlier for the
/// same windows. Sent to the lease holder.
struct RequestStarts {
    std::vector<WindowStarts> windows;
};

/// Streams of one pool that endpoints of one software version have begun.
struct StreamOriginNotice {
    /// A notice with more keys is malformed. Senders split what they have; this bounds what one
    /// message makes a receiver store.
    static constexpr std::size_t MaxKeys = 4096;

    std::string pool;
    std::string version;
    std::vector<std::uint64_t> keys;
};

/// Resumable streams of pools that several software versions serve. Passed on by the hub.
struct StreamOriginNotices {
    std::vector<StreamOriginNotice> streams;
};

using PeerMessage =
    std::variant<Heartbeat, ConfigRequest, ConfigTransfer, LoanRequest, LoanGrant, EpochAck,
                 ForwardRequest, ForwardHead, ForwardData, ForwardRefusal, ForwardCancel,
                 DemandReport, PlacementUpdate, ObjectsRequest, ObjectsTransfer, UsageReport,
                 UsageTotals, LoadForecasts, RevisionBeacon, PromptEvidence, LeavingEndpoints,
                 LimitedEndpoints, EndpointLoads, FleetLoads, SilentEndpoints, RequestStarts,
                 ObjectPartRequest, ObjectPart, StreamOriginNotices>;

struct AddressedMessage {
    InstanceId to;
    PeerMessage message;
};

struct DecodedMessage {
    Envelope envelope;
    PeerMessage message;
};

/// Encodes the message as CBOR. Decoding ignores unknown fields.
std::vector<std::uint8_t> encodeMessage(const Envelope &envelope, const PeerMessage &message);
/// Fails with Malformed on truncated input and on missing or mistyped fields.
Expected<DecodedMessage> decodeMessage(gsl::span<const std::uint8_t> bytes);
/// Name of the message kind, for logs and metric labels.
std::string_view messageName(const PeerMessage &message);

} // namespace marigoldspool

#endif
