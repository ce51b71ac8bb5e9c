#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Support/RandomSource.h"

#include <cstdlib>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

constexpr EndpointStatement LeavingStatement{true};

EndpointStatement pauseOf(Duration length)
{
    return {false, length};
}

class StatementsFixture
{
public:
    explicit StatementsFixture(int pools = 1)
        : directory(ZoneName("z1"), clock)
    {
        auto newConfiguration = std::make_shared<ServingConfiguration>();
        for (int i = 0; i < pools; ++i) {
            EndpointPool pool;
            pool.name = poolName(i);
            pool.engine.emplace();
            newConfiguration->pools[pool.name] = pool;
        }
        configuration = newConfiguration;
        directory.setConfiguration(configuration);
    }

    static PoolName poolName(int index) { return PoolName("p" + std::to_string(index)); }

    void list(const EndpointIncarnation &incarnation, int pool = 0, bool leaving = false)
    {
        ListedEndpoint entry;
        entry.id = incarnation.endpoint;
        entry.startedAtMs = incarnation.startedAtMs;
        entry.pool = poolName(pool);
        entry.zone = ZoneName("z1");
        entry.address = "127.0.0.1:1";
        entry.slots = 8;
        entry.leaving = leaving;
        entry.models = {{ModelName("m"), {}}};
        directory.apply(entry);
    }

    EndpointChoice choose(int pool = 0)
    {
        EndpointQuery query;
        query.pool = configuration->pool(poolName(pool));
        query.model = ModelName("m");
        return directory.choose(query);
    }

    void state(const EndpointIncarnation &from, const EndpointStatement &statement)
    {
        directory.onStatement(from, statement, StatementSource::Answer, clock.now());
    }

    void advance(Duration by)
    {
        clock.advance(by);
        directory.onTick();
    }

    // Number of requests that the directory lets through at once; they end again.
    int concurrentRequests()
    {
        int count = 0;
        for (EndpointChoice choice = choose(); choice.kind == ChoiceKind::Send; choice = choose()) {
            directory.onSent(choice.endpoint);
            ++count;
        }
        for (int i = 0; i < count; ++i) {
            directory.onResult(first.endpoint, EndpointResult::Abandoned, ModelName("m"));
        }
        return count;
    }

    ManualClock clock;
    ServingConfigurationPtr configuration;
    EndpointDirectory directory;
    EndpointIncarnation first{EndpointId("e1"), 100};
    EndpointIncarnation second{EndpointId("e2"), 100};
};

} // namespace

TEST_CASE_FIXTURE(StatementsFixture,
                  "an endpoint that has stated that it is leaving gets nothing until a later start")
{
    list(first);
    state(first, LeavingStatement);
    const auto isUnused = [this] {
        return choose().kind == ChoiceKind::NoEndpoint && !directory.canUse(first.endpoint)
            && !directory.canSend(first.endpoint);
    };
    CHECK(isUnused());
    SUBCASE("an entry that says ready")
    {
        list(first);
    }
    SUBCASE("an entry of an earlier process")
    {
        list({first.endpoint, 99});
    }
    SUBCASE("an entry that comes back after its removal")
    {
        directory.remove(first.endpoint, Duration::zero());
        advance(1s);
        REQUIRE(directory.find(first.endpoint) == nullptr);
        advance(5min);
        list(first);
    }
    SUBCASE("an hour without news")
    {
        advance(1h);
    }
    CHECK(isUnused());
    list({first.endpoint, 101});
    CHECK(choose().kind == ChoiceKind::Send);
    // The last answers of the process before may come late.
    state(first, LeavingStatement);
    state(first, pauseOf(5s));
    CHECK(choose().kind == ChoiceKind::Send);
}

TEST_CASE_FIXTURE(StatementsFixture, "an endpoint that wants no requests gets none before the end")
{
    list(first);
    state(first, pauseOf(10s));
    state(first, pauseOf(1s));
    state(first, pauseOf(0s));
    EndpointChoice choice = choose();
    CHECK(choice.kind == ChoiceKind::Busy);
    CHECK(choice.isPaused);
    CHECK(choice.retryIn == 10s);
    CHECK(directory.canUse(first.endpoint));
    CHECK_FALSE(directory.canSend(first.endpoint));
    list(second);
    CHECK(choose().endpoint == second.endpoint);
    state(second, pauseOf(4s));
    CHECK(choose().retryIn == 4s);
    advance(4s);
    CHECK(choose().endpoint == second.endpoint);
    state(second, pauseOf(1h));
    advance(5999ms);
    CHECK(choose().kind == ChoiceKind::Busy);
    list({first.endpoint, 101});
    CHECK(choose().endpoint == first.endpoint);
    state({first.endpoint, 101}, pauseOf(1h));
    CHECK(choose().retryIn == EndpointStatements::MaxNoRequests - 5999ms);
    advance(EndpointStatements::MaxNoRequests);
    CHECK(choose().kind == ChoiceKind::Send);
}

// All requests that had waited would come at once and be refused again.
TEST_CASE_FIXTURE(StatementsFixture, "after a pause requests return gradually")
{
    list(first);
    const int usual = concurrentRequests();
    state(first, pauseOf(2s));
    CHECK(concurrentRequests() == 0);
    std::vector<int> counts;
    advance(2s);
    for (int i = 0; i <= 4; ++i) {
        counts.push_back(concurrentRequests());
        advance(EndpointStatements::ReturnTime / 4);
    }
    CHECK(counts == std::vector<int>{1, 1, 3, 4, usual});
    CHECK(concurrentRequests() == usual);
    CHECK(directory.statements().pausedCount() == 0);
}

// An engine with free slots that refuses a request is taken to be loading the model otherwise.
TEST_CASE_FIXTURE(StatementsFixture,
                  "a pause is no failure and does not make a model count as absent")
{
    list(first);
    for (int i = 0; i < 5; ++i) {
        directory.onSent(first.endpoint);
        state(first, pauseOf(1s));
        directory.onResult(first.endpoint, EndpointResult::RefusedBusy, ModelName("m"));
    }
    CHECK(choose().isPaused);
    CHECK(directory.find(first.endpoint)->failureFraction == 0);
    advance(1s);
    CHECK(choose().kind == ChoiceKind::Send);
}

TEST_CASE_FIXTURE(StatementsFixture, "each change of an endpoint's statements is told once")
{
    list(first);
    for (int i = 0; i < 3; ++i) {
        state(first, LeavingStatement);
        state(first, pauseOf(1s));
    }
    CHECK(directory.statements().heardLeaving().size() == 1);
    advance(1s);
    list({first.endpoint, 101});
    directory.onStatement({first.endpoint, 101}, LeavingStatement, StatementSource::Peer,
                          clock.now());
    std::vector<StatementChangeKind> kinds;
    for (const StatementChange &change : directory.takeChanges()) {
        kinds.push_back(change.kind);
    }
    CHECK(kinds
          == std::vector<StatementChangeKind>{
              StatementChangeKind::Leaving, StatementChangeKind::NoRequests,
              StatementChangeKind::NoRequestsEnded, StatementChangeKind::LeavingEnded,
              StatementChangeKind::Leaving});
    // What a peer has told is not told on.
    CHECK(directory.statements().heardLeaving().empty());
    CHECK(directory.takeChanges().empty());
}

TEST_CASE_FIXTURE(StatementsFixture,
                  "statements of endpoints that are not listed any more are dropped")
{
    list(first);
    state(first, LeavingStatement);
    directory.remove(first.endpoint, Duration::zero());
    advance(EndpointStatements::UnlistedRetention - 1s);
    CHECK(directory.statements().leavingCount() == 1);
    advance(1s);
    CHECK(directory.statements().leavingCount() == 0);
}

namespace {

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Ten thousand endpoints that start again, leave and ask for pauses, and one directory that learns
/// of them by entries and answers in random order.
class RandomisedFleet : private StatementsFixture
{
public:
    static constexpr int Endpoints = 10'000;
    static constexpr int Pools = 500;
    static constexpr int Events = 60'000;

    explicit RandomisedFleet(std::uint64_t seed)
        : StatementsFixture(Pools)
        , m_random(seed)
        , m_processes(Endpoints)
    {
        for (int i = 0; i < Endpoints; ++i) {
            m_processes[i].push_back(Process(1'000'000));
            list({id(i), 1'000'000}, i % Pools);
        }
    }

    void run()
    {
        for (int i = 0; i < Events; ++i) {
            step();
        }
    }

    std::uint64_t sent = 0;
    std::uint64_t refused = 0;
    /// Requests sent although the process had told this instance that it is leaving.
    std::uint64_t sentToLeaving = 0;
    /// Requests sent before the time that the process had told this instance.
    std::uint64_t sentInPause = 0;
    /// Requests that an endpoint did not get for no reason.
    std::uint64_t wronglyUnused = 0;

private:
    /// One process, and what its answers have told this instance.
    struct Process {
        explicit Process(std::int64_t start)
            : startedAtMs(start)
        { }

        std::int64_t startedAtMs;
        bool leaving = false;
        bool toldLeaving = false;
        SteadyTime toldUntil;
    };
    struct Request {
        int endpoint = 0;
        std::size_t process = 0;
        std::int64_t assumedStart = 0;
    };

    static EndpointId id(int index) { return EndpointId("e" + std::to_string(index)); }

    bool oneIn(std::uint64_t n) { return m_random.below(n) == 0; }

    // Most events concern a few endpoints, so that these meet many of them.
    int anyEndpoint()
    {
        constexpr int Hot = 200;
        return static_cast<int>(m_random.below(oneIn(5) ? Endpoints : Hot));
    }

    void step()
    {
        const std::uint64_t event = m_random.below(1000);
        if (event < 400) {
            trySend();
        } else if (event < 750) {
            answerOne();
        } else if (event < 850) {
            listOne();
        } else if (event < 890) {
            restart(anyEndpoint());
        } else if (event < 930) {
            const int endpoint = anyEndpoint();
            directory.remove(id(endpoint), oneIn(2) ? Duration::zero() : Duration(2s));
        } else if (event < 960) {
            m_processes[static_cast<std::size_t>(anyEndpoint())].back().leaving = true;
        } else if (event < 998) {
            advance(std::chrono::milliseconds(m_random.below(80)));
        } else if (oneIn(20)) {
            // The instance was frozen.
            advance(20s);
        } else {
            // The replicas' clock steps.
            m_wallOffsetMs += static_cast<std::int64_t>(m_random.below(20'000)) - 10'000;
        }
    }

    void trySend()
    {
        if (oneIn(40)) {
            const EndpointChoice choice = choose(static_cast<int>(m_random.below(Pools)));
            if (choice.kind == ChoiceKind::Send) {
                send(std::stoi(choice.endpoint.str().substr(1)));
            }
            return;
        }
        const int endpoint = anyEndpoint();
        if (directory.canSend(id(endpoint))) {
            send(endpoint);
            return;
        }
        ++refused;
        const TrackedEndpoint *tracked = directory.find(id(endpoint));
        const bool hasReason = tracked == nullptr || tracked->listed.leaving
            || std::any_of(m_processes[static_cast<std::size_t>(endpoint)].begin(),
                           m_processes[static_cast<std::size_t>(endpoint)].end(),
                           [&](const Process &process) {
                               // While an old entry is listed, the late answer of an old process
                               // may lengthen the pause of a later one.
                               return clock.now() < process.toldUntil
                                   || (process.toldLeaving
                                       && tracked->listed.startedAtMs <= process.startedAtMs);
                           });
        wronglyUnused += hasReason ? 0 : 1;
    }

    void send(int endpoint)
    {
        ++sent;
        const auto &processes = m_processes[static_cast<std::size_t>(endpoint)];
        const Process &process = processes.back();
        sentToLeaving += process.toldLeaving ? 1 : 0;
        sentInPause += clock.now() < process.toldUntil ? 1 : 0;
        directory.onSent(id(endpoint));
        m_requests.push_back(
            {endpoint, processes.size() - 1, directory.find(id(endpoint))->listed.startedAtMs});
    }

    void answerOne()
    {
        if (m_requests.empty()) {
            return;
        }
        std::swap(m_requests[m_random.below(m_requests.size())], m_requests.back());
        const Request request = m_requests.back();
        m_requests.pop_back();
        Process &process = m_processes[static_cast<std::size_t>(request.endpoint)][request.process];
        EndpointResult result = oneIn(10) ? EndpointResult::Failed : EndpointResult::Answered;
        // An answer does not tell the start of its process, so that of a process whose entry is not
        // known yet counts for the one before.
        if (result == EndpointResult::Answered && process.startedAtMs == request.assumedStart) {
            EndpointStatement statement{process.leaving, std::nullopt};
            if (oneIn(4)) {
                result = EndpointResult::RefusedBusy;
                statement.noRequestsFor = std::chrono::milliseconds(m_random.below(10'000));
                process.toldUntil =
                    std::max(process.toldUntil, clock.now() + *statement.noRequestsFor);
            }
            process.toldLeaving = process.toldLeaving || statement.leaving;
            state({id(request.endpoint), request.assumedStart}, statement);
        }
        directory.onResult(id(request.endpoint), result, ModelName("m"));
    }

    void listOne()
    {
        const int endpoint = anyEndpoint();
        const auto &processes = m_processes[static_cast<std::size_t>(endpoint)];
        // Old entries come from the store after an outage or from peers that lag.
        const bool isOld = oneIn(4);
        const Process &old = processes[m_random.below(processes.size())];
        const Process &process =
            isOld && old.startedAtMs < processes.back().startedAtMs ? old : processes.back();
        list({id(endpoint), process.startedAtMs}, endpoint % Pools,
             process.leaving && !isOld && oneIn(2));
    }

    void restart(int endpoint)
    {
        auto &processes = m_processes[static_cast<std::size_t>(endpoint)];
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock.now().time_since_epoch());
        const std::int64_t start = 2'000'000 + elapsed.count() + m_wallOffsetMs;
        if (start != processes.back().startedAtMs) {
            processes.push_back(Process(start));
        }
    }

    SeededRandomSource m_random;
    std::vector<std::vector<Process>> m_processes;
    std::vector<Request> m_requests;
    std::int64_t m_wallOffsetMs = 0;
};

} // namespace

// By hand over many seeds: MARIGOLDSPOOL_STATEMENT_SEEDS=2000 MARIGOLDSPOOL_STATEMENT_FIRST=1
TEST_CASE("random order of answers, entries and restarts: no request after a statement against it")
{
    const std::uint64_t first = numberFromEnvironment("MARIGOLDSPOOL_STATEMENT_FIRST", 1);
    const std::uint64_t seeds = numberFromEnvironment("MARIGOLDSPOOL_STATEMENT_SEEDS", 3);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        CAPTURE(seed);
        RandomisedFleet fleet(seed);
        fleet.run();
        CHECK(fleet.sentToLeaving == 0);
        CHECK(fleet.sentInPause == 0);
        CHECK(fleet.wronglyUnused == 0);
        CHECK(fleet.sent > 1000);
        CHECK(fleet.refused > 1000);
        MESSAGE(fleet.sent, " sent, ", fleet.refused, " refused");
    }
}
