#include "Commands.h"

#include <algorithm>
#include <iterator>
#include <ostream>

namespace marigoldspool {

using Json = nlohmann::json;

Expected<ObjectStore *> CommandRun::store()
{
    if (m_store == nullptr) {
        if (!m_settings.isSet("platform")) {
            return unexpectedError(ErrorKind::InvalidArgument,
                                   "the address of the platform's object API is not set",
                                   "pass --platform=IP:PORT or set MARIGOLDSPOOL_PLATFORM");
        }
        const Expected<std::string> address = m_settings.address("platform");
        if (!address) {
            return tl::make_unexpected(address.error());
        }
        const Expected<Duration> timeout = m_settings.duration(
            "store-timeout", std::chrono::milliseconds(1), std::chrono::minutes(10));
        if (!timeout) {
            return tl::make_unexpected(timeout.error());
        }
        m_store = &m_context.openStore(*address, *timeout);
    }
    return m_store;
}

Expected<VersionedRules> CommandRun::fetchInForce()
{
    const Expected<ObjectStore *> opened = store();
    if (!opened) {
        return tl::make_unexpected(opened.error());
    }
    Expected<VersionedRules> rules = await<VersionedRules>([&](Callback<VersionedRules> done) {
        fetchConfig(**opened, std::move(done));
    });
    if (!rules && rules.error().kind == ErrorKind::NotFound) {
        return VersionedRules();
    }
    return rules;
}

Expected<std::uint64_t> CommandRun::publish(const std::string &rules, std::uint64_t expectedVersion,
                                            std::uint64_t minVersion)
{
    const Expected<ObjectStore *> opened = store();
    if (!opened) {
        return tl::make_unexpected(opened.error());
    }
    return await<std::uint64_t>([&](Callback<std::uint64_t> done) {
        publishConfig(**opened, m_context.clock, m_context.random, rules, expectedVersion,
                      m_settings.text("author"), std::move(done), minVersion);
    });
}

Expected<std::vector<PlatformInstance>> CommandRun::liveInstances()
{
    std::vector<PlatformInstance> live;
    if (m_settings.isSet("instances")) {
        for (const std::string &address : m_settings.list("instances")) {
            const Expected<std::string> checked = parseAddress(address);
            if (!checked) {
                return tl::make_unexpected(checked.error());
            }
            live.push_back({"", "", address, PlatformState::Live});
        }
        return live;
    }
    const Expected<ObjectStore *> opened = store();
    if (!opened) {
        return tl::make_unexpected(opened.error());
    }
    Expected<std::vector<PlatformInstance>> listed =
        await<std::vector<PlatformInstance>>([&](Callback<std::vector<PlatformInstance>> done) {
            (*opened)->instances(std::move(done));
        });
    if (!listed) {
        return listed;
    }
    std::copy_if(listed->begin(), listed->end(), std::back_inserter(live),
                 [](const PlatformInstance &instance) {
                     return instance.state == PlatformState::Live;
                 });
    return live;
}

Expected<Duration> CommandRun::callTimeout()
{
    return m_settings.duration("call-timeout", std::chrono::milliseconds(1),
                               std::chrono::minutes(10));
}

ExitCode CommandRun::reportError(const Error &error)
{
    if (isJson()) {
        printJson({{"error",
                    {{"kind", errorKindName(error.kind)},
                     {"message", error.message},
                     {"remedy", error.remedy}}}});
    } else {
        m_context.err << "error: " << describeError(error) << "\n";
    }
    return exitCodeFor(error.kind);
}

void CommandRun::printProblems(const std::vector<RuleProblem> &problems)
{
    for (const RuleProblem &problem : problems) {
        m_context.err << formatProblem(problem) << "\n";
    }
}

void CommandRun::printJson(const Json &json)
{
    // Rule files and responses of instances may hold bytes that are not UTF-8.
    m_context.out << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

ExitCode exitCodeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return ExitCode::Usage;
    case ErrorKind::InvalidRule:
        return ExitCode::InvalidRules;
    case ErrorKind::NotFound:
        return ExitCode::NotFound;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    case ErrorKind::Unavailable:
    case ErrorKind::Timeout:
    case ErrorKind::RateLimited:
        return ExitCode::Unreachable;
    case ErrorKind::TooLarge:
    case ErrorKind::Malformed:
    case ErrorKind::StaleFencing:
    case ErrorKind::InsufficientMemory:
    case ErrorKind::Cancelled:
    case ErrorKind::Internal:
        break;
    }
    return ExitCode::Failed;
}

Json problemsToJson(const std::vector<RuleProblem> &problems)
{
    Json list = Json::array();
    for (const RuleProblem &problem : problems) {
        list.push_back({{"file", problem.file},
                        {"line", problem.line},
                        {"severity", problem.severity == Severity::Error ? "error" : "warning"},
                        {"cause", problem.cause},
                        {"remedy", problem.remedy}});
    }
    return list;
}

Json changesToJson(const std::vector<RuleChange> &changes)
{
    Json list = Json::array();
    for (const RuleChange &change : changes) {
        Json fields = Json::array();
        for (const FieldChange &field : change.fields) {
            fields.push_back({{"key", field.key}, {"from", field.from}, {"to", field.to}});
        }
        list.push_back({{"change", changeKindName(change.change)},
                        {"kind", change.rule.kind},
                        {"name", change.rule.name},
                        {"rule", formatRule(change.rule)},
                        {"fields", std::move(fields)}});
    }
    return list;
}

void printChanges(std::ostream &out, const std::vector<RuleChange> &changes)
{
    for (const RuleChange &change : changes) {
        switch (change.change) {
        case ChangeKind::Added:
            out << "+ " << formatRule(change.rule) << "\n";
            break;
        case ChangeKind::Removed:
            out << "- " << formatRule(change.rule) << "\n";
            break;
        case ChangeKind::Changed:
            out << "~ " << change.rule.kind << " " << change.rule.name << ":";
            for (const FieldChange &field : change.fields) {
                out << " " << field.key << " " << (field.from.empty() ? "(none)" : field.from)
                    << " -> " << (field.to.empty() ? "(none)" : field.to) << ";";
            }
            out << " asked for by: " << change.rule.requestedBy << "\n";
            break;
        }
    }
}

void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size()) {
                line.append(widths[i] - row[i].size() + 2, ' ');
            }
        }
        out << line << "\n";
    }
}

} // namespace marigoldspool
