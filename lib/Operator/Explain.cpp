#include "marigoldspool/Operator/Explain.h"

#include "JsonNames.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using Json = nlohmann::json;

constexpr std::string_view ExplainPath = "/explain";

constexpr NamedValue<ExplainOutcome> Outcomes[] = {
    {ExplainOutcome::Served, "served"},
    {ExplainOutcome::Queued, "queued"},
    {ExplainOutcome::Refused, "refused"},
};

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || std::string_view("-._~/:").find(c) != std::string_view::npos;
}

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c)) {
            encoded.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += {'%', Digits[byte >> 4U], Digits[byte & 15U]};
    }
    return encoded;
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i]);
            continue;
        }
        const int high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
        const int low = i + 2 < text.size() ? hexDigit(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(high * 16 + low));
        i += 2;
    }
    return decoded;
}

tl::unexpected<Error> invalidQuery(const std::string &cause)
{
    return unexpectedError(ErrorKind::InvalidArgument, cause,
                           "ask for /explain?workspace=W&path=P&model=M; path is mandatory");
}

ExplainAnswer explanationFromJson(const Json &json)
{
    ExplainAnswer answer;
    answer.instance = InstanceId(json.at("instance"));
    json.at("config_version").get_to(answer.configVersion);
    answer.outcome = enumFromName(Outcomes, json.at("outcome"));
    const std::string code = json.at("code");
    answer.reason = refusalFromCode(code);
    if (!code.empty() && !answer.reason) {
        throw std::invalid_argument("unknown code " + code);
    }
    json.at("message").get_to(answer.message);
    json.at("remedy").get_to(answer.remedy);
    answer.route = RouteName(json.at("route"));
    json.at("cost").get_to(answer.cost);
    answer.home = InstanceId(json.at("home"));
    for (const Json &step : json.at("steps")) {
        answer.steps.push_back({step.at("check"), step.at("passed"), step.at("detail")});
    }
    for (const Json &endpoint : json.at("endpoints")) {
        answer.endpoints.push_back({EndpointId(endpoint.at("id")), ZoneName(endpoint.at("zone")),
                                    endpoint.at("eligible"), endpoint.at("reason")});
    }
    return answer;
}

} // namespace

std::string formatExplainTarget(const ExplainRequest &request)
{
    std::string target = std::string(ExplainPath) + "?path=" + percentEncode(request.path);
    if (!request.workspace.empty()) {
        target += "&workspace=" + percentEncode(request.workspace.str());
    }
    if (!request.model.empty()) {
        target += "&model=" + percentEncode(request.model.str());
    }
    return target;
}

Expected<ExplainRequest> parseExplainTarget(std::string_view target)
{
    std::string workspace;
    std::string path;
    std::string model;
    const std::size_t mark = std::min(target.find('?'), target.size());
    std::string_view rest = target.substr(mark);
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view word = rest.substr(0, end);
        rest.remove_prefix(end);
        if (word.empty()) {
            continue;
        }
        const std::size_t equals = std::min(word.find('='), word.size());
        const std::string_view key = word.substr(0, equals);
        std::string *value = key == "workspace" ? &workspace
            : key == "path"                     ? &path
            : key == "model"                    ? &model
                                                : nullptr;
        const std::optional<std::string> decoded =
            percentDecode(word.substr(std::min(equals + 1, word.size())));
        if (value == nullptr || !value->empty() || !decoded) {
            return invalidQuery("the parameter \"" + std::string(key)
                                + "\" is unknown, repeated or wrongly encoded");
        }
        *value = *decoded;
    }
    if (path.empty() || path[0] != '/') {
        return invalidQuery("the parameter \"path\" is missing or does not begin with a slash");
    }
    return ExplainRequest{WorkspaceName(workspace), path, ModelName(model)};
}

std::string serializeExplanation(const ExplainAnswer &answer)
{
    Json steps = Json::array();
    for (const ExplainAnswer::Step &step : answer.steps) {
        steps.push_back({{"check", step.check}, {"passed", step.passed}, {"detail", step.detail}});
    }
    Json endpoints = Json::array();
    for (const ExplainAnswer::Endpoint &endpoint : answer.endpoints) {
        endpoints.push_back({{"id", endpoint.id.str()},
                             {"zone", endpoint.zone.str()},
                             {"eligible", endpoint.eligible},
                             {"reason", endpoint.reason}});
    }
    const Json json{{"instance", answer.instance.str()},
                    {"config_version", answer.configVersion},
                    {"outcome", outcomeName(answer.outcome)},
                    {"code", answer.reason ? refusalCode(*answer.reason) : ""},
                    {"message", answer.message},
                    {"remedy", answer.remedy},
                    {"route", answer.route.str()},
                    {"cost", answer.cost},
                    {"home", answer.home.str()},
                    {"steps", std::move(steps)},
                    {"endpoints", std::move(endpoints)}};
    // Names in the request come from the caller and may hold any bytes.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Expected<ExplainAnswer> parseExplanation(std::string_view json)
{
    return readJson<ExplainAnswer>("explanation", json, explanationFromJson);
}

std::string_view outcomeName(ExplainOutcome outcome)
{
    return enumName(Outcomes, outcome);
}

} // namespace marigoldspool
