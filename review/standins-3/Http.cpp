#include "Http.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <list>
#include <random>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldspool::review3 {

namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x))
                   == std::tolower(static_cast<unsigned char>(y));
           });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return text;
}

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + address);
    }
    return result;
}

void setNoDelay(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool waitFor(int fd, short events, Milliseconds timeout)
{
    pollfd entry{fd, events, 0};
    return ::poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

} // namespace

std::string Message::field(std::string_view name) const
{
    for (const Field &it : fields) {
        if (equalsIgnoringCase(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

bool Message::has(std::string_view name) const
{
    return std::any_of(fields.begin(), fields.end(), [name](const Field &it) {
        return equalsIgnoringCase(it.name, name);
    });
}

std::string Message::secondWord() const
{
    const std::size_t begin = startLine.find(' ');
    if (begin == std::string::npos) {
        return {};
    }
    return startLine.substr(begin + 1, startLine.find(' ', begin + 1) - begin - 1);
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

Connection::Connection(int fd)
    : m_fd(fd)
{ }

Connection::Connection(Connection &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
    , m_buffer(std::move(other.m_buffer))
{ }

Connection &Connection::operator=(Connection &&other) noexcept
{
    close();
    m_fd = std::exchange(other.m_fd, -1);
    m_buffer = std::move(other.m_buffer);
    return *this;
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (m_fd >= 0) {
        ::close(std::exchange(m_fd, -1));
    }
}

Connection Connection::to(const std::string &address, Milliseconds timeout)
{
    const sockaddr_in target = parseAddress(address);
    Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int result =
        ::connect(connection.m_fd, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    if (result != 0 && errno == EINPROGRESS && waitFor(connection.m_fd, POLLOUT, timeout)) {
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(connection.m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            connection.close();
        }
    } else if (result != 0) {
        connection.close();
    }
    if (connection.isValid()) {
        ::fcntl(connection.m_fd, F_SETFL, 0);
        setNoDelay(connection.m_fd);
    }
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

ReadResult Connection::receive(Milliseconds timeout)
{
    if (!waitFor(m_fd, POLLIN, timeout)) {
        return ReadResult::Timeout;
    }
    std::array<char, 16'384> bytes{};
    const ssize_t n = ::recv(m_fd, bytes.data(), bytes.size(), 0);
    if (n == 0) {
        return ReadResult::End;
    }
    if (n < 0) {
        return ReadResult::Reset;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(n));
    return ReadResult::Bytes;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Listener::Listener(const std::string &address)
    : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in local = parseAddress(address);
    socklen_t size = sizeof(local);
    if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&local), size) != 0
        || ::listen(m_fd, SOMAXCONN) != 0) {
        ::close(m_fd);
        throw std::runtime_error("cannot listen on " + address);
    }
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&local), &size);
    m_address = address.substr(0, address.rfind(':')) + ':' + std::to_string(ntohs(local.sin_port));
}

Listener::~Listener()
{
    close();
    ::close(m_fd);
}

Connection Listener::accept()
{
    const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
        setNoDelay(fd);
    }
    return Connection(fd);
}

void Listener::close()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

std::optional<Message> readHead(Connection &connection, Milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::size_t at = std::string::npos;
    while ((at = connection.buffer().find("\r\n\r\n")) == std::string::npos) {
        const auto left =
            std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0 || connection.receive(left) != ReadResult::Bytes) {
            return std::nullopt;
        }
    }
    const std::string head = connection.buffer().substr(0, at + 2);
    connection.buffer().erase(0, at + 4);
    Message message;
    std::size_t begin = head.find("\r\n");
    message.startLine = head.substr(0, begin);
    for (begin += 2; begin < head.size();) {
        const std::size_t lineEnd = head.find("\r\n", begin);
        const std::string_view line(head.data() + begin, lineEnd - begin);
        const std::size_t colon = std::min(line.find(':'), line.size() - 1);
        message.fields.push_back(
            {std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1)))});
        begin = lineEnd + 2;
    }
    return message;
}

std::optional<Message> readRequest(Connection &connection, Milliseconds timeout)
{
    std::optional<Message> message = readHead(connection, timeout);
    if (!message) {
        return std::nullopt;
    }
    const std::string length = message->field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (connection.buffer().size() < size) {
        if (connection.receive(timeout) != ReadResult::Bytes) {
            return std::nullopt;
        }
    }
    message->body = connection.buffer().substr(0, size);
    connection.buffer().erase(0, size);
    return message;
}

std::string formatAnswer(int status, const std::vector<Field> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const Field &it : fields) {
        text += it.name + ": " + it.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int freePort(int count)
{
    static std::mt19937 random{std::random_device()()};
    constexpr int FirstPort = 12'000;
    constexpr int LastPort = 30'000;
    std::uniform_int_distribution<int> ports(FirstPort, LastPort);
    for (int tries = 0; tries < 1000; ++tries) {
        const int first = ports(random);
        try {
            std::list<Listener> probes;
            for (int i = 0; i < count; ++i) {
                probes.emplace_back("127.0.0.1:" + std::to_string(first + i));
            }
            return first;
        } catch (const std::runtime_error &) {
            continue;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace marigoldspool::review3
