#ifndef MARIGOLDSPOOL_TESTS_STANDINS_STANDINBASE_H
#define MARIGOLDSPOOL_TESTS_STANDINS_STANDINBASE_H

#include "marigoldspool/Gateway/HttpServer.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Metrics.h"
#include "marigoldspool/Support/Settings.h"

#include <array>
#include <csignal>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace marigoldspool::standins {

using Json = nlohmann::json;

enum class Mode {
    Normal,
    /// An event rather than a mode: forgets its state, then goes on as normal.
    Cold,
    /// Requests that come are never answered, not even after a return to normal.
    Silent,
    /// Requests take effect at once and are answered after a delay.
    Late,
    /// Every request runs and is answered with status 500.
    Fail,
    /// Answers end in their middle.
    CutAnswers,
};

inline std::optional<Mode> modeFromName(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, Mode>, 6> Names{
        {{"normal", Mode::Normal},
         {"cold", Mode::Cold},
         {"silent", Mode::Silent},
         {"late", Mode::Late},
         {"fail", Mode::Fail},
         {"cut_answers", Mode::CutAnswers}}};
    for (const auto &[known, mode] : Names) {
        if (known == name) {
            return mode;
        }
    }
    return std::nullopt;
}

/// What the stand-ins have in common: the server, fault modes and counts.
class StandinBase
{
public:
    explicit StandinBase(boost::asio::io_context &io)
        : m_io(io)
    { }
    virtual ~StandinBase() = default;
    StandinBase(const StandinBase &) = delete;
    StandinBase &operator=(const StandinBase &) = delete;

    /// Starts to serve and returns the port.
    Expected<std::uint16_t> open(const std::string &address)
    {
        HttpServerOptions options;
        options.address = address;
        auto server = makeHttpServer(
            m_io, options,
            [this](HttpRequest request, std::shared_ptr<ResponseSink> sink) {
                accept(std::move(request), std::move(sink));
            },
            m_metrics);
        if (!server) {
            return tl::unexpected<Error>(server.error());
        }
        m_server = std::move(*server);
        return m_server->port();
    }

    /// The answer to `GET /control/counts`.
    Json counts() const
    {
        Json result{{"runs", m_runs}, {"runs_total", m_runsTotal}, {"headers", m_headers}};
        addCounts(result);
        return result;
    }

protected:
    using Sink = std::shared_ptr<ResponseSink>;

    virtual void handle(HttpRequest request, Sink sink) = 0;
    virtual void becomeCold() = 0;
    virtual void addCounts(Json &counts) const = 0;

    /// For destructors of derived classes: closing connections calls their handlers.
    void close() { m_server.reset(); }
    Mode mode() const { return m_mode; }

    static std::string requestId(const HttpRequest &request)
    {
        const std::string *id = findHeader(request.headers, "X-Request-Id");
        return id != nullptr ? *id : "none";
    }

    /// Counts a run; the ids are bounded so that long load tests do not fill the memory.
    void countRun(const std::string &id)
    {
        constexpr std::size_t MaxIds = 200'000;
        ++m_runsTotal;
        if (m_runs.size() < MaxIds || m_runs.count(id) > 0) {
            ++m_runs[id];
        }
    }

    /// Answers as the mode in force says.
    void answer(Sink sink, int status, const Json &body)
    {
        afterDelay([this, sink = std::move(sink), status, text = body.dump()] {
            answerNow(*sink, status, text);
        });
    }

    /// Runs \p action at once, or after the delay in the mode Late.
    template <class Action>
    void afterDelay(Action action)
    {
        if (m_mode == Mode::Late) {
            after(m_delay, std::move(action));
            return;
        }
        action();
    }

    template <class Action>
    void after(Duration delay, Action action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait(
            [timer, action = std::move(action)](const boost::system::error_code &ec) mutable {
                if (!ec) {
                    action();
                }
            });
    }

    /// Fields of an answer, with those that state something about this program: `Server-Leaving`
    /// and, with status 503, `Retry-After`, if the last call to `/control` has set them.
    std::vector<HeaderField> answerFields(int status, std::string contentType) const
    {
        std::vector<HeaderField> fields{{"Content-Type", std::move(contentType)}};
        if (m_isLeaving) {
            fields.push_back({"Server-Leaving", "1"});
        }
        if (status == 503 && !m_retryAfter.empty()) {
            fields.push_back({"Retry-After", m_retryAfter});
        }
        return fields;
    }

    /// Keeps the connection open without an answer.
    void leaveUnanswered(Sink sink) { m_unanswered.push_back(std::move(sink)); }

    static Json errorJson(std::string_view code, std::string_view ran)
    {
        return {{"error", {{"code", code}, {"message", code}, {"ran", ran}}}};
    }

private:
    void accept(HttpRequest request, Sink sink)
    {
        if (request.target == "/control" && request.method == "POST") {
            control(request, *sink);
            return;
        }
        if (request.target == "/control/counts") {
            sendJson(*sink, 200, counts().dump(), answerFields(200, JsonType));
            return;
        }
        noteHeaders(request);
        if (m_mode == Mode::Silent) {
            leaveUnanswered(std::move(sink));
            return;
        }
        handle(std::move(request), std::move(sink));
    }

    void control(const HttpRequest &request, ResponseSink &sink)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        const bool isNamed = body.is_object() && body.contains("mode") && body["mode"].is_string();
        const auto mode = isNamed ? modeFromName(body["mode"].get<std::string>()) : std::nullopt;
        if (!mode) {
            sendJson(sink, 400, errorJson("unknown_mode", "no").dump(),
                     answerFields(400, JsonType));
            return;
        }
        m_mode = *mode == Mode::Cold ? Mode::Normal : *mode;
        m_delay = std::chrono::milliseconds(body.value("delay_ms", 1000));
        m_isLeaving = body.value("leaving", false);
        m_retryAfter = body.value("retry_after", std::string());
        if (*mode == Mode::Cold) {
            becomeCold();
        }
        sendJson(sink, 200, "{}", answerFields(200, JsonType));
    }

    void noteHeaders(const HttpRequest &request)
    {
        constexpr std::size_t MaxValues = 20;
        for (const HeaderField &field : request.headers) {
            std::set<std::string> &values = m_headers[field.name];
            if (values.size() < MaxValues) {
                values.insert(field.value);
            }
        }
    }

    void answerNow(ResponseSink &sink, int status, const std::string &text) const
    {
        if (m_mode == Mode::Fail) {
            sendJson(sink, 500, errorJson("failed", "unknown").dump(), answerFields(500, JsonType));
            return;
        }
        if (m_mode == Mode::CutAnswers) {
            sink.head(status, answerFields(status, JsonType), true);
            sink.data(std::string_view(text).substr(0, text.size() / 2));
            sink.abort();
            return;
        }
        sendJson(sink, status, text, answerFields(status, JsonType));
    }

    static void sendJson(ResponseSink &sink, int status, std::string_view text,
                         const std::vector<HeaderField> &fields)
    {
        sink.head(status, fields, false);
        sink.data(text);
        sink.finish();
    }

    static constexpr const char *JsonType = "application/json";

    boost::asio::io_context &m_io;
    Metrics m_metrics;
    Mode m_mode = Mode::Normal;
    Duration m_delay = std::chrono::seconds(1);
    bool m_isLeaving = false;
    std::string m_retryAfter;
    std::vector<Sink> m_unanswered;
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_runsTotal = 0;
    std::map<std::string, std::set<std::string>> m_headers;
    std::unique_ptr<HttpServer> m_server;
};

/// Serves until SIGTERM or SIGINT and returns the exit code.
inline int serve(boost::asio::io_context &io, StandinBase &standin, const std::string &address)
{
    const Expected<std::uint16_t> port = standin.open(address);
    if (!port) {
        std::cerr << describeError(port.error()) << '\n';
        return 1;
    }
    const std::string host = address.substr(0, address.rfind(':'));
    std::cout << "listening address=" << host << ':' << *port << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    io.run();
    return 0;
}

/// Prints help or the problem and returns the exit code; empty when the program shall go on.
inline std::optional<int> checkSettings(const Expected<Settings> &settings)
{
    if (!settings) {
        std::cerr << describeError(settings.error()) << '\n';
        return 2;
    }
    if (settings->helpRequested()) {
        std::cout << settings->helpText();
        return 0;
    }
    return std::nullopt;
}

/// The value, or the end of the program with its cause and remedy.
template <class T>
T valueOrExit(Expected<T> value)
{
    if (!value) {
        std::cerr << describeError(value.error()) << '\n';
        std::exit(2);
    }
    return std::move(*value);
}

} // namespace marigoldspool::standins

#endif
