#ifndef MARIGOLDSPOOL_LIB_GATEWAY_RESPONSEWRITER_H
#define MARIGOLDSPOOL_LIB_GATEWAY_RESPONSEWRITER_H

#include "HttpConnection.h"

#include <memory>
#include <string>

namespace marigoldspool {

/// Formats the answer to one request onto its connection.
class ResponseWriter final : public ResponseSink
{
public:
    struct RequestShape {
        bool isHead = false;
        bool isHttp11 = true;
        bool keepAlive = true;
    };

    ResponseWriter(std::shared_ptr<HttpConnection> connection, RequestShape shape);
    /// Answers with an error if the handler dropped the sink without an answer.
    ~ResponseWriter() override;

    void head(int status, gsl::span<const HeaderField> headers, bool stream) override;
    void data(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t pendingBytes() const override;
    void onCallerGone(std::function<void()> handler) override;

    /// The connection has closed; later calls have no effect.
    void notifyCallerGone();

private:
    void writeHead(std::size_t bodyBytes);
    void handleDroppedAnswer();
    bool hasNoBody() const;
    bool isChunked() const { return m_stream && m_shape.isHttp11 && !hasNoBody(); }
    bool closesAfter() const;

    std::shared_ptr<HttpConnection> m_connection;
    RequestShape m_shape;
    int m_status = 0;
    std::vector<HeaderField> m_headers;
    bool m_stream = false;
    /// Whether the head announced that the connection closes after the answer.
    bool m_closesAfter = false;
    std::string m_body;
    std::function<void()> m_onCallerGone;
};

/// Head and body of a JSON error answer that closes the connection.
std::string formatFault(const RequestFault &fault);

} // namespace marigoldspool

#endif
