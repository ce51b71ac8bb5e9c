#ifndef MARIGOLDSPOOL_HTTP_HEADSCANNER_H
#define MARIGOLDSPOOL_HTTP_HEADSCANNER_H

#include <cstddef>
#include <string_view>

namespace marigoldspool {

/// Finds the end of a message head that arrives in parts, and lines that readers of HTTP may
/// understand differently.
class HeadScanner
{
public:
    enum class Result {
        NeedMore,
        Complete, ///< The empty line behind the fields has been read.
        Invalid, ///< A bare CR or LF, a folded line or a NUL.
    };

    /// Reads the bytes that follow those of earlier calls, up to the end of the head. Must not be
    /// called after Complete or Invalid.
    Result scan(std::string_view bytes);
    /// Bytes read so far; after Complete, the size of the head.
    std::size_t scannedBytes() const { return m_scannedBytes; }

private:
    std::size_t m_scannedBytes = 0;
    /// Bytes of the current line so far, its CR included.
    std::size_t m_lineBytes = 0;
    bool m_afterReturn = false;
};

} // namespace marigoldspool

#endif
