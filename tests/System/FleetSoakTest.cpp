// Real processes of marigoldspool-node under seeded faults from outside: signals, a proxy before
// the store and each replica, a store that is busy, forgets its history or loses answers.
#include "PlatformAdapter/StandinPlatform.h"
#include "System/LoopbackProxy.h"
#include "System/Process.h"
#include "support/FreePorts.h"
#include "support/IoRunner.h"

#include "marigoldspool/Gateway/EndpointClient.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>

#include <stdlib.h>

using namespace marigoldspool;
using namespace marigoldspool::system_tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

using Fault = LoopbackProxy::Fault;

constexpr int Nodes = 3;
constexpr int Events = 5;
constexpr auto FaultTime = 8s;
constexpr auto RequestInterval = 15ms;
// A process has this long from SIGTERM to its end; the platform kills it then.
constexpr auto StopTime = 8s;
// The stated bound for serving again after all faults, of the users' first deployments.
constexpr auto RecoverTime = 12s;
constexpr int LargeConfigurationRoutes = 2'500;
constexpr std::size_t SlowLinkBytesPerSecond = 300'000;
constexpr int SeedsInTests = 2;
constexpr std::uint64_t FirstSeed = 9'000;

enum class CallKind { Repeatable, Once, Stream };

/// One request of a client and what became of it.
struct Call {
    CallKind kind = CallKind::Repeatable;
    int runs = 0;
    int status = 0;
    std::string body;
    bool complete = false;
    bool ended = false;
};

class ClientHandler final : public EndpointCallHandler
{
public:
    explicit ClientHandler(std::shared_ptr<Call> call)
        : m_call(std::move(call))
    { }

    void onHead(int status, gsl::span<const HeaderField> /*headers*/) override
    {
        m_call->status = status;
    }
    void onData(std::string_view bytes) override { m_call->body.append(bytes); }
    void onComplete() override { m_call->complete = m_call->ended = true; }
    void onFailure(SendStage /*stage*/, Error /*error*/) override { m_call->ended = true; }

private:
    std::shared_ptr<Call> m_call;
};

std::string eventText(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

std::string wholeStream(const std::string &id)
{
    std::string text;
    for (int i = 1; i <= Events; ++i) {
        text += eventText(id, i);
    }
    return text;
}

class Soak
{
public:
    explicit Soak(std::uint64_t seed)
        : m_random(seed)
        , m_store(m_io, m_metrics)
        , m_callers(makeEndpointClient(m_io, m_clock, m_metrics))
    {
        std::string pattern = "/tmp/marigoldspool-soak-XXXXXX";
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        m_directory = pattern;
        configure();
        for (const char *service : {"app", "app", "llm", "llm"}) {
            addReplica(service);
        }
        for (int i = 0; i < Nodes; ++i) {
            addNode(i);
        }
    }

    ~Soak()
    {
        for (Node &node : m_nodes) {
            node.process->kill();
        }
    }

    void run()
    {
        REQUIRE(pump(20s, [this] {
            return servesEverywhere();
        }));
        const SteadyTime end = m_clock.now() + FaultTime;
        SteadyTime nextFault = m_clock.now();
        while (m_clock.now() < end) {
            if (m_clock.now() >= nextFault) {
                injectFault();
                nextFault = m_clock.now() + std::chrono::milliseconds(m_random() % 500 + 150);
            }
            sendRequest();
            pump(RequestInterval, [] {
                return false;
            });
            endFaults();
        }
        healAll();
        const bool recovered = pump(RecoverTime, [this] {
            return servesEverywhere();
        });
        CHECK_MESSAGE(recovered, "not served everywhere after the faults; logs in ", m_directory);
        // Guards against instances that stay in the list after a stop, or are not listed again.
        CHECK_MESSAGE(pump(RecoverTime,
                           [this] {
                               return areAllListedAsServing();
                           }),
                      "the list of instances is wrong after the faults; logs in ", m_directory);
        pump(7s, [this] {
            return std::all_of(m_calls.begin(), m_calls.end(), [](const auto &it) {
                return it.second->ended;
            });
        });
        checkCalls();
    }

private:
    struct Replica {
        std::string service;
        std::unique_ptr<StandinReplica> standin;
        std::unique_ptr<LoopbackProxy> proxy;
    };

    struct Node {
        std::string settings;
        std::string callerAddress;
        std::unique_ptr<LoopbackProxy> storeProxy;
        std::unique_ptr<Process> process;
    };

    struct Ending {
        SteadyTime at;
        std::function<void()> end;
    };

    bool areAllListedAsServing() const
    {
        const auto objects = m_store.copy().objects;
        const auto members = objects.find("instances");
        return members != objects.end() && members->second.size() == m_nodes.size()
            && std::none_of(members->second.begin(), members->second.end(), [](const auto &it) {
                   return json::parse(it.second.spec).contains("state");
               });
    }

    // Runs the event loop until the condition holds or the time has passed.
    bool pump(Duration time, const std::function<bool()> &condition)
    {
        const SteadyTime end = m_clock.now() + time;
        while (!condition()) {
            if (m_clock.now() >= end) {
                return false;
            }
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    void configure()
    {
        const auto route = [](const char *name, const char *kind, const char *service,
                              bool resumes) {
            return json{{"name", name},
                        {"host", "h"},
                        {"prefix", std::string("/") + name + "/"},
                        {"kind", kind},
                        {"service", service},
                        {"attempts", 2},
                        {"timeoutMs", 4000},
                        {"goalMs", 500},
                        {"resumable", resumes}};
        };
        const json engine = {{"slots", 8},
                             {"weightsMb", 100},
                             {"adapterSlots", 2},
                             {"loadsPerS", 5},
                             {"models",
                              {{{"name", "m"}, {"weightsMb", 60}, {"loadS", 0.05}},
                               {{"name", "n"}, {"weightsMb", 60}, {"loadS", 0.05}}}}};
        json routes = {route("again", "idempotent", "app", false),
                       route("once", "non_idempotent", "app", false),
                       route("llm", "stream", "llm", true)};
        for (int i = 0; i < m_addedRoutes; ++i) {
            routes.push_back(route(("added" + std::to_string(i)).c_str(), "stream", "llm", true));
        }
        m_store.put("config", "main",
                    {{"version", ++m_version},
                     {"routes", routes},
                     {"services", {{{"name", "app"}}, {{"name", "llm"}, {"engine", engine}}}},
                     {"tenants", {{{"name", "t"}, {"apiKeys", {"k1"}}}}}});
    }

    void addReplica(const std::string &service)
    {
        const std::string id = "i-" + std::to_string(m_replicas.size());
        auto replica = std::make_unique<Replica>();
        replica->service = service;
        replica->standin = std::make_unique<StandinReplica>(
            m_io, m_metrics, id,
            [this, it = replica.get()](const HttpRequest &request,
                                       const std::shared_ptr<ResponseSink> &sink) {
                serve(*it, request, sink);
            });
        if (service == "llm") {
            replica->standin->models = {m_replicas.size() % 2 == 0 ? "m" : "n"};
        }
        replica->proxy = std::make_unique<LoopbackProxy>(m_io, replica->standin->address());
        m_replicas.push_back(std::move(replica));
        list(*m_replicas.back(), "ready");
    }

    void list(const Replica &replica, const std::string &state)
    {
        json entry = replica.standin->entry(replica.service, state);
        entry["addr"] = replica.proxy->address();
        m_store.put("servers", replica.standin->id, entry);
    }

    void addNode(int number)
    {
        Node node;
        node.storeProxy = std::make_unique<LoopbackProxy>(m_io, m_store.address());
        const std::string name = "front-" + std::to_string(number);
        node.callerAddress = "127.0.0.1:" + std::to_string(takeFreePort());
        const std::string readinessAddress = "127.0.0.1:" + std::to_string(takeFreePort());
        const int firstInnerPort = takeFreePort({0, 1});
        const json settings = {
            {"node", name},
            {"zone", "z1"},
            {"ip", "127.0.0.1"},
            {"listen", {{"front", node.callerAddress}, {"ready", readinessAddress}}},
            {"portRange", {firstInnerPort, firstInnerPort + 1}},
            {"bounds",
             {{"leaseMs", 3000},
              {"retryRatio", 0.2},
              {"retryWindowS", 10},
              {"retrySlack", 500},
              {"quotaSlack", 17000},
              {"graceS", 8}}},
            {"limits", {{"cpuShare", 0.25}, {"linkMbps", 1000}}},
            {"provider", {{"addr", node.storeProxy->address()}}}};
        node.settings = m_directory + "/" + name + ".json";
        std::ofstream(node.settings) << settings.dump();
        m_nodes.push_back(std::move(node));
        start(m_nodes.back());
    }

    void start(Node &node)
    {
        // The process before may still run if the faults of a node overlapped.
        if (node.process) {
            node.process->kill();
        }
        node.process = std::make_unique<Process>(
            "marigoldspool-node", std::vector<std::string>{"--settings=" + node.settings},
            node.settings);
    }

    void serve(Replica &replica, const HttpRequest &request,
               const std::shared_ptr<ResponseSink> &sink)
    {
        const std::string id = *findHeader(request.headers, "X-Marigoldspool-Request-Id");
        const auto found = m_calls.find(id);
        CHECK_MESSAGE(found != m_calls.end(), "a request runs that no client sent: ", id);
        CHECK(findHeader(request.headers, "Authorization") == nullptr);
        const std::string *tenant = findHeader(request.headers, "X-Marigoldspool-Tenant");
        const bool hasTenant = tenant != nullptr && *tenant == "t";
        CHECK(hasTenant);
        const std::string *model = findHeader(request.headers, "X-Marigoldspool-Model");
        const auto &held = replica.standin->models;
        const bool lacks =
            model != nullptr && std::find(held.begin(), held.end(), *model) == held.end();
        const std::vector<HeaderField> notRun{{"X-Marigoldspool-Request-Id", id},
                                              {"X-Marigoldspool-Not-Run", "1"}};
        if (lacks || m_random() % 30 == 0 || found == m_calls.end()) {
            sink->head(lacks ? 421 : 503, notRun, false);
            sink->finish();
            return;
        }
        ++found->second->runs;
        const std::vector<HeaderField> headers{{"X-Marigoldspool-Request-Id", id},
                                               {"X-Marigoldspool-Replica-Seal", "seal"}};
        const bool breaksOff = m_random() % 25 == 0;
        const std::string *after = findHeader(request.headers, "Last-Event-Id");
        const int first = after == nullptr ? 1 : std::stoi(*after) + 1;
        const bool isStream = found->second->kind == CallKind::Stream;
        auto timer = std::make_shared<boost::asio::steady_timer>(
            m_io, std::chrono::milliseconds(m_random() % 40));
        timer->async_wait([=](const boost::system::error_code &) {
            (void)timer;
            sink->head(200, headers, isStream);
            for (int i = first; isStream && i <= Events; ++i) {
                if (breaksOff && i == Events / 2) {
                    sink->data("id: 9");
                    break;
                }
                sink->data(eventText(id, i));
            }
            if (breaksOff) {
                sink->abort();
                return;
            }
            if (!isStream) {
                sink->data("answer " + id);
            }
            sink->finish();
        });
    }

    std::shared_ptr<Call> send(const Node &node, CallKind kind, const std::string &model)
    {
        auto call = std::make_shared<Call>();
        call->kind = kind;
        EndpointCall request;
        request.id = RequestId("r" + std::to_string(m_calls.size()));
        m_calls.emplace(request.id.str(), call);
        request.address = node.callerAddress;
        request.method = "POST";
        request.target = kind == CallKind::Repeatable ? "/again/x"
            : kind == CallKind::Once                  ? "/once/x"
                                                      : "/llm/x";
        request.host = "h";
        request.timeout = 6s;
        request.idleTimeout = 6s;
        request.headers = {{"X-Marigoldspool-Request-Id", request.id.str()},
                           {"X-Marigoldspool-Deadline-Ms", "4000"},
                           {"Authorization", "Token k1"}};
        if (!model.empty()) {
            request.headers.push_back({"X-Marigoldspool-Model", model});
        }
        m_callers->call(std::move(request), std::make_shared<ClientHandler>(call));
        return call;
    }

    void sendRequest()
    {
        const auto kind = static_cast<CallKind>(m_random() % 3);
        const std::string model =
            kind == CallKind::Stream ? (m_random() % 4 == 0 ? "n" : "m") : std::string();
        send(m_nodes[m_random() % m_nodes.size()], kind, model);
    }

    // A probe of each kind at each node; holds once all of the last round were served.
    bool servesEverywhere()
    {
        const bool hasEnded = std::all_of(m_probes.begin(), m_probes.end(), [](const auto &it) {
            return it->ended;
        });
        if (!hasEnded) {
            return false;
        }
        const bool isServed =
            !m_probes.empty() && std::all_of(m_probes.begin(), m_probes.end(), [](const auto &it) {
                return it->complete && it->status == 200;
            });
        m_probes.clear();
        if (isServed) {
            return true;
        }
        for (const Node &node : m_nodes) {
            m_probes.push_back(send(node, CallKind::Repeatable, {}));
            m_probes.push_back(send(node, CallKind::Stream, "m"));
        }
        return false;
    }

    void later(std::function<void()> end)
    {
        const auto time = std::chrono::milliseconds(m_random() % 1700 + 200);
        m_endings.push_back({m_clock.now() + time, std::move(end)});
    }

    void endFaults()
    {
        for (auto it = m_endings.begin(); it != m_endings.end();) {
            if (it->at > m_clock.now()) {
                ++it;
                continue;
            }
            const auto end = std::move(it->end);
            it = m_endings.erase(it);
            end();
        }
    }

    void harm(LoopbackProxy &proxy)
    {
        constexpr Fault Faults[] = {Fault::Delay, Fault::Silence, Fault::CutToTarget,
                                    Fault::CutFromTarget, Fault::Refuse};
        proxy.setFault(Faults[m_random() % std::size(Faults)]);
        later([&proxy] {
            proxy.setFault(Fault::None);
        });
    }

    void injectFault()
    {
        const std::size_t number = m_random() % m_nodes.size();
        Node &node = m_nodes[number];
        Replica &replica = *m_replicas[m_random() % m_replicas.size()];
        const auto fault = m_random() % 12;
        std::ofstream(m_directory + "/faults.log", std::ios::app)
            << toMilliseconds(m_clock.wallNow().time_since_epoch()) << " fault " << fault
            << " node " << number << " replica " << replica.standin->id << '\n';
        switch (fault) {
        case 0:
            node.process->kill();
            later([this, &node] {
                start(node);
            });
            break;
        case 1:
            node.process->signal(SIGSTOP);
            later([&node] {
                node.process->signal(SIGCONT);
            });
            break;
        case 2:
            // A planned stop in the middle of requests; the process ends by itself.
            node.process->signal(SIGTERM);
            m_endings.push_back({m_clock.now() + StopTime, [this, &node] {
                                     start(node);
                                 }});
            break;
        case 3:
            node.process->signal(SIGHUP);
            break;
        case 4:
            harm(*node.storeProxy);
            break;
        case 5:
            harm(*replica.proxy);
            break;
        case 6:
            node.storeProxy->resetConnections();
            replica.proxy->resetConnections();
            break;
        case 7:
            m_store.refuseCalls = true;
            later([this] {
                m_store.refuseCalls = false;
            });
            break;
        case 8:
            m_store.dropHistory();
            configure();
            break;
        case 9:
            m_store.answersToLose = 2;
            break;
        case 10:
            list(replica, "draining");
            later([this, &replica] {
                list(replica, "ready");
            });
            break;
        case 11:
            // Takes longer than the timeout of a call.
            m_addedRoutes = LargeConfigurationRoutes;
            node.storeProxy->setRate(SlowLinkBytesPerSecond);
            configure();
            later([this, &node] {
                node.storeProxy->setRate(0);
                m_addedRoutes = 0;
                configure();
            });
            break;
        }
    }

    void healAll()
    {
        for (Ending &ending : m_endings) {
            ending.end();
        }
        m_endings.clear();
        for (const Node &node : m_nodes) {
            node.process->signal(SIGCONT);
        }
        m_store.answersToLose = 0;
    }

    void checkCalls()
    {
        for (const auto &entry : m_calls) {
            const std::string &id = entry.first;
            const std::shared_ptr<Call> &call = entry.second;
            CAPTURE(id);
            CAPTURE(call->status);
            CAPTURE(m_directory);
            CHECK(call->ended);
            if (call->kind == CallKind::Once) {
                CHECK(call->runs <= 1);
                const bool saysNotRun = call->status == 503 || call->status == 429;
                const bool isTrue = !saysNotRun || call->runs == 0;
                CHECK(isTrue);
            }
            if (call->complete && call->status == 200) {
                CHECK(call->body
                      == (call->kind == CallKind::Stream ? wholeStream(id) : "answer " + id));
            }
        }
        for (const auto &replica : m_replicas) {
            CHECK(replica->standin->maxModels <= 1);
        }
    }

    boost::asio::io_context m_io;
    Metrics m_metrics;
    SystemClock m_clock;
    std::mt19937_64 m_random;
    StandinStore m_store;
    std::unique_ptr<EndpointClient> m_callers;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<Node> m_nodes;
    std::map<std::string, std::shared_ptr<Call>> m_calls;
    std::vector<std::shared_ptr<Call>> m_probes;
    std::vector<Ending> m_endings;
    std::string m_directory;
    int m_version = 0;
    int m_addedRoutes = 0;
};

std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

} // namespace

// More seeds: MARIGOLDSPOOL_SOAK_SEEDS=50 MARIGOLDSPOOL_SOAK_FIRST=1 build/SystemTests -tc="fleet
// soak*"
TEST_CASE("fleet soak: promises to callers and replicas hold under faults from outside")
{
    const std::uint64_t count = fromEnvironment("MARIGOLDSPOOL_SOAK_SEEDS", SeedsInTests);
    const std::uint64_t first = fromEnvironment("MARIGOLDSPOOL_SOAK_FIRST", FirstSeed);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        Soak(seed).run();
        MESSAGE("seed ", seed, " played");
    }
}
