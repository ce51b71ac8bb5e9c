#ifndef MARIGOLDSPOOL_LIB_FLEET_ENGINECALLS_H
#define MARIGOLDSPOOL_LIB_FLEET_ENGINECALLS_H

#include "marigoldspool/Gateway/EndpointClient.h"

#include <functional>
#include <string>
#include <utility>

namespace marigoldspool {

constexpr Duration BusyReportInterval = std::chrono::milliseconds(100);
// The reports of an engine are this old.
constexpr Duration ReportLag = std::chrono::milliseconds(150);
constexpr Duration FailurePause = std::chrono::milliseconds(600);
// After this many conflicts in a row the number of orders is read again.
constexpr int ConflictsBeforeReport = 3;
// An engine that answers no report this often is not usable for orders.
constexpr int MostFailures = 2;
constexpr Duration CallTimeout = std::chrono::milliseconds(1500);

/// Collects one small answer.
class CollectingHandler final : public EndpointCallHandler
{
public:
    using Done = std::function<void(Expected<std::pair<int, std::string>>)>;

    explicit CollectingHandler(Done done)
        : m_done(std::move(done))
    { }

    void onHead(int status, gsl::span<const HeaderField> /*headers*/) override
    {
        m_status = status;
    }
    void onData(std::string_view bytes) override { m_body.append(bytes); }
    void onComplete() override { m_done(std::make_pair(m_status, std::move(m_body))); }
    void onFailure(SendStage /*stage*/, Error error) override
    {
        m_done(tl::make_unexpected(std::move(error)));
    }

private:
    Done m_done;
    int m_status = 0;
    std::string m_body;
};

} // namespace marigoldspool

#endif
