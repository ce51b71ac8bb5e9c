#include "marigoldspool/Gateway/SseScanner.h"

namespace marigoldspool {

namespace {

constexpr std::string_view DataField = "data:";
constexpr std::string_view Marker = "[DONE]";
// One byte more than the longest form of the marker, to distinguish longer lines from it.
constexpr std::size_t MaxLineBytes = DataField.size() + 1 + Marker.size() + 1;

} // namespace

void SseScanner::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (m_skipLineFeed) {
            m_skipLineFeed = false;
            if (bytes.front() == '\n') {
                bytes.remove_prefix(1);
                continue;
            }
        }
        const std::size_t end = bytes.find_first_of("\r\n");
        const std::string_view part = bytes.substr(0, end);
        m_line.append(part.substr(0, MaxLineBytes - m_line.size()));
        if (end == std::string_view::npos) {
            return;
        }
        m_skipLineFeed = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        endLine();
    }
}

void SseScanner::endLine()
{
    std::string_view line = m_line;
    if (line.empty()) {
        if (m_eventIsMarker) {
            m_done = true;
        } else if (m_eventHasData) {
            ++m_dataEvents;
        }
        m_eventHasData = false;
        m_eventIsMarker = false;
        return;
    }
    if (line.substr(0, DataField.size()) == DataField) {
        line.remove_prefix(DataField.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        // An event of several data lines is not the marker.
        m_eventIsMarker = !m_eventHasData && line == Marker;
        m_eventHasData = true;
    }
    m_line.clear();
}

} // namespace marigoldspool
