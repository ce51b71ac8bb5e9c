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
void addLoad(LoadedModels &models, const std::pair<ModelName, std::string> &load)
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
    for (auto &[id, contact] : m_contacts) {
        if (!contact.calling && now >= contact.reportAt) {
            requestReport(id);
        }
    }
}

// Reports lag behind, but loads from memory or disk and loads of adapters take a time that is
// known, so callers are sent there when it has passed. An engine that is late refuses them before
// running.
void PlacementDriver::expect(Contact &contact, const PlacementOrder &order, SteadyTime from)
{
    contact.expected[{order.model, order.adapter}] = {from, from + ExpectedFor};
}

void PlacementDriver::applyExpected()
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto &[id, contact] : m_contacts) {
        for (auto &[load, expected] : contact.expected) {
            const auto engine = m_planner.engines().find(id);
            if (expected.applied || now < expected.from || engine == m_planner.engines().end()) {
                continue;
            }
            expected.applied = true;
            addLoad(engine->second.models, load);
            contact.changed = true;
            m_changed = true;
        }
    }
}

// A report that was made before the end of an expected load does not take it back.
void PlacementDriver::keepExpected(Contact &contact, LoadedModels &reported, SteadyTime now)
{
    for (auto it = contact.expected.begin(); it != contact.expected.end();) {
        const auto &[load, expected] = *it;
        const auto model = reported.find(load.first);
        const bool isReported = model != reported.end()
            && (load.second.empty() || model->second.count(load.second) > 0);
        if (isReported || now >= expected.until) {
            it = contact.expected.erase(it);
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
    const TrackedEndpoint *state = m_runtime.directory.find(id);
    Contact &contact = m_contacts[id];
    if (state == nullptr || state->listed.address.empty()) {
        contact.reportAt = m_runtime.clock.now() + IdleReportInterval;
        return;
    }
    contact.calling = true;
    EndpointCall call = m_runtime.wire.encodeReportCall(state->listed);
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
    const auto contactFound = m_contacts.find(id);
    if (found == m_planner.engines().end() || contactFound == m_contacts.end()) {
        return;
    }
    EngineState &engine = found->second;
    Contact &contact = contactFound->second;
    contact.calling = false;
    const SteadyTime now = m_runtime.clock.now();
    contact.reportAt = now + IdleReportInterval;
    Expected<EngineReport> report =
        body ? m_runtime.wire.decodeReport(*body) : tl::make_unexpected(body.error());
    if (!report) {
        ++contact.failures;
        contact.reportAt = now + FailurePause;
        if (contact.failures == MostFailures) {
            logEvent(LogLevel::Warning, "engine_silent",
                     {{"endpoint", id.str()}, {"error", describeError(report.error())}});
        }
        refreshUsable(engine, contact);
        return;
    }
    if (contact.failures >= MostFailures) {
        logEvent(LogLevel::Info, "engine_back", {{"endpoint", id.str()}});
    }
    contact.failures = 0;
    refreshUsable(engine, contact);
    engine.active = report->active;
    engine.queued = report->queued;
    engine.inMemory = std::move(report->inMemory);
    engine.onDisk = std::move(report->onDisk);
    // A report is a little older than the last order's answer; it counts once it has seen it.
    const bool isStale = engine.hasReported && report->orders < contact.orders
        && report->startedAtMs == contact.startedAtMs && contact.conflicts < ConflictsBeforeReport;
    if (isStale) {
        contact.reportAt = now + BusyReportInterval;
        return;
    }
    contact.orders = report->orders;
    contact.conflicts = 0;
    const bool firstReport = !engine.hasReported;
    engine.hasReported = true;
    const bool hasLoaded = engine.loading && report->models.count(*engine.loading) > 0;
    keepExpected(contact, report->models, now);
    if (engine.models != report->models || firstReport) {
        engine.models = std::move(report->models);
        contact.changed = true;
        m_changed = true;
    }
    if (firstReport) {
        logFirstReport(engine);
    }
    engine.loadingAdapters = std::move(report->coming);
    if (hasLoaded) {
        logEvent(LogLevel::Info, "model_loaded",
                 {{"endpoint", id.str()},
                  {"model", engine.loading->str()},
                  {"after_forecast_ms", std::to_string(toMilliseconds(now - engine.loadEndsAt))}});
        if (engine.source == LoadSource::Store) {
            const int atOnce = (contact.loadsAtStart + m_planner.storeLoadCount() + 1) / 2;
            m_planner.onStoreLoadFinished(engine.pool, *engine.loading,
                                          now - contact.loadStartedAt - ReportLag, atOnce);
        }
        engine.loading.reset();
        engine.hasPendingOrder = false;
        engine.hasPredecessorOrder = false;
        m_planDue = true;
    } else if (engine.loading) {
        const bool isOver = !report->busy && now >= engine.loadEndsAt + LoadOverdue;
        contact.reportAt = std::max(engine.loadEndsAt - ReportLag, now + BusyReportInterval);
        if (isOver) {
            logEvent(LogLevel::Warning, "load_lost",
                     {{"endpoint", id.str()}, {"model", engine.loading->str()}});
            engine.loading.reset();
            engine.hasPendingOrder = false;
            m_planDue = true;
        }
    } else {
        engine.hasPendingOrder = report->busy;
        engine.hasPredecessorOrder = report->busy && !engine.plannedLoad;
        if (report->busy || !engine.loadingAdapters.empty()) {
            contact.reportAt = now + BusyReportInterval;
        } else if (engine.plannedLoad) {
            m_planDue = true;
        }
    }
}

} // namespace marigoldspool
