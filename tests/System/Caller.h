#ifndef MARIGOLDSPOOL_TESTS_SYSTEM_CALLER_H
#define MARIGOLDSPOOL_TESTS_SYSTEM_CALLER_H

#include "System/Process.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace marigoldspool::system_tests {

using Json = nlohmann::json;

struct Call {
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    /// Longest wait for the whole answer.
    Milliseconds limit{20'000};
};

struct Answer {
    /// 0 when no head came.
    int status = 0;
    /// False when the connection broke or the limit passed before the end of the body.
    bool whole = false;
    bool timedOut = false;
    /// Bytes came that belong to no request.
    bool hasSurplus = false;
    std::string requestId;
    std::string body;
    Milliseconds took{0};
    std::chrono::steady_clock::time_point began;
    std::chrono::steady_clock::time_point ended;

    /// Members of the error object, or an empty string.
    std::string errorField(const char *name) const;
    long retryAfterMs() const;
};

/// A blocking keep-alive connection that connects again when it is needed. Not thread-safe.
class Connection
{
public:
    explicit Connection(std::string address);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    const std::string &address() const { return m_address; }
    Answer call(const Call &call);

private:
    bool open();
    void close();
    bool send(const std::string &text) const;
    bool hasUnaskedBytes() const;
    void receive(Answer &answer, std::chrono::steady_clock::time_point until);

    std::string m_address;
    int m_socket = -1;
};

/// Makes one call on a connection of its own.
Answer callOnce(const std::string &address, const Call &call);

/// Threads that repeat an action until they are stopped. The destructor stops them.
class CallerPool
{
public:
    using Action = std::function<void(std::size_t caller)>;

    CallerPool(std::size_t callers, Action action);
    ~CallerPool();
    CallerPool(const CallerPool &) = delete;
    CallerPool &operator=(const CallerPool &) = delete;

    void stop();

private:
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_threads;
};

/// Answers from several threads.
class AnswerLog
{
public:
    void add(Answer answer);
    std::vector<Answer> take();
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Answer> m_answers;
};

} // namespace marigoldspool::system_tests

#endif
