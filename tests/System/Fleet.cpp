#include "System/Fleet.h"

#include "System/Wait.h"
#include "marigoldspool/Support/Digest.h"
#include "support/FreePorts.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <doctest/doctest.h>

namespace marigoldspool::system_tests {

namespace {

// Generous, since other work may run on the machine.
constexpr Milliseconds StartLimit{30'000};
constexpr Milliseconds ControlLimit{5'000};
constexpr const char *AskedBy = "   # asked for by: the system tests\n";

} // namespace

Fleet::Fleet()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "marigoldspool-system-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create " + pattern);
    }
    m_directory = pattern;
    startStandin("platform", "platform-standin", {});
}

Fleet::~Fleet()
{
    m_processes.clear();
    for (const auto &entry : std::filesystem::directory_iterator(m_directory)) {
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line);) {
            const bool violated = line.find("invariant_violated") != std::string::npos;
            CHECK_MESSAGE(!violated, line);
        }
    }
    if (std::getenv("MARIGOLDSPOOL_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_directory);
    }
}

void Fleet::start(const std::string &name, const std::string &program,
                  std::vector<std::string> arguments)
{
    m_processes[name] =
        std::make_unique<Process>(program, std::move(arguments), m_directory + "/" + name);
}

std::string Fleet::startStandin(const std::string &name, const std::string &program,
                                std::vector<std::string> arguments)
{
    arguments.emplace_back("--listen=127.0.0.1:0");
    start(name, program, std::move(arguments));
    const std::string mark = "listening address=";
    std::string output;
    const bool listening = waitUntil(StartLimit, [&] {
        output = process(name).output();
        return output.rfind(mark, 0) == 0 && output.find('\n') != std::string::npos;
    });
    if (!listening) {
        throw std::runtime_error(program + " did not start");
    }
    return m_addresses[name] = output.substr(mark.size(), output.find('\n') - mark.size());
}

void Fleet::addEngine(const std::string &id, const std::string &zone, const std::string &rule,
                      std::vector<std::string> arguments)
{
    arguments.push_back("--endpoint=" + id);
    const std::string at = startStandin(id, "engine-standin", std::move(arguments));
    addRule("endpoint " + id + " zone=" + zone + " address=" + at + " kind=engine " + rule);
}

void Fleet::addService(const std::string &id, const std::string &zone, const std::string &rule,
                       std::vector<std::string> arguments)
{
    const std::string at = startStandin(id, "service-standin", std::move(arguments));
    addRule("endpoint " + id + " zone=" + zone + " address=" + at + " kind=service pool=bookings "
            + rule);
}

void Fleet::addRule(const std::string &line)
{
    m_rules += line + AskedBy;
}

void Fleet::changeRules(const std::string &from, const std::string &to)
{
    const std::size_t at = m_rules.find(from);
    if (at == std::string::npos) {
        throw std::runtime_error("the rules have no " + from);
    }
    m_rules.replace(at, from.size(), to);
}

bool Fleet::apply(const std::string &author)
{
    const bool accepted = publishText(m_rules, author).has_value();
    if (!accepted) {
        const std::ifstream file(m_directory + "/ctl-" + author + ".err");
        std::ostringstream text;
        text << file.rdbuf();
        MESSAGE(text.str());
    }
    return accepted;
}

std::optional<std::uint64_t> Fleet::publishText(const std::string &rules,
                                                const std::string &author) const
{
    const std::string path = m_directory + "/rules-" + author;
    std::ofstream(path) << rules;
    const std::string logPath = m_directory + "/ctl-" + author;
    std::filesystem::remove(logPath + ".out");
    Process command(
        "marigoldspoolctl",
        {"apply", path, "--platform=" + address("platform"), "--author=" + author, "--json"},
        logPath);
    if (command.waitForExit(StartLimit) != 0) {
        return std::nullopt;
    }
    return Json::parse(command.output()).at("version").get<std::uint64_t>();
}

void Fleet::addInstance(const std::string &id, const std::string &zone,
                        std::vector<std::string> arguments)
{
    m_instanceArguments[id] = std::move(arguments);
    // Callers are served there, other instances 1000 above.
    m_addresses[id] = "127.0.0.1:" + std::to_string(takeFreePort({0, 1000}));
    m_zones[id] = zone;
    m_platformStates[id] = "live";
    m_instances.push_back(id);
    startInstance(id);
    publishInstances();
}

void Fleet::startInstance(const std::string &id)
{
    std::vector<std::string> arguments{
        "--instance=" + id,        "--zone=" + m_zones.at(id),
        "--listen=" + address(id), "--platform=" + address("platform"),
        "--peer-secret=system",    "--drain-notice=1s"};
    const std::vector<std::string> &further = m_instanceArguments.at(id);
    arguments.insert(arguments.end(), further.begin(), further.end());
    start(id, "marigoldspoold", std::move(arguments));
    Call call;
    call.target = "/healthz";
    call.limit = Milliseconds(1000);
    if (!waitUntil(StartLimit, [&] {
            return callOnce(address(id), call).status == 200;
        })) {
        throw std::runtime_error(id + " did not start");
    }
}

void Fleet::setPlatformState(const std::string &id, const std::string &state)
{
    m_platformStates[id] = state;
    publishInstances();
}

void Fleet::publishInstances() const
{
    Json list = Json::array();
    for (const auto &[id, state] : m_platformStates) {
        const auto zone = m_zones.find(id);
        list.push_back({{"id", id},
                        {"zone", zone == m_zones.end() ? "zone-a" : zone->second},
                        {"address", address(id)},
                        {"state", state}});
    }
    post("platform", "PUT", "/instances", {{"instances", list}});
}

void Fleet::waitReady(const std::string &id) const
{
    if (!waitUntil(StartLimit, [&] {
            return isReady(id);
        })) {
        throw std::runtime_error(id + " did not become ready");
    }
}

void Fleet::waitReady(const Call &probe)
{
    for (const std::string &id : m_instances) {
        waitReady(id);
        const bool serves = waitUntil(StartLimit, [&] {
            return callOnce(address(id), probe).status == 200;
        });
        if (!serves) {
            throw std::runtime_error(id + " did not serve the first call");
        }
    }
}

bool Fleet::isReady(const std::string &id) const
{
    Call call;
    call.target = "/readyz";
    call.limit = Milliseconds(1000);
    return callOnce(address(id), call).status == 200;
}

Json Fleet::status(const std::string &id) const
{
    Call call;
    call.target = "/status";
    call.limit = Milliseconds(2000);
    return Json::parse(callOnce(address(id), call).body, nullptr, false);
}

std::uint64_t Fleet::configVersion(const std::string &id) const
{
    const Json body = status(id);
    return body.is_object() ? body.value("config_version", std::uint64_t{0}) : 0;
}

Json Fleet::counts(const std::string &endpoint) const
{
    Call call;
    call.target = "/control/counts";
    const Answer answer = callOnce(address(endpoint), call);
    if (!answer.whole) {
        throw std::runtime_error(endpoint + " does not tell its counts");
    }
    return Json::parse(answer.body);
}

std::map<std::string, int> Fleet::settledRuns(const std::vector<std::string> &endpoints) const
{
    const auto runsTotal = [&] {
        std::uint64_t sum = 0;
        for (const std::string &endpoint : endpoints) {
            sum += counts(endpoint).at("runs_total").get<std::uint64_t>();
        }
        return sum;
    };
    std::uint64_t last = runsTotal();
    auto since = std::chrono::steady_clock::now();
    waitUntil(ControlLimit, [&] {
        const std::uint64_t total = runsTotal();
        if (total != last) {
            last = total;
            since = std::chrono::steady_clock::now();
        }
        return std::chrono::steady_clock::now() - since > std::chrono::seconds(1);
    });
    std::map<std::string, int> runs;
    for (const std::string &endpoint : endpoints) {
        // A range-based loop does not extend the life of the counts.
        const Json current = counts(endpoint);
        for (const auto &[id, count] : current.at("runs").items()) {
            runs[id] += count.get<int>();
        }
    }
    return runs;
}

Json Fleet::storedValue(const std::string &key) const
{
    Call call;
    call.target = "/objects/" + key;
    const Json object = Json::parse(callOnce(address("platform"), call).body, nullptr, false);
    if (!object.is_object() || !object.contains("value")) {
        return nullptr;
    }
    return Json::parse(object["value"].get<std::string>(), nullptr, false);
}

std::string Fleet::homeOf(const std::string &id) const
{
    Call call;
    call.target = "/explain?path=/pickups&workspace=derwent";
    const Json answer = Json::parse(callOnce(address(id), call).body, nullptr, false);
    return answer.is_object() && answer.contains("home") && answer["home"].is_string()
        ? answer["home"].get<std::string>()
        : std::string();
}

void Fleet::control(const std::string &endpoint, const Json &mode) const
{
    post(endpoint, "POST", "/control", mode);
}

void Fleet::setPlatformFaults(const Json &faults) const
{
    post("platform", "POST", "/faults", faults);
}

void Fleet::post(const std::string &name, const std::string &method, const std::string &target,
                 const Json &body) const
{
    Call call;
    call.method = method;
    call.target = target;
    call.body = body.dump();
    call.limit = ControlLimit;
    if (callOnce(address(name), call).status != 200) {
        throw std::runtime_error(name + " refused " + target + " " + call.body);
    }
}

std::string keyDigest(const std::string &key)
{
    return "sha256:" + sha256Hex(key);
}

void addCommonRules(Fleet &fleet)
{
    fleet.addRule("zone zone-a state=serving");
    fleet.addRule("zone zone-b state=serving");
    fleet.addRule("workspace derwent rate=1000000 burst=1000000");
    fleet.addRule("key derwent digest=" + keyDigest(Key));
    fleet.addRule("route chat kind=model path=/v1/chat/completions idempotent=yes deadline=10s");
    fleet.addRule(
        "route pickups kind=service pool=bookings path=/pickups idempotent=no deadline=2s cost=1");
    fleet.addRule(
        "route charts kind=service pool=bookings path=/charts idempotent=yes deadline=2s cost=1");
}

Call serviceCall(const std::string &target, Milliseconds deadline, const std::string &key)
{
    Call call;
    call.method = "POST";
    call.target = target;
    call.headers = {{"Authorization", "Bearer " + key},
                    {"X-Deadline-Ms", std::to_string(deadline.count())}};
    call.body = R"({"basket":7})";
    return call;
}

Call chatCall(int tokens, bool stream, Milliseconds deadline, const std::string &key)
{
    Call call = serviceCall("/v1/chat/completions", deadline, key);
    call.body = Json{{"model", "assistant"},
                     {"max_tokens", tokens},
                     {"stream", stream},
                     {"messages", {{{"role", "user"}, {"content", "Is my basket ready?"}}}}}
                    .dump();
    return call;
}

} // namespace marigoldspool::system_tests
