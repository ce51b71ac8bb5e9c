#include "Fleet.h"

namespace review {

namespace {

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

} // namespace

Json streamRoute(const std::string &service)
{
    return {{"name", "borrador-asientos"},
            {"host", Host},
            {"prefix", StreamPrefix},
            {"kind", "stream"},
            {"timeoutMs", 12'000},
            {"goalMs", 500},
            {"gapTargetMs", 300},
            {"priority", 0},
            {"service", service},
            {"attempts", 2},
            {"public", false},
            {"sticky", true},
            {"resumable", true}};
}

Json lookupRoute()
{
    return {{"name", "consulta-plano"},
            {"host", Host},
            {"prefix", LookupPrefix},
            {"kind", "idempotent"},
            {"timeoutMs", 600},
            {"goalMs", 100},
            {"priority", 2},
            {"service", AppService},
            {"attempts", 2},
            {"public", false}};
}

Json configuration(const Json &routes)
{
    const auto model = [](const char *name) {
        return Json{{"name", name},      {"weightsMb", 65'100}, {"loadS", 6.0}, {"adapters", 12},
                    {"adapterMb", 12.0}, {"warmS", 0.38},       {"diskS", 0.76}};
    };
    const auto tenant = [](const char *name, const char *key) {
        return Json{{"name", name}, {"apiKeys", Json::array({key})}, {"priority", 1}};
    };
    const Json engine = {
        {"slots", 64},          {"kvTokens", 140'499},
        {"weightsMb", 220'000}, {"adapterSlots", 8},
        {"loadsPerS", 3.1},     {"models", Json::array({model(Model), model(RareModel)})}};
    return {
        {"version", 7},
        {"routes", routes},
        {"services",
         Json::array({Json{{"name", EngineService},
                           {"healthPath", "/health"},
                           {"maxConns", 370},
                           {"engine", engine}},
                      Json{{"name", AppService}, {"healthPath", "/health"}, {"maxConns", 110}}})},
        {"limits",
         {{"headerBytes", 16'384},
          {"bodyBytes", 4'194'304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15'000}}},
        {"tenants", Json::array({tenant("parishes", ApiKey), tenant("school", SchoolKey)})}};
}

Request streamRequest(const std::string &id, const std::string &parts, int lastEvent,
                      const std::string &resumes)
{
    Request request = streamRequestFor(Model, ApiKey, id, parts);
    if (lastEvent > 0) {
        request.headers.emplace_back("Last-Event-Id", std::to_string(lastEvent));
        request.headers.emplace_back("Resumes", resumes);
    }
    return request;
}

Request streamRequestFor(const std::string &model, const std::string &key, const std::string &id,
                         const std::string &parts)
{
    Request request;
    request.method = "POST";
    request.target = std::string(StreamPrefix) + "2f";
    request.headers = {{"Host", Host},
                       {"X-Marigoldspool-Request-Id", id},
                       {"X-Marigoldspool-Model", model},
                       {"X-Marigoldspool-Token-Count", "826,120"},
                       {"X-Marigoldspool-Prefix-Hash", parts},
                       {"X-Marigoldspool-Deadline-Ms", "12000"},
                       {"Authorization", "Token " + key}};
    request.body = "prompt of " + id;
    return request;
}

Request lookupRequest(const std::string &id, const std::string &path)
{
    Request request;
    request.method = "GET";
    request.target = LookupPrefix + path;
    request.headers = {{"Host", Host},
                       {"X-Marigoldspool-Request-Id", id},
                       {"X-Marigoldspool-Deadline-Ms", "600"},
                       {"Authorization", std::string("Token ") + ApiKey}};
    return request;
}

Attempt sendTo(Record &record, const Node &node, const Request &request, Milliseconds limit)
{
    Attempt attempt;
    attempt.id = request.header("X-Marigoldspool-Request-Id");
    attempt.sentAt = Clock::now();
    record.add("client_sends", {{"id", attempt.id}, {"to", node.name()}});
    attempt.answer = callServer(node.frontPort(), request, limit);
    record.add("client_has",
               {{"id", attempt.id},
                {"status", std::to_string(attempt.answer.status)},
                {"complete", yesOrNo(attempt.answer.isComplete)},
                {"bytes", std::to_string(attempt.answer.body.size())},
                {"retry_after",
                 attempt.answer.status == 0 ? "none"
                                            : headerValue(attempt.answer.headers, "Retry-After")}});
    return attempt;
}

Clients::~Clients()
{
    finish();
}

void Clients::send(const Node &node, const Request &request, Milliseconds limit)
{
    m_threads.emplace_back([this, &node, request, limit] {
        Attempt attempt = sendTo(m_record, node, request, limit);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_attempts.push_back(std::move(attempt));
    });
}

std::vector<Attempt> Clients::finish()
{
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::exchange(m_attempts, {});
}

} // namespace review
