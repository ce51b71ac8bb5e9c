#include "Replica.h"

#include "Http.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace marigoldspool::review3 {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

int wordOf(const std::string &body, const std::string &name, int fallback)
{
    const std::size_t at = (' ' + body).find(' ' + name + '=');
    return at == std::string::npos ? fallback : std::atoi(body.c_str() + at + name.size() + 1);
}

class Replica
{
public:
    explicit Replica(const Json &settings)
        : m_id(settings.at("id"))
        , m_born(settings.at("born"))
        , m_loadTime(settings.value("loadMs", 300))
        , m_framing(settings.value("framing", "chunks"))
        , m_log(::open(settings.at("log").get<std::string>().c_str(),
                       O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644))
        , m_listener(settings.at("address"))
    {
        for (const Json &model : settings.value("models", Json::array())) {
            m_models[model.get<std::string>()];
        }
    }

    int run()
    {
        for (;;) {
            auto connection = std::make_shared<Connection>(m_listener.accept());
            if (!connection->isValid()) {
                return 1;
            }
            std::thread([this, connection] {
                serve(*connection);
            }).detach();
        }
    }

private:
    // A single write, so that a kill does not lose or cut a line.
    void log(const std::string &event, const std::string &id, const std::string &detail = {})
    {
        const auto now = std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        const std::string line = std::to_string(now.count()) + ' ' + m_id + ' ' + event + ' ' + id
            + (detail.empty() ? "" : ' ' + detail) + '\n';
        if (::write(m_log, line.data(), line.size()) < 0) {
            std::perror("log");
        }
    }

    void serve(Connection &connection)
    {
        while (const std::optional<Message> request =
                   readRequest(connection, std::chrono::minutes(2))) {
            if (!handle(connection, *request)) {
                return;
            }
        }
    }

    std::vector<Field> ownFields()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<Field> fields;
        if (m_isLeaving) {
            fields.push_back({"Server-Leaving", "1"});
        }
        return fields;
    }

    std::vector<Field> fieldsFor(const Message &request)
    {
        std::vector<Field> fields = ownFields();
        const std::string id = request.field("X-Marigoldspool-Request-Id");
        if (!id.empty()) {
            fields.push_back({"X-Marigoldspool-Request-Id", id});
        }
        return fields;
    }

    bool handle(Connection &connection, const Message &request)
    {
        const std::string target = request.secondWord();
        if (target == "/standin/control") {
            control(Json::parse(request.body));
            return connection.send(formatAnswer(200, {}, "{}"));
        }
        const std::string expected = request.field("X-Marigoldspool-Expect-Replica");
        if (!expected.empty() && expected != m_id) {
            std::vector<Field> fields = fieldsFor(request);
            fields.push_back({"X-Marigoldspool-Replica-Id", m_id});
            return connection.send(formatAnswer(421, fields, "{}"));
        }
        if (target == "/health") {
            std::vector<Field> fields = ownFields();
            fields.push_back({"X-Marigoldspool-Replica-Id", m_id});
            return connection.send(formatAnswer(200, fields, "{}"));
        }
        if (target == "/v1/report") {
            return connection.send(formatAnswer(200, ownFields(), report().dump()));
        }
        if (target == "/v1/order") {
            const int status = order(Json::parse(request.body));
            return connection.send(formatAnswer(status, ownFields(), "{}"));
        }
        return run(connection, request);
    }

    void control(const Json &change)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isLeaving = change.value("leaving", m_isLeaving);
        m_framing = change.value("framing", m_framing);
    }

    // Ends loads whose time has come.
    void settle()
    {
        if (!m_loading.empty() && Clock::now() >= m_loadEnds) {
            m_models[m_loading];
            m_loading.clear();
        }
    }

    Json report()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        settle();
        Json models = Json::array();
        for (const auto &[model, adapters] : m_models) {
            models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
        }
        return {{"stage", "mixed"},
                {"models", models},
                {"busy", !m_loading.empty()},
                {"seq", m_orders},
                {"queued", 0},
                {"active", m_active.load()},
                {"kvUsed", 0},
                {"kvTotal", 130610},
                {"handles", 0},
                {"coming", Json::array()},
                {"born", m_born}};
    }

    int order(const Json &order)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        settle();
        log("order", std::to_string(m_orders), order.dump());
        if (!order.contains("holder") || !order.contains("fence")) {
            return 400;
        }
        if (order.contains("precondition") && order["precondition"] != m_orders) {
            return 409;
        }
        const std::string model = order.value("model", "");
        const bool isAdapter = order.contains("adapter");
        if (!isAdapter && !m_loading.empty()) {
            return 409;
        }
        if (order.value("op", "") == "load") {
            if (isAdapter) {
                m_models[model].insert(order["adapter"].get<std::string>());
            } else if (m_models.count(model) > 0) {
                return 200;
            } else {
                m_loading = model;
                m_loadEnds = Clock::now() + Milliseconds(m_loadTime);
            }
        } else if (isAdapter) {
            m_models[model].erase(order["adapter"].get<std::string>());
        } else {
            m_models.erase(model);
        }
        ++m_orders;
        return 202;
    }

    bool holds(const std::string &model)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        settle();
        return model.empty() || m_models.count(model) > 0;
    }

    bool run(Connection &connection, const Message &request)
    {
        const std::string id = request.field("X-Marigoldspool-Request-Id");
        const std::string model = request.field("X-Marigoldspool-Model");
        if (!holds(model.substr(0, model.find('/')))) {
            std::vector<Field> fields = fieldsFor(request);
            fields.push_back({"X-Marigoldspool-Replica-Id", m_id});
            return connection.send(formatAnswer(421, fields, "{}"));
        }
        log("run", id, request.method() + ' ' + request.secondWord());
        ++m_active;
        const bool keepsConnection = request.body.find("events=") != std::string::npos
            ? stream(connection, request)
            : answerPlain(connection, request);
        --m_active;
        return keepsConnection;
    }

    void crashIfTold(const Message &request)
    {
        if (wordOf(request.body, "crash", 0) == 1) {
            log("crash", request.field("X-Marigoldspool-Request-Id"));
            ::raise(SIGKILL);
        }
    }

    bool answerPlain(Connection &connection, const Message &request)
    {
        std::this_thread::sleep_for(Milliseconds(wordOf(request.body, "work", 15)));
        crashIfTold(request);
        std::vector<Field> fields = fieldsFor(request);
        fields.push_back({"X-Marigoldspool-Replica-Seal", "seal-" + m_id});
        const int lines = wordOf(request.body, "lines", 0);
        if (lines > 0) {
            return answerInLines(connection, request, fields, lines);
        }
        log("answered", request.field("X-Marigoldspool-Request-Id"));
        return connection.send(formatAnswer(200, fields, "answer of " + m_id));
    }

    // Writes a body without a length as it is made, and ends it with the connection.
    bool answerInLines(Connection &connection, const Message &request,
                       const std::vector<Field> &fields, int lines)
    {
        const std::string id = request.field("X-Marigoldspool-Request-Id");
        const Milliseconds pace(wordOf(request.body, "pace", 10));
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (const Field &it : fields) {
            text += it.name + ": " + it.value + "\r\n";
        }
        text += "Connection: close\r\n\r\n";
        for (int number = 1; number <= lines; ++number) {
            text += "line " + std::to_string(number) + " of " + std::to_string(lines) + '\n';
            if (!connection.send(text)) {
                log("dropped", id, std::to_string(number - 1));
                return false;
            }
            log("line", id, std::to_string(number));
            text.clear();
            if (number < lines) {
                std::this_thread::sleep_for(pace);
            }
        }
        log("answered", id);
        return false;
    }

    bool stream(Connection &connection, const Message &request)
    {
        const std::string id = request.field("X-Marigoldspool-Request-Id");
        const int count = wordOf(request.body, "events", 10);
        const Milliseconds pace(wordOf(request.body, "pace", 100));
        const std::string last = request.field("Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        std::vector<Field> fields = fieldsFor(request);
        bool isChunked = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            isChunked = m_framing == "chunks";
        }
        std::this_thread::sleep_for(pace);
        crashIfTold(request);
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const Field &it : fields) {
            head += it.name + ": " + it.value + "\r\n";
        }
        head += "X-Marigoldspool-Replica-Seal: seal-" + m_id
            + "\r\nContent-Type: text/event-stream\r\n"
            + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
        if (!connection.send(head)) {
            return false;
        }
        for (int number = first; number <= count; ++number) {
            const std::string event = "id: " + std::to_string(number) + "\ndata: piece "
                + std::to_string(number) + "\n\n";
            std::array<char, 16> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
            if (connection.isClosedByPeer()
                || !connection.send(isChunked ? size.data() + event + "\r\n" : event)) {
                log("dropped", id, std::to_string(number - 1));
                return false;
            }
            log("event", id, std::to_string(number));
            if (number < count) {
                std::this_thread::sleep_for(pace);
            }
        }
        log("ended", id, std::to_string(count));
        return isChunked && connection.send("0\r\n\r\n");
    }

    std::string m_id;
    std::int64_t m_born = 0;
    int m_loadTime = 0;
    std::string m_framing;
    int m_log = -1;
    Listener m_listener;
    std::mutex m_mutex;
    std::map<std::string, std::set<std::string>> m_models;
    std::string m_loading;
    Clock::time_point m_loadEnds;
    std::uint64_t m_orders = 0;
    bool m_isLeaving = false;
    std::atomic<int> m_active{0};
};

} // namespace

int runReplica(const std::string &settings)
{
    return Replica(Json::parse(settings)).run();
}

} // namespace marigoldspool::review3
