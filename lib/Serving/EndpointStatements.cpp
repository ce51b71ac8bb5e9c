#include "marigoldspool/Serving/EndpointStatements.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

std::string_view statementSourceName(StatementSource source)
{
    switch (source) {
    case StatementSource::Answer:
        return "answer";
    case StatementSource::Report:
        return "report";
    case StatementSource::Order:
        return "order";
    case StatementSource::Peer:
        return "peer";
    }
    return "unknown";
}

EndpointStatements::EndpointStatements(const Clock &clock)
    : m_clock(clock)
{ }

void EndpointStatements::onStatement(const EndpointIncarnation &from,
                                     const EndpointStatement &statement, StatementSource source,
                                     SteadyTime askedAt)
{
    const bool hasPause = statement.noRequestsFor && *statement.noRequestsFor > Duration::zero();
    if (statement.hasNoRateLimit) {
        onNoRateLimit(from, source, askedAt);
    }
    if (!statement.leaving && !hasPause && !statement.rateLimit) {
        return;
    }
    onListed(from);
    const auto [it, isNew] = m_records.try_emplace(from.endpoint);
    if (isNew) {
        it->second.lastListedAt = m_clock.now();
    }
    if (statement.leaving) {
        addLeaving(it->second, from, source);
    }
    if (hasPause) {
        addPause(it->second, from, std::min(*statement.noRequestsFor, MaxNoRequests), source);
    }
    if (statement.rateLimit) {
        addRateLimit(it->second, from, *statement.rateLimit, source, m_clock.now());
    }
}

void EndpointStatements::addLeaving(Record &record, const EndpointIncarnation &from,
                                    StatementSource source)
{
    if (!record.leaving) {
        record.leaving = Stated{from.startedAtMs, source};
        m_changes.push_back({StatementChangeKind::Leaving, from, source});
        return;
    }
    record.leaving->startedAtMs = std::max(record.leaving->startedAtMs, from.startedAtMs);
    if (source != StatementSource::Peer) {
        record.leaving->source = source;
    }
}

void EndpointStatements::addPause(Record &record, const EndpointIncarnation &from, Duration length,
                                  StatementSource source)
{
    const SteadyTime until = m_clock.now() + length;
    if (!record.pause) {
        record.pause = Stated{from.startedAtMs, source};
        record.noRequestsUntil = until;
    }
    record.pause->startedAtMs = std::max(record.pause->startedAtMs, from.startedAtMs);
    record.noRequestsUntil = std::max(record.noRequestsUntil, until);
    if (!std::exchange(record.isPaused, true)) {
        record.pause->source = source;
        m_changes.push_back({StatementChangeKind::NoRequests, from, source, length});
    }
}

void EndpointStatements::addRateLimit(Record &record, const EndpointIncarnation &from,
                                      double perSecond, StatementSource source, SteadyTime at)
{
    const bool isChanged = !record.rateLimit || record.rateLimit->perSecond != perSecond;
    if (!record.rateLimit) {
        record.rateLimit = RateLimit();
    }
    RateLimit &limit = *record.rateLimit;
    limit.stated = {std::max(limit.stated.startedAtMs, from.startedAtMs), source};
    limit.perSecond = perSecond;
    limit.confirmedAt = std::max(limit.confirmedAt, at);
    if (source != StatementSource::Peer) {
        limit.heardAt = at;
    }
    if (isChanged) {
        m_changes.push_back(
            {StatementChangeKind::RateLimited, from, source, Duration::zero(), perSecond});
    }
}

// Answers overtake each other. Only the answer to a request that was sent after the limit was last
// named was certainly written after it.
void EndpointStatements::onNoRateLimit(const EndpointIncarnation &from, StatementSource source,
                                       SteadyTime askedAt)
{
    const auto it = m_records.find(from.endpoint);
    if (it == m_records.end() || !it->second.rateLimit) {
        return;
    }
    const RateLimit &limit = *it->second.rateLimit;
    if (from.startedAtMs >= limit.stated.startedAtMs && askedAt > limit.confirmedAt) {
        endRateLimit(it->first, it->second, source, askedAt);
    }
}

// The times of a notice are later than the true ones by the time that the message took. A limit may
// thus be kept too long, until the next answer; one that has come back after its end is named again
// by the next answer.
void EndpointStatements::onRateLimitNotice(const RateLimitNotice &notice)
{
    const EndpointIncarnation &from = notice.incarnation;
    if (!notice.perSecond) {
        onNoRateLimit(from, StatementSource::Peer, notice.at);
        return;
    }
    onListed(from);
    const auto [it, isNew] = m_records.try_emplace(from.endpoint);
    Record &record = it->second;
    if (isNew) {
        record.lastListedAt = m_clock.now();
    }
    const bool isOlder = record.rateLimit
        ? notice.at <= record.rateLimit->confirmedAt
            || from.startedAtMs < record.rateLimit->stated.startedAtMs
        : record.rateLimitEnd && notice.at <= record.rateLimitEnd->askedAt;
    if (!isOlder) {
        addRateLimit(record, from, *notice.perSecond, StatementSource::Peer, notice.at);
    }
}

void EndpointStatements::endRateLimit(const EndpointId &id, Record &record, StatementSource source,
                                      SteadyTime askedAt)
{
    m_changes.push_back({StatementChangeKind::RateLimitEnded,
                         {id, record.rateLimit->stated.startedAtMs},
                         source,
                         Duration::zero(),
                         record.rateLimit->perSecond});
    record.rateLimitEnd =
        RateLimitEnd{{record.rateLimit->stated.startedAtMs, source}, askedAt, m_clock.now()};
    record.rateLimit.reset();
}

void EndpointStatements::onListed(const EndpointIncarnation &incarnation)
{
    const auto it = m_records.find(incarnation.endpoint);
    if (it == m_records.end()) {
        return;
    }
    Record &record = it->second;
    if (record.leaving && incarnation.startedAtMs > record.leaving->startedAtMs) {
        m_changes.push_back({StatementChangeKind::LeavingEnded,
                             {it->first, record.leaving->startedAtMs},
                             record.leaving->source});
        record.leaving.reset();
    }
    if (record.pause && incarnation.startedAtMs > record.pause->startedAtMs) {
        endPause(it->first, record);
        record.pause.reset();
    }
    if (record.rateLimit && incarnation.startedAtMs > record.rateLimit->stated.startedAtMs) {
        endRateLimit(it->first, record, record.rateLimit->stated.source,
                     record.rateLimit->confirmedAt);
        record.rateLimitEnd.reset();
    }
}

void EndpointStatements::onTick(const std::function<bool(const EndpointId &)> &isListed)
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_records.begin(); it != m_records.end();) {
        Record &record = it->second;
        if (record.pause && now >= record.noRequestsUntil) {
            endPause(it->first, record);
            if (now - record.noRequestsUntil >= ReturnTime) {
                record.pause.reset();
            }
        }
        if (record.rateLimit && now - record.rateLimit->confirmedAt >= RateLimitLifetime) {
            // What other instances know may be newer, so they are not told of it.
            endRateLimit(it->first, record, StatementSource::Peer, record.rateLimit->confirmedAt);
        }
        if (record.rateLimitEnd && now - record.rateLimitEnd->learntAt >= RateLimitNoticeTime) {
            record.rateLimitEnd.reset();
        }
        if (isListed(it->first)) {
            record.lastListedAt = now;
        }
        const bool isObsolete =
            !record.leaving && !record.pause && !record.rateLimit && !record.rateLimitEnd;
        const bool isForgotten = now - record.lastListedAt >= UnlistedRetention;
        it = isObsolete || isForgotten ? m_records.erase(it) : std::next(it);
    }
}

void EndpointStatements::endPause(const EndpointId &id, Record &record)
{
    if (std::exchange(record.isPaused, false)) {
        m_changes.push_back({StatementChangeKind::NoRequestsEnded,
                             {id, record.pause->startedAtMs},
                             record.pause->source});
    }
}

bool EndpointStatements::isLeaving(const EndpointId &id) const
{
    const auto it = m_records.find(id);
    return it != m_records.end() && it->second.leaving.has_value();
}

SteadyTime EndpointStatements::noRequestsUntil(const EndpointId &id) const
{
    const auto it = m_records.find(id);
    return it != m_records.end() && it->second.pause ? it->second.noRequestsUntil : SteadyTime();
}

double EndpointStatements::usableFraction(const EndpointId &id) const
{
    const auto it = m_records.find(id);
    if (it == m_records.end()) {
        return 1;
    }
    const Record &record = it->second;
    const auto fractionSince = [this](SteadyTime end) {
        return std::clamp(toSeconds(m_clock.now() - end) / toSeconds(ReturnTime), 0.0, 1.0);
    };
    return std::min(record.pause ? fractionSince(record.noRequestsUntil) : 1,
                    record.rateLimitEnd ? fractionSince(record.rateLimitEnd->learntAt) : 1);
}

std::optional<double> EndpointStatements::rateLimit(const EndpointId &id) const
{
    const auto it = m_records.find(id);
    return it != m_records.end() && it->second.rateLimit
        ? std::make_optional(it->second.rateLimit->perSecond)
        : std::nullopt;
}

std::vector<StatementChange> EndpointStatements::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<EndpointIncarnation> EndpointStatements::heardLeaving() const
{
    std::vector<EndpointIncarnation> result;
    for (const auto &[id, record] : m_records) {
        if (record.leaving && record.leaving->source != StatementSource::Peer) {
            result.push_back({id, record.leaving->startedAtMs});
        }
    }
    return result;
}

std::vector<RateLimitNotice> EndpointStatements::rateLimitNotices(bool fromPeers) const
{
    const SteadyTime now = m_clock.now();
    std::vector<RateLimitNotice> notices;
    for (const auto &[id, record] : m_records) {
        if (const auto &limit = record.rateLimit) {
            const std::optional<SteadyTime> at =
                fromPeers ? std::make_optional(limit->confirmedAt) : limit->heardAt;
            if (at && now - *at < RateLimitNoticeTime) {
                notices.push_back({{id, limit->stated.startedAtMs}, limit->perSecond, *at});
            }
        } else if (const auto &end = record.rateLimitEnd) {
            if (fromPeers || end->stated.source != StatementSource::Peer) {
                notices.push_back({{id, end->stated.startedAtMs}, std::nullopt, end->askedAt});
            }
        }
    }
    return notices;
}

std::size_t EndpointStatements::leavingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
            return entry.second.leaving.has_value();
        }));
}

std::size_t EndpointStatements::pausedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
            return entry.second.isPaused;
        }));
}

std::size_t EndpointStatements::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
            return entry.second.rateLimit.has_value();
        }));
}

} // namespace marigoldspool
