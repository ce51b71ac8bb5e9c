#include "marigoldspool/Operator/InstanceClient.h"

#include "marigoldspool/Support/IpAddress.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace marigoldspool {

InstanceClient::~InstanceClient() = default;

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// The status of an instance with thousands of models and endpoints stays below 1 MB.
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{16} << 20;

class InstanceCall : public std::enable_shared_from_this<InstanceCall>
{
public:
    InstanceCall(asio::io_context &io, std::string address, Callback<InstanceResponse> done)
        : m_stream(io)
        , m_address(std::move(address))
        , m_done(std::move(done))
    {
        m_parser.body_limit(MaxBodyBytes);
    }

    void start(std::string_view target, Duration timeout)
    {
        const Expected<IpAddress> split = splitAddress(m_address);
        if (!split) {
            asio::post(m_stream.get_executor(), [self = shared_from_this(), error = split.error()] {
                self->m_done(tl::make_unexpected(error));
            });
            return;
        }
        m_request = {http::verb::get, std::string(target), 11};
        m_request.set(http::field::host, m_address);
        m_request.set(http::field::connection, "close");
        // One timeout covers connecting, writing and reading.
        m_stream.expires_after(timeout);
        m_stream.async_connect(
            asio::ip::tcp::endpoint(asio::ip::make_address(split->host), split->port),
            [self = shared_from_this()](beast::error_code ec) {
                if (!self->hasFailed(ec)) {
                    self->write();
                }
            });
    }

private:
    void write()
    {
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](beast::error_code ec, std::size_t) {
                              if (!self->hasFailed(ec)) {
                                  self->read();
                              }
                          });
    }

    void read()
    {
        http::async_read(m_stream, m_buffer, m_parser,
                         [self = shared_from_this()](beast::error_code ec, std::size_t) {
                             if (!self->hasFailed(ec)) {
                                 self->finish();
                             }
                         });
    }

    void finish()
    {
        auto &response = m_parser.get();
        m_done(
            InstanceResponse{static_cast<int>(response.result_int()), std::move(response.body())});
    }

    bool hasFailed(beast::error_code ec)
    {
        if (!ec) {
            return false;
        }
        if (ec == beast::error::timeout) {
            m_done(unexpectedError(ErrorKind::Timeout, m_address + " did not answer in time",
                                   "try again, or raise --call-timeout"));
        } else if (ec.category() == http::make_error_code(http::error::end_of_stream).category()) {
            m_done(unexpectedError(ErrorKind::Malformed,
                                   m_address
                                       + " did not send a complete HTTP response: " + ec.message(),
                                   "check that the address is that of an instance"));
        } else {
            m_done(unexpectedError(ErrorKind::Unavailable,
                                   m_address + " cannot be reached: " + ec.message(),
                                   "check the address and that the instance is running"));
        }
        return true;
    }

    beast::tcp_stream m_stream;
    std::string m_address;
    Callback<InstanceResponse> m_done;
    http::request<http::empty_body> m_request;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
};

class HttpInstanceClient final : public InstanceClient
{
public:
    explicit HttpInstanceClient(asio::io_context &io)
        : m_io(io)
    { }

    void get(std::string_view address, std::string_view target, Duration timeout,
             Callback<InstanceResponse> done) override
    {
        std::make_shared<InstanceCall>(m_io, std::string(address), std::move(done))
            ->start(target, timeout);
    }

private:
    asio::io_context &m_io;
};

} // namespace

std::unique_ptr<InstanceClient> makeHttpInstanceClient(asio::io_context &io)
{
    return std::make_unique<HttpInstanceClient>(io);
}

} // namespace marigoldspool
