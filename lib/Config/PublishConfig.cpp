#include "RuleLine.h"
#include "marigoldspool/Config/ConfigStore.h"
#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <memory>
#include <set>

namespace marigoldspool {

namespace {

// Attempts of one step whose response was lost or which conflicted with another write. The
// command-line tool repeats the command if the store is unavailable for longer.
constexpr int MaxAttempts = 5;
constexpr std::size_t MaxHistoryEntries = 16;
constexpr std::size_t MaxAuthorBytes = 256;
// Limits the time that one publication spends on removing old pieces.
constexpr std::size_t MaxRemovalsPerPublication = 32;
// Pieces left behind by failed publications are searched for at each version divisible by this
// number. The interval is long because listing returns the content of all pieces.
constexpr std::uint64_t SweepIntervalVersions = 32;

bool isOutcomeUnknown(const Error &error)
{
    return error.kind == ErrorKind::OutcomeUnknown || error.kind == ErrorKind::Timeout;
}

/// Publishes one version: reads the root, stores the pieces, looks up the pieces to be removed,
/// writes the root and removes those pieces.
///
/// A piece must not be removed while a concurrent publisher is about to reference it again. Its
/// version is therefore read before the root is written, and every publisher rewrites each piece
/// that is not referenced by the root it has read. Either the other publisher read the root before
/// this one wrote it, and its conditional write of the root fails; or it has rewritten the piece,
/// which changes the piece's version, and the conditional removal fails.
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

    // A missing object counts as version 0 without pieces. On an error, m_root is left unchanged.
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
        const Expected<void> readResult = readRoot(std::move(object));
        if (!readResult) {
            fail(readResult.error());
            return;
        }
        // A version older than expected means a stale read or a store that has lost its content.
        if (m_root.version < m_expectedVersion && ++m_attempts < MaxAttempts) {
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
            m_previousPieces.insert(piece.sha256);
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
            fail(makeError(ErrorKind::InvalidArgument,
                           "the author is empty, too long or not valid UTF-8",
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
        m_attempts = 0;
        if (n == m_contents.size()) {
            prepareNextRoot();
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
            const bool isReferenced = m_previousPieces.count(m_next.pieces[n].sha256) > 0;
            const bool isOwn = object->writeId == pieceWriteId(n);
            if ((isReferenced || isOwn) && object->value == m_contents[n]) {
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
            && ++m_attempts < MaxAttempts) {
            readPiece(n);
            return;
        }
        // The root is unchanged, so the configuration in force is too.
        fail(makeError(isOutcomeUnknown(error) ? ErrorKind::Unavailable : error.kind,
                       "a piece of the configuration could not be stored: " + error.message,
                       error.remedy));
    }

    void prepareNextRoot()
    {
        m_next.version = std::max(m_expectedVersion + 1, m_minVersion);
        m_next.author = m_author;
        m_next.history = m_root.history;
        m_next.history.insert(m_next.history.begin(), {m_next.version, m_writeId, m_author});
        if (m_next.history.size() > MaxHistoryEntries) {
            m_next.history.resize(MaxHistoryEntries);
        }
        if (m_next.version % SweepIntervalVersions != 0) {
            addRetiredPieces({});
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
                         self->addRetiredPieces(found);
                     });
    }

    void addRetiredPieces(const std::vector<std::string> &found)
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

    // Reads the version of each piece that was retired at least ConfigPieceRetention ago.
    void planRemoval(std::size_t index, std::size_t lookupCount)
    {
        const std::int64_t retentionMs = toMilliseconds(ConfigPieceRetention);
        while (index < m_next.retired.size()
               && m_nowMs - m_next.retired[index].sinceMs < retentionMs) {
            ++index;
        }
        if (index == m_next.retired.size() || lookupCount == MaxRemovalsPerPublication) {
            m_serializedRoot = serializeConfigRoot(m_next);
            m_attempts = 0;
            writeRoot();
            return;
        }
        const std::string key = std::string(ConfigPiecePrefix) + m_next.retired[index].sha256;
        m_store.get(key,
                    [self = shared_from_this(), index, lookupCount,
                     key](const Expected<StoredObject> &object) {
                        if (!object && object.error().kind != ErrorKind::NotFound) {
                            self->planRemoval(index + 1, lookupCount + 1);
                            return;
                        }
                        if (object) {
                            self->m_removals.push_back({key, object->version});
                        }
                        self->m_next.retired.erase(self->m_next.retired.begin()
                                                   + static_cast<std::ptrdiff_t>(index));
                        self->planRemoval(index, lookupCount + 1);
                    });
    }

    void writeRoot()
    {
        ++m_attempts;
        m_store.put(ConfigRootKey, m_objectVersion, m_serializedRoot, WriteId(m_writeId),
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
        m_isWriteRejected = error.kind == ErrorKind::Conflict;
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
        const std::uint64_t previousObjectVersion = m_objectVersion;
        const Expected<void> readResult = readRoot(std::move(object));
        m_objectVersion = previousObjectVersion;
        if (readResult) {
            const bool isOwn = std::any_of(m_root.history.begin(), m_root.history.end(),
                                           [this](const ConfigWrite &write) {
                                               return write.writeId == m_writeId;
                                           });
            if (isOwn) {
                removeOldPieces();
                return;
            }
            if (m_root.version > m_expectedVersion) {
                failSuperseded();
                return;
            }
        }
        if (m_attempts >= MaxAttempts) {
            if (m_mayBeWritten) {
                failWithUnknownOutcome();
            } else {
                failWithConflict();
            }
            return;
        }
        // The previous root is still stored, or this was a stale read. The write may still take
        // effect later, so the same conditional write is repeated until its outcome is known.
        if (readResult && !m_isWriteRejected) {
            writeRoot();
            return;
        }
        ++m_attempts;
        readBack();
    }

    // Removal is best effort: a later sweep finds the remaining pieces.
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

    // Other publishers have written the root, and its history does not contain this write.
    void failSuperseded()
    {
        const bool isHistoryComplete = m_root.history.size() < MaxHistoryEntries
            || m_root.history.back().version <= m_expectedVersion + 1;
        if (isHistoryComplete || !m_mayBeWritten) {
            failWithConflict();
        } else {
            // The history no longer reaches back to the version after the expected one, which may
            // have been this write.
            failWithUnknownOutcome();
        }
    }

    void failWithConflict()
    {
        std::string message = "version " + std::to_string(m_expectedVersion)
            + " was replaced by a concurrent publication";
        if (m_root.version != m_expectedVersion) {
            message = "version " + std::to_string(m_root.version) + " is in force"
                + (m_root.author.empty() ? "" : ", published by " + m_root.author)
                + ", not version " + std::to_string(m_expectedVersion);
        }
        fail(makeError(ErrorKind::Conflict, std::move(message),
                       "read the rules in force, merge your change into them and apply again"));
    }

    void failWithUnknownOutcome()
    {
        fail(makeError(ErrorKind::OutcomeUnknown,
                       "the store did not say whether version " + std::to_string(m_next.version)
                           + " was put in force",
                       "check the rules in force with marigoldspoolctl show before applying "
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
    std::set<std::string> m_previousPieces;
    ConfigRoot m_next;
    std::vector<std::string> m_contents;
    std::vector<Removal> m_removals;
    std::string m_serializedRoot;
    int m_attempts = 0;
    bool m_mayBeWritten = false;
    bool m_isWriteRejected = false;
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
