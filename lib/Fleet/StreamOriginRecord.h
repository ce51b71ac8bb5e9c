#ifndef MARIGOLDSPOOL_LIB_FLEET_STREAMORIGINRECORD_H
#define MARIGOLDSPOOL_LIB_FLEET_STREAMORIGINRECORD_H

#include "Fleet/FleetRuntime.h"
#include "Fleet/PlacementDriver.h"

#include <array>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace marigoldspool {

/// Keeps in the store which software version began each stream, so that this is still known after
/// all instances were killed at once.
///
/// The lease holder writes a ring of objects while several versions serve a pool. All instances
/// read the ring when they start, before they serve.
class StreamOriginRecord
{
public:
    StreamOriginRecord(FleetRuntime &runtime, PlacementDriver &placement);

    void onTick();

private:
    static constexpr std::size_t SlotCount = 16;
    using Content = std::map<std::pair<PoolName, SoftwareVersion>, std::vector<StreamKey>>;

    struct PendingStream {
        PoolName pool;
        SoftwareVersion version;
        StreamKey key = 0;
    };

    void readAtStart();
    void onReadAtStart(const Expected<ListResult> &result);
    void advanceWriting(const std::set<PoolName> &mixed);
    /// Lists the versions of the objects, and continues behind the one that was written last.
    void prepare();
    void onPrepared(const ListResult &result);
    /// Queues the streams that have become known since the last call.
    void collect(const std::set<PoolName> &mixed);
    void fillSlot(Duration slotTime);
    void writeSlot();
    void onWritten(std::size_t slot, const Expected<std::uint64_t> &result);
    void reset();

    FleetRuntime &m_runtime;
    PlacementDriver &m_placement;
    SteadyTime m_startedAt;
    SteadyTime m_nextRead;
    bool m_isReading = false;
    bool m_isRead = false;

    std::array<std::uint64_t, SlotCount> m_versions{};
    bool m_isPrepared = false;
    bool m_isCalling = false;
    bool m_hasSlot = false;
    std::size_t m_slot = 0;
    SteadyTime m_slotStartedAt;
    Content m_content;
    std::size_t m_contentSize = 0;
    /// Whether the store lacks a part of \c m_content.
    bool m_isDirty = false;
    std::deque<PendingStream> m_pending;
    /// Pools whose streams were queued up to \c m_collectedUntil.
    std::set<PoolName> m_collectedPools;
    SteadyTime m_collectedUntil;
    std::uint64_t m_eraStart = 0;
    SteadyTime m_nextWrite;
};

} // namespace marigoldspool

#endif
