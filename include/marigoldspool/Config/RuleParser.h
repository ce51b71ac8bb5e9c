#ifndef MARIGOLDSPOOL_CONFIG_RULEPARSER_H
#define MARIGOLDSPOOL_CONFIG_RULEPARSER_H

#include "marigoldspool/Config/Configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

enum class Severity {
    Error,
    Warning,
};

/// One finding about a rule file.
struct RuleProblem {
    std::string file;
    /// Counted from 1; 0 concerns the whole file.
    int line = 0;
    Severity severity = Severity::Error;
    std::string cause;
    std::string remedy;
};

struct ParseResult {
    /// Null when there is any error.
    std::shared_ptr<const Configuration> configuration;
    /// All findings, ordered by line.
    std::vector<RuleProblem> problems;
};

/// The longest line of a rule file, in bytes.
constexpr std::size_t MaxRuleLineBytes = std::size_t{8} * 1024;
/// The longest rule file, in bytes.
constexpr std::size_t MaxRuleTextBytes = std::size_t{16} * 1024 * 1024;

/// Reads and checks a whole rule file; \p fileName is used in findings only. Accepts any bytes.
ParseResult parseRules(std::string_view fileName, std::string_view text);

/// One line, such as `rules:3: error: cause; remedy: remedy`.
std::string formatProblem(const RuleProblem &problem);

} // namespace marigoldspool

#endif
