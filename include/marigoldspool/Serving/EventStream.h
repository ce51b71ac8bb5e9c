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
    /// Buffers \p bytes and returns the events that are complete. Returns nothing more once the
    /// stream is malformed.
    std::string feed(std::string_view bytes);
    /// Whether the stream contains text that is no event, or an event without end.
    bool isMalformed() const { return m_malformed; }
    /// The id of the last complete event that has one; empty before the first.
    const std::string &lastId() const { return m_lastId; }
    /// Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_partial.empty(); }
    /// Prepares for the stream of another endpoint, which resumes after the last complete event.
    void beginResumed()
    {
        m_partial.clear();
        m_malformed = false;
    }

private:
    static std::size_t wellFormedBytes(std::string_view events);
    void updateLastId(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
    bool m_malformed = false;
};

} // namespace marigoldspool

#endif
