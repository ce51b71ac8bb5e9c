// Runs the commands against the platform stand-in over HTTP. The in-memory store cannot reveal a
// wrong path or encoding, or a fault in the event loop.
#include "marigoldspool/Operator/InstanceStatus.h"
#include "marigoldspool/Operator/OperatorCommand.h"
#include "marigoldspool/Platform/HttpObjectStore.h"
#include "standins/platform-standin/PlatformServer.h"

#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

const std::string ExampleFile = MARIGOLDSPOOL_SOURCE_DIR "/examples/marigoldspool.rules";

std::string readExample()
{
    std::ifstream file(ExampleFile, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

struct Fixture {
    boost::asio::io_context io{1};
    PlatformServer server{io, {boost::asio::ip::make_address("127.0.0.1"), 0}, 7};
    Metrics metrics;
    SystemClock clock;
    SeededRandomSource random{3};
    std::unique_ptr<InstanceClient> instances = makeHttpInstanceClient(io);
    std::unique_ptr<ObjectStore> store;
    std::ostringstream out;
    std::ostringstream err;

    ExitCode run(std::vector<std::string> arguments)
    {
        arguments.push_back("--platform=" + server.address());
        // Long enough that a busy machine does not cause a timeout.
        arguments.emplace_back("--store-timeout=60s");
        std::vector<const char *> words;
        words.reserve(arguments.size());
        for (const std::string &argument : arguments) {
            words.push_back(argument.c_str());
        }
        out.str("");
        err.str("");
        OperatorContext context{
            [this](const std::string &address, Duration timeout) -> ObjectStore & {
                store = makeHttpObjectStore(io, address, timeout, metrics);
                return *store;
            },
            *instances,
            clock,
            random,
            [this] {
                return io.run_one() > 0;
            },
            [](Duration) {},
            out,
            err};
        return runOperatorCommand(words, context);
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture,
                  "the example rule file is accepted without warnings and is returned unchanged")
{
    CHECK(run({"apply", ExampleFile}) == ExitCode::Success);
    CHECK(err.str().empty());
    CHECK(run({"show"}) == ExitCode::Success);
    CHECK(out.str() == readExample());
}

TEST_CASE_FIXTURE(Fixture,
                  "every change takes effect once while the store loses half of its responses")
{
    REQUIRE(run({"apply", ExampleFile}) == ExitCode::Success);
    server.setFaults({PlatformFaults::Mode::LoseAnswers, std::chrono::milliseconds(0), 0.5});
    int expected = 1;
    for (int i = 0; i < 10; ++i) {
        const char *verb = i % 2 == 0 ? "drain" : "return";
        REQUIRE(run({"zone", verb, "south-a"}) == ExitCode::Success);
        ++expected;
    }
    server.setFaults({});
    REQUIRE(run({"show"}) == ExitCode::Success);
    CHECK(out.str() == readExample());
    CHECK(err.str().find("version " + std::to_string(expected) + ",") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture,
                  "an unreachable or rate-limited store and a missing instance set the exit code")
{
    server.setFaults({PlatformFaults::Mode::Away, std::chrono::milliseconds(0), 1});
    CHECK(run({"show"}) == ExitCode::Unreachable);
    server.setFaults({PlatformFaults::Mode::Limited, std::chrono::milliseconds(0), 1});
    CHECK(run({"zone", "drain", "south-a"}) == ExitCode::Unreachable);
    CHECK(run({"wait", "--in-force=1", "--timeout=0s"}) == ExitCode::TimedOut);
    server.setFaults({});
    server.setInstances({{"i-1", "south-a", "127.0.0.1:1", PlatformState::Live}});
    CHECK(run({"status"}) == ExitCode::Unreachable);
    CHECK(out.str().find("no answer") != std::string::npos);
}
