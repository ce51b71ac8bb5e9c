#ifndef MARIGOLDSPOOL_LIMITS_LIMITSERVICE_H
#define MARIGOLDSPOOL_LIMITS_LIMITSERVICE_H

#include "marigoldspool/Limits/EndpointSlots.h"
#include "marigoldspool/Limits/LimitTypes.h"
#include "marigoldspool/Limits/RosterKeeper.h"
#include "marigoldspool/Limits/TokenBucket.h"
#include "marigoldspool/Limits/WorkspaceLimit.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace marigoldspool {

class Configuration;

/// What the limits need of \p configuration.
LimitRules limitRulesOf(const Configuration &configuration);

/// All limits of one instance. Performs no I/O: after each call and at nextWakeup() the owner
/// carries out takeActions().
class LimitService
{
public:
    /// \p incarnation must be larger than in earlier runs of the same instance.
    LimitService(LimitOptions options, InstanceId self, std::uint64_t incarnation, ZoneName zone,
                 const Clock &clock, RandomSource &random);

    void applyConfiguration(const Configuration &configuration);
    void applyRules(const LimitRules &rules);

    /// Decides at once. \p cost in tokens. A workspace without a rule is refused.
    LimitDecision admit(const WorkspaceName &workspace, double cost,
                        AdmitAttempt attempt = AdmitAttempt::First);
    /// Gives back what a finished request was charged but did not use; no more than fits.
    void reconcile(const WorkspaceName &workspace, double estimated, double used);

    /// Takes a slot of the endpoint for a request that ends within \p deadline. Each slot taken
    /// must be returned exactly once.
    bool tryTakeSlot(const EndpointId &endpoint, Duration deadline = std::chrono::seconds(30));
    void returnSlot(const EndpointId &endpoint);
    /// The number of slots of the endpoint over all instances. Only members of the endpoint's
    /// zone own a part of them; the zone comes from the configuration.
    void setSlots(const EndpointId &endpoint, int slots);

    /// The messages, reads and writes that are due now.
    LimitActions takeActions();
    /// When takeActions() has to be called without an event.
    SteadyTime nextWakeup() const;
    void onTick();

    /// Takes LoanRequest, LoanGrant and EpochAck; ignores other messages.
    void onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                       const PeerMessage &message);
    /// Call each second and when a peer appears or is lost; counts as acknowledgement of the
    /// roster epochs in the heartbeats.
    void onPeers(gsl::span<const PeerInfo> alive);
    /// The roster of the own zone as read; version 0 when it does not exist.
    void onRoster(const StoredObject &roster);
    /// A read asked for by LimitActions::reads has failed.
    void onRosterReadFailed();
    void onStoreReply(const WriteId &writeId, const Expected<std::uint64_t> &reply);
    void onPlatformInstances(gsl::span<const PlatformInstance> list);

    /// For a planned stop: uses no share from now on and lends nothing on. The member leaves the
    /// roster when all it has lent is back; isReleased() tells when.
    LimitActions release();
    bool isReleased() const;

    /// Belongs into the heartbeats of this instance.
    std::uint64_t acknowledgedEpoch() const { return m_roster.state().acknowledgedEpoch(); }
    LimitSnapshot snapshot();

private:
    struct ShareChange {
        SteadyTime at;
        double share = 0;
    };

    struct Rule {
        double rate = 0;
        double burst = 0;
    };

    EndpointSlots &slotsOf(const EndpointId &endpoint);
    const std::vector<InstanceId> &peersIn(const ZoneName &zone) const;
    void onLoanRequest(const InstanceId &from, const LoanRequest &request);
    void onLoanGrant(const InstanceId &from, const LoanGrant &grant);
    LimitContext context(std::vector<AddressedMessage> &send);
    WorkspaceLimit *findOrCreate(const std::string &name);
    RateLimit makeRateLimit(const Rule &rule, SteadyTime now) const;
    double accrual() const;
    void setZoneFraction(const std::vector<ZoneWeight> &weights, bool first);
    void updateShare();
    void updateShares();
    bool allFit();
    bool takeFromBudget(const InstanceId &peer);

    LimitOptions m_options;
    InstanceId m_self;
    ZoneName m_zone;
    const Clock &m_clock;
    RandomSource &m_random;
    RosterKeeper m_roster;
    /// Before then a predecessor of this instance, if there was one, may have slots lent out.
    SteadyTime m_firstSlotGrowth;
    std::unordered_map<std::string, Rule> m_rules;
    std::unordered_map<std::string, std::unique_ptr<WorkspaceLimit>> m_limits;
    std::map<std::string, EndpointSlots> m_slots;
    /// The part of the whole that this instance has had since the given times, oldest first.
    std::vector<ShareChange> m_shares;
    double m_zoneFraction = 0;
    double m_nextZoneFraction = 0;
    SteadyTime m_zoneFractionDue;
    bool m_configured = false;
    std::map<ZoneName, std::vector<InstanceId>> m_peersByZone;
    std::vector<InstanceId> m_otherPeers;
    std::unordered_map<InstanceId, TokenBucket> m_budgets;
    std::function<bool(const InstanceId &)> m_mayAsk;
    std::vector<AddressedMessage> m_outbox;
    SteadyTime m_nextSweep;
};

} // namespace marigoldspool

#endif
