#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_3_DEPLOYMENT_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_3_DEPLOYMENT_H

#include "Caller.h"
#include "Store.h"

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace marigoldspool::review3 {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/// A process that the case has started. It ends with the case.
class Child
{
public:
    Child() = default;
    Child(const std::vector<std::string> &arguments, const std::vector<std::string> &environment,
          const std::string &logPath);
    Child(Child &&other) noexcept;
    Child &operator=(Child &&other) noexcept;
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;
    ~Child();

    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Whether the process has ended by itself; \p status is that of waitpid().
    bool hasEnded(int &status);

private:
    pid_t m_pid = -1;
};

struct ReplicaSettings {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> models;
    std::string framing = "chunks";
    std::string version = "v1";
    int slots = 48;
};

/// Some instances of the system with the bounds of the small sites, a store and replicas.
class Deployment
{
public:
    explicit Deployment(const std::string &caseFolder);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    ~Deployment();

    Store &store() { return m_store; }
    /// Writes a line into record.txt, with the milliseconds since the start.
    void record(const std::string &line);
    void configure(const Json &configuration);
    /// Entries of \p settings in the store change only through this class.
    void addReplica(const ReplicaSettings &settings);
    void addInstance(const std::string &name, const std::string &zone);
    /// Until all instances say that they are ready. Throws after 20 s.
    void waitUntilReady();
    void waitUntilReady(const std::string &name);
    std::string front(const std::string &name) const;
    std::string metrics(const std::string &name) const;

    void signalInstance(const std::string &name, int number);
    void killInstance(const std::string &name);
    void startInstance(const std::string &name);
    bool hasInstanceEnded(const std::string &name, int &status);

    /// The process is gone; its entry is removed after three heartbeats.
    void killReplica(const std::string &id);
    /// Starts the process of a killed replica again, at the same address and with the same id.
    void restartReplica(const std::string &id);
    void controlReplica(const std::string &id, const Json &change);
    /// The replica reports \p change of its entry.
    void changeEntry(const std::string &id, const Json &change);
    /// Lines that replicas have logged: MS REPLICA EVENT ID DETAIL.
    std::vector<std::string> replicaLines() const;
    /// Lines of the instances' logs that contain \p text.
    std::vector<std::string> instanceLines(const std::string &text) const;
    void removeEntry(const std::string &id);

private:
    struct Instance {
        std::string zone;
        int firstPort = 0;
        std::string front;
        std::string ready;
        Child child;
    };
    struct Replica {
        ReplicaSettings settings;
        std::string address;
        std::int64_t born = 0;
        Json entry;
        bool alive = true;
        std::chrono::steady_clock::time_point silentSince;
        Child child;
    };

    void beat();
    void startReplica(Replica &replica);

    std::string m_folder;
    std::string m_work;
    std::ofstream m_record;
    std::mutex m_recordMutex;
    std::chrono::steady_clock::time_point m_start;
    Store m_store;
    std::map<std::string, Instance> m_instances;
    std::mutex m_replicaMutex;
    std::map<std::string, Replica> m_replicas;
    std::atomic<bool> m_isClosing{false};
    std::thread m_beats;
};

/// A configuration with one engine pool and one plain service.
Json makeConfiguration(int version);
/// Whether the case runs with its disruption (TROUBLE is not 0).
bool hasTrouble();
/// Runs a replica if the arguments say so; else the case, whose exceptions count as not run.
int runMain(int argc, char **argv, int (*runCase)(const std::string &folder));

} // namespace marigoldspool::review3

#endif
