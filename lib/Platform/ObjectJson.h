#ifndef MARIGOLDSPOOL_LIB_PLATFORM_OBJECTJSON_H
#define MARIGOLDSPOOL_LIB_PLATFORM_OBJECTJSON_H

#include "marigoldspool/Platform/ObjectStore.h"

#include <string_view>
#include <vector>

namespace marigoldspool {

// Parsers of the platform's answers. All fail with Malformed on missing or mistyped fields.
Expected<StoredObject> readObject(std::string_view body);
Expected<std::uint64_t> readVersion(std::string_view body);
Expected<ListResult> readList(std::string_view body);
Expected<WatchBatch> readWatchBatch(std::string_view body);
Expected<std::vector<PlatformInstance>> readInstances(std::string_view body);

/// Body of a conditional write. Fails with InvalidArgument if \p value is not UTF-8.
Expected<std::string> writePutBody(std::uint64_t expectedVersion, std::string_view value,
                                   const WriteId &writeId);

/// Percent-encodes \p text for a path, or with \p query for a query parameter.
std::string percentEncode(std::string_view text, bool query);

} // namespace marigoldspool

#endif
