#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_REPLICA_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_REPLICA_H

#include "Record.h"
#include "Store.h"

#include <condition_variable>
#include <optional>

namespace marigoldspool::review {

struct ReplicaOptions {
    std::string service;
    std::string zone;
    /// As its entry says.
    Address address;
    /// Where it listens, if a proxy has the other address.
    std::optional<Address> listenAddress;
    int slots = 6;
    /// How long a request of a plain service takes.
    Milliseconds work{15};
    /// Models that an engine has loaded at its first start; empty for a plain service.
    std::vector<std::string> models;
    int adapterSlots = 8;
    int events = 10;
    Milliseconds eventGap{40};
    /// A part of a prompt that crashes an engine when it begins to write an answer on it.
    std::string crashingPart;
    /// How many events it has written by then.
    int eventsBeforeCrash = 1;
    /// An engine crashes when more requests than this arrive within a second while it is cold.
    std::optional<int> coldLimit;
    Milliseconds downTime{3000};
    Milliseconds coldTime{3000};
};

/// An order as it has arrived at a replica.
struct OrderArrival {
    TimePoint at;
    std::string holder;
    std::uint64_t fence = 0;
};

/// A replica of a service: a model engine or a plain service.
class Replica
{
public:
    Replica(Store &store, Record &record, ReplicaOptions options);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    std::string id() const;
    /// Removes the entry, without having reported `draining`; the replica serves on.
    TimePoint unlist();
    /// Ends the replica for good.
    void end();
    void becomeCold();
    std::vector<TimePoint> crashes() const;
    std::vector<OrderArrival> orders() const;

private:
    void start(bool isFirst);
    void supervise();
    void crash();
    void writeEntry();
    Json models() const;
    Milliseconds coldLeft() const;

    void serve(Connection &connection);
    bool handle(Connection &connection, const Head &head, const std::string &body);
    bool run(Connection &connection, const Head &head);
    bool stream(Connection &connection, const std::string &requestId, bool crashes);
    Json report() const;
    int order(const Json &order);
    int carryOut(const Json &order);
    bool isLoaded(const std::string &model) const;
    void finishLoad();
    bool isOverColdLimit();
    bool pause(Milliseconds time);

    Store &m_store;
    Record &m_record;
    ReplicaOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_woken;
    std::string m_id;
    std::map<std::string, std::set<std::string>> m_models;
    std::vector<OrderArrival> m_orders;
    std::string m_loading;
    TimePoint m_loadedAt;
    std::uint64_t m_orderCount = 0;
    std::uint64_t m_beatCount = 0;
    int m_activeCount = 0;
    TimePoint m_coldUntil;
    std::deque<TimePoint> m_recentArrivals;
    std::vector<TimePoint> m_crashes;
    bool m_isCrashing = false;
    bool m_isUnlisted = false;
    bool m_isEnding = false;
    bool m_isDown = false;
    int m_startCount = 0;
    std::unique_ptr<Server> m_server;
    std::thread m_thread;
};

} // namespace marigoldspool::review

#endif
