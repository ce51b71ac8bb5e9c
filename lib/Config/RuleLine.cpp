#include "RuleLine.h"

#include "marigoldspool/Support/Settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace marigoldspool {

namespace {

constexpr std::string_view Blanks = " \t\r";
constexpr std::string_view AskerPrefix = "asked for by:";
constexpr std::size_t MaxNameBytes = 128;
constexpr std::uint64_t MaxMemoryBytes = std::uint64_t{1} << 50;

struct ByteUnit {
    std::string_view suffix;
    std::uint64_t bytes;
};

// "B" stands last because it is a suffix of all others.
constexpr ByteUnit ByteUnits[] = {
    {"KiB", std::uint64_t{1} << 10},
    {"MiB", std::uint64_t{1} << 20},
    {"GiB", std::uint64_t{1} << 30},
    {"TiB", std::uint64_t{1} << 40},
    {"B", 1},
};

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t' && c != '\r') || byte == 0x7f;
    });
}

std::vector<std::string_view> splitAt(std::string_view text, std::string_view separators)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t first = text.find_first_not_of(separators);
        if (first == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(first);
        const std::size_t end = std::min(text.find_first_of(separators), text.size());
        parts.push_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

std::optional<std::uint64_t> parseBytes(std::string_view text)
{
    for (const ByteUnit &unit : ByteUnits) {
        if (text.size() <= unit.suffix.size()
            || text.substr(text.size() - unit.suffix.size()) != unit.suffix) {
            continue;
        }
        std::uint64_t n = 0;
        const char *last = text.data() + text.size() - unit.suffix.size();
        const auto [end, ec] = std::from_chars(text.data(), last, n);
        if (ec != std::errc() || end != last || n > MaxMemoryBytes / unit.bytes) {
            return std::nullopt;
        }
        return n * unit.bytes;
    }
    return std::nullopt;
}

} // namespace

void ProblemList::error(int line, std::string cause, std::string remedy)
{
    m_hasErrors = true;
    m_problems.push_back({m_file, line, Severity::Error, std::move(cause), std::move(remedy)});
}

void ProblemList::warning(int line, std::string cause, std::string remedy)
{
    m_problems.push_back({m_file, line, Severity::Warning, std::move(cause), std::move(remedy)});
}

std::vector<RuleProblem> ProblemList::takeSorted()
{
    std::stable_sort(m_problems.begin(), m_problems.end(),
                     [](const RuleProblem &a, const RuleProblem &b) {
                         return a.line < b.line;
                     });
    return std::move(m_problems);
}

std::optional<RuleLine> RuleLine::read(std::string_view text, int line, ProblemList &problems)
{
    if (text.size() > MaxRuleLineBytes) {
        problems.error(line,
                       "the line is longer than " + std::to_string(MaxRuleLineBytes) + " bytes",
                       "shorten it");
        return std::nullopt;
    }
    if (!isValidUtf8(text) || hasControlCharacter(text)) {
        problems.error(line, "the line has a control character or is not UTF-8",
                       "save the file as UTF-8 text and remove control characters");
        return std::nullopt;
    }
    const std::size_t hash = std::min(text.find('#'), text.size());
    const std::string_view words = trimmed(text.substr(0, hash));
    if (words.empty()) {
        return std::nullopt;
    }
    RuleLine rule(line, problems);
    rule.parseRequester(text.substr(hash));
    rule.parseWords(words);
    if (rule.m_name.empty()) {
        return std::nullopt;
    }
    return rule;
}

void RuleLine::parseRequester(std::string_view comment)
{
    std::string_view name = trimmed(comment.substr(std::min<std::size_t>(1, comment.size())));
    if (name.substr(0, AskerPrefix.size()) == AskerPrefix) {
        name = trimmed(name.substr(AskerPrefix.size()));
        if (!name.empty()) {
            m_requestedBy = name;
            return;
        }
    }
    error("the rule does not say who asked for it", "end the line with \"# asked for by: NAME\"");
}

void RuleLine::parseWords(std::string_view words)
{
    const std::vector<std::string_view> parts = splitAt(words, Blanks);
    m_kind = parts[0];
    if (parts.size() < 2 || parts[1].find('=') != std::string_view::npos) {
        error("rule " + quoted(m_kind) + " has no name", "write the name as its second word");
        return;
    }
    m_name = parts[1];
    if (!isRuleName(m_name)) {
        error(quoted(m_name) + " is no name",
              "use at most 128 letters, digits and . _ : -, starting with a letter or a digit");
    }
    m_words.reserve(parts.size());
    for (std::size_t i = 2; i < parts.size(); ++i) {
        const std::size_t equals = parts[i].find('=');
        if (equals == std::string_view::npos || equals == 0) {
            error(quoted(parts[i]) + " is not of the form key=value",
                  "write key=value without blanks around the equals sign");
            continue;
        }
        const std::string_view key = parts[i].substr(0, equals);
        if (has(key)) {
            error("key " + quoted(key) + " is given twice", "remove one of the two");
            continue;
        }
        m_words.push_back({key, parts[i].substr(equals + 1), false});
    }
}

bool RuleLine::has(std::string_view key) const
{
    return std::any_of(m_words.begin(), m_words.end(), [&](const Word &word) {
        return word.key == key;
    });
}

std::optional<std::string_view> RuleLine::takeText(std::string_view key)
{
    const auto it = std::find_if(m_words.begin(), m_words.end(), [&](const Word &word) {
        return word.key == key;
    });
    if (it == m_words.end()) {
        return std::nullopt;
    }
    it->isTaken = true;
    return it->value;
}

std::string RuleLine::takeRequired(std::string_view key)
{
    const std::optional<std::string_view> text = takeText(key);
    if (!text) {
        error("key " + quoted(key) + " is missing", "add " + std::string(key) + "=VALUE");
        return {};
    }
    return std::string(*text);
}

std::string RuleLine::takeName(std::string_view key, bool isRequired)
{
    if (!isRequired && !has(key)) {
        return {};
    }
    std::string text = takeRequired(key);
    if (has(key) && !isRuleName(text)) {
        reportBadValue(key, text, "use at most 128 letters, digits and . _ : -");
        return {};
    }
    return text;
}

std::vector<std::string> RuleLine::takeNames(std::string_view key)
{
    std::vector<std::string> names;
    const std::optional<std::string_view> text = takeText(key);
    if (!text) {
        return names;
    }
    for (const std::string_view part : splitAt(*text, ",")) {
        if (!isRuleName(part)) {
            reportBadValue(key, part, "write names separated by commas");
        } else if (std::find(names.begin(), names.end(), part) != names.end()) {
            reportBadValue(key, part, "list each name once");
        } else {
            names.emplace_back(part);
        }
    }
    return names;
}

double RuleLine::takeNumber(std::string_view key, double defaultValue, double minValue,
                            double maxValue)
{
    const std::optional<std::string_view> text = takeText(key);
    if (!text) {
        return defaultValue;
    }
    double value = 0;
    const char *last = text->data() + text->size();
    const auto [end, ec] = std::from_chars(text->data(), last, value);
    if (ec != std::errc() || end != last || !std::isfinite(value) || value < minValue
        || value > maxValue) {
        reportBadValue(key, *text,
                       "write a number without a unit from " + formatNumber(minValue) + " to "
                           + formatNumber(maxValue));
        return defaultValue;
    }
    // Turns -0 into 0, which would otherwise be shown with its sign.
    return value + 0.0;
}

int RuleLine::takeCount(std::string_view key, int defaultValue, int minValue, int maxValue)
{
    const std::optional<std::string_view> text = takeText(key);
    if (!text) {
        return defaultValue;
    }
    int value = 0;
    const char *last = text->data() + text->size();
    const auto [end, ec] = std::from_chars(text->data(), last, value);
    if (ec != std::errc() || end != last || value < minValue || value > maxValue) {
        reportBadValue(key, *text,
                       "write a whole number from " + std::to_string(minValue) + " to "
                           + std::to_string(maxValue));
        return defaultValue;
    }
    return value;
}

std::uint64_t RuleLine::takeBytes(std::string_view key, std::uint64_t minValue, bool isRequired)
{
    if (!isRequired && !has(key)) {
        return 0;
    }
    const std::string text = takeRequired(key);
    if (!has(key)) {
        return 0;
    }
    const std::optional<std::uint64_t> bytes = parseBytes(text);
    if (!bytes || *bytes < minValue) {
        reportBadValue(key, text,
                       "write a whole number and B, KiB, MiB, GiB or TiB, such as 80GiB, from "
                           + std::to_string(minValue) + "B to 1024TiB");
        return 0;
    }
    return *bytes;
}

Duration RuleLine::takeDuration(std::string_view key, Duration defaultValue, Duration minValue,
                                Duration maxValue)
{
    const std::optional<std::string_view> text = takeText(key);
    if (!text) {
        return defaultValue;
    }
    const Expected<Duration> value = parseDuration(*text);
    if (!value || *value < minValue || *value > maxValue) {
        reportBadValue(key, *text,
                       "write a whole number and ms, s, m or h, from "
                           + std::to_string(toMilliseconds(minValue)) + "ms to "
                           + std::to_string(toMilliseconds(maxValue)) + "ms");
        return defaultValue;
    }
    return *value;
}

void RuleLine::reportBadValue(std::string_view key, std::string_view value, std::string remedy)
{
    error("key " + quoted(key) + " has the value " + quoted(value), std::move(remedy));
}

void RuleLine::error(std::string cause, std::string remedy)
{
    m_problems->error(m_line, std::move(cause), std::move(remedy));
}

void RuleLine::reportUnknownKeys()
{
    for (const Word &word : m_words) {
        if (!word.isTaken) {
            error("rule " + quoted(m_kind) + " has no key " + quoted(word.key),
                  "remove it or correct its spelling; docs/rules.md lists the keys");
        }
    }
}

bool isRuleName(std::string_view text)
{
    static constexpr std::string_view LettersAndDigits =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    if (text.empty() || text.size() > MaxNameBytes
        || LettersAndDigits.find(text[0]) == std::string_view::npos) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return LettersAndDigits.find(c) != std::string_view::npos || c == '.' || c == '_'
            || c == ':' || c == '-';
    });
}

bool isValidUtf8(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const auto byte = static_cast<unsigned char>(text[i]);
        const std::size_t length = byte < 0x80 ? 1
            : byte >= 0xc2 && byte <= 0xdf     ? 2
            : byte >= 0xe0 && byte <= 0xef     ? 3
            : byte >= 0xf0 && byte <= 0xf4     ? 4
                                               : 0;
        if (length == 0 || length > text.size() - i) {
            return false;
        }
        for (std::size_t n = 1; n < length; ++n) {
            const auto next = static_cast<unsigned char>(text[i + n]);
            // The second byte rules out overlong forms, surrogates and values above U+10FFFF.
            const unsigned minValue = n == 1 && byte == 0xe0 ? 0xa0U
                : n == 1 && byte == 0xf0                     ? 0x90U
                                                             : 0x80U;
            const unsigned maxValue = n == 1 && byte == 0xed ? 0x9fU
                : n == 1 && byte == 0xf4                     ? 0x8fU
                                                             : 0xbfU;
            if (next < minValue || next > maxValue) {
                return false;
            }
        }
        i += length;
    }
    return true;
}

std::string quoted(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

std::string formatNumber(double value)
{
    char buf[64];
    const auto [end, ec] = std::to_chars(buf, buf + sizeof buf, value);
    return ec == std::errc() ? std::string(buf, end) : std::to_string(value);
}

} // namespace marigoldspool
