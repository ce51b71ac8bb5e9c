#include "Deployment.h"

#include "Replica.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace marigoldspool::review3 {

namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds BeatInterval(1200);
constexpr int MissedBeats = 3;

std::string ownProgram()
{
    return std::filesystem::read_symlink("/proc/self/exe").string();
}

std::string makeWorkFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    return name;
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Json bounds()
{
    return {{"seedLagS", 3},        {"reuseS", 2},           {"contactMs", 3000},
            {"ackMs", 4000},        {"catchupS", 4},         {"drainMs", 2000},
            {"graceS", 8},          {"lossSlackMs", 200},    {"configMs", 2000},
            {"maxSkewMs", 5000},    {"strictRevoke", false}, {"revokeMs", 5000},
            {"retryRatio", 0.2},    {"retryWindowS", 10},    {"retrySlack", 52},
            {"quotaWindowS", 8},    {"quotaTolerance", 0.1}, {"quotaSlack", 17000},
            {"coldTolerance", 1.5}, {"coldSlack", 5},        {"evacMs", 5000},
            {"recoverS", 12},       {"passMs", 120},         {"retryAfterS", 0},
            {"fencing", false},     {"leaseMs", 3000},       {"thawMs", 300},
            {"rateWindowS", 5},     {"loadTolerance", 1.1},  {"rollbackSlackMs", 250}};
}

std::vector<std::string> linesOf(const std::string &path)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

Child::Child(const std::vector<std::string> &arguments, const std::vector<std::string> &environment,
             const std::string &logPath)
{
    std::vector<char *> argv;
    std::vector<char *> envp;
    argv.reserve(arguments.size() + 1);
    envp.reserve(environment.size() + 1);
    for (const std::string &it : arguments) {
        argv.push_back(const_cast<char *>(it.c_str()));
    }
    for (const std::string &it : environment) {
        envp.push_back(const_cast<char *>(it.c_str()));
    }
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    const int log = ::open(logPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() == parent) {
            ::execve(argv[0], argv.data(), envp.data());
        }
        ::_exit(127);
    }
    ::close(log);
    if (m_pid < 0) {
        throw std::runtime_error("cannot start " + arguments.front());
    }
}

Child::Child(Child &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{ }

Child &Child::operator=(Child &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, -1);
    }
    return *this;
}

Child::~Child()
{
    kill();
}

void Child::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Child::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool Child::hasEnded(int &status)
{
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        return true;
    }
    return false;
}

Deployment::Deployment(const std::string &caseFolder)
    : m_folder(caseFolder)
    , m_work(makeWorkFolder())
    , m_record(caseFolder + "/record.txt")
    , m_start(Clock::now())
    , m_beats([this] {
        beat();
    })
{ }

Deployment::~Deployment()
{
    m_isClosing = true;
    m_beats.join();
    for (auto &[name, instance] : m_instances) {
        instance.child.kill();
    }
    for (auto &[id, replica] : m_replicas) {
        replica.child.kill();
    }
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cerr << "logs: " << m_work << '\n';
        return;
    }
    std::error_code ec;
    std::filesystem::remove_all(m_work, ec);
}

void Deployment::record(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_recordMutex);
    const auto at = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start);
    m_record << at.count() << " ms  " << line << std::endl;
}

void Deployment::configure(const Json &configuration)
{
    m_store.put("config", "main", configuration);
    record("configuration version " + configuration["version"].dump() + " is acknowledged");
}

void Deployment::startReplica(Replica &replica)
{
    replica.born = std::max(unixMilliseconds(), replica.born + 1);
    replica.alive = true;
    const Json settings = {{"id", replica.settings.id},   {"address", replica.address},
                           {"born", replica.born},        {"models", replica.settings.models},
                           {"log", m_work + "/replicas"}, {"framing", replica.settings.framing}};
    replica.child =
        Child({ownProgram(), "--replica", settings.dump()}, {}, m_work + "/replica-errors");
    const auto end = Clock::now() + Milliseconds(5000);
    while (!Connection::to(replica.address, Milliseconds(200)).isValid()) {
        if (Clock::now() > end) {
            throw std::runtime_error("replica " + replica.settings.id + " does not listen");
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
    Json models = Json::array();
    for (const std::string &model : replica.settings.models) {
        models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    }
    replica.entry = {{"service", replica.settings.service},
                     {"addr", replica.address},
                     {"zone", replica.settings.zone},
                     {"version", replica.settings.version},
                     {"slots", replica.settings.slots},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"stage", "mixed"},
                     {"models", models},
                     {"seq", 1},
                     {"born", replica.born}};
    m_store.put("servers", replica.settings.id, replica.entry);
}

void Deployment::addReplica(const ReplicaSettings &settings)
{
    const std::lock_guard<std::mutex> lock(m_replicaMutex);
    Replica &replica = m_replicas[settings.id];
    replica.settings = settings;
    replica.address = "127.0.0.1:" + std::to_string(freePort());
    startReplica(replica);
    record("replica " + settings.id + " of " + settings.service + " in " + settings.zone + " at "
           + replica.address);
}

void Deployment::beat()
{
    auto next = Clock::now();
    while (!m_isClosing) {
        std::this_thread::sleep_for(Milliseconds(20));
        if (Clock::now() < next) {
            continue;
        }
        next += BeatInterval;
        const std::lock_guard<std::mutex> lock(m_replicaMutex);
        for (auto &[id, replica] : m_replicas) {
            if (replica.alive) {
                replica.entry["seq"] = replica.entry["seq"].get<int>() + 1;
                m_store.put("servers", id, replica.entry);
            } else if (Clock::now() - replica.silentSince >= BeatInterval * MissedBeats) {
                m_store.erase("servers", id);
            }
        }
    }
}

void Deployment::killReplica(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(m_replicaMutex);
    Replica &replica = m_replicas.at(id);
    replica.child.kill();
    replica.alive = false;
    replica.silentSince = Clock::now();
    record("replica " + id + " is killed");
}

void Deployment::restartReplica(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(m_replicaMutex);
    Replica &replica = m_replicas.at(id);
    replica.child.kill();
    startReplica(replica);
    record("replica " + id + " has started again");
}

void Deployment::removeEntry(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(m_replicaMutex);
    m_replicas.at(id).alive = false;
    m_store.erase("servers", id);
    record("the entry of replica " + id + " is removed");
}

void Deployment::controlReplica(const std::string &id, const Json &change)
{
    std::string address;
    {
        const std::lock_guard<std::mutex> lock(m_replicaMutex);
        address = m_replicas.at(id).address;
    }
    Connection connection = Connection::to(address, Milliseconds(500));
    const std::string body = change.dump();
    if (!connection.isValid()
        || !connection.send("POST /standin/control HTTP/1.1\r\nHost: " + address
                            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                            + body)
        || readAnswer(connection, Milliseconds(1000)).status != 200) {
        throw std::runtime_error("replica " + id + " cannot be told " + body);
    }
    record("replica " + id + " says of itself: " + body);
}

void Deployment::changeEntry(const std::string &id, const Json &change)
{
    const std::lock_guard<std::mutex> lock(m_replicaMutex);
    Replica &replica = m_replicas.at(id);
    replica.entry.update(change);
    m_store.put("servers", id, replica.entry);
    record("replica " + id + " reports to the store: " + change.dump());
}

void Deployment::addInstance(const std::string &name, const std::string &zone)
{
    Instance &instance = m_instances[name];
    instance.zone = zone;
    // Peers, metrics, callers, readiness.
    constexpr int PortCount = 4;
    instance.firstPort = freePort(PortCount);
    instance.front = "127.0.0.1:" + std::to_string(instance.firstPort + 2);
    instance.ready = "127.0.0.1:" + std::to_string(instance.firstPort + 3);
    startInstance(name);
}

void Deployment::startInstance(const std::string &name)
{
    Instance &instance = m_instances.at(name);
    const Json settings = {
        {"node", name},
        {"role", "node"},
        {"class", "front"},
        {"serves", {"front"}},
        {"ip", "127.0.0.1"},
        {"zone", instance.zone},
        {"region", "tas-south"},
        {"zones", {{"z1", "tas-south"}, {"z2", "tas-south"}, {"z3", "tas-south"}}},
        {"listen", {{"front", instance.front}, {"ready", instance.ready}}},
        {"portRange", {instance.firstPort, instance.firstPort + 1}},
        {"seeds", Json::array()},
        {"bootstrap", true},
        {"limits",
         {{"cpuShare", 0.25},
          {"cores", 1},
          {"ramMb", 260},
          {"maxFds", 4200},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDir", nullptr},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"beatMs", BeatInterval.count()},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
          "tenants", "quota", "places", "platform"}},
        {"tolerate", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"bounds", bounds()},
        {"provider",
         {{"addr", m_store.address()},
          {"form", "objects"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1'048'576},
          {"ttlMinMs", 1000}}}};
    const std::string path = m_work + '/' + name + ".json";
    std::ofstream(path) << settings.dump(2);
    // The start command of the deploy file.
    instance.child = Child({"target/marigoldspool-node"},
                           {"MARIGOLDSPOOL_NODE_FILE=" + path, "PATH=/usr/bin:/bin", "LANG=C"},
                           m_work + '/' + name + ".log");
    record("instance " + name + " starts");
}

void Deployment::waitUntilReady(const std::string &name)
{
    const auto end = Clock::now() + Milliseconds(20'000);
    CallerRequest request;
    request.method = "GET";
    request.target = "/v1/ready";
    request.deadlineMs = 500;
    while (callOnce(m_instances.at(name).ready, request).status != 200) {
        if (Clock::now() > end) {
            throw std::runtime_error("instance " + name + " is not ready");
        }
        std::this_thread::sleep_for(Milliseconds(20));
    }
    record("instance " + name + " is ready");
}

void Deployment::waitUntilReady()
{
    for (const auto &[name, instance] : m_instances) {
        waitUntilReady(name);
    }
}

std::string Deployment::front(const std::string &name) const
{
    return m_instances.at(name).front;
}

std::string Deployment::metrics(const std::string &name) const
{
    return "127.0.0.1:" + std::to_string(m_instances.at(name).firstPort + 1);
}

void Deployment::signalInstance(const std::string &name, int number)
{
    m_instances.at(name).child.signal(number);
    record("instance " + name + " gets signal " + std::to_string(number));
}

void Deployment::killInstance(const std::string &name)
{
    m_instances.at(name).child.kill();
    record("instance " + name + " is killed");
}

bool Deployment::hasInstanceEnded(const std::string &name, int &status)
{
    return m_instances.at(name).child.hasEnded(status);
}

std::vector<std::string> Deployment::replicaLines() const
{
    return linesOf(m_work + "/replicas");
}

std::vector<std::string> Deployment::instanceLines(const std::string &text) const
{
    std::vector<std::string> found;
    for (const auto &[name, instance] : m_instances) {
        for (const std::string &line : linesOf(m_work + '/' + name + ".log")) {
            if (line.find(text) != std::string::npos) {
                found.push_back(name);
                found.back().append(": ").append(line);
            }
        }
    }
    return found;
}

Json makeConfiguration(int version)
{
    Json models = Json::array();
    for (const char *name : {"m0", "m1", "m2"}) {
        models.push_back({{"name", name},
                          {"weightsMb", 65'000},
                          {"loadS", 1.0},
                          {"adapters", 2},
                          {"adapterMb", 12.0},
                          {"warmS", 0.5},
                          {"diskS", 1.0}});
    }
    const auto route = [](const char *name, const char *prefix, const char *kind,
                          const char *service, int timeoutMs, int attempts) {
        return Json{{"name", name},      {"host", "calls.example"}, {"prefix", prefix},
                    {"kind", kind},      {"timeoutMs", timeoutMs},  {"goalMs", 500},
                    {"priority", 0},     {"service", service},      {"attempts", attempts},
                    {"public", false},   {"sticky", false},         {"resumable", false},
                    {"gapTargetMs", 250}};
    };
    Json draft = route("draft", "/draft/", "stream", "llm", 25'000, 1);
    Json chat = route("chat", "/chat/", "stream", "llm", 12'000, 2);
    chat["resumable"] = true;
    return {{"version", version},
            {"routes",
             {draft, chat, route("confirm", "/confirm/", "non_idempotent", "app", 5000, 1),
              route("status", "/status/", "idempotent", "app", 5000, 2)}},
            {"services",
             {{{"name", "llm"},
               {"healthPath", "/health"},
               {"maxConns", 290},
               {"coldStartS", 0.0},
               {"coldPerS", 0.0},
               {"engine",
                {{"slots", 48},
                 {"kvTokens", 130'610},
                 {"weightsMb", 230'000},
                 {"adapterSlots", 8},
                 {"loadsPerS", 4.8},
                 {"models", models}}}},
              {{"name", "app"},
               {"healthPath", "/health"},
               {"maxConns", 96},
               {"coldStartS", 0.0},
               {"coldPerS", 0.0}}}},
            {"limits",
             {{"headerBytes", 16'384},
              {"bodyBytes", 1'048'576},
              {"headerTimeoutMs", 10'000},
              {"idleTimeoutMs", 30'000}}},
            {"tenants",
             {{{"name", "derwent"},
               {"apiKeys", {"key-1", "key-2"}},
               {"ratePerS", 0},
               {"burst", 0},
               {"unit", "tokens"},
               {"plainTokens", 100}}}}};
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

int runMain(int argc, char **argv, int (*runCase)(const std::string &folder))
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (argc == 3 && std::string(argv[1]) == "--replica") {
            return runReplica(argv[2]);
        }
        if (argc != 2) {
            std::cerr << "usage: " << argv[0] << " CASE_FOLDER\n";
            return ExitNotRun;
        }
        const int result = runCase(argv[1]);
        std::cout << (result == ExitHeld         ? "the rule held\n"
                          : result == ExitBroken ? "the rule was broken\n"
                                                 : "the case could not run\n");
        return result;
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return ExitNotRun;
    }
}

} // namespace marigoldspool::review3
