#ifndef MARIGOLDSPOOL_LIB_DAEMON_ANSWERSINK_H
#define MARIGOLDSPOOL_LIB_DAEMON_ANSWERSINK_H

#include "Daemon/PeerService.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Gateway/SseScanner.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Refusal.h"

#include <memory>
#include <string>

namespace marigoldspool {

/// Head and body of a request as they are forwarded to the endpoint.
struct RequestContent {
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
};

/// Receives the answer to one request: head(), data() and finish(), or one refusal.
class AnswerSink
{
public:
    virtual ~AnswerSink();
    virtual void head(int status, gsl::span<const HeaderField> headers, bool stream) = 0;
    virtual void data(std::string_view bytes) = 0;
    virtual void finish() = 0;
    /// Ends the answer with a refusal, before head() or in the middle of an answer.
    virtual void refuse(const Refusal &refusal) = 0;
    /// Bytes not yet written.
    virtual std::size_t pendingBytes() const = 0;
};

/// Sends the answer to a caller of this instance.
class HttpAnswerSink final : public AnswerSink
{
public:
    HttpAnswerSink(RequestId id, std::shared_ptr<ResponseSink> sink);

    void head(int status, gsl::span<const HeaderField> headers, bool stream) override;
    void data(std::string_view bytes) override;
    void finish() override;
    void refuse(const Refusal &refusal) override;
    std::size_t pendingBytes() const override { return m_sink->pendingBytes(); }

    bool hasStarted() const { return m_started; }
    /// Events of a stream so far; about one token each.
    std::size_t streamedEvents() const { return m_events.dataEvents(); }

private:
    /// Whether the stream has begun no event that it has not ended.
    bool isBetweenEvents() const;

    RequestId m_id;
    std::shared_ptr<ResponseSink> m_sink;
    SseScanner m_events;
    /// The last bytes of the stream.
    std::string m_tail;
    bool m_started = false;
    bool m_stream = false;
};

/// Sends the answer to the instance that received the request.
class PeerAnswerSink final : public AnswerSink
{
public:
    PeerAnswerSink(RequestId id, InstanceId receiver, PeerService &peers);

    void head(int status, gsl::span<const HeaderField> headers, bool stream) override;
    void data(std::string_view bytes) override;
    void finish() override;
    void refuse(const Refusal &refusal) override;
    std::size_t pendingBytes() const override { return 0; }

private:
    RequestId m_id;
    InstanceId m_receiver;
    PeerService &m_peers;
    std::uint64_t m_nextIndex = 0;
};

} // namespace marigoldspool

#endif
