#include "marigoldspool/Serving/EventStream.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Position after the last blank line, or 0.
std::size_t endOfLastEvent(std::string_view text)
{
    const auto behind = [text](std::string_view mark) {
        const std::size_t at = text.rfind(mark);
        return at == std::string_view::npos ? 0 : at + mark.size();
    };
    return std::max(behind("\n\n"), behind("\r\n\r\n"));
}

} // namespace

std::string EventStream::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    const std::size_t end = endOfLastEvent(m_partial);
    if (end == 0) {
        return {};
    }
    std::string whole = m_partial.substr(0, end);
    m_partial.erase(0, end);
    readIds(whole);
    return whole;
}

void EventStream::readIds(std::string_view events)
{
    constexpr std::string_view Field = "id:";
    for (std::size_t at = 0; at < events.size();) {
        const std::size_t end = std::min(events.find('\n', at), events.size());
        std::string_view line = events.substr(at, end - at);
        at = end + 1;
        if (line.substr(0, Field.size()) != Field) {
            continue;
        }
        line.remove_prefix(Field.size());
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
