#include "marigoldspool/Routing/Admission.h"

#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <charconv>

namespace marigoldspool {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;

tl::unexpected<Refusal> refuse(RefusalReason reason, std::string message, std::string remedy)
{
    return tl::make_unexpected(
        Refusal{reason, RanState::No, std::move(message), std::move(remedy), Duration::zero()});
}

tl::expected<const WorkspaceRule *, Refusal> checkKey(const Configuration &configuration,
                                                      const std::optional<KeyDigest> &digest,
                                                      Duration configurationAge)
{
    if (!digest) {
        return refuse(RefusalReason::KeyMissing, "this route needs a key",
                      "send the header Authorization: Bearer KEY");
    }
    const KeyRule *key = configuration.findKey(digest->str());
    if (key == nullptr) {
        return refuse(RefusalReason::KeyUnknown, "the key is not known",
                      "check the key or ask the workspace's operators for one");
    }
    if (key->state == KeyState::Withdrawn) {
        return refuse(RefusalReason::KeyWithdrawn, "the key has been withdrawn",
                      "ask the workspace's operators for another key");
    }
    const WorkspaceRule *workspace = configuration.findWorkspace(key->workspace.str());
    if (workspace == nullptr) {
        return refuse(RefusalReason::KeyUnknown, "the key's workspace does not exist",
                      "ask the operators to define the workspace");
    }
    if (workspace->outageKeys == OutageKeys::Refuse && configurationAge > MaxUnconfirmedAge) {
        return refuse(RefusalReason::StoreUnavailable,
                      "this instance cannot confirm that the key is still valid",
                      "send it again later");
    }
    return workspace;
}

tl::expected<Duration, Refusal> parseDeadline(const RouteRule &route,
                                              gsl::span<const HeaderField> headers)
{
    const std::string *text = findHeader(headers, "X-Deadline-Ms");
    if (text == nullptr) {
        return route.deadline;
    }
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), ms);
    if (ec != std::errc() || end != text->data() + text->size() || ms <= 0 || ms > MaxDeadlineMs) {
        return refuse(RefusalReason::Malformed,
                      "the header X-Deadline-Ms is not a valid number of milliseconds",
                      "send a whole number of milliseconds from 1 to "
                          + std::to_string(MaxDeadlineMs));
    }
    return std::chrono::milliseconds(ms);
}

bool isWorkspaceAllowed(const RouteRule &route, const WorkspaceName &workspace)
{
    return route.workspaces.empty()
        || std::find(route.workspaces.begin(), route.workspaces.end(), workspace)
        != route.workspaces.end();
}

tl::expected<Target, Refusal> resolveTarget(const Configuration &configuration,
                                            const RouteRule &route, const ModelName &model)
{
    if (route.kind == RouteKind::Service) {
        return Target{{}, route.pool};
    }
    if (model.empty()) {
        return refuse(RefusalReason::Malformed, "the request body does not name a model",
                      "set the field \"model\" to a name listed by GET /v1/models");
    }
    if (configuration.findModel(model.str()) == nullptr) {
        return refuse(RefusalReason::ModelUnknown, "there is no model " + model.str(),
                      "choose a model listed by GET /v1/models");
    }
    return Target{model, {}};
}

} // namespace

std::optional<KeyDigest> findKeyDigest(gsl::span<const HeaderField> headers)
{
    const std::string *value = findHeader(headers, "Authorization");
    if (value == nullptr || value->size() <= BearerPrefix.size()
        || !equalsIgnoringCase(std::string_view(*value).substr(0, BearerPrefix.size()),
                               BearerPrefix)) {
        return std::nullopt;
    }
    return KeyDigest(sha256Hex(std::string_view(*value).substr(BearerPrefix.size())));
}

tl::expected<Request, Refusal> admitRequest(const Configuration &configuration,
                                            const IncomingRequest &incoming, SteadyTime now,
                                            Duration configurationAge)
{
    const RouteRule *route = configuration.findRouteByPath(incoming.path);
    if (route == nullptr) {
        return refuse(RefusalReason::RouteUnknown, "there is no route for " + incoming.path,
                      "check the path");
    }
    Request request;
    request.id = incoming.id;
    request.route = route->name;
    request.idempotent = route->idempotent;
    request.stream = incoming.stream;
    request.cost = route->kind == RouteKind::Model ? incoming.modelCost : route->cost;
    if (!route->open) {
        const std::optional<KeyDigest> digest = findKeyDigest(incoming.headers);
        const auto workspace = checkKey(configuration, digest, configurationAge);
        if (!workspace) {
            return tl::make_unexpected(workspace.error());
        }
        if (!isWorkspaceAllowed(*route, (*workspace)->name)) {
            return refuse(RefusalReason::ModelNotAllowed,
                          "this workspace may not use the route " + route->name.str(),
                          "ask the operators to allow it");
        }
        request.key = *digest;
        request.workspace = (*workspace)->name;
        request.share = (*workspace)->share;
    }
    auto target = resolveTarget(configuration, *route, incoming.model);
    if (!target) {
        return tl::make_unexpected(target.error());
    }
    request.target = std::move(*target);
    const auto deadline = parseDeadline(*route, incoming.headers);
    if (!deadline) {
        return tl::make_unexpected(deadline.error());
    }
    request.deadline = now + *deadline;
    return request;
}

} // namespace marigoldspool
