#include "Http.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int FirstPort = 10'000;
constexpr int PortCount = 10'000;
constexpr std::size_t ReadBytes = 16'384;
constexpr std::string_view HeadEnd = "\r\n\r\n";

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listenAt(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    constexpr int Backlog = 512;
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(socket, Backlog) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

void addField(std::string_view line, Headers &headers)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    headers.emplace_back(line.substr(0, colon), value);
}

// Splits a head without its empty line; returns the first line.
std::string parseHead(std::string_view head, Headers &headers)
{
    std::string first;
    while (!head.empty()) {
        const std::size_t end = std::min(head.find("\r\n"), head.size());
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(std::min(end + 2, head.size()));
        if (first.empty()) {
            first = std::string(line);
        } else {
            addField(line, headers);
        }
    }
    return first;
}

// Decodes chunks from \p text; returns the bytes used up to the end of the last chunk, or npos if
// it has not come.
std::size_t decodeChunks(std::string_view text, std::string &body)
{
    body.clear();
    std::size_t at = 0;
    for (;;) {
        const std::size_t lineEnd = text.find("\r\n", at);
        if (lineEnd == std::string_view::npos) {
            return std::string_view::npos;
        }
        constexpr int Hex = 16;
        const auto size = static_cast<std::size_t>(
            std::strtoul(std::string(text.substr(at, lineEnd - at)).c_str(), nullptr, Hex));
        const std::size_t begin = lineEnd + 2;
        if (begin + size + 2 > text.size()) {
            body.append(text.substr(begin, size));
            return std::string_view::npos;
        }
        body.append(text.substr(begin, size));
        at = begin + size + 2;
        if (size == 0) {
            return at;
        }
    }
}

enum class BodyState { Incomplete, Complete, EndsWithConnection };

BodyState readBody(const Headers &headers, std::string_view text, std::string &body)
{
    if (equalsIgnoringCase(headerValue(headers, "Transfer-Encoding"), "chunked")) {
        return decodeChunks(text, body) == std::string_view::npos ? BodyState::Incomplete
                                                                  : BodyState::Complete;
    }
    const std::string length = headerValue(headers, "Content-Length");
    if (length.empty()) {
        body = std::string(text);
        return BodyState::EndsWithConnection;
    }
    const auto size = static_cast<std::size_t>(std::strtoul(length.c_str(), nullptr, 10));
    body = std::string(text.substr(0, size));
    return text.size() >= size ? BodyState::Complete : BodyState::Incomplete;
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::string formatHead(std::string_view firstLine, const Headers &headers)
{
    std::string head(firstLine);
    head.append("\r\n");
    for (const auto &[name, value] : headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    return head.append("\r\n");
}

void resetAtClose(int socket)
{
    const linger option{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

} // namespace

std::string headerValue(const Headers &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const auto &field) {
        return equalsIgnoringCase(field.first, name);
    });
    return it == headers.end() ? std::string() : it->second;
}

int freePort()
{
    // Processes with neighbouring ids begin at different places.
    constexpr int Spread = 6'181;
    static int next = static_cast<int>(::getpid()) * Spread;
    for (int tries = 0; tries < PortCount; ++tries) {
        next += 2;
        const int port = FirstPort + static_cast<int>(static_cast<unsigned>(next) % PortCount);
        const int first = listenAt(port);
        const int second = listenAt(port + 1);
        ::close(first);
        ::close(second);
        if (first >= 0 && second >= 0) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

Connection::Connection(int socket)
    : m_socket(socket)
{
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    if (m_isKilled || m_resets) {
        resetAtClose(m_socket);
    }
    ::close(m_socket);
}

bool Connection::send(std::string_view bytes)
{
    return !m_isKilled && sendAll(m_socket, bytes);
}

bool Connection::sendHead(int status, const Headers &headers)
{
    return send(formatHead("HTTP/1.1 " + std::to_string(status) + " Answer", headers));
}

bool Connection::sendChunk(std::string_view bytes)
{
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return send(chunk.str());
}

void Connection::answer(int status, const Headers &headers, std::string_view body)
{
    Headers all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    send(formatHead("HTTP/1.1 " + std::to_string(status) + " Answer", all).append(body));
}

bool Connection::isOpen() const
{
    if (m_isKilled) {
        return false;
    }
    char byte = 0;
    const ssize_t n = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void Connection::closeAfter(bool withReset)
{
    m_isClosing = true;
    m_resets = withReset;
}

void Connection::kill()
{
    m_isKilled = true;
    // Ends a read of the connection's thread without sending anything.
    ::shutdown(m_socket, SHUT_RD);
}

bool Connection::receive()
{
    std::string buffer(ReadBytes, '\0');
    const ssize_t n = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (n <= 0 || m_isKilled) {
        return false;
    }
    m_input.append(buffer, 0, static_cast<std::size_t>(n));
    return true;
}

bool Connection::readRequest(Request &request)
{
    std::size_t end = 0;
    while ((end = m_input.find(HeadEnd)) == std::string::npos) {
        if (!receive()) {
            return false;
        }
    }
    request = Request();
    const std::string first = parseHead(std::string_view(m_input).substr(0, end), request.headers);
    const std::size_t space = first.find(' ');
    const std::size_t lastSpace = first.rfind(' ');
    if (space == std::string::npos || lastSpace <= space) {
        return false;
    }
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, lastSpace - space - 1);
    m_input.erase(0, end + HeadEnd.size());
    const std::string length = request.header("Content-Length");
    const auto size = static_cast<std::size_t>(std::strtoul(length.c_str(), nullptr, 10));
    while (m_input.size() < size) {
        if (!receive()) {
            return false;
        }
    }
    request.body = m_input.substr(0, size);
    m_input.erase(0, size);
    return true;
}

Server::Server(int port, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(listenAt(port))
{
    if (m_listener < 0) {
        throw std::runtime_error("port " + std::to_string(port) + " is taken");
    }
    m_acceptor = std::thread([this] {
        acceptAll();
    });
}

Server::~Server()
{
    crash();
    m_acceptor.join();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void Server::crash()
{
    if (!m_isStopped.exchange(true)) {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &connection : m_connections) {
        connection->kill();
    }
}

void Server::acceptAll()
{
    while (!m_isStopped) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto connection = std::make_shared<Connection>(socket);
        m_connections.push_back(connection);
        if (m_isStopped) {
            connection->kill();
        }
        m_threads.emplace_back([this, connection] {
            serve(connection);
        });
    }
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    Request request;
    while (!connection->m_isClosing && connection->readRequest(request)) {
        m_handler(request, *connection);
    }
    // The thread's own reference ends the connection when this function returns.
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_connections.remove(connection);
}

namespace {

// Returns false when the answer has ended.
bool readAnswer(std::string_view text, bool isAtEnd, Answer &answer)
{
    const std::size_t end = text.find(HeadEnd);
    if (end == std::string_view::npos) {
        return !isAtEnd;
    }
    if (answer.status == 0) {
        const std::string first = parseHead(text.substr(0, end), answer.headers);
        const std::size_t space = first.find(' ');
        answer.status = space == std::string::npos ? 0 : std::atoi(first.c_str() + space);
    }
    const BodyState state =
        readBody(answer.headers, text.substr(end + HeadEnd.size()), answer.body);
    answer.isComplete =
        state == BodyState::Complete || (state == BodyState::EndsWithConnection && isAtEnd);
    return !answer.isComplete && !isAtEnd;
}

} // namespace

Answer callServer(int port, const Request &request, Milliseconds limit)
{
    Answer answer;
    const auto deadline = Clock::now() + limit;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    Headers headers = request.headers;
    if (!request.body.empty() || request.method == "POST") {
        headers.emplace_back("Content-Length", std::to_string(request.body.size()));
    }
    const std::string text =
        formatHead(request.method + ' ' + request.target + " HTTP/1.1", headers) + request.body;
    answer.isConnected =
        ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    std::string input;
    bool goesOn = answer.isConnected && sendAll(socket, text);
    while (goesOn) {
        const auto left =
            std::chrono::duration_cast<std::chrono::microseconds>(deadline - Clock::now());
        if (left.count() <= 0) {
            break;
        }
        timeval wait{};
        wait.tv_sec = left.count() / 1'000'000;
        wait.tv_usec = left.count() % 1'000'000;
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
        std::string buffer(ReadBytes, '\0');
        const ssize_t n = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (n < 0) {
            break;
        }
        input.append(buffer, 0, static_cast<std::size_t>(n));
        goesOn = readAnswer(input, n == 0, answer);
    }
    answer.endedAt = Clock::now();
    ::close(socket);
    return answer;
}

} // namespace review
