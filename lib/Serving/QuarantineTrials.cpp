#include "marigoldspool/Serving/QuarantineTrials.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Claims of all instances have arrived after this time, also through a hub.
constexpr Duration ClaimSettleTime = milliseconds(300);
// A claim whose request is not sent within this time, since it waits for an engine or its instance
// is cut off, makes room for another one.
constexpr Duration ClaimLifetime = seconds(2);
// Longer than an answer has to go on to show that its engine survives it.
constexpr Duration TrialLifetime = seconds(12);
// A crash is found out, and its reports arrive, within this time after the request has ended.
constexpr Duration OutcomeTime = milliseconds(1500);
// The trials of both sides of a cut, and one without an outcome, stay within the users' bound of
// three requests with a part that crashes engines.
constexpr int MaxTrials = 2;
// Other requests with the part wait this long for the outcome.
constexpr Duration MaxWait = seconds(2);

} // namespace

QuarantineTrials::QuarantineTrials(const Clock &clock, RandomSource &random)
    : m_clock(clock)
    , m_random(random)
{ }

bool QuarantineTrials::isLapsed(const Trial &trial) const
{
    const SteadyTime now = m_clock.now();
    if (trial.outcomeBy) {
        return now >= *trial.outcomeBy;
    }
    return trial.sentAt ? now - *trial.sentAt >= TrialLifetime
                        : now - trial.claimedAt >= ClaimLifetime;
}

QuarantineTrials::Step QuarantineTrials::onRequest(const Key &key, const RequestId &request)
{
    const SteadyTime now = m_clock.now();
    Record &record = m_records[key];
    if (record.trial && isLapsed(*record.trial)) {
        withdraw(key, record, "no_outcome");
    }
    if (!record.trial && record.sentCount >= MaxTrials) {
        return Step::Refuse;
    }
    if (!record.trial) {
        record.trial = Trial{m_random.next(), request, true, now, {}, {}};
        notify(key, *record.trial, false);
        addChange(key, *record.trial, "claimed");
        return Step::Wait;
    }
    const Trial &trial = *record.trial;
    if (!trial.isOwn || trial.request != request) {
        return now - trial.claimedAt < MaxWait ? Step::Wait : Step::Refuse;
    }
    if (trial.sentAt) {
        // Another attempt would crash another engine.
        return Step::Refuse;
    }
    return now - trial.claimedAt < ClaimSettleTime ? Step::Wait : Step::Send;
}

std::pair<const QuarantineTrials::Key, QuarantineTrials::Record> *
QuarantineTrials::findOwn(const RequestId &request)
{
    const auto it = std::find_if(m_records.begin(), m_records.end(), [&request](const auto &entry) {
        const std::optional<Trial> &trial = entry.second.trial;
        return trial && trial->isOwn && trial->request == request;
    });
    return it == m_records.end() ? nullptr : &*it;
}

void QuarantineTrials::onSent(const RequestId &request)
{
    auto *const found = findOwn(request);
    if (found == nullptr || found->second.trial->sentAt) {
        return;
    }
    Trial &trial = *found->second.trial;
    trial.sentAt = m_clock.now();
    ++found->second.sentCount;
    notify(found->first, trial, false);
    addChange(found->first, trial, "sent");
}

void QuarantineTrials::onNotRun(const RequestId &request)
{
    auto *const found = findOwn(request);
    if (found != nullptr && found->second.trial->sentAt) {
        found->second.trial->sentAt.reset();
        --found->second.sentCount;
    }
}

void QuarantineTrials::onEnded(const RequestId &request)
{
    auto *const found = findOwn(request);
    if (found == nullptr) {
        return;
    }
    if (found->second.trial->sentAt) {
        found->second.trial->outcomeBy = m_clock.now() + OutcomeTime;
    } else {
        withdraw(found->first, found->second, "not_sent");
    }
}

void QuarantineTrials::onNotice(const PromptTrial &notice, bool relay)
{
    const SteadyTime now = m_clock.now();
    const Key key{PoolName(notice.pool), notice.part};
    Record &record = m_records[key];
    if (record.trial && isLapsed(*record.trial)) {
        record.trial.reset();
    }
    const bool isKnown = record.trial && record.trial->claim == notice.claim;
    bool isNew = false;
    if (notice.ended) {
        isNew = isKnown && !record.trial->isOwn;
        if (isNew) {
            record.trial.reset();
        }
    } else if (!isKnown) {
        // Of claims made at the same time the lowest holds, unless a request has been sent.
        const bool isLower = !record.trial
            || (!record.trial->sentAt && (notice.sent || notice.claim < record.trial->claim));
        if (isLower) {
            record.trial = Trial{notice.claim, notice.request, false, now, {}, {}};
            isNew = true;
        }
    }
    if (notice.sent && !notice.ended && record.trial && record.trial->claim == notice.claim
        && !record.trial->sentAt) {
        record.trial->sentAt = now;
        ++record.sentCount;
        isNew = true;
    }
    if (relay && isNew) {
        m_notices.push_back(notice);
    }
}

bool QuarantineTrials::isTrial(const Key &key, const RequestId &request) const
{
    const auto it = m_records.find(key);
    return it != m_records.end() && it->second.trial && it->second.trial->request == request;
}

void QuarantineTrials::end(const Key &key, std::string_view outcome)
{
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        return;
    }
    if (it->second.trial) {
        addChange(key, *it->second.trial, outcome);
    }
    m_records.erase(it);
}

void QuarantineTrials::onTick()
{
    for (auto &[key, record] : m_records) {
        if (record.trial && isLapsed(*record.trial)) {
            withdraw(key, record, "no_outcome");
        }
    }
}

void QuarantineTrials::notify(const Key &key, const Trial &trial, bool hasEnded)
{
    m_notices.push_back({key.first.str(), key.second, trial.claim, trial.request,
                         trial.sentAt.has_value(), hasEnded});
}

void QuarantineTrials::withdraw(const Key &key, Record &record, std::string_view outcome)
{
    if (record.trial->isOwn) {
        notify(key, *record.trial, true);
        addChange(key, *record.trial, outcome);
    }
    record.trial.reset();
}

void QuarantineTrials::addChange(const Key &key, const Trial &trial, std::string_view outcome)
{
    m_changes.push_back({key.first, key.second, trial.request, outcome});
}

std::vector<PromptTrial> QuarantineTrials::takeNotices()
{
    return std::exchange(m_notices, {});
}

std::vector<TrialChange> QuarantineTrials::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace marigoldspool
