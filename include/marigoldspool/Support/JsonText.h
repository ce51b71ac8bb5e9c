#ifndef MARIGOLDSPOOL_SUPPORT_JSONTEXT_H
#define MARIGOLDSPOOL_SUPPORT_JSONTEXT_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace marigoldspool {

/// Deepest nesting of arrays and objects that parseJson() accepts. Values are written and compared
/// recursively, so unbounded nesting would overflow the stack; the deepest object of the platform,
/// the configuration, has six levels.
constexpr std::size_t MaxJsonDepth = 64;

/// Parses text from outside of the process. The result is discarded if the text is not JSON, has
/// a number beyond the range of double, or nests deeper than MaxJsonDepth.
nlohmann::json parseJson(std::string_view text);

/// Whether parseJson() accepts \p text.
bool isReadableJson(std::string_view text);

/// \name Splitting
///
/// These functions track only strings and brackets and do not interpret the values, so a value that
/// cannot be parsed does not affect the others. They return nothing if the text as a whole is not
/// an object or an array. The parts refer to \p text.
/// \{
struct JsonMember {
    std::string name;
    std::string_view value;
};

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);
/// \}

/// The value of the last member \p name, as a parser would keep it; empty if there is none.
std::string_view findMember(const std::vector<JsonMember> &members, std::string_view name);

} // namespace marigoldspool

#endif
