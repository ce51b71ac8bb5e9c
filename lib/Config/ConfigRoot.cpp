#include "marigoldspool/Config/ConfigStore.h"
#include "marigoldspool/Support/Digest.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using Json = nlohmann::json;

// A piece ends at the first line after MinPieceBytes whose hash is a multiple of SplitHashModulus:
// about every 256 lines, so that a rule file of 8,000 lines has some 20 pieces.
constexpr std::size_t MinPieceBytes = std::size_t{16} * 1024;
constexpr std::uint64_t SplitHashModulus = 256;

} // namespace

std::string serializeConfigRoot(const ConfigRoot &root)
{
    Json pieces = Json::array();
    for (const ConfigPiece &piece : root.pieces) {
        pieces.push_back({{"sha256", piece.sha256}, {"bytes", piece.bytes}});
    }
    Json history = Json::array();
    for (const ConfigWrite &write : root.history) {
        history.push_back(
            {{"version", write.version}, {"write_id", write.writeId}, {"author", write.author}});
    }
    Json retired = Json::array();
    for (const RetiredPiece &piece : root.retired) {
        retired.push_back({{"sha256", piece.sha256}, {"since_ms", piece.sinceMs}});
    }
    return Json{{"version", root.version},
                {"author", root.author},
                {"pieces", std::move(pieces)},
                {"history", std::move(history)},
                {"retired", std::move(retired)}}
        .dump();
}

Expected<ConfigRoot> parseConfigRoot(std::string_view json)
{
    try {
        const Json value = Json::parse(json);
        ConfigRoot root;
        value.at("version").get_to(root.version);
        value.at("author").get_to(root.author);
        for (const Json &piece : value.at("pieces")) {
            root.pieces.push_back({piece.at("sha256"), piece.at("bytes")});
        }
        for (const Json &write : value.at("history")) {
            root.history.push_back({write.at("version"), write.at("write_id"), write.at("author")});
        }
        for (const Json &piece : value.at("retired")) {
            root.retired.push_back({piece.at("sha256"), piece.at("since_ms")});
        }
        return root;
    } catch (const Json::exception &e) {
        return unexpectedError(ErrorKind::Malformed,
                               "the object " + std::string(ConfigRootKey)
                                   + " cannot be read: " + e.what(),
                               "remove the object with the platform's own tools and apply the "
                               "rule file again");
    }
}

std::vector<std::string> splitIntoPieces(std::string_view rules)
{
    std::vector<std::string> pieces;
    std::string piece;
    while (!rules.empty()) {
        const std::size_t end = rules.find('\n');
        std::string_view line =
            rules.substr(0, end == std::string_view::npos ? rules.size() : end + 1);
        // A longer line is not a valid rule; it is split so that any text can be stored.
        line = line.substr(0, MaxConfigPieceBytes);
        rules.remove_prefix(line.size());
        if (piece.size() + line.size() > MaxConfigPieceBytes) {
            pieces.push_back(std::move(piece));
            piece.clear();
        }
        piece += line;
        if (piece.size() >= MinPieceBytes && stableHash(line) % SplitHashModulus == 0) {
            pieces.push_back(std::move(piece));
            piece.clear();
        }
    }
    if (!piece.empty()) {
        pieces.push_back(std::move(piece));
    }
    return pieces;
}

} // namespace marigoldspool
