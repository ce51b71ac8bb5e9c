#include "ConfigurationCheckMode.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>
#include <unistd.h>

using namespace marigoldspool;

TEST_CASE("the check of a configuration file tells findings from wrong use by its exit code")
{
    const auto directory = std::filesystem::temp_directory_path()
        / ("configuration-check-" + std::to_string(::getpid()));
    std::filesystem::create_directory(directory);
    const auto write = [&](const char *name, const std::string &text) {
        std::ofstream(directory / name) << text;
        return (directory / name).string();
    };
    const auto configuration = [](int version, const char *service) {
        return R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r","host":"h","prefix":"/","kind":"stream","service":")"
            + service + R"("}],"services":[{"name":"s"}]})";
    };
    const std::string sound = write("sound", configuration(2, "s"));
    const std::string present = write("present", configuration(1, "s"));
    const std::string faulty = write("faulty", configuration(2, "t"));
    const std::string unreadable = write("unreadable", "{");
    const auto check = [](const std::string &candidate, const std::string &inForce) {
        std::ostringstream out;
        std::ostringstream errors;
        const int code = checkConfigurationFile(candidate, inForce, out, errors);
        CHECK((code == 64) == !errors.str().empty());
        return std::make_pair(code, out.str());
    };
    CHECK(check(sound, "") == std::make_pair(0, std::string()));
    CHECK(check(sound, present).first == 0);
    CHECK(check(present, sound).first == 1);
    CHECK(check(faulty, present).second.find("change: route r changed: services from s:1 to t:1")
          != std::string::npos);
    CHECK(check(faulty, "").first == 1);
    CHECK(check(unreadable, "").first == 1);
    CHECK(check(sound, unreadable).first == 64);
    CHECK(check((directory / "none").string(), "").first == 64);
    std::filesystem::remove_all(directory);
}
