#include "Net.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldspool::review {

namespace {

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    if (::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1) {
        throw std::runtime_error("no IPv4 address: " + address.ip);
    }
    return result;
}

bool bindTo(int socket, const Address &address)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = socketAddress(address);
    return ::bind(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
}

bool waitFor(int socket, short event, TimePoint until)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Steady::now()).count();
    pollfd entry{socket, event, 0};
    return ::poll(&entry, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, 1'000'000))) > 0;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1));
}

} // namespace

std::string Head::field(std::string_view name) const
{
    const auto it = std::find_if(fields.begin(), fields.end(), [name](const Field &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return it == fields.end() ? std::string() : it->value;
}

std::string Head::word(std::size_t index) const
{
    std::size_t begin = 0;
    for (; index > 0; --index) {
        const std::size_t space = firstLine.find(' ', begin);
        if (space == std::string::npos) {
            return {};
        }
        begin = space + 1;
    }
    return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
}

Connection::Connection(int socket)
    : m_socket(socket)
{
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(m_socket);
}

std::unique_ptr<Connection> Connection::open(const Address &address, TimePoint until)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(socket);
    const sockaddr_in target = socketAddress(address);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || !waitFor(socket, POLLOUT, until)
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
    }
    return connection;
}

bool Connection::write(std::string_view bytes) const
{
    constexpr std::chrono::seconds WriteLimit(10);
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        if ((errno != EAGAIN && errno != EWOULDBLOCK)
            || !waitFor(m_socket, POLLOUT, Steady::now() + WriteLimit)) {
            return false;
        }
    }
    return true;
}

bool Connection::readMore(TimePoint until)
{
    constexpr std::size_t ChunkBytes = 65'536;
    if (!waitFor(m_socket, POLLIN, until)) {
        return false;
    }
    const std::size_t before = m_input.size();
    m_input.resize(before + ChunkBytes);
    const ssize_t n = ::recv(m_socket, m_input.data() + before, ChunkBytes, MSG_DONTWAIT);
    m_input.resize(before + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    return n > 0;
}

std::string Connection::readSome(TimePoint until)
{
    if (m_input.empty()) {
        readMore(until);
    }
    return std::exchange(m_input, {});
}

bool Connection::hasEnded() const
{
    char byte = 0;
    const ssize_t n = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::readLine(std::string &line, TimePoint until)
{
    std::size_t end = m_input.find("\r\n");
    while (end == std::string::npos) {
        if (!readMore(until)) {
            return false;
        }
        end = m_input.find("\r\n");
    }
    line = m_input.substr(0, end);
    m_input.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::size_t count, std::string &bytes, TimePoint until)
{
    while (m_input.size() < count) {
        if (!readMore(until)) {
            return false;
        }
    }
    bytes.append(m_input, 0, count);
    m_input.erase(0, count);
    return true;
}

bool Connection::readHead(Head &head, TimePoint until)
{
    head = Head();
    if (!readLine(head.firstLine, until)) {
        return false;
    }
    std::string line;
    while (readLine(line, until)) {
        if (line.empty()) {
            return true;
        }
        const std::size_t colon = std::min(line.find(':'), line.size() - 1);
        head.fields.push_back({line.substr(0, colon), trimmed(line.substr(colon + 1))});
    }
    return false;
}

bool Connection::readBody(const Head &head, std::string &body, TimePoint until)
{
    body.clear();
    if (!equalsIgnoringCase(head.field("Transfer-Encoding"), "chunked")) {
        const std::string length = head.field("Content-Length");
        return readBytes(length.empty() ? 0 : std::stoul(length), body, until);
    }
    std::string line;
    while (readLine(line, until)) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (size > 0 && !readBytes(size, body, until)) {
            return false;
        }
        if (!readLine(line, until)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

void Connection::reset() const
{
    const linger discard{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    ::shutdown(m_socket, SHUT_RD);
}

Server::Server(const Address &address, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
    constexpr int Backlog = 256;
    if (!bindTo(m_listener, address) || ::listen(m_listener, Backlog) != 0) {
        ::close(m_listener);
        throw std::runtime_error("cannot listen on " + address.text());
    }
    m_thread = std::thread([this] {
        accept();
    });
}

Server::~Server()
{
    stop();
}

void Server::closeListener()
{
    m_isStopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
        ::close(m_listener);
    }
}

void Server::stop()
{
    closeListener();
    for (Session &session : m_sessions) {
        if (const std::shared_ptr<Connection> connection = session.connection.lock()) {
            connection->reset();
        }
    }
    for (Session &session : m_sessions) {
        session.thread.join();
    }
    m_sessions.clear();
}

void Server::accept()
{
    while (!m_isStopped) {
        if (!waitFor(m_listener, POLLIN, Steady::now() + Milliseconds(5))) {
            continue;
        }
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket < 0) {
            continue;
        }
        for (auto it = m_sessions.begin(); it != m_sessions.end();) {
            if (*it->isDone) {
                it->thread.join();
                it = m_sessions.erase(it);
            } else {
                ++it;
            }
        }
        Session &session = m_sessions.emplace_back();
        auto opened = std::make_shared<Connection>(socket);
        session.connection = opened;
        session.isDone = std::make_shared<std::atomic<bool>>(false);
        session.thread =
            std::thread([this, connection = std::move(opened), isDone = session.isDone]() mutable {
                m_handler(*connection);
                connection.reset();
                *isDone = true;
            });
    }
}

bool isFree(const Address &address)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool result = bindTo(probe, address);
    ::close(probe);
    return result;
}

} // namespace marigoldspool::review
