#ifndef MARIGOLDSPOOL_GATEWAY_SSESCANNER_H
#define MARIGOLDSPOOL_GATEWAY_SSESCANNER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace marigoldspool {

/// Scans a stream of server-sent events, in pieces of any size, to detect whether it is complete.
class SseScanner
{
public:
    void feed(std::string_view bytes);

    /// The event `data: [DONE]` has come as a whole, with the empty line that ends it.
    bool isDone() const { return m_done; }
    /// Events with data so far, the end marker not counted.
    std::size_t dataEvents() const { return m_dataEvents; }

private:
    void endLine();

    /// Start of the current line, truncated to the length needed to recognize the marker.
    std::string m_line;
    bool m_skipLineFeed = false;
    bool m_eventHasData = false;
    bool m_eventIsMarker = false;
    bool m_done = false;
    std::size_t m_dataEvents = 0;
};

} // namespace marigoldspool

#endif
