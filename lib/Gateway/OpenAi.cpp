#include "marigoldspool/Gateway/OpenAi.h"

#include "marigoldspool/Support/Clock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>

#include <nlohmann/json.hpp>

namespace marigoldspool {

namespace {

using Json = nlohmann::json;

// Deeper bodies are refused, since they could overflow the stack of engines that parse recursively.
constexpr int MaxNestingDepth = 64;
constexpr std::size_t BytesPerTokenId = 4;

bool countsAsPrompt(std::string_view field)
{
    constexpr std::array<std::string_view, 4> Fields{"messages", "prompt", "tools", "functions"};
    for (const std::string_view name : Fields) {
        if (field == name) {
            return true;
        }
    }
    return false;
}

// Extracts the required fields without building a document of the whole body.
class BodyReader final : public nlohmann::json_sax<Json>
{
public:
    ModelRequest request;
    std::optional<std::int64_t> maxTokens;
    std::optional<std::int64_t> maxCompletionTokens;
    bool isObject = false;
    bool hasPrompt = false;
    std::optional<Error> problem;

    bool null() override { return isField("model") ? wrongType("model", "a string") : true; }

    bool boolean(bool value) override
    {
        if (isField("stream")) {
            request.stream = value;
            return true;
        }
        return scalar(false);
    }

    bool number_integer(number_integer_t value) override { return number(value); }

    bool number_unsigned(number_unsigned_t value) override
    {
        constexpr auto MaxValue = static_cast<number_unsigned_t>(INT64_MAX);
        return number(static_cast<std::int64_t>(std::min(value, MaxValue)));
    }

    bool number_float(number_float_t, const string_t &) override { return scalar(false); }

    bool string(string_t &value) override
    {
        if (isField("model")) {
            request.model = ModelName(std::move(value));
            return true;
        }
        if (countsAsPrompt(m_field)) {
            request.promptBytes += value.size();
        }
        return scalar(true);
    }

    bool binary(binary_t &) override { return scalar(false); }

    bool start_object(std::size_t) override
    {
        isObject = isObject || m_depth == 0;
        return open();
    }

    bool key(string_t &name) override
    {
        if (m_depth != 1) {
            return true;
        }
        if (!m_seen.insert(name).second) {
            problem = makeError(ErrorKind::Malformed, "the field \"" + name + "\" appears twice",
                                "send each field once");
            return false;
        }
        m_field = name;
        hasPrompt = hasPrompt || name == "messages" || name == "prompt";
        return true;
    }

    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(); }
    bool end_array() override { return close(); }

    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::detail::exception &) override
    {
        problem = makeError(ErrorKind::Malformed,
                            "the body is not valid JSON at byte " + std::to_string(position),
                            "send one JSON object");
        return false;
    }

private:
    bool isField(std::string_view name) const { return m_depth == 1 && m_field == name; }

    bool wrongType(std::string_view field, std::string_view type)
    {
        problem = makeError(ErrorKind::InvalidArgument,
                            "the field \"" + std::string(field) + "\" is not " + std::string(type),
                            "send " + std::string(type));
        return false;
    }

    bool open()
    {
        if (m_depth == 1 && !scalar(false)) {
            return false;
        }
        if (++m_depth > MaxNestingDepth) {
            problem = makeError(ErrorKind::Malformed, "the body is nested too deeply",
                                "nest at most " + std::to_string(MaxNestingDepth) + " levels");
            return false;
        }
        return true;
    }

    bool close()
    {
        --m_depth;
        return true;
    }

    // A value of the wrong type stops the parser.
    bool scalar(bool isText)
    {
        if (isField("model") && !isText) {
            return wrongType("model", "a string");
        }
        if (isField("stream")) {
            return wrongType("stream", "true or false");
        }
        if (isField("max_tokens") || isField("max_completion_tokens")) {
            return wrongType(m_field, "a positive whole number");
        }
        return true;
    }

    bool number(std::int64_t value)
    {
        if (isField("max_tokens") || isField("max_completion_tokens")) {
            if (value <= 0) {
                return wrongType(m_field, "a positive whole number");
            }
            (m_field == "max_tokens" ? maxTokens : maxCompletionTokens) = value;
            return true;
        }
        if (m_field == "prompt") {
            request.promptBytes += BytesPerTokenId;
        }
        return scalar(false);
    }

    int m_depth = 0;
    std::string m_field;
    std::set<std::string> m_seen;
};

} // namespace

Expected<ModelRequest> parseModelRequest(std::string_view body)
{
    BodyReader reader;
    Json::sax_parse(body.begin(), body.end(), &reader);
    if (reader.problem) {
        return tl::unexpected<Error>(std::move(*reader.problem));
    }
    if (!reader.isObject) {
        return unexpectedError(ErrorKind::Malformed, "the body is not a JSON object",
                               "send one JSON object");
    }
    if (reader.request.model.empty()) {
        return unexpectedError(ErrorKind::InvalidArgument, "the field \"model\" is missing",
                               "name a model that /v1/models lists");
    }
    if (!reader.hasPrompt) {
        return unexpectedError(
            ErrorKind::InvalidArgument, "the field \"messages\" or \"prompt\" is missing",
            "send messages to /v1/chat/completions, a prompt to /v1/completions");
    }
    reader.request.maxTokens =
        reader.maxCompletionTokens ? reader.maxCompletionTokens : reader.maxTokens;
    return std::move(reader.request);
}

std::string errorBody(const Refusal &refusal, const RequestId &requestId)
{
    const Json body{{"error",
                     {{"code", refusalCode(refusal.reason)},
                      {"message", refusal.message},
                      {"remedy", refusal.remedy},
                      {"ran", ranStateName(refusal.ran)},
                      {"retry_after_ms", toMilliseconds(refusal.retryAfter)},
                      {"request_id", requestId.str()}}}};
    // Messages may quote caller input that is not valid UTF-8.
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string errorEvent(const Refusal &refusal, const RequestId &requestId)
{
    return "event: error\ndata: " + errorBody(refusal, requestId) + "\n\n";
}

std::optional<std::string> retryAfterValue(const Refusal &refusal)
{
    if (refusal.retryAfter <= Duration::zero()) {
        return std::nullopt;
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter);
    return std::to_string(seconds.count());
}

std::string modelListBody(gsl::span<const ModelName> models)
{
    Json data = Json::array();
    for (const ModelName &model : models) {
        data.push_back({{"id", model.str()},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "marigoldspool"}});
    }
    return Json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

} // namespace marigoldspool
