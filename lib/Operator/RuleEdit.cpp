#include "marigoldspool/Operator/RuleEdit.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace marigoldspool {

namespace {

constexpr std::string_view Blanks = " \t\r";
constexpr std::string_view AskedByPrefix = "# asked for by: ";
constexpr std::string_view DigestPrefix = "sha256:";

/// Offsets of a line in the text, without its line feed.
struct LineRange {
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// Calls \p visit with each line and its words, without its comment, until it returns true.
template <class Visit>
void forEachRule(std::string_view rules, Visit visit)
{
    std::size_t begin = 0;
    while (begin < rules.size()) {
        const std::size_t end = std::min(rules.find('\n', begin), rules.size());
        const std::string_view line = rules.substr(begin, end - begin);
        const std::string_view words = line.substr(0, line.find('#'));
        std::vector<std::string_view> parts;
        std::size_t at = 0;
        while ((at = words.find_first_not_of(Blanks, at)) != std::string_view::npos) {
            const std::size_t stop = std::min(words.find_first_of(Blanks, at), words.size());
            parts.push_back(words.substr(at, stop - at));
            at = stop;
        }
        if (parts.size() >= 2 && visit(LineRange{begin, end}, parts)) {
            return;
        }
        begin = end + 1;
    }
}

bool hasWord(const std::vector<std::string_view> &parts, std::string_view word)
{
    return std::find(parts.begin() + 2, parts.end(), word) != parts.end();
}

/// Replaces the value of \p key in the line, or adds the key after the last word.
std::string setField(std::string_view line, const std::vector<std::string_view> &parts,
                     std::string_view key, std::string_view value)
{
    const std::string prefix = std::string(key) + "=";
    for (const std::string_view word : parts) {
        if (word.substr(0, prefix.size()) == prefix) {
            const auto at = static_cast<std::size_t>(word.data() - line.data());
            return std::string(line.substr(0, at)) + prefix + std::string(value)
                + std::string(line.substr(at + word.size()));
        }
    }
    const auto at =
        static_cast<std::size_t>(parts.back().data() - line.data()) + parts.back().size();
    return std::string(line.substr(0, at)) + " " + prefix + std::string(value)
        + std::string(line.substr(at));
}

std::string replaceAskedBy(std::string line, std::string_view requestedBy)
{
    if (!requestedBy.empty()) {
        const std::size_t hash = std::min(line.find('#'), line.size());
        const bool hasReturn = !line.empty() && line.back() == '\r';
        line = line.substr(0, hash) + std::string(AskedByPrefix) + std::string(requestedBy)
            + (hasReturn ? "\r" : "");
    }
    return line;
}

/// Rejects blank names and control characters: a line feed in the name would begin another rule.
std::optional<Error> validateAskedBy(std::string_view requestedBy)
{
    const bool hasControl = std::any_of(requestedBy.begin(), requestedBy.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    });
    const bool isBlank =
        !requestedBy.empty() && requestedBy.find_first_not_of(Blanks) == std::string_view::npos;
    if (hasControl || isBlank) {
        return makeError(ErrorKind::InvalidArgument,
                         "the name of the requester is blank or has control characters",
                         "give a name in one line of text");
    }
    return std::nullopt;
}

std::string replaceLine(std::string_view rules, const LineRange &range, std::string_view line)
{
    return std::string(rules.substr(0, range.begin)) + std::string(line)
        + std::string(rules.substr(range.end));
}

/// Sets \p key to \p value in the first rule for which \p matches returns true.
template <class Matches>
std::optional<std::string> editRule(std::string_view rules, std::string_view key,
                                    std::string_view value, std::string_view requestedBy,
                                    Matches matches)
{
    std::optional<std::string> edited;
    forEachRule(rules, [&](const LineRange &range, const std::vector<std::string_view> &parts) {
        if (!matches(parts)) {
            return false;
        }
        const std::string_view line = rules.substr(range.begin, range.end - range.begin);
        edited = replaceLine(rules, range,
                             replaceAskedBy(setField(line, parts, key, value), requestedBy));
        return true;
    });
    return edited;
}

tl::unexpected<Error> ruleNotFound(const std::string &what)
{
    return unexpectedError(ErrorKind::NotFound, "there is no rule for " + what,
                           "list the rules in force with marigoldspoolctl show");
}

} // namespace

Expected<std::string> setZoneState(std::string_view rules, const ZoneName &zone, ZoneState state,
                                   std::string_view requestedBy)
{
    if (const std::optional<Error> error = validateAskedBy(requestedBy)) {
        return tl::make_unexpected(*error);
    }
    const bool isDrained = state == ZoneState::Drained;
    bool isUnchanged = false;
    std::optional<std::string> edited =
        editRule(rules, "state", isDrained ? "drained" : "serving", requestedBy,
                 [&](const std::vector<std::string_view> &parts) {
                     isUnchanged = hasWord(parts, "state=drained") == isDrained;
                     return parts[0] == "zone" && parts[1] == zone.str();
                 });
    if (!edited) {
        return ruleNotFound("zone \"" + zone.str() + "\"");
    }
    return isUnchanged ? std::string(rules) : *std::move(edited);
}

Expected<std::string> withdrawKey(std::string_view rules, const KeyDigest &digest,
                                  std::string_view requestedBy)
{
    if (const std::optional<Error> error = validateAskedBy(requestedBy)) {
        return tl::make_unexpected(*error);
    }
    const std::string word = "digest=" + std::string(DigestPrefix) + digest.str();
    bool isUnchanged = false;
    std::optional<std::string> edited = editRule(
        rules, "state", "withdrawn", requestedBy, [&](const std::vector<std::string_view> &parts) {
            isUnchanged = hasWord(parts, "state=withdrawn");
            return parts[0] == "key" && hasWord(parts, word);
        });
    if (!edited) {
        return ruleNotFound("key digest " + digest.str());
    }
    return isUnchanged ? std::string(rules) : *std::move(edited);
}

Expected<std::string> addKey(std::string_view rules, const WorkspaceName &workspace,
                             const KeyDigest &digest, std::string_view requestedBy)
{
    const std::optional<Error> error = validateAskedBy(requestedBy);
    if (error || requestedBy.empty()) {
        return tl::make_unexpected(error ? *error
                                         : makeError(ErrorKind::InvalidArgument,
                                                     "the requester of the key is not named",
                                                     "pass --asked-by=NAME"));
    }
    const std::string word = "digest=" + std::string(DigestPrefix) + digest.str();
    std::optional<LineRange> last;
    bool isWorkspaceKnown = false;
    bool isUnchanged = false;
    forEachRule(rules, [&](const LineRange &range, const std::vector<std::string_view> &parts) {
        if (parts[1] == workspace.str() && (parts[0] == "workspace" || parts[0] == "key")) {
            last = range;
            isWorkspaceKnown = isWorkspaceKnown || parts[0] == "workspace";
            isUnchanged = isUnchanged || hasWord(parts, word);
        }
        return false;
    });
    if (!isWorkspaceKnown) {
        return ruleNotFound("workspace \"" + workspace.str() + "\"");
    }
    if (isUnchanged) {
        return std::string(rules);
    }
    const std::string rule = "key " + workspace.str() + " " + word + " state=active "
        + std::string(AskedByPrefix) + std::string(requestedBy);
    return std::string(rules.substr(0, last->end)) + "\n" + rule
        + std::string(rules.substr(last->end));
}

Expected<KeyDigest> parseKeyDigest(std::string_view text)
{
    static constexpr std::size_t DigestDigits = 64;
    std::string digits(text);
    if (text.substr(0, DigestPrefix.size()) == DigestPrefix) {
        digits.erase(0, DigestPrefix.size());
    }
    std::transform(digits.begin(), digits.end(), digits.begin(), [](char c) {
        return c >= 'A' && c <= 'F' ? static_cast<char>(c + 32) : c;
    });
    if (digits.size() != DigestDigits
        || digits.find_first_not_of("0123456789abcdef") != std::string::npos) {
        // The error does not quote the text, which may be the key itself.
        return unexpectedError(ErrorKind::InvalidArgument, "the text is not a SHA-256 digest",
                               "give the 64 hexadecimal digits of the key rule, not the key");
    }
    return KeyDigest(digits);
}

} // namespace marigoldspool
