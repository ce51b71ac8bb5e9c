#ifndef MARIGOLDSPOOL_OPERATOR_RULEEDIT_H
#define MARIGOLDSPOOL_OPERATOR_RULEEDIT_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Support/Error.h"

#include <string>
#include <string_view>

namespace marigoldspool {

/// The edits below change one line of a rule text and leave every other byte as it is. They
/// return the same text when the rule already says what is asked for. A non-empty \p requestedBy
/// replaces the requester named in the comment of the rule. Each fails with NotFound when there is
/// no such rule and with InvalidArgument when a name cannot stand in a rule.

Expected<std::string> setZoneState(std::string_view rules, const ZoneName &zone, ZoneState state,
                                   std::string_view requestedBy);
Expected<std::string> withdrawKey(std::string_view rules, const KeyDigest &digest,
                                  std::string_view requestedBy);
/// Adds an active key below the other keys of \p workspace.
Expected<std::string> addKey(std::string_view rules, const WorkspaceName &workspace,
                             const KeyDigest &digest, std::string_view requestedBy);

/// Reads `sha256:` and 64 hexadecimal digits, or the digits alone. Fails with InvalidArgument.
Expected<KeyDigest> parseKeyDigest(std::string_view text);

} // namespace marigoldspool

#endif
