#include "Store.h"

#include <algorithm>

namespace marigoldspool::review {

namespace {

constexpr Milliseconds AnswerTime(4);
constexpr std::chrono::hours SessionLimit(1);
const std::string Root = "/v1/objects/";

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> query;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('&', at), text.size());
        const std::string part = text.substr(at, end - at);
        const std::size_t equals = std::min(part.find('='), part.size());
        query[part.substr(0, equals)] = part.substr(std::min(equals + 1, part.size()));
        at = end + 1;
    }
    return query;
}

std::string reason(int status)
{
    return status == 200 ? "OK" : status == 404 ? "Not Found" : status == 409 ? "Conflict" : "Gone";
}

} // namespace

Store::Store(const Address &address)
    : m_address(address)
    , m_server(std::make_unique<Server>(address, [this](Connection &connection) {
        serve(connection);
    }))
{ }

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopped = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void Store::serve(Connection &connection)
{
    Head head;
    std::string body;
    bool isSilent = false;
    std::uint64_t before = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        isSilent = m_isAway;
        before = m_era;
    }
    while (connection.readHead(head, Steady::now() + SessionLimit)
           && connection.readBody(head, body, Steady::now() + SessionLimit)) {
        const Answer answer = handle(head, body);
        std::this_thread::sleep_for(AnswerTime);
        std::uint64_t era = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            isSilent = isSilent || m_isAway || before != m_era;
            era = m_era;
        }
        if (isSilent) {
            continue;
        }
        const std::string text = answer.body.dump();
        const bool isSent =
            connection.write("HTTP/1.1 " + std::to_string(answer.status) + ' '
                             + reason(answer.status) + "\r\nStore-Era: " + std::to_string(era)
                             + "\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(text.size()) + "\r\n\r\n" + text);
        if (!isSent) {
            return;
        }
    }
}

Store::Answer Store::handle(const Head &head, const std::string &body)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isAway) {
            return {};
        }
    }
    const std::string method = head.word(0);
    const std::string target = head.word(1);
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, mark);
    const auto query = parseQuery(target.substr(std::min(mark + 1, target.size())));
    if (path.rfind(Root, 0) != 0) {
        return {404, Json::object()};
    }
    const std::string key = path.substr(Root.size());
    const std::size_t slash = std::min(key.find('/'), key.size());
    const std::string kind = key.substr(0, slash);
    const std::string name = key.substr(std::min(slash + 1, key.size()));
    if (method == "GET") {
        return get(kind, name, query);
    }
    const Json object = Json::parse(body, nullptr, false);
    const auto rev = query.find("rev");
    return write(method, kind, name, rev == query.end() ? "" : rev->second, object);
}

Store::Answer Store::get(const std::string &kind, const std::string &name,
                         const std::map<std::string, std::string> &query)
{
    const auto from = query.find("watch");
    if (from != query.end()) {
        const auto wait = query.find("waitMs");
        const Milliseconds time(wait == query.end() ? 0 : std::stol(wait->second));
        return watch(kind, std::stoull(from->second), time);
    }
    if (name.empty()) {
        const auto after = query.find("after");
        return list(kind, after == query.end() ? "" : after->second);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Objects &objects = m_objects[kind];
    const auto it = objects.find(name);
    return it == objects.end() ? Answer{404, Json::object()} : Answer{200, it->second};
}

Store::Answer Store::list(const std::string &kind, const std::string &after) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json items = Json::array();
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end()) {
        for (const auto &[name, object] : objects->second) {
            if (after.empty() || name > after) {
                items.push_back(object);
            }
        }
    }
    return {200, {{"items", items}, {"truncated", false}, {"asOf", m_revision}}};
}

Store::Answer Store::watch(const std::string &kind, std::uint64_t from, Milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (from < m_firstRevision || from > m_revision) {
        return {410, Json::object()};
    }
    Json events = Json::array();
    m_changed.wait_for(lock, wait, [&] {
        for (const Event &event : m_events) {
            if (event.revision > from && event.kind == kind) {
                events.push_back({{"object", event.object}, {"removed", event.isRemoved}});
            }
        }
        return m_isStopped || m_isAway || !events.empty();
    });
    return {200, {{"events", events}, {"asOf", m_revision}}};
}

Store::Answer Store::write(const std::string &method, const std::string &kind,
                           const std::string &name, const std::string &expected, const Json &body)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Json metadata = body.is_object() ? body.value("metadata", Json::object()) : Json();
    const std::string target = method == "POST" ? metadata.value("name", std::string()) : name;
    Objects &objects = m_objects[kind];
    const auto it = objects.find(target);
    if (method == "POST" && it != objects.end()) {
        return {409, it->second};
    }
    if (method != "POST" && it == objects.end()) {
        return {404, Json::object()};
    }
    std::string revision = expected;
    if (revision.empty() && metadata.is_object() && metadata.contains("rev")) {
        revision = metadata["rev"].dump();
    }
    if (method != "POST" && !revision.empty() && revision != it->second["metadata"]["rev"].dump()) {
        return {409, it->second};
    }
    if (method == "DELETE") {
        const Json removed = it->second;
        erase(kind, target);
        return {200, removed};
    }
    change(kind, target, body.value("spec", Json()));
    return {200, objects[target]};
}

void Store::change(const std::string &kind, const std::string &name, const Json &spec)
{
    Json &object = m_objects[kind][name];
    if (object.is_object() && object["spec"] == spec) {
        return;
    }
    ++m_revision;
    const Json created = object.is_object() ? object["metadata"]["createRev"] : Json(m_revision);
    object = {{"metadata",
               {{"name", name},
                {"rev", m_revision},
                {"createRev", created},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
    onChange(kind, object, false);
}

void Store::erase(const std::string &kind, const std::string &name)
{
    Objects &objects = m_objects[kind];
    const auto it = objects.find(name);
    if (it == objects.end()) {
        return;
    }
    ++m_revision;
    const Json object = it->second;
    objects.erase(it);
    onChange(kind, object, true);
}

void Store::onChange(const std::string &kind, const Json &object, bool isRemoved)
{
    constexpr std::chrono::seconds HistoryTime(20);
    m_events.push_back({m_revision, kind, object, isRemoved});
    m_history.push_back({Steady::now(), m_revision, m_objects});
    while (m_history.front().at < Steady::now() - HistoryTime) {
        m_history.pop_front();
    }
    m_changed.notify_all();
}

void Store::goAway()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isAway = true;
    m_changed.notify_all();
}

void Store::comeBack(TimePoint copyAt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    while (m_history.size() > 1 && m_history.back().at > copyAt) {
        m_history.pop_back();
    }
    m_objects = m_history.back().objects;
    m_revision = m_history.back().revision;
    m_firstRevision = m_revision;
    m_events.clear();
    ++m_era;
    m_isAway = false;
}

TimePoint Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(kind, name, spec);
    return Steady::now();
}

TimePoint Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    erase(kind, name);
    return Steady::now();
}

void Store::beat(const std::string &name, const Json &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json &object = m_objects["servers"][name];
    if (object.is_object()) {
        Json before = object["spec"];
        before["seq"] = spec["seq"];
        if (before == spec) {
            object["spec"] = spec;
            return;
        }
    }
    change("servers", name, spec);
}

Json Store::spec(const std::string &kind, const std::string &name) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end()) {
        return nullptr;
    }
    const auto object = objects->second.find(name);
    return object == objects->second.end() ? Json() : object->second["spec"];
}

} // namespace marigoldspool::review
