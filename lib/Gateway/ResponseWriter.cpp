#include "ResponseWriter.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Http/HttpFields.h"
#include "marigoldspool/Support/EventLog.h"

#include <array>
#include <cassert>
#include <charconv>

namespace marigoldspool {

namespace {

void appendStatusLine(std::string &out, int status)
{
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    out.append(reasonPhrase(status)).append("\r\n");
}

void appendChunkHeader(std::string &out, std::size_t size)
{
    std::array<char, 2 * sizeof(size)> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), size, 16).ptr;
    out.append(digits.begin(), end).append("\r\n");
}

} // namespace

std::string formatFault(const RequestFault &fault)
{
    const Refusal refusal{fault.reason, RanState::No, fault.message, fault.remedy};
    const std::string body = errorBody(refusal, RequestId());
    std::string out;
    appendStatusLine(out, fault.status);
    appendField(out, "Content-Type", "application/json");
    appendField(out, "Content-Length", std::to_string(body.size()));
    if (fault.retryAfter.count() > 0) {
        appendField(out, "Retry-After", std::to_string(fault.retryAfter.count()));
    }
    appendField(out, "Connection", "close");
    return out.append("\r\n").append(body);
}

ResponseWriter::ResponseWriter(std::shared_ptr<HttpConnection> connection, RequestShape shape)
    : m_connection(std::move(connection))
    , m_shape(shape)
{ }

ResponseWriter::~ResponseWriter()
{
    if (m_connection) {
        handleDroppedAnswer();
    }
}

void ResponseWriter::handleDroppedAnswer()
{
    logEvent(LogLevel::Error, "answer_dropped", {{"status", std::to_string(m_status)}});
    if (m_status != 0) {
        abort();
        return;
    }
    const Refusal refusal{RefusalReason::OutcomeUnknown, RanState::Unknown,
                          "the request ended without an answer",
                          "check its effect before sending it again"};
    const std::array<HeaderField, 1> headers{{{"Content-Type", "application/json"}}};
    head(500, headers, false);
    data(errorBody(refusal, RequestId()));
    finish();
}

bool ResponseWriter::hasNoBody() const
{
    return m_shape.isHead || m_status == 204 || m_status == 304;
}

// A stream to an HTTP/1.0 caller is terminated by closing the connection.
bool ResponseWriter::closesAfter() const
{
    const bool endsWithConnection = m_stream && !m_shape.isHttp11 && !hasNoBody();
    return !m_shape.keepAlive || endsWithConnection || m_connection->isStopping();
}

void ResponseWriter::head(int status, gsl::span<const HeaderField> headers, bool stream)
{
    if (!m_connection) {
        return;
    }
    assert(m_status == 0 && "head() is called once");
    assert(status >= 200 && status <= 599 && "the status is a final one");
    m_status = status;
    m_stream = stream;
    m_headers.assign(headers.begin(), headers.end());
    removeHopByHopFields(m_headers);
    if (m_stream) {
        writeHead(0);
    }
}

void ResponseWriter::writeHead(std::size_t bodyBytes)
{
    std::string out;
    out.reserve(512 + bodyBytes);
    appendStatusLine(out, m_status);
    std::string length = std::to_string(bodyBytes);
    for (const HeaderField &field : m_headers) {
        if (equalsIgnoringCase(field.name, "Content-Length")) {
            // Only the answer to HEAD may give the length of a body that is not sent.
            if (m_shape.isHead && bodyBytes == 0) {
                length = field.value;
            }
            continue;
        }
        if (isWritableField(field)) {
            appendField(out, field.name, field.value);
        }
    }
    if (isChunked()) {
        appendField(out, "Transfer-Encoding", "chunked");
    } else if (!m_stream && m_status != 204 && m_status != 304) {
        appendField(out, "Content-Length", length);
    }
    m_closesAfter = closesAfter();
    if (m_closesAfter) {
        appendField(out, "Connection", "close");
    } else if (!m_shape.isHttp11) {
        appendField(out, "Connection", "keep-alive");
    }
    out.append("\r\n");
    if (!m_stream && !hasNoBody()) {
        out.append(m_body);
    }
    m_connection->write(out);
}

void ResponseWriter::data(std::string_view bytes)
{
    // An empty chunk would be the end marker.
    if (!m_connection || bytes.empty()) {
        return;
    }
    assert(m_status != 0 && "head() comes before data()");
    if (!m_stream) {
        m_body.append(bytes);
        return;
    }
    if (hasNoBody()) {
        return;
    }
    if (!isChunked()) {
        m_connection->write(bytes);
        return;
    }
    std::string chunk;
    chunk.reserve(bytes.size() + 20);
    appendChunkHeader(chunk, bytes.size());
    chunk.append(bytes).append("\r\n");
    m_connection->write(chunk);
}

void ResponseWriter::finish()
{
    if (!m_connection) {
        return;
    }
    assert(m_status != 0 && "head() comes before finish()");
    if (!m_stream) {
        writeHead(m_body.size());
    } else if (isChunked()) {
        m_connection->write("0\r\n\r\n");
    }
    const std::shared_ptr<HttpConnection> connection = std::move(m_connection);
    m_onCallerGone = nullptr;
    connection->detachWriter();
    connection->endAnswer(!m_closesAfter);
}

void ResponseWriter::abort()
{
    if (!m_connection) {
        return;
    }
    const std::shared_ptr<HttpConnection> connection = std::move(m_connection);
    m_onCallerGone = nullptr;
    connection->detachWriter();
    connection->abortAnswer(!m_shape.isHttp11);
}

std::size_t ResponseWriter::pendingBytes() const
{
    return m_connection ? m_connection->pendingBytes() : 0;
}

void ResponseWriter::onCallerGone(std::function<void()> handler)
{
    if (m_connection) {
        m_onCallerGone = std::move(handler);
    }
}

void ResponseWriter::notifyCallerGone()
{
    m_connection.reset();
    const std::function<void()> handler = std::move(m_onCallerGone);
    m_onCallerGone = nullptr;
    if (handler) {
        handler();
    }
}

} // namespace marigoldspool
