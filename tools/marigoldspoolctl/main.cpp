#include "marigoldspool/Operator/OperatorCommand.h"
#include "marigoldspool/Platform/HttpObjectStore.h"
#include "marigoldspool/Support/EventLog.h"

#include <iostream>

#include <boost/asio/steady_timer.hpp>

using namespace marigoldspool;

namespace {

/// What the commands need, on one Asio context.
class Process
{
public:
    OperatorContext context()
    {
        return {[this](const std::string &address, Duration timeout) -> ObjectStore & {
                    m_store = makeHttpObjectStore(m_io, address, timeout, m_metrics);
                    return *m_store;
                },
                *m_instances,
                m_clock,
                m_random,
                [this] {
                    return runOne();
                },
                [this](Duration duration) {
                    sleep(duration);
                },
                std::cout,
                std::cerr};
    }

private:
    bool runOne()
    {
        m_io.restart();
        return m_io.run_one() > 0;
    }

    void sleep(Duration duration)
    {
        bool isOver = false;
        boost::asio::steady_timer timer(
            m_io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
        timer.async_wait([&](boost::system::error_code) {
            isOver = true;
        });
        while (!isOver && runOne()) {
        }
    }

    boost::asio::io_context m_io{1};
    Metrics m_metrics;
    SystemClock m_clock;
    SeededRandomSource m_random{entropySeed()};
    std::unique_ptr<InstanceClient> m_instances = makeHttpInstanceClient(m_io);
    std::unique_ptr<ObjectStore> m_store;
};

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(argv[0]);
    Process process;
    OperatorContext context = process.context();
    const gsl::span<const char *const> arguments(argv + 1, static_cast<std::size_t>(argc - 1));
    const ExitCode code = runOperatorCommand(arguments, context);
    std::cout.flush();
    if (!std::cout) {
        // A rule file cut off by a full disk must not look complete to the script that asked.
        std::cerr << "error: the output could not be written; remedy: check where it goes\n";
        return static_cast<int>(ExitCode::Failed);
    }
    return static_cast<int>(code);
}
