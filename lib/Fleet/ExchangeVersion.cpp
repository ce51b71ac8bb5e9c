// The part of Exchange that keeps a stream at the software version that began it.
#include "Fleet/Exchange.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

// The notice of the instance that began the stream may be on its way.
constexpr Duration UnknownVersionRetryAfter = std::chrono::milliseconds(300);
// Streams may have begun at a version that an older list of endpoints lacks. A list in touch with
// the store is confirmed within 3 s, also through peers.
constexpr Duration MaxListAge = std::chrono::seconds(4);

} // namespace

bool Exchange::isResumableStream() const
{
    return m_route->kind == RequestKind::Stream && m_route->resumable;
}

bool Exchange::isTakeUp() const
{
    return isResumableStream() && !m_request.lastEventId.empty();
}

// Also called again before each attempt, since another instance may have told of the stream.
void Exchange::findOrigin()
{
    if (m_answerStarted || !isTakeUp()) {
        return;
    }
    std::optional<SoftwareVersion> origin;
    if (!m_request.resumes.empty()) {
        origin =
            m_runtime.streamOrigins.find(m_pool->name, streamKey(m_workspace, m_request.resumes));
    }
    m_originSource = OriginSource::Known;
    if (!origin) {
        const bool isListCurrent =
            m_runtime.clock.now() - m_runtime.endpointsConfirmedAt <= MaxListAge;
        origin =
            isListCurrent ? m_runtime.softwareVersions.onlyVersion(m_pool->name) : std::nullopt;
        m_originSource = origin ? OriginSource::OnlyVersion : OriginSource::Unknown;
    }
    m_streamVersions.emplace();
    if (origin) {
        m_streamVersions->insert(std::move(*origin));
    }
}

const PoolName &Exchange::poolOf(const PrefixRoute &route, const WorkspaceName &workspace) const
{
    if (!route.resumable || m_request.lastEventId.empty() || m_request.resumes.empty()) {
        return choosePool(route, m_request.id);
    }
    // The attempt may have taken the stream up itself, so its id need not tell the pool.
    if (route.pools.size() > 1) {
        const StreamKey key = streamKey(workspace, m_request.resumes);
        for (const WeightedPool &it : route.pools) {
            if (m_runtime.streamOrigins.find(it.pool, key)) {
                return it.pool;
            }
        }
    }
    return choosePool(route, m_request.resumes);
}

const std::set<SoftwareVersion> *Exchange::allowedVersions() const
{
    if (m_streamVersions) {
        return &*m_streamVersions;
    }
    return isResumableStream() ? m_runtime.softwareVersions.allowedForNew(m_pool->name) : nullptr;
}

bool Exchange::isVersionAllowed(const EndpointId &endpoint) const
{
    const std::set<SoftwareVersion> *versions = allowedVersions();
    const TrackedEndpoint *state = m_runtime.directory.find(endpoint);
    return versions == nullptr
        || (state != nullptr && versions->count(state->listed.softwareVersion) > 0);
}

bool Exchange::refuseUnresumable()
{
    findOrigin();
    if (!m_streamVersions) {
        return false;
    }
    if (m_streamVersions->empty()) {
        refuse(RefusalReason::StreamNotResumable, ranState(), UnknownVersionRetryAfter,
               "it is not known which software version began the stream");
        return true;
    }
    // An endpoint that leaves takes no more requests.
    const EndpointDirectory &directory = m_runtime.directory;
    const auto &endpoints = directory.endpoints();
    const bool isServed =
        std::any_of(endpoints.begin(), endpoints.end(), [this, &directory](const auto &it) {
            const ListedEndpoint &listed = it.second.listed;
            return listed.pool == m_pool->name
                && m_streamVersions->count(listed.softwareVersion) > 0
                && !directory.isLeaving(it.first);
        });
    if (isServed) {
        return false;
    }
    refuse(RefusalReason::StreamNotResumable, ranState(), Duration::zero(),
           "the software version that began the stream is no longer served");
    return true;
}

// A process that started again at the same address may have got the request.
bool Exchange::isVersionReplaced() const
{
    const TrackedEndpoint *state = m_runtime.directory.find(m_endpoint);
    return state != nullptr && state->listed.softwareVersion != m_endpointVersion;
}

bool Exchange::isFromOwnVersion()
{
    findOrigin();
    return !m_streamVersions
        || (m_streamVersions->count(m_endpointVersion) > 0 && !isVersionReplaced());
}

void Exchange::noteStreamBegun()
{
    if (!m_streaming || !isResumableStream()) {
        return;
    }
    m_streamVersions.emplace();
    if (isVersionReplaced()) {
        return;
    }
    m_streamVersions->insert(m_endpointVersion);
    m_runtime.streamOrigins.onBegun(m_pool->name, streamKey(m_workspace, m_request.id),
                                    m_endpointVersion,
                                    m_runtime.softwareVersions.streamLifetime(m_pool->name));
}

std::string_view Exchange::takeUpOutcome(std::string_view outcome) const
{
    if (m_answerStarted || outcome == "served") {
        return "went_on";
    }
    if (outcome != refusalCode(RefusalReason::StreamNotResumable)) {
        return "failed";
    }
    return m_originSource == OriginSource::Unknown ? "version_unknown" : "version_gone";
}

std::string_view Exchange::originName() const
{
    switch (m_originSource) {
    case OriginSource::None:
        return "none";
    case OriginSource::Known:
        return "known";
    case OriginSource::OnlyVersion:
        return "only_version";
    case OriginSource::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace marigoldspool
