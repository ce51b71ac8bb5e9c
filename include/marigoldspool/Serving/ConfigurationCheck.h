#ifndef MARIGOLDSPOOL_SERVING_CONFIGURATIONCHECK_H
#define MARIGOLDSPOOL_SERVING_CONFIGURATIONCHECK_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <string>
#include <vector>

namespace marigoldspool {

enum class FindingKind {
    /// Requests fail because of it.
    Error,
    /// An entry that no request can reach.
    Unreachable,
    /// Two values that exclude each other.
    Contradiction,
};

struct ConfigurationFinding {
    FindingKind kind = FindingKind::Error;
    /// The entry, such as `route chat`.
    std::string entry;
    std::string text;
};

/// Name of \p kind for output.
std::string_view findingKindName(FindingKind kind);

/// Finds what is wrong with a configuration that can be read. The order is that of its entries.
/// \p inForce: the present version, or null.
std::vector<ConfigurationFinding> checkConfiguration(const ServingConfiguration &configuration,
                                                     const ServingConfiguration *inForce = nullptr);

/// Describes what \p after changes, one line for each added, removed or changed entry. Keys of
/// workspaces are counted, not named.
std::vector<std::string> describeChanges(const ServingConfiguration &before,
                                         const ServingConfiguration &after);

} // namespace marigoldspool

#endif
