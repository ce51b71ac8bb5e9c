// A request that crashes each engine that begins to run it, where engines start again under their
// ids. See claim.txt.
#include "../standins-2/Fleet.h"

#include <algorithm>

using namespace review;

namespace {

constexpr Milliseconds WorkTime(50);
// A replica that has crashed is back after some seconds.
constexpr Milliseconds DownTime(2000);
// Traffic starts this long after the machines.
constexpr Milliseconds LeadTime(10'000);
// How often the request comes again.
constexpr Milliseconds RequestInterval(4000);
constexpr int Requests = 12;
// Sound requests for the same model.
constexpr Milliseconds SoundInterval(500);
constexpr Milliseconds ClientLimit(13'000);
constexpr std::size_t CrashesThatCount = 3;
constexpr int AllowedRetries = 3;
const std::string BadPart = "e4402b7dbad";

class Case
{
public:
    explicit Case(Record &record)
        : m_record(record)
        , m_deployment(record, {"navarra-a", "navarra-b", "navarra-c", "navarra-d"})
    { }

    bool run()
    {
        for (const std::string zone : {"navarra-a", "navarra-b", "navarra-c", "navarra-d"}) {
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
                    serve(replica, request, connection);
                }));
            m_replicas.back()->start("v1");
        }
        m_deployment.start(configuration(Json::array({streamRoute(EngineService)})));
        sleepFor(LeadTime);
        Clients clients(m_record);
        const auto start = Clock::now();
        int sound = 0;
        int bad = 0;
        while (bad < Requests) {
            if (Clock::now() >= start + RequestInterval * (bad + 1)) {
                clients.send(nextNode(), badRequest("bad" + std::to_string(bad)), ClientLimit);
                ++bad;
            }
            const std::string id = "sound" + std::to_string(++sound);
            clients.send(nextNode(),
                         streamRequest(id, "5c1e07a2:119,91bd3f06:79,e4402b7d" + id + ":628"),
                         ClientLimit);
            sleepFor(SoundInterval);
        }
        countSound(clients.finish());
        return isExceeded();
    }

private:
    Node &nextNode() { return m_deployment.node(m_sent++ % m_deployment.nodeCount()); }

    // The same path, caller, prompt and body; each attempt has its own id.
    static Request badRequest(const std::string &id)
    {
        Request request = streamRequest(id, "5c1e07a2:119,91bd3f06:79," + BadPart + ":628");
        request.body = "the prompt that crashes engines";
        return request;
    }

    void countSound(const std::vector<Attempt> &attempts)
    {
        int asked = 0;
        int served = 0;
        for (const Attempt &attempt : attempts) {
            if (attempt.id.compare(0, 5, "sound") == 0) {
                ++asked;
                served += attempt.answer.status == 200 && attempt.answer.isComplete ? 1 : 0;
            }
        }
        m_record.add("sound",
                     {{"asked", std::to_string(asked)}, {"served", std::to_string(served)}});
        if (served == 0) {
            throw CaseError("no sound request was served");
        }
    }

    void serve(Replica &replica, const Request &request, Connection &connection)
    {
        const std::string id = request.header("X-Marigoldspool-Request-Id");
        if (!replica.hasModel(Model)) {
            replica.refuse(request, connection, 421);
            return;
        }
        const bool isBad =
            request.header("X-Marigoldspool-Prefix-Hash").find(BadPart) != std::string::npos;
        m_record.add("server_runs", {{"id", id}, {"replica", replica.id()}});
        if (isBad) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_arrivals.push_back(Clock::now());
        }
        sleepFor(WorkTime);
        if (isBad && hasTrouble()) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_crashes.push_back(Clock::now());
            }
            replica.crashFor(DownTime);
            return;
        }
        Headers headers = replica.answerHeaders(request);
        headers.emplace_back("Content-Type", "text/event-stream");
        connection.answer(200, headers, eventText(1, id));
    }

    // BUDGET: more than three retries reach replicas later than contactMs after the third crash. No
    // machine is in disruption at any time.
    bool isExceeded()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        int late = 0;
        if (m_crashes.size() >= CrashesThatCount) {
            const auto from = m_crashes[CrashesThatCount - 1] + ContactTime;
            late = static_cast<int>(
                std::count_if(m_arrivals.begin(), m_arrivals.end(), [from](Clock::time_point at) {
                    return at > from;
                }));
        }
        m_record.add("result",
                     {{"crashes", std::to_string(m_crashes.size())},
                      {"arrivals", std::to_string(m_arrivals.size())},
                      {"arrivals_later_than_allowed", std::to_string(late)},
                      {"allowed", std::to_string(AllowedRetries)}});
        return late > AllowedRetries;
    }

    Record &m_record;
    std::mutex m_mutex;
    std::vector<Clock::time_point> m_arrivals;
    std::vector<Clock::time_point> m_crashes;
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
