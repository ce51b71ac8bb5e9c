#ifndef MARIGOLDSPOOL_SUPPORT_SETTINGS_H
#define MARIGOLDSPOOL_SUPPORT_SETTINGS_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// One setting: the flag `--name` or the environment variable `MARIGOLDSPOOL_NAME`.
struct SettingSpec {
    std::string name;
    std::string defaultValue;
    std::string help;
    bool required = false;
    /// A switch takes no value; its value is "true" when given.
    bool isSwitch = false;
};

/// The values of all settings of one program and its remaining arguments.
class Settings
{
public:
    /// Takes each value from its flag, else from its environment variable, else from its default.
    /// Fails with InvalidArgument on an unknown flag or a missing required setting. `--help`
    /// makes helpRequested() true.
    static Expected<Settings> parse(std::string_view program, std::vector<SettingSpec> specs,
                                    gsl::span<const char *const> arguments);

    const std::string &text(std::string_view name) const;
    bool isSet(std::string_view name) const;
    /// Fails with InvalidArgument outside [\p minValue, \p maxValue].
    Expected<std::int64_t> integer(std::string_view name, std::int64_t minValue,
                                   std::int64_t maxValue) const;
    /// A duration such as `250ms`, `5s` or `2m`.
    Expected<Duration> duration(std::string_view name, Duration minValue, Duration maxValue) const;
    /// An address such as `127.0.0.1:8080`: a numeric IP address and a port.
    Expected<std::string> address(std::string_view name) const;
    /// Comma-separated values; empty parts are skipped.
    std::vector<std::string> list(std::string_view name) const;

    gsl::span<const std::string> positional() const { return m_positional; }
    bool helpRequested() const { return m_helpRequested; }
    std::string helpText() const;

private:
    struct Value {
        SettingSpec spec;
        std::string text;
    };
    const Value &find(std::string_view name) const;

    std::string m_program;
    std::vector<Value> m_values;
    std::vector<std::string> m_positional;
    bool m_helpRequested = false;
};

/// Parses `250ms`, `5s`, `2m` or `1h`.
Expected<Duration> parseDuration(std::string_view text);
/// Checks `IP:PORT` with a numeric IPv4 address, or an IPv6 address in brackets.
Expected<std::string> parseAddress(std::string_view text);

} // namespace marigoldspool

#endif
