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

/// The zone whose members divide an endpoint's slots.
struct SlotRule {
    EndpointId endpoint;
    ZoneName zone;
};

/// What the limits need of a configuration.
struct LimitRules {
    std::vector<LimitRule> limits;
    std::vector<ZoneWeight> zones;
    std::vector<SlotRule> slots;
};

struct LimitOptions {
    /// Term of a loan of a fraction, and the longest of all terms.
    Duration loanTerm = std::chrono::seconds(5);
    /// Term of a loan of tokens alone. They are meant for requests that wait now, and the lender
    /// misses their burst capacity until the term ends.
    Duration tokenTerm = std::chrono::milliseconds(100);
    /// Term of a loan of tokens that is large beside the lender's capacity. A request that needs
    /// several such loans is often tried again; with the shorter term each try lost what the
    /// earlier one had gathered, and a request of three quarters of the burst was never admitted.
    Duration largeTokenTerm = std::chrono::milliseconds(500);
    /// Term of a loan of a slot. A borrowed slot serves only requests whose deadline is within it.
    /// Must be below reclaimDelay, after which a dead member's slots are given to others.
    Duration slotTerm = std::chrono::seconds(50);
    /// How far the rate of an instance's clock may be off, as a part of the true rate. Tokens are
    /// accrued more slowly and loans reserved longer by as much.
    double clockError = 0.01;
    /// How long a request waits for a loan.
    Duration loanWait = std::chrono::milliseconds(50);
    /// How long an unanswered loan request counts as under way.
    Duration answerTimeout = std::chrono::milliseconds(100);
    /// How long a dead member stays in the roster after the platform's list has lost it.
    Duration reclaimDelay = std::chrono::seconds(60);
    /// How often the roster is read again without a cause.
    Duration rosterRefresh = std::chrono::seconds(15);
    /// How long a larger part of the zone, after a change of weights, waits until the other zones
    /// have the same configuration.
    Duration weightDelay = std::chrono::seconds(20);
    /// Loan requests to one peer per second, over all limits.
    double requestsPerPeer = 100;
    /// Loan requests of one limit under way at a time.
    std::size_t parallelRequests = 8;
};

struct LimitDecision {
    enum class Outcome {
        Admitted,
        /// Ask again when a grant has arrived, at most for LimitOptions::loanWait.
        WaitForLoan,
        Refused,
    };

    Outcome outcome = Outcome::Refused;
    RefusalReason reason = RefusalReason::RateExceeded;
    /// For WaitForLoan and Refused; zero when waiting cannot help.
    Duration retryAfter = Duration::zero();
};

/// Whether a request is asked about for the first time or again after WaitForLoan, so that it is
/// not counted twice in the demand.
enum class AdmitAttempt {
    First,
    Again,
};

/// A conditional write for the object store.
struct StoreWrite {
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    WriteId writeId;
};

/// What the daemon carries out for the limits.
struct LimitActions {
    std::vector<AddressedMessage> send;
    std::vector<StoreWrite> writes;
    /// Keys to read; the answer goes to LimitService::onRoster().
    std::vector<std::string> reads;
};

/// One limit at one instance, for status pages.
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
    /// Part of the whole that this instance may always use.
    double share = 0;
    std::vector<InstanceId> missingAcks;
    std::vector<LimitStatus> limits;
    std::vector<SlotStatus> slots;
};

} // namespace marigoldspool

#endif
