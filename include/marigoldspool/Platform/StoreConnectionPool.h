#ifndef MARIGOLDSPOOL_PLATFORM_STORECONNECTIONPOOL_H
#define MARIGOLDSPOOL_PLATFORM_STORECONNECTIONPOOL_H

#include "marigoldspool/Support/Error.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/verb.hpp>

namespace marigoldspool {

struct StoreAnswer {
    unsigned status = 0;
    std::string body;
    /// The value of HttpCall::answerField, if the answer has that field.
    std::optional<std::string> field;
};

/// Converts an HTTP status of 300 or more to an error; \p isWrite: the call modifies the store.
Error storeStatusError(unsigned status, bool isWrite);

struct HttpCall {
    boost::beast::http::verb verb = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    /// The call modifies the store; a failure after it was sent is OutcomeUnknown.
    bool isWrite = false;
    /// Name of a header field of the answer to pass on.
    std::string answerField;
    /// When the call ends without an answer.
    std::chrono::steady_clock::time_point deadline;
    /// If not zero, an answer that has begun to arrive may take until this long after its last
    /// bytes, at most StoreConnectionPool::MaxAnswerTime after \c deadline.
    std::chrono::steady_clock::duration stallTimeout{};
    std::function<void(Expected<StoreAnswer>)> done;
};

class StoreConnection;

/// Keeps a bounded number of persistent connections to one server; further calls are queued.
class StoreConnectionPool : public std::enable_shared_from_this<StoreConnectionPool>
{
public:
    static constexpr std::chrono::seconds MaxAnswerTime{10};

    StoreConnectionPool(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server,
                        std::size_t maxConnections);
    ~StoreConnectionPool();

    void submit(HttpCall call);
    /// Cancels all calls without invoking their callbacks.
    void close();

private:
    friend class StoreConnection;
    void startNext();
    void rejectExpired();
    /// Rejects queued calls at their deadlines.
    void scheduleExpiry();
    void release(const std::shared_ptr<StoreConnection> &connection, bool reusable);
    void reject(HttpCall call, std::string message, std::string remedy);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::endpoint m_server;
    std::size_t m_maxConnections;
    std::deque<HttpCall> m_queue;
    boost::asio::steady_timer m_expiry;
    std::vector<std::shared_ptr<StoreConnection>> m_busy;
    std::vector<std::shared_ptr<StoreConnection>> m_idle;
};

} // namespace marigoldspool

#endif
