#include "Daemon/GatewayService.h"

#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Support/EventLog.h"

#include <utility>
#include <vector>

namespace marigoldspool {

namespace {

constexpr Duration StopPollInterval = std::chrono::milliseconds(20);

void respond(ResponseSink &sink, int status, std::string_view type, std::string_view body)
{
    const HeaderField headers[] = {{"Content-Type", std::string(type)}};
    sink.head(status, headers, false);
    sink.data(body);
    sink.finish();
}

} // namespace

GatewayService::GatewayService(Runtime &runtime, ConfigService &config, FrontService &front)
    : m_runtime(runtime)
    , m_config(config)
    , m_front(front)
    , m_stopTimer(runtime.io)
{ }

Expected<void> GatewayService::start()
{
    HttpServerOptions options;
    options.address = m_runtime.settings.listenAddress;
    auto server = makeHttpServer(
        m_runtime.io, options,
        [this](HttpRequest request, std::shared_ptr<ResponseSink> sink) {
            handle(std::move(request), std::move(sink));
        },
        m_runtime.metrics);
    if (!server) {
        return tl::make_unexpected(server.error());
    }
    m_server = std::move(*server);
    return {};
}

void GatewayService::stop(std::function<void()> stopped)
{
    m_stopped = std::move(stopped);
    m_acceptUntil = m_runtime.clock.now() + m_runtime.settings.drainNotice;
    m_stopTimer.start(StopPollInterval, [this] {
        const SteadyTime time = m_runtime.clock.now();
        if (time < m_acceptUntil) {
            return;
        }
        m_server->stopAccepting();
        if (m_server->openRequests() == 0 || time >= m_runtime.answersEndAt) {
            finishStop();
        }
    });
}

void GatewayService::finishStop()
{
    if (m_server->openRequests() > 0) {
        logEvent(LogLevel::Warning, "stop_timeout",
                 {{"open", std::to_string(m_server->openRequests())}});
        m_front.endOpenRequests();
    }
    m_stopTimer.stop();
    std::exchange(m_stopped, nullptr)();
}

void GatewayService::addPage(std::string path, PageSource source)
{
    m_pages.emplace(std::move(path), std::move(source));
}

bool GatewayService::isReady() const
{
    return m_config.hasConfiguration() && !m_runtime.stopping && (!m_readyCheck || m_readyCheck());
}

void GatewayService::handle(HttpRequest request, std::shared_ptr<ResponseSink> sink)
{
    if (!handleLocally(request, *sink)) {
        m_front.handle(std::move(request), std::move(sink));
    }
}

bool GatewayService::handleLocally(const HttpRequest &request, ResponseSink &sink)
{
    const std::string_view target = request.target;
    const std::size_t queryStart = target.find('?');
    const std::string path(target.substr(0, queryStart));
    if (request.method != "GET" && request.method != "HEAD") {
        return false;
    }
    if (path == "/healthz") {
        respond(sink, 200, "text/plain", "ok\n");
        return true;
    }
    if (path == "/readyz") {
        respond(sink, isReady() ? 200 : 503, "text/plain", isReady() ? "ready\n" : "not ready\n");
        return true;
    }
    if (path == "/metrics") {
        respond(sink, 200, "text/plain; version=0.0.4", m_runtime.metrics.exposition());
        return true;
    }
    if (path == "/v1/models") {
        respond(sink, 200, "application/json", modelList());
        return true;
    }
    const auto page = m_pages.find(path);
    if (page == m_pages.end()) {
        return false;
    }
    const std::string_view query =
        queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    respond(sink, 200, "application/json", page->second(query));
    return true;
}

std::string GatewayService::modelList() const
{
    std::vector<ModelName> names;
    for (const ModelRule &rule : m_config.current()->models()) {
        names.push_back(rule.name);
    }
    return modelListBody(names);
}

} // namespace marigoldspool
