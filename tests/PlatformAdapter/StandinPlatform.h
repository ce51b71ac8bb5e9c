#ifndef MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_STANDINPLATFORM_H
#define MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_STANDINPLATFORM_H

#include "marigoldspool/Gateway/HttpServer.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace marigoldspool {

inline std::string localAddress(const HttpServer &server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

inline void answerText(ResponseSink &sink, int status, const std::string &body,
                       std::vector<HeaderField> headers = {})
{
    headers.push_back({"Content-Type", "application/json"});
    sink.head(status, headers, false);
    sink.data(body);
    sink.finish();
}

inline void answerJson(ResponseSink &sink, int status, const nlohmann::json &body,
                       std::vector<HeaderField> headers = {})
{
    answerText(sink, status, body.dump(), std::move(headers));
}

/// Decodes the percent-encoded characters of a part of a request target.
inline std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

/// Sends \p filler on an answer whose head has been sent, until the caller closes the connection.
inline void sendWithoutEnd(boost::asio::io_context &io, const std::shared_ptr<ResponseSink> &sink,
                           const std::string &filler)
{
    constexpr std::size_t MaxPending = 65'536;
    const auto gone = std::make_shared<bool>(false);
    sink->onCallerGone([gone] {
        *gone = true;
    });
    const auto timer = std::make_shared<boost::asio::steady_timer>(io);
    // Holds itself until the caller is gone.
    const auto step = std::make_shared<std::function<void()>>();
    *step = [gone, timer, step, sink, filler] {
        if (*gone) {
            *step = nullptr;
            return;
        }
        while (sink->pendingBytes() < MaxPending) {
            sink->data(filler);
        }
        timer->expires_after(std::chrono::milliseconds(1));
        timer->async_wait([step](const boost::system::error_code &ec) {
            if (!ec && *step) {
                const std::function<void()> next = *step;
                next();
            }
        });
    };
    const std::function<void()> first = *step;
    first();
}

/// Stand-in for the platform's metadata store with conditional writes, paged lists, watches and a
/// history that can be dropped.
class StandinStore
{
public:
    using Json = nlohmann::json;

    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
        std::string metadata;
    };
    /// What the store held at one time.
    struct Copy {
        std::map<std::string, std::map<std::string, Object>> objects;
        std::uint64_t revision = 0;
    };

    StandinStore(boost::asio::io_context &io, Metrics &metrics)
        : m_io(io)
    {
        auto server = makeHttpServer(
            io, HttpServerOptions(),
            [this](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                handle(request, sink);
            },
            metrics);
        REQUIRE(server);
        m_server = std::move(*server);
    }

    std::string address() const { return localAddress(*m_server); }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        putText(kind, name, spec.dump());
    }

    /// Stores a spec that need not be a valid JSON value. If \p metadata is not empty, the object
    /// is sent with it instead of its name and revision.
    void putText(const std::string &kind, const std::string &name, const std::string &spec,
                 const std::string &metadata = {})
    {
        m_objects[kind][name] = {++m_revision, spec, metadata};
        m_history.push_back({m_revision, kind, name, false, m_objects[kind][name]});
        answerWatches();
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const Object old = m_objects[kind][name];
        m_objects[kind].erase(name);
        m_history.push_back({++m_revision, kind, name, true, old});
        answerWatches();
    }

    bool has(const std::string &kind, const std::string &name) const
    {
        const auto it = m_objects.find(kind);
        return it != m_objects.end() && it->second.count(name) > 0;
    }

    /// Makes the store answer watches from an earlier revision with 410.
    void dropHistory()
    {
        m_history.clear();
        m_historyStart = m_revision;
    }

    /// Forgets what was written after \p copy was taken. Revisions go on from the copy's.
    void restore(const Copy &copy)
    {
        m_objects = copy.objects;
        m_revision = copy.revision;
        dropHistory();
        ++era;
        for (const Watch &it : m_watches) {
            it.timer->cancel();
            it.sink->abort();
        }
        m_watches.clear();
    }

    Copy copy() const { return {m_objects, m_revision}; }
    std::uint64_t revision() const { return m_revision; }

    std::size_t pageSize = 500;
    /// Sent in all answers; 0: the store has no eras.
    std::uint64_t era = 0;
    /// Number of writes to execute without sending the answer.
    int answersToLose = 0;
    /// Refuse all calls with 503.
    bool refuseCalls = false;
    /// Refuse the calls for objects of this kind.
    std::string refusedKind;
    /// Answer all calls with a body that has no end.
    bool answersWithoutEnd = false;
    int calls = 0;

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool removed = false;
        Object object;
    };
    struct Watch {
        std::string kind;
        std::uint64_t from = 0;
        std::shared_ptr<ResponseSink> sink;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    static std::string toText(const std::string &name, std::uint64_t revision, const Object &object)
    {
        const Json metadata = {
            {"name", name}, {"rev", revision}, {"createRev", 1}, {"finalizers", Json::array()}};
        return R"({"metadata":)" + (object.metadata.empty() ? metadata.dump() : object.metadata)
            + R"(,"spec":)" + object.spec + R"(,"status":null})";
    }

    void replyText(ResponseSink &sink, int status, const std::string &body) const
    {
        std::vector<HeaderField> headers;
        if (era > 0) {
            headers.push_back({"Store-Era", std::to_string(era)});
        }
        answerText(sink, status, body, std::move(headers));
    }

    void reply(ResponseSink &sink, int status, const Json &body) const
    {
        replyText(sink, status, body.dump());
    }

    static void append(std::string &list, const std::string &item)
    {
        list += (list.empty() ? "" : ",") + item;
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + '=');
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 1;
        return percentDecoded(target.substr(begin, target.find('&', begin) - begin));
    }

    void handle(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink)
    {
        ++calls;
        if (refuseCalls) {
            reply(*sink, 503, Json::object());
            return;
        }
        if (answersWithoutEnd) {
            sink->head(200, {}, true);
            sendWithoutEnd(m_io, sink, std::string(16'384, 'x'));
            return;
        }
        const std::string prefix = "/v1/objects/";
        REQUIRE(request.target.substr(0, prefix.size()) == prefix);
        const std::string path =
            request.target.substr(prefix.size(), request.target.find('?') - prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        if (kind == refusedKind) {
            reply(*sink, 503, Json::object());
            return;
        }
        const std::string name =
            slash == std::string::npos ? std::string() : percentDecoded(path.substr(slash + 1));
        if (request.method == "GET" && name.empty()) {
            parameter(request.target, "watch").empty() ? list(request, kind, *sink)
                                                       : watch(request, kind, sink);
        } else if (request.method == "GET") {
            get(kind, name, *sink);
        } else {
            write(request, kind, name, *sink);
        }
    }

    void get(const std::string &kind, const std::string &name, ResponseSink &sink)
    {
        if (!has(kind, name)) {
            reply(sink, 404, Json::object());
            return;
        }
        const Object &object = m_objects[kind][name];
        replyText(sink, 200, toText(name, object.revision, object));
    }

    void list(const HttpRequest &request, const std::string &kind, ResponseSink &sink)
    {
        const std::string after = parameter(request.target, "after");
        std::string items;
        std::size_t count = 0;
        bool truncated = false;
        for (const auto &[name, object] : m_objects[kind]) {
            if (name <= after && !after.empty()) {
                continue;
            }
            if (count == pageSize) {
                truncated = true;
                break;
            }
            append(items, toText(name, object.revision, object));
            ++count;
        }
        replyText(sink, 200,
                  R"({"items":[)" + items + R"(],"truncated":)" + (truncated ? "true" : "false")
                      + R"(,"asOf":)" + std::to_string(m_revision) + '}');
    }

    void watch(const HttpRequest &request, const std::string &kind,
               const std::shared_ptr<ResponseSink> &sink)
    {
        const std::uint64_t from = std::stoull(parameter(request.target, "watch"));
        if (from < m_historyStart || from > m_revision) {
            reply(*sink, 410, Json::object());
            return;
        }
        const auto wait =
            std::chrono::milliseconds(std::stoll(parameter(request.target, "waitMs")));
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
        m_watches.push_back({kind, from, sink, timer});
        timer->async_wait([this, sink](const boost::system::error_code &ec) {
            if (!ec) {
                m_watches.remove_if([&sink](const Watch &it) {
                    return it.sink == sink;
                });
                reply(*sink, 200, {{"events", Json::array()}, {"asOf", m_revision}});
            }
        });
        answerWatches();
    }

    void write(const HttpRequest &request, const std::string &kind, const std::string &pathName,
               ResponseSink &sink)
    {
        const Json body =
            request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
        const std::string name =
            pathName.empty() ? body["metadata"]["name"].get<std::string>() : pathName;
        const bool exists = has(kind, name);
        std::uint64_t expected = exists ? m_objects[kind][name].revision : 0;
        if (request.method == "DELETE") {
            expected = std::stoull(parameter(request.target, "rev"));
        } else if (request.method == "PUT" && body["metadata"].contains("rev")) {
            expected = body["metadata"]["rev"].get<std::uint64_t>();
        }
        const bool conflict = request.method == "POST"
            ? exists
            : !exists || m_objects[kind][name].revision != expected;
        if (conflict) {
            reply(sink, exists ? 409 : 404, Json::object());
            return;
        }
        if (request.method == "DELETE") {
            erase(kind, name);
        } else {
            put(kind, name, body["spec"]);
        }
        if (answersToLose > 0) {
            --answersToLose;
            sink.head(200, {}, true);
            sink.abort();
            return;
        }
        replyText(sink, 200,
                  request.method == "DELETE" ? "{}"
                                             : toText(name, m_revision, m_objects[kind][name]));
    }

    void answerWatches()
    {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            std::string events;
            for (const Change &change : m_history) {
                if (change.kind == it->kind && change.revision > it->from) {
                    // A removal contains the object with its old revision.
                    const std::uint64_t revision =
                        change.removed ? change.revision - 1 : change.revision;
                    append(events,
                           std::string(R"({"removed":)") + (change.removed ? "true" : "false")
                               + R"(,"object":)" + toText(change.name, revision, change.object)
                               + '}');
                }
            }
            if (events.empty()) {
                ++it;
                continue;
            }
            it->timer->cancel();
            replyText(*it->sink, 200,
                      R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(m_revision)
                          + '}');
            it = m_watches.erase(it);
        }
    }

    boost::asio::io_context &m_io;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyStart = 0;
};

/// Stand-in for one replica: answers requests through a handler of the test, and executes orders.
class StandinReplica
{
public:
    using Json = nlohmann::json;
    using Handler =
        std::function<void(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink)>;
    static constexpr const char *HealthPath = "/health";
    static constexpr std::size_t MaxUploadBytes = 8U << 20U;

    StandinReplica(boost::asio::io_context &io, Metrics &metrics, std::string replicaId,
                   Handler replicaHandler)
        : id(std::move(replicaId))
        , handler(std::move(replicaHandler))
        , m_io(io)
        , m_metrics(metrics)
    {
        listen();
    }

    std::string address() const { return localAddress(*m_server); }

    Json entry(const std::string &service, const std::string &state = "ready") const
    {
        return {{"service", service},       {"addr", address()}, {"zone", "z1"},
                {"version", "v1"},          {"slots", 8},        {"state", state},
                {"coldLeftMs", 0},          {"born", born},      {"models", modelList(models)},
                {"atHand", cachedModels()}, {"seq", 1}};
    }

    /// Closes all connections and refuses new ones.
    void crash() { m_server.reset(); }

    /// Starts another process under the same id, at another address and without models.
    void restart()
    {
        ++born;
        models.clear();
        orders.clear();
        listen();
    }

    std::string id;
    Handler handler;
    std::vector<std::string> models;
    /// Adapters loaded by orders, listed with each model.
    std::vector<std::string> adapters;
    /// Models whose weights are kept in memory.
    std::vector<std::string> inMemory;
    std::vector<Json> orders;
    std::vector<HttpRequest> requests;
    /// Answer reports with a body that has no end.
    bool reportsWithoutEnd = false;
    int reports = 0;
    int healthChecks = 0;
    /// Reports keep listing the models of the first report after this is set.
    bool reportsStale = false;
    /// Number of orders to leave unanswered and execute after the delay if they still apply.
    int ordersToDelay = 0;
    std::chrono::milliseconds orderDelay{0};
    std::size_t maxModels = 0;
    std::int64_t born = 1;
    /// What answers to orders, and to reports if \c reportsState is set, say of the replica.
    std::vector<HeaderField> statement;
    bool reportsState = true;
    /// Refuse reports and orders with this status, if set.
    int engineCallStatus = 0;
    int refusedCalls = 0;

private:
    void listen()
    {
        HttpServerOptions options;
        options.maxBodyBytes = MaxUploadBytes;
        auto server = makeHttpServer(
            m_io, options,
            [this](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                handle(request, sink);
            },
            m_metrics);
        REQUIRE(server);
        m_server = std::move(*server);
    }

    Json cachedModels() const { return {{"inMemory", inMemory}, {"onDisk", Json::array()}}; }

    Json modelList(const std::vector<std::string> &loadedModels) const
    {
        Json list = Json::array();
        for (const std::string &model : loadedModels) {
            list.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
        }
        return list;
    }

    void handle(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink)
    {
        if (request.target == HealthPath) {
            ++healthChecks;
            const HeaderField headers[] = {{"X-Marigoldspool-Replica-Id", id}};
            sink->head(200, headers, false);
            sink->finish();
            return;
        }
        const bool isReport = request.target == "/v1/report";
        if (engineCallStatus != 0 && (isReport || request.target == "/v1/order")) {
            ++refusedCalls;
            answerJson(*sink, engineCallStatus, Json::object(), statement);
            return;
        }
        if (isReport) {
            ++reports;
            if (reportsWithoutEnd) {
                sink->head(200, {}, true);
                sendWithoutEnd(m_io, sink, std::string(16'384, 'x'));
                return;
            }
            if (!reportsStale || m_reportedModels.empty()) {
                m_reportedModels = models;
            }
            answerJson(*sink, 200,
                       {{"stage", "mixed"},
                        {"models", modelList(m_reportedModels)},
                        {"atHand", cachedModels()},
                        {"busy", false},
                        {"seq", orders.size()},
                        {"born", born},
                        {"queued", 0},
                        {"active", 0}},
                       reportsState ? statement : std::vector<HeaderField>());
            return;
        }
        if (request.target == "/v1/order") {
            const Json order = Json::parse(request.body);
            if (ordersToDelay > 0) {
                --ordersToDelay;
                m_unansweredSinks.push_back(sink);
                auto timer = std::make_shared<boost::asio::steady_timer>(m_io, orderDelay);
                timer->async_wait([this, order, timer](const boost::system::error_code &ec) {
                    if (!ec) {
                        execute(order);
                    }
                });
                return;
            }
            answerJson(*sink, execute(order) ? 202 : 409, Json::object(), statement);
            return;
        }
        requests.push_back(request);
        handler(request, sink);
    }

    bool execute(const Json &order)
    {
        if (order["precondition"] != orders.size()) {
            return false;
        }
        orders.push_back(order);
        if (order.contains("adapter")) {
            adapters.push_back(order["adapter"]);
            return true;
        }
        const std::string model = order["model"];
        if (order["op"] == "load") {
            models.push_back(model);
        } else {
            models.erase(std::remove(models.begin(), models.end(), model), models.end());
        }
        maxModels = std::max(maxModels, models.size());
        return true;
    }

    boost::asio::io_context &m_io;
    Metrics &m_metrics;
    std::vector<std::shared_ptr<ResponseSink>> m_unansweredSinks;
    std::vector<std::string> m_reportedModels;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace marigoldspool

#endif
