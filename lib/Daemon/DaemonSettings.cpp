#include "marigoldspool/Daemon/DaemonSettings.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace marigoldspool {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= 63 && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    });
}

Expected<std::string> readName(const Settings &settings, std::string_view name)
{
    const std::string &text = settings.text(name);
    if (!isValidName(text)) {
        return unexpectedError(ErrorKind::InvalidArgument,
                               "setting " + std::string(name) + " is \"" + text + "\"",
                               "use up to 63 lower-case letters, digits, dots and hyphens");
    }
    return text;
}

// Stores values and keeps the first error, so that each setting is read in one line.
class SettingsReader
{
public:
    template <class T, class Field>
    SettingsReader &read(Expected<T> value, Field &field)
    {
        if (value) {
            field = Field(std::move(*value));
        } else if (!m_error) {
            m_error = std::move(value.error());
        }
        return *this;
    }
    const std::optional<Error> &error() const { return m_error; }

private:
    std::optional<Error> m_error;
};

} // namespace

std::vector<SettingSpec> daemonSettingSpecs()
{
    return {
        {"instance", "", "name of this instance, the same after a restart", true},
        {"zone", "", "availability zone of this instance", true},
        {"listen", "127.0.0.1:8080", "IP:PORT for callers and operators"},
        {"peer-port-offset", "1000", "added to the port of --listen for other instances"},
        {"platform", "", "IP:PORT of the platform's object API", true},
        {"peer-secret", "", "secret that all instances share", true},
        {"drain-notice", "2s", "time for the load balancer to notice a planned stop"},
        {"stop-timeout", "10m",
         "maximum wait for open requests at a planned stop, after the drain notice"},
        {"store-timeout", "2s", "time limit for one call of the object API"},
        {"loads-per-second", "5", "model loads per second that the weight store can serve"},
        {"assumed-cold-start", "5s", "expected load time of a model without history"},
    };
}

Expected<std::string> shiftPort(std::string_view address, std::uint16_t offset)
{
    const std::size_t colon = address.rfind(':');
    const int port = std::atoi(std::string(address.substr(colon + 1)).c_str());
    if (port + offset > 65535) {
        return unexpectedError(ErrorKind::InvalidArgument,
                               "the peer port of " + std::string(address) + " is above 65535",
                               "choose a lower port or a lower --peer-port-offset");
    }
    // Port 0 asks the operating system for a free port.
    const int shifted = port == 0 ? 0 : port + offset;
    return std::string(address.substr(0, colon + 1)) + std::to_string(shifted);
}

Expected<DaemonSettings> readDaemonSettings(const Settings &settings)
{
    DaemonSettings result;
    SettingsReader reader;
    reader.read(readName(settings, "instance"), result.instance)
        .read(readName(settings, "zone"), result.zone)
        .read(settings.address("listen"), result.listenAddress)
        .read(settings.address("platform"), result.platformAddress)
        .read(settings.integer("peer-port-offset", 1, 50'000), result.peerPortOffset)
        .read(settings.duration("drain-notice", milliseconds(0), minutes(10)), result.drainNotice)
        .read(settings.duration("stop-timeout", milliseconds(1), hours(24)), result.stopTimeout)
        .read(settings.duration("store-timeout", milliseconds(10), minutes(1)), result.storeTimeout)
        .read(settings.integer("loads-per-second", 1, 1000), result.loadsPerSecond)
        .read(settings.duration("assumed-cold-start", milliseconds(1), hours(1)),
              result.assumedColdStart);
    if (reader.error()) {
        return tl::make_unexpected(*reader.error());
    }
    result.peerSecret = settings.text("peer-secret");
    reader.read(shiftPort(result.listenAddress, result.peerPortOffset), result.peerListenAddress);
    if (reader.error()) {
        return tl::make_unexpected(*reader.error());
    }
    return result;
}

} // namespace marigoldspool
