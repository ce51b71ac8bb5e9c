#ifndef MARIGOLDSPOOL_SERVING_ENDPOINTDIRECTORY_H
#define MARIGOLDSPOOL_SERVING_ENDPOINTDIRECTORY_H

#include "marigoldspool/Limits/TokenBucket.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
#include <optional>
#include <set>

#include <gsl/span>

namespace marigoldspool {

/// How a request ended at an endpoint, as far as it tells something of the endpoint.
enum class EndpointResult {
    Answered,
    /// The endpoint refused before running: too much load.
    RefusedBusy,
    /// The endpoint does not hold the model or adapter, or is another one than expected.
    RefusedAbsent,
    Failed,
    Unreachable,
    /// The caller left or another part gave up; says nothing of the endpoint.
    Abandoned,
};

/// What one instance knows of one endpoint.
struct EndpointState {
    ListedEndpoint listed;
    /// What the placement owner says that it holds; empty while it has said nothing.
    std::optional<HeldModels> placed;
    /// Requests of this instance.
    int inFlight = 0;
    /// Part of the recent requests that failed, 0 to 1.
    double failures = 0;
    SteadyTime failedAt;
    /// No request is sent before this time unless there is no other choice.
    SteadyTime avoidUntil;
    /// No request is sent before this time: it said that it has no room.
    SteadyTime busyUntil;
    SteadyTime coldUntil;
    std::optional<TokenBucket> coldPace;
    /// Models and adapters that it lately said not to hold.
    std::map<std::pair<ModelName, std::string>, SteadyTime> absentUntil;
    /// Time from sending to the first byte of the answer, in seconds; recent ones weigh more.
    double firstByteSeconds = 0;
    SteadyTime firstByteAt;
    /// Set when its entry has gone while the store was away; it may come back until then.
    std::optional<SteadyTime> removeAt;
};

enum class ChoiceKind {
    Send,
    /// No endpoint that may be used holds the model or adapter.
    NotHeld,
    /// Those that hold it have no room or are paced.
    Busy,
    /// The pool has no endpoint that may be used.
    NoEndpoint,
};

struct EndpointChoice {
    ChoiceKind kind = ChoiceKind::NoEndpoint;
    EndpointId endpoint;
    /// When asking again makes sense, for Busy.
    Duration retryIn = std::chrono::milliseconds(50);
    int holders = 0;
};

struct EndpointQuery {
    const EndpointPool *pool = nullptr;
    ModelName model;
    std::string adapter;
    /// Part of the prompt that the requests of one session share; steers them to one endpoint.
    std::string session;
    /// Not these: tried already.
    gsl::span<const EndpointId> excluded;
    /// Only endpoints without recent failures.
    bool onlySound = false;
};

/// Endpoints by pool: who may be used, with which models, and how busy each one is.
class EndpointDirectory
{
public:
    EndpointDirectory(ZoneName ownZone, const Clock &clock);

    /// How many instances share the bounds of cold endpoints.
    void setInstances(std::size_t count) { m_instances = count == 0 ? 1 : count; }
    void setConfiguration(ServingConfigurationPtr configuration);
    void apply(const ListedEndpoint &endpoint);
    /// \p grace: the entry may have lapsed while the store was away.
    void remove(const EndpointId &id, Duration grace);
    void setEvacuated(const ZoneName &zone, bool evacuated);
    bool isEvacuated(const ZoneName &zone) const { return m_evacuated.count(zone) > 0; }
    /// Replaces what the placement owner said of \p id; nothing: the endpoint's own word counts.
    void setPlaced(const EndpointId &id, std::optional<HeldModels> models);
    void forgetPlaced();
    void onTick();

    EndpointChoice choose(const EndpointQuery &query);
    /// Whether a request may still be sent to \p id.
    bool mayUse(const EndpointId &id) const;
    const EndpointState *find(const EndpointId &id) const;
    const std::map<EndpointId, EndpointState> &endpoints() const { return m_endpoints; }

    void onSent(const EndpointId &id);
    void onFirstByte(const EndpointId &id, Duration after);
    void onResult(const EndpointId &id, EndpointResult result, const ModelName &model,
                  const std::string &adapter = {});
    static bool holds(const EndpointState &state, const ModelName &model,
                      const std::string &adapter);

private:
    bool isUsable(const EndpointState &state) const;
    double score(const EndpointState &state, const EndpointQuery &query, SteadyTime now) const;
    int slotCap(const EndpointState &state) const;
    void becomeCold(EndpointState &state, Duration left);
    double poolFirstByte(const PoolName &pool, SteadyTime now) const;

    ZoneName m_ownZone;
    const Clock &m_clock;
    std::size_t m_instances = 1;
    ServingConfigurationPtr m_configuration;
    std::map<EndpointId, EndpointState> m_endpoints;
    std::set<ZoneName> m_evacuated;
};

} // namespace marigoldspool

#endif
