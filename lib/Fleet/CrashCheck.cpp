#include "Fleet/CrashCheck.h"

#include "Fleet/EngineCalls.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace marigoldspool {

namespace {

// A crashed engine refuses connections at once. One that does not answer in this time may be cut
// off, which says nothing about its requests.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

// Requests of one engine that are kept while it is being asked. All of one instance's requests at
// an engine are lost with it; the one that crashed it may be any of them.
constexpr std::size_t MaxLostRequests = 256;

// Bounds the length of a log line.
constexpr std::size_t MaxLoggedParts = 12;

std::string textOf(const std::string &part)
{
    return part;
}

std::string textOf(const std::pair<const std::string, std::size_t> &suspect)
{
    return suspect.first + "(" + std::to_string(suspect.second) + ")";
}

template <class Parts>
std::string joined(const Parts &parts)
{
    std::string text;
    std::size_t count = 0;
    for (const auto &part : parts) {
        if (++count > MaxLoggedParts) {
            return text + "+" + std::to_string(parts.size() - MaxLoggedParts);
        }
        text.append(textOf(part)).append(" ");
    }
    return text.empty() ? "none" : text.substr(0, text.size() - 1);
}

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
            check->finish(m_engine.id, Finding::Crashed, "replaced");
            return;
        }
        const Expected<EngineReport> report = check->m_runtime.codec.decodeReport(m_body);
        check->finish(m_engine.id, Finding::Alive, "answers",
                      m_status == 200 && report ? report->startedAtMs : 0);
    }
    void onFailure(SendStage stage, Error error) override
    {
        const auto check = m_check.lock();
        if (!check) {
            return;
        }
        const bool isRefused = stage == SendStage::NotSent
            && check->m_runtime.clock.now() - m_askedAt < ConnectTimeout;
        check->finish(m_engine.id, isRefused ? Finding::Crashed : Finding::Unknown,
                      isRefused ? std::string("refuses_connections") : "unknown: " + error.message);
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

void CrashCheck::onConnectionLost(const EndpointIncarnation &engine, const RequestId &request,
                                  const std::vector<PromptPart> &parts, LostAnswer kind,
                                  Handler handler)
{
    assert(!parts.empty() && "each request has at least its fingerprint");
    const EndpointId &id = engine.endpoint;
    const TrackedEndpoint *state = m_runtime.directory.find(id);
    // An engine that leaves ends its connections without a crash, and one that wants no requests is
    // not asked either. One at its announced end refuses connections, as after a crash.
    const bool canAsk = state != nullptr && m_runtime.directory.acceptsCalls(id)
        && !m_runtime.directory.isAtEnd(id);
    Check *check = canAsk ? &m_lost[id] : nullptr;
    if (check == nullptr || check->asked.size() + check->next.size() >= MaxLostRequests) {
        if (handler) {
            handler(Verdict::Unknown);
        }
        return;
    }
    const bool isFirst = check->asked.empty();
    (isFirst ? check->asked : check->next)
        .push_back({request, engine.startedAtMs, parts, kind, std::move(handler)});
    if (isFirst) {
        askEngine(state->listed);
    }
}

void CrashCheck::askEngine(const ListedEndpoint &engine)
{
    EndpointCall call = m_runtime.codec.encodeReportCall(engine);
    // Endpoints without models have no report to give; any answer shows that the process lives.
    const EndpointPool *pool = m_runtime.routes == nullptr
        ? nullptr
        : m_runtime.routes->configuration()->pool(engine.pool);
    if (pool != nullptr && !pool->engine && !pool->healthPath.empty()) {
        call.target = pool->healthPath;
    }
    prepareEngineCall(call, "crash-check-" + std::to_string(++m_callCounter));
    call.connectTimeout = ConnectTimeout;
    // A 421 is evidence only if it is not the copy of an earlier one.
    call.needsOwnAnswer = true;
    m_runtime.endpoints->call(std::move(call),
                              std::make_shared<ReportHandler>(shared_from_this(), engine));
}

// A process that answers is no proof for one that had the request before, under the same id. Plain
// services have no report, so the later of the two is what is listed by now.
void CrashCheck::finish(const EndpointId &id, Finding finding, std::string_view evidence,
                        std::int64_t startedAtMs)
{
    const auto it = m_lost.find(id);
    std::vector<LostRequest> lost = std::move(it->second.asked);
    std::vector<LostRequest> next = std::move(it->second.next);
    m_lost.erase(it);
    const TrackedEndpoint *state = m_runtime.directory.find(id);
    if (finding == Finding::Alive && state != nullptr && !next.empty()) {
        m_lost[id].asked = std::move(next);
        askEngine(state->listed);
    } else {
        lost.insert(lost.end(), std::make_move_iterator(next.begin()),
                    std::make_move_iterator(next.end()));
    }
    CrashSuspects suspects;
    std::size_t crashed = 0;
    bool hasRestarted = false;
    std::vector<std::pair<Handler, Verdict>> verdicts;
    for (LostRequest &request : lost) {
        const bool isReplaced = state != nullptr
            && std::max(startedAtMs, state->listed.startedAtMs) > request.startedAtMs;
        Verdict verdict = finding == Finding::Alive ? Verdict::Lives : Verdict::Unknown;
        if (state == nullptr) {
            verdict = Verdict::Unknown;
        } else if (finding == Finding::Crashed || isReplaced) {
            verdict = Verdict::Crashed;
            hasRestarted = hasRestarted || finding != Finding::Crashed;
            ++crashed;
            suspects.merge(
                m_runtime.quarantine.onCrash(id, state->listed.pool, request.parts, request.id));
        } else if (finding == Finding::Alive && request.kind == LostAnswer::MayBeWhole) {
            m_runtime.quarantine.onAnswerServed(state->listed.pool, request.parts);
        }
        if (request.handler) {
            verdicts.emplace_back(std::move(request.handler), verdict);
        }
    }
    if (crashed < lost.size()) {
        logEvent(LogLevel::Info, "connection_lost",
                 {{"endpoint", id.str()},
                  {"evidence", std::string(evidence)},
                  {"requests", std::to_string(lost.size() - crashed)}});
    }
    if (crashed > 0) {
        logCrash(id, hasRestarted ? "restarted" : evidence, crashed, suspects);
    }
    for (const auto &[handler, verdict] : verdicts) {
        handler(verdict);
    }
}

void CrashCheck::logCrash(const EndpointId &id, std::string_view evidence, std::size_t requests,
                          const CrashSuspects &suspects) const
{
    logEvent(LogLevel::Warning, "engine_crashed",
             {{"endpoint", id.str()},
              {"evidence", std::string(evidence)},
              {"requests", std::to_string(requests)},
              {"suspected", joined(suspects.suspected)},
              {"served_lately", joined(suspects.served)},
              {"max_served_age_ms", std::to_string(toMilliseconds(suspects.maxServedAge))}});
}

} // namespace marigoldspool
