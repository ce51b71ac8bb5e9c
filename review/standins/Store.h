#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_STORE_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_STORE_H

#include "Net.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>

#include <nlohmann/json.hpp>

namespace marigoldspool::review {

using Json = nlohmann::json;

/// The platform's store: objects by kind and name, one revision counter, lists and watches.
class Store
{
public:
    explicit Store(const Address &address);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    const Address &address() const { return m_address; }

    /// Writes of the operator and the replicas. Each returns when the store has acknowledged it.
    TimePoint put(const std::string &kind, const std::string &name, const Json &spec);
    TimePoint remove(const std::string &kind, const std::string &name);
    /// The heartbeat of a replica. The object changes only if more than its `seq` does.
    void beat(const std::string &name, const Json &spec);
    /// From now on no call is answered, also not later on the same connection.
    void goAway();
    /// Answers again, from the state at \p copyAt.
    void comeBack(TimePoint copyAt);
    /// The `spec` of an object; null if there is none.
    Json spec(const std::string &kind, const std::string &name) const;

private:
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        Json object;
        bool isRemoved = false;
    };
    struct Answer {
        int status = 200;
        Json body;
    };
    using Objects = std::map<std::string, Json>;
    /// The state after a change.
    struct State {
        TimePoint at;
        std::uint64_t revision = 0;
        std::map<std::string, Objects> objects;
    };

    void serve(Connection &connection);
    Answer handle(const Head &head, const std::string &body);
    Answer get(const std::string &kind, const std::string &name,
               const std::map<std::string, std::string> &query);
    Answer list(const std::string &kind, const std::string &after) const;
    Answer watch(const std::string &kind, std::uint64_t from, Milliseconds wait);
    Answer write(const std::string &method, const std::string &kind, const std::string &name,
                 const std::string &expected, const Json &body);
    void change(const std::string &kind, const std::string &name, const Json &spec);
    void erase(const std::string &kind, const std::string &name);
    void onChange(const std::string &kind, const Json &object, bool isRemoved);

    Address m_address;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, Objects> m_objects;
    std::deque<Event> m_events;
    std::deque<State> m_history;
    /// A watch from before has no history.
    std::uint64_t m_firstRevision = 0;
    std::uint64_t m_era = 1;
    bool m_isAway = false;
    bool m_isStopped = false;
    std::unique_ptr<Server> m_server;
};

} // namespace marigoldspool::review

#endif
