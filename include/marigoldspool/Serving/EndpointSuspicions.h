#ifndef MARIGOLDSPOOL_SERVING_ENDPOINTSUSPICIONS_H
#define MARIGOLDSPOOL_SERVING_ENDPOINTSUSPICIONS_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Peer/PeerTopology.h"
#include "marigoldspool/Serving/EndpointStatements.h"

#include <map>
#include <optional>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// How far an endpoint is suspected of having stopped answering.
enum class SuspicionLevel {
    None,
    /// By one instance, or by two of the same zone.
    Noticed,
    /// By instances of two zones, or by three instances.
    Confirmed,
};

enum class SuspicionChangeKind {
    Noticed,
    Confirmed,
    /// The endpoint has sent a byte, or those who noticed the silence have said that it ended.
    Ended,
    /// Nobody has repeated the notices.
    Expired,
};

std::string_view suspicionChangeName(SuspicionChangeKind kind);

struct SuspicionChange {
    SuspicionChangeKind kind = SuspicionChangeKind::Noticed;
    EndpointIncarnation incarnation;
    /// How long the endpoint has been silent.
    Duration silence = Duration::zero();
    /// The instance whose notice led to the change; empty if none did.
    InstanceId by;
    /// Instances that have noticed the silence.
    std::size_t noticeCount = 0;
};

/// Endpoints that have stopped answering requests, as far as this instance and its peers noticed.
///
/// Decides when this instance tells of a silence and what the notices of others count for. Times
/// that are called observed are of ObservedTime, so that a held-up event loop is not taken for the
/// silence of an endpoint.
class EndpointSuspicions
{
public:
    /// A sound endpoint may be silent for a second, but rarely is for this long.
    static constexpr Duration MinSilence = std::chrono::milliseconds(700);
    /// How long a notice counts.
    static constexpr Duration NoticeLifetime = std::chrono::milliseconds(1500);
    /// How often a notice is repeated while the silence lasts. Two of three may be lost.
    static constexpr Duration RepeatInterval = std::chrono::milliseconds(500);

    EndpointSuspicions(InstanceId self, ZoneName zone, const Clock &clock);

    /// The instances whose notices count, without this one.
    void setMembers(gsl::span<const TopologyMember> members);
    /// A byte of an answer to a request has come from \p from, which is in \p zone.
    void onByte(const EndpointIncarnation &from, const ZoneName &zone, SteadyTime observedAt);
    /// A request of this instance has had no byte for \p silence, longer than is usual for it.
    void onSilentRequest(const EndpointIncarnation &endpoint, const ZoneName &zone,
                         Duration silence, SteadyTime observedAt);
    /// What \p author has noticed. Notices of instances that are not in the list are ignored.
    void onNotice(const InstanceId &author, const SilentEndpoint &notice);
    /// What this instance has to tell now.
    std::vector<SilentEndpoint> takeNotices();
    /// Drops what is outdated; to be called several times a second.
    void onTick();
    SuspicionLevel level(const EndpointIncarnation &endpoint) const;
    std::vector<SuspicionChange> takeChanges() { return std::exchange(m_changes, {}); }

private:
    struct Heard {
        std::int64_t startedAtMs = 0;
        ZoneName zone;
        SteadyTime at;
        SteadyTime observedAt;
    };
    struct Notice {
        SteadyTime silentSince;
        SteadyTime until;
    };
    struct Suspicion {
        std::int64_t startedAtMs = 0;
        std::map<InstanceId, Notice> notices;
        /// The highest level that was reported as a change.
        SuspicionLevel reported = SuspicionLevel::None;
    };
    /// A silence that this instance has noticed itself.
    struct OwnNotice {
        std::int64_t startedAtMs = 0;
        SteadyTime noticedAt;
        std::optional<SteadyTime> toldAt;
        /// Noticed since takeNotices() was called last.
        bool isCurrent = false;
    };

    bool hasHeardSince(const EndpointIncarnation &endpoint, SteadyTime at) const;
    /// Whether another endpoint of the zone has sent something lately.
    bool isZoneHeard(const EndpointId &except, const ZoneName &zone, SteadyTime observedAt) const;
    void addNotice(const InstanceId &author, const EndpointIncarnation &endpoint,
                   SteadyTime silentSince);
    void removeNotice(const InstanceId &author, const EndpointIncarnation &endpoint);
    SuspicionLevel levelOf(const Suspicion &suspicion) const;

    InstanceId m_self;
    const Clock &m_clock;
    /// Zones of all instances, with this one.
    std::map<InstanceId, ZoneName> m_zones;
    ZoneName m_ownZone;
    std::map<EndpointId, Heard> m_heard;
    std::map<EndpointId, Suspicion> m_suspicions;
    std::map<EndpointId, OwnNotice> m_own;
    std::vector<SilentEndpoint> m_ended;
    std::vector<SuspicionChange> m_changes;
};

/// Selects the notices that the hub passes on to all instances.
///
/// Bounds their number: an endpoint with requests of all instances would otherwise lead to a notice
/// of each instance for each other one.
class SuspicionRelay
{
public:
    /// Authors of whom notices about one endpoint are passed on; enough to confirm a suspicion.
    static constexpr std::size_t MaxAuthors = 3;
    /// Notices in one message.
    static constexpr std::size_t MaxNotices = 64;
    /// Time between two messages.
    static constexpr Duration Interval = std::chrono::milliseconds(200);

    explicit SuspicionRelay(const Clock &clock)
        : m_clock(clock)
    { }

    void add(const InstanceId &author, const SilentEndpoint &notice);
    /// The notices to pass on now; empty if none are due.
    std::vector<SilentEndpoint> take();
    void clear();
    /// Whether nothing has been added lately.
    bool isEmpty() const { return m_pending.empty() && m_passedOn.empty(); }

private:
    /// The process of an endpoint.
    using Key = std::pair<EndpointId, std::int64_t>;

    struct Pending {
        SilentEndpoint notice;
        SteadyTime at;
    };

    const Clock &m_clock;
    std::map<std::pair<Key, InstanceId>, Pending> m_pending;
    /// Authors of whom notices were passed on, and when.
    std::map<Key, std::map<InstanceId, SteadyTime>> m_passedOn;
    SteadyTime m_takenAt;
};

} // namespace marigoldspool

#endif
