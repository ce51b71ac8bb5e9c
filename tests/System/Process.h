#ifndef MARIGOLDSPOOL_TESTS_SYSTEM_PROCESS_H
#define MARIGOLDSPOOL_TESTS_SYSTEM_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace marigoldspool::system_tests {

using Milliseconds = std::chrono::milliseconds;

/// One built program that the test has started. It is killed and reaped at the latest by the
/// destructor. Functions throw std::runtime_error on failure.
class Process
{
public:
    /// Output goes to \p logPath with `.out` and `.err` appended; both files are appended to.
    Process(const std::string &program, std::vector<std::string> arguments, std::string logPath);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    void kill();
    /// The exit code, or minus the signal; empty when it still runs after \p limit.
    std::optional<int> waitForExit(Milliseconds limit);
    std::string output() const;

private:
    std::string m_logPath;
    pid_t m_pid = -1;
};

} // namespace marigoldspool::system_tests

#endif
