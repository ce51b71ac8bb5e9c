#include "marigoldspool/Serving/EventStream.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// An endpoint in trouble may send bytes without ever ending an event.
constexpr std::size_t MaxEventBytes = 256U << 10U;

// Position after the last blank line, or 0.
std::size_t endOfLastEvent(std::string_view text)
{
    const auto positionAfter = [text](std::string_view blankLine) {
        const std::size_t at = text.rfind(blankLine);
        return at == std::string_view::npos ? 0 : at + blankLine.size();
    };
    return std::max(positionAfter("\n\n"), positionAfter("\r\n\r\n"));
}

} // namespace

std::string EventStream::feed(std::string_view bytes)
{
    if (m_malformed) {
        return {};
    }
    m_partial.append(bytes);
    std::string events = m_partial.substr(0, endOfLastEvent(m_partial));
    m_partial.erase(0, events.size());
    const std::size_t wellFormed = wellFormedBytes(events);
    if (m_partial.size() > MaxEventBytes || wellFormed < events.size()) {
        m_malformed = true;
        m_partial.clear();
        events.resize(wellFormed);
    }
    updateLastId(events);
    return events;
}

// Bytes of the events before the first one that contains a line without a field. Blank lines alone
// are no event.
std::size_t EventStream::wellFormedBytes(std::string_view events)
{
    std::size_t eventBegin = 0;
    bool hasField = false;
    for (std::size_t at = 0; at < events.size();) {
        const std::size_t end = std::min(events.find('\n', at), events.size());
        std::string_view line = events.substr(at, end - at);
        at = std::min(end + 1, events.size());
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            eventBegin = hasField ? at : eventBegin;
        } else if (line.find(':') == std::string_view::npos) {
            return eventBegin;
        } else {
            hasField = true;
        }
    }
    return hasField ? events.size() : 0;
}

void EventStream::updateLastId(std::string_view events)
{
    constexpr std::string_view IdField = "id:";
    for (std::size_t at = 0; at < events.size();) {
        const std::size_t end = std::min(events.find('\n', at), events.size());
        std::string_view line = events.substr(at, end - at);
        at = end + 1;
        if (line.substr(0, IdField.size()) != IdField) {
            continue;
        }
        line.remove_prefix(IdField.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        m_lastId = std::string(line);
    }
}

} // namespace marigoldspool
