#include "marigoldspool/Config/ConfigReplica.h"

#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"

#include <algorithm>

namespace marigoldspool {

namespace {

constexpr std::string_view OfferCounter = "marigoldspool_config_offers_total";
constexpr std::string_view VersionGauge = "marigoldspool_config_version";

} // namespace

ConfigReplica::ConfigReplica(const Clock &clock, Metrics &metrics)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_current(std::make_shared<const Configuration>(RuleSet()))
{
    for (const char *result : {"taken", "repeated", "older", "differs", "invalid"}) {
        m_metrics.add(OfferCounter, 0, {{"result", result}});
    }
}

Expected<void> ConfigReplica::offer(std::uint64_t version, std::string_view rules)
{
    if (version < m_version) {
        // Stale reads and restarted peers are expected, so this is counted but not logged.
        m_metrics.add(OfferCounter, 1, {{"result", "older"}});
        return unexpectedError(ErrorKind::Conflict,
                               "version " + std::to_string(version) + " is older than version "
                                   + std::to_string(m_version) + " in force",
                               "read the configuration again");
    }
    if (version == 0) {
        return reject(ErrorKind::InvalidArgument, "invalid", version,
                      "version 0 means that there is no configuration", "offer a version from 1");
    }
    if (version == m_version) {
        if (rules == m_rules) {
            m_metrics.add(OfferCounter, 1, {{"result", "repeated"}});
            return {};
        }
        return reject(ErrorKind::Conflict, "differs", version,
                      "version " + std::to_string(version)
                          + " was offered with other rules than those in force",
                      "compare the instances with marigoldspoolctl status and publish again");
    }
    const ParseResult result = parseRules("version " + std::to_string(version), rules);
    if (!result.configuration) {
        const auto it = std::find_if(result.problems.begin(), result.problems.end(),
                                     [](const RuleProblem &problem) {
                                         return problem.severity == Severity::Error;
                                     });
        return reject(ErrorKind::InvalidRule, "invalid", version, formatProblem(*it),
                      "check the file with marigoldspoolctl check and publish it again");
    }
    const std::uint64_t previous = m_version;
    m_version = version;
    m_rules = rules;
    m_current = result.configuration;
    checkInvariant(m_version > previous, "config_version_increases",
                   std::to_string(previous) + " to " + std::to_string(version));
    m_metrics.add(OfferCounter, 1, {{"result", "taken"}});
    m_metrics.set(VersionGauge, static_cast<double>(version));
    logEvent(LogLevel::Info, "config_taken",
             {{"version", std::to_string(version)}, {"previous", std::to_string(previous)}});
    return {};
}

void ConfigReplica::confirmCurrent(std::uint64_t version, SteadyTime at)
{
    if (version != m_version || version == 0) {
        return;
    }
    at = std::min(at, m_clock.now());
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
}

Duration ConfigReplica::timeSinceConfirmation() const
{
    return m_confirmedAt ? m_clock.now() - *m_confirmedAt : Duration::max();
}

std::int64_t ConfigReplica::confirmedAgeMs() const
{
    return m_confirmedAt ? toMilliseconds(timeSinceConfirmation()) : -1;
}

Expected<void> ConfigReplica::reject(ErrorKind kind, std::string_view result, std::uint64_t version,
                                     std::string message, std::string remedy)
{
    m_metrics.add(OfferCounter, 1, {{"result", std::string(result)}});
    logEvent(LogLevel::Error, "config_refused",
             {{"version", std::to_string(version)},
              {"in_force", std::to_string(m_version)},
              {"cause", message},
              {"remedy", remedy}});
    return unexpectedError(kind, std::move(message), std::move(remedy));
}

} // namespace marigoldspool
