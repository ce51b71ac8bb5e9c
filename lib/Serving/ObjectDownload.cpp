#include "marigoldspool/Serving/ObjectDownload.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marigoldspool {

namespace {

// The store accepts values of 1 MiB. What a peer announces beyond this is not fetched.
constexpr std::uint64_t MaxValueBytes = 8U << 20U;

bool isWhole(const RelayedObject &object)
{
    return object.value.size() >= object.omittedBytes;
}

} // namespace

bool ObjectDownload::isNeededFor(const ObjectsTransfer &transfer)
{
    return !std::all_of(transfer.objects.begin(), transfer.objects.end(), isWhole);
}

ObjectDownload::ObjectDownload(InstanceId source, ObjectsTransfer transfer, SteadyTime now)
    : m_source(std::move(source))
    , m_transfer(std::move(transfer))
    , m_lastProgress(now)
{
    const bool isNeeded = advance();
    assert(isNeeded && "the transfer must lack a value");
    static_cast<void>(isNeeded);
}

bool ObjectDownload::advance()
{
    const auto &objects = m_transfer.objects;
    while (m_current < objects.size() && isWhole(objects[m_current])) {
        ++m_current;
    }
    return m_current < objects.size();
}

ObjectPartRequest ObjectDownload::nextRequest() const
{
    assert(m_current < m_transfer.objects.size() && "the download must not be complete");
    const RelayedObject &object = m_transfer.objects[m_current];
    return {m_transfer.prefix, object.key, object.version, object.value.size()};
}

ObjectDownload::Progress ObjectDownload::onPart(const InstanceId &from, const ObjectPart &part,
                                                SteadyTime now)
{
    RelayedObject &object = m_transfer.objects[m_current];
    if (from != m_source || part.key != object.key || part.version != object.version
        || part.offset != object.value.size()) {
        return Progress::None;
    }
    const bool isPartOfValue = part.totalBytes == object.omittedBytes
        && part.totalBytes <= MaxValueBytes && !part.bytes.empty()
        && part.bytes.size() <= part.totalBytes - part.offset;
    if (!isPartOfValue) {
        return Progress::Lost;
    }
    object.value.append(part.bytes);
    m_lastProgress = now;
    return advance() ? Progress::Advanced : Progress::Complete;
}

void ObjectDownload::resumeFrom(InstanceId peer, SteadyTime now)
{
    m_source = std::move(peer);
    m_lastProgress = now;
}

} // namespace marigoldspool
