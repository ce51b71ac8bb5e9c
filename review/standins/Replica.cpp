#include "Replica.h"

#include <algorithm>

namespace marigoldspool::review {

namespace {

constexpr Milliseconds BeatInterval(1200);
// An entry is removed after three heartbeat intervals of silence.
constexpr Milliseconds EntryLifetime = 3 * BeatInterval;
constexpr Milliseconds LoadTime(1200);
constexpr std::chrono::hours SessionLimit(1);

std::string fieldLine(const std::string &name, const std::string &value)
{
    return name + ": " + value + "\r\n";
}

std::string statusLine(int status)
{
    const std::string reason = status == 200 ? "OK"
        : status == 202                      ? "Accepted"
        : status == 409                      ? "Conflict"
        : status == 421                      ? "Misdirected Request"
                                             : "Service Unavailable";
    return "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n";
}

// All parts of a prompt but the last, as ID:TOKENS.
std::vector<std::string> sharedParts(const std::string &prefix)
{
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < prefix.size();) {
        const std::size_t end = prefix.find(',', at);
        if (end == std::string::npos) {
            break;
        }
        parts.push_back(prefix.substr(at, prefix.find(':', at) - at));
        at = end + 1;
    }
    return parts;
}

std::string chunk(const std::string &text)
{
    std::string size;
    for (std::size_t rest = text.size(); rest > 0; rest /= 16) {
        size.insert(size.begin(), "0123456789abcdef"[rest % 16]);
    }
    return size + "\r\n" + text + "\r\n";
}

} // namespace

Replica::Replica(Store &store, Record &record, ReplicaOptions options)
    : m_store(store)
    , m_record(record)
    , m_options(std::move(options))
{
    start(true);
    m_thread = std::thread([this] {
        supervise();
    });
}

Replica::~Replica()
{
    end();
}

std::string Replica::id() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_id;
}

void Replica::start(bool isFirst)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_startCount;
        m_id = "i-" + std::to_string(m_options.address.port) + '-'
            + m_options.address.ip.substr(m_options.address.ip.rfind('.') + 1) + '-'
            + std::to_string(m_startCount);
        m_models.clear();
        if (isFirst) {
            for (const std::string &model : m_options.models) {
                m_models[model];
            }
        }
        m_loading.clear();
        m_orderCount = 0;
        m_recentArrivals.clear();
        m_isCrashing = false;
        m_isDown = false;
        // Those that start before the traffic does are not cold.
        m_coldUntil = isFirst ? TimePoint() : Steady::now() + m_options.coldTime;
    }
    m_server = std::make_unique<Server>(m_options.listenAddress.value_or(m_options.address),
                                        [this](Connection &connection) {
                                            serve(connection);
                                        });
    m_record.note("replica " + id() + " of " + m_options.service + " in " + m_options.zone
                  + " starts");
    writeEntry();
}

void Replica::supervise()
{
    TimePoint nextBeat = Steady::now() + BeatInterval;
    for (;;) {
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_woken.wait_until(lock, nextBeat, [this] {
                return m_isCrashing || m_isEnding;
            });
            if (m_isEnding) {
                return;
            }
        }
        bool isCrashing = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            isCrashing = m_isCrashing;
        }
        if (isCrashing) {
            crash();
        }
        writeEntry();
        nextBeat = Steady::now() + BeatInterval;
    }
}

void Replica::crash()
{
    const std::string crashed = id();
    m_record.note("replica " + crashed + " crashes");
    m_server->closeListener();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isDown = true;
        m_crashes.push_back(Steady::now());
    }
    m_woken.notify_all();
    m_server->stop();
    std::unique_lock<std::mutex> lock(m_mutex);
    const TimePoint expiry = Steady::now() + EntryLifetime;
    m_woken.wait_for(lock, m_options.downTime, [this] {
        return m_isEnding;
    });
    if (m_isEnding) {
        return;
    }
    lock.unlock();
    start(false);
    lock.lock();
    m_woken.wait_until(lock, expiry, [this] {
        return m_isEnding || m_isCrashing;
    });
    lock.unlock();
    m_store.remove("servers", crashed);
}

TimePoint Replica::unlist()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isUnlisted = true;
    }
    const TimePoint at = m_store.remove("servers", id());
    m_record.note("entry of " + id() + " is removed; the replica serves on");
    return at;
}

void Replica::end()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isEnding = true;
        m_isDown = true;
    }
    m_woken.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
        m_record.note("replica " + id() + " ends");
    }
    m_server.reset();
}

void Replica::becomeCold()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_coldUntil = Steady::now() + m_options.coldTime;
    }
    m_record.note("replica " + id() + " turns cold");
    writeEntry();
}

std::vector<TimePoint> Replica::crashes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_crashes;
}

Milliseconds Replica::coldLeft() const
{
    const auto left = std::chrono::duration_cast<Milliseconds>(m_coldUntil - Steady::now());
    return std::max(left, Milliseconds(0));
}

Json Replica::models() const
{
    Json list = Json::array();
    for (const auto &[model, adapters] : m_models) {
        list.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    }
    return list;
}

void Replica::finishLoad()
{
    if (!m_loading.empty() && Steady::now() >= m_loadedAt) {
        m_models[m_loading];
        m_loading.clear();
    }
}

// \p model may name an adapter after a slash.
bool Replica::isLoaded(const std::string &model) const
{
    const std::size_t slash = std::min(model.find('/'), model.size());
    const auto it = m_models.find(model.substr(0, slash));
    return it != m_models.end()
        && (slash == model.size() || it->second.count(model.substr(slash + 1)) > 0);
}

std::vector<OrderArrival> Replica::orders() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_orders;
}

void Replica::writeEntry()
{
    Json spec;
    std::string name;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isUnlisted || m_isDown) {
            return;
        }
        name = m_id;
        spec = {{"service", m_options.service},     {"addr", m_options.address.text()},
                {"zone", m_options.zone},           {"version", "v1"},
                {"slots", m_options.slots},         {"state", "ready"},
                {"coldLeftMs", coldLeft().count()}, {"seq", ++m_beatCount}};
        if (!m_options.models.empty()) {
            finishLoad();
            spec["stage"] = "mixed";
            spec["models"] = models();
            spec["atHand"] = {{"inMemory", Json::array()}, {"onDisk", m_options.models}};
        }
    }
    m_store.beat(name, spec);
}

void Replica::serve(Connection &connection)
{
    Head head;
    std::string body;
    while (connection.readHead(head, Steady::now() + SessionLimit)
           && connection.readBody(head, body, Steady::now() + SessionLimit)
           && handle(connection, head, body)) {
    }
}

bool Replica::handle(Connection &connection, const Head &head, const std::string &body)
{
    const std::string requestId = head.field("X-Marigoldspool-Request-Id");
    const std::string echo =
        requestId.empty() ? "" : fieldLine("X-Marigoldspool-Request-Id", requestId);
    const auto answer = [&](int status, const std::string &fields, const std::string &text) {
        return connection.write(
            statusLine(status) + echo + fieldLine("X-Marigoldspool-Replica-Id", id()) + fields
            + fieldLine("Content-Length", std::to_string(text.size())) + "\r\n" + text);
    };
    const std::string expected = head.field("X-Marigoldspool-Expect-Replica");
    if (!expected.empty() && expected != id()) {
        return answer(421, "", "");
    }
    const std::string target = head.word(1);
    if (target == "/health") {
        return answer(200, "", "");
    }
    if (target == "/v1/report") {
        return answer(200, fieldLine("Content-Type", "application/json"), report().dump());
    }
    if (target == "/v1/order") {
        return answer(order(Json::parse(body, nullptr, false)), "", "");
    }
    const std::string notRun = fieldLine("X-Marigoldspool-Not-Run", "1");
    bool isPresent = true;
    bool isFull = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        finishLoad();
        isPresent =
            m_options.models.empty() || m_models.count(head.field("X-Marigoldspool-Model")) > 0;
        isFull = m_activeCount >= m_options.slots;
        m_activeCount += isPresent && !isFull ? 1 : 0;
    }
    if (!isPresent || isFull) {
        m_record.addArrival(requestId, id(), false);
        return answer(isPresent ? 503 : 421, notRun, "");
    }
    m_record.addArrival(requestId, id(), true);
    const bool goesOn = run(connection, head);
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_activeCount;
    return goesOn;
}

bool Replica::run(Connection &connection, const Head &head)
{
    const std::string requestId = head.field("X-Marigoldspool-Request-Id");
    if (!m_options.models.empty()) {
        const auto parts = sharedParts(head.field("X-Marigoldspool-Prefix-Hash"));
        const bool crashes = !m_options.crashingPart.empty()
            && std::find(parts.begin(), parts.end(), m_options.crashingPart) != parts.end();
        if (isOverColdLimit()) {
            return false;
        }
        return stream(connection, requestId, crashes);
    }
    if (!pause(m_options.work)) {
        return false;
    }
    const std::string text(800, 'x');
    return connection.write(statusLine(200) + fieldLine("X-Marigoldspool-Request-Id", requestId)
                            + fieldLine("X-Marigoldspool-Replica-Seal", "seal-" + requestId)
                            + fieldLine("Content-Length", std::to_string(text.size())) + "\r\n"
                            + text);
}

bool Replica::stream(Connection &connection, const std::string &requestId, bool crashes)
{
    constexpr Milliseconds FirstEvent(60);
    if (!pause(FirstEvent)) {
        return false;
    }
    std::string out = statusLine(200) + fieldLine("X-Marigoldspool-Request-Id", requestId)
        + fieldLine("X-Marigoldspool-Replica-Seal", "seal-" + requestId)
        + fieldLine("Content-Type", "text/event-stream") + fieldLine("Transfer-Encoding", "chunked")
        + "\r\n";
    const int events = crashes ? m_options.eventsBeforeCrash : m_options.events;
    for (int n = 1; n <= events; ++n) {
        out += chunk("id: " + std::to_string(n) + "\ndata: tokens of " + requestId + "\n\n");
        if (!connection.write(out) || !pause(crashes ? Milliseconds(10) : m_options.eventGap)) {
            return false;
        }
        out.clear();
    }
    if (!crashes) {
        return connection.write("0\r\n\r\n");
    }
    connection.write(out);
    std::unique_lock<std::mutex> lock(m_mutex);
    m_isCrashing = true;
    m_woken.notify_all();
    // The connection ends with the process.
    m_woken.wait(lock, [this] {
        return m_isDown;
    });
    return false;
}

// Returns whether the replica crashes because of too many requests while it is cold.
bool Replica::isOverColdLimit()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = Steady::now();
    m_recentArrivals.push_back(now);
    while (now - m_recentArrivals.front() > std::chrono::seconds(1)) {
        m_recentArrivals.pop_front();
    }
    if (!m_options.coldLimit || now >= m_coldUntil
        || static_cast<int>(m_recentArrivals.size()) <= *m_options.coldLimit) {
        return false;
    }
    m_isCrashing = true;
    m_woken.notify_all();
    return true;
}

// Returns false if the replica goes down meanwhile.
bool Replica::pause(Milliseconds time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_woken.wait_for(lock, time, [this] {
        return m_isDown;
    });
}

Json Replica::report() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {{"stage", "mixed"},
            {"models", models()},
            {"busy", !m_loading.empty() && Steady::now() < m_loadedAt},
            {"seq", m_orderCount},
            {"queued", 0},
            {"active", m_activeCount},
            {"kvUsed", 0},
            {"kvTotal", 130'610},
            {"handles", 0},
            {"coming", Json::array()},
            {"atHand", {{"inMemory", Json::array()}, {"onDisk", m_options.models}}}};
}

int Replica::order(const Json &order)
{
    int status = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_orders.push_back(
            {Steady::now(), order.value("holder", ""), order.value("fence", std::uint64_t(0))});
        finishLoad();
        status = carryOut(order);
    }
    m_record.note("order " + order.dump() + " to " + id() + ": " + std::to_string(status));
    return status;
}

int Replica::carryOut(const Json &order)
{
    const std::string model = order.value("model", "");
    const std::string adapter = order.value("adapter", "");
    const bool isLoad = order.value("op", "") == "load";
    if (!m_loading.empty() || order.value("precondition", m_orderCount) != m_orderCount) {
        return 409;
    }
    if (isLoaded(adapter.empty() ? model : model + '/' + adapter) == isLoad) {
        return 200;
    }
    if (!adapter.empty() && m_models.count(model) == 0) {
        return 400;
    }
    ++m_orderCount;
    if (!adapter.empty()) {
        std::set<std::string> &adapters = m_models[model];
        if (isLoad) {
            adapters.insert(adapter);
        } else {
            adapters.erase(adapter);
        }
        return isLoad ? 202 : 200;
    }
    if (isLoad) {
        m_loading = model;
        m_loadedAt = Steady::now() + LoadTime;
    } else {
        m_models.erase(model);
    }
    return 202;
}

} // namespace marigoldspool::review
