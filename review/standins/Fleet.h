#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_FLEET_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_FLEET_H

#include "Record.h"
#include "Store.h"

#include <optional>

#include <sys/types.h>

namespace marigoldspool::review {

/// Ports that are free at all loopback addresses of a fleet.
struct FleetPorts {
    int callers = 0;
    int readiness = 0;
    /// The first of 16 ports for traffic between the instances.
    int range = 0;
    int store = 0;
    int replicas = 0;
};

/// The program of the deploy file as one process per machine, each at a loopback address of its
/// own.
class Fleet
{
public:
    /// \p folder is where settings and logs are written.
    Fleet(Record &record, std::string folder);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    const FleetPorts &ports() const { return m_ports; }
    /// The address of the store, or of a replica: both are no machines of the fleet.
    static std::string outsideIp(int number);

    void add(const std::string &name, const std::string &zone);
    void start(const std::string &name);
    void startAll();
    void kill(const std::string &name);
    /// Sends SIGTERM; the process is killed after the grace period of the settings.
    void stop(const std::string &name);
    /// Whether the process has ended after stop().
    bool hasEnded(const std::string &name);
    /// Starts the processes again that have ended after stop().
    void restartStopped();
    bool isReady(const std::string &name) const;
    /// Returns false if not all machines are ready by then.
    bool waitReady(TimePoint until) const;
    Address callers(const std::string &name) const;
    std::vector<std::string> names() const;
    /// When the process was started last.
    TimePoint startedAt(const std::string &name) const { return m_nodes.at(name).startedAt; }

private:
    struct Node {
        std::string zone;
        std::string ip;
        pid_t process = -1;
        TimePoint startedAt;
        /// When the platform kills the process; only after stop().
        std::optional<TimePoint> killAt;
    };

    void writeSettings(const std::string &name, bool isFirst) const;

    Record &m_record;
    std::string m_folder;
    FleetPorts m_ports;
    std::map<std::string, Node> m_nodes;
    std::set<std::string> m_startedOnce;
};

/// One client attempt on a connection of its own.
struct Request {
    std::string method = "POST";
    std::string host;
    std::string path;
    std::string key;
    std::string model;
    std::string prefix;
    std::string tokens;
    std::string body;
    std::string kind;
    Milliseconds deadline{600};
};

/// Sends requests on threads of its own and records them and their answers.
class Clients
{
public:
    Clients(Record &record, Fleet &fleet);
    ~Clients();
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

    /// Returns the id of the request.
    std::string send(const std::string &node, const Request &request);
    /// Waits for all answers.
    void finish();

private:
    void call(const std::string &id, const Address &address, const Request &request);

    Record &m_record;
    Fleet &m_fleet;
    std::uint64_t m_count = 0;
    std::vector<std::thread> m_threads;
};

/// Settings of a scenario that stand in its environment: whether the disruption is played.
bool isTroubled();
/// A folder that is removed with this object.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// Exit codes of a scenario.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Runs \p scenario and returns the exit code of the program.
int runScenario(const std::function<Verdict()> &scenario);

} // namespace marigoldspool::review

#endif
