#ifndef MARIGOLDSPOOL_SERVING_EVENTSTREAM_H
#define MARIGOLDSPOOL_SERVING_EVENTSTREAM_H

#include <string>
#include <string_view>

namespace marigoldspool {

/// Cuts a stream of server-sent events into whole events, so that it can go on at another endpoint
/// after the last one.
class EventStream
{
public:
    /// Takes bytes and returns those that end whole events.
    std::string feed(std::string_view bytes);
    /// The id of the last whole event; empty before the first one with an id.
    const std::string &lastId() const { return m_lastId; }
    /// Bytes of an event that has not ended.
    bool hasPartialEvent() const { return !m_partial.empty(); }
    void dropPartialEvent() { m_partial.clear(); }

private:
    void readIds(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
};

} // namespace marigoldspool

#endif
