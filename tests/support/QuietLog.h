#ifndef MARIGOLDSPOOL_TESTS_SUPPORT_QUIETLOG_H
#define MARIGOLDSPOOL_TESTS_SUPPORT_QUIETLOG_H

#include "marigoldspool/Support/EventLog.h"

namespace marigoldspool::fake {

/// Drops all log lines while it exists.
class QuietLog final : public EventLog
{
public:
    QuietLog() { setEventLog(this); }
    ~QuietLog() override { setEventLog(nullptr); }
    QuietLog(const QuietLog &) = delete;
    QuietLog &operator=(const QuietLog &) = delete;
    void write(LogLevel, std::string_view, gsl::span<const LogField>) override { }
};

} // namespace marigoldspool::fake

#endif
