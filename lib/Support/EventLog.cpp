#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

#include <glog/logging.h>

namespace marigoldspool {

namespace {

class GlogEventLog final : public EventLog
{
public:
    void write(LogLevel level, std::string_view event, gsl::span<const LogField> fields) override
    {
        const std::string line = formatEvent(event, fields);
        switch (level) {
        case LogLevel::Info:
            LOG(INFO) << line;
            break;
        case LogLevel::Warning:
            LOG(WARNING) << line;
            break;
        case LogLevel::Error:
            LOG(ERROR) << line;
            break;
        }
    }
};

// Writes each line to standard output with one non-blocking write(). On a pipe, a line of at most
// PIPE_BUF bytes is written whole or not at all.
class StandardOutputSink final : public google::LogSink
{
public:
    StandardOutputSink()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0) {
            ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        }
    }

    void send(google::LogSeverity /*severity*/, const char * /*fullName*/,
              const char * /*baseName*/, int /*line*/, const google::LogMessageTime & /*time*/,
              const char *message, std::size_t length) override
    {
        m_line.assign(message, std::min(length, MaxLineBytes));
        m_line.push_back('\n');
        if (::write(STDOUT_FILENO, m_line.data(), m_line.size())
            != static_cast<ssize_t>(m_line.size())) {
            ++m_lostLineCount;
        }
    }
    using LogSink::send;

    std::uint64_t takeLostLineCount() { return std::exchange(m_lostLineCount, 0); }

private:
    // Less than PIPE_BUF, so that writes to a pipe are atomic.
    static constexpr std::size_t MaxLineBytes = 4000;
    std::string m_line;
    std::uint64_t m_lostLineCount = 0;
};

// Limits the number of lines per second. Each line has its own timestamp instead of glog's prefix,
// which would give this file as the source location of every event.
class BoundedEventLog final : public EventLog
{
public:
    void write(LogLevel level, std::string_view event, gsl::span<const LogField> fields) override
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_linesInWindow = 0;
        }
        // Warnings and errors have extra lines, so that they are logged when requests use up the
        // limit.
        const int maxLines = level == LogLevel::Info ? MaxLinesPerSecond
                                                     : MaxLinesPerSecond + ReservedLinesPerSecond;
        if (m_linesInWindow >= maxLines) {
            ++m_droppedLineCount;
            return;
        }
        ++m_linesInWindow;
        std::string line = "time_ms=" + std::to_string(wallMilliseconds())
            + " level=" + levelName(level) + ' ' + formatEvent(event, fields);
        m_droppedLineCount += m_sink.takeLostLineCount();
        if (m_droppedLineCount > 0) {
            line += " lines_dropped=" + std::to_string(m_droppedLineCount);
            m_droppedLineCount = 0;
        }
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&m_sink, INFO) << line;
    }

private:
    // Enough for two lines per request on a busy instance, plus state changes.
    static constexpr int MaxLinesPerSecond = 250;
    static constexpr int ReservedLinesPerSecond = 50;

    static const char *levelName(LogLevel level)
    {
        return level == LogLevel::Info ? "info" : level == LogLevel::Warning ? "warning" : "error";
    }

    static std::int64_t wallMilliseconds()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    }

    StandardOutputSink m_sink;
    std::chrono::steady_clock::time_point m_windowStart;
    int m_linesInWindow = 0;
    std::uint64_t m_droppedLineCount = 0;
};

EventLog *customLog = nullptr;

EventLog &currentLog()
{
    static GlogEventLog defaultLog;
    return customLog != nullptr ? *customLog : defaultLog;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

// Escapes line breaks too, so that text from callers cannot forge a log line.
void appendQuoted(std::string &line, std::string_view value)
{
    line.push_back('"');
    for (const char c : value) {
        switch (c) {
        case '"':
            line += "\\\"";
            break;
        case '\\':
            line += "\\\\";
            break;
        case '\n':
            line += "\\n";
            break;
        case '\r':
            line += "\\r";
            break;
        default:
            line.push_back(c);
        }
    }
    line.push_back('"');
}

} // namespace

EventLog::~EventLog() = default;

void setEventLog(EventLog *log)
{
    customLog = log;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    currentLog().write(level, event, gsl::span<const LogField>(fields.begin(), fields.size()));
}

std::string formatEvent(std::string_view event, gsl::span<const LogField> fields)
{
    std::string line = "event=";
    line += event;
    for (const LogField &field : fields) {
        line.push_back(' ');
        line += field.key;
        line.push_back('=');
        if (needsQuotes(field.value)) {
            appendQuoted(line, field.value);
        } else {
            line += field.value;
        }
    }
    return line;
}

void initializeBoundedLogging(const char *programName)
{
    static BoundedEventLog log;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
    setEventLog(&log);
}

void initializeLogging(const char *programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

} // namespace marigoldspool
