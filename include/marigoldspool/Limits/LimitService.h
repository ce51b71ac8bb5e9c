#ifndef MARIGOLDSPOOL_LIMITS_LIMITSERVICE_H
#define MARIGOLDSPOOL_LIMITS_LIMITSERVICE_H

#include "marigoldspool/Limits/EndpointSlots.h"
#include "marigoldspool/Limits/LimitTypes.h"
#include "marigoldspool/Limits/RosterManager.h"
#include "marigoldspool/Limits/TokenBucket.h"
#include "marigoldspool/Limits/WorkspaceLimit.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace marigoldspool {

class Configuration;

/// Extracts the rules that define limits from \p configuration.
LimitRules limitRulesOf(const Configuration &configuration);

/// Enforces all limits at one instance. Performs no I/O: after each call and at nextWakeup() the
/// owner performs the actions returned by takeActions().
class LimitService
{
public:
    /// \p incarnation must be larger than in earlier runs of the same instance.
    LimitService(LimitOptions options, InstanceId self, std::uint64_t incarnation, ZoneName zone,
                 const Clock &clock, RandomSource &random);

    void applyConfiguration(const Configuration &configuration);
    void applyRules(const LimitRules &rules);

    /// Decides without blocking; \p cost is in tokens. Refuses a workspace without a rule.
    LimitDecision admit(const WorkspaceName &workspace, double cost,
                        AdmitAttempt attempt = AdmitAttempt::First);
    /// Refunds the tokens that a finished request was charged but did not use, up to the capacity.
    void reconcile(const WorkspaceName &workspace, double estimated, double used);

    /// Takes a slot of the endpoint for a request that ends within \p deadline. Each slot taken
    /// must be returned exactly once.
    bool tryTakeSlot(const EndpointId &endpoint, Duration deadline = std::chrono::seconds(30));
    void returnSlot(const EndpointId &endpoint);
    /// Sets the number of slots of the endpoint over all instances. They are divided among the
    /// members of the zone that the configuration gives for the endpoint.
    void setSlots(const EndpointId &endpoint, int slots);

    /// Returns the messages, reads and writes that are due now.
    LimitActions takeActions();
    /// The time at which takeActions() must be called even if no event occurs.
    SteadyTime nextWakeup() const;
    void onTick();

    /// Handles LoanRequest, LoanGrant and EpochAck; ignores other messages.
    void onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                       const PeerMessage &message);
    /// Must be called every second and when a peer appears or is lost. The roster epochs in the
    /// heartbeats count as acknowledgements.
    void onPeers(gsl::span<const PeerInfo> alive);
    /// Handles the roster read for the own zone; version 0 means that it does not exist.
    void onRoster(const StoredObject &roster);
    /// Handles the failure of a read from LimitActions::reads.
    void onRosterReadFailed();
    void onStoreReply(const WriteId &writeId, const Expected<std::uint64_t> &reply);
    void onPlatformInstances(gsl::span<const PlatformInstance> list);

    /// Starts a planned shutdown: the instance uses no share from now on and does not relend what
    /// it has borrowed. It leaves the roster when everything it has lent is back; isReleased()
    /// then returns true.
    LimitActions release();
    bool isReleased() const;

    /// The epoch to report in the heartbeats of this instance.
    std::uint64_t acknowledgedEpoch() const { return m_roster.state().acknowledgedEpoch(); }
    LimitSnapshot snapshot();

private:
    struct ShareChange {
        SteadyTime at;
        double share = 0;
    };

    struct RateRule {
        double rate = 0;
        double burst = 0;
    };

    EndpointSlots &slotsOf(const EndpointId &endpoint);
    const std::vector<InstanceId> &peersIn(const ZoneName &zone) const;
    void onLoanRequest(const InstanceId &from, const LoanRequest &request);
    void onLoanGrant(const InstanceId &from, const LoanGrant &grant);
    LimitContext context(std::vector<AddressedMessage> &send);
    WorkspaceLimit *findOrCreate(const std::string &name);
    RateLimit makeRateLimit(const RateRule &rule, SteadyTime now) const;
    double accrualFactor() const;
    void setZoneFraction(const std::vector<ZoneWeight> &weights, bool isFirst);
    void updateRateShares();
    void updateAllShares();
    bool allCommitmentsCovered();
    bool tryTakeRequestToken(const InstanceId &peer);

    LimitOptions m_options;
    InstanceId m_self;
    ZoneName m_zone;
    const Clock &m_clock;
    RandomSource &m_random;
    RosterManager m_roster;
    /// Until then, slots lent by an earlier incarnation of this instance may be in use.
    SteadyTime m_earliestSlotGrowth;
    std::unordered_map<std::string, RateRule> m_rules;
    std::unordered_map<std::string, std::unique_ptr<WorkspaceLimit>> m_limits;
    std::map<std::string, EndpointSlots> m_slots;
    /// The changes of the fraction of each limit that this instance owns, oldest first.
    std::vector<ShareChange> m_shareChanges;
    double m_zoneFraction = 0;
    double m_nextZoneFraction = 0;
    SteadyTime m_zoneFractionDue;
    bool m_configured = false;
    std::map<ZoneName, std::vector<InstanceId>> m_peersByZone;
    std::vector<InstanceId> m_otherPeers;
    std::unordered_map<InstanceId, TokenBucket> m_requestBudgets;
    std::function<bool(const InstanceId &)> m_canAsk;
    std::vector<AddressedMessage> m_outbox;
    SteadyTime m_nextDisposal;
};

} // namespace marigoldspool

#endif
