#ifndef MARIGOLDSPOOL_LIB_CONFIG_RULELINE_H
#define MARIGOLDSPOOL_LIB_CONFIG_RULELINE_H

#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Support/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldspool {

/// Collects the findings of one file.
class ProblemList
{
public:
    explicit ProblemList(std::string_view file)
        : m_file(file)
    { }

    void error(int line, std::string cause, std::string remedy);
    void warning(int line, std::string cause, std::string remedy);
    bool hasErrors() const { return m_hasErrors; }
    std::vector<RuleProblem> takeSorted();

private:
    std::string m_file;
    std::vector<RuleProblem> m_problems;
    bool m_hasErrors = false;
};

/// The words of one rule, as views into the parsed text. Each take function checks one key, reports
/// an error for an invalid value and returns the default when the key is missing or invalid.
class RuleLine
{
public:
    template <class Value>
    using Choices = std::initializer_list<std::pair<std::string_view, Value>>;

    /// Null when the line has no rule or cannot be split into words.
    static std::optional<RuleLine> read(std::string_view text, int line, ProblemList &problems);

    int line() const { return m_line; }
    const std::string &kind() const { return m_kind; }
    const std::string &name() const { return m_name; }
    const std::string &requestedBy() const { return m_requestedBy; }

    bool has(std::string_view key) const;
    /// Empty, with an error, when the key is missing.
    std::string takeRequired(std::string_view key);
    std::optional<std::string_view> takeText(std::string_view key);
    /// A name; reports an error when it has characters that are not allowed in names.
    std::string takeName(std::string_view key, bool isRequired);
    std::vector<std::string> takeNames(std::string_view key);
    double takeNumber(std::string_view key, double defaultValue, double minValue, double maxValue);
    int takeCount(std::string_view key, int defaultValue, int minValue, int maxValue);
    std::uint64_t takeBytes(std::string_view key, std::uint64_t minValue, bool isRequired);
    Duration takeDuration(std::string_view key, Duration defaultValue, Duration minValue,
                          Duration maxValue);

    template <class Value>
    Value takeChoice(std::string_view key, Value defaultValue, Choices<Value> choices)
    {
        const std::optional<std::string_view> text = takeText(key);
        if (!text) {
            return defaultValue;
        }
        std::string names;
        for (const auto &[name, value] : choices) {
            if (name == *text) {
                return value;
            }
            names += (names.empty() ? "" : " or ") + std::string(name);
        }
        reportBadValue(key, *text, "write " + names);
        return defaultValue;
    }

    void reportBadValue(std::string_view key, std::string_view value, std::string remedy);
    void error(std::string cause, std::string remedy);
    /// Reports an error for each key that no take function has read.
    void reportUnknownKeys();

private:
    struct Word {
        std::string_view key;
        std::string_view value;
        bool isTaken = false;
    };

    RuleLine(int line, ProblemList &problems)
        : m_line(line)
        , m_problems(&problems)
    { }
    void parseRequester(std::string_view comment);
    void parseWords(std::string_view words);

    int m_line;
    ProblemList *m_problems;
    std::string m_kind;
    std::string m_name;
    std::string m_requestedBy;
    std::vector<Word> m_words;
};

/// Letters, digits and `. _ : -`, at most 128 bytes, the first a letter or a digit. Names become
/// part of object keys, so a slash is not among them.
bool isRuleName(std::string_view text);
bool isValidUtf8(std::string_view text);
std::string quoted(std::string_view text);
/// The shortest text that reads back as the same number.
std::string formatNumber(double value);

} // namespace marigoldspool

#endif
