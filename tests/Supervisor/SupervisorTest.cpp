#include "marigoldspool/Supervisor/Supervisor.h"

#include "support/QuietLog.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

class FakeService final : public Service
{
public:
    FakeService(std::string name, std::vector<std::string> &journal)
        : m_name(std::move(name))
        , m_journal(journal)
    { }

    std::string_view name() const override { return m_name; }
    Expected<void> start() override
    {
        m_journal.push_back("start " + m_name);
        if (failOnStart) {
            return unexpectedError(ErrorKind::Unavailable, "port taken", "free the port");
        }
        return {};
    }
    void stop(std::function<void()> stopped) override
    {
        m_journal.push_back("stop " + m_name);
        stopped();
    }
    void failNow() { fail(makeError(ErrorKind::Internal, "broken", "see the log")); }

    bool failOnStart = false;

private:
    std::string m_name;
    std::vector<std::string> &m_journal;
};

struct Tree {
    const fake::QuietLog quiet;
    boost::asio::io_context io;
    SystemClock clock;
    std::vector<std::string> journal;
    SupervisorNode root{
        "root", io, clock, {std::chrono::milliseconds(1), std::chrono::milliseconds(2), 2}};
    FakeService *a = add("a");
    FakeService *b = add("b");

    FakeService *add(std::string name)
    {
        auto service = std::make_unique<FakeService>(std::move(name), journal);
        FakeService *raw = service.get();
        root.add(std::move(service));
        return raw;
    }
};

using Journal = std::vector<std::string>;

} // namespace

TEST_CASE("children start in order and stop in reverse order")
{
    Tree tree;
    REQUIRE(tree.root.start());
    bool stopped = false;
    tree.root.stop([&] {
        stopped = true;
    });
    tree.io.run();
    CHECK(stopped);
    CHECK(tree.journal == Journal{"start a", "start b", "stop b", "stop a"});
}

TEST_CASE("a failed start stops the children already started and returns the error")
{
    Tree tree;
    tree.b->failOnStart = true;
    const auto started = tree.root.start();
    tree.io.run();
    REQUIRE(!started);
    CHECK(started.error().message == "port taken");
    CHECK(tree.journal == Journal{"start a", "start b", "stop a"});
}

TEST_CASE("a failed child is restarted once and its siblings keep running")
{
    Tree tree;
    REQUIRE(tree.root.start());
    tree.journal.clear();
    tree.a->failNow();
    tree.a->failNow(); // A second report of the same failure must not restart it twice.
    tree.io.run();
    CHECK(tree.journal == Journal{"stop a", "start a"});
}

TEST_CASE("failures beyond the limit are escalated to the parent")
{
    Tree tree;
    int escalations = 0;
    tree.root.setFailureHandler([&](const Error &) {
        ++escalations;
    });
    REQUIRE(tree.root.start());
    for (int i = 0; i < 3; ++i) {
        tree.a->failNow();
        tree.io.run();
        tree.io.restart();
    }
    CHECK(escalations == 1);
}
