#ifndef MARIGOLDSPOOL_TESTS_PEER_RAWPEER_H
#define MARIGOLDSPOOL_TESTS_PEER_RAWPEER_H

#include "marigoldspool/Peer/PeerHandshake.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket/stream.hpp>

namespace marigoldspool {

/// A dialler that sends arbitrary frames; uses Boost.Beast, independently of the channel's
/// websocketpp.
class RawPeer
{
public:
    RawPeer(boost::asio::io_context &io, std::uint16_t port, const PeerHello &hello,
            const std::string &secret)
        : m_stream(io)
    {
        namespace beast = boost::beast;
        m_stream.set_option(beast::websocket::stream_base::decorator(
            [hello, secret](beast::websocket::request_type &request) {
                request.set(peerHeader::Protocol, std::to_string(hello.protocol));
                request.set(peerHeader::From, hello.from.str());
                request.set(peerHeader::Incarnation, std::to_string(hello.incarnation));
                request.set(peerHeader::Nonce, hello.nonce);
                request.set(peerHeader::Proof, dialProof(secret, hello));
            }));
        m_stream.next_layer().async_connect(
            {boost::asio::ip::address_v4::loopback(), port}, [this](beast::error_code ec) {
                if (ec) {
                    m_failed = true;
                    return;
                }
                m_stream.async_handshake(m_response, "127.0.0.1", "/",
                                         [this](beast::error_code error) {
                                             onOpen(error);
                                         });
            });
    }

    /// Sends one frame; isIdle() must hold before the next call.
    void send(std::vector<std::uint8_t> bytes, bool binary = true)
    {
        m_out = std::move(bytes);
        m_idle = false;
        m_stream.binary(binary);
        m_stream.async_write(boost::asio::buffer(m_out),
                             [this](boost::beast::error_code, std::size_t) {
                                 m_idle = true;
                             });
    }

    bool isOpen() const { return m_open; }
    bool hasFailed() const { return m_failed; }
    bool isIdle() const { return m_idle; }
    bool isClosed() const { return m_closed; }
    unsigned status() const { return m_response.result_int(); }

private:
    void onOpen(boost::beast::error_code ec)
    {
        m_failed = static_cast<bool>(ec);
        m_open = !ec;
        if (m_open) {
            read();
        }
    }

    void read()
    {
        m_stream.async_read(m_in, [this](boost::beast::error_code ec, std::size_t) {
            if (ec) {
                m_closed = true;
                return;
            }
            m_in.clear();
            read();
        });
    }

    boost::beast::websocket::stream<boost::beast::tcp_stream> m_stream;
    boost::beast::websocket::response_type m_response;
    boost::beast::flat_buffer m_in;
    std::vector<std::uint8_t> m_out;
    bool m_open = false;
    bool m_failed = false;
    bool m_idle = true;
    bool m_closed = false;
};

} // namespace marigoldspool

#endif
