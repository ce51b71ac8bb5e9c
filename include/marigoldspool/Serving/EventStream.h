#ifndef MARIGOLDSPOOL_SERVING_EVENTSTREAM_H
#define MARIGOLDSPOOL_SERVING_EVENTSTREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldspool {

/// Why an endpoint's stream is not passed on any further.
enum class StreamFault {
    None,
    /// Text that is no event, or an event without end.
    NoEvent,
    /// An event that does not follow the one before: its id is missing or not the next number.
    NotNext,
};

/// Splits a stream of server-sent events into complete events, so that another endpoint can resume
/// the stream after the last one.
///
/// Ids that are whole numbers count up by one. If the first event of a stream has such an id, so
/// must each further one, across all endpoints that contribute to the stream. Other ids cannot show
/// whether a second stream continues the first; streams that have them are not resumed.
class EventStream
{
public:
    EventStream() = default;
    /// A stream that the caller has received up to the event \p lastId; empty for a new one.
    explicit EventStream(std::string lastId);

    /// Buffers \p bytes and returns the events that are complete. Returns nothing more once the
    /// stream has a fault.
    std::string feed(std::string_view bytes);
    StreamFault fault() const { return m_fault; }
    bool isMalformed() const { return m_fault != StreamFault::None; }
    /// The id of the last complete event that has one; empty before the first.
    const std::string &lastId() const { return m_lastId; }
    /// Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_partial.empty(); }
    /// Whether the stream of another endpoint can be checked to continue this one.
    bool canResume() const { return m_hasEvents && m_lastNumber.has_value(); }
    /// Prepares for the stream of another endpoint, which resumes after the last complete event.
    void beginResumed();

private:
    struct Event;

    static std::optional<Event> readEvent(std::string_view text);
    StreamFault check(const Event &event) const;
    void accept(const Event &event);

    std::string m_partial;
    std::string m_lastId;
    /// The number of the last event, if the stream's ids are numbers.
    std::optional<std::uint64_t> m_lastNumber;
    bool m_hasEvents = false;
    /// Whether the current endpoint has yet to send the next event.
    bool m_awaitsNext = false;
    StreamFault m_fault = StreamFault::None;
};

} // namespace marigoldspool

#endif
