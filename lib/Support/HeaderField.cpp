#include "marigoldspool/Support/HeaderField.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Header names are ASCII; std::tolower would depend on the locale.
char toLowerAscii(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return toLowerAscii(x) == toLowerAscii(y);
    });
}

const std::string *findHeader(gsl::span<const HeaderField> headers, std::string_view name)
{
    for (const HeaderField &field : headers) {
        if (equalsIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

} // namespace marigoldspool
