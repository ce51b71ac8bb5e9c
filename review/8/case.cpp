// Streams whose server falls silent for a second or so, at servers that end their answers with
// their connections. See claim.txt.
#include "../standins-2/Fleet.h"

#include <csignal>

using namespace review;

namespace {

constexpr int Events = 20;
constexpr Milliseconds EventInterval(100);
constexpr Milliseconds StepTime(5);
constexpr Milliseconds Silence(1500);
constexpr int Streams = 12;
constexpr Milliseconds StreamInterval(100);
constexpr Milliseconds SilentAfterSignal(1500);
// Traffic starts this long after the machines.
constexpr Milliseconds LeadTime(10'000);
constexpr Milliseconds ClientLimit(13'000);

/// How a server's run of a stream ended.
enum class RunEnd { Whole, GivenUp };

struct Runs {
    std::mutex mutex;
    std::map<std::string, std::vector<RunEnd>> ends;
};

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
            m_replicas.push_back(std::make_unique<Replica>(
                m_record, m_deployment.store(), options,
                [this](Replica &replica, const Request &request, Connection &connection) {
                    stream(replica, request, connection);
                }));
            m_replicas.back()->start("v1");
        }
        m_deployment.start(configuration(Json::array({streamRoute(EngineService)})));
        sleepFor(LeadTime);
        checkQuietStreams();
        return isLost(sendStreams());
    }

private:
    void stream(Replica &replica, const Request &request, Connection &connection)
    {
        const std::string id = request.header("X-Marigoldspool-Request-Id");
        const int first = firstEvent(request);
        m_record.add("server_runs",
                     {{"id", id}, {"replica", replica.id()}, {"from", std::to_string(first)}});
        Headers headers = replica.answerHeaders(request);
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Connection", "close");
        connection.sendHead(200, headers);
        bool isOpen = true;
        for (int number = first; number <= Events && isOpen; ++number) {
            const auto due = Clock::now() + EventInterval;
            while (isOpen && (Clock::now() < due || isSilent(replica))) {
                sleepFor(StepTime);
                isOpen = connection.isOpen();
            }
            isOpen = isOpen && connection.send(eventText(number, id));
        }
        // The answer has neither a length nor chunks, and ends with its connection.
        connection.closeAfter(false);
        m_record.add(isOpen ? "server_ends_whole" : "server_was_left",
                     {{"id", id}, {"replica", replica.id()}});
        const std::lock_guard<std::mutex> lock(m_runs.mutex);
        m_runs.ends[id].push_back(isOpen ? RunEnd::Whole : RunEnd::GivenUp);
    }

    bool isSilent(const Replica &replica) const
    {
        return replica.id() == m_replicas.front()->id()
            && unixMilliseconds() < m_silentUntilMs.load();
    }

    Request request(const std::string &id) const
    {
        return streamRequest(id, "5c1e07a2:119,91bd3f06" + id + ":79,e4402b7d" + id + ":628");
    }

    void checkQuietStreams()
    {
        Clients clients(m_record);
        for (int i = 0; i < Streams; ++i) {
            clients.send(m_deployment.node(0), request("quiet" + std::to_string(i)), ClientLimit);
            sleepFor(StreamInterval);
        }
        for (const Attempt &attempt : clients.finish()) {
            if (!attempt.answer.isComplete || attempt.answer.status != 200) {
                throw CaseError("a stream of the quiet time was not served");
            }
        }
    }

    std::vector<Attempt> sendStreams()
    {
        m_signalledAt = Clock::now();
        if (hasTrouble()) {
            m_deployment.node(0).signal(SIGHUP);
            m_record.add("sighup", {{"node", m_deployment.node(0).name()}});
        }
        Clients clients(m_record);
        for (int i = 0; i < Streams; ++i) {
            clients.send(m_deployment.node(0), request("stream" + std::to_string(i)), ClientLimit);
            sleepFor(StreamInterval);
        }
        std::this_thread::sleep_until(m_signalledAt + SilentAfterSignal);
        if (hasTrouble()) {
            m_record.add("server_falls_silent", {{"replica", m_replicas.front()->id()}});
            m_silentUntilMs = unixMilliseconds() + Silence.count();
        }
        return clients.finish();
    }

    // LOST: a request sent up to configMs after the SIGHUP of the machine that read it was passed
    // on to a replica, no replica broke it off, it was cut after the SIGHUP and before its
    // deadline, and its connection ended without a complete answer.
    bool isLost(const std::vector<Attempt> &attempts)
    {
        int lost = 0;
        const std::lock_guard<std::mutex> lock(m_runs.mutex);
        for (const Attempt &attempt : attempts) {
            const auto runs = m_runs.ends.find(attempt.id);
            const bool isCounted = attempt.sentAt - m_signalledAt <= ConfigTime
                && attempt.answer.endedAt - attempt.sentAt < Milliseconds(12'000)
                && runs != m_runs.ends.end();
            if (isCounted && !attempt.answer.isComplete) {
                ++lost;
                const bool isWhole = runs->second.back() == RunEnd::Whole;
                m_record.add("lost",
                             {{"id", attempt.id}, {"last_run_whole", isWhole ? "yes" : "no"}});
            }
        }
        m_record.add(
            "result",
            {{"streams", std::to_string(attempts.size())}, {"lost", std::to_string(lost)}});
        // Without planned work, the rule asks for nothing; the streams must be served all the same.
        return lost > 0;
    }

    Record &m_record;
    Runs m_runs;
    std::atomic<std::int64_t> m_silentUntilMs{0};
    Clock::time_point m_signalledAt;
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
