#ifndef MARIGOLDSPOOL_REVIEW_STANDINS2_REPLICA_H
#define MARIGOLDSPOOL_REVIEW_STANDINS2_REPLICA_H

#include "Deployment.h"

#include <set>

namespace review {

/// One replica of a service, with models if it is an engine. It answers health checks, reports and
/// orders itself, and passes requests to the handler of the case.
class Replica
{
public:
    using Handler =
        std::function<void(Replica &replica, const Request &request, Connection &connection)>;

    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 6;
        bool isEngine = false;
        std::set<std::string> models;
        /// Models whose weights are on its disk beside these.
        std::set<std::string> onDisk;
        /// Time of a load of weights that the replica's disk has, and of other ones.
        Milliseconds diskLoadTime = Milliseconds(760);
        Milliseconds storeLoadTime = Milliseconds(6000);
    };

    Replica(Record &record, Store &store, Options options, Handler handler);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /// Starts a process of the replica at its address; returns after its entry has been written, if
    /// the store takes it. All but the first hold no models.
    void start(const std::string &version);
    /// The process ends at once: its connections are reset, and new ones refused.
    void crash();
    /// The same from a handler, with a new process of the same version after \p downTime.
    void crashFor(Milliseconds downTime);

    const std::string &id() const { return m_options.id; }
    std::string version() const;
    bool isRunning() const { return m_isRunning; }
    /// Fields that each answer to \p request has.
    Headers answerHeaders(const Request &request) const;
    void refuse(const Request &request, Connection &connection, int status) const;
    /// \p model may name an adapter of the model after a slash.
    bool hasModel(const std::string &model) const;

private:
    using Adapters = std::set<std::string>;

    void handle(const Request &request, Connection &connection);
    void takeOrder(const Request &request, Connection &connection);
    /// Carries the order out or begins to; needs the lock.
    int execute(const Json &order);
    void finishLoad();
    void runBeats();
    Json entry() const;
    Json modelList() const;

    Record &m_record;
    Store &m_store;
    const Options m_options;
    Handler m_handler;
    int m_port;
    mutable std::mutex m_mutex;
    std::string m_version;
    std::int64_t m_born = 0;
    std::map<std::string, Adapters> m_models;
    std::set<std::string> m_disk;
    std::uint64_t m_orders = 0;
    std::string m_loading;
    Clock::time_point m_loadedAt;
    /// Whether the store lacks the present entry.
    bool m_isUnwritten = false;
    std::atomic<bool> m_isRunning{false};
    std::atomic<std::int64_t> m_restartAtMs{0};
    std::atomic<bool> m_isStopping{false};
    std::vector<std::unique_ptr<Server>> m_servers;
    std::thread m_beats;
};

/// The number behind the last event that the caller of \p request has; 1 for a new stream.
int firstEvent(const Request &request);
/// An event of a stream; \p text is its data.
std::string eventText(int number, const std::string &text);

} // namespace review

#endif
