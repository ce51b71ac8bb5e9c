#include "Fleet/CrashCheck.h"

#include "Fleet/EngineCalls.h"
#include "marigoldspool/Support/EventLog.h"

namespace marigoldspool {

namespace {

// A crashed engine refuses connections at once. One that does not answer in this time may be cut
// off, which says nothing about its requests.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

// Requests of one engine that are kept while it is being asked.
constexpr std::size_t MaxLostPrompts = 64;

} // namespace

/// Interprets the answer to a report call.
class CrashCheck::ReportHandler final : public EndpointCallHandler
{
public:
    ReportHandler(const std::shared_ptr<CrashCheck> &check, ListedEndpoint engine)
        : m_check(check)
        , m_engine(std::move(engine))
        , m_askedAt(check->m_runtime.clock.now())
    { }

    void onHead(int status, gsl::span<const HeaderField> headers) override
    {
        m_status = status;
        if (const auto check = m_check.lock()) {
            m_traits = check->m_runtime.codec.decodeAnswer(status, headers);
            check->m_runtime.noteAnswer({m_engine.id, m_engine.startedAtMs}, m_traits,
                                        StatementSource::Report, m_askedAt);
        }
    }
    void onData(std::string_view bytes) override { m_body.append(bytes); }
    void onComplete() override
    {
        const auto check = m_check.lock();
        if (!check) {
            return;
        }
        if (m_traits.misdirected) {
            check->finish(m_engine.id, true, "replaced");
            return;
        }
        const Expected<EngineReport> report = check->m_runtime.codec.decodeReport(m_body);
        const bool hasRestarted =
            m_status == 200 && report && report->startedAtMs > m_engine.startedAtMs;
        check->finish(m_engine.id, hasRestarted, hasRestarted ? "restarted" : "answers");
    }
    void onFailure(SendStage stage, Error /*error*/) override
    {
        const auto check = m_check.lock();
        if (!check) {
            return;
        }
        const bool isRefused = stage == SendStage::NotSent
            && check->m_runtime.clock.now() - m_askedAt < ConnectTimeout;
        check->finish(m_engine.id, isRefused, isRefused ? "refuses_connections" : "unknown");
    }

private:
    std::weak_ptr<CrashCheck> m_check;
    ListedEndpoint m_engine;
    SteadyTime m_askedAt;
    int m_status = 0;
    AnswerTraits m_traits;
    std::string m_body;
};

CrashCheck::CrashCheck(FleetRuntime &runtime)
    : m_runtime(runtime)
{ }

void CrashCheck::onConnectionLost(const EndpointId &engine, const std::vector<PromptPart> &prompt)
{
    const TrackedEndpoint *state = m_runtime.directory.find(engine);
    // An engine that leaves ends its connections without a crash, and one that wants no requests is
    // not asked either.
    if (state == nullptr || prompt.empty() || !m_runtime.directory.acceptsCalls(engine)) {
        return;
    }
    const auto [it, isFirst] = m_lostPrompts.try_emplace(engine);
    if (it->second.size() < MaxLostPrompts) {
        it->second.push_back(prompt);
    }
    if (isFirst) {
        askEngine(state->listed);
    }
}

void CrashCheck::askEngine(const ListedEndpoint &engine)
{
    EndpointCall call = m_runtime.codec.encodeReportCall(engine);
    prepareEngineCall(call, "crash-check-" + std::to_string(++m_callCounter));
    call.connectTimeout = ConnectTimeout;
    m_runtime.endpoints->call(std::move(call),
                              std::make_shared<ReportHandler>(shared_from_this(), engine));
}

void CrashCheck::finish(const EndpointId &id, bool hasCrashed, std::string_view evidence)
{
    const auto it = m_lostPrompts.find(id);
    const std::vector<std::vector<PromptPart>> prompts = std::move(it->second);
    m_lostPrompts.erase(it);
    logEvent(hasCrashed ? LogLevel::Warning : LogLevel::Info,
             hasCrashed ? "engine_crashed" : "connection_lost",
             {{"endpoint", id.str()},
              {"evidence", std::string(evidence)},
              {"requests", std::to_string(prompts.size())}});
    const TrackedEndpoint *state = m_runtime.directory.find(id);
    if (!hasCrashed || state == nullptr) {
        return;
    }
    for (const std::vector<PromptPart> &prompt : prompts) {
        m_runtime.quarantine.onCrash(id, state->listed.pool, prompt);
    }
}

} // namespace marigoldspool
