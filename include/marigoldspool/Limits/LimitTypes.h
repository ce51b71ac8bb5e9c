#ifndef MARIGOLDSPOOL_LIMITS_LIMITTYPES_H
#define MARIGOLDSPOOL_LIMITS_LIMITTYPES_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Refusal.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldspool {

/// A workspace's limit: \c rate in tokens per second, \c burst in tokens.
struct LimitRule {
    WorkspaceName workspace;
    double rate = 0;
    double burst = 0;
};

struct ZoneWeight {
    ZoneName zone;
    double weight = 1;
};

/// Names the zone whose members divide an endpoint's slots.
struct SlotRule {
    EndpointId endpoint;
    ZoneName zone;
};

/// The rules of a configuration that define limits.
struct LimitRules {
    std::vector<LimitRule> limits;
    std::vector<ZoneWeight> zones;
    std::vector<SlotRule> slots;
};

struct LimitOptions {
    /// Term of a loan of a fraction, and the maximum term of any loan of a rate limit.
    Duration loanTerm = std::chrono::seconds(5);
    /// Term of a loan of tokens alone. Short, because the tokens serve requests that wait now and
    /// the lender's burst capacity is reduced until the term ends.
    Duration tokenTerm = std::chrono::milliseconds(100);
    /// Term of a loan of tokens that is large compared with the lender's capacity. A request that
    /// needs several such loans is often retried; with the shorter term each retry lost the tokens
    /// borrowed for the previous one, and a request of three quarters of the burst was never
    /// admitted.
    Duration largeTokenTerm = std::chrono::milliseconds(500);
    /// Term of a loan of a slot. A borrowed slot serves only requests whose deadline is within it.
    /// Must be below reclaimDelay, after which a dead member's slots are reassigned.
    Duration slotTerm = std::chrono::seconds(50);
    /// Maximum error of the rate of an instance's clock, as a fraction of the true rate. Tokens
    /// accrue more slowly and loans are reserved longer to compensate for it.
    double clockError = 0.01;
    /// Maximum time for which a request waits for a loan.
    Duration loanWait = std::chrono::milliseconds(50);
    /// Time after which an unanswered loan request no longer counts as pending.
    Duration answerTimeout = std::chrono::milliseconds(100);
    /// How long a member stays in the roster after it is missing from the platform's list.
    Duration reclaimDelay = std::chrono::seconds(60);
    /// Mean interval of the periodic reads of the roster.
    Duration rosterRefresh = std::chrono::seconds(15);
    /// Delay until an increase of the zone's fraction takes effect after a change of weights, so
    /// that the other zones have the same configuration by then.
    Duration weightDelay = std::chrono::seconds(20);
    /// Maximum rate of loan requests to one peer, over all limits.
    double requestsPerPeerPerSecond = 100;
    /// Maximum number of pending loan requests of one limit.
    std::size_t maxPendingRequests = 8;
};

struct LimitDecision {
    enum class Outcome {
        Admitted,
        /// Retry when a grant has arrived, for at most LimitOptions::loanWait.
        WaitForLoan,
        Refused,
    };

    Outcome outcome = Outcome::Refused;
    RefusalReason reason = RefusalReason::RateExceeded;
    /// For WaitForLoan and Refused; zero when waiting cannot help.
    Duration retryAfter = Duration::zero();
};

/// Distinguishes the first attempt to admit a request from a retry after WaitForLoan, which is not
/// counted in the demand again.
enum class AdmitAttempt {
    First,
    Retry,
};

/// A conditional write for the object store.
struct StoreWrite {
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    WriteId writeId;
};

/// The I/O that the daemon performs for the limits.
struct LimitActions {
    std::vector<AddressedMessage> send;
    std::vector<StoreWrite> writes;
    /// Keys to read; the results are passed to LimitService::onRoster().
    std::vector<std::string> reads;
};

/// The state of one limit at one instance, for status pages.
struct LimitStatus {
    std::string limit;
    double rate = 0;
    double burst = 0;
    double share = 0;
    double fraction = 0;
    double level = 0;
    double demand = 0;
    std::size_t lent = 0;
    std::size_t borrowed = 0;
};

struct SlotStatus {
    EndpointId endpoint;
    int own = 0;
    int used = 0;
    int lent = 0;
    int borrowed = 0;
};

struct LimitSnapshot {
    std::uint64_t rosterEpoch = 0;
    std::uint64_t acknowledgedEpoch = 0;
    std::size_t members = 0;
    /// Fraction of each limit that this instance owns, without loans.
    double share = 0;
    std::vector<InstanceId> missingAcks;
    std::vector<LimitStatus> limits;
    std::vector<SlotStatus> slots;
};

} // namespace marigoldspool

#endif
