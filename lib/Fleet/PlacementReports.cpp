// How the driver learns what the engines hold: from their reports, and before those from the time
// that a load takes.
#include "Fleet/EngineCalls.h"
#include "Fleet/PlacementDriver.h"

#include "marigoldspool/Support/EventLog.h"

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Reports are priced; between orders only engines that were restarted or changed by a late order
// bring news.
constexpr Duration IdleReportInterval = milliseconds(4000);
// Reports are up to 371 ms behind, measured over 379 loads on a grown bench site.
constexpr Duration ExpectedFor = milliseconds(600);
// A load that has not come by this long after its time is looked at again.
constexpr Duration LoadOverdue = milliseconds(4000);

std::string joinNames(const std::set<ModelName> &names)
{
    std::string joined;
    for (const ModelName &name : names) {
        joined += joined.empty() ? name.str() : ',' + name.str();
    }
    return joined;
}

// An adapter is there only with its model.
void addLoad(HeldModels &models, const std::pair<ModelName, std::string> &load)
{
    const auto &[model, adapter] = load;
    if (adapter.empty()) {
        models.emplace(model, std::set<std::string>());
        return;
    }
    const auto held = models.find(model);
    if (held != models.end()) {
        held->second.insert(adapter);
    }
}

// What later decisions about this engine start from.
void logFirstReport(const EngineState &engine)
{
    std::set<ModelName> held;
    for (const auto &[model, adapters] : engine.models) {
        held.insert(model);
    }
    logEvent(LogLevel::Info, "engine_reported",
             {{"endpoint", engine.id.str()},
              {"zone", engine.zone.str()},
              {"models", joinNames(held)},
              {"in_memory", joinNames(engine.inMemory)},
              {"on_disk", joinNames(engine.onDisk)}});
}

} // namespace

void PlacementDriver::pollReports()
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto &[id, contact] : m_trackers) {
        if (!contact.isCallPending && now >= contact.nextReport) {
            requestReport(id);
        }
    }
}

// Reports lag behind, but loads from memory or disk and loads of adapters take a time that is
// known, so callers are sent there when it has passed. An engine that is late refuses them before
// running.
void PlacementDriver::addExpectedLoad(EngineTracker &contact, const PlacementOrder &order,
                                      SteadyTime from)
{
    contact.expectedLoads[{order.model, order.adapter}] = {from, from + ExpectedFor};
}

void PlacementDriver::applyExpectedLoads()
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto &[id, contact] : m_trackers) {
        for (auto &[load, expected] : contact.expectedLoads) {
            const auto engine = m_planner.engines().find(id);
            if (expected.applied || now < expected.dueAt || engine == m_planner.engines().end()) {
                continue;
            }
            expected.applied = true;
            addLoad(engine->second.models, load);
            contact.isUnpublished = true;
            m_hasUnpublished = true;
        }
    }
}

// A report that was made before the end of an expected load does not take it back.
void PlacementDriver::mergeExpectedLoads(EngineTracker &contact, HeldModels &reported,
                                         SteadyTime now)
{
    for (auto it = contact.expectedLoads.begin(); it != contact.expectedLoads.end();) {
        const auto &[load, expected] = *it;
        const auto model = reported.find(load.first);
        const bool isReported = model != reported.end()
            && (load.second.empty() || model->second.count(load.second) > 0);
        if (isReported || now >= expected.expiresAt) {
            it = contact.expectedLoads.erase(it);
            continue;
        }
        if (expected.applied) {
            addLoad(reported, load);
        }
        ++it;
    }
}

void PlacementDriver::requestReport(const EndpointId &id)
{
    const EndpointState *state = m_runtime.directory.find(id);
    EngineTracker &contact = m_trackers[id];
    if (state == nullptr || state->listed.address.empty()) {
        contact.nextReport = m_runtime.clock.now() + IdleReportInterval;
        return;
    }
    contact.isCallPending = true;
    EndpointCall call = m_runtime.codec.encodeReportCall(state->listed);
    call.id = RequestId("report-" + std::to_string(++m_callCounter));
    call.timeout = CallTimeout;
    call.connectTimeout = CallTimeout;
    m_runtime.endpoints->call(
        std::move(call),
        std::make_shared<CollectingHandler>([this, id](Expected<std::pair<int, std::string>> it) {
            if (!it) {
                onReport(id, tl::make_unexpected(it.error()));
            } else if (it->first != 200) {
                onReport(id,
                         unexpectedError(ErrorKind::Unavailable,
                                         "the report has status " + std::to_string(it->first),
                                         "check the engine"));
            } else {
                onReport(id, std::move(it->second));
            }
        }));
}

void PlacementDriver::onReport(const EndpointId &id, Expected<std::string> body)
{
    const auto found = m_planner.engines().find(id);
    const auto contactFound = m_trackers.find(id);
    if (found == m_planner.engines().end() || contactFound == m_trackers.end()) {
        return;
    }
    EngineState &engine = found->second;
    EngineTracker &contact = contactFound->second;
    contact.isCallPending = false;
    const SteadyTime now = m_runtime.clock.now();
    contact.nextReport = now + IdleReportInterval;
    Expected<EngineReport> report =
        body ? m_runtime.codec.decodeReport(*body) : tl::make_unexpected(body.error());
    if (!report) {
        ++contact.failures;
        contact.nextReport = now + FailurePause;
        if (contact.failures == MostFailures) {
            logEvent(LogLevel::Warning, "engine_silent",
                     {{"endpoint", id.str()}, {"error", describeError(report.error())}});
        }
        updateUsable(engine, contact);
        return;
    }
    if (contact.failures >= MostFailures) {
        logEvent(LogLevel::Info, "engine_back", {{"endpoint", id.str()}});
    }
    contact.failures = 0;
    updateUsable(engine, contact);
    engine.active = report->active;
    engine.queued = report->queued;
    engine.inMemory = std::move(report->inMemory);
    engine.onDisk = std::move(report->onDisk);
    // A report is a little older than the last order's answer; it counts once it has seen it.
    const bool isStale = engine.known && report->acceptedOrders < contact.acceptedOrders
        && report->startedAtMs == contact.startedAtMs && contact.conflicts < ConflictsBeforeReport;
    if (isStale) {
        contact.nextReport = now + BusyReportInterval;
        return;
    }
    contact.acceptedOrders = report->acceptedOrders;
    contact.conflicts = 0;
    const bool firstReport = !engine.known;
    engine.known = true;
    const bool hasLoaded = engine.loading && report->models.count(*engine.loading) > 0;
    mergeExpectedLoads(contact, report->models, now);
    if (engine.models != report->models || firstReport) {
        engine.models = std::move(report->models);
        contact.isUnpublished = true;
        m_hasUnpublished = true;
    }
    if (firstReport) {
        logFirstReport(engine);
    }
    engine.coming = std::move(report->loadingAdapters);
    if (hasLoaded) {
        logEvent(LogLevel::Info, "model_loaded",
                 {{"endpoint", id.str()},
                  {"model", engine.loading->str()},
                  {"after_forecast_ms", std::to_string(toMilliseconds(now - engine.loadedAt))}});
        if (engine.source == LoadSource::Store) {
            const int atOnce = (contact.storeLoadsAtStart + m_planner.storeLoads() + 1) / 2;
            m_planner.onStoreLoaded(engine.pool, *engine.loading,
                                    now - contact.loadStartedAt - ReportLag, atOnce);
        }
        engine.loading.reset();
        engine.busy = false;
        engine.hasForeignOrder = false;
        m_isPlanDue = true;
    } else if (engine.loading) {
        const bool isOver = !report->busy && now >= engine.loadedAt + LoadOverdue;
        contact.nextReport = std::max(engine.loadedAt - ReportLag, now + BusyReportInterval);
        if (isOver) {
            logEvent(LogLevel::Warning, "load_lost",
                     {{"endpoint", id.str()}, {"model", engine.loading->str()}});
            engine.loading.reset();
            engine.busy = false;
            m_isPlanDue = true;
        }
    } else {
        engine.busy = report->busy;
        engine.hasForeignOrder = report->busy && !engine.intent;
        if (report->busy || !engine.coming.empty()) {
            contact.nextReport = now + BusyReportInterval;
        } else if (engine.intent) {
            m_isPlanDue = true;
        }
    }
}

} // namespace marigoldspool
