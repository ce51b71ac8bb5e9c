#include "Deployment.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <fcntl.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/marigoldspool-node";
constexpr const char *SettingsVariable = "MARIGOLDSPOOL_NODE_FILE";
constexpr Milliseconds StartLimit(20'000);
constexpr Milliseconds PollInterval(20);

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// The bounds and limits of coros-pamplona, as a process gets them.
Json settingsFor(const std::string &name, const std::string &zone)
{
    return {{"node", name},
            {"role", "node"},
            {"class", "front"},
            {"serves", {"front"}},
            {"ip", "127.0.0.1"},
            {"zone", zone},
            {"region", "navarra"},
            {"bootstrap", true},
            {"beatMs", 1200},
            {"limits",
             {{"cpuShare", 0.25},
              {"cores", 1},
              {"ramMb", 260},
              {"maxFds", 4100},
              {"linkMbps", 1000.0},
              {"diskMb", 0}}},
            {"tolerate", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
            {"bounds", {{"reuseS", 2},          {"contactMs", 3000},      {"drainMs", 2000},
                        {"graceS", 8},          {"lossSlackMs", 200},     {"configMs", 2000},
                        {"retryRatio", 0.2},    {"retryWindowS", 10},     {"retrySlack", 56},
                        {"quotaWindowS", 8},    {"quotaTolerance", 0.1},  {"quotaSlack", 17'000},
                        {"coldTolerance", 1.5}, {"coldSlack", 5},         {"evacMs", 5000},
                        {"recoverS", 12},       {"passMs", 120},          {"fencing", false},
                        {"leaseMs", 3000},      {"thawMs", 300},          {"rateWindowS", 5},
                        {"loadTolerance", 1.1}, {"rollbackSlackMs", 250}, {"maxSkewMs", 5000}}}};
}

} // namespace

Record::Record(const std::string &path)
    : m_file(path)
    , m_start(Clock::now())
{
    if (!m_file) {
        throw CaseError("cannot write " + path);
    }
}

double Record::seconds(Clock::time_point at) const
{
    return std::chrono::duration<double>(at - m_start).count();
}

void Record::add(std::string_view event, const Headers &fields)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << now() << ' ' << event;
    for (const auto &[name, value] : fields) {
        m_file << ' ' << name << '=' << value;
    }
    m_file << std::endl;
}

Node::Node(std::string name, const std::string &zone, int storePort, const std::string &directory)
    : m_name(std::move(name))
    , m_frontPort(freePort())
    , m_innerPort(freePort())
    , m_settingsPath(directory + '/' + m_name + ".json")
{
    Json settings = settingsFor(m_name, zone);
    settings["listen"] = {{"front", address(m_frontPort)}, {"ready", address(m_frontPort + 1)}};
    settings["portRange"] = {m_innerPort, m_innerPort + 1};
    settings["provider"] = {{"addr", address(storePort)}, {"form", "objects"}};
    std::ofstream(m_settingsPath) << settings.dump(1);
}

Node::~Node()
{
    kill();
}

void Node::start()
{
    const std::string log = m_settingsPath + ".log";
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid < 0) {
        throw CaseError("cannot start a process");
    }
    if (m_pid > 0) {
        return;
    }
    // The process ends with this one, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(1);
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::setenv(SettingsVariable, m_settingsPath.c_str(), 1);
    ::execl(Program, Program, static_cast<char *>(nullptr));
    ::_exit(127);
}

void Node::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Node::kill()
{
    signal(SIGKILL);
    if (m_pid > 0) {
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool Node::isReady() const
{
    Request request;
    request.method = "GET";
    request.target = "/v1/ready";
    request.headers = {{"Host", "ready"}, {"Connection", "close"}};
    return callServer(m_frontPort + 1, request, Milliseconds(500)).status == 200;
}

Deployment::Deployment(Record &record, const std::vector<std::string> &zones)
    : m_record(record)
{
    std::string pattern = "/tmp/marigoldspool-review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw CaseError("cannot make a temporary folder");
    }
    m_directory = pattern;
    if (::access(Program, X_OK) != 0) {
        throw CaseError(std::string(Program) + " is missing");
    }
    const int storePort = freePort();
    m_store = std::make_unique<Store>(storePort);
    int number = 0;
    for (const std::string &zone : zones) {
        const std::string name = "front-" + zone + '-' + std::to_string(++number);
        m_nodes.push_back(std::make_unique<Node>(name, zone, storePort, m_directory));
    }
}

Deployment::~Deployment()
{
    m_nodes.clear();
    m_store.reset();
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cerr << "logs in " << m_directory << '\n';
        return;
    }
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

void Deployment::start(const Json &configuration)
{
    m_store->put("config", "main", configuration);
    for (const auto &node : m_nodes) {
        node->start();
        m_record.add("node_started", {{"node", node->name()}});
    }
    waitUntilReady(StartLimit);
}

void Deployment::waitUntilReady(Milliseconds limit)
{
    const auto deadline = Clock::now() + limit;
    for (const auto &node : m_nodes) {
        while (!node->isReady()) {
            if (Clock::now() > deadline) {
                throw CaseError(node->name() + " is not ready in time");
            }
            sleepFor(PollInterval);
        }
        m_record.add("node_ready", {{"node", node->name()}});
    }
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

int runCase(int argc, char **argv, const std::function<bool(Record &record)> &run)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    try {
        Record record(folder + "/record.txt");
        record.add("case", {{"trouble", hasTrouble() ? "1" : "0"}});
        const bool isBroken = run(record);
        record.add("verdict", {{"rule", isBroken ? "broken" : "held"}});
        std::cout << (isBroken ? "the rule was broken" : "the rule held") << std::endl;
        return isBroken ? 1 : 0;
    } catch (const std::exception &error) {
        std::cout << "the case could not run: " << error.what() << std::endl;
        return 2;
    }
}

} // namespace review
