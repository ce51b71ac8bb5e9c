#include "Daemon/EndpointAttempt.h"

#include "marigoldspool/Support/EventLog.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

// A larger answer is forwarded before it is complete, to bound the memory it uses.
constexpr std::size_t MaxBufferedAnswerBytes = std::size_t{4} * 1024 * 1024;

bool isEventStream(gsl::span<const HeaderField> headers)
{
    const std::string *type = findHeader(headers, "Content-Type");
    return type != nullptr && type->rfind("text/event-stream", 0) == 0;
}

// Hop-by-hop fields and the endpoint's request id are not forwarded; the others describe the
// answer.
bool isForwardedField(const HeaderField &field)
{
    for (const std::string_view name :
         {"Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "X-Request-Id"}) {
        if (equalsIgnoringCase(field.name, name)) {
            return false;
        }
    }
    return true;
}

} // namespace

AttemptObserver::~AttemptObserver() = default;

EndpointAttempt::EndpointAttempt(RequestId request, AttemptObserver &observer)
    : m_request(std::move(request))
    , m_observer(observer)
{ }

void EndpointAttempt::onHead(int status, gsl::span<const HeaderField> headers)
{
    m_status = status;
    m_eventStream = isEventStream(headers);
    for (const HeaderField &field : headers) {
        if (isForwardedField(field)) {
            m_headers.push_back(field);
        }
    }
}

void EndpointAttempt::forwardHead()
{
    if (!m_headForwarded) {
        m_headForwarded = true;
        m_observer.onAnswerHead(m_request, m_status, m_headers, m_eventStream);
    }
}

void EndpointAttempt::onData(std::string_view bytes)
{
    if (m_eventStream) {
        forwardHead();
        m_events.feed(bytes);
        m_observer.onAnswerData(m_request, bytes);
        return;
    }
    m_buffer.append(bytes);
    if (m_buffer.size() > MaxBufferedAnswerBytes) {
        forwardHead();
        m_observer.onAnswerData(m_request, std::exchange(m_buffer, {}));
    }
}

void EndpointAttempt::onComplete()
{
    if (m_eventStream && !m_events.isDone()) {
        m_observer.onAttemptEnded(
            m_request, m_headForwarded ? EndpointOutcome::CutOff : EndpointOutcome::MaybeSent);
        return;
    }
    const EndpointOutcome outcome = classifyAnswer();
    if (outcome == EndpointOutcome::Answered) {
        forwardHead();
        if (!m_buffer.empty()) {
            m_observer.onAnswerData(m_request, m_buffer);
        }
    }
    m_observer.onAttemptEnded(m_request, outcome);
}

// A 503 is a refusal only if the endpoint states that it did not run the request; any other 503 is
// an answer.
EndpointOutcome EndpointAttempt::classifyAnswer() const
{
    if (m_status != 503 || m_headForwarded) {
        return EndpointOutcome::Answered;
    }
    const nlohmann::json body = nlohmann::json::parse(m_buffer, nullptr, false);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()
        || body["error"].value("ran", nlohmann::json()) != "no") {
        return EndpointOutcome::Answered;
    }
    return body["error"].value("code", nlohmann::json()) == "model_not_loaded"
        ? EndpointOutcome::RefusedNotLoaded
        : EndpointOutcome::RefusedOverloaded;
}

void EndpointAttempt::onFailure(SendStage stage, Error error)
{
    logEvent(LogLevel::Warning, "endpoint_call_failed",
             {{"request", m_request.str()}, {"error", describeError(error)}});
    if (m_headForwarded) {
        m_observer.onAttemptEnded(m_request, EndpointOutcome::CutOff);
        return;
    }
    m_observer.onAttemptEnded(m_request,
                              stage == SendStage::NotSent ? EndpointOutcome::NotSent
                                                          : EndpointOutcome::MaybeSent);
}

} // namespace marigoldspool
