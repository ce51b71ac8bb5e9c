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

/// Version of the protocol between instances; a message of another version is refused.
constexpr std::uint32_t PeerProtocolVersion = 1;

struct Envelope {
    std::uint32_t protocol = PeerProtocolVersion;
    InstanceId from;
    /// Distinguishes runs of one instance.
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

/// Asks a peer for tokens, or slots, of a limit and a part of its fraction.
struct LoanRequest {
    std::string limit;
    std::uint64_t loanId = 0;
    double tokens = 0;
    double fraction = 0;
};

/// Answers the LoanRequest with the same id; the term counts from when the request was sent.
struct LoanGrant {
    std::string limit;
    std::uint64_t loanId = 0;
    double tokens = 0;
    double fraction = 0;
    std::int64_t termMs = 0;
};

/// The sender has applied the roster epoch; \c released: it uses no share any more.
struct EpochAck {
    std::uint64_t epoch = 0;
    std::uint64_t memberIncarnation = 0;
    bool released = false;
};

/// Hands a request over; from its receipt only the receiver may send it to an endpoint.
struct ForwardRequest {
    RequestId id;
    WorkspaceName workspace;
    /// Empty on open routes. Lets the receiver check that the key has not been withdrawn.
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
    /// Tokens.
    double cost = 0;
    /// Milliseconds left when the message was sent.
    std::int64_t deadlineMs = 0;
    bool idempotent = false;
    bool stream = false;
    /// A zone that is preferred for the target could not serve it in time.
    bool overflow = false;
};

struct ForwardHead {
    RequestId id;
    int status = 0;
    std::vector<HeaderField> headers;
    /// The length of the answer is not known.
    bool stream = false;
};

/// A part of the answer; \c index counts from 0 without gaps.
struct ForwardData {
    RequestId id;
    std::uint64_t index = 0;
    std::string bytes;
    bool last = false;
};

struct ForwardRefusal {
    RequestId id;
    RefusalReason reason = RefusalReason::NoCapacity;
    RanState ran = RanState::Unknown;
    std::string message;
    std::string remedy;
    std::int64_t retryAfterMs = 0;
};

struct ForwardCancel {
    RequestId id;
};

/// What one instance needs of one model or adapter.
struct ReportedDemand {
    std::string pool;
    ModelName model;
    /// Empty for the model itself.
    std::string adapter;
    /// Requests each second at the sender, smoothed.
    double requestsPerSecond = 0;
    /// Since the last request.
    std::int64_t idleMs = 0;
    std::uint64_t waiting = 0;
    /// Age of the oldest waiting request.
    std::int64_t oldestWaitMs = 0;
    /// Of the most urgent waiting request; 0 is first.
    std::int64_t priority = 0;
};

/// Replaces what the sender reported before.
struct DemandReport {
    /// The last placement update that the sender has; 0 asks for a full one.
    std::uint64_t knownSequence = 0;
    std::vector<ReportedDemand> models;
};

/// Models, and adapters as MODEL/ADAPTER, that may be asked for at one endpoint.
struct PlacedEndpoint {
    EndpointId endpoint;
    std::vector<std::string> models;
};

/// When a model that is being loaded will be there.
struct LoadForecast {
    ModelName model;
    std::string adapter;
    std::int64_t readyInMs = 0;
};

/// The sender's placement lease as the store last acknowledged it. It spares the others reading it.
struct LeaseAnnouncement {
    /// The store's version of the object; 0: nothing is said of the lease.
    std::uint64_t version = 0;
    std::uint64_t renewal = 0;
    bool released = false;
    /// At a release: the endpoints that were ordered something lately.
    std::vector<std::string> recentlyOrdered;
};

/// What the placement owner knows; all endpoints when \c full, else those that changed since the
/// update with the sequence number before.
struct PlacementUpdate {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    bool full = false;
    std::vector<PlacedEndpoint> endpoints;
    LeaseAnnouncement lease;
};

/// Answers a demand report; replaces the forecasts sent before.
struct LoadForecasts {
    std::uint64_t term = 0;
    std::vector<LoadForecast> loading;
};

/// Asks a peer for the objects under a prefix that changed after a revision.
struct ObjectsRequest {
    std::string prefix;
    std::uint64_t revision = 0;
};

struct RelayedObject {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// The sender's knowledge of a prefix: all keys, and the objects newer than \c baseRevision.
struct ObjectsTransfer {
    std::string prefix;
    std::uint64_t baseRevision = 0;
    std::uint64_t revision = 0;
    std::vector<std::string> keys;
    std::vector<RelayedObject> objects;
};

/// How far the sender knows a prefix, and how long ago the store confirmed that.
struct KnownRevision {
    std::string prefix;
    std::uint64_t revision = 0;
    /// The last change under the prefix; the store's revision also grows without one.
    std::uint64_t lastChangeVersion = 0;
    std::int64_t ageMs = 0;
};

struct RevisionBeacon {
    std::vector<KnownRevision> prefixes;
};

/// Cost that was admitted and asked for.
struct WorkspaceUsage {
    WorkspaceName workspace;
    double used = 0;
    double requested = 0;
};

/// What the sender has admitted since its start.
struct UsageReport {
    std::vector<WorkspaceUsage> workspaces;
};

/// What all instances that report to the sender used in the window of the quotas.
struct UsageTotals {
    /// Instances heard lately, the sender included.
    std::uint64_t members = 0;
    std::vector<WorkspaceUsage> workspaces;
};

using PeerMessage =
    std::variant<Heartbeat, ConfigRequest, ConfigTransfer, LoanRequest, LoanGrant, EpochAck,
                 ForwardRequest, ForwardHead, ForwardData, ForwardRefusal, ForwardCancel,
                 DemandReport, PlacementUpdate, ObjectsRequest, ObjectsTransfer, UsageReport,
                 UsageTotals, LoadForecasts, RevisionBeacon>;

struct AddressedMessage {
    InstanceId to;
    PeerMessage message;
};

struct DecodedMessage {
    Envelope envelope;
    PeerMessage message;
};

/// CBOR; unknown fields are ignored when it is read.
std::vector<std::uint8_t> encodeMessage(const Envelope &envelope, const PeerMessage &message);
/// Fails with Malformed on truncated input and on missing or mistyped fields.
Expected<DecodedMessage> decodeMessage(gsl::span<const std::uint8_t> bytes);
/// Name of the message's kind, for logs and metric labels.
std::string_view messageName(const PeerMessage &message);

} // namespace marigoldspool

#endif
