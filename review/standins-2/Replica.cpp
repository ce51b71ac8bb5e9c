#include "Replica.h"

#include <cstdlib>

namespace review {

namespace {

constexpr Milliseconds BeatInterval(1200);
constexpr Milliseconds StepTime(10);
const std::string HealthPath = "/health";

} // namespace

Replica::Replica(Record &record, Store &store, Options options, Handler handler)
    : m_record(record)
    , m_store(store)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_port(freePort())
    , m_disk(m_options.onDisk)
{
    for (const std::string &model : m_options.models) {
        m_models[model];
        m_disk.insert(model);
    }
    m_beats = std::thread([this] {
        runBeats();
    });
}

Replica::~Replica()
{
    m_isStopping = true;
    m_beats.join();
    crash();
    m_servers.clear();
}

void Replica::start(const std::string &version)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_born != 0) {
            m_models.clear();
        }
        m_version = version;
        m_born = std::max(unixMilliseconds(), m_born + 1);
        m_orders = 0;
        m_loading.clear();
        m_isUnwritten = !m_store.put("servers", m_options.id, entry());
        m_servers.push_back(std::make_unique<Server>(
            m_port, [this](const Request &request, Connection &connection) {
                handle(request, connection);
            }));
    }
    m_isRunning = true;
    m_record.add("replica_started", {{"replica", id()}, {"version", version}});
}

void Replica::crash()
{
    if (!m_isRunning.exchange(false)) {
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_servers.back()->crash();
    m_record.add("replica_ended", {{"replica", id()}});
}

void Replica::crashFor(Milliseconds downTime)
{
    m_restartAtMs = unixMilliseconds() + downTime.count();
    crash();
}

std::string Replica::version() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_version;
}

bool Replica::hasModel(const std::string &model) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::size_t slash = model.find('/');
    const auto it = m_models.find(model.substr(0, slash));
    return it != m_models.end()
        && (slash == std::string::npos || it->second.count(model.substr(slash + 1)) > 0);
}

Headers Replica::answerHeaders(const Request &request) const
{
    return {{"X-Marigoldspool-Request-Id", request.header("X-Marigoldspool-Request-Id")},
            {"X-Marigoldspool-Replica-Seal", "seal." + id()},
            {"X-Marigoldspool-Replica-Id", id()}};
}

void Replica::refuse(const Request &request, Connection &connection, int status) const
{
    connection.answer(status,
                      {{"X-Marigoldspool-Request-Id", request.header("X-Marigoldspool-Request-Id")},
                       {"X-Marigoldspool-Replica-Id", id()},
                       {"X-Marigoldspool-Not-Run", "1"}},
                      "");
}

Json Replica::modelList() const
{
    Json list = Json::array();
    for (const auto &[model, adapters] : m_models) {
        list.push_back({{"name", model}, {"version", 1}, {"adapters", Json(adapters)}});
    }
    return list;
}

Json Replica::entry() const
{
    Json value = {{"service", m_options.service},
                  {"addr", "127.0.0.1:" + std::to_string(m_port)},
                  {"zone", m_options.zone},
                  {"version", m_version},
                  {"slots", m_options.slots},
                  {"state", "ready"},
                  {"coldLeftMs", 0},
                  {"born", m_born},
                  {"seq", 1}};
    if (m_options.isEngine) {
        value["models"] = modelList();
        value["atHand"] = {{"inMemory", Json::array()}, {"onDisk", m_disk}};
    }
    return value;
}

void Replica::handle(const Request &request, Connection &connection)
{
    const std::string expected = request.header("X-Marigoldspool-Expect-Replica");
    if (!expected.empty() && expected != id()) {
        refuse(request, connection, 421);
        return;
    }
    if (request.target == HealthPath) {
        connection.answer(200, {{"X-Marigoldspool-Replica-Id", id()}}, "");
        return;
    }
    if (m_options.isEngine && request.target == "/v1/report") {
        finishLoad();
        const std::lock_guard<std::mutex> lock(m_mutex);
        const Json report = {{"stage", "mixed"},
                             {"models", modelList()},
                             {"atHand", {{"inMemory", Json::array()}, {"onDisk", m_disk}}},
                             {"busy", !m_loading.empty()},
                             {"seq", m_orders},
                             {"born", m_born},
                             {"queued", 0},
                             {"active", 0}};
        connection.answer(200, {{"Content-Type", "application/json"}}, report.dump());
        return;
    }
    if (m_options.isEngine && request.target == "/v1/order") {
        takeOrder(request, connection);
        return;
    }
    m_handler(*this, request, connection);
}

void Replica::takeOrder(const Request &request, Connection &connection)
{
    finishLoad();
    const Json order = Json::parse(request.body, nullptr, false);
    int status = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        status = execute(order);
    }
    m_record.add("order",
                 {{"replica", id()},
                  {"op", order.value("op", "")},
                  {"model", order.value("model", "")},
                  {"adapter", order.value("adapter", "")},
                  {"holder", order.value("holder", "")},
                  {"status", std::to_string(status)}});
    connection.answer(status, {{"Content-Type", "application/json"}}, "{}");
}

int Replica::execute(const Json &order)
{
    const std::string model = order.value("model", "");
    const std::string adapter = order.value("adapter", "");
    const bool isLoad = order.value("op", "") == "load";
    const auto held = m_models.find(model);
    if (!m_loading.empty() || order.value("precondition", m_orders) != m_orders) {
        return 409;
    }
    if (!adapter.empty() && held == m_models.end()) {
        return 421;
    }
    if (isLoad && (adapter.empty() ? held != m_models.end() : held->second.count(adapter) > 0)) {
        return 200;
    }
    ++m_orders;
    m_isUnwritten = true;
    if (!adapter.empty()) {
        // An adapter takes a few milliseconds.
        if (isLoad) {
            held->second.insert(adapter);
            return 202;
        }
        held->second.erase(adapter);
        return 200;
    }
    if (isLoad) {
        const bool isOnDisk = m_disk.count(model) > 0;
        m_loading = model;
        m_loadedAt = Clock::now() + (isOnDisk ? m_options.diskLoadTime : m_options.storeLoadTime);
    } else {
        m_models.erase(model);
    }
    return 202;
}

void Replica::finishLoad()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_loading.empty() && Clock::now() >= m_loadedAt) {
        m_models[m_loading];
        m_disk.insert(m_loading);
        m_loading.clear();
        m_isUnwritten = true;
    }
}

void Replica::runBeats()
{
    auto nextBeat = Clock::now();
    while (!m_isStopping) {
        sleepFor(StepTime);
        const std::int64_t restartAt = m_restartAtMs;
        if (restartAt != 0 && unixMilliseconds() >= restartAt) {
            m_restartAtMs = 0;
            start(version());
        }
        if (!m_isRunning || Clock::now() < nextBeat) {
            continue;
        }
        nextBeat = Clock::now() + BeatInterval;
        finishLoad();
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isUnwritten) {
            m_isUnwritten = !m_store.put("servers", m_options.id, entry());
        }
    }
}

int firstEvent(const Request &request)
{
    const std::string last = request.header("Last-Event-Id");
    return last.empty() ? 1 : std::atoi(last.c_str()) + 1;
}

std::string eventText(int number, const std::string &text)
{
    return "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
}

} // namespace review
