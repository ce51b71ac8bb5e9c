#include "marigoldspool/Serving/PromptQuarantine.h"

#include "marigoldspool/Serving/RequestFingerprint.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// One crash may have any cause, and two may hit the requests of one session by chance.
constexpr std::size_t CrashesToQuarantine = 3;
// The repeats of one request crash several engines and so raise suspicion against all of its parts.
// The cause is the part that the next requests have in common. Parts that still cannot be told
// apart after this many crashes are all put under quarantine, since by then a part that crashes
// engines must be refused.
constexpr std::size_t CrashesToQuarantineAll = 5;
// A part that crashes engines is never served whole, so a part that was served this recently is not
// the cause of a crash. Parts that are asked for less often are cleared when they are served. A
// longer time would delay the recognition of a part that begins to crash engines.
constexpr Duration ClearanceTime = seconds(30);
// Instances notice one crash at different times, and an engine takes seconds to start again.
constexpr Duration SameCrashTime = seconds(1);
// Engines that crash together have a common cause outside of the requests, unless one request was
// sent to them in turn.
constexpr Duration SimultaneousTime = milliseconds(100);
// Reports of one crash, and what other instances know of the parts in it, have arrived after this
// time, also in a fleet that exchanges them through a hub. All requests of an engine are lost with
// it, and the report with the cause may be the last.
constexpr Duration SettleTime = milliseconds(300);
constexpr Duration EvidenceLifetime = minutes(2);
// A part that is under quarantine by mistake is served again after this time. The time doubles with
// each repetition, so that a part that does crash engines crashes few of them.
constexpr Duration FirstQuarantine = minutes(10);
constexpr Duration MaxQuarantine = minutes(60);
// Further repetitions do not prolong the quarantine.
constexpr int MaxRepetitions = 6;
// How long the end of a quarantine is remembered.
constexpr Duration RepetitionMemory = minutes(60);
constexpr Duration CleanUpInterval = seconds(1);
// Bounds on memory and messages. A part costs some 200 bytes.
constexpr std::size_t MaxServedParts = 16'384;
constexpr std::ptrdiff_t MaxPartsOfPrompt = 32;
constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxKnownReports = 4096;
constexpr std::size_t MaxQuarantinedParts = 256;
constexpr std::size_t MaxUnsentCrashes = 64;
constexpr std::size_t MaxUnsentServed = 256;
constexpr std::size_t MaxCrashesOfPart = 64;
constexpr std::size_t MaxEndedQuarantines = 1024;

// The last part of a prompt belongs to one request or session.
gsl::span<const PromptPart> sharedParts(gsl::span<const PromptPart> prompt)
{
    const auto count = static_cast<std::ptrdiff_t>(prompt.size()) - 1;
    return prompt.first(std::clamp<std::ptrdiff_t>(count, 0, MaxPartsOfPrompt));
}

template <class Key>
void eraseOldest(std::map<Key, SteadyTime> &times)
{
    times.erase(std::min_element(times.begin(), times.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    }));
}

template <class Key>
void eraseUntil(std::map<Key, SteadyTime> &times, SteadyTime end)
{
    for (auto it = times.begin(); it != times.end();) {
        it = it->second <= end ? times.erase(it) : std::next(it);
    }
}

std::vector<std::string> listOf(const std::set<std::string> &parts)
{
    return {parts.begin(), parts.end()};
}

void keepOnly(std::set<std::string> &parts, const std::set<std::string> &others)
{
    for (auto it = parts.begin(); it != parts.end();) {
        it = others.count(*it) > 0 ? std::next(it) : parts.erase(it);
    }
}

// A time in a message, within the range that a peer can have.
Duration reportedTime(std::int64_t ms)
{
    return milliseconds(std::clamp<std::int64_t>(ms, 0, toMilliseconds(MaxQuarantine)));
}

Duration quarantineTime(int repetitions)
{
    Duration time = FirstQuarantine;
    for (int i = 1; i < std::min(repetitions, MaxRepetitions); ++i) {
        time *= 2;
    }
    return std::min(time, MaxQuarantine);
}

} // namespace

PromptQuarantine::PromptQuarantine(const Clock &clock, RandomSource &random)
    : m_clock(clock)
    , m_random(random)
    , m_trials(clock, random)
{ }

bool PromptQuarantine::isServedLately(const Key &key) const
{
    const auto it = m_served.find(key);
    return it != m_served.end() && m_clock.now() - it->second < ClearanceTime;
}

bool PromptQuarantine::isSuspected(const Key &key) const
{
    return m_suspects.count(key) > 0 || m_quarantined.count(key) > 0 || m_ended.count(key) > 0;
}

// A report may come back on another way, and in a large fleet two instances may pass on reports
// while the hub changes. The endpoint's id does not name a crash: a process that starts again under
// its id may crash again, also on the same request, and its start may be listed late.
bool PromptQuarantine::isNewReport(const EngineCrash &crash)
{
    if (m_knownReports.size() >= MaxKnownReports) {
        eraseOldest(m_knownReports);
    }
    const ReportKey key = crash.report != 0 ? ReportKey(crash.report, {}, {})
                                            : ReportKey(0, crash.endpoint, crash.ownPart);
    return m_knownReports.emplace(key, m_clock.now()).second;
}

void PromptQuarantine::onAnswerServed(const PoolName &pool, gsl::span<const PromptPart> prompt)
{
    const SteadyTime now = m_clock.now();
    for (const PromptPart &part : sharedParts(prompt)) {
        const Key key{pool, part.id};
        if (isSuspected(key)) {
            reportServed(key);
        }
        markServed(key, now);
    }
}

void PromptQuarantine::markServed(const Key &key, SteadyTime at)
{
    if (m_served.size() < MaxServedParts || m_served.count(key) > 0) {
        m_served[key] = at;
    }
    m_suspects.erase(key);
    m_ended.erase(key);
    release(key);
}

void PromptQuarantine::reportServed(const Key &key)
{
    const bool isReported =
        std::any_of(m_unsent.served.begin(), m_unsent.served.end(), [&](const PromptPartRef &it) {
            return it.pool == key.first.str() && it.part == key.second;
        });
    if (!isReported && m_unsent.served.size() < MaxUnsentServed) {
        m_unsent.served.push_back({key.first.str(), key.second});
    }
}

void PromptQuarantine::release(const Key &key)
{
    m_trials.end(key, "served");
    if (m_quarantined.erase(key) > 0) {
        removeRival(key);
        if (m_released.size() >= MaxQuarantinedParts) {
            eraseOldest(m_released);
        }
        m_released[key] = m_clock.now();
        m_changes.push_back({key.first, key.second, false, 0, Duration::zero()});
    }
}

void CrashSuspects::merge(const CrashSuspects &other)
{
    for (const auto &[part, crashes] : other.suspected) {
        std::size_t &count = suspected[part];
        count = std::max(count, crashes);
    }
    served.insert(other.served.begin(), other.served.end());
    maxServedAge = std::max(maxServedAge, other.maxServedAge);
}

CrashSuspects PromptQuarantine::onCrash(const EndpointId &endpoint, const PoolName &pool,
                                        gsl::span<const PromptPart> prompt,
                                        const RequestId &request)
{
    CrashSuspects suspects;
    EngineCrash crash{
        endpoint,        pool.str(), {}, prompt.empty() ? "" : prompt[prompt.size() - 1].id,
        m_random.next(), request};
    for (const PromptPart &part : sharedParts(prompt)) {
        const Key key{pool, part.id};
        if (isServedLately(key)) {
            suspects.served.insert(part.id);
            suspects.maxServedAge =
                std::max(suspects.maxServedAge, m_clock.now() - m_served.at(key));
        } else {
            crash.parts.push_back(part.id);
        }
    }
    isNewReport(crash);
    addCrash(crash);
    for (const std::string &part : crash.parts) {
        suspects.suspected[part] = crashCount({pool, part});
    }
    if (!crash.parts.empty() && m_unsent.crashes.size() < MaxUnsentCrashes) {
        m_unsent.crashes.push_back(std::move(crash));
    }
    return suspects;
}

void PromptQuarantine::addCrash(const EngineCrash &crash)
{
    std::vector<Key> suspects;
    bool isCauseKnown = false;
    for (const std::string &part : crash.parts) {
        const Key key{PoolName(crash.pool), part};
        if (!isQuarantined(key)) {
            suspects.push_back(key);
            continue;
        }
        // Requests that were sent before the quarantine still crash engines.
        isCauseKnown = true;
        Quarantine &quarantine = m_quarantined[key];
        recordCrash(quarantine.crashes, crash);
        if (m_trials.isTrial(key, crash.request) && !quarantine.rivals.empty()) {
            quarantine.trialCrash =
                Crash{crash.endpoint, m_clock.now(), crash.ownPart, crash.request};
        }
    }
    if (isCauseKnown) {
        m_decideAt = m_decideAt.value_or(m_clock.now() + SettleTime);
        return;
    }
    std::vector<std::pair<Key, std::size_t>> repeated;
    for (const Key &key : suspects) {
        addSuspicion(crash, key);
        if (m_ended.count(key) > 0) {
            repeated.emplace_back(key, separateCount(unexplainedCrashes(key)));
        }
    }
    imposeTogether(repeated);
    if (!suspects.empty() && !m_decideAt) {
        m_decideAt = m_clock.now() + SettleTime;
    }
}

// The part with the most crashes explains those of the parts that were in work beside it, so it
// comes first. Parts with the same crashes cannot be told apart.
void PromptQuarantine::decide()
{
    m_decideAt.reset();
    decideTrials();
    while (const std::optional<Key> cause = findCause()) {
        const std::vector<Crash> crashes = unexplainedCrashes(*cause);
        // Counted first, because the first part under quarantine explains the others' crashes.
        std::vector<std::pair<Key, std::size_t>> causes;
        for (const auto &[key, own] : m_suspects) {
            if (key.first == cause->first && own.size() == m_suspects.at(*cause).size()
                && hasAll(own, crashes) && isCause(key)) {
                causes.emplace_back(key, separateCount(unexplainedCrashes(key)));
            }
        }
        imposeTogether(causes);
        if (m_quarantined.size() >= MaxQuarantinedParts) {
            return;
        }
    }
}

std::optional<PromptQuarantine::Key> PromptQuarantine::findCause() const
{
    std::optional<Key> cause;
    std::size_t most = 0;
    for (const auto &[key, crashes] : m_suspects) {
        if (crashes.size() > most && isCause(key)) {
            cause = key;
            most = crashes.size();
        }
    }
    return cause;
}

bool PromptQuarantine::isCause(const Key &key) const
{
    const std::vector<Crash> crashes = unexplainedCrashes(key);
    const std::size_t count = separateCount(crashes);
    if (count >= CrashesToQuarantineAll) {
        return true;
    }
    return count >= CrashesToQuarantine && hasSeveralRequests(key, crashes)
        && !hasRival(key, crashes);
}

std::size_t PromptQuarantine::separateCount(const std::vector<Crash> &crashes)
{
    return std::count_if(crashes.begin(), crashes.end(), [](const Crash &it) {
        return it.isSeparate;
    });
}

bool PromptQuarantine::isQuarantined(const Key &key)
{
    const auto it = m_quarantined.find(key);
    if (it != m_quarantined.end() && m_clock.now() >= it->second.until) {
        end(it);
        return false;
    }
    return it != m_quarantined.end();
}

bool PromptQuarantine::hasCrash(const std::vector<Crash> &crashes, const EndpointId &endpoint,
                                SteadyTime at)
{
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash &it) {
        return it.endpoint == endpoint && std::chrono::abs(it.at - at) < SameCrashTime;
    });
}

std::vector<PromptQuarantine::Crash> PromptQuarantine::unexplainedCrashes(const Key &key) const
{
    const auto suspect = m_suspects.find(key);
    if (suspect == m_suspects.end()) {
        return {};
    }
    std::vector<Crash> crashes = suspect->second;
    for (const auto &[otherKey, quarantine] : m_quarantined) {
        // The cause is in all of the crashes, so it does not explain those of a part with more.
        if (otherKey.first == key.first && quarantine.crashes.size() >= suspect->second.size()) {
            crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                         [&known = quarantine.crashes](const Crash &it) {
                                             return hasCrash(known, it.endpoint, it.at);
                                         }),
                          crashes.end());
        }
    }
    return crashes;
}

// The attempts of one sound request may meet several engines that crash in turn. A request that
// comes again has the same last part, but an id of its own.
bool PromptQuarantine::hasSeveralRequests(const Key &key, const std::vector<Crash> &crashes)
{
    const bool isWholeRequest = isRequestFingerprint(key.second);
    // Instances of older versions do not name the request.
    const auto requestOf = [isWholeRequest](const Crash &it) {
        return isWholeRequest && !it.request.empty() ? it.request.str() : it.ownPart;
    };
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash &it) {
        return requestOf(it) != requestOf(crashes.front());
    });
}

bool PromptQuarantine::hasRival(const Key &key, const std::vector<Crash> &crashes) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto &other) {
        return other.first != key && other.first.first == key.first
            && hasAll(other.second, crashes);
    });
}

bool PromptQuarantine::hasAll(const std::vector<Crash> &crashes, const std::vector<Crash> &others)
{
    return std::all_of(others.begin(), others.end(), [&crashes](const Crash &it) {
        return hasCrash(crashes, it.endpoint, it.at);
    });
}

void PromptQuarantine::addSuspicion(const EngineCrash &crash, const Key &key)
{
    if (m_suspects.size() >= MaxSuspects && m_suspects.count(key) == 0) {
        const auto oldest = std::min_element(
            m_suspects.begin(), m_suspects.end(), [](const auto &a, const auto &b) {
                return std::make_pair(a.second.size(), a.second.back().at)
                    < std::make_pair(b.second.size(), b.second.back().at);
            });
        m_suspects.erase(oldest);
    }
    recordCrash(m_suspects[key], crash);
}

void PromptQuarantine::recordCrash(std::vector<Crash> &crashes, const EngineCrash &crash) const
{
    const SteadyTime now = m_clock.now();
    if (hasCrash(crashes, crash.endpoint, now)) {
        return;
    }
    const bool isSeparate = std::none_of(crashes.begin(), crashes.end(), [&](const Crash &it) {
        const bool isSameRequest = !crash.ownPart.empty() && it.ownPart == crash.ownPart;
        return it.isSeparate && !isSameRequest && now - it.at < SimultaneousTime;
    });
    if (crashes.size() >= MaxCrashesOfPart) {
        crashes.erase(crashes.begin());
    }
    crashes.push_back({crash.endpoint, now, crash.ownPart, crash.request, isSeparate});
}

void PromptQuarantine::impose(const Key &key, std::size_t crashes, std::set<std::string> rivals)
{
    if (m_quarantined.size() >= MaxQuarantinedParts) {
        return;
    }
    const auto before = m_ended.find(key);
    const int repetitions = before == m_ended.end() ? 1 : before->second.repetitions + 1;
    const SteadyTime now = m_clock.now();
    const Duration time = quarantineTime(repetitions);
    m_quarantined[key] = {
        now, now + time, repetitions, std::move(m_suspects[key]), std::move(rivals), std::nullopt};
    m_suspects.erase(key);
    m_ended.erase(key);
    // Peers that count fewer crashes, because the reports reach them together, follow.
    if (m_unsent.quarantined.size() < MaxQuarantinedParts) {
        m_unsent.quarantined.push_back({key.first.str(), key.second, 0, toMilliseconds(time),
                                        static_cast<std::uint64_t>(repetitions),
                                        listOf(m_quarantined[key].rivals)});
    }
    m_changes.push_back({key.first, key.second, true, crashes, time});
}

std::map<PromptQuarantine::Key, PromptQuarantine::Quarantine>::iterator
PromptQuarantine::end(std::map<Key, Quarantine>::iterator it)
{
    m_changes.push_back({it->first.first, it->first.second, false, 0, Duration::zero()});
    m_trials.end(it->first, "no_outcome");
    if (m_ended.size() < MaxEndedQuarantines || m_ended.count(it->first) > 0) {
        m_ended[it->first] = it->second;
    }
    return m_quarantined.erase(it);
}

std::vector<std::string>
PromptQuarantine::quarantinedParts(const PoolName &pool, gsl::span<const PromptPart> prompt) const
{
    std::vector<std::string> found;
    for (const PromptPart &part : sharedParts(prompt)) {
        if (remaining(pool, part.id) > Duration::zero()) {
            found.push_back(part.id);
        }
    }
    return found;
}

std::optional<std::string>
PromptQuarantine::findQuarantined(const PoolName &pool, gsl::span<const PromptPart> prompt) const
{
    if (m_quarantined.empty()) {
        return std::nullopt;
    }
    const std::vector<std::string> found = quarantinedParts(pool, prompt);
    return found.empty() ? std::nullopt : std::make_optional(found.front());
}

Duration PromptQuarantine::remaining(const PoolName &pool, const std::string &part) const
{
    const auto it = m_quarantined.find({pool, part});
    return it == m_quarantined.end() ? Duration::zero()
                                     : std::max(it->second.until - m_clock.now(), Duration::zero());
}

void PromptQuarantine::onEvidence(const PromptEvidence &evidence, bool relay)
{
    const SteadyTime now = m_clock.now();
    for (const EngineCrash &crash : evidence.crashes) {
        if (!isNewReport(crash)) {
            continue;
        }
        EngineCrash unexplained = crash;
        unexplained.parts.clear();
        for (const std::string &part : crash.parts) {
            if (isServedLately({PoolName(crash.pool), part})) {
                reportServed({PoolName(crash.pool), part});
            } else {
                unexplained.parts.push_back(part);
            }
        }
        addCrash(unexplained);
        if (relay && m_unsent.crashes.size() < MaxUnsentCrashes) {
            m_unsent.crashes.push_back(crash);
        }
    }
    for (const PromptPartRef &it : evidence.served) {
        const Key key{PoolName(it.pool), it.part};
        const bool isNew = isSuspected(key);
        markServed(key, now);
        if (relay && isNew) {
            reportServed(key);
        }
    }
    for (const QuarantinedPart &it : evidence.quarantined) {
        const Key key{PoolName(it.pool), it.part};
        const SteadyTime since = now - reportedTime(it.sinceMs);
        const auto released = m_released.find(key);
        if (isServedLately(key) || (released != m_released.end() && released->second > since)) {
            reportServed(key);
            continue;
        }
        const Duration left = reportedTime(it.remainingMs);
        const std::set<std::string> rivals(it.rivals.begin(), it.rivals.end());
        const auto known = m_quarantined.find(key);
        if (known != m_quarantined.end()) {
            keepOnly(known->second.rivals, rivals);
        }
        if (known != m_quarantined.end() || left <= Duration::zero()
            || m_quarantined.size() >= MaxQuarantinedParts) {
            continue;
        }
        m_quarantined[key] = {
            since,
            now + left,
            static_cast<int>(std::clamp<std::uint64_t>(it.repetitions, 1, MaxRepetitions)),
            std::move(m_suspects[key]),
            rivals,
            std::nullopt};
        m_suspects.erase(key);
        if (relay && m_unsent.quarantined.size() < MaxQuarantinedParts) {
            m_unsent.quarantined.push_back(it);
        }
        m_changes.push_back({key.first, key.second, true, 0, left});
    }
    for (const PromptTrial &it : evidence.trials) {
        if (m_quarantined.count({PoolName(it.pool), it.part}) > 0) {
            m_trials.onNotice(it, relay);
        }
    }
}

PromptEvidence PromptQuarantine::takeEvidence()
{
    m_unsent.trials = m_trials.takeNotices();
    return std::exchange(m_unsent, {});
}

PromptEvidence PromptQuarantine::allQuarantined() const
{
    const SteadyTime now = m_clock.now();
    PromptEvidence evidence;
    for (const auto &[key, quarantine] : m_quarantined) {
        evidence.quarantined.push_back(
            {key.first.str(), key.second, toMilliseconds(now - quarantine.since),
             toMilliseconds(quarantine.until - now),
             static_cast<std::uint64_t>(quarantine.repetitions), listOf(quarantine.rivals)});
    }
    return evidence;
}

std::vector<QuarantineChange> PromptQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

void PromptQuarantine::onTick()
{
    const SteadyTime now = m_clock.now();
    m_trials.onTick();
    if (m_decideAt && now >= *m_decideAt) {
        decide();
    }
    if (now < m_nextCleanUp) {
        return;
    }
    m_nextCleanUp = now + CleanUpInterval;
    eraseUntil(m_served, now - ClearanceTime);
    eraseUntil(m_knownReports, now - EvidenceLifetime);
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        std::vector<Crash> &crashes = it->second;
        crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                     [now](const Crash &crash) {
                                         return now - crash.at >= EvidenceLifetime;
                                     }),
                      crashes.end());
        it = crashes.empty() ? m_suspects.erase(it) : std::next(it);
    }
    for (auto it = m_quarantined.begin(); it != m_quarantined.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        it = end(it);
    }
    eraseUntil(m_released, now - MaxQuarantine);
    for (auto it = m_ended.begin(); it != m_ended.end();) {
        it = now - it->second.until >= RepetitionMemory ? m_ended.erase(it) : std::next(it);
    }
}

} // namespace marigoldspool
