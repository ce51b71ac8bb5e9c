// A part of prompts that crashes engines, and the sound requests that share the first part with it.
// See claim.txt.
#include "../standins-2/Fleet.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int Events = 5;
constexpr Milliseconds EventInterval(50);
constexpr Milliseconds StepTime(5);
// A replica that has crashed is back after some seconds.
constexpr Milliseconds DownTime(2000);
constexpr int SoundRequests = 24;
constexpr Milliseconds SoundInterval(250);
// Traffic starts this long after the machines.
constexpr Milliseconds LeadTime(10'000);
// Nobody asks for the model for this long.
constexpr Milliseconds Lull(32'000);
constexpr Milliseconds BadInterval(4000);
constexpr Milliseconds BadIntervalLater(1500);
constexpr int CrashesThatCount = 5;
constexpr int MaxBadRequests = 8;
constexpr Milliseconds ClientLimit(13'000);
const std::string BadPart = "bad0bad0";

class Case
{
public:
    explicit Case(Record &record)
        : m_record(record)
        , m_deployment(record, {"navarra-a", "navarra-b"})
    { }

    bool run()
    {
        for (const std::string zone : {"navarra-a", "navarra-b", "navarra-c"}) {
            Replica::Options options;
            options.id = "i-" + zone;
            options.service = EngineService;
            options.zone = zone;
            options.slots = 64;
            options.isEngine = true;
            options.models = {Model};
            m_replicas.push_back(std::make_unique<Replica>(
                m_record, m_deployment.store(), options,
                [this](Replica &replica, const Request &request, Connection &connection) {
                    stream(replica, request, connection);
                }));
            m_replicas.back()->start("v1");
        }
        m_deployment.start(configuration(Json::array({streamRoute(EngineService)})));
        sleepFor(LeadTime);
        const int before = sendSound("before", false);
        if (before < SoundRequests) {
            throw CaseError("a sound request of the quiet time did not begin");
        }
        sleepFor(Lull);
        sendBadUntilCrashes();
        sleepFor(ContactTime * 2);
        const int after = sendSound("after", true);
        m_record.add("result",
                     {{"crashes", std::to_string(m_crashes)},
                      {"begun_before", std::to_string(before)},
                      {"begun_after", std::to_string(after)},
                      {"sound_requests_each", std::to_string(SoundRequests)}});
        // LOST: they begin at the first attempt less than half as often as outside disruption.
        return after * 2 < before;
    }

private:
    void stream(Replica &replica, const Request &request, Connection &connection)
    {
        const std::string id = request.header("X-Marigoldspool-Request-Id");
        if (!replica.hasModel(Model)) {
            replica.refuse(request, connection, 421);
            return;
        }
        const bool isBad =
            request.header("X-Marigoldspool-Prefix-Hash").find(BadPart) != std::string::npos;
        m_record.add("server_runs", {{"id", id}, {"replica", replica.id()}});
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_begun.insert(id);
        }
        sleepFor(EventInterval);
        if (isBad && hasTrouble()) {
            ++m_crashes;
            replica.crashFor(DownTime);
            return;
        }
        Headers headers = replica.answerHeaders(request);
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Transfer-Encoding", "chunked");
        connection.sendHead(200, headers);
        for (int number = firstEvent(request); number <= Events; ++number) {
            const auto due = Clock::now() + EventInterval;
            while (Clock::now() < due && connection.isOpen()) {
                sleepFor(StepTime);
            }
            connection.sendChunk(eventText(number, id));
        }
        connection.sendLastChunk();
    }

    // All share the first part, the instructions to the model.
    static Request request(const std::string &id, const std::string &secondPart)
    {
        return streamRequest(id, "5c1e07a2:119," + secondPart + ":79,e4402b7d" + id + ":628");
    }

    Node &nextNode() { return m_deployment.node(m_sent++ % m_deployment.nodeCount()); }

    void sendBad(Clients &clients)
    {
        const std::string id = "bad" + std::to_string(++m_badRequests);
        clients.send(nextNode(), request(id, BadPart), ClientLimit);
    }

    void sendBadUntilCrashes()
    {
        Clients clients(m_record);
        while (m_crashes < CrashesThatCount && m_badRequests < MaxBadRequests) {
            sendBad(clients);
            sleepFor(BadInterval);
        }
        if (hasTrouble() && m_crashes < CrashesThatCount) {
            throw CaseError("only " + std::to_string(m_crashes) + " crashes");
        }
    }

    // Returns how many have begun at a replica.
    int sendSound(const std::string &name, bool withBad)
    {
        Clients clients(m_record);
        std::vector<std::string> ids;
        auto nextBad = Clock::now();
        for (int i = 0; i < SoundRequests; ++i) {
            ids.push_back(name + std::to_string(i));
            clients.send(nextNode(), request(ids.back(), "91bd3f06" + ids.back()), ClientLimit);
            if (withBad && Clock::now() >= nextBad) {
                nextBad = Clock::now() + BadIntervalLater;
                sendBad(clients);
            }
            sleepFor(SoundInterval);
        }
        clients.finish();
        const std::lock_guard<std::mutex> lock(m_mutex);
        return static_cast<int>(std::count_if(ids.begin(), ids.end(), [this](const auto &id) {
            return m_begun.count(id) > 0;
        }));
    }

    Record &m_record;
    std::mutex m_mutex;
    std::set<std::string> m_begun;
    std::atomic<int> m_crashes{0};
    int m_badRequests = 0;
    std::size_t m_sent = 0;
    Deployment m_deployment;
    std::vector<std::unique_ptr<Replica>> m_replicas;
};

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](Record &record) {
        return Case(record).run();
    });
}
