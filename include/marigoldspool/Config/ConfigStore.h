#ifndef MARIGOLDSPOOL_CONFIG_CONFIGSTORE_H
#define MARIGOLDSPOOL_CONFIG_CONFIGSTORE_H

#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/RandomSource.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// Key of the object that lists the pieces of the version in force.
constexpr std::string_view ConfigRootKey = "config/root";
/// The key of a piece is this prefix followed by the SHA-256 of its content.
constexpr std::string_view ConfigPiecePrefix = "config/pieces/";
/// Maximum size of a piece. Well below the store's limit of 1 MB, because a value grows when its
/// quotes and line ends are escaped in JSON.
constexpr std::size_t MaxConfigPieceBytes = std::size_t{256} * 1024;
/// How long a piece is kept after the last root that references it was replaced. Must exceed the
/// time that a slow reader of that root needs to read its pieces.
constexpr Duration ConfigPieceRetention = std::chrono::hours(1);

struct ConfigPiece {
    std::string sha256;
    std::uint64_t bytes = 0;
};

/// A piece that the version in force no longer references.
struct RetiredPiece {
    std::string sha256;
    /// When it was found to be unreferenced, in milliseconds since 1970.
    std::int64_t sinceMs = 0;
};

/// One write of the root.
struct ConfigWrite {
    std::uint64_t version = 0;
    std::string writeId;
    std::string author;
};

/// Content of the root object.
struct ConfigRoot {
    std::uint64_t version = 0;
    /// In the order of the text.
    std::vector<ConfigPiece> pieces;
    std::string author;
    /// The last writes, newest first. A writer whose response was lost finds its own write here
    /// even after later ones.
    std::vector<ConfigWrite> history;
    std::vector<RetiredPiece> retired;
};

std::string serializeConfigRoot(const ConfigRoot &root);
/// Fails with Malformed.
Expected<ConfigRoot> parseConfigRoot(std::string_view json);

/// Splits \p rules at line ends chosen by content only (content-defined chunking), so that a
/// change of one line leaves most pieces unchanged.
std::vector<std::string> splitIntoPieces(std::string_view rules);

struct VersionedRules {
    std::uint64_t version = 0;
    std::string text;
    /// Who published this version.
    std::string author;
};

/// Puts \p rules in force if \p expectedVersion (0: none) is still the version in force, and
/// returns the new version. Fails with InvalidRule, Conflict (another version is in force),
/// OutcomeUnknown, or the store's error; on all but OutcomeUnknown nothing has changed.
/// The new version follows \p expectedVersion, or is \p minVersion if that is higher: instances
/// do not take a version below one they have seen, which matters after the store lost its content.
/// \p store, \p clock and \p random have to outlive the call.
void publishConfig(ObjectStore &store, const Clock &clock, RandomSource &random, std::string rules,
                   std::uint64_t expectedVersion, std::string author, Callback<std::uint64_t> done,
                   std::uint64_t minVersion = 0);

/// Reads the rules in force. Pieces that are also in \p known, the text of another version, are not
/// read again. Fails with NotFound when none were published yet, with Malformed when a piece does
/// not match its digest, or with the store's error. \p store has to outlive the call.
void fetchConfig(ObjectStore &store, Callback<VersionedRules> done, std::string_view known = {});

} // namespace marigoldspool

#endif
