#include "standins/common/StandinBase.h"

#include <algorithm>

using namespace marigoldspool;
using namespace marigoldspool::standins;

namespace {

/// A plain service: each call runs for a while and repeats its request id and body.
class PlainService final : public StandinBase
{
public:
    PlainService(boost::asio::io_context &io, Duration runTime)
        : StandinBase(io)
        , m_runTime(runTime)
    { }
    ~PlainService() override { close(); }
    PlainService(const PlainService &) = delete;
    PlainService &operator=(const PlainService &) = delete;

protected:
    void handle(HttpRequest request, Sink sink) override
    {
        const std::string id = requestId(request);
        countRun(id);
        m_greatestConcurrency = std::max(m_greatestConcurrency, ++m_running);
        const Json body{{"request_id", id},
                        {"method", request.method},
                        {"target", request.target},
                        {"body", request.body}};
        if (m_runTime == Duration::zero()) {
            finish(std::move(sink), body);
            return;
        }
        after(m_runTime, [this, sink = std::move(sink), body] {
            finish(sink, body);
        });
    }

    void becomeCold() override { }

    void addCounts(Json &counts) const override
    {
        counts["running"] = m_running;
        counts["greatest_concurrency"] = m_greatestConcurrency;
    }

private:
    void finish(Sink sink, const Json &body)
    {
        --m_running;
        answer(std::move(sink), 200, body);
    }

    Duration m_runTime;
    int m_running = 0;
    int m_greatestConcurrency = 0;
};

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(argv[0]);
    const auto settings =
        Settings::parse("service-standin",
                        {{"listen", "127.0.0.1:0", "address to serve on"},
                         {"run-time", "0ms", "time that each call takes"}},
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (const auto code = checkSettings(settings)) {
        return *code;
    }
    const auto address = valueOrExit(settings->address("listen"));
    boost::asio::io_context io;
    PlainService service(
        io, valueOrExit(settings->duration("run-time", Duration::zero(), std::chrono::hours(1))));
    return serve(io, service, address);
}
