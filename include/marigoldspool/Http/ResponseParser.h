#ifndef MARIGOLDSPOOL_HTTP_RESPONSEPARSER_H
#define MARIGOLDSPOOL_HTTP_RESPONSEPARSER_H

#include "marigoldspool/Support/HeaderField.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// Reads one answer from the bytes of a connection.
class ResponseParser
{
public:
    /// \p isHead: the answer has no body, whatever its head says. \p maxBodyBytes: an answer with a
    /// longer body, stated or read, is malformed. Bodies that are forwarded without buffering need
    /// no limit.
    explicit ResponseParser(bool isHead,
                            std::uint64_t maxBodyBytes = std::numeric_limits<std::uint64_t>::max());
    ~ResponseParser();
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /// Reads what it can and returns the number of bytes used; sets \p problem when the answer is
    /// malformed. Parts of the body are views into \p bytes.
    std::size_t feed(std::string_view bytes, std::string &problem);

    /// The final head, not that of an interim answer, has been read.
    bool isHeadDone() const;
    /// The whole answer has been read, as its length or last chunk says.
    bool isDone() const;
    /// Neither a length nor chunks: only the closing of the connection ends the body.
    bool endsWithConnection() const;
    /// Only after isDone().
    bool keepAlive() const;
    int status() const;
    /// How long the server keeps the connection idle, as its Keep-Alive field says.
    std::optional<std::chrono::seconds> keepAliveTimeout() const;
    /// Tells the parser that the connection has ended; returns whether that completes the answer.
    bool finishAtEnd();
    /// Without hop-by-hop fields.
    std::vector<HeaderField> takeHeaders();
    /// Parts of the body found by the last feed().
    const std::vector<std::string_view> &bodyParts() const;

private:
    class Impl;
    void reset();

    bool m_isHead;
    std::uint64_t m_maxBodyBytes;
    int m_interimAnswers = 0;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldspool

#endif
