// Relays each request to one endpoint through HttpServer and EndpointClient, to measure these two
// without the rest of the daemon. Prints its processor time at the end.

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Settings.h"

#include <csignal>
#include <iostream>
#include <sys/resource.h>

#include <boost/asio/signal_set.hpp>

using namespace marigoldspool;

namespace {

class RelayCall final : public EndpointCallHandler
{
public:
    explicit RelayCall(std::shared_ptr<ResponseSink> sink)
        : m_sink(std::move(sink))
    { }

    void onHead(int status, gsl::span<const HeaderField> headers) override
    {
        const bool isStream = findHeader(headers, "Content-Length") == nullptr;
        m_sink->head(status, headers, isStream);
        m_headSent = true;
    }

    void onData(std::string_view bytes) override { m_sink->data(bytes); }
    void onComplete() override { m_sink->finish(); }

    void onFailure(SendStage, Error error) override
    {
        logEvent(LogLevel::Warning, "call_failed", {{"cause", describeError(error)}});
        if (m_headSent) {
            m_sink->abort();
            return;
        }
        m_sink->head(502, {}, false);
        m_sink->finish();
    }

private:
    std::shared_ptr<ResponseSink> m_sink;
    bool m_headSent = false;
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

int serve(const std::string &listen, const std::string &endpoint)
{
    boost::asio::io_context io;
    SystemClock clock;
    Metrics metrics;
    std::uint64_t requests = 0;
    const auto client = makeEndpointClient(io, clock, metrics);
    HttpServerOptions options;
    options.address = listen;
    const auto server = makeHttpServer(
        io, options,
        [&](HttpRequest request, std::shared_ptr<ResponseSink> sink) {
            const std::string *id = findHeader(request.headers, "X-Request-Id");
            EndpointCall call;
            call.id = RequestId(id != nullptr ? *id : std::to_string(requests));
            ++requests;
            call.address = endpoint;
            call.method = std::move(request.method);
            call.target = std::move(request.target);
            call.headers = std::move(request.headers);
            call.body = std::move(request.body);
            sink->onCallerGone([&client, gone = call.id] {
                client->cancel(gone);
            });
            client->call(std::move(call), std::make_shared<RelayCall>(std::move(sink)));
        },
        metrics);
    if (!server) {
        std::cerr << describeError(server.error()) << '\n';
        return 1;
    }
    std::cout << "listening address=127.0.0.1:" << (*server)->port() << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    io.run();
    const double used = processorSeconds();
    std::cout << "requests=" << requests << " processor_seconds=" << used
              << " microseconds_per_request=" << used * 1e6 / static_cast<double>(requests)
              << std::endl;
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(argv[0]);
    const auto settings =
        Settings::parse("path-relay",
                        {{"listen", "127.0.0.1:0", "address to serve on"},
                         {"endpoint", "", "address that requests are relayed to", true}},
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings || settings->helpRequested()) {
        std::cerr << (settings ? settings->helpText() : describeError(settings.error())) << '\n';
        return settings ? 0 : 2;
    }
    const auto listen = settings->address("listen");
    const auto endpoint = settings->address("endpoint");
    if (!listen || !endpoint) {
        std::cerr << describeError(listen ? endpoint.error() : listen.error()) << '\n';
        return 2;
    }
    return serve(*listen, *endpoint);
}
