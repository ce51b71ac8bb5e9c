#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_NET_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_NET_H

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace marigoldspool::review {

using Steady = std::chrono::steady_clock;
using TimePoint = Steady::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

struct Field {
    std::string name;
    std::string value;
};

/// The first line and the fields of an HTTP message.
struct Head {
    std::string firstLine;
    std::vector<Field> fields;

    /// Empty if there is no such field.
    std::string field(std::string_view name) const;
    /// The word of the first line at \p index, from 0.
    std::string word(std::size_t index) const;
};

/// One TCP connection with blocking calls.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Returns null if nothing accepts the connection in time.
    static std::unique_ptr<Connection> open(const Address &address, TimePoint until);

    bool write(std::string_view bytes) const;
    /// Return false if the connection ends or the time is up before the whole part has come.
    bool readHead(Head &head, TimePoint until);
    bool readBody(const Head &head, std::string &body, TimePoint until);
    /// Returns the bytes that have come, at least one; empty if the connection has ended.
    std::string readSome(TimePoint until);
    /// Whether the peer has closed or reset the connection.
    bool hasEnded() const;
    /// Ends all calls on the connection; the peer sees a reset.
    void reset() const;

private:
    bool readMore(TimePoint until);
    bool readLine(std::string &line, TimePoint until);
    bool readBytes(std::size_t count, std::string &bytes, TimePoint until);

    int m_socket;
    std::string m_input;
};

/// Accepts connections and runs the handler of each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(const Address &address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Refuses new connections from now on.
    void closeListener();
    /// Closes the listening socket and resets all connections.
    void stop();
    /// Whether stop() has been called, for handlers.
    bool isStopped() const { return m_isStopped; }

private:
    struct Session {
        std::weak_ptr<Connection> connection;
        std::thread thread;
        std::shared_ptr<std::atomic<bool>> isDone;
    };

    void accept();

    Handler m_handler;
    std::atomic<bool> m_isStopped{false};
    int m_listener = -1;
    std::list<Session> m_sessions;
    std::thread m_thread;
};

/// Whether a server could listen on the address.
bool isFree(const Address &address);

} // namespace marigoldspool::review

#endif
