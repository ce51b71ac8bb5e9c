#ifndef MARIGOLDSPOOL_LIB_DAEMON_ENDPOINTATTEMPT_H
#define MARIGOLDSPOOL_LIB_DAEMON_ENDPOINTATTEMPT_H

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Gateway/SseScanner.h"
#include "marigoldspool/Routing/RetryPolicy.h"

#include <string>
#include <vector>

namespace marigoldspool {

/// Receives the answer of one try at an endpoint.
class AttemptObserver
{
public:
    virtual ~AttemptObserver();
    /// The answer begins; after this it can only be finished or cut off.
    virtual void onAnswerHead(const RequestId &request, int status,
                              gsl::span<const HeaderField> headers, bool stream) = 0;
    virtual void onAnswerData(const RequestId &request, std::string_view bytes) = 0;
    virtual void onAttemptEnded(const RequestId &request, EndpointOutcome outcome) = 0;
};

/// Judges the answer of one try. An answer with a known length is passed on only when it is whole,
/// so that a broken one can still be replaced by another try; a stream is passed on as it comes.
class EndpointAttempt final : public EndpointCallHandler
{
public:
    /// \p observer must outlive the call.
    EndpointAttempt(RequestId request, AttemptObserver &observer);

    void onHead(int status, gsl::span<const HeaderField> headers) override;
    void onData(std::string_view bytes) override;
    void onComplete() override;
    void onFailure(SendStage stage, Error error) override;

private:
    void forwardHead();
    EndpointOutcome classifyAnswer() const;

    RequestId m_request;
    AttemptObserver &m_observer;
    int m_status = 0;
    std::vector<HeaderField> m_headers;
    bool m_eventStream = false;
    bool m_headForwarded = false;
    std::string m_buffer;
    SseScanner m_events;
};

} // namespace marigoldspool

#endif
