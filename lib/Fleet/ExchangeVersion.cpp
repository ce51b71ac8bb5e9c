// The part of Exchange that keeps a stream at the software version that began it.
#include "Fleet/Exchange.h"

namespace marigoldspool {

bool Exchange::isTakeUp() const
{
    return m_route->kind == RequestKind::Stream && m_route->resumable
        && !m_request.lastEventId.empty();
}

void Exchange::findOrigin()
{
    if (!isTakeUp()) {
        return;
    }
    m_origin =
        m_runtime.streamOrigins.find(m_pool->name, streamKey(m_workspace, m_request.resumes));
    m_originSource = OriginSource::Known;
    if (!m_origin) {
        m_origin = m_runtime.softwareVersions.onlyVersion(m_pool->name);
        m_originSource = m_origin ? OriginSource::OnlyVersion : OriginSource::Unknown;
    }
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
