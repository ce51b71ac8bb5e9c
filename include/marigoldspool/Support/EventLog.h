#ifndef MARIGOLDSPOOL_SUPPORT_EVENTLOG_H
#define MARIGOLDSPOOL_SUPPORT_EVENTLOG_H

#include <initializer_list>
#include <string>
#include <string_view>

#include <gsl/span>

namespace marigoldspool {

enum class LogLevel {
    Info,
    Warning,
    Error,
};

struct LogField {
    std::string_view key;
    std::string value;
};

/// Receives one event at a time and writes it as one line of key=value pairs.
class EventLog
{
public:
    virtual ~EventLog();
    virtual void write(LogLevel level, std::string_view event,
                       gsl::span<const LogField> fields) = 0;
};

/// Sends all events to \p log from now on; null restores the default, which writes through glog.
void setEventLog(EventLog *log);

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// One line such as `event=started instance=a-1`; values with spaces or quotes are quoted.
std::string formatEvent(std::string_view event, gsl::span<const LogField> fields);

/// Makes glog write to standard error; call once at program start.
void initializeLogging(const char *programName);

/// Writes all events to standard output from now on, limited to a few hundred lines per second
/// and without blocking; the next line written reports the number of dropped lines.
void initializeBoundedLogging(const char *programName);

} // namespace marigoldspool

#endif
