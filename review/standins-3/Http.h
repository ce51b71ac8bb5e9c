#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_3_HTTP_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_3_HTTP_H

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool::review3 {

using Milliseconds = std::chrono::milliseconds;

struct Field {
    std::string name;
    std::string value;
};

/// The head of a request or an answer, and the body of a request.
struct Message {
    std::string startLine;
    std::vector<Field> fields;
    std::string body;

    /// Empty if there is no such field.
    std::string field(std::string_view name) const;
    bool has(std::string_view name) const;
    /// The second word of the start line: the target of a request, the status of an answer.
    std::string secondWord() const;
    std::string method() const;
};

enum class ReadResult { Bytes, End, Reset, Timeout };

/// A blocking socket with the bytes that were received and not used yet.
class Connection
{
public:
    explicit Connection(int fd = -1);
    Connection(Connection &&other) noexcept;
    Connection &operator=(Connection &&other) noexcept;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// An invalid connection if nobody accepts it in time.
    static Connection to(const std::string &address, Milliseconds timeout);

    bool isValid() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    bool send(std::string_view bytes);
    /// Appends received bytes to the buffer.
    ReadResult receive(Milliseconds timeout);
    std::string &buffer() { return m_buffer; }
    /// Whether the peer has closed the connection.
    bool isClosedByPeer() const;
    void close();

private:
    int m_fd = -1;
    std::string m_buffer;
};

/// A listening socket on a loopback address.
class Listener
{
public:
    /// \p address: IP:PORT; port 0 takes a free one.
    explicit Listener(const std::string &address);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener();

    std::string address() const { return m_address; }
    /// An invalid connection after close().
    Connection accept();
    void close();

private:
    int m_fd = -1;
    std::string m_address;
};

/// Reads the head of a message from the connection; nothing if it ends before.
std::optional<Message> readHead(Connection &connection, Milliseconds timeout);
/// Reads a request with its body.
std::optional<Message> readRequest(Connection &connection, Milliseconds timeout);
std::string formatAnswer(int status, const std::vector<Field> &fields, const std::string &body);
/// The first of \p count ports on 127.0.0.1 that are free now, below those that the system gives
/// out by itself.
int freePort(int count = 1);

} // namespace marigoldspool::review3

#endif
