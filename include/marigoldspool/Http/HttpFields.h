#ifndef MARIGOLDSPOOL_HTTP_HTTPFIELDS_H
#define MARIGOLDSPOOL_HTTP_HTTPFIELDS_H

#include "marigoldspool/Support/HeaderField.h"

#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// Whether a field concerns one connection only and must not be passed on.
bool isHopByHopField(std::string_view name);

/// Removes hop-by-hop fields, including those that a Connection field names.
void removeHopByHopFields(std::vector<HeaderField> &headers);

/// Whether name and value can be written into a message head without ending the line early.
bool isWritableField(const HeaderField &field);

/// Whether \p text is a token of RFC 9110, as methods and field names are.
bool isToken(std::string_view text);

/// Whether \p target can be written into a request line.
bool isWritableTarget(std::string_view target);

/// Whether the path of \p target, once percent-decoded, has a segment `.` or `..`, so that an
/// endpoint that resolves such segments would see another path than the one that was checked.
bool hasDotSegment(std::string_view target);

/// Whether \p bytes, with which a body in chunks begins, are a part of what may be its last chunk.
/// Parsers of Beast must not get them before the rest.
bool isPartOfLastChunk(std::string_view bytes);

std::string_view reasonPhrase(int status);

void appendField(std::string &out, std::string_view name, std::string_view value);

} // namespace marigoldspool

#endif
