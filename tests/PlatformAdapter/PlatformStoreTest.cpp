#include "PlatformStore.h"

#include "Gateway/Harness.h"
#include "StandinPlatform.h"
#include "support/EndlessServer.h"
#include "support/IoRunner.h"

#include <optional>
#include <set>

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

class StoreFixture
{
public:
    StoreFixture()
        : standin(io, metrics)
    {
        auto made = makePlatformStore(io, standin.address(), 1s, metrics);
        REQUIRE(made);
        store = std::move(*made);
    }

    template <class T, class Call>
    Expected<T> wait(Call call)
    {
        std::optional<Expected<T>> result;
        call([&result](Expected<T> answer) {
            result = std::move(answer);
        });
        REQUIRE(runUntil(io, [&result] {
            return result.has_value();
        }));
        return *result;
    }

    Expected<std::uint64_t> put(const std::string &key, std::uint64_t version, const json &value)
    {
        return wait<std::uint64_t>([&](auto done) {
            store->put(key, version, value.dump(), WriteId("w"), done);
        });
    }

    Expected<StoredObject> get(const std::string &key)
    {
        return wait<StoredObject>([&](auto done) {
            store->get(key, done);
        });
    }

    Expected<std::uint64_t> remove(const std::string &key, std::uint64_t version)
    {
        return wait<std::uint64_t>([&](auto done) {
            store->remove(key, version, done);
        });
    }

    Expected<ListResult> list(const std::string &prefix)
    {
        return wait<ListResult>([&](auto done) {
            store->list(prefix, done);
        });
    }

    Expected<WatchBatch> watch(const std::string &prefix, std::uint64_t from, Duration timeout)
    {
        return wait<WatchBatch>([&](auto done) {
            store->watch(prefix, from, timeout, done);
        });
    }

    boost::asio::io_context io;
    Metrics metrics;
    StandinStore standin;
    std::unique_ptr<ObjectStore> store;
};

template <class T>
std::optional<ErrorKind> failureOf(const Expected<T> &result)
{
    return result ? std::nullopt : std::optional(result.error().kind);
}

} // namespace

TEST_CASE_FIXTURE(StoreFixture,
                  "objects are created, replaced only under their current version, and removed")
{
    const auto created = put("locks/a", 0, {{"x", 1}});
    REQUIRE(created);
    CHECK(put("locks/a", 0, {{"x", 2}}).error().kind == ErrorKind::Conflict);
    const auto replaced = put("locks/a", *created, {{"x", 3}});
    REQUIRE(replaced);
    CHECK(put("locks/a", *created, {{"x", 4}}).error().kind == ErrorKind::Conflict);
    const auto read = get("locks/a");
    REQUIRE(read);
    CHECK(read->version == *replaced);
    CHECK(json::parse(read->value) == json{{"x", 3}});
    CHECK(remove("locks/a", *replaced));
    CHECK_FALSE(standin.has("locks", "a"));
}

// A list ended or did not end at a name that stands for something else in a request target.
TEST_CASE_FIXTURE(StoreFixture, "all pages of a list are read, whatever the names")
{
    const std::string names[] = {"",       "a b", "a%62", "a&b=c", "a/b", "a?b",
                                 "a#\r\n", "b",   "b+c",  "c",     "d\"", "\xc3\xa4"};
    for (const std::string &name : names) {
        standin.put("servers", name, {{"n", name}});
    }
    for (const std::size_t pageSize : {2, 3, 500}) {
        standin.pageSize = pageSize;
        const auto listed = list("servers/");
        REQUIRE(listed);
        std::set<std::string> keys;
        for (const StoredObject &object : listed->objects) {
            keys.insert(object.key);
        }
        CHECK(keys.size() == std::size(names));
        CHECK(listed->objects.size() == std::size(names));
    }
}

// The rest of the list would count as removed.
TEST_CASE_FIXTURE(StoreFixture, "a list that cannot be continued fails")
{
    standin.pageSize = 1;
    standin.put("servers", "", {{"n", 1}});
    standin.put("servers", "a", {{"n", 1}});
    CHECK(list("servers/").error().kind == ErrorKind::Malformed);
    standin.erase("servers", "");
    for (const char *name : {"b", "c"}) {
        standin.putText("servers", name, "{}", R"({"name":"a","rev":1})");
    }
    CHECK(list("servers/").error().kind == ErrorKind::Malformed);
}

TEST_CASE_FIXTURE(StoreFixture, "objects with unusual names are read, replaced and removed")
{
    for (const char *name : {"a b", "a%62", "a&b?c", "a/b"}) {
        const std::string key = std::string("locks/") + name;
        const auto created = put(key, 0, {{"x", 1}});
        REQUIRE(created);
        const auto replaced = put(key, *created, {{"x", 2}});
        REQUIRE(replaced);
        const auto read = get(key);
        REQUIRE(read);
        CHECK(read->key == key);
        CHECK(remove(key, *replaced));
    }
}

// A removal event contains the object with its old revision, for which a watcher would skip it.
TEST_CASE_FIXTURE(StoreFixture, "a removal event has a newer version than the removed object")
{
    standin.put("servers", "a", {{"n", 1}});
    const auto listed = list("servers/");
    REQUIRE(listed);
    standin.erase("servers", "a");
    const auto batch = watch("servers/", listed->revision, 1s);
    REQUIRE(batch);
    REQUIRE(batch->events.size() == 1);
    CHECK(batch->events[0].deleted);
    CHECK(batch->events[0].version > listed->objects[0].version);
    CHECK(batch->events[0].version <= batch->revision);
}

TEST_CASE_FIXTURE(StoreFixture, "a watch from before the store's history reports a gap")
{
    const auto listed = list("config/");
    REQUIRE(listed);
    standin.put("config", "main", {{"version", 2}});
    standin.dropHistory();
    const auto batch = watch("config/", listed->revision, 1s);
    REQUIRE(batch);
    CHECK(batch->gap);
}

TEST_CASE_FIXTURE(StoreFixture, "a write whose answer is lost has an unknown outcome")
{
    standin.answersToLose = 1;
    const auto lost = put("locks/a", 0, {{"x", 1}});
    REQUIRE_FALSE(lost);
    CHECK(lost.error().kind == ErrorKind::OutcomeUnknown);
    CHECK(standin.has("locks", "a"));
}

TEST_CASE_FIXTURE(StoreFixture, "calls that the store refuses fail as not executed")
{
    standin.refuseCalls = true;
    const auto refused = put("locks/a", 0, {{"x", 1}});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == ErrorKind::Unavailable);
    CHECK(list("servers/").error().kind == ErrorKind::Unavailable);
}

// One object without a readable name made the whole list or watch unreadable.
TEST_CASE_FIXTURE(StoreFixture, "an object without a readable name or revision is passed over")
{
    const std::string oddMetadata[] = {"null",
                                       "[]",
                                       R"({"rev":5})",
                                       R"({"name":5,"rev":5})",
                                       "{\"name\":\"\xff\",\"rev\":5}",
                                       R"({"name":"b"})",
                                       R"({"name":"b","rev":-1})",
                                       R"({"name":"b","rev":1e999})",
                                       R"({"name":)" + std::string(100'000, '[')
                                           + std::string(100'000, ']') + R"(,"rev":5})"};
    const auto start = list("servers/");
    REQUIRE(start);
    standin.put("servers", "a", {{"n", 1}});
    for (std::size_t i = 0; i < std::size(oddMetadata); ++i) {
        standin.putText("servers", "b" + std::to_string(i), "{}", oddMetadata[i]);
    }
    standin.put("servers", "c", {{"n", 1}});
    const auto listed = list("servers/");
    REQUIRE(listed);
    REQUIRE(listed->objects.size() == 2);
    CHECK(listed->objects[1].key == "servers/c");
    const auto batch = watch("servers/", start->revision, 1s);
    REQUIRE(batch);
    REQUIRE(batch->events.size() == 2);
    CHECK(batch->events[1].key == "servers/c");
    CHECK(batch->revision == listed->revision);
    CHECK(batch->gap);
    CHECK(metrics.counterValue("marigoldspool_unreadable_objects_total", {{"kind", "metadata"}})
          == 2 * std::size(oddMetadata));
    // An answer that ends in the middle is no list, whatever the reason.
    standin.putText("servers", "d", "[");
    CHECK(list("servers/").error().kind == ErrorKind::Malformed);
    CHECK(watch("servers/", start->revision, 1s).error().kind == ErrorKind::Malformed);
}

// A store in trouble answers all calls with the same bytes. With a status below 200, calls counted
// as carried out: a lock that the store had not removed was taken for removed.
TEST_CASE_FIXTURE(StoreFixture, "an answer of the store with a broken head is no answer")
{
    const std::string body = R"({"metadata":{"name":"a","rev":7},"spec":{}})";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string head;
    SUBCASE("unknown status 000")
    {
        head = "000 Trouble\r\n";
    }
    SUBCASE("unknown status 099")
    {
        head = "099 Trouble\r\n";
    }
    SUBCASE("unknown status 600")
    {
        head = "600 Trouble\r\n";
    }
    SUBCASE("blank in the name of a field")
    {
        head = "200 OK\r\nX A: 1\r\n";
    }
    SUBCASE("control byte in the name of a field")
    {
        head = "200 OK\r\nX\x01-A: 1\r\n";
    }
    SUBCASE("folded line")
    {
        head = "200 OK\r\nX-A: 1\r\n Store-Era: 3\r\n";
    }
    head.insert(0, "HTTP/1.1 ");
    EndlessServer broken(
        io,
        [&](const std::string &) {
            return head + length + "\r\n" + body;
        },
        "");
    store = std::move(*makePlatformStore(io, broken.address(), 1s, metrics));
    CHECK(failureOf(get("locks/a")) == ErrorKind::Unavailable);
    CHECK(failureOf(put("locks/a", 0, {{"x", 1}})) == ErrorKind::OutcomeUnknown);
    CHECK(failureOf(remove("locks/a", 7)) == ErrorKind::OutcomeUnknown);
    store.reset();
}

// The call that was refused behind the interim answer was taken for one that was carried out.
TEST_CASE_FIXTURE(StoreFixture, "an interim answer of the store does not end the call")
{
    EndlessServer refusing(
        io,
        [](const std::string &) {
            return "HTTP/1.1 103 Early Hints\r\n\r\n"
                   "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
        },
        "");
    store = std::move(*makePlatformStore(io, refusing.address(), 1s, metrics));
    CHECK(failureOf(remove("locks/a", 7)) == ErrorKind::Conflict);
    store.reset();
}

// Guards against a write that counts as carried out because of an answer that a reset has cut off.
TEST_CASE_FIXTURE(StoreFixture, "a reset while an object is being written is no answer")
{
    RawListener raw;
    store = std::move(*makePlatformStore(io, raw.address(), 1s, metrics));
    std::optional<Expected<std::uint64_t>> result;
    store->put("locks/a", 0, json{{"x", std::string(8'000'000, 'x')}}.dump(), WriteId("w"),
               [&result](const Expected<std::uint64_t> &answer) {
                   result = answer;
               });
    REQUIRE(runUntil(io, [&raw] {
        return raw.connections() > 0 && raw.connection(0).hasReceived("\r\n\r\n");
    }));
    raw.connection(0).send("HTTP/1.1 200 OK\r\n\r\n"
                           R"({"metadata":{"name":"a","rev":7},"spec":{}})");
    raw.connection(0).reset();
    REQUIRE(runUntil(io, [&result] {
        return result.has_value();
    }));
    CHECK(failureOf(*result) == ErrorKind::OutcomeUnknown);
    store.reset();
}
