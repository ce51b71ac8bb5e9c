#include "marigoldspool/Serving/EventStream.h"

#include <algorithm>

namespace marigoldspool {

namespace {

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
    m_partial.append(bytes);
    const std::size_t end = endOfLastEvent(m_partial);
    if (end == 0) {
        return {};
    }
    std::string completeEvents = m_partial.substr(0, end);
    m_partial.erase(0, end);
    updateLastId(completeEvents);
    return completeEvents;
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
