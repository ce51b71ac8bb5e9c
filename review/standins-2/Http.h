#ifndef MARIGOLDSPOOL_REVIEW_STANDINS2_HTTP_H
#define MARIGOLDSPOOL_REVIEW_STANDINS2_HTTP_H

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// The value of the first field of that name; empty if there is none.
std::string headerValue(const Headers &headers, std::string_view name);

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(std::string_view name) const { return headerValue(headers, name); }
};

/// A port of 127.0.0.1 at which nothing listens; the port behind it is free as well.
int freePort();

/// One accepted connection. Only its own thread sends on it.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(std::string_view bytes);
    /// Sends a head with just these fields, for an answer that is sent piece by piece.
    bool sendHead(int status, const Headers &headers);
    bool sendChunk(std::string_view bytes);
    bool sendLastChunk() { return send("0\r\n\r\n"); }
    /// Sends a whole answer with its length.
    void answer(int status, const Headers &headers, std::string_view body);
    /// Whether the peer has not closed and the server has not crashed.
    bool isOpen() const;
    /// Closes the connection when the handler returns, with a reset or after the bytes sent.
    void closeAfter(bool withReset);
    /// Ends the connection with a reset; may be called from any thread.
    void kill();

private:
    friend class Server;
    bool readRequest(Request &request);
    bool receive();

    int m_socket;
    std::string m_input;
    std::atomic<bool> m_isKilled{false};
    bool m_isClosing = false;
    bool m_resets = false;
};

/// HTTP/1.1 server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<void(const Request &request, Connection &connection)>;

    /// Listens at 127.0.0.1; throws std::runtime_error if the port is taken.
    Server(int port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Refuses new connections and resets the open ones, as the end of a process does.
    void crash();

private:
    void acceptAll();
    void serve(const std::shared_ptr<Connection> &connection);

    Handler m_handler;
    int m_listener;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex;
    std::list<std::shared_ptr<Connection>> m_connections;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

/// What a client has got.
struct Answer {
    /// 0: no head has come.
    int status = 0;
    Headers headers;
    std::string body;
    /// Whether the end of the answer has come, as its length or its last chunk says, or the end of
    /// the connection if it has neither.
    bool isComplete = false;
    bool isConnected = false;
    Clock::time_point endedAt;
};

/// Sends one request on a connection of its own and reads the answer until it ends, its connection
/// ends, or \p limit has passed.
Answer callServer(int port, const Request &request, Milliseconds limit);

} // namespace review

#endif
