// Endpoints that write answers a second time, late, on connections that carry other requests by
// then. Random schedules; MARIGOLDSPOOL_COPY_SEEDS=FIRST-LAST runs other seeds than the fixed one.
#include "CopyingEndpoint.h"
#include "RequestPathFixture.h"

#include <array>
#include <cstdlib>
#include <sstream>

using namespace marigoldspool;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

struct Attempt {
    std::string target;
    std::string id;
    int status = 0;
    bool complete = false;
    std::string body;
};

bool isPromise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

class AttemptHandler final : public EndpointCallHandler
{
public:
    AttemptHandler(std::shared_ptr<Attempt> attempt, std::function<void()> ended)
        : m_attempt(std::move(attempt))
        , m_ended(std::move(ended))
    { }
    void onHead(int status, gsl::span<const HeaderField> /*headers*/) override
    {
        m_attempt->status = status;
    }
    void onData(std::string_view bytes) override { m_attempt->body.append(bytes); }
    void onComplete() override
    {
        m_attempt->complete = true;
        m_ended();
    }
    void onFailure(SendStage /*stage*/, Error /*error*/) override { m_ended(); }

private:
    std::shared_ptr<Attempt> m_attempt;
    std::function<void()> m_ended;
};

/// Callers that send requests of all kinds and send those again that have not run.
class RandomRun
{
public:
    RandomRun(unsigned seed, bool keepsIds)
        : m_random(seed)
        , m_keepsIds(keepsIds)
    {
        addRoutes();
        m_addresses.push_back(m_fixture.callerAddress);
        if (m_random.chance(50)) {
            m_second = m_fixture.addInstance("front-2");
            m_addresses.push_back(m_fixture.callerAddress);
        }
        const int endpoints = m_random.between(1, 3);
        for (int i = 0; i < endpoints; ++i) {
            m_endpoints.push_back(
                std::make_unique<CopyingEndpoint>(m_fixture.io, m_random, m_runs));
            m_fixture.store.put("servers", "i-" + std::to_string(i), entry(*m_endpoints.back()));
        }
        run(800ms);
    }

    /// Returns the broken promises.
    std::vector<std::string> play()
    {
        const int callers = m_random.between(2, 24);
        for (int i = 0; i < callers; ++i) {
            sendNew();
        }
        run(2500ms);
        m_stopping = true;
        // Longer than any deadline, so that late runs are counted.
        run(1800ms);
        return breaches();
    }

    std::string summary() const
    {
        std::map<int, int> counts;
        for (const auto &it : m_attempts) {
            ++counts[it->status];
        }
        std::ostringstream out;
        for (const auto &it : counts) {
            out << it.first << ": " << it.second << ", ";
        }
        for (const auto &it : m_endpoints) {
            out << it->refusals << " refusals and " << it->copies << " copies, ";
        }
        return out.str();
    }

private:
    void addRoutes()
    {
        nlohmann::json stream = m_fixture.routes[0];
        stream["name"] = "stream";
        stream["prefix"] = "/stream/";
        stream["kind"] = "stream";
        nlohmann::json resumable = stream;
        resumable["name"] = "long";
        resumable["prefix"] = "/long/";
        resumable["resumable"] = true;
        m_fixture.routes.push_back(stream);
        m_fixture.routes.push_back(resumable);
        m_fixture.configure(2, {"k1"});
    }

    static nlohmann::json entry(const CopyingEndpoint &endpoint)
    {
        return {{"service", "app"},
                {"addr", endpoint.address()},
                {"zone", "z1"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldLeftMs", 0},
                {"born", 1},
                {"models", nlohmann::json::array()},
                {"seq", 1}};
    }

    void run(milliseconds time)
    {
        m_fixture.io.restart();
        m_fixture.io.run_for(time);
    }

    void sendNew()
    {
        constexpr std::array<const char *, 5> Routes{"once", "once", "app", "stream", "long"};
        send(Routes.at(static_cast<std::size_t>(m_random.between(0, 4))),
             "c" + std::to_string(++m_requests), 1);
    }

    void send(const std::string &route, const std::string &id, int count)
    {
        const auto attempt = std::make_shared<Attempt>();
        attempt->target = "/" + route + "/" + std::to_string(m_attempts.size());
        attempt->id = id;
        m_attempts.push_back(attempt);
        const int deadline = m_random.between(150, 900);
        EndpointCall call;
        call.id = RequestId(id);
        call.address = m_addresses.at(m_random.chance(50) ? 0 : m_addresses.size() - 1);
        call.method = "POST";
        call.target = attempt->target;
        call.host = "h";
        call.timeout = milliseconds(deadline + 50);
        call.headers = {{"X-Marigoldspool-Request-Id", id},
                        {"X-Marigoldspool-Deadline-Ms", std::to_string(deadline)},
                        {"Authorization", "Token k1"}};
        const auto ended = [this, route, attempt, count] {
            after(m_fixture.io, milliseconds(m_random.between(0, 30)),
                  [this, route, attempt, count] {
                      sendNext(route, *attempt, count);
                  });
        };
        m_fixture.client->call(std::move(call), std::make_shared<AttemptHandler>(attempt, ended));
    }

    void sendNext(const std::string &route, const Attempt &last, int count)
    {
        if (m_stopping) {
            return;
        }
        const bool mayRepeat = isPromise(last.status) || (route == "app" && last.status != 200);
        if (!mayRepeat || count >= 5) {
            sendNew();
            return;
        }
        send(route, m_keepsIds ? last.id : "c" + std::to_string(++m_requests), count + 1);
    }

    std::vector<std::string> breaches() const
    {
        std::vector<std::string> found;
        for (const auto &it : m_attempts) {
            const auto runs = m_runs.find(it->target);
            const int count = runs == m_runs.end() ? 0 : runs->second;
            const std::string name = it->target + " with the id " + it->id;
            if (it->target.find("/once/") == 0 && count > 1) {
                found.push_back("TWICE: " + name + " ran " + std::to_string(count) + " times");
            }
            if (isPromise(it->status) && count > 0) {
                found.push_back("REFUSED: " + name + " ran and was answered "
                                + std::to_string(it->status));
            }
            if (it->status == 200 && !hasOwnBody(*it)) {
                found.push_back("BODY: " + name + " was answered " + it->body);
            }
        }
        return found;
    }

    static bool hasOwnBody(const Attempt &attempt)
    {
        const std::string own = "<" + attempt.target + ">";
        const std::size_t at = attempt.body.find('<');
        if (at == std::string::npos) {
            return !attempt.complete;
        }
        return attempt.body.compare(at, own.size(), own) == 0
            && attempt.body.find('<', at + 1) == std::string::npos;
    }

    RequestPathFixture m_fixture;
    Random m_random;
    bool m_keepsIds;
    bool m_stopping = false;
    int m_requests = 0;
    Runs m_runs;
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::vector<std::string> m_addresses;
    std::unique_ptr<FleetDaemon> m_second;
    std::vector<std::unique_ptr<CopyingEndpoint>> m_endpoints;
};

void checkSeeds(bool keepsIds)
{
    unsigned first = 1;
    unsigned last = 1;
    if (const char *text = std::getenv("MARIGOLDSPOOL_COPY_SEEDS")) {
        char *end = nullptr;
        first = last = static_cast<unsigned>(std::strtoul(text, &end, 10));
        if (*end == '-') {
            last = static_cast<unsigned>(std::strtoul(end + 1, nullptr, 10));
        }
    }
    for (unsigned seed = first; seed <= last; ++seed) {
        RandomRun run(seed, keepsIds);
        const std::vector<std::string> breaches = run.play();
        MESSAGE("seed ", seed, ": ", run.summary(), breaches.size(), " breaches");
        for (const std::string &it : breaches) {
            FAIL_CHECK("seed ", seed, ": ", it);
        }
    }
}

} // namespace

// Guards against a copy of another answer that passes for the answer to a request.
TEST_CASE("copies of answers break no promise to callers that repeat under new ids")
{
    checkSeeds(false);
}

// Guards against a copy of the refusal of an attempt that passes for the answer to the caller's
// next attempt with the same id.
TEST_CASE("copies of answers break no promise to callers that repeat under the same id")
{
    checkSeeds(true);
}
