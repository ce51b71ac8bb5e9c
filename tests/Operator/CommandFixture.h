#ifndef MARIGOLDSPOOL_TESTS_OPERATOR_COMMANDFIXTURE_H
#define MARIGOLDSPOOL_TESTS_OPERATOR_COMMANDFIXTURE_H

#include "marigoldspool/Config/ConfigStore.h"
#include "marigoldspool/Operator/InstanceStatus.h"
#include "marigoldspool/Operator/OperatorCommand.h"
#include "support/FaultyObjectStore.h"

#include <cstdio>
#include <fstream>
#include <optional>
#include <sstream>

#include <unistd.h>

#include <doctest/doctest.h>

namespace marigoldspool {

/// Returns the response that the test set for an address; other addresses are unreachable.
class FakeInstanceClient final : public InstanceClient
{
public:
    std::map<std::string, InstanceResponse> answers;
    std::vector<std::string> targets;

    void get(std::string_view address, std::string_view target, Duration,
             Callback<InstanceResponse> done) override
    {
        targets.emplace_back(target);
        m_queue.push_back([this, address = std::string(address), done = std::move(done)] {
            const auto it = answers.find(address);
            done(it != answers.end()
                     ? Expected<InstanceResponse>(it->second)
                     : unexpectedError(ErrorKind::Unavailable, address + " is gone", "start it"));
        });
    }

    bool step()
    {
        if (m_queue.empty()) {
            return false;
        }
        const std::function<void()> next = std::move(m_queue.front());
        m_queue.pop_front();
        next();
        return true;
    }

private:
    std::deque<std::function<void()>> m_queue;
};

/// Runs commands against a store and instances in memory.
class CommandFixture
{
public:
    ~CommandFixture()
    {
        if (!m_fileName.empty()) {
            std::remove(m_fileName.c_str());
        }
    }

    ExitCode run(std::vector<const char *> arguments)
    {
        out.str("");
        err.str("");
        OperatorContext context{[this](const std::string &address, Duration) -> ObjectStore & {
                                    openedAddress = address;
                                    return store;
                                },
                                instances,
                                clock,
                                random,
                                [this] {
                                    return runOne();
                                },
                                [this](Duration duration) {
                                    sleep(duration);
                                },
                                out,
                                err};
        return runOperatorCommand(arguments, context);
    }

    /// Writes a rule file and returns its name.
    const char *file(const std::string &text)
    {
        if (m_fileName.empty()) {
            char name[] = "/tmp/marigoldspool-test-XXXXXX";
            const int fd = mkstemp(name);
            REQUIRE(fd >= 0);
            close(fd);
            m_fileName = name;
        }
        std::ofstream(m_fileName, std::ios::binary) << text;
        return m_fileName.c_str();
    }

    /// Publishes as another operator and completes before it returns.
    void publishAsOtherOperator(const std::string &rules, std::uint64_t expectedVersion)
    {
        std::optional<Expected<std::uint64_t>> result;
        publishConfig(store, clock, random, rules, expectedVersion, "another operator",
                      [&](Expected<std::uint64_t> value) {
                          result = std::move(value);
                      });
        while (!result) {
            store.stepNewest();
        }
        REQUIRE(result->has_value());
    }

    VersionedRules inForce()
    {
        std::optional<Expected<VersionedRules>> result;
        fetchConfig(store, [&](Expected<VersionedRules> value) {
            result = std::move(value);
        });
        store.runAll();
        REQUIRE(result->has_value());
        return **result;
    }

    void addInstance(const std::string &id, const std::string &address,
                     const std::optional<InstanceStatus> &status)
    {
        listed.push_back({id, "a", address, PlatformState::Live});
        if (status) {
            instances.answers[address] = {200, serializeStatus(*status)};
        }
    }

    static InstanceStatus statusOf(const std::string &id, std::uint64_t version)
    {
        InstanceStatus status;
        status.instance = InstanceId(id);
        status.zone = ZoneName("a");
        status.ready = true;
        status.configVersion = version;
        return status;
    }

    ManualClock clock;
    FaultyObjectStore store{clock};
    FakeInstanceClient instances;
    /// The instances that the platform lists.
    std::vector<PlatformInstance> listed;
    SeededRandomSource random{9};
    std::ostringstream out;
    std::ostringstream err;
    std::string openedAddress;
    /// Called by sleep() after it has advanced the clock.
    std::function<void()> onSleep;
    /// Called before each completion.
    std::function<void()> onRunOne;

private:
    bool runOne()
    {
        if (onRunOne) {
            onRunOne();
        }
        store.fake().setInstances(listed);
        if (store.pending() > 0) {
            store.step();
            return true;
        }
        return instances.step();
    }

    void sleep(Duration duration)
    {
        clock.advance(duration);
        if (onSleep) {
            onSleep();
        }
    }

    std::string m_fileName;
};

} // namespace marigoldspool

#endif
