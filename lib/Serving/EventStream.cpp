#include "marigoldspool/Serving/EventStream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace marigoldspool {

namespace {

// An endpoint in trouble may send bytes without ever ending an event.
constexpr std::size_t MaxEventBytes = 256U << 10U;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Returns nothing if the line has no end yet.
std::optional<std::string_view> takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

void removeBlankLines(std::string_view &text)
{
    while (text.substr(0, 1) == "\n" || text.substr(0, 2) == "\r\n") {
        text.remove_prefix(text.front() == '\n' ? 1 : 2);
    }
}

std::string_view valueOf(std::string_view line)
{
    line.remove_prefix(std::min(line.find(':') + 1, line.size()));
    while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

/// The lines up to a blank one.
struct EventStream::Event {
    std::size_t size = 0;
    /// Whether each line has a field or a comment.
    bool wellFormed = true;
    /// Whether a line is more than a comment.
    bool hasField = false;
    int idCount = 0;
    std::string_view id;
};

EventStream::EventStream(std::string lastId)
    : m_lastId(std::move(lastId))
    , m_lastNumber(parseNumber(m_lastId))
{ }

void EventStream::beginResumed()
{
    m_partial.clear();
    m_fault = StreamFault::None;
    m_awaitsNext = m_lastNumber.has_value();
}

std::string EventStream::feed(std::string_view bytes)
{
    if (isMalformed()) {
        return {};
    }
    m_partial.append(bytes);
    const std::string_view text = m_partial;
    std::size_t accepted = 0;
    for (std::size_t at = 0; m_fault == StreamFault::None;) {
        const std::optional<Event> event = readEvent(text.substr(at));
        if (!event) {
            break;
        }
        at += event->size;
        m_fault = check(*event);
        // Comments ahead of the next event are kept until it has come.
        if (m_fault == StreamFault::None && (event->hasField || !m_awaitsNext)) {
            accept(*event);
            accepted = at;
        }
    }
    std::string events = m_partial.substr(0, accepted);
    m_partial.erase(0, accepted);
    if (m_partial.size() > MaxEventBytes) {
        m_fault = StreamFault::NoEvent;
    }
    if (isMalformed()) {
        m_partial.clear();
    }
    return events;
}

std::optional<EventStream::Event> EventStream::readEvent(std::string_view text)
{
    const std::size_t size = text.size();
    Event event;
    bool hasLine = false;
    bool hasBlankLine = false;
    while (const std::optional<std::string_view> line = takeLine(text)) {
        if (line->empty()) {
            if (!hasLine && !hasBlankLine) {
                hasBlankLine = true;
                continue;
            }
            // Blank lines alone are no event.
            event.wellFormed = event.wellFormed && hasLine;
            removeBlankLines(text);
            event.size = size - text.size();
            return event;
        }
        hasLine = true;
        const std::size_t colon = line->find(':');
        event.wellFormed = event.wellFormed && colon != std::string_view::npos;
        event.hasField = event.hasField || colon != 0;
        if (line->substr(0, colon) == "id") {
            ++event.idCount;
            event.id = valueOf(*line);
        }
    }
    return std::nullopt;
}

StreamFault EventStream::check(const Event &event) const
{
    if (!event.wellFormed || event.idCount > 1) {
        return StreamFault::NoEvent;
    }
    if (!event.hasField || !m_lastNumber) {
        return StreamFault::None;
    }
    const std::optional<std::uint64_t> number = parseNumber(event.id);
    const bool isNext = number && *number > *m_lastNumber && *number - *m_lastNumber == 1;
    return isNext ? StreamFault::None : StreamFault::NotNext;
}

void EventStream::accept(const Event &event)
{
    if (!event.hasField) {
        return;
    }
    if (event.idCount > 0) {
        m_lastId = std::string(event.id);
    }
    if (!m_hasEvents || m_lastNumber) {
        m_lastNumber = parseNumber(event.id);
    }
    m_hasEvents = true;
    m_awaitsNext = false;
}

} // namespace marigoldspool
