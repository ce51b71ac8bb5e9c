#include "marigoldspool/Config/ConfigStore.h"

#include "marigoldspool/Support/Digest.h"
#include "support/FaultyObjectStore.h"

#include <memory>
#include <optional>
#include <set>

#include <doctest/doctest.h>

using namespace marigoldspool;

namespace {

using Fault = FaultyObjectStore::Fault;

// About 120 bytes for each zone, so that 5,000 of them make many pieces.
std::string rulesOf(int zones, std::string_view asker)
{
    std::string text;
    for (int i = 0; i < zones; ++i) {
        text += "zone z" + std::to_string(i) + " weight=1 # asked for by: operations "
            + std::string(80, 'x') + "\n";
    }
    return text + "zone last # asked for by: " + std::string(asker) + "\n";
}

struct Fixture {
    ManualClock clock;
    FaultyObjectStore store{clock};
    SeededRandomSource random{5};

    using Outcome = std::shared_ptr<std::optional<Expected<std::uint64_t>>>;

    Outcome begin(std::string rules, std::uint64_t expected, std::string author = "op")
    {
        auto outcome = std::make_shared<std::optional<Expected<std::uint64_t>>>();
        publishConfig(store, clock, random, std::move(rules), expected, std::move(author),
                      [outcome](Expected<std::uint64_t> result) {
                          CHECK_FALSE(outcome->has_value());
                          *outcome = std::move(result);
                      });
        CHECK_FALSE(outcome->has_value());
        return outcome;
    }

    Expected<std::uint64_t> publish(std::string rules, std::uint64_t expected)
    {
        const Outcome outcome = begin(std::move(rules), expected);
        store.runAll();
        REQUIRE(outcome->has_value());
        return **outcome;
    }

    Expected<VersionedRules> fetch(std::string_view known = {})
    {
        std::optional<Expected<VersionedRules>> outcome;
        fetchConfig(
            store,
            [&](Expected<VersionedRules> result) {
                outcome = std::move(result);
            },
            known);
        store.runAll();
        REQUIRE(outcome.has_value());
        return *outcome;
    }

    std::size_t pieceCount() { return store.objects(ConfigPiecePrefix).size(); }

    // Applies \p fault to the first \p times operations of that name on the root.
    void failRoot(std::string_view operation, Fault fault, int times)
    {
        store.setFaults([=, left = times](std::string_view op, std::string_view key) mutable {
            return op == operation && key == ConfigRootKey && left-- > 0 ? fault : Fault::None;
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "published rules are read back whole, in pieces below the size limit")
{
    const std::string rules = rulesOf(5000, "a");
    CHECK(fetch().error().kind == ErrorKind::NotFound);
    REQUIRE(publish(rules, 0) == 1U);
    CHECK(fetch()->text == rules);
    CHECK(fetch()->version == 1);
    CHECK(fetch()->author == "op");
    CHECK(pieceCount() > 3);
    for (const StoredObject &object : store.objects(ConfigPiecePrefix)) {
        CHECK(object.value.size() <= MaxConfigPieceBytes);
        CHECK(object.key == std::string(ConfigPiecePrefix) + sha256Hex(object.value));
    }
}

TEST_CASE("pieces join to the text whatever its line lengths are")
{
    SeededRandomSource random(3);
    for (int i = 0; i < 20; ++i) {
        std::string text;
        for (int line = 0; line < 200; ++line) {
            const bool isLong = random.below(50) == 0;
            text += std::string(random.below(isLong ? 400'000 : 400), 'y');
            text += random.below(10) > 0 ? "\n" : "";
        }
        std::string joined;
        for (const std::string &piece : splitIntoPieces(text)) {
            CHECK(piece.size() <= MaxConfigPieceBytes);
            joined += piece;
        }
        CHECK(joined == text);
    }
    CHECK(splitIntoPieces("").empty());
}

TEST_CASE_FIXTURE(Fixture, "a change of one line does not store and read everything again")
{
    REQUIRE(publish(rulesOf(5000, "a"), 0));
    const std::size_t before = pieceCount();
    REQUIRE(publish(rulesOf(5000, "b"), 1));
    CHECK(pieceCount() == before + 1);
    const std::size_t operations = store.operations();
    CHECK(fetch(rulesOf(5000, "a"))->text == rulesOf(5000, "b"));
    CHECK(store.operations() == operations + 2);
}

TEST_CASE_FIXTURE(
    Fixture, "exactly one of several concurrent publishers succeeds, the others get a conflict")
{
    // Guards against two accepted versions with one number, and against a mix of two rule sets.
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        FakeObjectStore raced(clock);
        SeededRandomSource order(seed);
        std::vector<std::optional<Expected<std::uint64_t>>> outcomes(4);
        for (int i = 0; i < 4; ++i) {
            publishConfig(raced, clock, random, rulesOf(300, std::to_string(i)), 0,
                          "operator " + std::to_string(i),
                          [&outcomes, i](Expected<std::uint64_t> result) {
                              outcomes[static_cast<std::size_t>(i)] = std::move(result);
                          });
        }
        while (raced.runRandom(order)) {
        }
        int winners = 0;
        std::string winningText;
        for (int i = 0; i < 4; ++i) {
            const auto &outcome = outcomes[static_cast<std::size_t>(i)];
            REQUIRE(outcome.has_value());
            if (outcome->has_value()) {
                ++winners;
                winningText = rulesOf(300, std::to_string(i));
            } else {
                CHECK(outcome->error().kind == ErrorKind::Conflict);
                CHECK(outcome->error().message.find("operator ") != std::string::npos);
            }
        }
        CHECK(winners == 1);
        std::string text;
        fetchConfig(raced, [&](Expected<VersionedRules> result) {
            text = result->text;
        });
        raced.runAll();
        CHECK(text == winningText);
    }
}

TEST_CASE_FIXTURE(Fixture, "a lost response is resolved by reading back the write id")
{
    REQUIRE(publish(rulesOf(3, "a"), 0));
    failRoot("put", Fault::LoseAnswer, 1);
    CHECK(publish(rulesOf(3, "b"), 1) == 2U);
    failRoot("put", Fault::LoseRequest, 2);
    CHECK(publish(rulesOf(3, "c"), 2) == 3U);
    // A write that takes effect after it was sent again must not be counted twice.
    failRoot("put", Fault::DelayEffect, 1);
    CHECK(publish(rulesOf(3, "d"), 3) == 4U);
    store.applyDelayed();
    CHECK(fetch()->version == 4);
    CHECK(fetch()->text == rulesOf(3, "d"));
}

TEST_CASE_FIXTURE(Fixture, "a write with a lost response is recognised after later writes")
{
    failRoot("put", Fault::LoseAnswer, 1);
    const Outcome lost = begin(rulesOf(3, "a"), 0, "first");
    while (!store.has(ConfigRootKey)) {
        store.step();
    }
    store.setFaults({});
    // The read-back of the first publisher is pending from here on; it comes last.
    const Outcome second = begin(rulesOf(3, "b"), 1, "second");
    while (!second->has_value()) {
        store.step(1);
    }
    CHECK(**second == 2U);
    store.runAll();
    REQUIRE(lost->has_value());
    CHECK(**lost == 1U);
}

TEST_CASE_FIXTURE(Fixture, "a lost request that another write preceded is a conflict, not unknown")
{
    failRoot("put", Fault::LoseRequest, 1);
    const Outcome lost = begin(rulesOf(3, "a"), 0, "first");
    while (store.operations() < 5) {
        store.step();
    }
    store.setFaults({});
    const Outcome second = begin(rulesOf(3, "b"), 0, "second");
    while (!second->has_value()) {
        store.stepNewest();
    }
    CHECK(**second == 1U);
    store.runAll();
    REQUIRE(lost->has_value());
    REQUIRE_FALSE((*lost)->has_value());
    CHECK((*lost)->error().kind == ErrorKind::Conflict);
}

TEST_CASE_FIXTURE(Fixture, "a lost request followed by many other versions is reported as unknown")
{
    // Guards against claiming a conflict although the first of the later versions may be one's own.
    failRoot("put", Fault::LoseRequest, 1);
    const Outcome lost = begin(rulesOf(3, "a"), 0, "first");
    while (store.operations() < 5) {
        store.step();
    }
    store.setFaults({});
    for (std::uint64_t version = 0; version < 17; ++version) {
        const Outcome next = begin(rulesOf(3, std::to_string(version)), version);
        while (!next->has_value()) {
            store.stepNewest();
        }
        REQUIRE(next->value() == version + 1);
    }
    store.runAll();
    REQUIRE(lost->has_value());
    REQUIRE_FALSE((*lost)->has_value());
    CHECK((*lost)->error().kind == ErrorKind::OutcomeUnknown);
}

TEST_CASE_FIXTURE(Fixture,
                  "after the store lost its content a version above the old ones is published")
{
    std::optional<Expected<std::uint64_t>> outcome;
    const auto publishAtLeast = [&](std::uint64_t expected, std::uint64_t least) {
        publishConfig(
            store, clock, random, rulesOf(3, "a"), expected, "op",
            [&](Expected<std::uint64_t> result) {
                outcome = std::move(result);
            },
            least);
        store.runAll();
        return *outcome;
    };
    failRoot("put", Fault::LoseAnswer, 1);
    CHECK(publishAtLeast(0, 1208) == 1208U);
    CHECK(publishAtLeast(1208, 5) == 1209U);
    CHECK(fetch()->version == 1209);
}

TEST_CASE_FIXTURE(Fixture, "a store that is unavailable after a lost response: outcome unknown")
{
    REQUIRE(publish(rulesOf(3, "a"), 0));
    bool isAway = false;
    store.setFaults([&](std::string_view op, std::string_view key) {
        if (op == "put" && key == ConfigRootKey) {
            isAway = true;
            return Fault::LoseAnswer;
        }
        return isAway ? Fault::Unavailable : Fault::None;
    });
    CHECK(publish(rulesOf(3, "b"), 1).error().kind == ErrorKind::OutcomeUnknown);
    store.setFaults({});
    CHECK(fetch()->version == 2);
}

TEST_CASE_FIXTURE(Fixture, "a store that is unavailable before the root is written changes nothing")
{
    REQUIRE(publish(rulesOf(3, "a"), 0));
    for (const std::string_view failing : {"get", "put"}) {
        store.setFaults([=](std::string_view op, std::string_view) {
            return op == failing ? Fault::Unavailable : Fault::None;
        });
        CHECK(publish(rulesOf(3, "b"), 1).error().kind == ErrorKind::Unavailable);
    }
    store.setFaults([](std::string_view op, std::string_view key) {
        return op == "put" && key != ConfigRootKey ? Fault::LoseRequest : Fault::None;
    });
    CHECK(publish(rulesOf(3, "b"), 1).error().kind == ErrorKind::Unavailable);
    store.setFaults({});
    CHECK(fetch()->version == 1);
}

TEST_CASE_FIXTURE(Fixture, "a piece whose response was lost is stored exactly once")
{
    for (const Fault fault : {Fault::LoseAnswer, Fault::LoseRequest, Fault::DelayEffect}) {
        store.clear();
        store.setFaults([=, left = 2](std::string_view op, std::string_view key) mutable {
            return op == "put" && key != ConfigRootKey && left-- > 0 ? fault : Fault::None;
        });
        CHECK(publish(rulesOf(5000, "a"), 0));
        store.applyDelayed();
        CHECK(fetch()->text == rulesOf(5000, "a"));
    }
}

TEST_CASE_FIXTURE(Fixture, "a stale read cannot make a publisher overwrite a newer version")
{
    REQUIRE(publish(rulesOf(3, "a"), 0));
    REQUIRE(publish(rulesOf(3, "b"), 1));
    // The operator looked at version 1; the store still shows it as the present one.
    failRoot("get", Fault::StaleRead, 1);
    CHECK(publish(rulesOf(3, "c"), 1).error().kind == ErrorKind::Conflict);
    // The operator looked at version 2; a first stale read is no conflict.
    failRoot("get", Fault::StaleRead, 1);
    CHECK(publish(rulesOf(3, "c"), 2) == 3U);
    CHECK(publish(rulesOf(3, "d"), 7).error().kind == ErrorKind::Conflict);
}

TEST_CASE_FIXTURE(Fixture, "rules with errors and unusable authors are never put in force")
{
    CHECK(publish("zone a\n", 0).error().kind == ErrorKind::InvalidRule);
    const Outcome outcome = begin(rulesOf(1, "a"), 0, "\xff");
    store.runAll();
    CHECK((*outcome)->error().kind == ErrorKind::InvalidArgument);
    CHECK(store.objects().empty());
}

TEST_CASE_FIXTURE(Fixture, "a truncated, missing or swapped piece is detected and can be repaired")
{
    const std::string rules = rulesOf(5000, "a");
    REQUIRE(publish(rules, 0));
    const StoredObject piece = store.objects(ConfigPiecePrefix)[0];
    store.replace(piece.key, piece.value.substr(0, 100));
    CHECK(fetch().error().kind == ErrorKind::Malformed);
    CHECK(publish(rules, 1) == 2U);
    CHECK(fetch()->text == rules);
    store.erase(store.objects(ConfigPiecePrefix)[0].key);
    CHECK(fetch().error().kind == ErrorKind::Malformed);
    CHECK(publish(rules, 2) == 3U);
    CHECK(fetch()->text == rules);
    store.replace(ConfigRootKey, store.valueOf(ConfigRootKey).substr(0, 20));
    CHECK(fetch().error().kind == ErrorKind::Malformed);
    CHECK(publish(rules, 3).error().kind == ErrorKind::Malformed);
}

TEST_CASE_FIXTURE(Fixture,
                  "a slow reader still finds the pieces of the version it has begun to read")
{
    REQUIRE(publish(rulesOf(3, "a"), 0));
    std::optional<Expected<VersionedRules>> read;
    fetchConfig(store, [&](Expected<VersionedRules> result) {
        read = std::move(result);
    });
    store.step();
    const Outcome second = begin(rulesOf(3, "b"), 1);
    while (!second->has_value()) {
        store.stepNewest();
    }
    store.runAll();
    REQUIRE(read.has_value());
    CHECK((*read)->text == rulesOf(3, "a"));
}

TEST_CASE_FIXTURE(Fixture, "pieces are removed once they were unreferenced for the retention time")
{
    REQUIRE(publish(rulesOf(3, "a"), 0));
    REQUIRE(publish(rulesOf(3, "b"), 1));
    clock.advance(ConfigPieceRetention - std::chrono::milliseconds(1));
    REQUIRE(publish(rulesOf(3, "c"), 2));
    CHECK(pieceCount() == 3);
    clock.advance(std::chrono::milliseconds(1));
    REQUIRE(publish(rulesOf(3, "d"), 3));
    CHECK(pieceCount() == 3);
    CHECK(fetch()->text == rulesOf(3, "d"));
    // A reader of a root that was replaced long ago starts over instead of failing.
    std::optional<Expected<VersionedRules>> read;
    fetchConfig(store, [&](Expected<VersionedRules> result) {
        read = std::move(result);
    });
    store.step();
    clock.advance(ConfigPieceRetention);
    const Outcome fifth = begin(rulesOf(3, "e"), 4);
    while (!fifth->has_value()) {
        store.stepNewest();
    }
    clock.advance(ConfigPieceRetention);
    const Outcome sixth = begin(rulesOf(3, "f"), 5);
    while (!sixth->has_value()) {
        store.stepNewest();
    }
    store.runAll();
    CHECK((*read)->version == 6);
    CHECK((*read)->text == rulesOf(3, "f"));
}

TEST_CASE_FIXTURE(Fixture,
                  "a piece is not removed while a publisher is about to reference it again")
{
    // Every interleaving of a publisher that removes the pieces of "a" with one that uses them
    // again has to end with rules that can be read.
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        store.clear();
        store.setFaults({});
        SeededRandomSource order(seed);
        REQUIRE(publish(rulesOf(3, "a"), 0));
        REQUIRE(publish(rulesOf(3, "b"), 1));
        clock.advance(ConfigPieceRetention);
        const Outcome remover = begin(rulesOf(3, "c"), 2);
        Outcome user = begin(rulesOf(3, "a"), 2);
        bool hasFollowed = false;
        while (store.fake().runRandom(order)) {
            const bool isVersionThree = parseConfigRoot(store.valueOf(ConfigRootKey))->version == 3;
            if (!hasFollowed && isVersionThree) {
                hasFollowed = true;
                user = begin(rulesOf(3, "a"), 3);
            }
        }
        REQUIRE(remover->has_value());
        REQUIRE(user->has_value());
        CHECK(fetch().has_value());
        CHECK(fetch()->text == rulesOf(3, "a"));
    }
}

TEST_CASE_FIXTURE(Fixture, "pieces of failed publications are removed eventually")
{
    std::uint64_t version = 0;
    for (int i = 0; i < 5; ++i) {
        failRoot("put", Fault::Unavailable, 1);
        CHECK_FALSE(publish(rulesOf(3, "lost " + std::to_string(i)), 0));
    }
    store.setFaults({});
    CHECK(pieceCount() == 5);
    while (version < 64) {
        clock.advance(ConfigPieceRetention);
        REQUIRE(publish(rulesOf(3, "kept"), version) == version + 1);
        ++version;
    }
    CHECK(pieceCount() == 1);
}
