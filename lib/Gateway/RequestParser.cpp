#include "RequestParser.h"

#include "marigoldspool/Http/HttpFields.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace marigoldspool {

namespace http = boost::beast::http;

namespace {

// Limits the memory reserved for a declared body length, which the caller may not actually send.
constexpr std::size_t MaxReservedBytes = 65'536;

std::string toString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

class RequestParser::Impl final : public http::basic_parser<true>
{
public:
    /// Whether \p body must not be used before more of it is there.
    bool needsMoreOf(std::string_view body) const
    {
        return chunked() && !m_hasChunk && isPartOfLastChunk(body);
    }

    HttpRequest request;
    bool headComplete = false;

private:
    void on_request_impl(http::verb, boost::beast::string_view method,
                         boost::beast::string_view target, int, boost::beast::error_code &) override
    {
        request.method = toString(method);
        request.target = toString(target);
    }

    void on_response_impl(int, boost::beast::string_view, int, boost::beast::error_code &) override
    { }

    // Trailer fields are dropped, because a field after the body must not act as a header.
    void on_field_impl(http::field, boost::beast::string_view name, boost::beast::string_view value,
                       boost::beast::error_code &) override
    {
        if (!headComplete) {
            request.headers.push_back({toString(name), toString(value)});
        }
    }

    void on_header_impl(boost::beast::error_code &) override { headComplete = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length,
                           boost::beast::error_code &) override
    {
        if (length) {
            request.body.reserve(std::min<std::size_t>(*length, MaxReservedBytes));
        }
    }

    std::size_t on_body_impl(boost::beast::string_view body, boost::beast::error_code &) override
    {
        request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view,
                              boost::beast::error_code &) override
    {
        m_hasChunk = true;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view body,
                                   boost::beast::error_code &) override
    {
        request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(boost::beast::error_code &) override { }

    bool m_hasChunk = false;
};

RequestParser::RequestParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : m_maxHeaderBytes(maxHeaderBytes)
    , m_impl(std::make_unique<Impl>())
{
    m_impl->eager(true);
    m_impl->header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
    m_impl->body_limit(maxBodyBytes);
}

RequestParser::~RequestParser() = default;

bool RequestParser::expectsContinue() const
{
    const std::string *expect = findHeader(m_impl->request.headers, "Expect");
    return isHttp11() && expect != nullptr && equalsIgnoringCase(*expect, "100-continue");
}

bool RequestParser::keepAlive() const
{
    return m_headDone && m_impl->keep_alive();
}

bool RequestParser::isHead() const
{
    return m_impl->request.method == "HEAD";
}

std::size_t RequestParser::bodyBytes() const
{
    const auto announced = m_headDone ? m_impl->content_length() : boost::none;
    return std::max<std::size_t>(announced.value_or(0), m_impl->request.body.size());
}

HttpRequest RequestParser::takeRequest()
{
    HttpRequest request = std::move(m_impl->request);
    removeHopByHopFields(request.headers);
    const auto describesTransfer = [](const HeaderField &field) {
        return equalsIgnoringCase(field.name, "Content-Length")
            || equalsIgnoringCase(field.name, "Expect");
    };
    request.headers.erase(
        std::remove_if(request.headers.begin(), request.headers.end(), describesTransfer),
        request.headers.end());
    return request;
}

RequestParser::Result RequestParser::fail(int status, std::string message, std::string remedy)
{
    m_fault.status = status;
    m_fault.reason = status == 413 ? RefusalReason::BodyTooLarge : RefusalReason::Malformed;
    m_fault.message = std::move(message);
    m_fault.remedy = std::move(remedy);
    return Result::Failed;
}

RequestParser::Result RequestParser::malformed(std::string message)
{
    return fail(400, std::move(message), "send a request that follows RFC 9112");
}

RequestParser::Result RequestParser::feed(std::string &in)
{
    if (!m_headDone) {
        const Result result = feedHead(in);
        if (result != Result::Complete || m_impl->is_done()) {
            return result;
        }
    }
    return feedBody(in);
}

RequestParser::Result RequestParser::feedHead(std::string &in)
{
    // Some clients send an empty line after a body; RFC 9112 lets a server ignore it.
    while (m_scanner.scannedBytes() == 0 && in.compare(0, 2, "\r\n") == 0) {
        in.erase(0, 2);
    }
    const std::string_view head = std::string_view(in).substr(0, m_maxHeaderBytes);
    const HeadScanner::Result scanned = m_scanner.scan(head.substr(m_scanner.scannedBytes()));
    if (scanned == HeadScanner::Result::Invalid) {
        return malformed("the request head contains a bare CR or LF, a folded line or a NUL");
    }
    if (scanned == HeadScanner::Result::NeedMore) {
        if (in.size() >= m_maxHeaderBytes) {
            return fail(431, "the request head is larger than allowed",
                        "send at most " + std::to_string(m_maxHeaderBytes) + " bytes of headers");
        }
        return Result::NeedMore;
    }
    const std::size_t headBytes = m_scanner.scannedBytes();
    boost::beast::error_code ec;
    m_impl->put(boost::asio::buffer(in.data(), headBytes), ec);
    if (ec == http::error::body_limit) {
        return fail(413, "the request body is larger than allowed", "send a smaller body");
    }
    if (ec && ec != http::error::need_more) {
        return malformed("the request head is malformed: " + ec.message());
    }
    if (!m_impl->headComplete) {
        return malformed("the request head is malformed");
    }
    m_http11 = in.find(" HTTP/1.1\r\n") < in.find("\r\n");
    in.erase(0, headBytes);
    m_headDone = true;
    return checkHead();
}

RequestParser::Result RequestParser::checkHead()
{
    const HttpRequest &request = m_impl->request;
    std::size_t hosts = 0;
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    for (const HeaderField &field : request.headers) {
        if (equalsIgnoringCase(field.name, "Host")) {
            ++hosts;
        } else if (equalsIgnoringCase(field.name, "Content-Length")) {
            ++lengths;
            if (field.value.find_first_not_of("0123456789") != std::string::npos) {
                return malformed("Content-Length is not one number");
            }
        } else if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
            ++encodings;
            if (!equalsIgnoringCase(field.value, "chunked") || !m_http11) {
                return malformed("Transfer-Encoding is not chunked, or the request is HTTP/1.0");
            }
        }
    }
    if (lengths + encodings > 1) {
        return malformed("the length of the body is given more than once");
    }
    if (hosts > 1 || (hosts == 0 && m_http11)) {
        return malformed("the request does not have exactly one Host field");
    }
    if (!isWritableTarget(request.target)) {
        return malformed("the request target does not begin with a slash");
    }
    if (request.target.find('#') != std::string::npos || hasDotSegment(request.target)) {
        return malformed("the request target has a fragment or a segment \".\" or \"..\"");
    }
    return Result::Complete;
}

RequestParser::Result RequestParser::feedBody(std::string &in)
{
    if (in.empty() || m_impl->needsMoreOf(in)) {
        return Result::NeedMore;
    }
    boost::beast::error_code ec;
    const std::size_t n = m_impl->put(boost::asio::buffer(in), ec);
    in.erase(0, n);
    if (ec == http::error::body_limit) {
        return fail(413, "the request body is larger than allowed", "send a smaller body");
    }
    if (ec && ec != http::error::need_more) {
        return malformed("the request body is malformed: " + ec.message());
    }
    if (m_impl->is_done()) {
        return Result::Complete;
    }
    // The remaining input is an incomplete chunk header or trailer, which have no other size limit.
    if (in.size() >= m_maxHeaderBytes) {
        return fail(431, "a chunk header or the trailer is larger than allowed",
                    "send shorter chunk extensions and trailers");
    }
    return Result::NeedMore;
}

} // namespace marigoldspool
