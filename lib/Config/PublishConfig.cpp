#include "RuleLine.h"
#include "marigoldspool/Config/ConfigStore.h"
#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <memory>
#include <set>

namespace marigoldspool {

namespace {

// Tries of one step whose answer was lost or which lost a race. The operator's program repeats the
// command when the store stays away for longer.
constexpr int MaxTries = 5;
constexpr std::size_t MaxHistory = 16;
constexpr std::size_t MaxAuthorBytes = 256;
// Bounds what one publication spends on removing old pieces.
constexpr std::size_t MaxRemovals = 32;
// Pieces left by publications that failed half-way are looked for at each version divisible by
// this; seldom, because a list carries the content of all pieces.
constexpr std::uint64_t SweepInterval = 32;

bool isOutcomeUnknown(const Error &error)
{
    return error.kind == ErrorKind::OutcomeUnknown || error.kind == ErrorKind::Timeout;
}

/// One publication: read the root, store the pieces, look up what is to be removed, write the
/// root, remove.
///
/// Removing a piece must not hit a publisher that is about to name it again. Its version is
/// therefore read before the root is written, and a publisher writes every piece anew that the
/// root it read does not name: either that publisher read the root before this one was written and
/// loses the race for the root, or its write has changed the piece's version and the removal
/// fails.
class ConfigPublication : public std::enable_shared_from_this<ConfigPublication>
{
public:
    ConfigPublication(ObjectStore &store, const Clock &clock, RandomSource &random,
                      std::string rules, std::uint64_t expectedVersion, std::string author,
                      std::uint64_t minVersion, Callback<std::uint64_t> done)
        : m_store(store)
        , m_rules(std::move(rules))
        , m_expectedVersion(expectedVersion)
        , m_minVersion(minVersion)
        , m_author(std::move(author))
        , m_done(std::move(done))
        , m_nowMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                      clock.wallNow().time_since_epoch())
                      .count())
        , m_writeId(random.hex(32))
    { }

    void start()
    {
        m_store.get(ConfigRootKey, [self = shared_from_this()](Expected<StoredObject> object) {
            self->onFirstRoot(std::move(object));
        });
    }

private:
    struct Removal {
        std::string key;
        std::uint64_t version = 0;
    };

    // A missing object reads as version 0 without pieces. After an error the last root stands.
    Expected<void> readRoot(Expected<StoredObject> object)
    {
        if (!object) {
            if (object.error().kind == ErrorKind::NotFound) {
                m_root = {};
                m_objectVersion = 0;
                return {};
            }
            return tl::make_unexpected(std::move(object.error()));
        }
        Expected<ConfigRoot> root = parseConfigRoot(object->value);
        if (!root) {
            return tl::make_unexpected(std::move(root.error()));
        }
        m_root = *std::move(root);
        m_objectVersion = object->version;
        return {};
    }

    void onFirstRoot(Expected<StoredObject> object)
    {
        const Expected<void> isRead = readRoot(std::move(object));
        if (!isRead) {
            fail(isRead.error());
            return;
        }
        // An older version than expected is a stale read, or a store that has lost its content.
        if (m_root.version < m_expectedVersion && ++m_tries < MaxTries) {
            start();
            return;
        }
        if (m_root.version != m_expectedVersion) {
            failWithConflict();
            return;
        }
        if (!checkInput()) {
            return;
        }
        for (std::string &content : splitIntoPieces(m_rules)) {
            m_next.pieces.push_back({sha256Hex(content), content.size()});
            m_contents.push_back(std::move(content));
        }
        for (const ConfigPiece &piece : m_root.pieces) {
            m_formerPieces.insert(piece.sha256);
        }
        storePiece(0);
    }

    bool checkInput()
    {
        const ParseResult result = parseRules("rules", m_rules);
        for (const RuleProblem &problem : result.problems) {
            if (problem.severity == Severity::Error) {
                fail(makeError(ErrorKind::InvalidRule, formatProblem(problem),
                               "correct the rule file; marigoldspoolctl check shows all errors"));
                return false;
            }
        }
        if (m_author.empty() || m_author.size() > MaxAuthorBytes || !isValidUtf8(m_author)) {
            fail(makeError(ErrorKind::InvalidArgument, "the author is not a short UTF-8 text",
                           "give the author a name of 1 to 256 bytes"));
            return false;
        }
        return true;
    }

    std::string pieceKey(std::size_t n) const
    {
        return std::string(ConfigPiecePrefix) + m_next.pieces[n].sha256;
    }

    WriteId pieceWriteId(std::size_t n) const
    {
        return WriteId(m_writeId + "-" + std::to_string(n));
    }

    void storePiece(std::size_t n)
    {
        m_tries = 0;
        if (n == m_contents.size()) {
            planRetirement();
            return;
        }
        readPiece(n);
    }

    void readPiece(std::size_t n)
    {
        m_store.get(pieceKey(n), [self = shared_from_this(), n](Expected<StoredObject> object) {
            self->onPieceRead(n, std::move(object));
        });
    }

    void onPieceRead(std::size_t n, Expected<StoredObject> object)
    {
        std::uint64_t version = 0;
        if (object) {
            const bool isNamed = m_formerPieces.count(m_next.pieces[n].sha256) > 0;
            const bool isOwn = object->writeId == pieceWriteId(n);
            if ((isNamed || isOwn) && object->value == m_contents[n]) {
                storePiece(n + 1);
                return;
            }
            version = object->version;
        } else if (object.error().kind != ErrorKind::NotFound) {
            fail(object.error());
            return;
        }
        m_store.put(pieceKey(n), version, m_contents[n], pieceWriteId(n),
                    [self = shared_from_this(), n](Expected<std::uint64_t> written) {
                        self->onPieceWritten(n, written);
                    });
    }

    void onPieceWritten(std::size_t n, const Expected<std::uint64_t> &written)
    {
        if (written) {
            storePiece(n + 1);
            return;
        }
        const Error &error = written.error();
        if ((isOutcomeUnknown(error) || error.kind == ErrorKind::Conflict)
            && ++m_tries < MaxTries) {
            readPiece(n);
            return;
        }
        // The root is unchanged, so nothing is in force that was not before.
        fail(makeError(isOutcomeUnknown(error) ? ErrorKind::Unavailable : error.kind,
                       "a piece of the configuration could not be stored: " + error.message,
                       error.remedy));
    }

    void planRetirement()
    {
        m_next.version = std::max(m_expectedVersion + 1, m_minVersion);
        m_next.author = m_author;
        m_next.history = m_root.history;
        m_next.history.insert(m_next.history.begin(), {m_next.version, m_writeId, m_author});
        if (m_next.history.size() > MaxHistory) {
            m_next.history.resize(MaxHistory);
        }
        if (m_next.version % SweepInterval != 0) {
            retire({});
            return;
        }
        m_store.list(ConfigPiecePrefix,
                     [self = shared_from_this()](const Expected<ListResult> &result) {
                         std::vector<std::string> found;
                         if (result) {
                             for (const StoredObject &object : result->objects) {
                                 found.push_back(object.key.substr(ConfigPiecePrefix.size()));
                             }
                         }
                         self->retire(found);
                     });
    }

    void retire(const std::vector<std::string> &found)
    {
        std::set<std::string> seen;
        for (const ConfigPiece &piece : m_next.pieces) {
            seen.insert(piece.sha256);
        }
        for (const RetiredPiece &piece : m_root.retired) {
            if (seen.insert(piece.sha256).second) {
                m_next.retired.push_back(piece);
            }
        }
        for (const ConfigPiece &piece : m_root.pieces) {
            if (seen.insert(piece.sha256).second) {
                m_next.retired.push_back({piece.sha256, m_nowMs});
            }
        }
        for (const std::string &sha256 : found) {
            if (seen.insert(sha256).second) {
                m_next.retired.push_back({sha256, m_nowMs});
            }
        }
        planRemoval(0, 0);
    }

    // Reads the version of each piece that has been retired for long enough.
    void planRemoval(std::size_t index, std::size_t lookedUp)
    {
        const std::int64_t retentionMs = toMilliseconds(ConfigPieceRetention);
        while (index < m_next.retired.size()
               && m_nowMs - m_next.retired[index].sinceMs < retentionMs) {
            ++index;
        }
        if (index == m_next.retired.size() || lookedUp == MaxRemovals) {
            m_value = serializeConfigRoot(m_next);
            m_tries = 0;
            writeRoot();
            return;
        }
        const std::string key = std::string(ConfigPiecePrefix) + m_next.retired[index].sha256;
        m_store.get(key,
                    [self = shared_from_this(), index, lookedUp,
                     key](const Expected<StoredObject> &object) {
                        if (!object && object.error().kind != ErrorKind::NotFound) {
                            self->planRemoval(index + 1, lookedUp + 1);
                            return;
                        }
                        if (object) {
                            self->m_removals.push_back({key, object->version});
                        }
                        self->m_next.retired.erase(self->m_next.retired.begin()
                                                   + static_cast<std::ptrdiff_t>(index));
                        self->planRemoval(index, lookedUp + 1);
                    });
    }

    void writeRoot()
    {
        ++m_tries;
        m_store.put(ConfigRootKey, m_objectVersion, m_value, WriteId(m_writeId),
                    [self = shared_from_this()](const Expected<std::uint64_t> &written) {
                        self->onRootWritten(written);
                    });
    }

    void onRootWritten(const Expected<std::uint64_t> &written)
    {
        if (written) {
            removeOldPieces();
            return;
        }
        const Error &error = written.error();
        m_mayBeWritten = m_mayBeWritten || isOutcomeUnknown(error);
        if (!m_mayBeWritten && error.kind != ErrorKind::Conflict) {
            fail(error);
            return;
        }
        m_isRefused = error.kind == ErrorKind::Conflict;
        readBack();
    }

    void readBack()
    {
        m_store.get(ConfigRootKey, [self = shared_from_this()](Expected<StoredObject> object) {
            self->onReadBack(std::move(object));
        });
    }

    void onReadBack(Expected<StoredObject> object)
    {
        const std::uint64_t formerObjectVersion = m_objectVersion;
        const Expected<void> isRead = readRoot(std::move(object));
        m_objectVersion = formerObjectVersion;
        if (isRead) {
            const bool isOwn = std::any_of(m_root.history.begin(), m_root.history.end(),
                                           [this](const ConfigWrite &write) {
                                               return write.writeId == m_writeId;
                                           });
            if (isOwn) {
                removeOldPieces();
                return;
            }
            if (m_root.version > m_expectedVersion) {
                failOvertaken();
                return;
            }
        }
        if (m_tries >= MaxTries) {
            if (m_mayBeWritten) {
                failUndecided();
            } else {
                failWithConflict();
            }
            return;
        }
        // The former root is still there, or is shown by a stale read. The write may yet take
        // effect later, so the same conditional write is sent again until its outcome is certain.
        if (isRead && !m_isRefused) {
            writeRoot();
            return;
        }
        ++m_tries;
        readBack();
    }

    // Removal is best effort: what is left over is found by a later sweep.
    void removeOldPieces()
    {
        if (m_removals.empty()) {
            m_done(m_next.version);
            return;
        }
        const Removal removal = std::move(m_removals.back());
        m_removals.pop_back();
        m_store.remove(removal.key, removal.version,
                       [self = shared_from_this()](const Expected<std::uint64_t> &removed) {
                           if (!removed && removed.error().kind != ErrorKind::Conflict
                               && removed.error().kind != ErrorKind::NotFound) {
                               self->m_removals.clear();
                           }
                           self->removeOldPieces();
                       });
    }

    // Others have published, and this write is not in the history that the root holds.
    void failOvertaken()
    {
        const bool isWholeHistory = m_root.history.size() < MaxHistory
            || m_root.history.back().version <= m_expectedVersion + 1;
        if (isWholeHistory || !m_mayBeWritten) {
            failWithConflict();
        } else {
            // Too many versions have followed to tell whose was the first of them.
            failUndecided();
        }
    }

    void failWithConflict()
    {
        std::string message = "version " + std::to_string(m_expectedVersion)
            + " was replaced by somebody else at the same time";
        if (m_root.version != m_expectedVersion) {
            message = "version " + std::to_string(m_root.version) + " is in force"
                + (m_root.author.empty() ? "" : ", published by " + m_root.author)
                + ", not version " + std::to_string(m_expectedVersion);
        }
        fail(makeError(ErrorKind::Conflict, std::move(message),
                       "look at the rules in force, merge your change into them and apply again"));
    }

    void failUndecided()
    {
        fail(makeError(ErrorKind::OutcomeUnknown,
                       "the store did not say whether version " + std::to_string(m_next.version)
                           + " was put in force",
                       "look at the rules in force with marigoldspoolctl show before applying "
                       "again"));
    }

    void fail(Error error) { m_done(tl::make_unexpected(std::move(error))); }

    ObjectStore &m_store;
    std::string m_rules;
    std::uint64_t m_expectedVersion;
    std::uint64_t m_minVersion;
    std::string m_author;
    Callback<std::uint64_t> m_done;
    std::int64_t m_nowMs;
    std::string m_writeId;

    /// The root last read and the version of its object on which the write is conditional.
    ConfigRoot m_root;
    std::uint64_t m_objectVersion = 0;
    std::set<std::string> m_formerPieces;
    ConfigRoot m_next;
    std::vector<std::string> m_contents;
    std::vector<Removal> m_removals;
    std::string m_value;
    int m_tries = 0;
    bool m_mayBeWritten = false;
    bool m_isRefused = false;
};

} // namespace

void publishConfig(ObjectStore &store, const Clock &clock, RandomSource &random, std::string rules,
                   std::uint64_t expectedVersion, std::string author, Callback<std::uint64_t> done,
                   std::uint64_t minVersion)
{
    std::make_shared<ConfigPublication>(store, clock, random, std::move(rules), expectedVersion,
                                        std::move(author), minVersion, std::move(done))
        ->start();
}

} // namespace marigoldspool
