#include "marigoldspool/Operator/OperatorCommand.h"

#include "Commands.h"

#include <cstdlib>
#include <ostream>

namespace marigoldspool {

namespace {

struct Command {
    /// One or two words.
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::size_t minArguments;
    std::size_t maxArguments;
    ExitCode (*run)(CommandRun &);
    std::vector<SettingSpec> (*settings)();
};

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user != nullptr && *user != '\0' ? user : "unknown";
}

SettingSpec jsonSetting()
{
    return {"json", "", "print JSON for scripts", false, true};
}

std::vector<SettingSpec> localSettings()
{
    return {jsonSetting()};
}

std::vector<SettingSpec> readSettings()
{
    return {{"platform", "", "address of the platform's object API, IP:PORT", false, false},
            {"store-timeout", "5s", "for one call to the object API", false, false},
            jsonSetting()};
}

std::vector<SettingSpec> writeSettings()
{
    std::vector<SettingSpec> specs = readSettings();
    specs.push_back({"author", defaultAuthor(),
                     "name of the publisher, shown to others on a conflict", false, false});
    return specs;
}

std::vector<SettingSpec> applySettings()
{
    std::vector<SettingSpec> specs = writeSettings();
    specs.push_back({"expect-version", "",
                     "version that must still be in force; without it the one in force when the "
                     "command compared the rules",
                     false, false});
    specs.push_back({"least-version", "0",
                     "the new version is at least this, after the store lost its content", false,
                     false});
    return specs;
}

std::vector<SettingSpec> editSettings()
{
    std::vector<SettingSpec> specs = writeSettings();
    specs.push_back(
        {"asked-by", "", "replaces who asked for the rule in its comment", false, false});
    return specs;
}

std::vector<SettingSpec> keyNewSettings()
{
    std::vector<SettingSpec> specs = writeSettings();
    specs.push_back({"asked-by", "", "who asked for the key", true, false});
    return specs;
}

std::vector<SettingSpec> fleetSettings()
{
    std::vector<SettingSpec> specs = readSettings();
    specs.push_back({"instances", "", "comma-separated addresses; without it the platform's list",
                     false, false});
    specs.push_back({"call-timeout", "2s", "for one call to an instance", false, false});
    return specs;
}

std::vector<SettingSpec> waitSettings()
{
    std::vector<SettingSpec> specs = fleetSettings();
    specs.push_back({"in-force", "", "the version to wait for", true, false});
    specs.push_back({"timeout", "30s", "how long to wait at most", false, false});
    return specs;
}

constexpr std::size_t ArgumentLimit = 100;

constexpr Command Commands[] = {
    {"check", "FILE", "reports errors and warnings in a rule file", 1, 1, runCheck, localSettings},
    {"diff", "FILE", "compares a rule file with the rules in force", 1, 1, runDiff, readSettings},
    {"apply", "FILE", "puts a rule file in force", 1, 1, runApply, applySettings},
    {"show", "", "prints the rules in force", 0, 0, runShow, readSettings},
    {"status", "", "shows instances, zones, endpoints and models", 0, 0, runStatus, fleetSettings},
    {"zone drain", "NAME", "keeps new work away from a zone", 1, 1, runZoneDrain, editSettings},
    {"zone return", "NAME", "lets a zone take work again", 1, 1, runZoneReturn, editSettings},
    {"key new", "WORKSPACE", "makes a key and prints it once", 1, 1, runKeyNew, keyNewSettings},
    {"key withdraw", "DIGEST", "withdraws a key", 1, 1, runKeyWithdraw, editSettings},
    {"explain", "workspace=NAME path=/PATH model=NAME",
     "shows what an instance would do with a request", 1, ArgumentLimit, runExplain, fleetSettings},
    {"wait", "", "waits until a version is in force at all live instances", 0, 0, runWait,
     waitSettings},
};

/// The number of words in the name of \p command if \p arguments begin with it, else 0.
std::size_t matchCommandName(const Command &command, gsl::span<const char *const> arguments)
{
    if (arguments.empty()) {
        return 0;
    }
    const std::string_view first = arguments[0];
    if (first == command.name) {
        return 1;
    }
    if (arguments.size() < 2) {
        return 0;
    }
    return std::string(first) + " " + arguments[1] == command.name ? 2 : 0;
}

std::string usageOverview()
{
    std::string text = "usage: marigoldspoolctl COMMAND [arguments] [flags]\n";
    for (const Command &command : Commands) {
        std::string words(command.name);
        words += command.arguments.empty() ? "" : " " + std::string(command.arguments);
        text += "  " + words + "\n      " + std::string(command.summary) + "\n";
    }
    return text + "marigoldspoolctl COMMAND --help lists the flags of a command.\n";
}

ExitCode runCommand(const Command &command, gsl::span<const char *const> arguments,
                    OperatorContext &context)
{
    std::string usage = "marigoldspoolctl " + std::string(command.name);
    usage += command.arguments.empty() ? "" : " " + std::string(command.arguments);
    const Expected<Settings> settings = Settings::parse(usage, command.settings(), arguments);
    if (!settings) {
        context.err << "error: " << describeError(settings.error()) << "\n";
        return ExitCode::Usage;
    }
    if (settings->helpRequested()) {
        context.out << command.summary << "\n" << settings->helpText();
        return ExitCode::Success;
    }
    CommandRun run(*settings, context);
    const auto count = static_cast<std::size_t>(settings->positional().size());
    if (count < command.minArguments || count > command.maxArguments) {
        return run.reportError(
            makeError(ErrorKind::InvalidArgument,
                      "the command does not accept " + std::to_string(count) + " arguments",
                      "usage: " + usage + " [flags]"));
    }
    return command.run(run);
}

} // namespace

ExitCode runOperatorCommand(gsl::span<const char *const> arguments, OperatorContext &context)
{
    for (const Command &command : Commands) {
        const std::size_t words = matchCommandName(command, arguments);
        if (words > 0) {
            return runCommand(command, arguments.subspan(words), context);
        }
    }
    const std::string_view first = arguments.empty() ? "" : arguments[0];
    if (first == "--help" || first == "-h" || first == "help") {
        context.out << usageOverview();
        return ExitCode::Success;
    }
    context.err << "error: "
                << (arguments.empty() ? std::string("no command was given")
                                      : "there is no command \"" + std::string(first) + "\"")
                << "; remedy: the command comes first, before any flag\n"
                << usageOverview();
    return ExitCode::Usage;
}

} // namespace marigoldspool
