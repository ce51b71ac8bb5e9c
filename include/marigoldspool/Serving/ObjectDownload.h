#ifndef MARIGOLDSPOOL_SERVING_OBJECTDOWNLOAD_H
#define MARIGOLDSPOOL_SERVING_OBJECTDOWNLOAD_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Support/Clock.h"

namespace marigoldspool {

/// A transfer from a peer whose large values are fetched in parts, one request at a time.
///
/// Answers whole, requested again before they had arrived, kept links full for seconds, and the
/// heartbeats behind them arrived too late.
class ObjectDownload
{
public:
    /// A source that has sent nothing for this long is replaced.
    static constexpr Duration StallTimeout = std::chrono::milliseconds(1000);

    enum class Progress {
        /// The part was not the one that was requested.
        None,
        /// nextRequest() is due.
        Advanced,
        /// All values are there.
        Complete,
        /// The source does not have the value any more, or has another one.
        Lost,
    };

    /// Whether \p transfer lacks values that a download can fetch.
    static bool isNeededFor(const ObjectsTransfer &transfer);

    /// \p transfer comes from \p source and lacks at least one value.
    ObjectDownload(InstanceId source, ObjectsTransfer transfer, SteadyTime now);

    const InstanceId &source() const { return m_source; }
    std::uint64_t revision() const { return m_transfer.revision; }
    /// The request to send to source(). Must not be called once the download is complete.
    ObjectPartRequest nextRequest() const;
    Progress onPart(const InstanceId &from, const ObjectPart &part, SteadyTime now);
    bool isStalled(SteadyTime now) const { return now - m_lastProgress >= StallTimeout; }
    /// Goes on behind the last part at \p peer, which may have the same version.
    void resumeFrom(InstanceId peer, SteadyTime now);
    /// The transfer with all of its values; the download has ended then.
    ObjectsTransfer takeTransfer() { return std::move(m_transfer); }

private:
    /// Moves on to the next object without a whole value; returns whether there is one.
    bool advance();

    InstanceId m_source;
    ObjectsTransfer m_transfer;
    /// Index of the object whose value is being fetched.
    std::size_t m_current = 0;
    SteadyTime m_lastProgress;
};

} // namespace marigoldspool

#endif
