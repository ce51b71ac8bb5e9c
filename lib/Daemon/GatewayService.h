#ifndef MARIGOLDSPOOL_LIB_DAEMON_GATEWAYSERVICE_H
#define MARIGOLDSPOOL_LIB_DAEMON_GATEWAYSERVICE_H

#include "Daemon/ConfigService.h"
#include "Daemon/FrontService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Supervisor/Supervisor.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace marigoldspool {

/// The HTTP server: answers health, metrics and operator pages itself and passes all other requests
/// to FrontService.
class GatewayService final : public Service
{
public:
    /// Returns the JSON body of an operator page; \p query is the part after the question mark.
    using PageSource = std::function<std::string(std::string_view query)>;

    GatewayService(Runtime &runtime, ConfigService &config, FrontService &front);

    std::string_view name() const override { return "gateway"; }
    Expected<void> start() override;
    /// Fails `/readyz` for the drain notice, then stops accepting and waits for open requests.
    /// Those that are open at the end of the stop are refused.
    void stop(std::function<void()> stopped) override;

    void addPage(std::string path, PageSource source);
    std::uint16_t port() const { return m_server->port(); }
    /// An additional condition for `/readyz`.
    void setReadyCheck(std::function<bool()> check) { m_readyCheck = std::move(check); }
    bool isReady() const;

private:
    void handle(HttpRequest request, std::shared_ptr<ResponseSink> sink);
    bool handleLocally(const HttpRequest &request, ResponseSink &sink);
    std::string modelList() const;
    void finishStop();

    Runtime &m_runtime;
    ConfigService &m_config;
    FrontService &m_front;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, PageSource> m_pages;
    std::function<bool()> m_readyCheck;
    PeriodicTimer m_stopTimer;
    std::function<void()> m_stopped;
    SteadyTime m_acceptUntil;
};

} // namespace marigoldspool

#endif
