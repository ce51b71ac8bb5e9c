#ifndef MARIGOLDSPOOL_TESTS_LIMITS_SOAK_H
#define MARIGOLDSPOOL_TESTS_LIMITS_SOAK_H

#include "Limits/LimitsFleet.h"

#include <cmath>
#include <cstdio>
#include <deque>

namespace marigoldspool {

struct SoakResult {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t slotsTaken = 0;
    std::uint64_t faults = 0;
    std::uint64_t loanMessages = 0;
    std::vector<std::string> violations;
};

/// A single token bucket in true time. The instances together must never admit more than it does.
class ReferenceBucket
{
public:
    void setRule(double rate, double burst, double now)
    {
        m_level = m_started ? std::min(m_burst, m_level + m_rate * (now - m_at)) : burst;
        m_started = true;
        m_at = now;
        m_rate = rate;
        m_burst = burst;
        m_level = std::min(m_level, burst);
    }
    void take(double tokens, double now)
    {
        setRule(m_rate, m_burst, now);
        m_level -= tokens;
    }
    double level() const { return m_level; }
    double tolerance() const { return 1e-6 * (1 + m_burst); }

private:
    bool m_started = false;
    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    double m_at = 0;
};

/// One randomised run of a fleet under load and faults, with short loan terms so that a run covers
/// many of them. Checks against the true clock that no limit is exceeded, neither by what was
/// admitted nor by what all instances together could admit at once.
class SoakRun
{
public:
    explicit SoakRun(std::uint64_t seed)
        : m_seed(seed)
        , m_fleet(options(seed))
    { }

    SoakResult run(Duration duration)
    {
        m_end = m_fleet.now() + duration.count();
        for (std::size_t i = 0; i < m_fleet.nodes().size(); ++i) {
            addLoad(i);
        }
        m_fleet.setOnRules([this] {
            updateReferenceBuckets();
        });
        checkTokenLevels();
        scheduleFault();
        m_fleet.run(duration);
        m_result.loanMessages = m_fleet.counts().loanMessages;
        return m_result;
    }

private:
    static constexpr int TotalSlots = 7;
    static constexpr std::size_t MaxNodes = 18;

    static LimitRules rulesWith(double factor)
    {
        // The burst of the first limit takes longer to fill than a crashed member's share stays
        // unused.
        return {{{WorkspaceName("derwent"), 100 * factor, 1500 * factor},
                 {WorkspaceName("esk"), 1000 * factor, 300 * factor}},
                {{ZoneName("z0"), 1}, {ZoneName("z1"), 2}, {ZoneName("z2"), 1}},
                {{EndpointId("e"), ZoneName("z0")}}};
    }

    static void setShortTerms(LimitOptions &limits)
    {
        limits.loanTerm = std::chrono::seconds(2);
        limits.slotTerm = std::chrono::seconds(4);
        limits.reclaimDelay = std::chrono::seconds(6);
        limits.rosterRefresh = std::chrono::seconds(2);
    }

    static LimitsFleetOptions options(std::uint64_t seed)
    {
        SeededRandomSource random(seed * 7919 + 1);
        LimitsFleetOptions options;
        options.seed = seed;
        options.zones = 1 + static_cast<int>(random.below(3));
        options.perZone = 1 + static_cast<int>(random.below(4));
        options.rules = rulesWith(1);
        options.slots = TotalSlots;
        options.clockError = 0.01;
        options.fullMesh = random.below(2) == 0;
        setShortTerms(options.limits);
        // Lost tokens and slow clocks can hide tokens created elsewhere, so every other run has
        // neither.
        if (seed % 2 == 0) {
            options.clockError = 0;
            options.limits.clockError = 0;
            return options;
        }
        options.lostFraction = 0.05 * random.uniform();
        options.duplicatedFraction = 0.1 * random.uniform();
        options.delayedFraction = 0.05 * random.uniform();
        options.staleReadFraction = 0.3 * random.uniform();
        options.lostAnswerFraction = 0.3 * random.uniform();
        return options;
    }

    Duration randomDuration(double minSeconds, double maxSeconds)
    {
        const double seconds = minSeconds + (maxSeconds - minSeconds) * m_fleet.random().uniform();
        return Duration(static_cast<std::int64_t>(seconds * 1e9));
    }

    void reportViolation(const std::string &text)
    {
        if (m_result.violations.size() < 5) {
            char at[64];
            std::snprintf(at, sizeof(at),
                          "seed %llu at %.3f s: ", static_cast<unsigned long long>(m_seed),
                          m_fleet.seconds());
            m_result.violations.push_back(at + text);
        }
    }

    // Generates load in phases of five seconds with a weight for each instance, from idle to
    // several times the whole rate.
    void addLoad(std::size_t index)
    {
        if (m_fleet.now() >= m_end) {
            return;
        }
        const auto phase = static_cast<std::uint64_t>(m_fleet.seconds() / 5);
        const double weight = static_cast<double>(
            (stableHash(std::to_string(m_seed * 1000 + phase) + "/" + std::to_string(index)) % 4));
        LimitsFleet::Node &node = m_fleet.node(index);
        if (weight > 0 && node.up) {
            sendRequest(node);
            takeSlot(node);
        }
        m_fleet.runAfter(randomDuration(0, 0.2 / (weight + 0.2)), [this, index] {
            addLoad(index);
        });
    }

    double randomCost(std::size_t limit)
    {
        const double size = m_fleet.random().uniform();
        return std::ceil(m_fleet.ruleVersions().front().limits[limit].burst * 0.4 * size * size
                         * size);
    }

    void sendRequest(LimitsFleet::Node &node)
    {
        const std::size_t limit = m_fleet.random().below(2);
        const double cost = randomCost(limit);
        m_fleet.request(node, m_fleet.ruleVersions().front().limits[limit].workspace, cost,
                        [this, limit, cost](const LimitDecision &decision) {
                            onDecision(limit, cost, decision);
                        });
    }

    void onDecision(std::size_t limit, double cost, const LimitDecision &decision)
    {
        if (decision.outcome != LimitDecision::Outcome::Admitted) {
            ++m_result.refused;
            return;
        }
        ++m_result.admitted;
        m_reference[limit].take(cost, m_fleet.seconds());
        if (m_reference[limit].level() < -m_reference[limit].tolerance()) {
            reportViolation("admitted beyond rate and burst, reference level "
                            + std::to_string(m_reference[limit].level()));
        }
    }

    // Requests that arrived during a pause are decided on before any timer runs.
    void sendRequestBurst(LimitsFleet::Node &node)
    {
        m_fleet.deliver(node, node.incarnation, [this, &node] {
            for (int i = 0; i < 20; ++i) {
                const std::size_t limit = m_fleet.random().below(2);
                const double cost = randomCost(limit);
                const auto &rule = m_fleet.ruleVersions().front().limits[limit];
                onDecision(limit, cost, node.service->admit(rule.workspace, cost));
            }
        });
    }

    // A slot is in use until the request ends at the endpoint, even if its instance is paused.
    void takeSlot(LimitsFleet::Node &node)
    {
        m_fleet.deliver(node, node.incarnation, [this, &node] {
            const Duration deadline = randomDuration(0.1, 2);
            if (!node.service->tryTakeSlot(EndpointId("e"), deadline)) {
                return;
            }
            ++node.slotsInUse;
            ++m_result.slotsTaken;
            checkSlots();
            const Duration use = randomDuration(0, 0.98) * deadline.count() / 1'000'000'000;
            m_fleet.runAfter(use, [this, &node, incarnation = node.incarnation] {
                if (!node.up || node.incarnation != incarnation) {
                    return;
                }
                --node.slotsInUse;
                m_fleet.deliver(node, incarnation, [&node] {
                    node.service->returnSlot(EndpointId("e"));
                });
            });
        });
    }

    void checkSlots()
    {
        int used = 0;
        for (const auto &node : m_fleet.nodes()) {
            used += node->slotsInUse;
        }
        if (used > TotalSlots) {
            reportViolation("slots in use: " + std::to_string(used) + " of "
                            + std::to_string(TotalSlots));
        }
    }

    // A lower rate or burst applies once every instance has it and the loans made before have
    // ended.
    LimitRule largestRuleInForce(std::size_t limit)
    {
        LimitRule largest;
        for (const auto &node : m_fleet.nodes()) {
            if (node->up) {
                const LimitRule &rule = m_fleet.ruleVersions()[node->ruleVersion].limits[limit];
                largest.rate = std::max(largest.rate, rule.rate);
                largest.burst = std::max(largest.burst, rule.burst);
            }
        }
        auto &history = m_recentRules[limit];
        history.emplace_back(m_fleet.seconds(), largest);
        while (history.front().first < m_fleet.seconds() - 2.1) {
            history.pop_front();
        }
        for (const auto &[at, rule] : history) {
            largest.rate = std::max(largest.rate, rule.rate);
            largest.burst = std::max(largest.burst, rule.burst);
        }
        return largest;
    }

    void updateReferenceBuckets()
    {
        for (std::size_t limit = 0; limit < 2; ++limit) {
            const LimitRule rule = largestRuleInForce(limit);
            m_reference[limit].setRule(rule.rate, rule.burst, m_fleet.seconds());
        }
    }

    void checkTokenLevels()
    {
        double levels[2] = {0, 0};
        updateReferenceBuckets();
        for (const auto &node : m_fleet.nodes()) {
            // A paused instance is skipped: a snapshot would expire its loans.
            if (!node->up || node->paused) {
                continue;
            }
            for (const LimitStatus &status : node->service->snapshot().limits) {
                levels[status.limit == "rate/derwent" ? 0 : 1] += status.level;
            }
        }
        for (std::size_t limit = 0; limit < 2; ++limit) {
            const ReferenceBucket &reference = m_reference[limit];
            if (levels[limit] > reference.level() + reference.tolerance()) {
                reportViolation("tokens at all instances " + std::to_string(levels[limit])
                                + ", reference level " + std::to_string(reference.level()));
            }
        }
        if (m_fleet.now() < m_end) {
            m_fleet.runAfter(std::chrono::milliseconds(5), [this] {
                checkTokenLevels();
            });
        }
    }

    void scheduleFault()
    {
        const double maxIntervalSeconds = m_seed % 2 == 0 ? 12 : 4;
        m_fleet.runAfter(randomDuration(0.5, maxIntervalSeconds), [this] {
            injectFault();
            if (m_fleet.random().below(2) == 0) {
                injectFault();
            }
            if (m_fleet.now() < m_end) {
                scheduleFault();
            }
        });
    }

    LimitsFleet::Node *randomNode()
    {
        LimitsFleet::Node &node = m_fleet.node(m_fleet.random().below(m_fleet.nodes().size()));
        return node.up && !node.paused && !node.stopping ? &node : nullptr;
    }

    void injectFault()
    {
        const std::uint64_t kind = m_fleet.random().below(9);
        ++m_result.faults;
        const ZoneName zone = LimitsFleet::zoneName(static_cast<int>(m_fleet.random().below(3)));
        const Duration duration = randomDuration(0.1, 6);
        switch (kind) {
        case 0:
            m_fleet.setZonePartitioned(zone, true);
            m_fleet.runAfter(duration, [this, zone] {
                m_fleet.setZonePartitioned(zone, false);
            });
            return;
        case 1:
            m_fleet.setStorePartitioned(zone, true);
            m_fleet.runAfter(duration, [this, zone] {
                m_fleet.setStorePartitioned(zone, false);
            });
            return;
        case 2:
            m_fleet.setStoreUnavailable(true);
            m_fleet.runAfter(duration, [this] {
                m_fleet.setStoreUnavailable(false);
            });
            return;
        case 3:
            m_fleet.changeRules(rulesWith(0.25 + m_fleet.random().uniform()), randomDuration(0, 2));
            return;
        case 4:
            if (m_fleet.nodes().size() < MaxNodes) {
                m_fleet.join(static_cast<int>(m_fleet.random().below(3)));
                addLoad(m_fleet.nodes().size() - 1);
            }
            return;
        default:
            if (LimitsFleet::Node *node = randomNode()) {
                injectNodeFault(*node, kind, duration);
            }
        }
    }

    void injectNodeFault(LimitsFleet::Node &node, std::uint64_t kind, Duration duration)
    {
        switch (kind) {
        case 5:
            m_fleet.pause(node, duration);
            sendRequestBurst(node);
            return;
        case 6:
            m_fleet.crash(node);
            m_fleet.runAfter(duration / 2, [this, &node] {
                if (!node.up && node.listed) {
                    m_fleet.start(node);
                }
            });
            return;
        case 7:
            m_fleet.crash(node);
            m_fleet.runAfter(duration / 2, [&node] {
                node.listed = node.up;
            });
            return;
        default:
            m_fleet.stop(node);
            awaitRelease(node, node.incarnation);
        }
    }

    void awaitRelease(LimitsFleet::Node &node, std::uint64_t incarnation)
    {
        m_fleet.runAfter(std::chrono::milliseconds(100), [this, &node, incarnation] {
            if (!node.up || node.incarnation != incarnation) {
                return;
            }
            if (node.service->isReleased()) {
                m_fleet.crash(node);
                node.listed = false;
                return;
            }
            awaitRelease(node, incarnation);
        });
    }

    std::uint64_t m_seed;
    LimitsFleet m_fleet;
    std::int64_t m_end = 0;
    ReferenceBucket m_reference[2];
    std::deque<std::pair<double, LimitRule>> m_recentRules[2];
    SoakResult m_result;
};

} // namespace marigoldspool

#endif
