#ifndef MARIGOLDSPOOL_OPERATOR_OPERATORCOMMAND_H
#define MARIGOLDSPOOL_OPERATOR_OPERATORCOMMAND_H

#include "marigoldspool/Operator/InstanceClient.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/RandomSource.h"

#include <functional>
#include <iosfwd>
#include <string>

#include <gsl/span>

namespace marigoldspool {

/// Exit codes of marigoldspoolctl; docs/operators.md lists them for scripts.
enum class ExitCode {
    Success = 0,
    InvalidRules = 1,
    Usage = 2,
    Conflict = 3, ///< The version in force is not the expected one.
    OutcomeUnknown = 4, ///< A change may or may not be in force.
    Unreachable = 5, ///< The store or a queried instance did not answer.
    TimedOut = 6, ///< An instance did not reach the version in time.
    NotFound = 7,
    Failed = 8,
};

/// Dependencies of the commands.
struct OperatorContext {
    /// Opens the object API at an address, with a timeout for each call; called at most once.
    std::function<ObjectStore &(const std::string &address, Duration timeout)> openStore;
    InstanceClient &instances;
    const Clock &clock;
    RandomSource &random;
    /// Waits for one completion and runs it; false when none is outstanding.
    std::function<bool()> runOne;
    std::function<void(Duration)> sleep;
    std::ostream &out;
    std::ostream &err;
};

/// Runs one command, such as `{"apply", "rules", "--platform=127.0.0.1:7000"}`.
ExitCode runOperatorCommand(gsl::span<const char *const> arguments, OperatorContext &context);

} // namespace marigoldspool

#endif
