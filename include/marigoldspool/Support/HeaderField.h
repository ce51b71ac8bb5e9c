#ifndef MARIGOLDSPOOL_SUPPORT_HEADERFIELD_H
#define MARIGOLDSPOOL_SUPPORT_HEADERFIELD_H

#include <string>
#include <string_view>

#include <gsl/span>

namespace marigoldspool {

/// One HTTP header field; names compare without regard to case.
struct HeaderField {
    std::string name;
    std::string value;
};

/// The value of the first field called \p name, or null.
const std::string *findHeader(gsl::span<const HeaderField> headers, std::string_view name);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace marigoldspool

#endif
