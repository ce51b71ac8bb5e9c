#ifndef MARIGOLDSPOOL_CONFIG_CONFIGDIFF_H
#define MARIGOLDSPOOL_CONFIG_CONFIGDIFF_H

#include "marigoldspool/Config/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

struct RuleField {
    std::string key;
    std::string value;

    friend bool operator==(const RuleField &a, const RuleField &b)
    {
        return a.key == b.key && a.value == b.value;
    }
};

/// One rule in the syntax of the rule file, with every default written out.
struct RuleText {
    /// The first word of the line, such as `zone`.
    std::string kind;
    /// The second word.
    std::string name;
    std::vector<RuleField> fields;
    std::string requestedBy;
};

/// The rules of \p configuration in the order zones, endpoints, models, workspaces, keys, routes.
std::vector<RuleText> describeRules(const Configuration &configuration);
/// The line of a rule file that parses to the same rule.
std::string formatRule(const RuleText &rule);

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

struct FieldChange {
    std::string key;
    /// Empty when the key was absent before.
    std::string from;
    std::string to;
};

/// The difference in one rule. Rules are matched by kind and name; keys by their digest.
struct RuleChange {
    ChangeKind change = ChangeKind::Changed;
    /// The new rule, or the old one when it was removed.
    RuleText rule;
    /// For Changed only; a new requester appears as `asked for by`.
    std::vector<FieldChange> fields;
};

/// Removed and changed rules in the order of \p from, then added ones in the order of \p to.
std::vector<RuleChange> diffRules(const Configuration &from, const Configuration &to);

std::string_view changeKindName(ChangeKind kind);

} // namespace marigoldspool

#endif
