#ifndef MARIGOLDSPOOL_SERVING_QUARANTINETRIALS_H
#define MARIGOLDSPOOL_SERVING_QUARANTINETRIALS_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/ServingTypes.h"
#include "marigoldspool/Support/Clock.h"

#include "marigoldspool/Support/RandomSource.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigoldspool {

/// What has become of the trial of a prompt part.
struct TrialChange {
    PoolName pool;
    std::string part;
    RequestId request;
    std::string_view outcome;
};

/// Selects the one request in the fleet that is sent although a part of its prompt is under
/// quarantine, to find out whether that part crashes engines.
///
/// An instance claims the trial for one of its requests and tells the others. If several claim it
/// at once, the claim with the lowest number holds; after the time that this takes, the request is
/// sent. Used by PromptQuarantine, which learns the outcome.
class QuarantineTrials
{
public:
    using Key = std::pair<PoolName, std::string>;
    enum class Step {
        /// A trial is under way, here or elsewhere.
        Wait,
        /// The request is the trial.
        Send,
        Refuse,
    };

    QuarantineTrials(const Clock &clock, RandomSource &random);

    /// What to do with a request that could be the trial of a part; may claim the trial for it.
    Step onRequest(const Key &key, const RequestId &request);
    /// The request, for which Step::Send was returned, has been sent to an engine.
    void onSent(const RequestId &request);
    /// The engine has refused the request without running it.
    void onNotRun(const RequestId &request);
    /// The request has ended. What its engine has become may be found out a little later.
    void onEnded(const RequestId &request);
    /// Merges what a peer has reported; with \p relay, passes on what was new to other peers.
    void onNotice(const PromptTrial &notice, bool relay);
    /// Whether \p request is the trial of the part.
    bool isTrial(const Key &key, const RequestId &request) const;
    /// The trial has shown something, or the quarantine has ended; further trials may follow.
    void end(const Key &key, std::string_view outcome);
    /// Discards trials without an outcome.
    void onTick();

    /// Returns the notices that have not been sent yet.
    std::vector<PromptTrial> takeNotices();
    /// Returns the changes since the last call.
    std::vector<TrialChange> takeChanges();

private:
    struct Trial {
        std::uint64_t claim = 0;
        RequestId request;
        bool isOwn = false;
        SteadyTime claimedAt;
        std::optional<SteadyTime> sentAt;
        /// Set when an own trial has ended: when it counts as one without an outcome.
        std::optional<SteadyTime> outcomeBy;
    };
    struct Record {
        std::optional<Trial> trial;
        /// Trials that were sent for this part.
        int sentCount = 0;
    };

    bool isLapsed(const Trial &trial) const;
    /// The own trial that \p request is; null if it is none.
    std::pair<const Key, Record> *findOwn(const RequestId &request);
    /// Tells the other instances of an own trial.
    void notify(const Key &key, const Trial &trial, bool hasEnded);
    void withdraw(const Key &key, Record &record, std::string_view outcome);
    void addChange(const Key &key, const Trial &trial, std::string_view outcome);

    const Clock &m_clock;
    RandomSource &m_random;
    std::map<Key, Record> m_records;
    std::vector<PromptTrial> m_notices;
    std::vector<TrialChange> m_changes;
};

} // namespace marigoldspool

#endif
