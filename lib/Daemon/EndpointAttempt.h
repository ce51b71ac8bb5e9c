#ifndef MARIGOLDSPOOL_LIB_DAEMON_ENDPOINTATTEMPT_H
#define MARIGOLDSPOOL_LIB_DAEMON_ENDPOINTATTEMPT_H

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Gateway/SseScanner.h"
#include "marigoldspool/Routing/RetryPolicy.h"

#include <string>
#include <vector>

namespace marigoldspool {

/// Receives the answer of one attempt at an endpoint.
class AttemptObserver
{
public:
    virtual ~AttemptObserver();
    /// The answer starts; from here on the request cannot be retried at another endpoint.
    virtual void onAnswerHead(const RequestId &request, int status,
                              gsl::span<const HeaderField> headers, bool stream) = 0;
    virtual void onAnswerData(const RequestId &request, std::string_view bytes) = 0;
    virtual void onAttemptEnded(const RequestId &request, EndpointOutcome outcome) = 0;
};

/// Classifies and forwards the answer of one attempt. A stream is forwarded as it arrives, any
/// other answer only when it is complete, so that the request can be retried if the answer breaks
/// off.
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
