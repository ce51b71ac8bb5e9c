#ifndef MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_REQUESTPATHFIXTURE_H
#define MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_REQUESTPATHFIXTURE_H

#include "PlatformCodec.h"
#include "PlatformStore.h"
#include "StandinPlatform.h"

#include "marigoldspool/Fleet/FleetDaemon.h"
#include "support/EndlessServer.h"
#include "support/FreePorts.h"
#include "support/IoRunner.h"

namespace marigoldspool {

inline std::string requestId(const HttpRequest &request)
{
    return *findHeader(request.headers, "X-Marigoldspool-Request-Id");
}

inline std::vector<HeaderField> answerHeaders(const HttpRequest &request)
{
    return {{"X-Marigoldspool-Request-Id", requestId(request)},
            {"X-Marigoldspool-Replica-Seal", "seal"}};
}

inline std::vector<HeaderField> streamHeaders(const HttpRequest &request)
{
    std::vector<HeaderField> headers = answerHeaders(request);
    headers.push_back({"Content-Type", "text/event-stream"});
    return headers;
}

inline void answerOk(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink)
{
    sink->head(200, answerHeaders(request), false);
    sink->data("the answer");
    sink->finish();
}

inline void answerNotRun(const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink,
                         int status)
{
    std::vector<HeaderField> headers{{"X-Marigoldspool-Request-Id", requestId(request)},
                                     {"X-Marigoldspool-Not-Run", "1"}};
    sink->head(status, headers, false);
    sink->finish();
}

struct CallerAnswer {
    int status = 0;
    std::string body;
    std::string retryAfter;
    bool complete = false;
    bool ended = false;
    /// Whether the caller reads on.
    bool takesData = true;
};

/// Records the answer that a caller gets.
class CallerHandler final : public EndpointCallHandler
{
public:
    explicit CallerHandler(std::shared_ptr<CallerAnswer> answer)
        : m_answer(std::move(answer))
    { }

    void onHead(int status, gsl::span<const HeaderField> headers) override
    {
        m_answer->status = status;
        if (const std::string *field = findHeader(headers, "Retry-After")) {
            m_answer->retryAfter = *field;
        }
    }
    void onData(std::string_view bytes) override { m_answer->body.append(bytes); }
    bool takesData() const override { return m_answer->takesData; }
    void onComplete() override { m_answer->complete = m_answer->ended = true; }
    void onFailure(SendStage /*stage*/, Error /*error*/) override { m_answer->ended = true; }

private:
    std::shared_ptr<CallerAnswer> m_answer;
};

/// One instance with a stand-in store and stand-in replicas, all on one event loop.
class RequestPathFixture
{
public:
    explicit RequestPathFixture(FleetOptions options = FleetOptions())
        : store(io, metrics)
    {
        daemon = addInstance("front-1", std::move(options));
        client = makeEndpointClient(io, clock, metrics);
        configure(1, {"k1"});
    }

    /// Starts an instance, to which the next requests of callers go. \p storeAddress: where it
    /// reaches the store, if not at the store's own address.
    std::unique_ptr<FleetDaemon> addInstance(const std::string &name,
                                             FleetOptions options = FleetOptions(),
                                             const std::string &storeAddress = {})
    {
        options.instance = InstanceId(name);
        options.zone = ZoneName("z1");
        const auto port = [] {
            return "127.0.0.1:" + std::to_string(takeFreePort());
        };
        callerAddress = options.callerAddress = port();
        options.readinessAddress = port();
        options.peerAddress = options.peerAddress.empty() ? port() : options.peerAddress;
        options.storeAddress = storeAddress.empty() ? store.address() : storeAddress;
        auto objectStore =
            makePlatformStore(io, options.storeAddress, std::chrono::milliseconds(800), metrics);
        REQUIRE(objectStore);
        auto ownMetrics = std::make_unique<Metrics>();
        daemonMetrics = ownMetrics.get();
        auto instance = std::make_unique<FleetDaemon>(io, options, codec, std::move(*objectStore),
                                                      std::move(ownMetrics));
        REQUIRE(instance->start());
        return instance;
    }

    StandinReplica &startReplica(const std::string &id, StandinReplica::Handler handler)
    {
        replicas.push_back(std::make_unique<StandinReplica>(io, metrics, id, std::move(handler)));
        return *replicas.back();
    }

    StandinReplica &addReplica(const std::string &id, const std::string &service,
                               StandinReplica::Handler handler,
                               std::vector<std::string> models = {})
    {
        StandinReplica &replica = startReplica(id, std::move(handler));
        replica.models = std::move(models);
        store.put("servers", id, replica.entry(service));
        return replica;
    }

    void addServer(const std::string &id, const std::string &service, const EndlessServer &server,
                   const nlohmann::json &models = nlohmann::json::array())
    {
        store.put("servers", id,
                  {{"service", service},
                   {"addr", server.address()},
                   {"zone", "z1"},
                   {"version", "v1"},
                   {"slots", 300},
                   {"state", "ready"},
                   {"coldLeftMs", 0},
                   {"born", 1},
                   {"models", models},
                   {"seq", 1}});
    }

    nlohmann::json configuration(int version, const std::vector<std::string> &keys) const
    {
        const nlohmann::json engine = {
            {"slots", 8},
            {"weightsMb", engineMemoryMb},
            {"adapterSlots", 2},
            {"loadsPerS", 5},
            {"models",
             {{{"name", "m"}, {"weightsMb", 60}, {"loadS", 0.05}, {"warmS", 0.05}},
              {{"name", "n"},
               {"weightsMb", 60},
               {"loadS", 0.05},
               {"warmS", 0.05},
               {"adapters", adapters},
               {"adapterMb", 1}}}}};
        return {{"version", version},
                {"routes", routes},
                {"services",
                 {{{"name", "app"}, {"healthPath", StandinReplica::HealthPath}},
                  {{"name", "llm"}, {"engine", engine}}}},
                {"tenants", {{{"name", "t"}, {"apiKeys", keys}}}}};
    }

    void configure(int version, const std::vector<std::string> &keys)
    {
        store.put("config", "main", configuration(version, keys));
    }

    // Adds a replica that has model m loaded and refuses requests for other models.
    StandinReplica &addEngine()
    {
        return addReplica(
            "i-1", "llm",
            [this](const HttpRequest &request, const std::shared_ptr<ResponseSink> &sink) {
                const std::string model = *findHeader(request.headers, "X-Marigoldspool-Model");
                const auto &loadedModels = replicas[0]->models;
                if (std::find(loadedModels.begin(), loadedModels.end(), model)
                    == loadedModels.end()) {
                    answerNotRun(request, sink, 421);
                    return;
                }
                sink->head(200, streamHeaders(request), true);
                sink->data("id: 1\ndata: x\n\n");
                sink->finish();
            },
            {"m"});
    }

    std::shared_ptr<CallerAnswer> call(const std::string &target, const std::string &model = {},
                                       const std::string &key = "k1",
                                       const std::string &prompt = {})
    {
        auto answer = std::make_shared<CallerAnswer>();
        EndpointCall call;
        call.id = RequestId("r" + std::to_string(++requests));
        call.address = callerAddress;
        call.method = "POST";
        call.target = target;
        call.host = "h";
        call.timeout = std::chrono::seconds(10);
        call.headers = {{"X-Marigoldspool-Request-Id", call.id.str()},
                        {"X-Marigoldspool-Deadline-Ms", "5000"},
                        {"Authorization", "Token " + key}};
        if (!model.empty()) {
            call.headers.push_back({"X-Marigoldspool-Model", model});
        }
        if (!lastEventId.empty()) {
            call.headers.push_back({"Last-Event-Id", lastEventId});
        }
        if (!resumes.empty()) {
            call.headers.push_back({"Resumes", resumes});
        }
        if (!prompt.empty()) {
            call.headers.push_back({"X-Marigoldspool-Prefix-Hash", prompt});
        }
        call.body = upload;
        client->call(std::move(call), std::make_shared<CallerHandler>(answer));
        return answer;
    }

    std::shared_ptr<CallerAnswer> callAndWait(const std::string &target,
                                              const std::string &model = {},
                                              const std::string &key = "k1")
    {
        auto answer = call(target, model, key);
        REQUIRE(runUntil(io, [&answer] {
            return answer->ended;
        }));
        return answer;
    }

    // Repeats the request until the answer has the status, since store changes arrive with a delay.
    std::shared_ptr<CallerAnswer> callUntilStatus(int status, const std::string &target,
                                                  const std::string &model = {},
                                                  const std::string &key = "k1")
    {
        std::shared_ptr<CallerAnswer> answer;
        for (int i = 0; i < 200; ++i) {
            answer = callAndWait(target, model, key);
            if (answer->status == status) {
                return answer;
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(25));
        }
        FAIL_CHECK("no answer had the status ", status, "; the last had ", answer->status);
        return answer;
    }

    // Adds two replicas with the model and sends a request whose stream the first one cuts off.
    std::shared_ptr<CallerAnswer> requestCutStream(const StandinReplica::Handler &stream)
    {
        // Memory for both models, so that neither is unloaded for the other.
        engineMemoryMb = 200;
        configure(2, {"k1"});
        addReplica("i-1", "llm", stream, {"m"});
        addReplica("i-2", "llm", stream, {"m"});
        callUntilStatus(200, "/llm/x", "m");
        // Wait until both replicas are known.
        io.restart();
        io.run_for(std::chrono::seconds(1));
        return callAndWait("/llm/cut", "m");
    }

    boost::asio::io_context io;
    Metrics metrics;
    SystemClock clock;
    PlatformCodec codec;
    StandinStore store;
    std::vector<std::unique_ptr<StandinReplica>> replicas;
    std::unique_ptr<FleetDaemon> daemon;
    /// Owned by the daemon.
    const Metrics *daemonMetrics = nullptr;
    std::unique_ptr<EndpointClient> client;
    std::string callerAddress;
    int requests = 0;
    /// Memory for one of the two models.
    int engineMemoryMb = 100;
    /// Adapters of model n.
    int adapters = 0;
    /// The routes of the next configuration.
    nlohmann::json routes = {{{"name", "app"},
                              {"host", "h"},
                              {"prefix", "/app/"},
                              {"kind", "idempotent"},
                              {"service", "app"},
                              {"attempts", 2},
                              {"timeoutMs", 3000},
                              {"goalMs", 1000}},
                             {{"name", "once"},
                              {"host", "h"},
                              {"prefix", "/once/"},
                              {"kind", "non_idempotent"},
                              {"service", "app"},
                              {"attempts", 1},
                              {"timeoutMs", 3000},
                              {"goalMs", 1000}},
                             {{"name", "llm"},
                              {"host", "h"},
                              {"prefix", "/llm/"},
                              {"kind", "stream"},
                              {"service", "llm"},
                              {"attempts", 2},
                              {"timeoutMs", 5000},
                              {"goalMs", 1000},
                              {"resumable", true}}};
    /// The body of the next requests.
    std::string upload;
    /// The event after which callers resume their streams; empty for new ones.
    std::string lastEventId;
    /// The attempt that began the stream that callers resume; empty if they name none.
    std::string resumes;
};

} // namespace marigoldspool

#endif
