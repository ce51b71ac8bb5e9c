#ifndef MARIGOLDSPOOL_TESTS_STANDINS_PLATFORMSERVER_H
#define MARIGOLDSPOOL_TESTS_STANDINS_PLATFORMSERVER_H

#include "marigoldspool/Support/RandomSource.h"
#include "standins/platform-standin/HttpSession.h"
#include "support/ObjectTable.h"

#include <charconv>
#include <list>
#include <map>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace marigoldspool {

/// How the simulated platform misbehaves; set by `POST /faults`.
struct PlatformFaults {
    enum class Mode {
        Normal,
        Away, ///< Closes connections without an answer and without an effect.
        Hang, ///< Never answers; without an effect.
        Slow, ///< Answers after the delay.
        LoseAnswers, ///< Closes the connection after a write has taken effect.
        Limited, ///< Answers 429.
    };
    Mode mode = Mode::Normal;
    std::chrono::milliseconds delay{0};
    /// The part of the operations that is affected.
    double probability = 1;
};

/// The object API of the platform, in memory, as JSON over HTTP/1.1.
class PlatformServer
{
public:
    PlatformServer(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
                   std::uint64_t seed)
        : m_io(io)
        , m_acceptor(io, address)
        , m_random(seed)
    {
        accept();
    }

    ~PlatformServer() { stop(); }
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    std::string address() const
    {
        const auto local = m_acceptor.local_endpoint();
        return local.address().to_string() + ":" + std::to_string(local.port());
    }

    void setFaults(const PlatformFaults &faults) { m_faults = faults; }
    void setInstances(std::vector<PlatformInstance> list) { m_instances = std::move(list); }
    ObjectTable &table() { return m_table; }
    /// Number of calls received of a kind: get, put, remove, list, watch or instances.
    std::uint64_t count(const std::string &kind) const
    {
        const auto it = m_counts.find(kind);
        return it == m_counts.end() ? 0 : it->second;
    }
    std::uint64_t connectionsAccepted() const { return m_accepted; }
    std::size_t waitingWatches() const { return m_watches.size(); }

    void stop()
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
        closeConnections();
    }

    void closeConnections()
    {
        m_watches.clear();
        for (const std::weak_ptr<HttpSession> &session : m_sessions) {
            if (const auto open = session.lock()) {
                open->close();
            }
        }
        m_sessions.clear();
    }

private:
    using Json = nlohmann::json;
    using Mode = PlatformFaults::Mode;
    using SessionPtr = std::shared_ptr<HttpSession>;

    struct Target {
        std::string path;
        std::map<std::string, std::string> query;
    };

    struct Watch {
        SessionPtr session;
        std::string prefix;
        std::uint64_t from;
        boost::asio::steady_timer timer;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
                if (ec == boost::asio::error::operation_aborted) {
                    return;
                }
                if (!ec) {
                    ++m_accepted;
                    // Runs only while the server exists: it closes its sessions when it ends.
                    const auto session = std::make_shared<HttpSession>(
                        std::move(socket),
                        [this](const SessionPtr &from, const HttpSession::Request &request) {
                            handle(from, request);
                        });
                    m_sessions.remove_if([](const auto &old) {
                        return old.expired();
                    });
                    m_sessions.push_back(session);
                    session->read();
                }
                accept();
            });
    }

    static std::string decode(std::string_view text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned byte = 0;
            if (text[i] == '%' && i + 2 < text.size()
                && std::from_chars(&text[i + 1], &text[i + 1] + 2, byte, 16).ptr
                    == &text[i + 1] + 2) {
                plain.push_back(static_cast<char>(byte));
                i += 2;
            } else {
                plain.push_back(text[i]);
            }
        }
        return plain;
    }

    static Target parseTarget(std::string_view text)
    {
        const std::size_t mark = text.find('?');
        Target target{decode(text.substr(0, mark)), {}};
        std::string_view rest =
            mark == std::string_view::npos ? std::string_view() : text.substr(mark + 1);
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string_view pair = rest.substr(0, end);
            const std::size_t equals = pair.find('=');
            if (equals != std::string_view::npos) {
                target.query[decode(pair.substr(0, equals))] = decode(pair.substr(equals + 1));
            }
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
        return target;
    }

    static std::uint64_t number(const Target &target, const std::string &name)
    {
        const auto it = target.query.find(name);
        std::uint64_t value = 0;
        if (it != target.query.end()) {
            std::from_chars(it->second.data(), it->second.data() + it->second.size(), value);
        }
        return value;
    }

    static std::string text(const Target &target, const std::string &name)
    {
        const auto it = target.query.find(name);
        return it == target.query.end() ? std::string() : it->second;
    }

    void handle(const SessionPtr &session, const HttpSession::Request &request)
    {
        const std::string_view method(request.method_string().data(),
                                      request.method_string().size());
        const Target target =
            parseTarget(std::string_view(request.target().data(), request.target().size()));
        if (handleControl(session, method, target, request.body())) {
            return;
        }
        const std::string kind = kindOf(method, target.path);
        if (kind.empty()) {
            session->respond(404, R"({"error":"unknown path"})");
            return;
        }
        ++m_counts[kind];
        const bool affected =
            m_faults.mode != Mode::Normal && m_random.uniform() < m_faults.probability;
        const Mode mode = affected ? m_faults.mode : Mode::Normal;
        switch (mode) {
        case Mode::Away:
            session->close();
            return;
        case Mode::Hang:
            session->hang();
            return;
        case Mode::Limited:
            session->respond(429, R"({"error":"rate limited"})");
            return;
        case Mode::Slow:
            session->delayNextAnswer(m_faults.delay);
            break;
        case Mode::LoseAnswers:
            if (kind == "put" || kind == "remove") {
                session->loseNextAnswer();
            }
            break;
        case Mode::Normal:
            break;
        }
        perform(session, kind, target, request.body());
    }

    static std::string kindOf(std::string_view method, std::string_view path)
    {
        if (path.substr(0, 9) == "/objects/") {
            return method == "GET" ? "get"
                : method == "PUT"  ? "put"
                                   : (method == "DELETE" ? "remove" : "");
        }
        if (method != "GET") {
            return {};
        }
        return path == "/list"     ? "list"
            : path == "/watch"     ? "watch"
            : path == "/instances" ? "instances"
                                   : "";
    }

    // Controls of the simulation; they work in every fault mode.
    bool handleControl(const SessionPtr &session, std::string_view method, const Target &target,
                       const std::string &body)
    {
        if (method == "GET" && target.path == "/counts") {
            session->respond(200, Json{{"calls", m_counts}, {"accepted", m_accepted}}.dump());
            return true;
        }
        if (method == "POST" && target.path == "/faults") {
            session->respond(applyFaults(body) ? 200 : 400, "{}");
            return true;
        }
        if (method == "POST" && target.path == "/gap") {
            m_table.forgetEvents();
            session->respond(200, "{}");
            return true;
        }
        if (method == "PUT" && target.path == "/instances") {
            session->respond(applyInstances(body) ? 200 : 400, "{}");
            return true;
        }
        return false;
    }

    bool applyFaults(const std::string &body)
    {
        static const std::map<std::string, Mode> modes{{"normal", Mode::Normal},
                                                       {"away", Mode::Away},
                                                       {"hang", Mode::Hang},
                                                       {"slow", Mode::Slow},
                                                       {"lose_answers", Mode::LoseAnswers},
                                                       {"limited", Mode::Limited}};
        const Json fields = Json::parse(body, nullptr, false);
        if (!fields.is_object()) {
            return false;
        }
        try {
            const auto mode = modes.find(fields.value("mode", "normal"));
            if (mode == modes.end()) {
                return false;
            }
            m_faults.mode = mode->second;
            m_faults.delay = std::chrono::milliseconds(fields.value("delay_ms", 0));
            m_faults.probability = fields.value("probability", 1.0);
        } catch (const Json::exception &) {
            return false;
        }
        if (m_faults.mode == Mode::Away) {
            endWatches();
        }
        return true;
    }

    bool applyInstances(const std::string &body)
    {
        std::vector<PlatformInstance> list;
        try {
            // A range-based loop does not extend the life of the parsed document.
            const Json fields = Json::parse(body);
            for (const Json &item : fields.at("instances")) {
                list.push_back(
                    {item.at("id"), item.at("zone"), item.at("address"),
                     item.at("state") == "leaving" ? PlatformState::Leaving : PlatformState::Live});
            }
        } catch (const Json::exception &) {
            return false;
        }
        m_instances = std::move(list);
        return true;
    }

    void perform(const SessionPtr &session, const std::string &kind, const Target &target,
                 const std::string &body)
    {
        const std::string key = target.path.substr(target.path.find('/', 1) + 1);
        if (kind == "get") {
            const auto object = m_table.get(key);
            session->respond(object ? 200 : 404, object ? toJson(*object).dump() : "{}");
        } else if (kind == "put") {
            performPut(session, key, body);
        } else if (kind == "remove") {
            answerWrite(session, m_table.remove(key, number(target, "expected_version")));
        } else if (kind == "list") {
            const ListResult result = m_table.list(text(target, "prefix"));
            Json objects = Json::array();
            for (const StoredObject &object : result.objects) {
                objects.push_back(toJson(object));
            }
            session->respond(200, Json{{"revision", result.revision}, {"objects", objects}}.dump());
        } else if (kind == "watch") {
            performWatch(session, target);
        } else {
            session->respond(200, instancesJson());
        }
    }

    void performPut(const SessionPtr &session, const std::string &key, const std::string &body)
    {
        const Json fields = Json::parse(body, nullptr, false);
        try {
            std::string value = fields.at("value");
            if (value.size() > MostValueBytes) {
                session->respond(413, "{}");
                return;
            }
            answerWrite(session,
                        m_table.put(key, fields.at("expected_version").get<std::uint64_t>(),
                                    std::move(value),
                                    WriteId(fields.at("write_id").get<std::string>())));
        } catch (const Json::exception &) {
            session->respond(400, R"({"error":"malformed body"})");
        }
    }

    void answerWrite(const SessionPtr &session, const Expected<std::uint64_t> &result)
    {
        if (result) {
            session->respond(200, Json{{"version", *result}}.dump());
            wakeWatches();
            return;
        }
        session->respond(result.error().kind == ErrorKind::Conflict ? 409 : 404, "{}");
    }

    void performWatch(const SessionPtr &session, const Target &target)
    {
        const std::uint64_t from = number(target, "from");
        const std::string prefix = text(target, "prefix");
        const WatchBatch batch = m_table.eventsAfter(prefix, from);
        if (batch.gap || !batch.events.empty()) {
            session->respond(200, batchJson(batch));
            return;
        }
        const auto watch = m_watches.insert(
            m_watches.end(), Watch{session, prefix, from, boost::asio::steady_timer(m_io)});
        watch->timer.expires_after(std::chrono::milliseconds(number(target, "wait_ms")));
        watch->timer.async_wait([this, watch](boost::system::error_code ec) {
            if (!ec) {
                answerWatch(watch);
            }
        });
    }

    std::list<Watch>::iterator answerWatch(std::list<Watch>::iterator watch)
    {
        watch->session->respond(200, batchJson(m_table.eventsAfter(watch->prefix, watch->from)));
        return m_watches.erase(watch);
    }

    void wakeWatches()
    {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            if (m_table.eventsAfter(it->prefix, it->from).events.empty()) {
                ++it;
            } else {
                it = answerWatch(it);
            }
        }
    }

    void endWatches()
    {
        for (const Watch &watch : m_watches) {
            watch.session->close();
        }
        m_watches.clear();
    }

    static Json toJson(const StoredObject &object)
    {
        return {{"key", object.key},
                {"version", object.version},
                {"value", object.value},
                {"write_id", object.writeId.str()}};
    }

    static std::string batchJson(const WatchBatch &batch)
    {
        Json events = Json::array();
        for (const WatchEvent &event : batch.events) {
            events.push_back({{"key", event.key},
                              {"version", event.version},
                              {"deleted", event.deleted},
                              {"value", event.value}});
        }
        return Json{{"revision", batch.revision}, {"gap", batch.gap}, {"events", events}}.dump();
    }

    std::string instancesJson() const
    {
        Json list = Json::array();
        for (const PlatformInstance &instance : m_instances) {
            list.push_back({{"id", instance.id},
                            {"zone", instance.zone},
                            {"address", instance.address},
                            {"state", instance.state == PlatformState::Live ? "live" : "leaving"}});
        }
        return Json{{"instances", list}}.dump();
    }

    static constexpr std::size_t MostValueBytes = 1U << 20U;

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    SeededRandomSource m_random;
    PlatformFaults m_faults;
    ObjectTable m_table;
    std::vector<PlatformInstance> m_instances;
    std::list<std::weak_ptr<HttpSession>> m_sessions;
    std::list<Watch> m_watches;
    std::map<std::string, std::uint64_t> m_counts;
    std::uint64_t m_accepted = 0;
};

} // namespace marigoldspool

#endif
