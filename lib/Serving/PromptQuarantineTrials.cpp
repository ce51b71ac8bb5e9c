// The part of PromptQuarantine that tells apart parts with the same crashes, and what it logs.
#include "marigoldspool/Serving/PromptQuarantine.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

// When callers whose requests have a part with rivals ask again: by then its trial may have ended.
constexpr Duration TrialRetryAfter = std::chrono::seconds(1);

} // namespace

QuarantineAdmission PromptQuarantine::admit(const PoolName &pool,
                                            gsl::span<const PromptPart> prompt,
                                            const RequestId &request)
{
    const std::vector<std::string> found = quarantinedParts(pool, prompt);
    if (found.empty()) {
        return {};
    }
    const Key key{pool, found.front()};
    if (found.size() > 1 || m_quarantined.at(key).rivals.empty()) {
        return {QuarantineAdmission::Refused, key.second, remaining(pool, key.second)};
    }
    switch (m_trials.onRequest(key, request)) {
    case QuarantineTrials::Step::Send:
        return {QuarantineAdmission::Trial, key.second, Duration::zero()};
    case QuarantineTrials::Step::Wait:
        return {QuarantineAdmission::Wait, key.second, TrialRetryAfter};
    case QuarantineTrials::Step::Refuse:
        break;
    }
    return {QuarantineAdmission::Refused, key.second, TrialRetryAfter};
}

// A request without the rivals has crashed its engine, unless one with a rival, sent before the
// quarantine, was in work beside it.
void PromptQuarantine::decideTrials()
{
    for (auto &[key, quarantine] : m_quarantined) {
        const std::optional<Crash> crash = std::exchange(quarantine.trialCrash, std::nullopt);
        if (!crash) {
            continue;
        }
        if (!isExplained(key, *crash)) {
            quarantine.rivals.clear();
            m_trials.end(key, "crashed");
        }
    }
}

bool PromptQuarantine::isExplained(const Key &key, const Crash &crash) const
{
    return std::any_of(m_quarantined.begin(), m_quarantined.end(), [&](const auto &other) {
        return other.first != key && other.first.first == key.first
            && hasCrash(other.second.crashes, crash.endpoint, crash.at);
    });
}

void PromptQuarantine::removeRival(const Key &key)
{
    for (auto &[other, quarantine] : m_quarantined) {
        if (other.first == key.first) {
            quarantine.rivals.erase(key.second);
        }
    }
}

void PromptQuarantine::imposeTogether(const std::vector<std::pair<Key, std::size_t>> &causes)
{
    for (const auto &[key, count] : causes) {
        std::set<std::string> rivals;
        for (const auto &[other, otherCount] : causes) {
            if (other != key) {
                rivals.insert(other.second);
            }
        }
        impose(key, count, std::move(rivals));
    }
}

std::size_t PromptQuarantine::crashCount(const Key &key) const
{
    const auto suspect = m_suspects.find(key);
    if (suspect != m_suspects.end()) {
        return separateCount(suspect->second);
    }
    const auto quarantine = m_quarantined.find(key);
    return quarantine == m_quarantined.end() ? 0 : separateCount(quarantine->second.crashes);
}

} // namespace marigoldspool
