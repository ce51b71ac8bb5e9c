#include "Caller.h"

#include <array>
#include <atomic>
#include <charconv>
#include <cstdio>
#include <random>

namespace marigoldspool::review3 {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds ConnectTimeout(1000);

std::string endName(ReadResult result)
{
    switch (result) {
    case ReadResult::Bytes:
        return "end";
    case ReadResult::End:
        return "closed";
    case ReadResult::Reset:
        return "reset";
    case ReadResult::Timeout:
        return "timeout";
    }
    return "unknown";
}

/// Reads a body and keeps what has arrived when the connection ends before it does.
class BodyReader
{
public:
    BodyReader(Connection &connection, Clock::time_point end, Answer &answer)
        : m_connection(connection)
        , m_end(end)
        , m_answer(answer)
    { }

    void readLength(std::size_t size)
    {
        m_answer.complete = need(size);
        take(std::min(size, m_connection.buffer().size()));
    }

    void readChunks()
    {
        for (;;) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = m_connection.buffer().find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return;
                }
            }
            const std::string &text = m_connection.buffer();
            std::size_t size = 0;
            std::from_chars(text.data(), text.data() + lineEnd, size, 16);
            m_connection.buffer().erase(0, lineEnd + 2);
            const bool isWhole = need(size + 2);
            take(std::min(size, m_connection.buffer().size()));
            if (!isWhole) {
                return;
            }
            m_connection.buffer().erase(0, 2);
            if (size == 0) {
                m_answer.complete = true;
                return;
            }
        }
    }

    void readToClose()
    {
        while (more()) {
        }
        take(m_connection.buffer().size());
        m_answer.complete = m_answer.ended == "closed";
    }

private:
    bool more()
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(m_end - Clock::now());
        const ReadResult result =
            left.count() <= 0 ? ReadResult::Timeout : m_connection.receive(left);
        m_answer.ended = endName(result);
        return result == ReadResult::Bytes;
    }

    bool need(std::size_t size)
    {
        while (m_connection.buffer().size() < size) {
            if (!more()) {
                return false;
            }
        }
        m_answer.ended = "end";
        return true;
    }

    void take(std::size_t size)
    {
        m_answer.body.append(m_connection.buffer(), 0, size);
        m_connection.buffer().erase(0, size);
    }

    Connection &m_connection;
    Clock::time_point m_end;
    Answer &m_answer;
};

} // namespace

std::vector<int> Answer::events() const
{
    std::vector<int> ids;
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = body.find("\n\n", begin)) != std::string::npos;
         begin = end + 2) {
        const std::string event = body.substr(begin, end - begin);
        const std::size_t at = event.find("id: ");
        ids.push_back(at == std::string::npos ? -1 : std::atoi(event.c_str() + at + 4));
    }
    return ids;
}

std::string formatRequest(const CallerRequest &request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\nHost: " + request.host
        + "\r\nX-Marigoldspool-Request-Id: " + request.id
        + "\r\nX-Marigoldspool-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
    if (!request.key.empty()) {
        text += "Authorization: Token " + request.key + "\r\n";
    }
    for (const Field &it : request.fields) {
        text += it.name + ": " + it.value + "\r\n";
    }
    if (request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

Answer readAnswer(Connection &connection, Milliseconds timeout)
{
    const auto begin = Clock::now();
    Answer answer;
    answer.ended = "closed";
    if (std::optional<Message> head = readHead(connection, timeout)) {
        answer.head = std::move(*head);
        answer.status = std::atoi(answer.head.secondWord().c_str());
        BodyReader reader(connection, begin + timeout, answer);
        const std::string length = answer.head.field("Content-Length");
        if (answer.head.field("Transfer-Encoding") == "chunked") {
            reader.readChunks();
        } else if (!length.empty()) {
            reader.readLength(std::stoul(length));
        } else {
            reader.readToClose();
        }
    }
    answer.duration = std::chrono::duration_cast<Milliseconds>(Clock::now() - begin);
    return answer;
}

Answer callOnce(const std::string &address, const CallerRequest &request)
{
    Connection connection = Connection::to(address, ConnectTimeout);
    if (!connection.isValid() || !connection.send(formatRequest(request))) {
        Answer answer;
        answer.ended = "not_connected";
        return answer;
    }
    return readAnswer(connection, Milliseconds(request.deadlineMs));
}

std::string newRequestId()
{
    static const std::uint64_t first = std::random_device()();
    static std::atomic<std::uint64_t> count{0};
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%08llx%08llx",
                  static_cast<unsigned long long>(first & 0xFFFFFFFFU),
                  static_cast<unsigned long long>(++count));
    return text.data();
}

} // namespace marigoldspool::review3
