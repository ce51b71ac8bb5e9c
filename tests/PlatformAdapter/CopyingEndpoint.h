#ifndef MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_COPYINGENDPOINT_H
#define MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_COPYINGENDPOINT_H

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace marigoldspool {

class Random
{
public:
    explicit Random(unsigned seed)
        : m_engine(seed)
    { }
    int between(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_engine);
    }
    bool chance(int percent) { return between(1, 100) <= percent; }

private:
    std::mt19937 m_engine;
};

/// Times each request began to run, by its target, which is different for each attempt of a caller.
using Runs = std::map<std::string, int>;

inline void after(boost::asio::io_context &io, std::chrono::milliseconds delay,
                  std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &ec) {
        if (!ec) {
            action();
        }
    });
}

inline std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find(name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

inline bool isStream(const std::string &target)
{
    return target[1] == 's' || target[1] == 'l';
}

/// An endpoint with few slots that refuses, crashes and writes copies of its earlier answers.
class CopyingEndpoint
{
public:
    CopyingEndpoint(boost::asio::io_context &io, Random &random, Runs &runs)
        : m_io(io)
        , m_random(random)
        , m_runs(runs)
        , m_slots(random.between(2, 8))
        , m_refusedPercent(random.between(3, 50))
        , m_acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int copies = 0;
    int refusals = 0;

private:
    struct Connection {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        { }
        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> buf{};
        std::string received;
        bool isBusy = false;
        bool isWriting = false;
        std::deque<std::string> answers;
        std::string writtenWithNext;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code &ec, boost::asio::ip::tcp::socket socket) {
                if (ec) {
                    return;
                }
                boost::system::error_code ignored;
                socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                read(std::make_shared<Connection>(std::move(socket)));
                accept();
            });
    }

    void read(const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(
            boost::asio::buffer(connection->buf),
            [this, connection](const boost::system::error_code &ec, std::size_t n) {
                if (ec) {
                    return;
                }
                connection->received.append(connection->buf.data(), n);
                takeRequest(connection);
                read(connection);
            });
    }

    void takeRequest(const ConnectionPtr &connection)
    {
        const std::size_t end = connection->received.find("\r\n\r\n");
        if (connection->isBusy || end == std::string::npos) {
            return;
        }
        const std::string head = connection->received.substr(0, end + 2);
        connection->received.erase(0, end + 4);
        connection->isBusy = true;
        if (m_random.chance(20)) {
            writeCopy(connection);
        }
        after(m_io, std::chrono::milliseconds(m_random.between(0, 4)), [this, connection, head] {
            decide(connection, head);
        });
    }

    void decide(const ConnectionPtr &connection, const std::string &head)
    {
        const std::size_t begin = head.find(' ') + 1;
        const std::string target = head.substr(begin, head.find(' ', begin) - begin);
        const std::string echo =
            "X-Marigoldspool-Request-Id: " + fieldOf(head, "X-Marigoldspool-Request-Id") + "\r\n";
        const bool isOther = m_random.chance(m_refusedPercent);
        if (m_active >= m_slots || isOther) {
            ++refusals;
            const std::string status = !isOther ? "503 Busy"
                : m_random.chance(80)           ? "421 Other"
                                                : "429 Many";
            const std::string wait = m_random.chance(80) ? "Retry-After: 0.01\r\n" : "";
            answer(connection,
                   "HTTP/1.1 " + status + "\r\n" + echo + "X-Marigoldspool-Not-Run: 1\r\n" + wait
                       + "Content-Length: 0\r\n\r\n",
                   "");
            return;
        }
        ++m_runs[target];
        ++m_active;
        after(m_io, std::chrono::milliseconds(m_random.between(2, 60)),
              [this, connection, target, echo] {
                  --m_active;
                  endRun(connection, target, echo);
              });
    }

    void endRun(const ConnectionPtr &connection, const std::string &target, const std::string &echo)
    {
        if (m_random.chance(4)) {
            close(connection, m_random.chance(50));
            return;
        }
        const bool failed = m_random.chance(3);
        const std::string fields = std::string("HTTP/1.1 ") + (failed ? "500 Failed" : "200 OK")
            + "\r\n" + echo + "X-Marigoldspool-Replica-Seal: seal\r\n";
        const std::string body = "id: 1\ndata: <" + target + ">\n\n";
        if (!isStream(target)) {
            answer(connection,
                   fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                   "");
            return;
        }
        std::ostringstream chunk;
        chunk << std::hex << body.size() << "\r\n" << body << "\r\n";
        answer(connection,
               fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                   + chunk.str(),
               "0\r\n\r\n");
    }

    // Writes the end of the answer, if it is not empty, later than the rest.
    void answer(const ConnectionPtr &connection, const std::string &text, const std::string &end)
    {
        write(connection, std::exchange(connection->writtenWithNext, {}) + text);
        connection->isWriting = true;
        const auto finish = [this, connection, answer = text + end, end] {
            write(connection, end);
            finishAnswer(connection, answer);
        };
        if (end.empty()) {
            finish();
        } else {
            after(m_io, std::chrono::milliseconds(m_random.between(1, 20)), finish);
        }
    }

    void finishAnswer(const ConnectionPtr &connection, const std::string &answer)
    {
        connection->isWriting = connection->isBusy = false;
        connection->answers.push_front(answer);
        if (connection->answers.size() > 8) {
            connection->answers.pop_back();
        }
        const int kind = m_random.between(1, 100);
        if (kind <= 5) {
            writeCopy(connection);
        } else if (kind <= 15) {
            ++copies;
            connection->writtenWithNext = anEarlierAnswer(*connection);
        } else if (kind <= 50) {
            after(m_io,
                  std::chrono::milliseconds(m_random.between(1, m_random.chance(50) ? 300 : 20)),
                  [this, connection] {
                      writeCopy(connection);
                  });
        } else if (kind <= 53) {
            after(m_io, std::chrono::milliseconds(m_random.between(1, 50)), [connection] {
                if (!connection->isBusy) {
                    close(connection, false);
                }
            });
        }
        takeRequest(connection);
    }

    std::string anEarlierAnswer(const Connection &connection)
    {
        const int last = static_cast<int>(connection.answers.size()) - 1;
        return connection.answers.at(m_random.chance(60) ? 0 : m_random.between(0, last));
    }

    void writeCopy(const ConnectionPtr &connection)
    {
        if (!connection->answers.empty() && !connection->isWriting) {
            ++copies;
            write(connection, anEarlierAnswer(*connection));
        }
    }

    static void write(const ConnectionPtr &connection, const std::string &text)
    {
        boost::system::error_code ec;
        boost::asio::write(connection->socket, boost::asio::buffer(text), ec);
    }

    static void close(const ConnectionPtr &connection, bool resets)
    {
        boost::system::error_code ec;
        connection->socket.set_option(boost::asio::socket_base::linger(resets, 0), ec);
        connection->socket.close(ec);
    }

    boost::asio::io_context &m_io;
    Random &m_random;
    Runs &m_runs;
    int m_slots;
    int m_refusedPercent;
    boost::asio::ip::tcp::acceptor m_acceptor;
    int m_active = 0;
};

} // namespace marigoldspool

#endif
