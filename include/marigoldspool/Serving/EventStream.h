#ifndef MARIGOLDSPOOL_SERVING_EVENTSTREAM_H
#define MARIGOLDSPOOL_SERVING_EVENTSTREAM_H

#include <string>
#include <string_view>

namespace marigoldspool {

/// Splits a stream of server-sent events into complete events, so that another endpoint can resume
/// the stream after the last one.
class EventStream
{
public:
    /// Buffers \p bytes and returns the events that are complete.
    std::string feed(std::string_view bytes);
    /// The id of the last complete event that has one; empty before the first.
    const std::string &lastId() const { return m_lastId; }
    /// Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_partial.empty(); }
    void dropPartialEvent() { m_partial.clear(); }

private:
    void updateLastId(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
};

} // namespace marigoldspool

#endif
