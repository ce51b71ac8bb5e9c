#include "Engine.h"

using namespace marigoldspool;
using namespace marigoldspool::standins;

namespace {

constexpr std::int64_t MostBytes = std::int64_t{1} << 50;
constexpr std::int64_t MostSlots = 100'000;

std::vector<SettingSpec> settingSpecs()
{
    return {{"listen", "127.0.0.1:0", "address to serve on"},
            {"endpoint", "engine", "name given in the status"},
            {"memory", "85899345920", "bytes for models"},
            {"slots", "16", "calls in the batch at once"},
            {"load-time", "2s", "time of a load from the weight store"},
            {"load-time-disk", "500ms", "time of a load of a model that was loaded before"},
            {"token-time", "5ms", "time of each step of the batch"},
            {"status-lag", "0ms", "age of the reported state"},
            {"fencing", "checked", "checked or ignored"},
            {"fresh-limit", "0", "calls at once while fresh; 0 for no such limit"},
            {"fresh-time", "0ms", "time after a start during which the engine is fresh"}};
}

EngineOptions readOptions(const Settings &settings)
{
    const auto duration = [&settings](std::string_view name) {
        return valueOrExit(settings.duration(name, Duration::zero(), std::chrono::hours(1)));
    };
    EngineOptions options;
    options.endpoint = settings.text("endpoint");
    options.memory =
        static_cast<std::uint64_t>(valueOrExit(settings.integer("memory", 0, MostBytes)));
    options.slots = static_cast<int>(valueOrExit(settings.integer("slots", 1, MostSlots)));
    options.loadTime = duration("load-time");
    options.loadTimeDisk = duration("load-time-disk");
    options.tokenTime = duration("token-time");
    options.statusLag = duration("status-lag");
    options.freshTime = duration("fresh-time");
    options.freshLimit =
        static_cast<int>(valueOrExit(settings.integer("fresh-limit", 0, MostSlots)));
    const std::string &fencing = settings.text("fencing");
    if (fencing != "checked" && fencing != "ignored") {
        std::cerr << "--fencing is \"" << fencing << "\"; give checked or ignored\n";
        std::exit(2);
    }
    options.checksFencing = fencing == "checked";
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(argv[0]);
    const auto settings =
        Settings::parse("engine-standin", settingSpecs(),
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (const auto code = checkSettings(settings)) {
        return *code;
    }
    boost::asio::io_context io;
    Engine engine(io, readOptions(*settings));
    return serve(io, engine, valueOrExit(settings->address("listen")));
}
