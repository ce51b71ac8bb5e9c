#ifndef MARIGOLDSPOOL_TESTS_SYSTEM_FLEET_H
#define MARIGOLDSPOOL_TESTS_SYSTEM_FLEET_H

#include "System/Caller.h"
#include "System/Process.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigoldspool::system_tests {

/// The platform stand-in, endpoints and instances of one test, on loopback ports. Functions throw
/// std::runtime_error when a program does not do what the test needs it for.
class Fleet
{
public:
    Fleet();
    /// Ends all processes. Fails the test when an instance has logged a violated invariant.
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Endpoints; each adds its rule. \p rule holds further words of the rule line.
    void addEngine(const std::string &id, const std::string &zone, const std::string &rule,
                   std::vector<std::string> arguments);
    void addService(const std::string &id, const std::string &zone, const std::string &rule,
                    std::vector<std::string> arguments);
    /// Adds a rule line without its comment.
    void addRule(const std::string &line);
    /// Replaces the part \p from of the rules by \p to.
    void changeRules(const std::string &from, const std::string &to);
    /// Publishes the rules; returns false when another operator was faster.
    bool apply(const std::string &author = "system-tests");
    /// Publishes another text; returns its version, or nothing when that was not accepted. Calls
    /// at the same time need different authors.
    std::optional<std::uint64_t> publishText(const std::string &rules,
                                             const std::string &author) const;
    const std::string &rules() const { return m_rules; }

    /// \p arguments holds further settings of the instance.
    void addInstance(const std::string &id, const std::string &zone,
                     std::vector<std::string> arguments = {});
    /// Starts an instance that has ended again, at its former address, and waits until it listens.
    void startInstance(const std::string &id);
    /// Marks an instance or endpoint as leaving or live in the platform's list.
    void setPlatformState(const std::string &id, const std::string &state);
    /// Waits until all instances are ready and run \p probe with status 200.
    void waitReady(const Call &probe);
    void waitReady(const std::string &id) const;

    Process &process(const std::string &name) const { return *m_processes.at(name); }
    const std::string &address(const std::string &name) const { return m_addresses.at(name); }
    const std::vector<std::string> &instances() const { return m_instances; }
    bool isReady(const std::string &id) const;
    Json status(const std::string &id) const;
    /// Version of the configuration in force at an instance; 0 when it does not answer.
    std::uint64_t configVersion(const std::string &id) const;
    Json counts(const std::string &endpoint) const;
    /// Runs of each request id, summed over the endpoints, once no more have been added for a
    /// while.
    std::map<std::string, int> settledRuns(const std::vector<std::string> &endpoints) const;
    /// The value of an object in the store; null when there is none.
    Json storedValue(const std::string &key) const;
    /// The instance that holds the queue for /pickups, as \p id sees it.
    std::string homeOf(const std::string &id) const;
    void control(const std::string &endpoint, const Json &mode) const;
    void setPlatformFaults(const Json &faults) const;

private:
    void start(const std::string &name, const std::string &program,
               std::vector<std::string> arguments);
    std::string startStandin(const std::string &name, const std::string &program,
                             std::vector<std::string> arguments);
    void publishInstances() const;
    void post(const std::string &name, const std::string &method, const std::string &target,
              const Json &body) const;

    std::string m_directory;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, std::string> m_addresses;
    std::vector<std::string> m_instances;
    std::map<std::string, std::string> m_zones;
    std::map<std::string, std::vector<std::string>> m_instanceArguments;
    std::map<std::string, std::string> m_platformStates;
    std::string m_rules;
};

/// The key of the workspace derwent in the rules below.
inline constexpr const char *Key = "system-test-key";
std::string keyDigest(const std::string &key);

/// Rules of two zones, a workspace with a rate that is never reached, and routes for
/// `/pickups` (not idempotent, 2 s), `/charts` (idempotent) and chat calls (10 s).
void addCommonRules(Fleet &fleet);
Call serviceCall(const std::string &target, Milliseconds deadline, const std::string &key = Key);
Call chatCall(int tokens, bool stream, Milliseconds deadline, const std::string &key = Key);

} // namespace marigoldspool::system_tests

#endif
