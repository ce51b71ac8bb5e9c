#include "Store.h"

#include <algorithm>

namespace marigoldspool::review3 {

namespace {

constexpr Milliseconds ReadTimeout(200);

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

std::string parameter(const std::string &query, const std::string &name)
{
    const std::size_t at = ('&' + query).find('&' + name + '=');
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 1;
    return percentDecoded(query.substr(begin, query.find('&', begin) - begin));
}

} // namespace

Store::Store()
    : m_listener("127.0.0.1:" + std::to_string(freePort()))
    , m_acceptor([this] {
        accept();
    })
{ }

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isClosing = true;
    }
    m_changed.notify_all();
    m_listener.close();
    m_acceptor.join();
    for (std::thread &it : m_threads) {
        it.join();
    }
}

void Store::accept()
{
    for (;;) {
        auto connection = std::make_shared<Connection>(m_listener.accept());
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isClosing || !connection->isValid()) {
            return;
        }
        m_threads.emplace_back([this, connection] {
            serve(*connection);
        });
    }
}

void Store::serve(Connection &connection)
{
    for (;;) {
        if (connection.buffer().empty()) {
            const ReadResult result = connection.receive(ReadTimeout);
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_isClosing || result == ReadResult::End || result == ReadResult::Reset) {
                return;
            }
            if (result == ReadResult::Timeout) {
                continue;
            }
        }
        const std::optional<Message> request = readRequest(connection, Milliseconds(2000));
        if (!request) {
            return;
        }
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_isSilent) {
            m_changed.wait(lock, [this] {
                return !m_isSilent || m_isClosing;
            });
            // The answer is lost with its connection.
            return;
        }
        const std::string text = handle(*request, lock);
        lock.unlock();
        if (text.empty() || !connection.send(text)) {
            return;
        }
    }
}

std::string Store::answer(int status, const Json &body) const
{
    std::vector<Field> fields{{"Content-Type", "application/json"}};
    if (m_namesEras) {
        fields.push_back({"Store-Era", std::to_string(m_era)});
    }
    return formatAnswer(status, fields, body.dump());
}

Json Store::toJson(const std::string &name, const Object &object)
{
    return {{"metadata",
             {{"name", name},
              {"rev", object.revision},
              {"createRev", object.created},
              {"finalizers", Json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

std::string Store::handle(const Message &request, std::unique_lock<std::mutex> &lock)
{
    constexpr std::string_view Prefix = "/v1/objects/";
    const std::string target = request.secondWord();
    const std::size_t mark = target.find('?');
    const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    if (target.substr(0, Prefix.size()) != Prefix) {
        return answer(404, Json::object());
    }
    const std::string path = target.substr(Prefix.size(), mark - Prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : percentDecoded(path.substr(slash + 1));
    if (request.method() != "GET") {
        return write(request, kind, name, query);
    }
    if (!parameter(query, "watch").empty()) {
        return watch(kind, query, lock);
    }
    if (name.empty()) {
        return list(kind, query);
    }
    const auto it = m_objects[kind].find(name);
    return it == m_objects[kind].end() ? answer(404, Json::object())
                                       : answer(200, toJson(name, it->second));
}

std::string Store::list(const std::string &kind, const std::string &query)
{
    constexpr std::size_t PageSize = 500;
    const std::string after = parameter(query, "after");
    Json items = Json::array();
    bool truncated = false;
    for (const auto &[name, object] : m_objects[kind]) {
        if (!after.empty() && name <= after) {
            continue;
        }
        truncated = items.size() == PageSize;
        if (truncated) {
            break;
        }
        items.push_back(toJson(name, object));
    }
    return answer(200, {{"items", items}, {"truncated", truncated}, {"asOf", m_revision}});
}

std::string Store::watch(const std::string &kind, const std::string &query,
                         std::unique_lock<std::mutex> &lock)
{
    const std::uint64_t from = std::stoull(parameter(query, "watch"));
    const std::uint64_t era = m_era;
    const auto end =
        std::chrono::steady_clock::now() + Milliseconds(std::stoi(parameter(query, "waitMs")));
    for (;;) {
        if (m_isClosing || m_isSilent || m_era != era) {
            return {};
        }
        if (from < m_historyStart || from > m_revision) {
            return answer(410, Json::object());
        }
        Json events = Json::array();
        for (const Change &it : m_history) {
            if (it.kind == kind && it.revision > from) {
                events.push_back({{"object", toJson(it.name, it.object)}, {"removed", it.removed}});
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end) {
            return answer(200, {{"events", events}, {"asOf", m_revision}});
        }
        m_changed.wait_until(lock, end);
    }
}

std::string Store::write(const Message &request, const std::string &kind, std::string name,
                         const std::string &query)
{
    Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return answer(400, Json::object());
    }
    const Json metadata = body.value("metadata", Json::object());
    if (name.empty()) {
        name = metadata.value("name", std::string());
    }
    auto &objects = m_objects[kind];
    const auto it = objects.find(name);
    const bool exists = it != objects.end();
    const std::string method = request.method();
    std::string expected = parameter(query, "rev");
    if (metadata.contains("rev")) {
        expected = metadata["rev"].dump();
    }
    int status = 200;
    if (method == "POST") {
        status = exists ? 409 : 200;
    } else if (!exists) {
        status = 404;
    } else if (!expected.empty() && expected != std::to_string(it->second.revision)) {
        status = 409;
    }
    const Json spec = body.value("spec", Json());
    if (m_onWrite) {
        m_onWrite(method, kind, name, spec, status);
    }
    if (status != 200) {
        return answer(status, exists ? toJson(name, it->second) : Json::object());
    }
    if (method == "DELETE") {
        const Object old = it->second;
        change(kind, name, true, old);
        return answer(200, toJson(name, old));
    }
    Object object = exists ? it->second : Object();
    if (exists && object.spec == spec) {
        return answer(200, toJson(name, object));
    }
    object.spec = spec;
    change(kind, name, false, object);
    return answer(200, toJson(name, objects[name]));
}

void Store::change(const std::string &kind, const std::string &name, bool removed, Object object)
{
    ++m_revision;
    if (removed) {
        m_objects[kind].erase(name);
    } else {
        object.revision = m_revision;
        object.created = object.created == 0 ? m_revision : object.created;
        m_objects[kind][name] = object;
    }
    m_history.push_back({m_revision, kind, name, removed, std::move(object)});
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_objects[kind].find(name);
    Object object = it == m_objects[kind].end() ? Object() : it->second;
    object.spec = spec;
    change(kind, name, false, std::move(object));
}

void Store::erase(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_objects[kind].find(name);
    if (it != m_objects[kind].end()) {
        const Object old = it->second;
        change(kind, name, true, old);
    }
}

std::optional<Json> Store::get(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_objects[kind].find(name);
    return it == m_objects[kind].end() ? std::nullopt : std::make_optional(it->second.spec);
}

Store::Copy Store::copy()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_objects, m_revision};
}

void Store::restore(const Copy &copy)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_objects = copy.objects;
    m_revision = copy.revision;
    m_history.clear();
    m_historyStart = m_revision;
    ++m_era;
    m_changed.notify_all();
}

void Store::setSilent(bool silent)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isSilent = silent;
    m_changed.notify_all();
}

void Store::setWriteHandler(WriteHandler handler)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_onWrite = std::move(handler);
}

void Store::nameEras()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_namesEras = true;
}

} // namespace marigoldspool::review3
