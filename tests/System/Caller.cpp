#include "System/Caller.h"

#include <arpa/inet.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldspool::system_tests {

namespace {

using Steady = std::chrono::steady_clock;
using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

std::string requestText(const std::string &host, const Call &call)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto &[name, value] : call.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!call.body.empty()) {
        text.append("Content-Type: application/json\r\nContent-Length: ")
            .append(std::to_string(call.body.size()))
            .append("\r\n");
    }
    return text + "\r\n" + call.body;
}

// Feeds all received bytes that the parser can use; returns false on malformed input.
bool feed(Parser &parser, std::string &received)
{
    while (!received.empty() && !parser.is_done()) {
        boost::beast::error_code ec;
        const std::size_t used = parser.put(boost::asio::buffer(received), ec);
        received.erase(0, used);
        if (ec == boost::beast::http::error::need_more) {
            return true;
        }
        if (ec) {
            return false;
        }
        if (used == 0) {
            return true;
        }
    }
    return true;
}

} // namespace

std::string Answer::errorField(const char *name) const
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object()
        || !json["error"].contains(name) || !json["error"][name].is_string()) {
        return {};
    }
    return json["error"][name].get<std::string>();
}

long Answer::retryAfterMs() const
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) {
        return -1;
    }
    const Json value = json["error"].value("retry_after_ms", Json());
    return value.is_number() ? value.get<long>() : -1;
}

Connection::Connection(std::string address)
    : m_address(std::move(address))
{ }

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

bool Connection::open()
{
    const std::size_t colon = m_address.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(m_address.substr(colon + 1))));
    ::inet_pton(AF_INET, m_address.substr(0, colon).c_str(), &address.sin_addr);
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close();
        return false;
    }
    return true;
}

bool Connection::send(const std::string &text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Connection::hasUnaskedBytes() const
{
    char byte = 0;
    return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Connection::receive(Answer &answer, Steady::time_point until)
{
    Parser parser;
    parser.eager(true);
    parser.body_limit(std::uint64_t{64} << 20U);
    std::string received;
    bool open = true;
    while (open && !parser.is_done()) {
        const auto left = std::chrono::ceil<Milliseconds>(until - Steady::now());
        pollfd waiting{m_socket, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) == 0) {
            answer.timedOut = true;
            break;
        }
        char buf[16384];
        const ssize_t n = ::recv(m_socket, buf, sizeof buf, 0);
        if (n > 0) {
            received.append(buf, static_cast<std::size_t>(n));
        }
        open = n > 0 && feed(parser, received);
    }
    answer.whole = parser.is_done();
    answer.hasSurplus = answer.hasSurplus || (answer.whole && !received.empty());
    if (parser.is_header_done()) {
        answer.status = static_cast<int>(parser.get().result_int());
        answer.requestId = std::string(parser.get()["X-Request-Id"]);
        answer.body = parser.get().body();
    }
    if (!answer.whole || !parser.get().keep_alive()) {
        close();
    }
}

Answer Connection::call(const Call &call)
{
    Answer answer;
    answer.began = Steady::now();
    // An idle connection that the server has closed is replaced before anything is sent on it.
    if (m_socket >= 0) {
        pollfd waiting{m_socket, POLLIN, 0};
        if (::poll(&waiting, 1, 0) != 0) {
            answer.hasSurplus = hasUnaskedBytes();
            close();
        }
    }
    if ((m_socket >= 0 || open()) && send(requestText(m_address, call))) {
        receive(answer, answer.began + call.limit);
    } else {
        close();
    }
    answer.ended = Steady::now();
    answer.took = std::chrono::duration_cast<Milliseconds>(answer.ended - answer.began);
    return answer;
}

Answer callOnce(const std::string &address, const Call &call)
{
    Connection connection(address);
    return connection.call(call);
}

CallerPool::CallerPool(std::size_t callers, Action action)
{
    for (std::size_t caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller, action] {
            while (!m_stopping) {
                action(caller);
            }
        });
    }
}

CallerPool::~CallerPool()
{
    stop();
}

void CallerPool::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void AnswerLog::add(Answer answer)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_answers.push_back(std::move(answer));
}

std::vector<Answer> AnswerLog::take()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::exchange(m_answers, {});
}

std::size_t AnswerLog::size() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_answers.size();
}

} // namespace marigoldspool::system_tests
