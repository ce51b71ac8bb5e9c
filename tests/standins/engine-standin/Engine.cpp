#include "Engine.h"

#include <algorithm>
#include <unistd.h>

namespace marigoldspool::standins {

namespace {

constexpr std::int64_t DefaultTokens = 16;
// Bounds the answer to a request that asks for a huge number of tokens.
constexpr std::int64_t MaxTokens = 100'000;
// Calls beyond this many for each slot are refused instead of waiting.
constexpr std::size_t WaitingPerSlot = 4;

std::string_view objectName(bool isChat, bool isStream)
{
    if (!isChat) {
        return "text_completion";
    }
    return isStream ? "chat.completion.chunk" : "chat.completion";
}

} // namespace

Engine::Engine(boost::asio::io_context &io, EngineOptions options)
    : StandinBase(io)
    , m_options(std::move(options))
    , m_startedAt(Steady::now())
{
    m_incarnation = std::to_string(::getpid()) + "-0";
    noteChange();
}

void Engine::handle(HttpRequest request, Sink sink)
{
    if (request.target == "/engine/status") {
        handleStatus(std::move(sink));
    } else if (request.target == "/engine/orders") {
        handleOrder(request, std::move(sink));
    } else if (request.target == "/v1/chat/completions" || request.target == "/v1/completions") {
        handleCompletion(request, std::move(sink));
    } else {
        answer(std::move(sink), 404, errorJson("not_found", "no"));
    }
}

void Engine::becomeCold()
{
    ++m_coldStarts;
    m_incarnation = std::to_string(::getpid()) + "-" + std::to_string(m_coldStarts);
    m_startedAt = Steady::now();
    m_models.clear();
    m_acceptedOrders.clear();
    m_lastFencing = 0;
    // A restart breaks the connections of the calls that were there.
    for (auto *calls : {&m_running, &m_waiting}) {
        for (const CallPtr &call : *calls) {
            call->sink->abort();
        }
        calls->clear();
    }
    noteChange();
}

void Engine::addCounts(Json &counts) const
{
    counts.update(Json{{"orders_accepted", m_ordersAccepted},
                       {"orders_refused", m_ordersRefused},
                       {"loads", m_loads},
                       {"unloads", m_unloads},
                       {"completed", m_completed},
                       {"cancelled", m_cancelled},
                       {"refused_fresh", m_refusedFresh},
                       {"refused_not_loaded", m_refusedNotLoaded},
                       {"refused_overloaded", m_refusedOverloaded},
                       {"cold_starts", m_coldStarts},
                       {"greatest_memory", m_greatestMemory},
                       {"greatest_concurrency", m_greatestConcurrency}});
}

std::uint64_t Engine::memoryUsed() const
{
    std::uint64_t bytes = 0;
    for (const auto &[name, model] : m_models) {
        bytes += model.bytes;
    }
    return bytes;
}

Json Engine::statusNow() const
{
    Json loaded = Json::array();
    Json cached = Json::array();
    for (const auto &[name, model] : m_models) {
        loaded.push_back({{"model", name},
                          {"version", model.version},
                          {"bytes", model.bytes},
                          {"state", model.ready ? "loaded" : "loading"}});
    }
    for (const std::string &name : m_onDisk) {
        cached.push_back({{"model", name}, {"place", "disk"}});
    }
    return {{"endpoint", m_options.endpoint},   {"incarnation", m_incarnation},
            {"memory_total", m_options.memory}, {"memory_used", memoryUsed()},
            {"loaded", std::move(loaded)},      {"running", m_running.size()},
            {"waiting", m_waiting.size()},      {"slots", m_options.slots},
            {"completed", m_completed},         {"last_fencing", m_lastFencing},
            {"cached", std::move(cached)}};
}

void Engine::noteChange()
{
    m_greatestMemory = std::max(m_greatestMemory, memoryUsed());
    m_greatestConcurrency = std::max(m_greatestConcurrency, m_running.size());
    if (m_options.statusLag == Duration::zero()) {
        return;
    }
    const auto now = Steady::now();
    m_history.emplace_back(now, statusNow());
    // The newest state older than the lag is the one to report; those before it are not needed.
    while (m_history.size() > 1 && now - m_history[1].first >= m_options.statusLag) {
        m_history.pop_front();
    }
}

void Engine::handleStatus(Sink sink)
{
    Json status = statusNow();
    for (const auto &[at, past] : m_history) {
        if (Steady::now() - at < m_options.statusLag && at != m_history.front().first) {
            break;
        }
        status = past;
    }
    answer(std::move(sink), 200, status);
}

void Engine::refuseOrder(Sink sink, int status, std::string_view code)
{
    ++m_ordersRefused;
    answer(std::move(sink), status, errorJson(code, "no"));
}

void Engine::handleOrder(const HttpRequest &request, Sink sink)
{
    const Json body = Json::parse(request.body, nullptr, false);
    Order order;
    try {
        order = {body.at("order_id"), body.at("action"), body.at("model"),
                 body.at("version"),  body.at("bytes"),  body.at("fencing")};
    } catch (const Json::exception &) {
        refuseOrder(std::move(sink), 400, "malformed");
        return;
    }
    if (m_acceptedOrders.count(order.id) > 0) {
        answer(std::move(sink), 202, Json::object());
        return;
    }
    if (m_options.checksFencing && order.fencing < m_lastFencing) {
        refuseOrder(std::move(sink), 409, "stale_fencing");
        return;
    }
    if (order.action == "load") {
        const auto it = m_models.find(order.model);
        const std::uint64_t replaced = it == m_models.end() ? 0 : it->second.bytes;
        if (memoryUsed() - replaced + order.bytes > m_options.memory) {
            refuseOrder(std::move(sink), 507, "insufficient_memory");
            return;
        }
        startLoad(order);
    } else if (order.action == "unload") {
        m_unloads += m_models.erase(order.model);
    } else {
        refuseOrder(std::move(sink), 400, "malformed");
        return;
    }
    m_lastFencing = std::max(m_lastFencing, order.fencing);
    m_acceptedOrders.insert(order.id);
    ++m_ordersAccepted;
    noteChange();
    answer(std::move(sink), 202, Json::object());
}

void Engine::startLoad(const Order &order)
{
    LoadedModel &model = m_models[order.model];
    if (model.ready && model.version == order.version) {
        return;
    }
    model = {order.version, order.bytes, false};
    ++m_loads;
    const bool isOnDisk = m_onDisk.count(order.model) > 0;
    after(isOnDisk ? m_options.loadTimeDisk : m_options.loadTime,
          [this, order, incarnation = m_incarnation] {
              const auto it = m_models.find(order.model);
              if (incarnation != m_incarnation || it == m_models.end()
                  || it->second.version != order.version) {
                  return;
              }
              it->second.ready = true;
              m_onDisk.insert(order.model);
              noteChange();
          });
}

void Engine::refuseCall(Sink sink, std::string_view code)
{
    answer(std::move(sink), 503, errorJson(code, "no"));
}

bool Engine::isFresh() const
{
    return m_options.freshLimit > 0 && Steady::now() - m_startedAt < m_options.freshTime;
}

void Engine::handleCompletion(const HttpRequest &request, Sink sink)
{
    const Expected<ModelRequest> parsed = parseModelRequest(request.body);
    if (!parsed) {
        answer(std::move(sink), 400, errorJson("malformed", "no"));
        return;
    }
    const auto model = m_models.find(parsed->model.str());
    if (model == m_models.end() || !model->second.ready) {
        ++m_refusedNotLoaded;
        refuseCall(std::move(sink), "model_not_loaded");
        return;
    }
    const std::size_t atOnce = m_running.size() + m_waiting.size();
    if (isFresh() && atOnce >= static_cast<std::size_t>(m_options.freshLimit)) {
        ++m_refusedFresh;
        refuseCall(std::move(sink), "overloaded");
        return;
    }
    if (m_waiting.size() >= WaitingPerSlot * static_cast<std::size_t>(m_options.slots)) {
        ++m_refusedOverloaded;
        refuseCall(std::move(sink), "overloaded");
        return;
    }
    const auto call = std::make_shared<Call>();
    call->id = requestId(request);
    call->model = parsed->model.str();
    call->isChat = request.target == "/v1/chat/completions";
    call->isStream = parsed->stream;
    call->tokens = std::min(parsed->maxTokens.value_or(DefaultTokens), MaxTokens);
    call->sink = std::move(sink);
    countRun(call->id);
    // The sink holds this handler, so a strong reference here would keep both for ever.
    call->sink->onCallerGone([this, weak = std::weak_ptr<Call>(call)] {
        if (const CallPtr gone = weak.lock()) {
            cancelCall(gone);
        }
    });
    afterDelay([this, call] {
        m_waiting.push_back(call);
        fillBatch();
    });
}

void Engine::cancelCall(const CallPtr &call)
{
    ++m_cancelled;
    m_running.remove(call);
    m_waiting.remove(call);
    fillBatch();
}

void Engine::fillBatch()
{
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_options.slots)) {
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
    }
    noteChange();
    scheduleStep();
}

void Engine::scheduleStep()
{
    if (m_stepScheduled || m_running.empty()) {
        return;
    }
    m_stepScheduled = true;
    after(m_options.tokenTime, [this] {
        m_stepScheduled = false;
        step();
    });
}

void Engine::step()
{
    // Answers under way stop in their middle, for good.
    if (mode() == Mode::Silent) {
        for (auto *calls : {&m_running, &m_waiting}) {
            for (const CallPtr &call : *calls) {
                leaveUnanswered(call->sink);
            }
            calls->clear();
        }
        return;
    }
    const std::list<CallPtr> batch = m_running;
    for (const CallPtr &call : batch) {
        if (advance(*call)) {
            m_running.remove(call);
        }
    }
    fillBatch();
}

bool Engine::advance(Call &call)
{
    if (mode() == Mode::Fail) {
        if (call.headSent) {
            call.sink->abort();
        } else {
            answer(call.sink, 500, errorJson("failed", "unknown"));
        }
        return true;
    }
    ++call.made;
    if (call.isStream) {
        if (!call.headSent) {
            call.headSent = true;
            call.sink->head(200, answerFields(200, "text/event-stream"), true);
        }
        Json choice{{"index", 0}, {"finish_reason", nullptr}};
        const std::string text = call.id + " ";
        choice[call.isChat ? "delta" : "text"] = call.isChat ? Json{{"content", text}} : Json(text);
        const Json event{{"id", call.id},
                         {"object", objectName(call.isChat, true)},
                         {"model", call.model},
                         {"choices", Json::array({choice})}};
        call.sink->data("data: " + event.dump() + "\n\n");
        if (mode() == Mode::CutAnswers && call.made * 2 >= call.tokens) {
            call.sink->abort();
            return true;
        }
    }
    if (call.made < call.tokens) {
        return false;
    }
    finishCall(call);
    return true;
}

void Engine::finishCall(Call &call)
{
    ++m_completed;
    if (call.isStream) {
        call.sink->data("data: [DONE]\n\n");
        call.sink->finish();
        return;
    }
    std::string text;
    for (std::int64_t i = 0; i < call.tokens; ++i) {
        text.append(call.id).append(" ");
    }
    Json choice{{"index", 0}, {"finish_reason", "length"}};
    choice[call.isChat ? "message" : "text"] =
        call.isChat ? Json{{"role", "assistant"}, {"content", text}} : Json(text);
    const Json body{{"id", call.id},
                    {"object", objectName(call.isChat, false)},
                    {"model", call.model},
                    {"choices", Json::array({choice})},
                    {"usage", {{"completion_tokens", call.tokens}}}};
    answer(call.sink, 200, body);
}

} // namespace marigoldspool::standins
