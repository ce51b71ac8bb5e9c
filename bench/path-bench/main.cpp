#include "LoadRun.h"

#include "marigoldspool/Support/Settings.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <optional>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

using namespace marigoldspool;
using namespace marigoldspool::bench;

namespace {

// Bounds the load whatever the flags say.
constexpr std::uint64_t MaxRequests = 2'000'000;

std::vector<SettingSpec> settingSpecs()
{
    return {{"target", "", "address to measure", true},
            {"direct", "", "address of the stand-in that the target calls; measured beside it"},
            {"rate", "1000", "requests a second"},
            {"duration", "5s", "time of each round"},
            {"rounds", "2", "rounds; each measures the direct address, then the target"},
            {"connections", "32", "connections to each address"},
            {"path", "/v1/chat/completions", "path of each request"},
            {"key", "", "key sent as Authorization: Bearer"},
            {"model", "assistant", "model of each request"},
            {"tokens", "16", "max_tokens of each request"},
            {"body", "", "body to send instead of a model request"},
            {"stream", "", "ask for streams", false, true},
            {"check-ids", "", "count answers without the id of their request", false, true}};
}

template <class T>
T valueOrExit(Expected<T> value)
{
    if (!value) {
        std::cerr << describeError(value.error()) << '\n';
        std::exit(2);
    }
    return std::move(*value);
}

boost::asio::ip::tcp::endpoint readEndpoint(const Settings &settings, std::string_view name)
{
    const std::string address = valueOrExit(settings.address(name));
    const std::size_t colon = address.rfind(':');
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon));
    if (!ip.is_loopback()) {
        std::cerr << "--" << name << " is not a loopback address; give 127.0.0.1:PORT\n";
        std::exit(2);
    }
    return {ip, static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

LoadOptions readOptions(const Settings &settings)
{
    LoadOptions options;
    options.rate = static_cast<double>(valueOrExit(settings.integer("rate", 1, 200'000)));
    options.duration = valueOrExit(
        settings.duration("duration", std::chrono::milliseconds(100), std::chrono::minutes(10)));
    options.connections =
        static_cast<std::size_t>(valueOrExit(settings.integer("connections", 1, 4096)));
    options.path = settings.text("path");
    options.key = settings.text("key");
    options.checkIds = settings.isSet("check-ids");
    options.body = settings.text("body");
    if (options.body.empty()) {
        const nlohmann::json body{
            {"model", settings.text("model")},
            {"stream", settings.isSet("stream")},
            {"max_tokens", valueOrExit(settings.integer("tokens", 1, 100'000))},
            {"messages", {{{"role", "user"}, {"content", std::string(200, 'p')}}}}};
        options.body = body.dump();
    }
    return options;
}

double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * last);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void printResult(std::string_view name, LoadResult &result)
{
    const double done = static_cast<double>(result.latencies.size());
    std::printf("%-7.*s %9.1f %9.3f %9.3f %9.3f %9.3f %9.3f %10.0f %7llu %10llu %7llu  ",
                static_cast<int>(name.size()), name.data(), done / result.seconds,
                percentile(result.latencies, 0.5), percentile(result.latencies, 0.99),
                percentile(result.latencies, 0.999), percentile(result.firstBytes, 0.5),
                percentile(result.firstBytes, 0.99),
                static_cast<double>(result.events) / result.seconds,
                static_cast<unsigned long long>(result.failed),
                static_cast<unsigned long long>(result.unfinished),
                static_cast<unsigned long long>(result.crossed));
    for (const auto &[status, n] : result.statuses) {
        std::printf("%d=%llu ", status, static_cast<unsigned long long>(n));
    }
    std::printf("\n");
}

void printAdded(LoadResult &direct, LoadResult &target)
{
    const auto added = [](std::vector<double> &from, std::vector<double> &to, double share) {
        return percentile(to, share) - percentile(from, share);
    };
    std::printf("%-7s %9s %9.3f %9.3f %9.3f %9.3f %9.3f\n", "added", "",
                added(direct.latencies, target.latencies, 0.5),
                added(direct.latencies, target.latencies, 0.99),
                added(direct.latencies, target.latencies, 0.999),
                added(direct.firstBytes, target.firstBytes, 0.5),
                added(direct.firstBytes, target.firstBytes, 0.99));
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings =
        Settings::parse("path-bench", settingSpecs(),
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings) {
        std::cerr << describeError(settings.error()) << '\n';
        return 2;
    }
    if (settings->helpRequested()) {
        std::cout << settings->helpText();
        return 0;
    }
    const LoadOptions options = readOptions(*settings);
    const auto rounds = valueOrExit(settings->integer("rounds", 1, 100));
    const double seconds = std::chrono::duration<double>(options.duration).count();
    if (options.rate * seconds * static_cast<double>(rounds) > static_cast<double>(MaxRequests)) {
        std::cerr << "more than " << MaxRequests << " requests; lower rate, duration or rounds\n";
        return 2;
    }
    const auto target = readEndpoint(*settings, "target");
    std::optional<boost::asio::ip::tcp::endpoint> direct;
    if (!settings->text("direct").empty()) {
        direct = readEndpoint(*settings, "direct");
    }
    boost::asio::io_context io;
    LoadResult directResult;
    LoadResult targetResult;
    std::uint64_t firstId = 0;
    for (std::int64_t round = 0; round < rounds; ++round) {
        if (direct) {
            directResult.merge(LoadRun(io, options, *direct).run(firstId));
            firstId += MaxRequests;
        }
        targetResult.merge(LoadRun(io, options, target).run(firstId));
        firstId += MaxRequests;
    }
    std::printf("%-7s %9s %9s %9s %9s %9s %9s %10s %7s %10s %7s  statuses\n", "ms", "req/s", "p50",
                "p99", "p99.9", "first50", "first99", "events/s", "failed", "unfinished",
                "crossed");
    if (direct) {
        printResult("direct", directResult);
    }
    printResult("target", targetResult);
    if (direct) {
        printAdded(directResult, targetResult);
    }
    return targetResult.failed + targetResult.unfinished + targetResult.crossed == 0 ? 0 : 1;
}
