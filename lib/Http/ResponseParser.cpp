#include "marigoldspool/Http/ResponseParser.h"

#include "marigoldspool/Http/HeadScanner.h"
#include "marigoldspool/Http/HttpFields.h"

#include <charconv>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace marigoldspool {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeadBytes = 65'536;
constexpr int MaxInterimAnswers = 8;
constexpr int FirstFinalStatus = 200;
constexpr int LastStatus = 599;

} // namespace

class ResponseParser::Impl final : public http::basic_parser<false>
{
public:
    /// Checks the lines of the head in \p bytes, which follow the first usedBytes of the answer.
    bool checkHeadLines(std::string_view bytes)
    {
        if (m_isHeadChecked) {
            return true;
        }
        const HeadScanner::Result result =
            m_scanner.scan(bytes.substr(m_scanner.scannedBytes() - usedBytes));
        m_isHeadChecked = result == HeadScanner::Result::Complete;
        return result != HeadScanner::Result::Invalid;
    }

    /// Whether \p bytes must not be used before more of them are there.
    bool needsMoreOf(std::string_view bytes) const
    {
        return headComplete && chunked() && !m_hasChunk && isPartOfLastChunk(bytes);
    }

    std::size_t usedBytes = 0;
    int status = 0;
    std::vector<HeaderField> headers;
    std::vector<std::string_view> bodyParts;
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    bool badLength = false;
    bool headComplete = false;

private:
    void on_request_impl(http::verb, boost::beast::string_view, boost::beast::string_view, int,
                         boost::beast::error_code &) override
    { }

    void on_response_impl(int code, boost::beast::string_view, int,
                          boost::beast::error_code &ec) override
    {
        status = code;
        if (code < 100 || code > LastStatus) {
            ec = http::error::bad_status;
        }
    }

    void on_field_impl(http::field field, boost::beast::string_view name,
                       boost::beast::string_view value, boost::beast::error_code &) override
    {
        if (headComplete) {
            return;
        }
        const std::string_view text(value.data(), value.size());
        if (field == http::field::content_length) {
            ++lengths;
            badLength = badLength || text.find_first_not_of("0123456789") != std::string_view::npos;
        } else if (field == http::field::transfer_encoding) {
            ++encodings;
            badLength = badLength || !equalsIgnoringCase(text, "chunked");
        }
        headers.push_back({std::string(name.data(), name.size()), std::string(text)});
    }

    // With an ambiguous length, part of this answer could be taken for the next one.
    void on_header_impl(boost::beast::error_code &ec) override
    {
        headComplete = true;
        if (badLength || lengths + encodings > 1) {
            ec = http::error::bad_content_length;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &,
                           boost::beast::error_code &) override
    { }

    std::size_t on_body_impl(boost::beast::string_view body, boost::beast::error_code &) override
    {
        bodyParts.emplace_back(body.data(), body.size());
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
        bodyParts.emplace_back(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(boost::beast::error_code &) override { }

    HeadScanner m_scanner;
    bool m_isHeadChecked = false;
    bool m_hasChunk = false;
};

ResponseParser::ResponseParser(bool isHead, std::uint64_t maxBodyBytes)
    : m_isHead(isHead)
    , m_maxBodyBytes(maxBodyBytes)
{
    reset();
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::reset()
{
    m_impl = std::make_unique<Impl>();
    m_impl->eager(true);
    m_impl->skip(m_isHead);
    m_impl->header_limit(MaxHeadBytes);
    m_impl->body_limit(m_maxBodyBytes);
}

std::size_t ResponseParser::feed(std::string_view bytes, std::string &problem)
{
    std::size_t used = 0;
    m_impl->bodyParts.clear();
    while (used < bytes.size() && !m_impl->is_done()) {
        const std::string_view rest = bytes.substr(used);
        if (!m_impl->checkHeadLines(rest)) {
            problem = "the head contains a bare CR or LF, a folded line or a NUL";
            return used;
        }
        if (m_impl->needsMoreOf(rest)) {
            return used;
        }
        boost::beast::error_code ec;
        const std::size_t n = m_impl->put(boost::asio::buffer(rest.data(), rest.size()), ec);
        m_impl->usedBytes += n;
        used += n;
        if (ec && ec != http::error::need_more) {
            problem = ec.message();
            return used;
        }
        const bool isInterim = m_impl->is_done() && m_impl->status < FirstFinalStatus;
        if (!isInterim) {
            break;
        }
        if (++m_interimAnswers > MaxInterimAnswers || m_impl->status == 101) {
            problem = "unexpected interim answers";
            return used;
        }
        reset();
    }
    if (!m_impl->is_done() && bytes.size() - used >= MaxHeadBytes) {
        problem = "the head or a chunk header is too long";
    }
    return used;
}

bool ResponseParser::isHeadDone() const
{
    return m_impl->headComplete;
}

bool ResponseParser::isDone() const
{
    return m_impl->is_done();
}

bool ResponseParser::endsWithConnection() const
{
    return m_impl->headComplete && m_impl->need_eof();
}

bool ResponseParser::keepAlive() const
{
    return m_impl->keep_alive();
}

int ResponseParser::status() const
{
    return m_impl->status;
}

std::optional<std::chrono::seconds> ResponseParser::keepAliveTimeout() const
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string *field = findHeader(m_impl->headers, "Keep-Alive");
    const std::size_t at = field != nullptr ? field->find(Parameter) : std::string::npos;
    if (at == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *begin = field->data() + at + Parameter.size();
    if (std::from_chars(begin, field->data() + field->size(), seconds).ptr == begin) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

bool ResponseParser::finishAtEnd()
{
    boost::beast::error_code ec;
    if (!endsWithConnection()) {
        return false;
    }
    m_impl->bodyParts.clear();
    m_impl->put_eof(ec);
    return !ec && m_impl->is_done();
}

std::vector<HeaderField> ResponseParser::takeHeaders()
{
    std::vector<HeaderField> headers = std::move(m_impl->headers);
    m_impl->headers.clear();
    removeHopByHopFields(headers);
    return headers;
}

const std::vector<std::string_view> &ResponseParser::bodyParts() const
{
    return m_impl->bodyParts;
}

} // namespace marigoldspool
