#ifndef MARIGOLDSPOOL_TESTS_STANDINS_HTTPSESSION_H
#define MARIGOLDSPOOL_TESTS_STANDINS_HTTPSESSION_H

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldspool {

/// One connection to a simulated server; answers one request at a time.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Handler =
        std::function<void(const std::shared_ptr<HttpSession> &session, const Request &request)>;

    HttpSession(boost::asio::ip::tcp::socket socket, Handler handler)
        : m_stream(std::move(socket))
        , m_timer(m_stream.get_executor())
        , m_handler(std::move(handler))
    { }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(MostRequestBytes);
        boost::beast::http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](boost::beast::error_code ec, std::size_t) {
                if (ec || self->m_closed) {
                    self->close();
                    return;
                }
                const Request request = self->m_parser->release();
                self->m_handler(self, request);
            });
    }

    void respond(unsigned status, std::string body)
    {
        if (m_closed) {
            return;
        }
        if (std::exchange(m_loseAnswer, false)) {
            close();
            return;
        }
        m_response = {};
        m_response.version(11);
        m_response.result(status);
        m_response.set(boost::beast::http::field::content_type, "application/json");
        m_response.body() = std::move(body);
        m_response.prepare_payload();
        const auto delay = std::exchange(m_delay, std::chrono::milliseconds(0));
        if (delay.count() == 0) {
            write();
            return;
        }
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (!ec && !self->m_closed) {
                self->write();
            }
        });
    }

    void delayNextAnswer(std::chrono::milliseconds delay) { m_delay = delay; }
    void loseNextAnswer() { m_loseAnswer = true; }

    /// Keeps the connection open without an answer until the other side closes it.
    void hang() { read(); }

    void close()
    {
        m_closed = true;
        m_timer.cancel();
        m_stream.close();
    }

private:
    void write()
    {
        boost::beast::http::async_write(
            m_stream, m_response,
            [self = shared_from_this()](boost::beast::error_code ec, std::size_t) {
                if (ec || self->m_closed) {
                    self->close();
                    return;
                }
                self->read();
            });
    }

    static constexpr std::uint64_t MostRequestBytes = 16U << 20U;

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_timer;
    Handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::chrono::milliseconds m_delay{0};
    bool m_loseAnswer = false;
    bool m_closed = false;
};

} // namespace marigoldspool

#endif
