#ifndef MARIGOLDSPOOL_LIB_GATEWAY_REQUESTPARSER_H
#define MARIGOLDSPOOL_LIB_GATEWAY_REQUESTPARSER_H

#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Http/HeadScanner.h"
#include "marigoldspool/Support/Refusal.h"

#include <chrono>
#include <memory>
#include <string>

namespace marigoldspool {

/// Why a request does not reach the handler.
struct RequestFault {
    RefusalReason reason = RefusalReason::Malformed;
    int status = 400;
    std::string message;
    std::string remedy;
    /// Sent to the caller; zero: waiting does not help.
    std::chrono::seconds retryAfter{0};
};

/// Reads one request from the bytes of a connection.
class RequestParser
{
public:
    enum class Result {
        NeedMore,
        Complete,
        Failed,
    };

    RequestParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /// Removes from \p in what belongs to the request. Must not be called after Complete or
    /// Failed.
    Result feed(std::string &in);

    bool isHeadDone() const { return m_headDone; }
    /// The head asks for `100 Continue` before the body.
    bool expectsContinue() const;
    /// The connection can serve another request after this one.
    bool keepAlive() const;
    bool isHttp11() const { return m_http11; }
    bool isHead() const;
    /// Bytes of the body as the head states them, or as received so far.
    std::size_t bodyBytes() const;
    /// Without hop-by-hop fields and without those that describe the transfer of the body.
    HttpRequest takeRequest();
    const RequestFault &fault() const { return m_fault; }

private:
    class Impl;

    Result fail(int status, std::string message, std::string remedy);
    Result malformed(std::string message);
    Result feedHead(std::string &in);
    Result feedBody(std::string &in);
    Result checkHead();

    std::size_t m_maxHeaderBytes;
    std::unique_ptr<Impl> m_impl;
    HeadScanner m_scanner;
    bool m_headDone = false;
    bool m_http11 = false;
    RequestFault m_fault;
};

} // namespace marigoldspool

#endif
