#ifndef MARIGOLDSPOOL_CONFIG_CONFIGREPLICA_H
#define MARIGOLDSPOOL_CONFIG_CONFIGREPLICA_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Metrics.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldspool {

/// The configuration in force at this instance. Its version never decreases.
class ConfigReplica
{
public:
    ConfigReplica(const Clock &clock, Metrics &metrics);

    /// Puts a version read from the store or received from a peer in force. Succeeds when it is in
    /// force afterwards. Fails with Conflict on an older version, or on other rules under the
    /// version in force; with InvalidRule on rules that do not parse; with InvalidArgument on
    /// version 0.
    Expected<void> offer(std::uint64_t version, std::string_view rules);

    /// 0 until the first version is in force.
    std::uint64_t version() const { return m_version; }
    /// Never null; has no rules until the first version is in force.
    std::shared_ptr<const Configuration> current() const { return m_current; }
    /// The text of the version in force.
    const std::string &rules() const { return m_rules; }

    /// Records that \p version was the newest one at time \p at, according to the store or to a
    /// peer that has confirmed it. Has no effect unless it is the version in force.
    void confirmCurrent(std::uint64_t version, SteadyTime at);
    /// Time since the last confirmation; Duration::max() when there was none.
    Duration timeSinceConfirmation() const;
    /// timeSinceConfirmation() in milliseconds, as heartbeats carry it: -1 when there was none.
    std::int64_t confirmedAgeMs() const;

private:
    Expected<void> reject(ErrorKind kind, std::string_view result, std::uint64_t version,
                          std::string message, std::string remedy);

    const Clock &m_clock;
    Metrics &m_metrics;
    std::uint64_t m_version = 0;
    std::string m_rules;
    std::shared_ptr<const Configuration> m_current;
    std::optional<SteadyTime> m_confirmedAt;
};

} // namespace marigoldspool

#endif
