#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_3_STORE_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_3_STORE_H

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace marigoldspool::review3 {

using Json = nlohmann::json;

/// Stand-in for the platform's metadata store: conditional writes, lists, watches with a history.
class Store
{
public:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        Json spec;
        Json status;
    };
    using Objects = std::map<std::string, std::map<std::string, Object>>;
    struct Copy {
        Objects objects;
        std::uint64_t revision = 0;
    };
    /// Called for each write of an instance, with the lock held.
    using WriteHandler = std::function<void(const std::string &method, const std::string &kind,
                                            const std::string &name, const Json &spec, int status)>;

    Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    ~Store();

    std::string address() const { return m_listener.address(); }
    void put(const std::string &kind, const std::string &name, const Json &spec);
    void erase(const std::string &kind, const std::string &name);
    std::optional<Json> get(const std::string &kind, const std::string &name);
    Copy copy();
    /// The store comes back with an earlier state; its era rises by one.
    void restore(const Copy &copy);
    /// While set, calls get no answer and have no effect.
    void setSilent(bool silent);
    void setWriteHandler(WriteHandler handler);
    /// Names of the era in all answers once one has been named.
    void nameEras();

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool removed = false;
        Object object;
    };

    void accept();
    void serve(Connection &connection);
    std::string handle(const Message &request, std::unique_lock<std::mutex> &lock);
    std::string list(const std::string &kind, const std::string &query);
    std::string watch(const std::string &kind, const std::string &query,
                      std::unique_lock<std::mutex> &lock);
    std::string write(const Message &request, const std::string &kind, std::string name,
                      const std::string &query);
    void change(const std::string &kind, const std::string &name, bool removed, Object object);
    std::string answer(int status, const Json &body) const;
    static Json toJson(const std::string &name, const Object &object);

    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Objects m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_historyStart = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 0;
    bool m_namesEras = false;
    bool m_isSilent = false;
    bool m_isClosing = false;
    WriteHandler m_onWrite;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace marigoldspool::review3

#endif
