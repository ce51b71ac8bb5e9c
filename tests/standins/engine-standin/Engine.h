#ifndef MARIGOLDSPOOL_TESTS_STANDINS_ENGINE_H
#define MARIGOLDSPOOL_TESTS_STANDINS_ENGINE_H

#include "marigoldspool/Gateway/OpenAi.h"
#include "standins/common/StandinBase.h"

#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace marigoldspool::standins {

struct EngineOptions {
    std::string endpoint;
    /// Bytes.
    std::uint64_t memory = 0;
    int slots = 1;
    Duration loadTime = Duration::zero();
    /// For models that have been loaded before.
    Duration loadTimeDisk = Duration::zero();
    Duration tokenTime = Duration::zero();
    Duration statusLag = Duration::zero();
    bool checksFencing = true;
    /// Greatest number of calls at once while fresh; zero means no such limit.
    int freshLimit = 0;
    Duration freshTime = Duration::zero();
};

/// A model engine by the protocol of the design page, with continuous batching: each step of the
/// batch adds one token to every running call.
class Engine final : public StandinBase
{
public:
    Engine(boost::asio::io_context &io, EngineOptions options);
    ~Engine() override { close(); }
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

protected:
    void handle(HttpRequest request, Sink sink) override;
    void becomeCold() override;
    void addCounts(Json &counts) const override;

private:
    using Steady = std::chrono::steady_clock;

    struct LoadedModel {
        std::string version;
        std::uint64_t bytes = 0;
        bool ready = false;
    };

    struct Order {
        std::string id;
        std::string action;
        std::string model;
        std::string version;
        std::uint64_t bytes = 0;
        std::uint64_t fencing = 0;
    };

    struct Call {
        std::string id;
        std::string model;
        bool isChat = true;
        bool isStream = false;
        std::int64_t tokens = 0;
        std::int64_t made = 0;
        bool headSent = false;
        Sink sink;
    };

    using CallPtr = std::shared_ptr<Call>;

    void handleStatus(Sink sink);
    void handleOrder(const HttpRequest &request, Sink sink);
    void refuseOrder(Sink sink, int status, std::string_view code);
    void startLoad(const Order &order);
    void handleCompletion(const HttpRequest &request, Sink sink);
    void refuseCall(Sink sink, std::string_view code);
    bool isFresh() const;

    void fillBatch();
    void scheduleStep();
    void step();
    /// Returns true when the call has ended.
    bool advance(Call &call);
    void finishCall(Call &call);
    void cancelCall(const CallPtr &call);

    std::uint64_t memoryUsed() const;
    Json statusNow() const;
    void noteChange();

    EngineOptions m_options;
    std::string m_incarnation;
    int m_coldStarts = 0;
    Steady::time_point m_startedAt;
    std::map<std::string, LoadedModel> m_models;
    std::set<std::string> m_onDisk;
    std::set<std::string> m_acceptedOrders;
    std::uint64_t m_lastFencing = 0;
    std::list<CallPtr> m_running;
    std::list<CallPtr> m_waiting;
    bool m_stepScheduled = false;
    std::uint64_t m_completed = 0;
    /// Past states, for a status that lags.
    std::deque<std::pair<Steady::time_point, Json>> m_history;

    std::uint64_t m_ordersAccepted = 0;
    std::uint64_t m_ordersRefused = 0;
    std::uint64_t m_loads = 0;
    std::uint64_t m_unloads = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_refusedFresh = 0;
    std::uint64_t m_refusedNotLoaded = 0;
    std::uint64_t m_refusedOverloaded = 0;
    std::uint64_t m_greatestMemory = 0;
    std::size_t m_greatestConcurrency = 0;
};

} // namespace marigoldspool::standins

#endif
