#include "marigoldspool/Http/HeadScanner.h"

namespace marigoldspool {

// Beast joins a folded line to the value of the field before it, which hides the field that a
// sender may have meant. Other readers may see the head end at a bare CR or LF.
HeadScanner::Result HeadScanner::scan(std::string_view bytes)
{
    for (const char c : bytes) {
        ++m_scannedBytes;
        const bool isLineFeed = c == '\n';
        const bool isFolded = m_lineBytes == 0 && (c == ' ' || c == '\t');
        if (isLineFeed != m_afterReturn || isFolded || c == '\0') {
            return Result::Invalid;
        }
        if (isLineFeed && m_lineBytes == 1) {
            return Result::Complete;
        }
        m_afterReturn = c == '\r';
        m_lineBytes = isLineFeed ? 0 : m_lineBytes + 1;
    }
    return Result::NeedMore;
}

} // namespace marigoldspool
