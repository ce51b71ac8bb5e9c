#ifndef MARIGOLDSPOOL_SERVING_OBJECTMIRROR_H
#define MARIGOLDSPOOL_SERVING_OBJECTMIRROR_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Clock.h"

#include <functional>
#include <map>
#include <string>

namespace marigoldspool {

/// The objects under one prefix as this instance knows them, from the store or from a peer.
///
/// A version never replaces a newer one, whichever way it came.
class ObjectMirror
{
public:
    using ChangeHandler = std::function<void(const WatchEvent &event)>;

    ObjectMirror(std::string prefix, ChangeHandler onChange);

    void apply(const WatchEvent &event);
    /// Everything up to \p revision has been applied.
    void confirm(std::uint64_t revision);
    /// What a peer that knows up to \p revision lacks.
    ObjectsTransfer transferSince(std::uint64_t revision) const;
    /// Returns false, with nothing changed, when the peer knows no more than this instance or sent
    /// only what came after something that this instance lacks.
    bool applyTransfer(const ObjectsTransfer &transfer);

    const std::string &prefix() const { return m_prefix; }
    std::uint64_t revision() const { return m_revision; }
    /// Version of the last change.
    std::uint64_t lastChange() const { return m_lastChange; }
    bool isKnown() const { return m_revision > 0; }

private:
    struct Entry {
        std::uint64_t version = 0;
        std::string value;
        bool deleted = false;
    };

    std::string m_prefix;
    ChangeHandler m_onChange;
    std::map<std::string, Entry> m_objects;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastChange = 0;
};

/// Since when, at the latest, the store has confirmed what a mirror got through peers.
class RelayFreshness
{
public:
    /// A peer knows the change \p announced, confirmed at \p at; the mirror has got to \p known.
    void onBeacon(std::uint64_t announced, std::uint64_t known, SteadyTime at);
    /// Objects of a peer have brought the mirror to the change \p known.
    void onApplied(std::uint64_t known);
    SteadyTime confirmedAt() const { return m_confirmedAt; }

private:
    SteadyTime m_confirmedAt;
    std::uint64_t m_announced = 0;
    SteadyTime m_announcedAt;
};

} // namespace marigoldspool

#endif
