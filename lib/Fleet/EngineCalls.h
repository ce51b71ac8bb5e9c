#ifndef MARIGOLDSPOOL_LIB_FLEET_ENGINECALLS_H
#define MARIGOLDSPOOL_LIB_FLEET_ENGINECALLS_H

#include "Fleet/FleetRuntime.h"

#include <functional>
#include <string>
#include <utility>

namespace marigoldspool {

constexpr Duration BusyReportInterval = std::chrono::milliseconds(100);
// Age of the state that an engine reports.
constexpr Duration ReportLag = std::chrono::milliseconds(150);
// A crashed engine refuses connections at once, and its models have to be loaded elsewhere.
constexpr Duration FirstFailureBackoff = std::chrono::milliseconds(200);
constexpr Duration FailureBackoff = std::chrono::milliseconds(600);
// After this many consecutive conflicts, the number of accepted orders is read from a report.
constexpr int ConflictsBeforeReport = 3;
// After this many consecutive failed reports, an engine gets no orders.
constexpr int MaxReportFailures = 2;
// The report of an engine is not repeated within this time because requests wait for it or because
// it has been silent.
constexpr Duration MinSuspectReportInterval = std::chrono::milliseconds(500);
constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
// Answers to reports and orders are lists of a few hundred names at most.
constexpr std::size_t MaxCallAnswerBytes = 256U << 10U;

/// Sets the id of a report call or an order, and what it may take.
inline void prepareEngineCall(EndpointCall &call, std::string id)
{
    call.id = RequestId(std::move(id));
    call.timeout = CallTimeout;
    call.connectTimeout = CallTimeout;
    call.maxAnswerBytes = MaxCallAnswerBytes;
}

/// Buffers a small response, records what the engine states about itself in it, and passes on its
/// status and body.
class CollectingHandler final : public EndpointCallHandler
{
public:
    using Done = std::function<void(Expected<std::pair<int, std::string>>)>;

    CollectingHandler(FleetRuntime &runtime, const ListedEndpoint &engine, StatementSource source,
                      Done done)
        : m_runtime(runtime)
        , m_called{engine.id, engine.startedAtMs}
        , m_source(source)
        , m_askedAt(runtime.clock.now())
        , m_done(std::move(done))
    { }

    void onHead(int status, gsl::span<const HeaderField> headers) override
    {
        m_status = status;
        m_runtime.noteAnswer(m_called, m_runtime.codec.decodeAnswer(status, headers), m_source,
                             m_askedAt);
    }
    void onData(std::string_view bytes) override { m_body.append(bytes); }
    void onComplete() override { m_done(std::make_pair(m_status, std::move(m_body))); }
    void onFailure(SendStage /*stage*/, Error error) override
    {
        m_done(tl::make_unexpected(std::move(error)));
    }

private:
    FleetRuntime &m_runtime;
    EndpointIncarnation m_called;
    StatementSource m_source;
    SteadyTime m_askedAt;
    Done m_done;
    int m_status = 0;
    std::string m_body;
};

} // namespace marigoldspool

#endif
