#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/IpAddress.h"
#include "marigoldspool/Support/Settings.h"
#include "standins/platform-standin/PlatformServer.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

using namespace marigoldspool;

namespace {

int usageError(const Error &error)
{
    std::cerr << describeError(error) << '\n';
    return 64;
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(argv[0]);
    const auto settings = Settings::parse(
        "platform-standin",
        {{"listen", "127.0.0.1:0", "address to listen on"}, {"seed", "1", "seed of random faults"}},
        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings) {
        return usageError(settings.error());
    }
    if (settings->helpRequested()) {
        std::cout << settings->helpText();
        return 0;
    }
    const auto listen = splitAddress(settings->text("listen"));
    const auto seed = settings->integer("seed", 0, INT64_MAX);
    if (!listen || !seed) {
        return usageError(listen ? seed.error() : listen.error());
    }
    boost::asio::io_context io(1);
    PlatformServer server(io, {boost::asio::ip::make_address(listen->host), listen->port},
                          static_cast<std::uint64_t>(*seed));
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        io.stop();
    });
    std::cout << "listening address=" << server.address() << std::endl;
    io.run();
    return 0;
}
