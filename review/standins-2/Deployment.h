#ifndef MARIGOLDSPOOL_REVIEW_STANDINS2_DEPLOYMENT_H
#define MARIGOLDSPOOL_REVIEW_STANDINS2_DEPLOYMENT_H

#include "Store.h"

#include <fstream>

#include <sys/types.h>

namespace review {

/// Bounds of the site file that all cases name.
constexpr Milliseconds ContactTime(3000);
constexpr Milliseconds ConfigTime(2000);

/// A case that could not run.
class CaseError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// What was sent, answered and run, one line for each event.
class Record
{
public:
    explicit Record(const std::string &path);
    /// \p fields are written as name=value.
    void add(std::string_view event, const Headers &fields);
    double now() const { return seconds(Clock::now()); }
    double seconds(Clock::time_point at) const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

/// One process of the deploy file on its own ports.
class Node
{
public:
    Node(std::string name, const std::string &zone, int storePort, const std::string &directory);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void signal(int number) const;
    /// Ends the process as SIGKILL does and reaps it.
    void kill();
    bool isReady() const;
    const std::string &name() const { return m_name; }
    int frontPort() const { return m_frontPort; }

private:
    std::string m_name;
    int m_frontPort;
    int m_innerPort;
    std::string m_settingsPath;
    pid_t m_pid = -1;
};

/// A store and instances in zones, with everything on loopback addresses.
class Deployment
{
public:
    Deployment(Record &record, const std::vector<std::string> &zones);
    ~Deployment();

    Store &store() { return *m_store; }
    Node &node(std::size_t number) { return *m_nodes.at(number); }
    std::size_t nodeCount() const { return m_nodes.size(); }
    /// Writes the first configuration and waits until all instances are ready.
    void start(const Json &configuration);
    void waitUntilReady(Milliseconds limit);

private:
    Record &m_record;
    std::string m_directory;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

std::int64_t unixMilliseconds();
void sleepFor(Milliseconds time);

/// Whether the case runs with its disruption.
bool hasTrouble();
/// Runs the case and turns the result into the exit code: 1 if \p run returns that the rule was
/// broken, 0 if it held, 2 if the case could not run.
int runCase(int argc, char **argv, const std::function<bool(Record &record)> &run);

} // namespace review

#endif
