#include "marigoldspool/Support/Settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <optional>

#include <popt.h>

namespace marigoldspool {

namespace {

constexpr int HelpOption = 1;
constexpr int FirstSettingOption = 2;

std::string environmentName(std::string_view setting)
{
    std::string name = "MARIGOLDSPOOL_";
    for (const char c : setting) {
        name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
    }
    return name;
}

std::optional<std::int64_t> toInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

struct PoptContextFree {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

using PoptContextPtr = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextFree>;

std::vector<poptOption> makeOptionTable(gsl::span<const SettingSpec> specs)
{
    std::vector<poptOption> table;
    int n = FirstSettingOption;
    for (const SettingSpec &spec : specs) {
        const unsigned kind = spec.isSwitch ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({spec.name.c_str(), '\0', kind, nullptr, n++, spec.help.c_str(), nullptr});
    }
    table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, "show this help", nullptr});
    table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    return table;
}

struct DurationUnit {
    std::string_view suffix;
    Duration length;
};

// "ms" precedes "s" because the longer suffix has to match first.
constexpr DurationUnit DurationUnits[] = {
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"m", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
};

bool isIpAddress(const std::string &host)
{
    unsigned char buf[sizeof(in6_addr)];
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buf) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buf) == 1;
}

} // namespace

Expected<Settings> Settings::parse(std::string_view program, std::vector<SettingSpec> specs,
                                   gsl::span<const char *const> arguments)
{
    Settings settings;
    settings.m_program = program;
    const std::vector<poptOption> table = makeOptionTable(specs);
    std::vector<const char *> argv{settings.m_program.c_str()};
    argv.insert(argv.end(), arguments.begin(), arguments.end());
    argv.push_back(nullptr);
    const PoptContextPtr context(
        poptGetContext(nullptr, static_cast<int>(argv.size()) - 1, argv.data(), table.data(), 0));

    std::vector<std::optional<std::string>> given(specs.size());
    int rc = 0;
    while ((rc = poptGetNextOpt(context.get())) > 0) {
        if (rc == HelpOption) {
            settings.m_helpRequested = true;
            continue;
        }
        const auto index = static_cast<std::size_t>(rc - FirstSettingOption);
        if (specs[index].isSwitch) {
            given[index] = "true";
            continue;
        }
        char *argument = poptGetOptArg(context.get());
        given[index] = argument != nullptr ? argument : "";
        std::free(argument); // popt hands over ownership of the copy.
    }
    if (rc < -1) {
        return unexpectedError(ErrorKind::InvalidArgument,
                               std::string(poptBadOption(context.get(), 0)) + ": "
                                   + poptStrerror(rc),
                               "see " + settings.m_program + " --help for the flags");
    }
    while (const char *argument = poptGetArg(context.get())) {
        settings.m_positional.emplace_back(argument);
    }

    for (std::size_t i = 0; i < specs.size(); ++i) {
        SettingSpec &spec = specs[i];
        const char *environment = std::getenv(environmentName(spec.name).c_str());
        std::string value = spec.defaultValue;
        if (given[i]) {
            value = *given[i];
        } else if (environment != nullptr) {
            value = environment;
        }
        if (spec.required && value.empty() && !settings.m_helpRequested) {
            return unexpectedError(ErrorKind::InvalidArgument,
                                   "setting " + spec.name + " is missing",
                                   "pass --" + spec.name + " or set " + environmentName(spec.name));
        }
        settings.m_values.push_back({std::move(spec), std::move(value)});
    }
    return settings;
}

const Settings::Value &Settings::find(std::string_view name) const
{
    const auto it = std::find_if(m_values.begin(), m_values.end(), [&](const Value &value) {
        return value.spec.name == name;
    });
    assert(it != m_values.end() && "the setting must be declared");
    return *it;
}

const std::string &Settings::text(std::string_view name) const
{
    return find(name).text;
}

bool Settings::isSet(std::string_view name) const
{
    return !find(name).text.empty();
}

Expected<std::int64_t> Settings::integer(std::string_view name, std::int64_t minValue,
                                         std::int64_t maxValue) const
{
    const std::optional<std::int64_t> value = toInteger(text(name));
    if (!value || *value < minValue || *value > maxValue) {
        return unexpectedError(ErrorKind::InvalidArgument,
                               "setting " + std::string(name) + " is \"" + text(name) + "\"",
                               "give a whole number from " + std::to_string(minValue) + " to "
                                   + std::to_string(maxValue));
    }
    return *value;
}

Expected<Duration> Settings::duration(std::string_view name, Duration minValue,
                                      Duration maxValue) const
{
    const Expected<Duration> value = parseDuration(text(name));
    if (!value) {
        return unexpectedError(ErrorKind::InvalidArgument,
                               "setting " + std::string(name) + ": " + value.error().message,
                               value.error().remedy);
    }
    if (*value < minValue || *value > maxValue) {
        return unexpectedError(ErrorKind::InvalidArgument,
                               "setting " + std::string(name) + " is " + text(name),
                               "give a duration from " + std::to_string(toMilliseconds(minValue))
                                   + "ms to " + std::to_string(toMilliseconds(maxValue)) + "ms");
    }
    return *value;
}

Expected<std::string> Settings::address(std::string_view name) const
{
    Expected<std::string> value = parseAddress(text(name));
    if (!value) {
        value.error().message = "setting " + std::string(name) + ": " + value.error().message;
    }
    return value;
}

std::vector<std::string> Settings::list(std::string_view name) const
{
    std::vector<std::string> parts;
    std::string_view rest = text(name);
    while (!rest.empty()) {
        const std::size_t comma = rest.find(',');
        const std::string_view part = rest.substr(0, comma);
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
    return parts;
}

std::string Settings::helpText() const
{
    std::string help = "usage: " + m_program + " [flags]\n";
    for (const Value &value : m_values) {
        const SettingSpec &spec = value.spec;
        help += "  --" + spec.name + (spec.isSwitch ? "" : "=VALUE") + "  " + spec.help;
        if (!spec.defaultValue.empty()) {
            help += " (default " + spec.defaultValue + ")";
        }
        help += " [" + environmentName(spec.name) + "]\n";
    }
    return help;
}

Expected<Duration> parseDuration(std::string_view text)
{
    static constexpr std::int64_t MaxMilliseconds = 1'000'000'000;
    for (const DurationUnit &unit : DurationUnits) {
        if (text.size() <= unit.suffix.size()
            || text.substr(text.size() - unit.suffix.size()) != unit.suffix) {
            continue;
        }
        const auto n = toInteger(text.substr(0, text.size() - unit.suffix.size()));
        if (n && *n >= 0 && *n <= MaxMilliseconds / (unit.length / std::chrono::milliseconds(1))) {
            return unit.length * *n;
        }
        break;
    }
    return unexpectedError(ErrorKind::InvalidArgument,
                           "\"" + std::string(text) + "\" is not a valid duration",
                           "write a whole number followed by ms, s, m or h, such as 250ms");
}

Expected<std::string> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon != std::string_view::npos) {
        const std::optional<std::int64_t> port = toInteger(text.substr(colon + 1));
        if (isIpAddress(std::string(text.substr(0, colon))) && port && *port >= 0
            && *port <= 65535) {
            return std::string(text);
        }
    }
    return unexpectedError(ErrorKind::InvalidArgument,
                           "\"" + std::string(text) + "\" is not a valid address",
                           "write a numeric IP address and a port, such as 127.0.0.1:8080");
}

} // namespace marigoldspool
