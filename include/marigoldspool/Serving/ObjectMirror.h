#ifndef MARIGOLDSPOOL_SERVING_OBJECTMIRROR_H
#define MARIGOLDSPOOL_SERVING_OBJECTMIRROR_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Clock.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace marigoldspool {

/// Local copy of the store's objects under one prefix, updated from the store or from peers.
///
/// An older version of an object never replaces a newer one, whatever its source.
class ObjectMirror
{
public:
    static constexpr std::size_t MaxInlineBytes = 16'384;

    using ChangeHandler = std::function<void(const WatchEvent &event)>;

    ObjectMirror(std::string prefix, ChangeHandler onChange);

    void apply(const WatchEvent &event);
    /// Removes the objects that did not exist at \p revision, when \p keys were all.
    void applyList(const std::set<std::string_view> &keys, std::uint64_t revision);
    /// Records that all changes up to \p revision have been applied.
    void confirm(std::uint64_t revision);
    /// The changes that a peer at \p revision is missing. With \p inParts, values of more than
    /// MaxInlineBytes are left out, and the peer requests their parts.
    ObjectsTransfer transferSince(std::uint64_t revision, bool inParts = false) const;
    /// The part of a large value that \p request asks for; without bytes if this copy has neither
    /// that version nor replaced it last.
    ObjectPart partFor(const ObjectPartRequest &request) const;
    /// Returns false without changes if the transfer is not newer than this copy, or if its base is
    /// newer and would leave a gap.
    bool applyTransfer(const ObjectsTransfer &transfer);

    const std::string &prefix() const { return m_prefix; }
    std::uint64_t revision() const { return m_revision; }
    /// A position that no applied change follows. A copy that is confirmed up to it has all of
    /// them.
    std::uint64_t lastChangeVersion() const { return m_lastChangeVersion; }
    /// Whether this copy has all changes up to \p version.
    bool hasChange(std::uint64_t version) const { return version <= knownVersion(); }
    /// This copy has all changes up to this position.
    std::uint64_t knownVersion() const { return std::max(m_revision, m_lastChangeVersion); }
    bool hasSnapshot() const { return m_revision > 0; }

private:
    struct Entry {
        std::uint64_t version = 0;
        std::string value;
        bool deleted = false;
        /// A large value that was replaced, for peers that are fetching it.
        std::uint64_t previousVersion = 0;
        std::string previousValue;
    };

    void removeAbsent(const std::set<std::string_view> &keys, std::uint64_t revision);

    std::string m_prefix;
    ChangeHandler m_onChange;
    std::map<std::string, Entry> m_objects;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastChangeVersion = 0;
    /// An object was removed after \c m_revision.
    bool m_hasNewRemoval = false;
};

/// Tracks how fresh a mirror is that is updated through peers: the last time at which a peer's
/// revision beacon, backed by the store, confirmed its content.
class RelayFreshness
{
public:
    /// A beacon announces \p announced as the newest change at \p at; the mirror has \p known.
    void onBeacon(std::uint64_t announced, std::uint64_t known, SteadyTime at);
    /// A transfer from a peer has brought the mirror to change \p known.
    void onApplied(std::uint64_t known);
    SteadyTime confirmedAt() const { return m_confirmedAt; }

private:
    SteadyTime m_confirmedAt;
    std::uint64_t m_announced = 0;
    SteadyTime m_announcedAt;
};

} // namespace marigoldspool

#endif
