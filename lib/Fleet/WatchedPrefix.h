#ifndef MARIGOLDSPOOL_LIB_FLEET_WATCHEDPREFIX_H
#define MARIGOLDSPOOL_LIB_FLEET_WATCHEDPREFIX_H

#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Platform/Watcher.h"
#include "marigoldspool/Serving/ObjectDownload.h"
#include "marigoldspool/Serving/ObjectMirror.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace marigoldspool {

/// Timing of the watch of one prefix. A change ends the wait at once; the wait only bounds how long
/// a lost answer goes unnoticed, since the store may stop answering watches while it serves other
/// calls. Changes within the interval share one call, since the platform charges for calls.
struct WatchTiming {
    Duration wait;
    Duration interval;
};

/// State of one watched prefix, merged from the store and from peers.
class WatchedPrefix final : public WatchListener
{
public:
    WatchedPrefix(FleetRuntime &runtime, const std::string &prefix, WatchTiming timing,
                  bool tracksRemovals, ObjectMirror::ChangeHandler onChange)
        : m_runtime(runtime)
        , mirror(prefix, std::move(onChange))
        , watcher(*runtime.store, runtime.clock, runtime.random,
                  {prefix, timing.wait, timing.interval, MinBackoff, MaxBackoff}, *this)
        , m_timing(timing)
        , m_tracksRemovals(tracksRemovals)
        , m_confirmedAt(runtime.clock.now())
    { }

    void onObject(const WatchEvent &event) override
    {
        detectOutage();
        detectRestore(event.version);
        mirror.apply(event);
    }

    void onListed(const std::set<std::string_view> &keys, std::uint64_t revision) override
    {
        detectOutage();
        detectRestore(revision);
        if (m_tracksRemovals) {
            mirror.applyList(keys, revision);
        }
    }

    void onConfirmed(std::uint64_t revision, SteadyTime /*asOf*/) override
    {
        detectOutage();
        detectRestore(revision);
        mirror.confirm(revision);
        m_confirmedAt = m_runtime.clock.now();
    }

    bool onTransfer(const ObjectsTransfer &transfer)
    {
        detectOutage();
        detectRestore(transfer.revision);
        if (!mirror.applyTransfer(transfer)) {
            return false;
        }
        m_relayFreshness.onApplied(mirror.knownVersion());
        m_confirmedAt = std::max(m_confirmedAt, m_relayFreshness.confirmedAt());
        return true;
    }

    void onTick(bool watchesForOthers)
    {
        const bool followsPeers = !watchesForOthers
            && m_runtime.clock.now() - m_relayFreshness.confirmedAt() < maxRelayAge()
            && mirror.hasChange(m_requiredChange);
        if (followsPeers != m_followsPeers) {
            m_followsPeers = followsPeers;
            if (followsPeers) {
                watcher.stop();
            } else {
                watcher.start();
            }
        }
        watcher.onTick();
        // The store's answer may come first.
        if (download && mirror.revision() >= download->revision()) {
            download.reset();
        }
    }

    /// Handles the revision that a peer has; returns whether this instance has all of its changes.
    bool onBeacon(const KnownRevision &known, SteadyTime at)
    {
        const bool isUpToDate = mirror.hasChange(known.lastChangeVersion);
        m_relayFreshness.onBeacon(known.lastChangeVersion, mirror.knownVersion(), at);
        if (isUpToDate) {
            detectOutage();
            mirror.confirm(known.revision);
            m_confirmedAt = std::max(m_confirmedAt, at);
        }
        return isUpToDate;
    }

    /// Requires \p change, which a peer has announced, to be read from the store.
    void requireChange(std::uint64_t change)
    {
        m_requiredChange = std::max(m_requiredChange, change);
    }

    bool isOutdated() const { return age() > m_timing.wait + m_timing.interval + OverdueAfter; }

    SteadyTime confirmedAt() const { return m_confirmedAt; }
    Duration age() const { return m_runtime.clock.now() - m_confirmedAt; }

    /// Large values that are being fetched from a peer.
    std::optional<ObjectDownload> download;

    /// The last revision that was sent to peers.
    std::uint64_t sentRevision = 0;
    std::uint64_t sentChange = 0;

    /// How long to keep using removed entries, since entries that expired during an outage of the
    /// store are listed again after it.
    Duration removalGrace() const
    {
        const Duration left = m_removalGraceUntil - m_runtime.clock.now();
        return std::max(left, Duration::zero());
    }

    bool isRestored() const { return m_runtime.clock.now() < m_restoreGraceUntil; }
    SteadyTime restoreGraceUntil() const { return m_restoreGraceUntil; }

private:
    static constexpr Duration MinBackoff = std::chrono::milliseconds(200);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(1200);
    // When the answer to a watch is this late, peers are asked.
    static constexpr Duration OverdueAfter = std::chrono::milliseconds(900);
    // The platform charges for calls to the store, so a few instances watch it and relay to the
    // others. These use the relayed state while the store has confirmed it within this time, and
    // watch the store themselves otherwise. It must exceed the wait of a watch plus the beacon
    // interval, so maxRelayAge() extends it for longer waits.
    static constexpr Duration MaxRelayAge = std::chrono::milliseconds(1500);
    // After an outage of the store, the platform lists its endpoints again within two seconds.
    static constexpr Duration RelistGrace = std::chrono::milliseconds(2300);
    static constexpr Duration MinOutage = std::chrono::milliseconds(700);
    // After the store was restored from a copy, the operator, endpoints and instances write again
    // what the copy lacks, and entries of endpoints that have gone since then expire after three of
    // their reporting intervals. Until then, what the copy lacks stays in force, and what it has
    // too much is not used.
    static constexpr Duration RestoreGrace = std::chrono::milliseconds(5000);

    void detectRestore(std::uint64_t position)
    {
        if (mirror.hasSnapshot() && eraOf(position) > eraOf(mirror.revision())
            && eraOf(position) > m_detectedEra) {
            m_detectedEra = eraOf(position);
            const SteadyTime now = m_runtime.clock.now();
            m_restoreGraceUntil = now + RestoreGrace;
            m_removalGraceUntil = now + RelistGrace;
            logEvent(LogLevel::Info, "restored_objects",
                     {{"prefix", mirror.prefix()},
                      {"position", positionText(position)},
                      {"known", positionText(mirror.lastChangeVersion())}});
        }
    }

    void detectOutage()
    {
        if (age() > m_timing.wait + m_timing.interval + MinOutage) {
            m_removalGraceUntil = m_runtime.clock.now() + RelistGrace;
        }
    }

    Duration maxRelayAge() const { return std::max(MaxRelayAge, m_timing.wait + MaxRelayAge / 2); }

    FleetRuntime &m_runtime;

public:
    ObjectMirror mirror;
    Watcher watcher;

private:
    WatchTiming m_timing;
    /// Whether a removal under the prefix has an effect.
    bool m_tracksRemovals;
    SteadyTime m_confirmedAt;
    RelayFreshness m_relayFreshness;
    SteadyTime m_removalGraceUntil;
    SteadyTime m_restoreGraceUntil;
    std::uint64_t m_detectedEra = 0;
    bool m_followsPeers = false;
    std::uint64_t m_requiredChange = 0;
};

} // namespace marigoldspool

#endif
