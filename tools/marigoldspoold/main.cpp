#include "marigoldspool/Daemon/Daemon.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Settings.h"

#include <csignal>
#include <iostream>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

using namespace marigoldspool;

namespace {

// Exit codes follow sysexits.h, so that a service manager can tell a wrong setting from a failure.
constexpr int ExitUsage = 64;
constexpr int ExitUnavailable = 69;
constexpr int ExitSoftware = 70;

int reportUsage(const Error &error)
{
    std::cerr << "marigoldspoold: " << describeError(error) << '\n';
    return ExitUsage;
}

int runDaemon(DaemonSettings daemonSettings)
{
    boost::asio::io_context io(1);
    Daemon daemon(io, std::move(daemonSettings));
    int exitCode = 0;
    daemon.setFailureHandler([&](const Error &error) {
        logEvent(LogLevel::Error, "giving_up", {{"error", describeError(error)}});
        exitCode = ExitSoftware;
        io.stop();
    });
    const Expected<void> started = daemon.start();
    if (!started) {
        std::cerr << "marigoldspoold: " << describeError(started.error()) << '\n';
        return ExitUnavailable;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec) {
            daemon.stop([&] {
                io.stop();
            });
        }
    });
    io.run();
    logEvent(LogLevel::Info, "stopped");
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(argv[0]);
    const gsl::span<const char *const> arguments(argv + 1, static_cast<std::size_t>(argc - 1));
    const Expected<Settings> settings =
        Settings::parse("marigoldspoold", daemonSettingSpecs(), arguments);
    if (!settings) {
        return reportUsage(settings.error());
    }
    if (settings->helpRequested()) {
        std::cout << settings->helpText();
        return 0;
    }
    if (!settings->positional().empty()) {
        return reportUsage(makeError(ErrorKind::InvalidArgument,
                                     "unexpected argument \"" + settings->positional()[0] + "\"",
                                     "see marigoldspoold --help"));
    }
    Expected<DaemonSettings> daemonSettings = readDaemonSettings(*settings);
    if (!daemonSettings) {
        return reportUsage(daemonSettings.error());
    }
    return runDaemon(std::move(*daemonSettings));
}
