#ifndef MARIGOLDSPOOL_LIB_OPERATOR_COMMANDS_H
#define MARIGOLDSPOOL_LIB_OPERATOR_COMMANDS_H

#include "marigoldspool/Config/ConfigDiff.h"
#include "marigoldspool/Config/ConfigStore.h"
#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Operator/InstanceStatus.h"
#include "marigoldspool/Operator/OperatorCommand.h"
#include "marigoldspool/Support/Settings.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace marigoldspool {

/// One invocation of marigoldspoolctl: its settings and its context.
class CommandRun
{
public:
    CommandRun(const Settings &settings, OperatorContext &context)
        : m_settings(settings)
        , m_context(context)
    { }

    const Settings &settings() const { return m_settings; }
    OperatorContext &context() { return m_context; }
    bool isJson() const { return m_settings.isSet("json"); }
    /// The positional argument with index \p n after the command.
    const std::string &argument(std::size_t n) const { return m_settings.positional()[n]; }

    /// Starts one asynchronous call and runs completions until it has answered.
    template <class T, class Start>
    Expected<T> await(Start start)
    {
        const auto result = std::make_shared<std::optional<Expected<T>>>();
        start([result](Expected<T> value) {
            *result = std::move(value);
        });
        while (!result->has_value()) {
            if (!m_context.runOne()) {
                return unexpectedError(ErrorKind::Internal, "a call ended without an answer",
                                       "report this as a fault of marigoldspoolctl");
            }
        }
        return **std::move(result);
    }

    /// Fails with InvalidArgument when no platform address is set.
    Expected<ObjectStore *> store();
    /// The rules in force; version 0 without text when none were published.
    Expected<VersionedRules> fetchInForce();
    Expected<std::uint64_t> publish(const std::string &rules, std::uint64_t expectedVersion,
                                    std::uint64_t minVersion = 0);
    /// The instances to query: those of the setting `instances`, or the platform's live instances.
    Expected<std::vector<PlatformInstance>> liveInstances();
    Expected<Duration> callTimeout();

    /// Prints the error as text, or as JSON for scripts, and yields its exit code.
    ExitCode reportError(const Error &error);
    void printProblems(const std::vector<RuleProblem> &problems);
    void printJson(const nlohmann::json &json);

private:
    const Settings &m_settings;
    OperatorContext &m_context;
    ObjectStore *m_store = nullptr;
};

/// The status of one instance, or why it could not be read.
struct InstanceStatusResult {
    PlatformInstance instance;
    Expected<InstanceStatus> status;
};

/// Queries all instances concurrently. The results are in the order of \p instances.
std::vector<InstanceStatusResult>
queryStatus(CommandRun &run, const std::vector<PlatformInstance> &instances, Duration timeout);

ExitCode exitCodeFor(ErrorKind kind);
nlohmann::json problemsToJson(const std::vector<RuleProblem> &problems);
nlohmann::json changesToJson(const std::vector<RuleChange> &changes);
void printChanges(std::ostream &out, const std::vector<RuleChange> &changes);
/// Pads each column to its widest cell and separates columns by two spaces.
void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

ExitCode runCheck(CommandRun &run);
ExitCode runDiff(CommandRun &run);
ExitCode runApply(CommandRun &run);
ExitCode runShow(CommandRun &run);
ExitCode runZoneDrain(CommandRun &run);
ExitCode runZoneReturn(CommandRun &run);
ExitCode runKeyNew(CommandRun &run);
ExitCode runKeyWithdraw(CommandRun &run);
ExitCode runStatus(CommandRun &run);
ExitCode runExplain(CommandRun &run);
ExitCode runWait(CommandRun &run);

} // namespace marigoldspool

#endif
