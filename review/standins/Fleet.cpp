#include "Fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace marigoldspool::review {

namespace {

// The command of the deploy file, which starts in the repository's root.
const std::string Program = "target/marigoldspool-node";
const std::string Network = "127.77.";
constexpr int MaxMachines = 12;
constexpr int MaxOutside = 12;
constexpr int RangeSize = 16;

std::string machineIp(std::size_t number)
{
    return Network + "1." + std::to_string(10 + number);
}

bool isFreeEverywhere(int port)
{
    for (int n = 0; n < MaxMachines; ++n) {
        if (!isFree({machineIp(static_cast<std::size_t>(n)), port})) {
            return false;
        }
    }
    for (int n = 0; n < MaxOutside; ++n) {
        if (!isFree({Fleet::outsideIp(n), port})) {
            return false;
        }
    }
    return true;
}

// Below the ports that the system gives to outgoing connections.
FleetPorts findPorts()
{
    constexpr int First = 9000;
    constexpr int Last = 29'000;
    constexpr int Needed = RangeSize + 4;
    const int offset = static_cast<int>(::getpid()) * 97 % (Last - First);
    for (int tries = 0; tries < Last - First; tries += Needed) {
        const int begin = First + (offset + tries) % (Last - First);
        bool isUsable = true;
        for (int port = begin; port < begin + Needed && isUsable; ++port) {
            isUsable = isFreeEverywhere(port);
        }
        if (isUsable) {
            return {begin + RangeSize, begin + RangeSize + 1, begin, begin + RangeSize + 2,
                    begin + RangeSize + 3};
        }
    }
    throw std::runtime_error("no free ports");
}

} // namespace

std::string Fleet::outsideIp(int number)
{
    return Network + "2." + std::to_string(10 + number);
}

Fleet::Fleet(Record &record, std::string folder)
    : m_record(record)
    , m_folder(std::move(folder))
    , m_ports(findPorts())
{ }

Fleet::~Fleet()
{
    for (const std::string &name : names()) {
        kill(name);
    }
}

void Fleet::add(const std::string &name, const std::string &zone)
{
    const std::string ip = machineIp(m_nodes.size());
    m_nodes[name] = {zone, ip, -1, TimePoint(), std::nullopt};
}

// The settings of the pages, with the figures of the sheet of Derwent Press.
void Fleet::writeSettings(const std::string &name, bool isFirst) const
{
    const Node &node = m_nodes.at(name);
    const auto at = [&node](int port) {
        return node.ip + ':' + std::to_string(port);
    };
    Json zones = Json::object();
    for (const auto &[other, it] : m_nodes) {
        zones[it.zone] = "tas-south";
    }
    const Json settings = {
        {"node", name},
        {"role", "node"},
        {"class", "front"},
        {"serves", {"front"}},
        {"ip", node.ip},
        {"zone", node.zone},
        {"region", "tas-south"},
        {"zones", zones},
        {"listen", {{"front", at(m_ports.callers)}, {"ready", at(m_ports.readiness)}}},
        {"portRange", {m_ports.range, m_ports.range + RangeSize - 1}},
        {"seeds", Json::array()},
        {"bootstrap", isFirst},
        {"inTolerance", false},
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
        {"beatMs", 1200},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
          "tenants", "quota", "places", "platform"}},
        {"tolerate", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"bounds", {{"seedLagS", 3},        {"reuseS", 2},
                    {"contactMs", 3000},    {"ackMs", 4000},
                    {"catchupS", 4},        {"drainMs", 2000},
                    {"graceS", 8},          {"lossSlackMs", 200},
                    {"configMs", 2000},     {"rollbackSlackMs", 250},
                    {"maxSkewMs", 5000},    {"strictRevoke", false},
                    {"revokeMs", 5000},     {"retryRatio", 0.2},
                    {"retryWindowS", 10},   {"retrySlack", 52},
                    {"quotaWindowS", 8},    {"quotaTolerance", 0.1},
                    {"quotaSlack", 17'000}, {"coldTolerance", 1.5},
                    {"coldSlack", 5},       {"evacMs", 5000},
                    {"recoverS", 12},       {"passMs", 120},
                    {"retryAfterS", 0},     {"fencing", false},
                    {"leaseMs", 3000},      {"thawMs", 300},
                    {"rateWindowS", 5},     {"loadTolerance", 1.1}}},
        {"provider",
         {{"addr", Address{outsideIp(0), m_ports.store}.text()},
          {"form", "objects"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1'048'576},
          {"ttlMinMs", 1000}}}};
    std::ofstream(m_folder + '/' + name + ".json") << settings.dump(2);
}

void Fleet::start(const std::string &name)
{
    Node &node = m_nodes.at(name);
    writeSettings(name, m_startedOnce.insert(name).second);
    std::vector<std::string> variables{"MARIGOLDSPOOL_NODE_FILE=" + m_folder + '/' + name
                                       + ".json"};
    for (const char *variable : {"PATH", "HOME", "LANG"}) {
        if (const char *value = std::getenv(variable)) {
            variables.push_back(std::string(variable) + '=' + value);
        }
    }
    std::vector<char *> environment;
    environment.reserve(variables.size() + 1);
    for (std::string &variable : variables) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    std::string program = Program;
    std::vector<char *> arguments{program.data(), nullptr};
    const std::string log = m_folder + '/' + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failure = posix_spawn(&node.process, program.c_str(), &actions, nullptr,
                                    arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        node.process = -1;
        throw std::runtime_error("cannot start " + Program + "; build it first");
    }
    node.startedAt = Steady::now();
    m_record.note("start " + name);
}

void Fleet::startAll()
{
    for (const std::string &name : names()) {
        start(name);
    }
}

void Fleet::kill(const std::string &name)
{
    Node &node = m_nodes.at(name);
    if (node.process > 0) {
        ::kill(node.process, SIGKILL);
        int status = 0;
        ::waitpid(node.process, &status, 0);
        node.process = -1;
        m_record.note("SIGKILL " + name);
    }
}

void Fleet::stop(const std::string &name)
{
    constexpr std::chrono::seconds GracePeriod(8);
    Node &node = m_nodes.at(name);
    if (node.process > 0) {
        m_record.note("SIGTERM " + name);
        ::kill(node.process, SIGTERM);
        node.killAt = Steady::now() + GracePeriod;
    }
}

bool Fleet::hasEnded(const std::string &name)
{
    Node &node = m_nodes.at(name);
    int status = 0;
    if (node.process > 0 && ::waitpid(node.process, &status, WNOHANG) == node.process) {
        node.process = -1;
    }
    if (node.killAt && Steady::now() >= *node.killAt) {
        kill(name);
    }
    return node.process < 0;
}

void Fleet::restartStopped()
{
    for (auto &[name, node] : m_nodes) {
        if (node.killAt && hasEnded(name)) {
            node.killAt.reset();
            start(name);
        }
    }
}

bool Fleet::isReady(const std::string &name) const
{
    const TimePoint until = Steady::now() + Milliseconds(500);
    const auto connection = Connection::open({m_nodes.at(name).ip, m_ports.readiness}, until);
    Head head;
    return connection && connection->write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        && connection->readHead(head, until) && head.word(1) == "200";
}

bool Fleet::waitReady(TimePoint until) const
{
    const std::vector<std::string> all = names();
    while (Steady::now() < until) {
        if (std::all_of(all.begin(), all.end(), [this](const std::string &name) {
                return isReady(name);
            })) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

Address Fleet::callers(const std::string &name) const
{
    return {m_nodes.at(name).ip, m_ports.callers};
}

std::vector<std::string> Fleet::names() const
{
    std::vector<std::string> result;
    for (const auto &[name, node] : m_nodes) {
        result.push_back(name);
    }
    return result;
}

Clients::Clients(Record &record, Fleet &fleet)
    : m_record(record)
    , m_fleet(fleet)
{ }

Clients::~Clients()
{
    finish();
}

std::string Clients::send(const std::string &node, const Request &request)
{
    std::string id = request.kind + '-' + std::to_string(++m_count);
    const Address address = m_fleet.callers(node);
    m_record.addSent(id, node, request.kind);
    m_threads.emplace_back([this, id, address, request] {
        call(id, address, request);
    });
    return id;
}

void Clients::call(const std::string &id, const Address &address, const Request &request)
{
    const TimePoint until = Steady::now() + request.deadline;
    std::string out = request.method + ' ' + request.path + " HTTP/1.1\r\nHost: " + request.host
        + "\r\nX-Marigoldspool-Request-Id: " + id
        + "\r\nX-Marigoldspool-Deadline-Ms: " + std::to_string(request.deadline.count())
        + "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
    const auto add = [&out](const std::string &name, const std::string &value) {
        if (!value.empty()) {
            out.append(name).append(": ").append(value).append("\r\n");
        }
    };
    add("Authorization", request.key.empty() ? "" : "Token " + request.key);
    add("X-Marigoldspool-Model", request.model);
    add("X-Marigoldspool-Prefix-Hash", request.prefix);
    add("X-Marigoldspool-Token-Count", request.tokens);
    const auto connection = Connection::open(address, until);
    Head head;
    std::string body;
    if (!connection || !connection->write(out + "\r\n" + request.body)
        || !connection->readHead(head, until)) {
        m_record.addAnswer(id, 0, false);
        return;
    }
    const bool isWhole = connection->readBody(head, body, until);
    m_record.addAnswer(id, std::atoi(head.word(1).c_str()), isWhole);
}

void Clients::finish()
{
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

TemporaryFolder::TemporaryFolder()
    : m_path((std::filesystem::temp_directory_path() / "marigoldspool-review-XXXXXX").string())
{
    if (::mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error("cannot create " + m_path);
    }
}

TemporaryFolder::~TemporaryFolder()
{
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cout << "logs: " << m_path << std::endl;
        return;
    }
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

int runScenario(const std::function<Verdict()> &scenario)
{
    try {
        return static_cast<int>(scenario());
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << std::endl;
        return static_cast<int>(Verdict::NotRun);
    }
}

} // namespace marigoldspool::review
