#include "Daemon/AnswerSink.h"

#include "marigoldspool/Gateway/OpenAi.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

// Small enough that one large answer does not delay other messages to the same peer.
constexpr std::size_t ForwardChunkBytes = std::size_t{64} * 1024;

// The longest line ends before and of a blank line.
constexpr std::size_t MaxBlankLineBytes = std::string_view("\r\n\r\n").size();

std::vector<HeaderField> refusalHeaders(const Refusal &refusal, const RequestId &id)
{
    std::vector<HeaderField> headers{{"Content-Type", "application/json"},
                                     {"X-Request-Id", id.str()}};
    if (std::optional<std::string> retryAfter = retryAfterValue(refusal)) {
        headers.push_back({"Retry-After", std::move(*retryAfter)});
    }
    if (refusalHttpStatus(refusal.reason) == 401) {
        headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return headers;
}

} // namespace

AnswerSink::~AnswerSink() = default;

HttpAnswerSink::HttpAnswerSink(RequestId id, std::shared_ptr<ResponseSink> sink)
    : m_id(std::move(id))
    , m_sink(std::move(sink))
{ }

void HttpAnswerSink::head(int status, gsl::span<const HeaderField> headers, bool stream)
{
    std::vector<HeaderField> fields(headers.begin(), headers.end());
    fields.push_back({"X-Request-Id", m_id.str()});
    m_started = true;
    m_stream = stream;
    m_sink->head(status, fields, stream);
}

void HttpAnswerSink::data(std::string_view bytes)
{
    if (m_stream) {
        m_events.feed(bytes);
        m_tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), MaxBlankLineBytes)));
        m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), MaxBlankLineBytes));
    }
    m_sink->data(bytes);
}

bool HttpAnswerSink::isBetweenEvents() const
{
    const auto endsWith = [this](std::string_view blankLine) {
        return m_tail.size() >= blankLine.size()
            && m_tail.compare(m_tail.size() - blankLine.size(), blankLine.size(), blankLine) == 0;
    };
    return m_tail.empty() || endsWith("\n\n") || endsWith("\r\n\r\n") || endsWith("\r\r");
}

void HttpAnswerSink::finish()
{
    m_sink->finish();
}

void HttpAnswerSink::refuse(const Refusal &refusal)
{
    if (!m_started) {
        m_started = true;
        m_sink->head(refusalHttpStatus(refusal.reason), refusalHeaders(refusal, m_id), false);
        m_sink->data(errorBody(refusal, m_id));
        m_sink->finish();
        return;
    }
    // Behind a part of an event, the error would be read as the rest of it.
    if (m_stream && isBetweenEvents()) {
        m_sink->data(errorEvent(refusal, m_id));
    }
    m_sink->abort();
}

PeerAnswerSink::PeerAnswerSink(RequestId id, InstanceId receiver, PeerService &peers)
    : m_id(std::move(id))
    , m_receiver(std::move(receiver))
    , m_peers(peers)
{ }

void PeerAnswerSink::head(int status, gsl::span<const HeaderField> headers, bool stream)
{
    m_peers.send(m_receiver, ForwardHead{m_id, status, {headers.begin(), headers.end()}, stream});
}

void PeerAnswerSink::data(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::string_view part = bytes.substr(0, ForwardChunkBytes);
        m_peers.send(m_receiver, ForwardData{m_id, m_nextIndex++, std::string(part), false});
        bytes.remove_prefix(part.size());
    }
}

void PeerAnswerSink::finish()
{
    m_peers.send(m_receiver, ForwardData{m_id, m_nextIndex++, {}, true});
}

void PeerAnswerSink::refuse(const Refusal &refusal)
{
    m_peers.send(m_receiver,
                 ForwardRefusal{m_id, refusal.reason, refusal.ran, refusal.message, refusal.remedy,
                                toMilliseconds(refusal.retryAfter)});
}

} // namespace marigoldspool
