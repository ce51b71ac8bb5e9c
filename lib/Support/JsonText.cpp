#include "marigoldspool/Support/JsonText.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using nlohmann::json;

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool isOpening(char c)
{
    return c == '[' || c == '{';
}

bool isClosing(char c)
{
    return c == ']' || c == '}';
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Reads a JSON text part by part without recursion.
class JsonScanner
{
public:
    explicit JsonScanner(std::string_view text)
        : m_text(trimmed(text))
    { }

    bool atEnd() const { return m_at == m_text.size(); }

    bool take(char expected)
    {
        skipSpace();
        if (atEnd() || m_text[m_at] != expected) {
            return false;
        }
        ++m_at;
        return true;
    }

    /// Returns the string at the current position with its quotes; empty if there is none.
    std::string_view takeString()
    {
        skipSpace();
        const std::size_t begin = m_at;
        if (atEnd() || m_text[m_at] != '"' || !skipString()) {
            return {};
        }
        return m_text.substr(begin, m_at - begin);
    }

    /// Returns everything up to the comma or closing bracket after the value.
    std::string_view takeValue()
    {
        const std::size_t begin = m_at;
        std::size_t depth = 0;
        while (!atEnd()) {
            const char c = m_text[m_at];
            if (depth == 0 && (c == ',' || isClosing(c))) {
                break;
            }
            if (c == '"') {
                if (!skipString()) {
                    return {};
                }
                continue;
            }
            depth += isOpening(c) ? 1 : 0;
            depth -= isClosing(c) ? 1 : 0;
            ++m_at;
        }
        return trimmed(m_text.substr(begin, m_at - begin));
    }

    /// The deepest nesting of brackets in the rest of the text.
    std::size_t maxDepth()
    {
        std::size_t depth = 0;
        std::size_t deepest = 0;
        while (!atEnd()) {
            const char c = m_text[m_at];
            if (c == '"') {
                if (!skipString()) {
                    break;
                }
                continue;
            }
            depth += isOpening(c) ? 1 : 0;
            depth -= isClosing(c) && depth > 0 ? 1 : 0;
            deepest = std::max(deepest, depth);
            ++m_at;
        }
        return deepest;
    }

private:
    void skipSpace()
    {
        while (!atEnd() && isSpace(m_text[m_at])) {
            ++m_at;
        }
    }

    // Moves past the string that begins here; returns false if it does not end.
    bool skipString()
    {
        for (++m_at; !atEnd(); ++m_at) {
            if (m_text[m_at] == '"') {
                ++m_at;
                return true;
            }
            if (m_text[m_at] == '\\' && ++m_at == m_text.size()) {
                return false;
            }
        }
        return false;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

// A name that cannot be parsed is kept as it is written: it is none of the names that are read.
std::string memberName(std::string_view quoted)
{
    const json name = json::parse(quoted, nullptr, false);
    return name.is_string() ? name.get<std::string>() : std::string(quoted);
}

// Calls onPart for each part between the brackets; returns false if the text is not complete.
template <class Reader>
bool readParts(JsonScanner &scanner, char open, char close, const Reader &readPart)
{
    if (!scanner.take(open)) {
        return false;
    }
    if (scanner.take(close)) {
        return scanner.atEnd();
    }
    do {
        if (!readPart()) {
            return false;
        }
    } while (scanner.take(','));
    return scanner.take(close) && scanner.atEnd();
}

} // namespace

json parseJson(std::string_view text)
{
    if (JsonScanner(text).maxDepth() > MaxJsonDepth) {
        return json(json::value_t::discarded);
    }
    return json::parse(text, nullptr, false);
}

bool isReadableJson(std::string_view text)
{
    return JsonScanner(text).maxDepth() <= MaxJsonDepth && json::accept(text);
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    JsonScanner scanner(text);
    std::vector<JsonMember> members;
    const bool isComplete = readParts(scanner, '{', '}', [&scanner, &members] {
        const std::string_view name = scanner.takeString();
        if (name.empty() || !scanner.take(':')) {
            return false;
        }
        members.push_back({memberName(name), scanner.takeValue()});
        return !members.back().value.empty();
    });
    return isComplete ? std::make_optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    JsonScanner scanner(text);
    std::vector<std::string_view> items;
    const bool isComplete = readParts(scanner, '[', ']', [&scanner, &items] {
        items.push_back(scanner.takeValue());
        return !items.back().empty();
    });
    return isComplete ? std::make_optional(std::move(items)) : std::nullopt;
}

std::string_view findMember(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto it =
        std::find_if(members.rbegin(), members.rend(), [name](const JsonMember &member) {
            return member.name == name;
        });
    return it == members.rend() ? std::string_view() : it->value;
}

} // namespace marigoldspool
