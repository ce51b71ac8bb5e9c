#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_3_CALLER_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_3_CALLER_H

#include "Http.h"

#include <functional>
#include <string>
#include <vector>

namespace marigoldspool::review3 {

struct Answer {
    int status = 0;
    Message head;
    std::string body;
    /// The answer ended as its head said: by its length, its last chunk, or, with neither, by a
    /// close of the connection.
    bool complete = false;
    /// end, closed, reset, timeout or not_connected.
    std::string ended;
    Milliseconds duration{0};

    /// The ids of the whole events of a stream.
    std::vector<int> events() const;
};

struct CallerRequest {
    std::string method = "POST";
    std::string target;
    std::string host = "calls.example";
    std::string id;
    std::string key;
    std::vector<Field> fields;
    std::string body;
    int deadlineMs = 12'000;
};

std::string formatRequest(const CallerRequest &request);
/// Sends the request on a new connection and reads the answer.
Answer callOnce(const std::string &address, const CallerRequest &request);
/// Reads an answer from a connection on which a request has been sent.
Answer readAnswer(Connection &connection, Milliseconds timeout);
/// 16 hexadecimal digits, different for each call.
std::string newRequestId();

} // namespace marigoldspool::review3

#endif
