#include "Store.h"

#include <cstdlib>

namespace review {

namespace {

const Headers JsonHeaders{{"Content-Type", "application/json"}};
const std::string Prefix = "/v1/objects/";

void answerJson(Connection &connection, int status, const Json &body)
{
    connection.answer(status, JsonHeaders, body.dump());
}

std::string decode(const std::string &text)
{
    constexpr int Hex = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string digits = text.substr(i + 1, 2);
            result.push_back(static_cast<char>(std::strtol(digits.c_str(), nullptr, Hex)));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    const std::size_t at = query == std::string::npos ? query : target.find(name + '=', query);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 1;
    return decode(target.substr(begin, target.find('&', begin) - begin));
}

std::uint64_t toNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

Store::Store(int port)
{
    m_server =
        std::make_unique<Server>(port, [this](const Request &request, Connection &connection) {
            handle(request, connection);
        });
}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

bool Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isDown) {
        return false;
    }
    replace(kind, name, spec);
    return true;
}

bool Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isDown) {
        return false;
    }
    erase(kind, name);
    return true;
}

void Store::setDown(bool isDown)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isDown = isDown;
    m_changed.notify_all();
}

Json Store::toJson(const std::string &name, const Object &object)
{
    return {{"metadata",
             {{"name", name},
              {"rev", object.revision},
              {"createRev", object.createdAt},
              {"finalizers", Json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

Json Store::replace(const std::string &kind, const std::string &name, const Json &spec)
{
    Object &object = m_objects[kind][name];
    if (object.revision != 0 && object.spec == spec) {
        return toJson(name, object);
    }
    object.revision = ++m_revision;
    object.createdAt = object.createdAt == 0 ? object.revision : object.createdAt;
    object.spec = spec;
    Json value = toJson(name, object);
    m_events.push_back({m_revision, kind, false, value});
    m_changed.notify_all();
    return value;
}

Json Store::erase(const std::string &kind, const std::string &name)
{
    const auto it = m_objects[kind].find(name);
    if (it == m_objects[kind].end()) {
        return Json();
    }
    Json value = toJson(name, it->second);
    m_objects[kind].erase(it);
    m_events.push_back({++m_revision, kind, true, value});
    m_changed.notify_all();
    return value;
}

void Store::handle(const Request &request, Connection &connection)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    bool isDown = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        isDown = m_isDown;
    }
    if (isDown) {
        answerJson(connection, 503, Json::object());
        return;
    }
    if (path.substr(0, Prefix.size()) != Prefix) {
        answerJson(connection, 404, Json::object());
        return;
    }
    const std::string rest = path.substr(Prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : decode(rest.substr(slash + 1));
    if (request.method != "GET") {
        write(request, kind, name, connection);
    } else if (!name.empty()) {
        std::unique_lock<std::mutex> lock(m_mutex);
        const Objects &objects = m_objects[kind];
        const auto it = objects.find(name);
        const Json value = it == objects.end() ? Json() : toJson(name, it->second);
        lock.unlock();
        answerJson(connection, value.is_null() ? 404 : 200, value);
    } else if (parameter(request.target, "watch").empty()) {
        list(kind, parameter(request.target, "after"), connection);
    } else {
        watch(kind, request, connection);
    }
}

void Store::list(const std::string &kind, const std::string &after, Connection &connection)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    Json items = Json::array();
    for (const auto &[name, object] : m_objects[kind]) {
        if (after.empty() || name > after) {
            items.push_back(toJson(name, object));
        }
    }
    const Json value = {{"items", items}, {"truncated", false}, {"asOf", m_revision}};
    lock.unlock();
    answerJson(connection, 200, value);
}

std::optional<Json> Store::eventsSince(const std::string &kind, std::uint64_t revision) const
{
    Json events = Json::array();
    for (const Event &event : m_events) {
        if (event.kind == kind && event.revision > revision) {
            events.push_back({{"removed", event.isRemoval}, {"object", event.object}});
        }
    }
    return events.empty() ? std::nullopt : std::make_optional(events);
}

void Store::watch(const std::string &kind, const Request &request, Connection &connection)
{
    const std::uint64_t from = toNumber(parameter(request.target, "watch"));
    const auto wait = Milliseconds(toNumber(parameter(request.target, "waitMs")));
    std::unique_lock<std::mutex> lock(m_mutex);
    std::optional<Json> events;
    m_changed.wait_until(lock, Clock::now() + wait, [&] {
        events = eventsSince(kind, from);
        return events || m_isDown || m_isStopping;
    });
    const bool isCut = m_isDown || m_isStopping;
    const Json value = {{"events", events.value_or(Json::array())}, {"asOf", m_revision}};
    lock.unlock();
    if (isCut) {
        connection.closeAfter(true);
        return;
    }
    answerJson(connection, 200, value);
}

void Store::write(const Request &request, const std::string &kind, const std::string &pathName,
                  Connection &connection)
{
    const Json body = Json::parse(request.body, nullptr, false);
    const Json metadata = body.is_object() ? body.value("metadata", Json::object()) : Json();
    const std::string name = pathName.empty() ? metadata.value("name", "") : pathName;
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    const bool exists = found != m_objects[kind].end();
    std::uint64_t expected = exists ? found->second.revision : 0;
    if (request.method == "DELETE") {
        const std::string revision = parameter(request.target, "rev");
        expected = revision.empty() ? expected : toNumber(revision);
    } else if (metadata.contains("rev")) {
        expected = metadata["rev"].get<std::uint64_t>();
    }
    int status = 200;
    Json value;
    if (request.method == "POST" ? exists : exists && found->second.revision != expected) {
        status = 409;
        value = toJson(name, found->second);
    } else if (request.method != "POST" && !exists) {
        status = 404;
    } else {
        value = request.method == "DELETE" ? erase(kind, name)
                                           : replace(kind, name, body.value("spec", Json()));
    }
    lock.unlock();
    answerJson(connection, status, value);
}

} // namespace review
