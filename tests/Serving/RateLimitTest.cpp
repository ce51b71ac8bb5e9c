// Fleets before one endpoint that names the rate of requests that it takes from all instances.
#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Support/RandomSource.h"

#include <algorithm>
#include <memory>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const EndpointId Limited("e1");
const ZoneName Zones[] = {ZoneName("z1"), ZoneName("z2"), ZoneName("z3")};

/// Instances with one limited endpoint, which all have been told of its limit.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t instances, double limit, std::uint64_t seed)
        : m_limit(limit)
        , m_random(seed)
    {
        auto configuration = std::make_shared<ServingConfiguration>();
        EndpointPool pool;
        pool.name = PoolName("p");
        pool.engine.emplace();
        configuration->pools[pool.name] = pool;
        m_configuration = configuration;
        for (std::size_t i = 0; i < instances; ++i) {
            join();
        }
        tellMembers();
    }

    void join()
    {
        const std::size_t i = m_members.size();
        m_members.push_back({InstanceId("front-" + std::to_string(i)), Zones[i % 3]});
        m_fleet.push_back(
            std::make_unique<EndpointDirectory>(m_members.back().zone, clock, m_members.back().id));
        EndpointDirectory &directory = *m_fleet.back();
        directory.setConfiguration(m_configuration);
        directory.setMembers(m_members);
        directory.setStartPhase(1 - m_random.uniform());
        ListedEndpoint entry;
        entry.id = Limited;
        entry.pool = PoolName("p");
        entry.zone = Zones[0];
        entry.address = "127.0.0.1:1";
        entry.slots = 1'000'000;
        entry.startedAtMs = 1;
        entry.models = {{ModelName("m"), {}}};
        directory.apply(entry);
        name(directory);
    }

    void tellMembers()
    {
        for (const auto &directory : m_fleet) {
            directory->setMembers(m_members);
        }
    }

    // Requests wait at the instances that `hasDemand` selects, for `time`.
    void press(Duration time, const std::function<bool(std::size_t)> &hasDemand)
    {
        constexpr Duration Step = 50ms;
        for (const SteadyTime end = clock.now() + time; clock.now() < end; clock.advance(Step)) {
            for (std::size_t i = 0; i < m_fleet.size(); ++i) {
                while (hasDemand(i) && trySend(*m_fleet[i])) {
                    ++sentBy[i];
                }
                m_fleet[i]->onTick();
            }
            if (clock.now() >= m_nextNotices) {
                m_nextNotices = clock.now() + 1s;
                exchangeNotices();
            }
        }
    }

    // The most requests within 4 s.
    std::size_t mostWithinWindow() const
    {
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto last = std::upper_bound(first, arrivals.end(), *first + 4s);
            most = std::max<std::size_t>(most, last - first);
        }
        return most;
    }
    // The users' bound.
    double maxWithinWindow() const { return 1.5 * m_limit * 4 + 5; }

    ManualClock clock;
    std::vector<SteadyTime> arrivals;
    std::map<std::size_t, int> sentBy;

private:
    void name(EndpointDirectory &directory)
    {
        EndpointStatement statement;
        statement.rateLimit = m_limit;
        directory.onStatement({Limited, 1}, statement, StatementSource::Answer, clock.now());
    }

    // What instances tell each other.
    void exchangeNotices()
    {
        for (const auto &from : m_fleet) {
            for (const RateLimitNotice &notice : from->statements().rateLimitNotices(false)) {
                for (const auto &to : m_fleet) {
                    to->onRateLimitNotice(notice);
                }
            }
        }
    }

    // Each answer names the limit again.
    bool trySend(EndpointDirectory &directory)
    {
        EndpointQuery query;
        query.pool = m_configuration->pool(PoolName("p"));
        query.model = ModelName("m");
        if (directory.choose(query).kind != ChoiceKind::Send) {
            return false;
        }
        directory.onSent(Limited);
        arrivals.push_back(clock.now());
        name(directory);
        directory.onResult(Limited, EndpointResult::Answered, ModelName("m"));
        return true;
    }

    double m_limit;
    SeededRandomSource m_random;
    ServingConfigurationPtr m_configuration;
    std::vector<TopologyMember> m_members;
    std::vector<std::unique_ptr<EndpointDirectory>> m_fleet;
    SteadyTime m_nextNotices;
};

} // namespace

// A share of one request for each instance exceeded low limits, and a fraction of one was never
// sent.
TEST_CASE("a fleet of any size keeps the rate that an endpoint names, and uses it")
{
    for (const std::size_t instances : {1, 8, 72}) {
        for (const double limit : {0.1, 1.0, 2.4, 20.0, 100.0}) {
            for (std::uint64_t seed = 1; seed <= 2; ++seed) {
                CAPTURE(instances);
                CAPTURE(limit);
                CAPTURE(seed);
                LimitedFleet fleet(instances, limit, seed);
                fleet.press(40s, [](std::size_t) {
                    return true;
                });
                CHECK(fleet.mostWithinWindow() <= fleet.maxWithinWindow());
                // Each sender may have a part of a request left.
                const double maxSenders = 2 * limit + 3;
                CHECK(fleet.arrivals.size() >= 0.9 * limit * 40 - maxSenders);
                // After a time without requests all senders may send one at once.
                fleet.clock.advance(20s);
                fleet.press(5s, [](std::size_t) {
                    return true;
                });
                CHECK(fleet.mostWithinWindow() <= fleet.maxWithinWindow());
            }
        }
    }
}

TEST_CASE("the rate of an endpoint holds while instances join that the others do not know yet")
{
    const auto all = [](std::size_t) {
        return true;
    };
    for (const double limit : {0.1, 1.0, 2.4, 20.0}) {
        CAPTURE(limit);
        LimitedFleet fleet(8, limit, 1);
        fleet.press(10s, all);
        fleet.join();
        fleet.join();
        fleet.press(2s, all);
        fleet.tellMembers();
        fleet.press(10s, all);
        CHECK(fleet.mostWithinWindow() <= fleet.maxWithinWindow());
    }
}

// Callers of a zone without a sender would be refused although the endpoint can serve some of them.
TEST_CASE("each zone has an instance that sends to a limited endpoint")
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        LimitedFleet fleet(72, 1, seed);
        fleet.press(20s, [](std::size_t) {
            return true;
        });
        std::set<std::size_t> zones;
        for (const auto &[instance, count] : fleet.sentBy) {
            zones.insert(instance % 3);
        }
        CHECK(zones.size() == 3);
    }
}

namespace {

/// One record, told of answers in any order.
struct StatementsOfOne {
    void answer(std::optional<double> limit, SteadyTime askedAt)
    {
        EndpointStatement statement;
        statement.rateLimit = limit;
        statement.hasNoRateLimit = !limit;
        statements.onStatement({Limited, 1}, statement, StatementSource::Answer, askedAt);
    }

    ManualClock clock;
    EndpointStatements statements{clock};
};

} // namespace

TEST_CASE_FIXTURE(StatementsOfOne, "a rate limit ends only with an answer to a later request")
{
    const SteadyTime early = clock.now();
    clock.advance(1s);
    answer(2.5, early);
    CHECK(statements.rateLimit(Limited) == 2.5);
    SUBCASE("an answer to an earlier request that comes late")
    {
        clock.advance(1s);
        answer(std::nullopt, early);
        CHECK(statements.rateLimit(Limited) == 2.5);
    }
    SUBCASE("an answer that says nothing about rates")
    {
        statements.onStatement({Limited, 1}, {}, StatementSource::Report, clock.now() + 1s);
        CHECK(statements.rateLimit(Limited) == 2.5);
    }
    SUBCASE("an answer to a later request")
    {
        clock.advance(1ms);
        answer(std::nullopt, clock.now());
        CHECK_FALSE(statements.rateLimit(Limited));
        // Requests return gradually.
        CHECK(statements.usableFraction(Limited) == 0);
        clock.advance(EndpointStatements::ReturnTime);
        CHECK(statements.usableFraction(Limited) == 1);
    }
    SUBCASE("a later process")
    {
        statements.onListed({Limited, 2});
        CHECK_FALSE(statements.rateLimit(Limited));
        CHECK(statements.usableFraction(Limited) == 1);
    }
    SUBCASE("no news")
    {
        const auto isListed = [](const EndpointId &) {
            return true;
        };
        clock.advance(EndpointStatements::RateLimitLifetime - 1ms);
        statements.onTick(isListed);
        CHECK(statements.rateLimit(Limited));
        clock.advance(1ms);
        statements.onTick(isListed);
        CHECK_FALSE(statements.rateLimit(Limited));
    }
}

TEST_CASE_FIXTURE(StatementsOfOne, "the newest of what instances tell of a rate limit counts")
{
    const SteadyTime start = clock.now();
    clock.advance(10s);
    const EndpointIncarnation process{Limited, 1};
    answer(2, clock.now());
    statements.onRateLimitNotice({process, 7, start});
    CHECK(statements.rateLimit(Limited) == 2);
    statements.onRateLimitNotice({process, std::nullopt, start});
    CHECK(statements.rateLimit(Limited) == 2);
    CHECK(statements.rateLimitNotices(false).size() == 1);
    clock.advance(1s);
    statements.onRateLimitNotice({process, std::nullopt, clock.now()});
    CHECK_FALSE(statements.rateLimit(Limited));
    statements.onRateLimitNotice({process, 2, clock.now() - 1s});
    CHECK_FALSE(statements.rateLimit(Limited));
    statements.onRateLimitNotice({process, 3, clock.now() + 1ms});
    CHECK(statements.rateLimit(Limited) == 3);
    // Only a hub tells what others have told it.
    CHECK(statements.rateLimitNotices(false).empty());
    CHECK(statements.rateLimitNotices(true).size() == 1);
}
