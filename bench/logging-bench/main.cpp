// Measures the processor time of logging: a request's line written, left out by the bound of lines
// a second, and discarded, in one run. Send standard output to where the log would go.
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Settings.h"
#include "support/QuietLog.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>

using namespace marigoldspool;

namespace {

// Below the bound of lines a second, so that each line of the first part is written.
constexpr int WrittenLines = 200;
// Uses up what is left of the bound before the second part.
constexpr int FillingLines = 100;
constexpr int OtherLines = 2000;
constexpr double NanosecondsPerSecond = 1e9;
constexpr double NanosecondsPerMicrosecond = 1e3;

double processorNanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * NanosecondsPerSecond
        + static_cast<double>(time.tv_nsec);
}

// The fields of the line that ends a request, with values of the usual length.
void logRequest(int number)
{
    logEvent(LogLevel::Info, "request",
             {{"id", "r-7f3a9c21d4e80b65-" + std::to_string(number)},
              {"outcome", "answered"},
              {"status", std::to_string(200)},
              {"route", "chat-reply"},
              {"workspace", "workspace-07"},
              {"model", "assistant-finetune-143"},
              {"adapter", "adapter-22"},
              {"endpoint", "assistant-llm-31"},
              {"tries", std::to_string(1)},
              {"wait_ms", std::to_string(3)},
              {"first_ms", std::to_string(118)},
              {"total_ms", std::to_string(734)},
              {"config", std::to_string(12)},
              {"cause", ""}});
}

double measure(int lines)
{
    const double began = processorNanoseconds();
    for (int i = 0; i < lines; ++i) {
        logRequest(i);
    }
    return (processorNanoseconds() - began) / lines;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<SettingSpec> specs{
        {"rounds", "5", "rounds, of one second each", false, false},
    };
    const auto settings =
        Settings::parse("logging-bench", specs,
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings || settings->helpRequested()) {
        std::fprintf(stderr, "%s\n",
                     settings ? settings->helpText().c_str()
                              : describeError(settings.error()).c_str());
        return settings ? EXIT_SUCCESS : 2;
    }
    const auto rounds = settings->integer("rounds", 1, 1000);
    if (!rounds) {
        std::fprintf(stderr, "%s\n", describeError(rounds.error()).c_str());
        return 2;
    }
    const fake::QuietLog quiet;
    double discarded = 0;
    for (std::int64_t round = 0; round < *rounds; ++round) {
        discarded += measure(OtherLines);
    }
    initializeBoundedLogging("logging-bench");
    double written = 0;
    double leftOut = 0;
    for (std::int64_t round = 0; round < *rounds; ++round) {
        // The bound counts lines in windows of one second.
        std::this_thread::sleep_for(std::chrono::milliseconds(1100));
        written += measure(WrittenLines);
        measure(FillingLines);
        leftOut += measure(OtherLines);
    }
    const auto n = static_cast<double>(*rounds);
    std::fprintf(stderr,
                 "us of processor time a line: written %.2f, left out %.2f, discarded %.2f\n",
                 written / n / NanosecondsPerMicrosecond, leftOut / n / NanosecondsPerMicrosecond,
                 discarded / n / NanosecondsPerMicrosecond);
    return EXIT_SUCCESS;
}
