// The part of PlacementDriver that tracks the loaded models of each engine, from the engines'
// reports and, until a report arrives, from the expected duration of loads.
#include "Fleet/EngineCalls.h"
#include "Fleet/PlacementDriver.h"

#include "marigoldspool/Support/EventLog.h"

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// The platform charges for reports, and between orders they change only for engines that restarted
// or executed a late order.
constexpr Duration IdleReportInterval = milliseconds(4000);
// A load that is not reported this long after its expected end is taken as lost if the engine is
// idle.
constexpr Duration LoadOverdueAfter = milliseconds(4000);

std::string joinNames(const std::set<ModelName> &names)
{
    std::string joined;
    for (const ModelName &name : names) {
        joined += joined.empty() ? name.str() : ',' + name.str();
    }
    return joined;
}

// Logs the initial state of an engine, on which later placement decisions are based.
void logFirstReport(const EngineState &engine)
{
    std::set<ModelName> loaded;
    for (const auto &[model, adapters] : engine.models) {
        loaded.insert(model);
    }
    logEvent(LogLevel::Info, "engine_reported",
             {{"endpoint", engine.id.str()},
              {"zone", engine.zone.str()},
              {"models", joinNames(loaded)},
              {"in_memory", joinNames(engine.inMemory)},
              {"on_disk", joinNames(engine.onDisk)}});
}

} // namespace

void PlacementDriver::pollReports()
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto &[id, tracker] : m_trackers) {
        if (!tracker.isCallPending && now >= tracker.nextReport
            && m_runtime.directory.acceptsCalls(id)) {
            requestReport(id);
        }
    }
}

// While requests that may not be repeated are sent to an engine that has stopped answering, they
// are lost; its failed reports take it out of the placement.
void PlacementDriver::onSuspected(const EndpointId &endpoint)
{
    const auto it = m_trackers.find(endpoint);
    const SteadyTime now = m_runtime.clock.now();
    if (m_active && it != m_trackers.end()
        && now >= it->second.reportedAt + MinSuspectReportInterval) {
        it->second.nextReport = std::min(it->second.nextReport, now);
    }
}

// Reports lag, but the duration of loads of adapters and of loads from memory or disk is known, so
// once it has passed, requests and the next order are sent to the engine. An engine that is late
// refuses both without processing them.
void PlacementDriver::applyDueLoads()
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto &[id, tracker] : m_trackers) {
        const auto found = m_planner.engines().find(id);
        if (found == m_planner.engines().end()) {
            continue;
        }
        EngineState &engine = found->second;
        for (const AcceptedChanges::Key &load : tracker.changes.applyDueLoads(engine.models, now)) {
            tracker.isUnpublished = true;
            m_hasUnpublished = true;
            if (load.second.empty() && engine.loading == load.first) {
                onModelLoaded(engine, tracker, "expected");
            }
        }
    }
}

void PlacementDriver::onModelLoaded(EngineState &engine, EngineTracker &tracker,
                                    std::string_view source)
{
    const SteadyTime now = m_runtime.clock.now();
    logEvent(LogLevel::Info, "model_loaded",
             {{"endpoint", engine.id.str()},
              {"model", engine.loading->str()},
              {"known_from", std::string(source)},
              {"after_forecast_ms", std::to_string(toMilliseconds(now - engine.loadEndsAt))}});
    if (engine.source == LoadSource::Store) {
        const int concurrentLoads =
            (tracker.storeLoadsAtStart + m_planner.storeLoadCount() + 1) / 2;
        m_planner.onStoreLoadFinished(engine.pool, *engine.loading,
                                      now - tracker.loadStartedAt - ReportLag, concurrentLoads);
    }
    engine.readySince[*engine.loading] = now;
    engine.loading.reset();
    engine.hasPendingOrder = false;
    engine.hasPredecessorOrder = false;
    m_isPlanDue = true;
}

void PlacementDriver::requestReport(const EndpointId &id)
{
    const TrackedEndpoint *state = m_runtime.directory.find(id);
    EngineTracker &tracker = m_trackers[id];
    if (state == nullptr || state->listed.address.empty()) {
        tracker.nextReport = m_runtime.clock.now() + IdleReportInterval;
        return;
    }
    tracker.isCallPending = true;
    EndpointCall call = m_runtime.codec.encodeReportCall(state->listed);
    prepareEngineCall(call, "report-" + std::to_string(++m_callCounter));
    m_runtime.endpoints->call(std::move(call),
                              std::make_shared<CollectingHandler>(
                                  m_runtime, state->listed, StatementSource::Report,
                                  [this, id](Expected<std::pair<int, std::string>> it) {
                                      if (!it) {
                                          onReport(id, tl::make_unexpected(it.error()));
                                      } else if (it->first != 200) {
                                          onReport(
                                              id,
                                              unexpectedError(ErrorKind::Unavailable,
                                                              "the report request returned status "
                                                                  + std::to_string(it->first),
                                                              "check the engine"));
                                      } else {
                                          onReport(id, std::move(it->second));
                                      }
                                  }));
}

void PlacementDriver::onReport(const EndpointId &id, Expected<std::string> body)
{
    const auto found = m_planner.engines().find(id);
    const auto trackerFound = m_trackers.find(id);
    if (found == m_planner.engines().end() || trackerFound == m_trackers.end()) {
        return;
    }
    EngineState &engine = found->second;
    EngineTracker &tracker = trackerFound->second;
    tracker.isCallPending = false;
    const SteadyTime now = m_runtime.clock.now();
    tracker.reportedAt = now;
    tracker.nextReport = now + IdleReportInterval;
    Expected<EngineReport> report =
        body ? m_runtime.codec.decodeReport(*body) : tl::make_unexpected(body.error());
    if (!report && !m_runtime.directory.acceptsCalls(id)) {
        // The engine has answered that it leaves or wants no requests now; it is asked again at the
        // end of that time.
        tracker.nextReport = now;
        return;
    }
    if (!report) {
        ++tracker.failures;
        tracker.nextReport =
            now + (tracker.failures < MaxReportFailures ? FirstFailureBackoff : FailureBackoff);
        if (tracker.failures == MaxReportFailures) {
            logEvent(LogLevel::Warning, "engine_silent",
                     {{"endpoint", id.str()}, {"error", describeError(report.error())}});
        }
        updateUsable(engine, tracker);
        return;
    }
    if (tracker.failures >= MaxReportFailures) {
        logEvent(LogLevel::Info, "engine_back", {{"endpoint", id.str()}});
    }
    tracker.failures = 0;
    updateUsable(engine, tracker);
    engine.active = report->active;
    engine.queued = report->queued;
    engine.inMemory = std::move(report->inMemory);
    engine.onDisk = std::move(report->onDisk);
    // A report may be older than the response to the last order; it is ignored until it includes
    // that order.
    const bool isStale = engine.hasReported && report->acceptedOrders < tracker.acceptedOrders
        && report->startedAtMs == tracker.startedAtMs && tracker.conflicts < ConflictsBeforeReport;
    if (isStale) {
        tracker.nextReport = now + BusyReportInterval;
        return;
    }
    tracker.acceptedOrders = report->acceptedOrders;
    tracker.conflicts = 0;
    const bool isFirstReport = !engine.hasReported;
    engine.hasReported = true;
    const bool hasLoaded = engine.loading && report->models.count(*engine.loading) > 0;
    tracker.changes.correctReport(report->models, report->busy, now);
    if (engine.models != report->models || isFirstReport) {
        engine.models = std::move(report->models);
        tracker.isUnpublished = true;
        m_hasUnpublished = true;
    }
    if (isFirstReport) {
        logFirstReport(engine);
    }
    engine.loadingAdapters = std::move(report->loadingAdapters);
    if (hasLoaded) {
        onModelLoaded(engine, tracker, "report");
    } else if (engine.loading) {
        const bool isLost = !report->busy && now >= engine.loadEndsAt + LoadOverdueAfter;
        tracker.nextReport = std::max(engine.loadEndsAt - ReportLag, now + BusyReportInterval);
        if (isLost) {
            logEvent(LogLevel::Warning, "load_lost",
                     {{"endpoint", id.str()}, {"model", engine.loading->str()}});
            engine.loading.reset();
            engine.hasPendingOrder = false;
            m_isPlanDue = true;
        }
    } else {
        // A load that has just ended, or an unload with a load to follow, does not keep the engine
        // from taking the next order; if it is still busy, it refuses that order.
        const bool isBusy = report->busy && !tracker.changes.mayPredateLoad(now)
            && !(engine.plannedLoad && tracker.changes.isUnloading(now));
        engine.hasPendingOrder = isBusy;
        engine.hasPredecessorOrder = isBusy && !engine.plannedLoad;
        if (report->busy || !engine.loadingAdapters.empty()) {
            tracker.nextReport = now + BusyReportInterval;
        } else if (engine.plannedLoad) {
            m_isPlanDue = true;
        }
    }
}

} // namespace marigoldspool
