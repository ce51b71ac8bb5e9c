// One of three instances is stopped as planned while replicas of two software versions serve.
// Callers whose streams its stop cuts take them up at the other instances.
#include "../standins-3/Deployment.h"

#include <csignal>
#include <mutex>
#include <thread>

namespace {

using namespace marigoldspool::review3;

constexpr int InstanceCount = 3;
constexpr int StreamCount = 16;
constexpr int EventCount = 100;
constexpr int PaceMs = 95;
constexpr int DeadlineMs = 12'000;
// The rule counts from 12 streams that are taken up.
constexpr int MinTakeUps = 12;
// The platform's probes take an instance out of rotation 2 s after its stop has begun at the
// earliest.
constexpr Milliseconds AfterSignal(500);
const std::string Stopped = "n3";

std::string instanceName(int i)
{
    return "n" + std::to_string(i % InstanceCount + 1);
}

CallerRequest makeRequest(int events, int paceMs)
{
    CallerRequest request;
    request.target = "/chat/1";
    request.id = newRequestId();
    request.key = "key-1";
    request.deadlineMs = DeadlineMs;
    request.fields = {{"X-Marigoldspool-Model", "m0"},
                      {"X-Marigoldspool-Token-Count", "100," + std::to_string(events * 6)}};
    request.body = "events=" + std::to_string(events) + " pace=" + std::to_string(paceMs);
    return request;
}

struct Counts {
    int begun = 0;
    int whole = 0;
    int takenUp = 0;
    int wentOn = 0;
    int newTried = 0;
    int newBegun = 0;
};

class Callers
{
public:
    explicit Callers(Deployment &deployment)
        : m_deployment(deployment)
    { }

    /// Begins a stream at the instance that stops, and takes it up at another one if it is cut.
    void runStream(int i)
    {
        CallerRequest request = makeRequest(EventCount, PaceMs);
        const auto begin = std::chrono::steady_clock::now();
        const Answer first = call(Stopped, request);
        const std::vector<int> events = first.events();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_counts.begun += events.empty() ? 0 : 1;
            m_counts.whole += first.complete && first.status == 200 ? 1 : 0;
        }
        if (events.empty() || first.complete) {
            return;
        }
        const auto used =
            std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
        request.fields.push_back({"Last-Event-Id", std::to_string(events.back())});
        request.fields.push_back({"Resumes", request.id});
        request.id = newRequestId();
        request.deadlineMs = DeadlineMs - static_cast<int>(used.count());
        const Answer second = call(instanceName(i % 2), request);
        const std::vector<int> rest = second.events();
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counts.takenUp;
        m_counts.wentOn += !rest.empty() && rest.front() == events.back() + 1 ? 1 : 0;
    }

    void runNewStream(int i)
    {
        const Answer answer = call(instanceName(i % 2), makeRequest(4, 50));
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counts.newTried;
        m_counts.newBegun += answer.events().empty() ? 0 : 1;
    }

    const Counts &counts() const { return m_counts; }

private:
    Answer call(const std::string &instance, const CallerRequest &request)
    {
        const std::string after =
            request.fields.size() > 2 ? ", after event " + request.fields[2].value : "";
        m_deployment.record("request " + request.id + " to " + instance + ": " + request.body
                            + after);
        Answer answer = callOnce(m_deployment.front(instance), request);
        m_deployment.record("request " + request.id + " got " + std::to_string(answer.status)
                            + " with " + std::to_string(answer.events().size()) + " events, "
                            + (answer.complete ? "complete" : "broken off (" + answer.ended + ")")
                            + (answer.status == 200 ? "" : ": " + answer.body));
        return answer;
    }

    Deployment &m_deployment;
    std::mutex m_mutex;
    Counts m_counts;
};

int runCase(const std::string &folder)
{
    Deployment deployment(folder);
    deployment.configure(makeConfiguration(1));
    for (int i = 0; i < 4; ++i) {
        ReplicaSettings engine{
            "r" + std::to_string(i + 1), "llm", "z" + std::to_string(i % 3 + 1), {"m0"}};
        engine.version = i < 2 ? "v1" : "v2";
        deployment.addReplica(engine);
    }
    deployment.addReplica({"a1", "app", "z1", {}});
    for (int i = 0; i < InstanceCount; ++i) {
        deployment.addInstance(instanceName(i), "z" + std::to_string(i + 1));
    }
    deployment.waitUntilReady();
    std::this_thread::sleep_for(Milliseconds(8000));
    Callers callers(deployment);
    for (int i = 0; i < 12; ++i) {
        callers.runNewStream(i);
    }
    if (hasTrouble()) {
        deployment.signalInstance(Stopped, SIGTERM);
    }
    std::this_thread::sleep_for(AfterSignal);
    std::vector<std::thread> threads;
    threads.reserve(StreamCount + 1);
    for (int i = 0; i < StreamCount; ++i) {
        threads.emplace_back([&callers, i] {
            callers.runStream(i);
        });
    }
    threads.emplace_back([&callers] {
        for (int i = 0; i < 30; ++i) {
            callers.runNewStream(i);
        }
    });
    for (std::thread &it : threads) {
        it.join();
    }
    for (const std::string &line : deployment.instanceLines("event=peer_disconnected")) {
        deployment.record("log of " + line);
    }
    const Counts &counts = callers.counts();
    deployment.record(std::to_string(counts.begun) + " streams begun at " + Stopped + ", "
                      + std::to_string(counts.whole) + " of them whole; "
                      + std::to_string(counts.takenUp) + " taken up elsewhere, "
                      + std::to_string(counts.wentOn) + " of them went on; "
                      + std::to_string(counts.newBegun) + " of " + std::to_string(counts.newTried)
                      + " new streams began elsewhere");
    if (!hasTrouble()) {
        return counts.whole == StreamCount ? ExitHeld : ExitNotRun;
    }
    if (counts.takenUp < MinTakeUps || counts.newTried == 0) {
        return ExitNotRun;
    }
    const double wentOn = static_cast<double>(counts.wentOn) / counts.takenUp;
    const double began = static_cast<double>(counts.newBegun) / counts.newTried;
    return wentOn < began / 2 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runMain(argc, argv, runCase);
}
