// Adapters of a model for which requests have had to wait. See claim.txt.
#include "../standins-2/Fleet.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int Events = 5;
constexpr Milliseconds EventInterval(50);
constexpr Milliseconds StepTime(5);
// Traffic starts this long after the machines.
constexpr Milliseconds LeadTime(10'000);
// Requests for the model that come at once, by turns at all machines.
constexpr int BurstRequests = 6;
constexpr Milliseconds AfterBurst(5000);
constexpr int Adapters = 6;
// How often each adapter is asked for, and the time between two requests for it.
constexpr int RequestsPerAdapter = 10;
constexpr Milliseconds AdapterInterval(6000);
constexpr Milliseconds BusyInterval(250);
constexpr Milliseconds ClientTime(12'000);
constexpr int ClientTries = 2;
// Adapters that are asked for four times or more, over 8 s, and may never be served.
constexpr double AllowedAdapters = 1;
constexpr double AllowedPart = 0.1;

class Case
{
public:
    explicit Case(Record &record)
        : m_record(record)
        , m_deployment(record, {"navarra-a", "navarra-b"})
    { }

    bool run()
    {
        for (const std::string zone : {"navarra-a", "navarra-b"}) {
            Replica::Options options;
            options.id = "i-" + zone;
            options.service = EngineService;
            options.zone = zone;
            options.slots = 64;
            options.isEngine = true;
            options.models = {Model};
            options.onDisk = {RareModel};
            if (!hasTrouble()) {
                options.models.insert(RareModel);
            }
            m_engines.push_back(std::make_unique<Replica>(
                m_record, m_deployment.store(), options,
                [this](Replica &replica, const Request &request, Connection &connection) {
                    stream(replica, request, connection);
                }));
            m_engines.back()->start("v1");
        }
        m_deployment.start(configuration(Json::array({streamRoute(EngineService)})));
        sleepFor(LeadTime);
        askAtOnce();
        sleepFor(AfterBurst);
        std::atomic<bool> isOver{false};
        std::thread busy([this, &isOver] {
            for (std::size_t i = 0; !isOver; ++i) {
                ask(Model, ApiKey, "busy" + std::to_string(i), i);
                sleepFor(BusyInterval);
            }
        });
        askForAdapters();
        isOver = true;
        busy.join();
        return isStarved();
    }

private:
    void stream(Replica &replica, const Request &request, Connection &connection)
    {
        const std::string id = request.header("X-Marigoldspool-Request-Id");
        if (!replica.hasModel(request.header("X-Marigoldspool-Model"))) {
            replica.refuse(request, connection, 421);
            return;
        }
        m_record.add("server_runs", {{"id", id}, {"replica", replica.id()}});
        std::string text;
        for (int number = firstEvent(request); number <= Events; ++number) {
            const auto due = Clock::now() + EventInterval;
            while (Clock::now() < due && connection.isOpen()) {
                sleepFor(StepTime);
            }
            text += eventText(number, id);
        }
        Headers headers = replica.answerHeaders(request);
        headers.emplace_back("Content-Type", "text/event-stream");
        connection.answer(200, headers, text);
    }

    // A client tries once more after a failure, at the next machine. It honours Retry-After, up to
    // a third of the time that it has left. Returns whether it was served.
    bool ask(const std::string &model, const std::string &key, const std::string &name,
             std::size_t firstNode)
    {
        const auto deadline = Clock::now() + ClientTime;
        for (int i = 0; i < ClientTries; ++i) {
            const std::string id = name + "-try" + std::to_string(i);
            const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
            const Node &node = m_deployment.node((firstNode + static_cast<std::size_t>(i))
                                                 % m_deployment.nodeCount());
            std::string parts = "5c1e07a2:119,91bd3f06:79,e4402b7d";
            parts.append(id).append(":628");
            const Attempt attempt =
                sendTo(m_record, node, streamRequestFor(model, key, id, parts), left);
            if (attempt.answer.status == 200 && attempt.answer.isComplete) {
                return true;
            }
            const std::string field = headerValue(attempt.answer.headers, "Retry-After");
            const double seconds = std::strtod(field.c_str(), nullptr);
            sleepFor(std::min(Milliseconds(static_cast<int>(seconds * 1000)), left / 3));
        }
        return false;
    }

    void askAtOnce()
    {
        std::vector<std::thread> clients;
        clients.reserve(BurstRequests);
        std::atomic<int> served{0};
        for (int i = 0; i < BurstRequests; ++i) {
            clients.emplace_back([this, i, &served] {
                const bool isServed = ask(RareModel, SchoolKey, "burst" + std::to_string(i),
                                          static_cast<std::size_t>(i));
                served += isServed ? 1 : 0;
            });
        }
        for (std::thread &client : clients) {
            client.join();
        }
        m_record.add("burst_served", {{"count", std::to_string(served)}});
        if (served < BurstRequests) {
            throw CaseError("a request for the model itself was not served");
        }
    }

    void askForAdapters()
    {
        std::vector<std::thread> clients;
        for (int i = 0; i < RequestsPerAdapter; ++i) {
            for (int adapter = 1; adapter <= Adapters; ++adapter) {
                const std::string name = "a" + std::to_string(adapter);
                clients.emplace_back([this, name, i, adapter] {
                    const bool isServed =
                        ask(std::string(RareModel) + '/' + name, SchoolKey,
                            name + "-" + std::to_string(i),
                            static_cast<std::size_t>(i) + static_cast<std::size_t>(adapter));
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_served[name] += isServed ? 1 : 0;
                });
                sleepFor(AdapterInterval / Adapters);
            }
        }
        for (std::thread &client : clients) {
            client.join();
        }
    }

    // Starved: more than 1 + 10 in 100 of the adapters that are asked for are never served. Chance
    // gives none.
    bool isStarved()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        int never = 0;
        for (const auto &[name, served] : m_served) {
            never += served == 0 ? 1 : 0;
            m_record.add("adapter",
                         {{"name", name},
                          {"asked", std::to_string(RequestsPerAdapter)},
                          {"served", std::to_string(served)}});
        }
        m_record.add("result",
                     {{"adapters", std::to_string(m_served.size())},
                      {"never_served", std::to_string(never)}});
        return never > AllowedAdapters + AllowedPart * static_cast<double>(m_served.size());
    }

    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, int> m_served;
    Deployment m_deployment;
    std::vector<std::unique_ptr<Replica>> m_engines;
};

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](Record &record) {
        return Case(record).run();
    });
}
