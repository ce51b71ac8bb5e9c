#ifndef MARIGOLDSPOOL_SERVING_PROMPTQUARANTINE_H
#define MARIGOLDSPOOL_SERVING_PROMPTQUARANTINE_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/QuarantineTrials.h"
#include "marigoldspool/Serving/ServingTypes.h"
#include "marigoldspool/Support/RandomSource.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// A prompt part that has been put under quarantine or released from it.
struct QuarantineChange {
    PoolName pool;
    std::string part;
    bool quarantined = false;
    /// Number of crashes that led to the quarantine.
    std::size_t crashes = 0;
    /// Remaining time of the quarantine.
    Duration remaining = Duration::zero();
};

/// What is known of the parts of the requests that were in work at the crash of an engine.
struct CrashSuspects {
    /// How many crashes count against each suspected part.
    std::map<std::string, std::size_t> suspected;
    /// Parts that other engines have survived lately.
    std::set<std::string> served;
    /// The time since the oldest of these answers.
    Duration maxServedAge = Duration::zero();

    void merge(const CrashSuspects &other);
};

/// Whether a request may be sent although engines have crashed on parts of prompts.
struct QuarantineAdmission {
    enum Kind {
        /// No part of its prompt is under quarantine.
        Allowed,
        /// It may be sent once, to find out whether its part crashes engines.
        Trial,
        /// Whether it may be sent is being found out.
        Wait,
        Refused,
    };
    Kind kind = Allowed;
    /// Unless Allowed: the first part that is under quarantine.
    std::string part;
    /// When the caller should ask again.
    Duration retryAfter = Duration::zero();
};

/// Finds the prompt parts that crash every engine that answers them, so that requests with such a
/// part can be refused before they reach another engine.
///
/// A part is suspected when it was in a request that was in work at the crash of an engine, whether
/// its answer had begun or not. The instances tell each other of crashes, and each of them
/// withdraws the suspicion of a part that an engine has survived: its answer has ended whole or
/// gone on for long. What remains suspected after several crashes that no other part explains is
/// put under quarantine for a time that doubles with each repetition. The last part of a prompt
/// belongs to one request or session and is never considered. The fingerprint of a request is
/// treated as another part of its prompt, for requests that crash engines whatever their prompt.
///
/// Parts that were in the same crashes are put under quarantine together, as rivals. A request with
/// one of them alone shows whether it is the cause, so a single one is sent, see QuarantineTrials.
class PromptQuarantine
{
public:
    /// \p random is used for the ids of reports and must outlive this object.
    PromptQuarantine(const Clock &clock, RandomSource &random);

    /// An engine has survived the answer to \p prompt.
    void onAnswerServed(const PoolName &pool, gsl::span<const PromptPart> prompt);
    /// \p endpoint has crashed while \p request, an attempt of a caller with \p prompt, was in
    /// work.
    CrashSuspects onCrash(const EndpointId &endpoint, const PoolName &pool,
                          gsl::span<const PromptPart> prompt, const RequestId &request = {});
    /// The first part of \p prompt that is under quarantine, if any.
    std::optional<std::string> findQuarantined(const PoolName &pool,
                                               gsl::span<const PromptPart> prompt) const;
    /// Whether \p request, with \p prompt, may be sent now.
    QuarantineAdmission admit(const PoolName &pool, gsl::span<const PromptPart> prompt,
                              const RequestId &request);
    /// Follows the requests that admit() has called trials.
    QuarantineTrials &trials() { return m_trials; }
    /// The remaining time of a part's quarantine; zero if it is not under quarantine.
    Duration remaining(const PoolName &pool, const std::string &part) const;
    std::size_t quarantinedCount() const { return m_quarantined.size(); }
    /// Whether an answer to some request would withdraw a suspicion.
    bool hasSuspects() const
    {
        return !m_suspects.empty() || !m_quarantined.empty() || !m_ended.empty();
    }

    /// Merges what a peer has reported; with \p relay, passes on what was new to other peers.
    void onEvidence(const PromptEvidence &evidence, bool relay);
    /// Returns the evidence that has not been sent yet; empty lists if there is none.
    PromptEvidence takeEvidence();
    /// All parts under quarantine, for peers that have missed a message.
    PromptEvidence allQuarantined() const;
    /// Returns the changes since the last call.
    std::vector<QuarantineChange> takeChanges();
    /// Decides on crashes whose reports have arrived, and discards outdated entries.
    void onTick();

private:
    using Key = std::pair<PoolName, std::string>;
    struct Crash {
        EndpointId endpoint;
        SteadyTime at;
        /// The last part of the request's prompt, which tells requests apart.
        std::string ownPart;
        RequestId request;
        /// Not at the moment of another crash with the part.
        bool isSeparate = true;
    };
    struct Quarantine {
        SteadyTime since;
        SteadyTime until;
        /// How often the part has been put under quarantine.
        int repetitions = 1;
        /// Crashes that the part has caused.
        std::vector<Crash> crashes;
        /// Parts under quarantine that were in the same crashes; empty if the part is the cause.
        std::set<std::string> rivals;
        /// The crash under the trial of the part, until decideTrials().
        std::optional<Crash> trialCrash;
    };

    bool isServedLately(const Key &key) const;
    /// Whether peers may suspect the part, too.
    bool isSuspected(const Key &key) const;
    /// Names a report: its random id, or the engine and the last prompt part if it has none.
    using ReportKey = std::tuple<std::uint64_t, EndpointId, std::string>;

    /// Records the report; returns whether it has not been received before.
    bool isNewReport(const EngineCrash &crash);
    /// Number of crashes that count against a part which is suspected or under quarantine.
    std::size_t crashCount(const Key &key) const;
    /// Counts the crash for its parts; decide() follows.
    void addCrash(const EngineCrash &crash);
    /// The parts of \p prompt that are under quarantine.
    std::vector<std::string> quarantinedParts(const PoolName &pool,
                                              gsl::span<const PromptPart> prompt) const;
    /// Confirms the parts whose trials have crashed their engines.
    void decideTrials();
    /// Whether another part under quarantine was in work at the crash.
    bool isExplained(const Key &key, const Crash &crash) const;
    /// The part is no rival of others any more.
    void removeRival(const Key &key);
    /// Puts the parts that stand out under quarantine.
    void decide();
    /// The suspected part with the most crashes among those to put under quarantine.
    std::optional<Key> findCause() const;
    bool isCause(const Key &key) const;
    void addSuspicion(const EngineCrash &crash, const Key &key);
    void recordCrash(std::vector<Crash> &crashes, const EngineCrash &crash) const;
    bool isQuarantined(const Key &key);
    /// The crashes of a suspected part, without those that a part under quarantine has caused.
    std::vector<Crash> unexplainedCrashes(const Key &key) const;
    /// Number of crashes, those at the same moment counted once.
    static std::size_t separateCount(const std::vector<Crash> &crashes);
    /// Whether more than one request with the part was in work at these crashes.
    static bool hasSeveralRequests(const Key &key, const std::vector<Crash> &crashes);
    /// Whether another suspected part was in a request at each of these crashes.
    bool hasRival(const Key &key, const std::vector<Crash> &crashes) const;
    /// Whether \p crashes contain all of \p others.
    static bool hasAll(const std::vector<Crash> &crashes, const std::vector<Crash> &others);
    static bool hasCrash(const std::vector<Crash> &crashes, const EndpointId &endpoint,
                         SteadyTime at);
    void markServed(const Key &key, SteadyTime at);
    void reportServed(const Key &key);
    void release(const Key &key);
    /// Puts parts with the same crashes, and their numbers, under quarantine.
    void imposeTogether(const std::vector<std::pair<Key, std::size_t>> &causes);
    void impose(const Key &key, std::size_t crashes, std::set<std::string> rivals);
    /// Ends a quarantine whose time has passed; returns the next one.
    std::map<Key, Quarantine>::iterator end(std::map<Key, Quarantine>::iterator it);

    const Clock &m_clock;
    RandomSource &m_random;
    /// When an engine last survived an answer with the part.
    std::map<Key, SteadyTime> m_served;
    /// Distinct crashes at which a request with the part was in work, since it was served last.
    std::map<Key, std::vector<Crash>> m_suspects;
    std::map<Key, Quarantine> m_quarantined;
    /// Quarantines that have ended by time; the next crash repeats them.
    std::map<Key, Quarantine> m_ended;
    /// When a quarantine was ended by an answer; peers may report it again until it ends by time.
    std::map<Key, SteadyTime> m_released;
    /// Reports of crashes, with the time at which they became known.
    std::map<ReportKey, SteadyTime> m_knownReports;
    QuarantineTrials m_trials;
    PromptEvidence m_unsent;
    std::vector<QuarantineChange> m_changes;
    /// When to decide on the crashes that were reported last.
    std::optional<SteadyTime> m_decideAt;
    SteadyTime m_nextCleanUp;
};

} // namespace marigoldspool

#endif
