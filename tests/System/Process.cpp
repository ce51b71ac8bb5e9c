#include "System/Process.h"

#include "System/Wait.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace marigoldspool::system_tests {

Process::Process(const std::string &program, std::vector<std::string> arguments,
                 std::string logPath)
    : m_logPath(std::move(logPath))
{
    const std::string path = std::string(MARIGOLDSPOOL_PROGRAM_DIR) + "/" + program;
    arguments.insert(arguments.begin(), path);
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    constexpr int Flags = O_WRONLY | O_CREAT | O_APPEND;
    const std::string out = m_logPath + ".out";
    const std::string err = m_logPath + ".err";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), Flags, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err.c_str(), Flags, 0600);
    const int failure = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        m_pid = -1;
        throw std::runtime_error("cannot start " + path + "; build all programs first");
    }
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    signal(SIGKILL);
    if (m_pid > 0) {
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
    }
}

std::optional<int> Process::waitForExit(Milliseconds limit)
{
    int status = 0;
    const bool ended = waitUntil(limit, [&] {
        return m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) == m_pid;
    });
    if (!ended) {
        return std::nullopt;
    }
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string Process::output() const
{
    const std::ifstream file(m_logPath + ".out");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace marigoldspool::system_tests
