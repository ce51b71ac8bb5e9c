#include "marigoldspool/Support/EventLog.h"

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

EventLog *installedLog = nullptr;

EventLog &currentLog()
{
    static GlogEventLog defaultLog;
    return installedLog != nullptr ? *installedLog : defaultLog;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

// Escapes line breaks as well: text from callers must not be able to forge a log line.
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
    installedLog = log;
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

void initializeLogging(const char *programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

} // namespace marigoldspool
