#ifndef MARIGOLDSPOOL_TESTS_LIMITS_LIMITSFLEET_H
#define MARIGOLDSPOOL_TESTS_LIMITS_LIMITSFLEET_H

#include "marigoldspool/Limits/LimitService.h"
#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace marigoldspool {

/// A clock with its own rate and offset, derived from the true time of a simulated fleet.
class DriftingClock final : public Clock
{
public:
    DriftingClock(const std::int64_t &trueNow, double rate, Duration offset)
        : m_trueNow(trueNow)
        , m_rate(rate)
        , m_offset(offset)
    { }
    SteadyTime now() const override
    {
        const auto elapsed = static_cast<std::int64_t>(static_cast<double>(m_trueNow) * m_rate);
        return SteadyTime(m_offset + Duration(elapsed));
    }
    WallTime wallNow() const override { return WallTime(Duration(m_trueNow)); }
    Duration toTrue(Duration own) const
    {
        return Duration(static_cast<std::int64_t>(static_cast<double>(own.count()) / m_rate) + 1);
    }

private:
    const std::int64_t &m_trueNow;
    double m_rate;
    Duration m_offset;
};

struct LimitsFleetOptions {
    int zones = 2;
    int perZone = 3;
    std::uint64_t seed = 1;
    LimitOptions limits;
    LimitRules rules;
    /// The number of slots of each endpoint in the rules.
    int slots = 0;
    /// Maximum deviation of a clock's rate, as a fraction of the true rate.
    double clockError = 0;
    /// Fractions of the messages that are lost and duplicated.
    double lostFraction = 0;
    double duplicatedFraction = 0;
    /// Fraction of the messages that take up to \c maxDelay instead of the usual delay.
    double delayedFraction = 0;
    Duration maxDelay = std::chrono::seconds(4);
    Duration delayInZone = std::chrono::microseconds(250);
    Duration delayAcrossZones = std::chrono::microseconds(750);
    /// Fractions of the reads that return an older version and of the writes whose answer is lost.
    double staleReadFraction = 0;
    double lostAnswerFraction = 0;
    /// Messages between two instances arrive in the order in which they were sent.
    bool inOrder = false;
    /// Every instance is connected to all others. Otherwise, as in production, it is connected to
    /// those of its own zone and to two in each other zone.
    bool fullMesh = false;
};

struct LimitsFleetCounts {
    std::uint64_t heartbeats = 0;
    std::uint64_t loanMessages = 0;
    std::uint64_t acks = 0;
    std::uint64_t storeCalls = 0;
};

/// Simulates instances with a LimitService each, their peer channel and their store in true time.
class LimitsFleet
{
public:
    struct Node {
        InstanceId id;
        ZoneName zone;
        std::uint64_t incarnation = 0;
        std::unique_ptr<DriftingClock> clock;
        std::unique_ptr<SeededRandomSource> random;
        std::unique_ptr<LimitService> service;
        bool up = false;
        bool paused = false;
        bool stopping = false;
        /// Whether the platform lists the instance.
        bool listed = true;
        std::vector<std::function<void()>> queuedActions;
        std::map<InstanceId, PeerInfo> knownPeers;
        /// The number of the latest scheduled wake-up; earlier ones are ignored.
        std::uint64_t wakeup = 0;
        /// Retries of requests that wait for a loan.
        std::vector<std::function<void()>> waitingRetries;
        int slotsInUse = 0;
        /// The index of its rules in ruleVersions().
        std::size_t ruleVersion = 0;
    };

    using DecisionHandler = std::function<void(const LimitDecision &)>;

    explicit LimitsFleet(LimitsFleetOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_rules{m_options.rules}
    {
        for (int zone = 0; zone < m_options.zones; ++zone) {
            for (int i = 0; i < m_options.perZone; ++i) {
                join(zone);
            }
        }
    }

    std::int64_t now() const { return m_now; }
    double seconds() const { return static_cast<double>(m_now) * 1e-9; }
    RandomSource &random() { return m_random; }
    std::vector<std::unique_ptr<Node>> &nodes() { return m_nodes; }
    Node &node(std::size_t i) { return *m_nodes[i]; }
    LimitsFleetCounts &counts() { return m_counts; }
    /// Sets a function that is called whenever an instance has applied rules.
    void setOnRules(std::function<void()> handler) { m_onRules = std::move(handler); }
    const std::vector<LimitRules> &ruleVersions() const { return m_rules; }
    static ZoneName zoneName(int zone) { return ZoneName("z" + std::to_string(zone)); }

    void runAfter(Duration delay, std::function<void()> action)
    {
        m_events.push(
            {m_now + std::max<std::int64_t>(0, delay.count()), ++m_sequence, std::move(action)});
    }

    void run(Duration duration)
    {
        const std::int64_t end = m_now + duration.count();
        while (!m_events.empty() && m_events.top().at <= end) {
            // top() returns a const reference; the event is removed in the next line.
            const Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

    void join(int zone)
    {
        auto node = std::make_unique<Node>();
        node->zone = zoneName(zone);
        node->id = InstanceId(node->zone.str() + "-" + std::to_string(m_nodes.size()));
        m_nodes.push_back(std::move(node));
        start(*m_nodes.back());
    }

    void start(Node &node)
    {
        ++node.incarnation;
        const double rate = 1 + m_options.clockError * (2 * m_random.uniform() - 1);
        // One clock in three has the maximum error, where the safety margins matter.
        const double bound = 1 + (m_random.below(2) == 0 ? 1 : -1) * m_options.clockError;
        node.clock = std::make_unique<DriftingClock>(m_now, m_random.below(3) == 0 ? bound : rate,
                                                     Duration(m_random.below(1'000'000'000'000)));
        node.random = std::make_unique<SeededRandomSource>(m_random.next());
        node.service = std::make_unique<LimitService>(m_options.limits, node.id, node.incarnation,
                                                      node.zone, *node.clock, *node.random);
        node.up = true;
        node.stopping = false;
        node.knownPeers.clear();
        applyRules(node);
        for (const SlotRule &rule : m_options.rules.slots) {
            node.service->setSlots(rule.endpoint, m_options.slots);
        }
        tick(node, node.incarnation);
        pollPlatform(node, node.incarnation);
    }

    void crash(Node &node)
    {
        node.up = false;
        node.paused = false;
        node.queuedActions.clear();
        node.waitingRetries.clear();
        node.slotsInUse = 0;
        node.service.reset();
    }

    void stop(Node &node)
    {
        deliver(node, node.incarnation, [this, &node] {
            node.stopping = true;
            perform(node, node.service->release());
        });
    }

    void pause(Node &node, Duration duration)
    {
        node.paused = true;
        runAfter(duration, [&node, incarnation = node.incarnation] {
            if (!node.up || node.incarnation != incarnation) {
                return;
            }
            node.paused = false;
            const std::vector<std::function<void()>> queuedActions = std::move(node.queuedActions);
            node.queuedActions.clear();
            for (const auto &action : queuedActions) {
                action();
            }
        });
    }

    void changeRules(LimitRules rules, Duration spread)
    {
        m_rules.push_back(std::move(rules));
        for (auto &node : m_nodes) {
            runAfter(Duration(m_random.below(1 + static_cast<std::uint64_t>(spread.count()))),
                     [this, &node = *node, incarnation = node->incarnation] {
                         deliver(node, incarnation, [this, &node] {
                             applyRules(node);
                         });
                     });
        }
    }

    /// Drops or delivers the messages between the zone and all other zones.
    void setZonePartitioned(const ZoneName &zone, bool isPartitioned)
    {
        setContained(m_partitionedZones, zone, isPartitioned);
    }
    /// Makes the store and the platform list unavailable to the zone, or available again.
    void setStorePartitioned(const ZoneName &zone, bool isPartitioned)
    {
        setContained(m_zonesWithoutStore, zone, isPartitioned);
    }
    void setStoreUnavailable(bool unavailable) { m_storeUnavailable = unavailable; }

    /// Retries until the request is admitted or refused, as the daemon does.
    void request(Node &node, const WorkspaceName &workspace, double cost, DecisionHandler done)
    {
        deliver(node, node.incarnation, [this, &node, workspace, cost, done = std::move(done)] {
            attempt(node, workspace, cost, AdmitAttempt::First, done);
        });
    }

    /// Runs an action at the node, or queues it if the node is paused.
    void deliver(Node &node, std::uint64_t incarnation, std::function<void()> action)
    {
        if (!node.up || node.incarnation != incarnation) {
            return;
        }
        if (node.paused) {
            node.queuedActions.push_back([this, &node, incarnation, action = std::move(action)] {
                deliver(node, incarnation, action);
            });
            return;
        }
        action();
        if (node.up) {
            perform(node, node.service->takeActions());
            scheduleWakeup(node);
        }
    }

    bool isConnected(const Node &a, const Node &b) const
    {
        return m_options.fullMesh || a.zone == b.zone || isGateway(b, a.zone)
            || isGateway(a, b.zone);
    }

private:
    struct Event {
        std::int64_t at;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void applyRules(Node &node)
    {
        node.ruleVersion = m_rules.size() - 1;
        node.service->applyRules(m_rules.back());
        if (m_onRules) {
            m_onRules();
        }
    }

    static void setContained(std::set<ZoneName> &zones, const ZoneName &zone, bool isContained)
    {
        if (isContained) {
            zones.insert(zone);
        } else {
            zones.erase(zone);
        }
    }

    void attempt(Node &node, const WorkspaceName &workspace, double cost, AdmitAttempt which,
                 const DecisionHandler &done)
    {
        const LimitDecision decision = node.service->admit(workspace, cost, which);
        if (decision.outcome != LimitDecision::Outcome::WaitForLoan) {
            done(decision);
            return;
        }
        // Retried after each message and when the wait is over.
        auto wasRetried = std::make_shared<bool>(false);
        const auto retry = [this, &node, workspace, cost, done, wasRetried] {
            if (!std::exchange(*wasRetried, true)) {
                attempt(node, workspace, cost, AdmitAttempt::Retry, done);
            }
        };
        node.waitingRetries.push_back(retry);
        runAfter(node.clock->toTrue(decision.retryAfter),
                 [this, &node, incarnation = node.incarnation, retry] {
                     deliver(node, incarnation, retry);
                 });
    }

    void tick(Node &node, std::uint64_t incarnation)
    {
        if (!node.up || node.incarnation != incarnation) {
            return;
        }
        deliver(node, incarnation, [this, &node] {
            node.service->onTick();
            refreshPeers(node);
            sendHeartbeats(node);
        });
        runAfter(std::chrono::seconds(1), [this, &node, incarnation] {
            tick(node, incarnation);
        });
    }

    void pollPlatform(Node &node, std::uint64_t incarnation)
    {
        if (!node.up || node.incarnation != incarnation) {
            return;
        }
        if (!m_storeUnavailable && m_zonesWithoutStore.count(node.zone) == 0) {
            std::vector<PlatformInstance> list;
            for (const auto &other : m_nodes) {
                if (other->listed) {
                    list.push_back({other->id.str(), other->zone.str(), "", PlatformState::Live});
                }
            }
            deliver(node, incarnation, [&node, list] {
                node.service->onPlatformInstances(list);
            });
        }
        runAfter(std::chrono::milliseconds(700), [this, &node, incarnation] {
            pollPlatform(node, incarnation);
        });
    }

    void refreshPeers(Node &node)
    {
        std::vector<PeerInfo> alive;
        for (const auto &[id, info] : node.knownPeers) {
            if (node.clock->now() - info.lastHeard < std::chrono::seconds(3)) {
                alive.push_back(info);
            }
        }
        node.service->onPeers(alive);
    }

    void sendHeartbeats(Node &node)
    {
        const Heartbeat heartbeat{node.zone,    "", 0, -1, node.service->acknowledgedEpoch(),
                                  node.stopping};
        for (auto &other : m_nodes) {
            if (other.get() != &node && isConnected(node, *other)) {
                send(node, *other, heartbeat);
            }
        }
    }

    bool isGateway(const Node &node, const ZoneName &other) const
    {
        const auto rank = [&](const Node &n) {
            return stableHash(std::min(n.zone, other).str() + std::max(n.zone, other).str()
                              + n.id.str());
        };
        const auto key = std::pair(node.id, other);
        const auto found = m_gateways.find(key);
        if (found != m_gateways.end()) {
            return found->second;
        }
        int higherRanked = 0;
        for (const auto &n : m_nodes) {
            higherRanked += n->zone == node.zone && rank(*n) > rank(node) ? 1 : 0;
        }
        return m_gateways[key] = higherRanked < 2;
    }

    void perform(Node &node, const LimitActions &actions)
    {
        for (const AddressedMessage &message : actions.send) {
            const auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &n) {
                return n->id == message.to;
            });
            if (it != m_nodes.end()) {
                send(node, **it, message.message);
            }
        }
        for (const std::string &key : actions.reads) {
            read(node, key);
        }
        for (const StoreWrite &write : actions.writes) {
            put(node, write);
        }
    }

    Duration messageDelay(const Node &from, const Node &to)
    {
        const Duration base =
            from.zone == to.zone ? m_options.delayInZone : m_options.delayAcrossZones;
        if (m_random.uniform() < m_options.delayedFraction) {
            return Duration(m_random.below(static_cast<std::uint64_t>(m_options.maxDelay.count())));
        }
        return base + Duration(m_random.below(static_cast<std::uint64_t>(base.count()) + 1));
    }

    Duration arrivalDelay(const Node &from, const Node &to)
    {
        const Duration delay = messageDelay(from, to);
        if (!m_options.inOrder) {
            return delay;
        }
        std::int64_t &last = m_lastArrivalTimes[{&from, &to}];
        last = std::max(last + 1, m_now + delay.count());
        return Duration(last - m_now);
    }

    void send(Node &from, Node &to, const PeerMessage &message)
    {
        count(message);
        const bool isPartitioned = from.zone != to.zone
            && (m_partitionedZones.count(from.zone) > 0 || m_partitionedZones.count(to.zone) > 0);
        if (isPartitioned || m_random.uniform() < m_options.lostFraction) {
            return;
        }
        const int copies = m_random.uniform() < m_options.duplicatedFraction ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            runAfter(arrivalDelay(from, to),
                     [this, &to, id = from.id, incarnation = from.incarnation, message] {
                         deliver(to, to.incarnation, [this, &to, id, incarnation, message] {
                             receive(to, id, incarnation, message);
                         });
                     });
        }
    }

    void count(const PeerMessage &message)
    {
        m_counts.heartbeats += std::holds_alternative<Heartbeat>(message) ? 1 : 0;
        m_counts.acks += std::holds_alternative<EpochAck>(message) ? 1 : 0;
        m_counts.loanMessages += std::holds_alternative<LoanRequest>(message)
                || std::holds_alternative<LoanGrant>(message)
            ? 1
            : 0;
    }

    void receive(Node &to, const InstanceId &from, std::uint64_t incarnation,
                 const PeerMessage &message)
    {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
            PeerInfo &info = to.knownPeers[from];
            if (incarnation < info.incarnation) {
                return;
            }
            const bool isNew = info.incarnation != incarnation;
            info = {from,
                    incarnation,
                    heartbeat->zone,
                    "",
                    0,
                    -1,
                    heartbeat->rosterEpoch,
                    heartbeat->stopping,
                    to.clock->now()};
            if (isNew) {
                refreshPeers(to);
            }
            return;
        }
        to.service->onPeerMessage(from, incarnation, message);
        const std::vector<std::function<void()>> waiting = std::move(to.waitingRetries);
        to.waitingRetries.clear();
        for (const auto &retry : waiting) {
            retry();
        }
    }

    void scheduleWakeup(Node &node)
    {
        const Duration wait = node.service->nextWakeup() - node.clock->now();
        const std::uint64_t wakeup = ++node.wakeup;
        runAfter(node.clock->toTrue(wait), [this, &node, wakeup, incarnation = node.incarnation] {
            if (node.wakeup == wakeup) {
                deliver(node, incarnation, [] {});
            }
        });
    }

    bool storeFails(const Node &node) const
    {
        return m_storeUnavailable || m_zonesWithoutStore.count(node.zone) > 0;
    }

    Duration storeDelay() { return std::chrono::milliseconds(2 + m_random.below(20)); }

    void read(Node &node, const std::string &key)
    {
        ++m_counts.storeCalls;
        const std::vector<StoredObject> &versions = m_objects[key];
        StoredObject object;
        if (!versions.empty()) {
            const bool stale = m_random.uniform() < m_options.staleReadFraction;
            object = stale ? versions[m_random.below(versions.size())] : versions.back();
        }
        const bool fails = storeFails(node);
        runAfter(storeDelay(), [this, &node, incarnation = node.incarnation, object, fails] {
            deliver(node, incarnation, [&node, object, fails] {
                if (fails) {
                    node.service->onRosterReadFailed();
                } else {
                    node.service->onRoster(object);
                }
            });
        });
    }

    void put(Node &node, const StoreWrite &write)
    {
        ++m_counts.storeCalls;
        if (storeFails(node)) {
            reply(node, write.writeId,
                  unexpectedError(ErrorKind::Unavailable, "unavailable", "retry"));
            return;
        }
        // The write takes effect some time after it was sent, even if the writer crashes meanwhile.
        runAfter(storeDelay(), [this, &node, write, incarnation = node.incarnation] {
            std::vector<StoredObject> &versions = m_objects[write.key];
            const std::uint64_t version = versions.empty() ? 0 : versions.back().version;
            const bool done = version == write.expectedVersion;
            if (done) {
                versions.push_back({write.key, version + 1, write.value, write.writeId});
            }
            if (node.incarnation != incarnation) {
                return;
            }
            if (m_random.uniform() < m_options.lostAnswerFraction) {
                reply(node, write.writeId,
                      unexpectedError(ErrorKind::OutcomeUnknown, "lost", "read back"));
            } else if (done) {
                reply(node, write.writeId, version + 1);
            } else {
                reply(node, write.writeId, unexpectedError(ErrorKind::Conflict, "old", "read"));
            }
        });
    }

    void reply(Node &node, const WriteId &id, const Expected<std::uint64_t> &answer)
    {
        runAfter(storeDelay(), [this, &node, id, answer, incarnation = node.incarnation] {
            deliver(node, incarnation, [&node, id, answer] {
                node.service->onStoreReply(id, answer);
            });
        });
    }

    LimitsFleetOptions m_options;
    SeededRandomSource m_random;
    std::vector<LimitRules> m_rules;
    std::function<void()> m_onRules;
    std::int64_t m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    LimitsFleetCounts m_counts;
    std::map<std::string, std::vector<StoredObject>> m_objects;
    std::set<ZoneName> m_partitionedZones;
    std::set<ZoneName> m_zonesWithoutStore;
    bool m_storeUnavailable = false;
    mutable std::map<std::pair<InstanceId, ZoneName>, bool> m_gateways;
    std::map<std::pair<const Node *, const Node *>, std::int64_t> m_lastArrivalTimes;
};

} // namespace marigoldspool

#endif
