#ifndef MARIGOLDSPOOL_REVIEW_STANDINS2_STORE_H
#define MARIGOLDSPOOL_REVIEW_STANDINS2_STORE_H

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

/// The platform's metadata store: objects with conditional writes, lists and watches.
class Store
{
public:
    explicit Store(int port);
    ~Store();

    /// Writes an object for the operator or a replica; returns false while the store is down.
    bool put(const std::string &kind, const std::string &name, const Json &spec);
    bool remove(const std::string &kind, const std::string &name);
    /// While down, every call is answered with 503 and waiting watches are cut.
    void setDown(bool isDown);

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
        Json spec;
        Json status;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        bool isRemoval = false;
        Json object;
    };
    using Objects = std::map<std::string, Object>;

    static Json toJson(const std::string &name, const Object &object);
    void handle(const Request &request, Connection &connection);
    void list(const std::string &kind, const std::string &after, Connection &connection);
    void watch(const std::string &kind, const Request &request, Connection &connection);
    void write(const Request &request, const std::string &kind, const std::string &name,
               Connection &connection);
    /// The following need the lock.
    Json replace(const std::string &kind, const std::string &name, const Json &spec);
    Json erase(const std::string &kind, const std::string &name);
    std::optional<Json> eventsSince(const std::string &kind, std::uint64_t revision) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Objects> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 1;
    bool m_isDown = false;
    bool m_isStopping = false;
    std::unique_ptr<Server> m_server;
};

} // namespace review

#endif
