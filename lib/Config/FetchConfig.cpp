#include "marigoldspool/Config/ConfigStore.h"
#include "marigoldspool/Config/RuleParser.h"
#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>

namespace marigoldspool {

namespace {

// Pieces are read concurrently so that the latency of a slow store is not paid once per piece.
constexpr std::size_t MaxConcurrentReads = 8;
// Reads of the root, the first included. A piece is missing if the version was replaced and its
// pieces were removed while they were being read; the root is then read again.
constexpr int MaxRootReads = 3;

class ConfigFetch : public std::enable_shared_from_this<ConfigFetch>
{
public:
    ConfigFetch(ObjectStore &store, Callback<VersionedRules> done)
        : m_store(store)
        , m_done(std::move(done))
    { }

    void start(std::string_view known)
    {
        for (std::string &piece : splitIntoPieces(known)) {
            std::string digest = sha256Hex(piece);
            m_knownPieces.emplace(std::move(digest), std::move(piece));
        }
        readRoot();
    }

private:
    void readRoot()
    {
        ++m_rootReads;
        m_store.get(ConfigRootKey, [self = shared_from_this()](Expected<StoredObject> object) {
            self->onRoot(std::move(object));
        });
    }

    void onRoot(Expected<StoredObject> object)
    {
        if (!object) {
            Error error = std::move(object.error());
            if (error.kind == ErrorKind::NotFound) {
                error = makeError(ErrorKind::NotFound, "no configuration was published yet",
                                  "publish a rule file with marigoldspoolctl apply");
            }
            finish(tl::make_unexpected(std::move(error)));
            return;
        }
        Expected<ConfigRoot> root = parseConfigRoot(object->value);
        if (!root) {
            finish(tl::make_unexpected(std::move(root.error())));
            return;
        }
        m_root = *std::move(root);
        std::uint64_t total = 0;
        for (const ConfigPiece &piece : m_root.pieces) {
            if (piece.bytes > MaxRuleTextBytes - total) {
                finish(unexpectedError(ErrorKind::Malformed,
                                       "the published rules are larger than "
                                           + std::to_string(MaxRuleTextBytes) + " bytes",
                                       "publish a smaller rule file"));
                return;
            }
            total += piece.bytes;
        }
        m_nextPiece = 0;
        m_failure.reset();
        readPieces();
    }

    void readPieces()
    {
        while (!m_failure && m_pending < MaxConcurrentReads && m_nextPiece < m_root.pieces.size()) {
            const ConfigPiece &piece = m_root.pieces[m_nextPiece++];
            if (m_knownPieces.count(piece.sha256) > 0) {
                continue;
            }
            ++m_pending;
            m_store.get(std::string(ConfigPiecePrefix) + piece.sha256,
                        [self = shared_from_this(), piece](Expected<StoredObject> object) {
                            self->onPiece(piece, std::move(object));
                        });
        }
        if (m_pending > 0) {
            return;
        }
        if (m_failure) {
            onFailure();
            return;
        }
        VersionedRules rules{m_root.version, {}, m_root.author};
        for (const ConfigPiece &piece : m_root.pieces) {
            rules.text += m_knownPieces[piece.sha256];
        }
        finish(std::move(rules));
    }

    void onPiece(const ConfigPiece &piece, Expected<StoredObject> object)
    {
        --m_pending;
        if (!object) {
            m_failure = std::move(object.error());
        } else if (object->value.size() != piece.bytes
                   || sha256Hex(object->value) != piece.sha256) {
            m_failure =
                makeError(ErrorKind::Malformed,
                          "piece " + piece.sha256 + " of version " + std::to_string(m_root.version)
                              + " does not match its digest",
                          repairRemedy());
        } else {
            m_knownPieces[piece.sha256] = std::move(object->value);
        }
        readPieces();
    }

    void onFailure()
    {
        const bool mayBeReplaced =
            m_failure->kind == ErrorKind::NotFound || m_failure->kind == ErrorKind::Malformed;
        if (mayBeReplaced && m_rootReads < MaxRootReads) {
            readRoot();
            return;
        }
        if (m_failure->kind == ErrorKind::NotFound) {
            // NotFound is reserved for a configuration that was never published.
            m_failure =
                makeError(ErrorKind::Malformed,
                          "a piece of version " + std::to_string(m_root.version) + " is missing",
                          repairRemedy());
        }
        finish(tl::make_unexpected(*std::move(m_failure)));
    }

    std::string repairRemedy() const
    {
        return "apply the rule file again with --expect-version=" + std::to_string(m_root.version)
            + "; that stores the piece again";
    }

    void finish(Expected<VersionedRules> result) { m_done(std::move(result)); }

    ObjectStore &m_store;
    Callback<VersionedRules> m_done;
    ConfigRoot m_root;
    /// Content by digest.
    std::unordered_map<std::string, std::string> m_knownPieces;
    std::size_t m_nextPiece = 0;
    std::size_t m_pending = 0;
    int m_rootReads = 0;
    std::optional<Error> m_failure;
};

} // namespace

void fetchConfig(ObjectStore &store, Callback<VersionedRules> done, std::string_view known)
{
    std::make_shared<ConfigFetch>(store, std::move(done))->start(known);
}

} // namespace marigoldspool
