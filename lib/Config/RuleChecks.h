#ifndef MARIGOLDSPOOL_LIB_CONFIG_RULECHECKS_H
#define MARIGOLDSPOOL_LIB_CONFIG_RULECHECKS_H

#include "RuleLine.h"

#include <vector>

namespace marigoldspool {

/// Rules with the line of each, in the same order.
struct NumberedRules {
    RuleSet rules;
    std::vector<int> zoneLines;
    std::vector<int> endpointLines;
    std::vector<int> modelLines;
    std::vector<int> workspaceLines;
    std::vector<int> keyLines;
    std::vector<int> routeLines;
};

/// Reports duplicates, dangling references and rules that contradict each other.
void checkReferences(const NumberedRules &numbered, ProblemList &problems);
/// Reports rules that are valid but have no effect or an unexpected one. \p numbered has passed
/// checkReferences().
void checkPlausibility(const NumberedRules &numbered, ProblemList &problems);

} // namespace marigoldspool

#endif
