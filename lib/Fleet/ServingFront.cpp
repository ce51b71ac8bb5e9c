#include "Fleet/ServingFront.h"

#include "Fleet/Exchange.h"
#include "marigoldspool/Gateway/OpenAi.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace marigoldspool {

namespace {

// These only bound a caller's memory use. The limits of the configuration are not used here because
// they can change while connections are open.
constexpr std::size_t MaxHeaderBytes = 65'536;
constexpr std::size_t MaxBodyBytes = 8U << 20U;
// Bodies are kept until the request is answered, and copied while they are sent, so they take up to
// a quarter of the memory.
constexpr std::size_t BodyMemoryDivisor = 8;
// Must be longer than any idle time that callers may rely on.
constexpr Duration IdleTimeout = std::chrono::seconds(120);

void refuseMalformed(ResponseSink &sink, const Error &error)
{
    const Refusal refusal{RefusalReason::Malformed, RanState::No, error.message, error.remedy};
    const HeaderField headers[] = {{"Content-Type", "application/json"}};
    sink.head(400, headers, false);
    sink.data(errorBody(refusal, RequestId()));
    sink.finish();
}

} // namespace

ServingFront::ServingFront(FleetRuntime &runtime)
    : m_runtime(runtime)
    , m_admission(runtime)
    , m_demand(runtime.clock)
    , m_crashCheck(std::make_shared<CrashCheck>(runtime))
    , m_forecasts(runtime.clock)
{ }

ServingFront::~ServingFront() = default;

Expected<void> ServingFront::start()
{
    HttpServerOptions options;
    options.address = m_runtime.options.callerAddress;
    options.maxHeaderBytes = MaxHeaderBytes;
    options.maxBodyBytes = MaxBodyBytes;
    options.maxTotalBodyBytes = m_runtime.options.memoryBytes / BodyMemoryDivisor;
    options.idleTimeout = IdleTimeout;
    auto server = makeHttpServer(
        m_runtime.io, options,
        [this](HttpRequest request, std::shared_ptr<ResponseSink> sink) {
            onRequest(std::move(request), std::move(sink));
        },
        *m_runtime.metrics);
    if (!server) {
        return tl::make_unexpected(server.error());
    }
    m_server = std::move(*server);
    return {};
}

void ServingFront::onRequest(HttpRequest request, std::shared_ptr<ResponseSink> sink)
{
    Expected<ServingRequest> decoded = m_runtime.codec.decodeRequest(std::move(request));
    if (!decoded) {
        logEvent(LogLevel::Warning, "request_malformed",
                 {{"error", describeError(decoded.error())}});
        m_runtime.metrics->countRefusal(RefusalReason::Malformed);
        refuseMalformed(*sink, decoded.error());
        return;
    }
    const auto exchange = std::make_shared<Exchange>(*this, std::move(*decoded), std::move(sink));
    m_openExchanges.insert(exchange);
    exchange->start();
}

void ServingFront::onStarted()
{
    ++m_startedCount;
    m_runtime.metrics->add("marigoldspool_requests_started_total");
}

void ServingFront::onFinished(const std::shared_ptr<Exchange> &exchange)
{
    ++m_finishedCount;
    m_openExchanges.erase(exchange);
}

RequestCounts ServingFront::requestCounts() const
{
    RequestCounts counts;
    counts.started = m_startedCount;
    counts.finished = m_finishedCount;
    for (const auto &exchange : m_openExchanges) {
        if (exchange->isAnswerStarted()) {
            ++counts.answering;
        } else if (exchange->isWaiting()) {
            ++counts.waiting;
        } else if (exchange->isSent()) {
            ++counts.unanswered;
        }
    }
    return counts;
}

void ServingFront::addWaiting(const std::shared_ptr<Exchange> &exchange)
{
    const auto isLater = [&exchange](const std::shared_ptr<Exchange> &it) {
        return it->priority() > exchange->priority();
    };
    m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isLater), exchange);
}

void ServingFront::removeWaiting(const Exchange &exchange)
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &entry) {
        return entry.get() == &exchange;
    });
    if (it != m_waiting.end()) {
        m_waiting.erase(it);
    }
}

Duration ServingFront::timeForEarlierRequests(const Exchange &exchange,
                                              const EndpointChoice &choice) const
{
    if (!choice.isPaused || choice.ratePerSecond <= 0) {
        return Duration::zero();
    }
    std::size_t earlierCount = 0;
    for (const auto &it : m_waiting) {
        // The queue is ordered by priority, and a new request comes behind those of its own.
        if (it.get() == &exchange || it->priority() > exchange.priority()) {
            break;
        }
        earlierCount += it->limitedEndpoint() == choice.endpoint ? 1 : 0;
    }
    constexpr double MaxSeconds = 3600;
    return fromSeconds(
        std::min(static_cast<double>(earlierCount) / choice.ratePerSecond, MaxSeconds));
}

// Requests often end in groups, so waiting requests are dispatched once per iteration of the event
// loop.
void ServingFront::scheduleDispatch()
{
    if (m_dispatchScheduled || m_waiting.empty()) {
        return;
    }
    m_dispatchScheduled = true;
    boost::asio::post(m_runtime.io, [this] {
        m_dispatchScheduled = false;
        onTick();
    });
}

// Returns a copy, since exchanges that end remove themselves.
std::vector<std::shared_ptr<Exchange>> ServingFront::openExchanges() const
{
    return {m_openExchanges.begin(), m_openExchanges.end()};
}

void ServingFront::checkSilence()
{
    for (const auto &exchange : openExchanges()) {
        exchange->checkSilence();
    }
}

void ServingFront::onQuarantine()
{
    for (const auto &exchange : openExchanges()) {
        exchange->checkQuarantine();
    }
}

void ServingFront::endOpenRequests()
{
    for (const auto &exchange : openExchanges()) {
        exchange->onStop();
    }
}

void ServingFront::onTick()
{
    if (m_dispatching) {
        return;
    }
    m_dispatching = true;
    std::list<std::shared_ptr<Exchange>> waiting = m_waiting;
    m_admission.arrange(waiting);
    for (const auto &exchange : waiting) {
        if (exchange->isWaiting()) {
            exchange->dispatch();
        }
    }
    m_dispatching = false;
}

void ServingFront::onPlacement(const PlacementUpdate &update)
{
    for (const PlacedEndpoint &placed : update.endpoints) {
        LoadedModels models;
        for (const std::string &name : placed.models) {
            const std::size_t slash = name.find('/');
            auto &adapters = models[ModelName(name.substr(0, slash))];
            if (slash != std::string::npos) {
                adapters.insert(name.substr(slash + 1));
            }
        }
        m_runtime.directory.setOwnerModels(placed.endpoint, std::move(models));
    }
    if (!update.endpoints.empty()) {
        scheduleDispatch();
    }
}

void ServingFront::onForecasts(const LoadForecasts &forecasts)
{
    m_forecasts.onForecasts(forecasts);
    scheduleDispatch();
}

void ServingFront::clearPlacement()
{
    m_runtime.directory.clearOwnerModels();
    m_forecasts.clear();
}

DemandReport ServingFront::takeDemand()
{
    m_hasNewDemand = false;
    const SteadyTime now = m_runtime.clock.now();
    std::vector<WaitingRequest> waiting;
    for (const auto &exchange : m_waiting) {
        if (std::optional<DemandKey> key = exchange->unmetDemand()) {
            const QueuedRequest request = exchange->queuedRequest();
            waiting.push_back({std::move(*key), now - exchange->arrival(), exchange->dueAt() - now,
                               exchange->priority(), false,
                               requestWeight(agedPriority(request, now)),
                               request.patienceEndsAt - now});
        } else if (std::optional<DemandKey> slotKey = exchange->slotDemand()) {
            waiting.push_back({std::move(*slotKey), now - exchange->arrival(),
                               exchange->dueAt() - now, exchange->priority(), true});
        }
    }
    return m_demand.report(waiting);
}

} // namespace marigoldspool
