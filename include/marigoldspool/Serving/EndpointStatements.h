#ifndef MARIGOLDSPOOL_SERVING_ENDPOINTSTATEMENTS_H
#define MARIGOLDSPOOL_SERVING_ENDPOINTSTATEMENTS_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// What an endpoint states about itself in an answer.
struct EndpointStatement {
    bool leaving = false;
    /// How long the endpoint wants no requests from this instance.
    std::optional<Duration> noRequestsFor = std::nullopt;
    /// Requests a second that the endpoint takes from all instances together.
    std::optional<double> rateLimit = std::nullopt;
    /// The endpoint limits its rate no longer.
    bool hasNoRateLimit = false;
};

/// How a statement has reached this instance.
enum class StatementSource {
    Answer,
    Report,
    Order,
    /// Another instance has received it.
    Peer,
};

std::string_view statementSourceName(StatementSource source);

/// One process of an endpoint.
struct EndpointIncarnation {
    EndpointId endpoint;
    /// Start of the process in Unix milliseconds.
    std::int64_t startedAtMs = 0;
};

enum class StatementChangeKind {
    Leaving,
    /// A later process has replaced the one that was leaving.
    LeavingEnded,
    NoRequests,
    NoRequestsEnded,
    /// The endpoint has named a limit of its rate, or another one.
    RateLimited,
    RateLimitEnded,
};

/// A change of what is known from an endpoint's statements.
struct StatementChange {
    StatementChangeKind kind = StatementChangeKind::Leaving;
    EndpointIncarnation incarnation;
    StatementSource source = StatementSource::Answer;
    /// For NoRequests: the stated time.
    Duration remaining = Duration::zero();
    /// For RateLimited and RateLimitEnded: the limit in requests a second.
    double rateLimit = 0;
};

/// A rate limit, or its end, as instances tell it to each other.
struct RateLimitNotice {
    EndpointIncarnation incarnation;
    /// Requests a second; nullopt: the endpoint names no limit any more.
    std::optional<double> perSecond;
    /// When the endpoint last named the limit; for its end, when the request was sent whose answer
    /// named none.
    SteadyTime at;
};

/// Records what endpoints have stated about themselves. A statement applies to the process that
/// made it, whatever the platform's list says of that process.
class EndpointStatements
{
public:
    /// Bounds the time for which an endpoint may ask for no requests.
    static constexpr Duration MaxNoRequests = std::chrono::seconds(300);
    /// After that time, the number of concurrent requests grows to the endpoint's limit within this
    /// time. An endpoint that is still overloaded refuses the first of them meanwhile.
    static constexpr Duration ReturnTime = std::chrono::seconds(1);
    /// How long statements are kept after the endpoint was removed from the list, to which an older
    /// entry may return after an outage of the store. A leaving endpoint ends long before.
    static constexpr Duration UnlistedRetention = std::chrono::minutes(10);
    /// Bounds the rate limits that endpoints may name, in requests a second.
    static constexpr double MaxRateLimit = 1e6;
    /// How long a rate limit is kept that no answer to any instance has confirmed. An endpoint that
    /// gets requests confirms or ends its limit with each answer.
    static constexpr Duration RateLimitLifetime = std::chrono::seconds(30);
    /// How long limits are told to other instances after an answer has named them, and the end of a
    /// limit after this instance has learnt it.
    static constexpr Duration RateLimitNoticeTime = std::chrono::seconds(3);

    explicit EndpointStatements(const Clock &clock);

    /// \p askedAt: when the call was sent that this is the answer to.
    void onStatement(const EndpointIncarnation &from, const EndpointStatement &statement,
                     StatementSource source, SteadyTime askedAt);
    /// What another instance knows of an endpoint's rate limit.
    void onRateLimitNotice(const RateLimitNotice &notice);
    /// The platform lists this process; it ends the statements of an earlier one.
    void onListed(const EndpointIncarnation &incarnation);
    void onTick(const std::function<bool(const EndpointId &)> &isListed);

    bool isLeaving(const EndpointId &id) const;
    /// When the endpoint wants requests again; in the past if it has not asked for a pause.
    SteadyTime noRequestsUntil(const EndpointId &id) const;
    /// Fraction of the endpoint's limit of concurrent requests that may be used; below 1 for a
    /// short time after a pause or the end of a rate limit.
    double usableFraction(const EndpointId &id) const;
    /// Requests a second that the endpoint takes from all instances together; nullopt if it has
    /// named no limit.
    std::optional<double> rateLimit(const EndpointId &id) const;

    /// Returns the changes since the last call.
    std::vector<StatementChange> takeChanges();
    /// Leaving endpoints, without those that are known from other instances only.
    std::vector<EndpointIncarnation> heardLeaving() const;
    /// The rate limits and ends of limits to tell other instances; with \p fromPeers also those
    /// that are known from other instances only.
    std::vector<RateLimitNotice> rateLimitNotices(bool fromPeers) const;
    std::size_t leavingCount() const;
    std::size_t pausedCount() const;
    std::size_t limitedCount() const;

private:
    /// A statement of one process.
    struct Stated {
        std::int64_t startedAtMs = 0;
        StatementSource source = StatementSource::Answer;
    };
    struct RateLimit {
        Stated stated;
        double perSecond = 0;
        /// When the endpoint last named it in an answer to any instance, and to this one.
        SteadyTime confirmedAt;
        std::optional<SteadyTime> heardAt;
    };
    struct RateLimitEnd {
        Stated stated;
        /// When the request was sent whose answer named no limit.
        SteadyTime askedAt;
        SteadyTime learntAt;
    };
    struct Record {
        std::optional<Stated> leaving;
        std::optional<Stated> pause;
        /// With \c pause: its end.
        SteadyTime noRequestsUntil;
        /// The end of the pause has not been reported.
        bool isPaused = false;
        std::optional<RateLimit> rateLimit;
        std::optional<RateLimitEnd> rateLimitEnd;
        SteadyTime lastListedAt;
    };

    void addLeaving(Record &record, const EndpointIncarnation &from, StatementSource source);
    void addPause(Record &record, const EndpointIncarnation &from, Duration length,
                  StatementSource source);
    void endPause(const EndpointId &id, Record &record);
    void addRateLimit(Record &record, const EndpointIncarnation &from, double perSecond,
                      StatementSource source, SteadyTime at);
    void onNoRateLimit(const EndpointIncarnation &from, StatementSource source, SteadyTime askedAt);
    void endRateLimit(const EndpointId &id, Record &record, StatementSource source,
                      SteadyTime askedAt);

    const Clock &m_clock;
    std::map<EndpointId, Record> m_records;
    std::vector<StatementChange> m_changes;
};

} // namespace marigoldspool

#endif
