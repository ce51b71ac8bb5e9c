#ifndef MARIGOLDSPOOL_CONFIG_CONFIGSTORE_H
#define MARIGOLDSPOOL_CONFIG_CONFIGSTORE_H

#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/RandomSource.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// Key of the object that says which pieces are in force.
constexpr std::string_view ConfigRootKey = "config/root";
/// Keys of pieces are this and the SHA-256 of their content.
constexpr std::string_view ConfigPiecePrefix = "config/pieces/";
/// No piece is larger, in bytes. Well below the store's 1 MB, because a value grows when its
/// quotes and line ends are escaped in JSON.
constexpr std::size_t MaxConfigPieceBytes = std::size_t{256} * 1024;
/// How long a piece is kept after the last root that names it was replaced. Has to exceed the time
/// in which a slow reader that has read that root reads its pieces.
constexpr Duration ConfigPieceRetention = std::chrono::hours(1);

struct ConfigPiece {
    std::string sha256;
    std::uint64_t bytes = 0;
};

/// A piece that no rules in force name any more.
struct RetiredPiece {
    std::string sha256;
    /// Milliseconds since 1970 when it was found to be unreferenced.
    std::int64_t sinceMs = 0;
};

/// One earlier or present write of the root.
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
    /// The last writes, newest first, so that a writer whose answer was lost recognises its own
    /// write after others have followed.
    std::vector<ConfigWrite> history;
    std::vector<RetiredPiece> retired;
};

std::string serializeConfigRoot(const ConfigRoot &root);
/// Fails with Malformed.
Expected<ConfigRoot> parseConfigRoot(std::string_view json);

/// Cuts \p rules at line ends that depend on the content only, so that a change of one line
/// leaves most pieces as they were.
std::vector<std::string> splitIntoPieces(std::string_view rules);

struct VersionedRules {
    std::uint64_t version = 0;
    std::string text;
    /// Who published this version.
    std::string author;
};

/// Puts \p rules in force if \p expectedVersion (0: none) is still the version in force, and
/// yields the new version. Fails with InvalidRule, Conflict (another version is in force),
/// OutcomeUnknown, or the store's error; except for OutcomeUnknown nothing has changed then.
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
