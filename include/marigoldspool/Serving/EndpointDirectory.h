#ifndef MARIGOLDSPOOL_SERVING_ENDPOINTDIRECTORY_H
#define MARIGOLDSPOOL_SERVING_ENDPOINTDIRECTORY_H

#include "marigoldspool/Limits/TokenBucket.h"
#include "marigoldspool/Serving/EndpointLoads.h"
#include "marigoldspool/Serving/EndpointStatements.h"
#include "marigoldspool/Serving/EndpointSuspicions.h"
#include "marigoldspool/Serving/RateDivider.h"
#include "marigoldspool/Serving/ResponseTimeModel.h"
#include "marigoldspool/Serving/ServingTypes.h"
#include "marigoldspool/Serving/StreamMove.h"

#include <map>
#include <optional>
#include <set>

#include <gsl/span>

namespace marigoldspool {

/// The outcome of a request at an endpoint, as far as it concerns the endpoint's health.
enum class EndpointResult {
    Answered,
    /// The endpoint was overloaded and refused the request before running it.
    RefusedBusy,
    /// The model or adapter is not loaded, or another process answers at the address.
    RefusedNotLoaded,
    Failed,
    Unreachable,
    /// Cancelled by the caller or by this instance; says nothing about the endpoint.
    Abandoned,
};

/// This instance's view of one endpoint.
struct TrackedEndpoint {
    ListedEndpoint listed;
    /// Loaded models as published by the placement owner; empty until it publishes some.
    std::optional<LoadedModels> ownerModels;
    /// Requests sent by this instance that have not ended.
    int inFlight = 0;
    /// The same by model, for endpoints of engines; without those sent to an earlier process.
    std::map<ModelName, ModelLoad> ownLoads;
    /// Exponentially weighted fraction of requests that failed, 0 to 1.
    double failureFraction = 0;
    SteadyTime lastResultAt;
    /// Used only if no other endpoint is available before this time.
    SteadyTime avoidUntil;
    /// The endpoint accepted no connection; its models count as not loaded until then.
    SteadyTime unreachableUntil;
    /// No request is sent before this time, since the endpoint reported overload.
    SteadyTime busyUntil;
    SteadyTime coldUntil;
    /// This instance's share of the rate that the pool allows a cold endpoint. Unset while the
    /// share is unknown.
    std::optional<TokenBucket> coldRateLimit;
    /// This instance's share of the rate that the endpoint has named as its limit. Its capacity is
    /// below one request if only other instances send to the endpoint.
    std::optional<TokenBucket> rateShare;
    /// The limit that it is a share of, in requests a second.
    double sharedRateLimit = 0;
    /// Models and adapters that the endpoint recently refused as not loaded.
    std::map<std::pair<ModelName, std::string>, SteadyTime> notLoadedUntil;
    /// Exponentially weighted mean time by which first bytes came later than expected from an
    /// endpoint without other load.
    double meanDelaySeconds = 0;
    SteadyTime lastFirstByteAt;
    /// Prompt tokens of the requests sent by this instance whose first byte has not arrived.
    int pendingPromptTokens = 0;
    /// Set when the entry was removed; it may be listed again until then.
    std::optional<SteadyTime> removeAt;
    /// The entry says that the endpoint leaves.
    bool hasListedLeaving = false;
    /// The end of the process that its entries have announced; kept when later entries lack it.
    std::optional<EndpointEnd> end;
};

enum class ChoiceKind {
    Send,
    /// No usable endpoint has the model or adapter loaded.
    NotLoaded,
    /// All endpoints that have it loaded are full, rate limited, or want no requests now.
    Busy,
    /// The pool has no usable endpoint.
    NoEndpoint,
};

struct EndpointChoice {
    ChoiceKind kind = ChoiceKind::NoEndpoint;
    /// For Busy with ratePerSecond: the endpoint that takes the next request.
    EndpointId endpoint;
    /// For Busy: when to call choose() again.
    Duration retryIn = std::chrono::milliseconds(50);
    /// For Busy: all candidates want no requests until then, because of a pause or of their rate
    /// limits.
    bool isPaused = false;
    /// With isPaused: requests a second that candidates with a rate limit take from this instance.
    double ratePerSecond = 0;
    /// Endpoints that could take the request, including those that are full.
    int candidateCount = 0;
    /// For Busy in a contended pool: retryIn is when a slot is expected to be free.
    bool isForecast = false;
    /// In a contended pool whose loads are known: slots of the engines that can take the request,
    /// and how many requests they take now.
    int slots = 0;
    int room = 0;
};

struct EndpointQuery {
    const EndpointPool *pool = nullptr;
    ModelName model;
    std::string adapter;
    /// Id of the shared prompt prefix; requests with the same one prefer the same endpoint.
    std::string session;
    /// Prompt tokens of that prefix.
    int sessionTokens = 0;
    /// Endpoints already tried for this request.
    gsl::span<const EndpointId> excluded;
    /// Only endpoints of these versions; nullptr: of any.
    const std::set<SoftwareVersion> *softwareVersions = nullptr;
    /// Latency objective of the request; expected delays are weighed against it.
    Duration objective = std::chrono::seconds(1);
    /// Skip endpoints with recent failures.
    bool onlyHealthy = false;
    /// The request cannot wait at the instance, so an engine without a free slot will do.
    bool isUrgent = false;
    /// A random number in [0, 1) for the choice between endpoints of about the same load.
    double draw = 0;
};

/// Tracks the state of all endpoints and selects one for each request.
class EndpointDirectory
{
public:
    EndpointDirectory(ZoneName ownZone, const Clock &clock, InstanceId self = InstanceId());

    /// The instances that share the rate limits of endpoints; may lack this one. Cold endpoints get
    /// no request before the first call.
    void setMembers(gsl::span<const TopologyMember> members);
    /// A number in (0, 1] that differs between instances; staggers their first requests to an
    /// endpoint that has become cold or has named a rate limit.
    void setStartPhase(double phase) { m_startPhase = phase; }
    void setConfiguration(ServingConfigurationPtr configuration);
    void apply(const ListedEndpoint &endpoint);
    /// The endpoint stays usable for \p grace, since its entry may have expired in a store outage.
    void remove(const EndpointId &id, Duration grace);
    /// Whether the entry of this process says that it leaves, or was removed for good within the
    /// last minute. An older copy of the store may say otherwise.
    bool hasLeft(const EndpointIncarnation &incarnation) const;
    /// Whether the entry of \p id or an answer of it says that it leaves.
    bool isLeaving(const EndpointId &id) const;
    /// The announced end of this process; nullopt if none is known, or if the process is not
    /// leaving.
    std::optional<EndpointEnd> endOf(const EndpointIncarnation &incarnation) const;
    /// Whether the process of \p id has reached its announced end, or is so close to it that lost
    /// connections are due to the end.
    bool isAtEnd(const EndpointId &id) const;
    void setEvacuated(const ZoneName &zone, bool evacuated);
    bool isEvacuated(const ZoneName &zone) const { return m_evacuated.count(zone) > 0; }
    /// Sets the models that the placement owner publishes for \p id; nullopt falls back to the
    /// endpoint's own entry.
    void setOwnerModels(const EndpointId &id, std::optional<LoadedModels> models);
    void clearOwnerModels();
    void onTick();

    EndpointChoice choose(const EndpointQuery &query);
    /// Whether the instances outnumber the slots of the pool's engines so far that an instance's
    /// own requests say nothing of an engine's load.
    bool isContended(const EndpointPool &pool) const;
    /// The requests of this instance at endpoints of contended pools.
    EndpointLoads ownLoads() const;
    EndpointLoadView &loads() { return m_loads; }
    const EndpointLoadView &loads() const { return m_loads; }
    EndpointSuspicions &suspicions() { return m_suspicions; }
    /// Whether instances tell each other of silences of \p id: in contended pools of large fleets.
    bool sharesSuspicions(const EndpointId &id) const;
    /// How long after it is sent the first byte of an answer from \p id is expected: as long as it
    /// takes an engine without load, and the expected wait for a slot.
    Duration expectedFirstByte(const EndpointId &id, int promptTokens) const;
    /// What \p from has stated about itself in the answer to a call sent at \p askedAt.
    void onStatement(const EndpointIncarnation &from, const EndpointStatement &statement,
                     StatementSource source, SteadyTime askedAt);
    /// What another instance knows of the rate limit of an endpoint.
    void onRateLimitNotice(const RateLimitNotice &notice);
    std::vector<StatementChange> takeChanges() { return m_statements.takeChanges(); }
    const EndpointStatements &statements() const { return m_statements; }

    /// Whether \p id is in use: neither leaving nor in an evacuated zone.
    bool canUse(const EndpointId &id) const;
    /// Whether \p id has neither stated that it is leaving nor that it wants no requests now.
    bool acceptsCalls(const EndpointId &id) const;
    /// Whether requests and orders may be sent to \p id now.
    bool canSend(const EndpointId &id) const { return canUse(id) && acceptsCalls(id); }
    /// Whether a request may be sent to \p id now, as far as the endpoint limits its rate.
    bool hasRateFor(const EndpointId &id) const;
    const TrackedEndpoint *find(const EndpointId &id) const;
    const std::map<EndpointId, TrackedEndpoint> &endpoints() const { return m_endpoints; }
    const ResponseTimeModel &responseTimes() const { return m_responseTimes; }

    void onSent(const EndpointId &id, int promptTokens = 0, const ModelName &model = {});
    void onFirstByte(const EndpointId &id, int promptTokens, Duration after,
                     const ModelName &model = {});
    /// A complete response arrived \p run after the request was sent.
    void onResponse(const EndpointId &id, int promptTokens, Duration run, int outputTokens = 0);
    /// The request sent with \p promptTokens ended before its first byte; before onResult().
    void onNoFirstByte(const EndpointId &id, int promptTokens, const ModelName &model = {});
    void onResult(const EndpointId &id, EndpointResult result, const ModelName &model,
                  const std::string &adapter = {});
    static bool hasModel(const TrackedEndpoint &state, const ModelName &model,
                         const std::string &adapter);

private:
    bool isUsable(const TrackedEndpoint &state) const;
    SuspicionLevel suspicionOf(const TrackedEndpoint &state) const;
    /// What counts against an endpoint besides its load.
    double penalty(const TrackedEndpoint &state, const EndpointQuery &query, SteadyTime now) const;
    /// Selects among \p candidates, which all can take the request now.
    void selectCandidate(gsl::span<const TrackedEndpoint *const> candidates,
                         const EndpointQuery &query, SteadyTime now, EndpointChoice &choice) const;
    /// Adds the forecast of a slot to a choice for which this instance has no more room at the
    /// \p full endpoints.
    void forecastSlot(gsl::span<const TrackedEndpoint *const> full, const EndpointQuery &query,
                      EndpointChoice &choice) const;
    int maxInFlight(const TrackedEndpoint &state) const;
    int currentMaxInFlight(const TrackedEndpoint &state) const;
    /// Follows a change of the endpoint's rate limit.
    void updateRateShare(TrackedEndpoint &state);
    void divideRate(TrackedEndpoint &state);
    /// Follows the lifetime in the latest entry.
    void updateEnd(TrackedEndpoint &state);
    /// Whether requests to the endpoint are left to other instances.
    static bool isLeftToOthers(const TrackedEndpoint &state);
    void markCold(TrackedEndpoint &state, Duration left);
    /// Marks the endpoint as cold if its zone has returned from evacuation lately.
    void markReturned(TrackedEndpoint &state);
    /// Follows a change of the configuration or of the list of instances.
    void updateColdLimits();
    void updateColdLimit(TrackedEndpoint &state, SteadyTime now);
    const EndpointPool *poolOf(const TrackedEndpoint &state) const;
    double delaySeconds(const TrackedEndpoint &state, SteadyTime now) const;

    ZoneName m_ownZone;
    const Clock &m_clock;
    RateDivider m_rateDivider;
    double m_startPhase = 1;
    ServingConfigurationPtr m_configuration;
    std::map<EndpointId, TrackedEndpoint> m_endpoints;
    /// Processes whose entries were removed, and when.
    std::map<EndpointId, std::pair<std::int64_t, SteadyTime>> m_removedProcesses;
    std::set<ZoneName> m_evacuated;
    /// When zones have returned from evacuation.
    std::map<ZoneName, SteadyTime> m_returnedAt;
    bool m_areMembersKnown = false;
    std::size_t m_memberCount = 0;
    EndpointLoadView m_loads;
    EndpointSuspicions m_suspicions;
    EndpointStatements m_statements;
    ResponseTimeModel m_responseTimes;
};

} // namespace marigoldspool

#endif
