#include "Commands.h"

#include <fstream>
#include <iterator>
#include <ostream>
#include <set>

#include "marigoldspool/Operator/RuleEdit.h"
#include "marigoldspool/Support/Digest.h"

#include <openssl/rand.h>

namespace marigoldspool {

namespace {

using Json = nlohmann::json;

// Attempts of a command that edits one line. Each attempt reads the rules in force again, so a
// conflict with a concurrent change can be retried.
constexpr int MaxEditAttempts = 5;
constexpr std::size_t KeyBytes = 32;

Expected<std::string> readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (!file.is_open() || file.bad()) {
        return unexpectedError(ErrorKind::NotFound, "the file " + name + " cannot be read",
                               "check its name and your access to it");
    }
    return text;
}

Error invalidRules(const std::string &name)
{
    return makeError(ErrorKind::InvalidRule, name + " has errors", "correct the lines named above");
}

/// The rules of a file and those in force.
struct Comparison {
    std::string text;
    VersionedRules inForce;
    ParseResult parsed;
    std::vector<RuleChange> changes;
};

Expected<Comparison> compareWithInForce(CommandRun &run)
{
    Comparison comparison;
    const Expected<std::string> text = readFile(run.argument(0));
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    comparison.text = *text;
    comparison.parsed = parseRules(run.argument(0), comparison.text);
    if (!run.isJson()) {
        run.printProblems(comparison.parsed.problems);
    }
    if (!comparison.parsed.configuration) {
        return tl::make_unexpected(invalidRules(run.argument(0)));
    }
    Expected<VersionedRules> inForce = run.fetchInForce();
    if (!inForce) {
        return tl::make_unexpected(inForce.error());
    }
    comparison.inForce = *std::move(inForce);
    const ParseResult former = parseRules("in force", comparison.inForce.text);
    // Rules that this version of the program refuses may have been published by another one.
    const Configuration none{RuleSet()};
    if (!former.configuration) {
        run.context().err << "warning: the rules in force have errors, so all rules of the file "
                             "are shown as added\n";
    }
    comparison.changes = diffRules(former.configuration ? *former.configuration : none,
                                   *comparison.parsed.configuration);
    return comparison;
}

ExitCode failComparison(CommandRun &run, const Error &error)
{
    if (error.kind != ErrorKind::InvalidRule || !run.isJson()) {
        return run.reportError(error);
    }
    // With --json, prints every problem instead of the summary.
    return runCheck(run);
}

void reportPublished(CommandRun &run, std::uint64_t version, Json json)
{
    if (run.isJson()) {
        json["version"] = version;
        run.printJson(json);
        return;
    }
    run.context().out << "version " << version << " is in force; the instances follow within "
                      << "seconds, see marigoldspoolctl wait --in-force=" << version << "\n";
}

/// The value of --expect-version, if set.
Expected<std::optional<std::uint64_t>> expectedVersion(CommandRun &run)
{
    if (!run.settings().isSet("expect-version")) {
        return std::optional<std::uint64_t>();
    }
    const Expected<std::int64_t> version = run.settings().integer("expect-version", 0, INT64_MAX);
    if (!version) {
        return tl::make_unexpected(version.error());
    }
    return std::optional<std::uint64_t>(static_cast<std::uint64_t>(*version));
}

Error versionConflict(const VersionedRules &inForce, std::uint64_t expected)
{
    return makeError(ErrorKind::Conflict,
                     "version " + std::to_string(inForce.version) + " is in force"
                         + (inForce.author.empty() ? "" : ", published by " + inForce.author)
                         + ", not version " + std::to_string(expected),
                     "look at the difference with marigoldspoolctl diff, merge and apply again");
}

/// Publishes without a comparison when the rules in force cannot be read.
ExitCode replaceUnreadableRules(CommandRun &run, std::uint64_t expected, std::uint64_t minVersion)
{
    const Expected<std::string> text = readFile(run.argument(0));
    if (!text) {
        return run.reportError(text.error());
    }
    run.context().err << "warning: the rules in force cannot be read; publishing without a "
                         "comparison\n";
    const Expected<std::uint64_t> version = run.publish(*text, expected, minVersion);
    if (!version) {
        return run.reportError(version.error());
    }
    reportPublished(run, *version, {{"changed", true}});
    return ExitCode::Success;
}

void printNewWarnings(CommandRun &run, const std::string &before, const std::string &after)
{
    std::set<std::string> known;
    for (const RuleProblem &problem : parseRules("rules", before).problems) {
        known.insert(problem.cause);
    }
    for (const RuleProblem &problem : parseRules("rules", after).problems) {
        if (known.count(problem.cause) == 0) {
            run.context().err << formatProblem(problem) << "\n";
        }
    }
}

struct EditOutcome {
    std::uint64_t version = 0;
    bool isChanged = false;
};

/// Edits the rules in force and publishes them. Retries after a conflict with a concurrent change
/// and after an unknown outcome.
template <class Edit>
Expected<EditOutcome> editInForce(CommandRun &run, Edit edit)
{
    Error last = makeError(ErrorKind::Internal, "no attempt was made", "report this as a fault");
    bool mayBePublished = false;
    for (int i = 0; i < MaxEditAttempts; ++i) {
        const Expected<VersionedRules> inForce = run.fetchInForce();
        if (!inForce) {
            return tl::make_unexpected(mayBePublished ? last : inForce.error());
        }
        const Expected<std::string> edited = edit(inForce->text);
        if (!edited) {
            return tl::make_unexpected(edited.error());
        }
        if (*edited == inForce->text) {
            return EditOutcome{inForce->version, mayBePublished};
        }
        const Expected<std::uint64_t> version = run.publish(*edited, inForce->version);
        if (version) {
            printNewWarnings(run, inForce->text, *edited);
            return EditOutcome{*version, true};
        }
        const ErrorKind kind = version.error().kind;
        if (kind != ErrorKind::Conflict && kind != ErrorKind::OutcomeUnknown) {
            return tl::make_unexpected(mayBePublished ? last : version.error());
        }
        if (kind == ErrorKind::OutcomeUnknown || !mayBePublished) {
            last = version.error();
        }
        mayBePublished = mayBePublished || kind == ErrorKind::OutcomeUnknown;
    }
    return tl::make_unexpected(last);
}

ExitCode setZone(CommandRun &run, ZoneState state)
{
    const ZoneName zone(run.argument(0));
    const Expected<EditOutcome> outcome = editInForce(run, [&](const std::string &rules) {
        return setZoneState(rules, zone, state, run.settings().text("asked-by"));
    });
    if (!outcome) {
        return run.reportError(outcome.error());
    }
    const char *name = state == ZoneState::Drained ? "drained" : "serving";
    if (!run.isJson()) {
        run.context().out << "zone " << zone.str()
                          << (outcome->isChanged ? " is " : " was already ") << name << "\n";
    }
    reportPublished(run, outcome->version,
                    {{"zone", zone.str()}, {"state", name}, {"changed", outcome->isChanged}});
    return ExitCode::Success;
}

/// Uses a cryptographic generator, so that keys cannot be guessed.
Expected<std::string> makeKey()
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    unsigned char bytes[KeyBytes];
    if (RAND_bytes(bytes, sizeof bytes) != 1) {
        return unexpectedError(ErrorKind::Internal, "the system yields no random bytes",
                               "check the system's entropy source");
    }
    std::string key = "mgs-";
    for (const unsigned char byte : bytes) {
        key += {Digits[byte >> 4U], Digits[byte & 15U]};
    }
    return key;
}

} // namespace

ExitCode runCheck(CommandRun &run)
{
    const Expected<std::string> text = readFile(run.argument(0));
    if (!text) {
        return run.reportError(text.error());
    }
    const ParseResult result = parseRules(run.argument(0), *text);
    const bool isValid = result.configuration != nullptr;
    if (run.isJson()) {
        run.printJson({{"valid", isValid}, {"problems", problemsToJson(result.problems)}});
    } else {
        run.printProblems(result.problems);
        if (!isValid) {
            return run.reportError(invalidRules(run.argument(0)));
        }
        run.context().out << run.argument(0) << ": " << describeRules(*result.configuration).size()
                          << " rules, " << result.problems.size() << " warnings\n";
    }
    return isValid ? ExitCode::Success : ExitCode::InvalidRules;
}

ExitCode runDiff(CommandRun &run)
{
    const Expected<Comparison> comparison = compareWithInForce(run);
    if (!comparison) {
        return failComparison(run, comparison.error());
    }
    if (run.isJson()) {
        run.printJson({{"version", comparison->inForce.version},
                       {"author", comparison->inForce.author},
                       {"changes", changesToJson(comparison->changes)}});
        return ExitCode::Success;
    }
    run.context().out << "compared with version " << comparison->inForce.version
                      << " in force: " << comparison->changes.size() << " changes\n";
    printChanges(run.context().out, comparison->changes);
    return ExitCode::Success;
}

ExitCode runApply(CommandRun &run)
{
    const Expected<std::optional<std::uint64_t>> expected = expectedVersion(run);
    if (!expected) {
        return run.reportError(expected.error());
    }
    const Expected<std::int64_t> minVersionSetting =
        run.settings().integer("least-version", 0, INT64_MAX);
    if (!minVersionSetting) {
        return run.reportError(minVersionSetting.error());
    }
    const auto minVersion = static_cast<std::uint64_t>(*minVersionSetting);
    const Expected<Comparison> comparison = compareWithInForce(run);
    if (!comparison) {
        if (comparison.error().kind == ErrorKind::Malformed && *expected) {
            return replaceUnreadableRules(run, **expected, minVersion);
        }
        return failComparison(run, comparison.error());
    }
    const VersionedRules &inForce = comparison->inForce;
    if (*expected && **expected != inForce.version) {
        return run.reportError(versionConflict(inForce, **expected));
    }
    const Json changes = changesToJson(comparison->changes);
    if (!run.isJson()) {
        printChanges(run.context().out, comparison->changes);
    }
    if (inForce.version > 0 && inForce.version >= minVersion && comparison->text == inForce.text) {
        if (!run.isJson()) {
            run.context().out << "nothing to change\n";
        }
        reportPublished(run, inForce.version, {{"changed", false}, {"changes", changes}});
        return ExitCode::Success;
    }
    const Expected<std::uint64_t> version =
        run.publish(comparison->text, inForce.version, minVersion);
    if (!version) {
        return run.reportError(version.error());
    }
    reportPublished(run, *version, {{"changed", true}, {"changes", changes}});
    return ExitCode::Success;
}

ExitCode runShow(CommandRun &run)
{
    const Expected<VersionedRules> rules = run.fetchInForce();
    if (!rules) {
        return run.reportError(rules.error());
    }
    if (rules->version == 0) {
        return run.reportError(makeError(ErrorKind::NotFound, "no configuration was published yet",
                                         "publish a rule file with marigoldspoolctl apply"));
    }
    if (run.isJson()) {
        run.printJson(
            {{"version", rules->version}, {"author", rules->author}, {"rules", rules->text}});
        return ExitCode::Success;
    }
    // The version goes to the error stream so that the output is the rule file, byte for byte.
    run.context().err << "version " << rules->version << ", published by " << rules->author << "\n";
    run.context().out << rules->text;
    return ExitCode::Success;
}

ExitCode runZoneDrain(CommandRun &run)
{
    return setZone(run, ZoneState::Drained);
}

ExitCode runZoneReturn(CommandRun &run)
{
    return setZone(run, ZoneState::Serving);
}

ExitCode runKeyNew(CommandRun &run)
{
    const WorkspaceName workspace(run.argument(0));
    const Expected<std::string> key = makeKey();
    if (!key) {
        return run.reportError(key.error());
    }
    const KeyDigest digest(sha256Hex(*key));
    const Expected<EditOutcome> outcome = editInForce(run, [&](const std::string &rules) {
        return addKey(rules, workspace, digest, run.settings().text("asked-by"));
    });
    if (!outcome) {
        Error error = outcome.error();
        if (error.kind == ErrorKind::OutcomeUnknown) {
            error.remedy = "if marigoldspoolctl show lists digest " + digest.str()
                + ", withdraw it; then make another key";
        }
        return run.reportError(error);
    }
    if (!run.isJson()) {
        run.context().out << "key:    " << *key << "\n"
                          << "digest: " << digest.str() << "\n"
                          << "The key is shown only now; the configuration holds its digest.\n";
    }
    reportPublished(run, outcome->version,
                    {{"workspace", workspace.str()}, {"key", *key}, {"digest", digest.str()}});
    return ExitCode::Success;
}

ExitCode runKeyWithdraw(CommandRun &run)
{
    const Expected<KeyDigest> digest = parseKeyDigest(run.argument(0));
    if (!digest) {
        return run.reportError(digest.error());
    }
    const Expected<EditOutcome> outcome = editInForce(run, [&](const std::string &rules) {
        return withdrawKey(rules, *digest, run.settings().text("asked-by"));
    });
    if (!outcome) {
        return run.reportError(outcome.error());
    }
    if (!run.isJson()) {
        run.context().out << "key " << digest->str()
                          << (outcome->isChanged ? " is" : " was already") << " withdrawn\n";
    }
    reportPublished(run, outcome->version,
                    {{"digest", digest->str()}, {"changed", outcome->isChanged}});
    return ExitCode::Success;
}

} // namespace marigoldspool
