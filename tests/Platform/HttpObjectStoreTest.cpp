#include "marigoldspool/Platform/HttpObjectStore.h"
#include "standins/platform-standin/PlatformServer.h"
#include "support/EndlessServer.h"
#include "support/IoRunner.h"

#include <optional>

#include <doctest/doctest.h>

using namespace marigoldspool;
using Mode = PlatformFaults::Mode;

namespace {

boost::asio::ip::tcp::endpoint anyPort()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

struct StoreFixture {
    boost::asio::io_context io{1};
    PlatformServer server{io, anyPort(), 1};
    Metrics metrics;
    std::unique_ptr<ObjectStore> store = makeStore(std::chrono::seconds(30));

    std::unique_ptr<ObjectStore> makeStore(Duration timeout)
    {
        return makeHttpObjectStore(io, server.address(), timeout, metrics);
    }

    template <class T>
    Expected<T> await(const std::function<void(Callback<T>)> &call)
    {
        std::optional<Expected<T>> result;
        call([&](Expected<T> answer) {
            REQUIRE_FALSE(result.has_value());
            result.emplace(std::move(answer));
        });
        CHECK_FALSE_MESSAGE(result.has_value(), "called back from within the call");
        REQUIRE(runUntil(io, [&]() {
            return result.has_value();
        }));
        return std::move(*result);
    }

    Expected<std::uint64_t> put(const std::string &key, std::uint64_t expected,
                                const std::string &value, const std::string &write = "w")
    {
        return await<std::uint64_t>([&](Callback<std::uint64_t> done) {
            store->put(key, expected, value, WriteId(write), std::move(done));
        });
    }

    Expected<StoredObject> get(const std::string &key)
    {
        return await<StoredObject>([&](Callback<StoredObject> done) {
            store->get(key, std::move(done));
        });
    }

    double counted(const std::string &kind, const std::string &outcome) const
    {
        return metrics.counterValue("marigoldspool_store_calls_total",
                                    {{"kind", kind}, {"outcome", outcome}});
    }
};

template <class T>
ErrorKind kindOf(const Expected<T> &result)
{
    REQUIRE_FALSE(result.has_value());
    return result.error().kind;
}

} // namespace

TEST_CASE_FIXTURE(StoreFixture, "keys and values with special characters are stored unchanged")
{
    const std::string key = "config/a b?c=d&e%2F#\xc3\xa9/\"x\"";
    const std::string value = "line\n\"quoted\" \xf0\x9f\x8c\xbc";
    const auto version = put(key, 0, value, "write-1");
    REQUIRE(version);
    const auto object = get(key);
    REQUIRE(object);
    CHECK(object->key == key);
    CHECK(object->value == value);
    CHECK(object->version == *version);
    CHECK(object->writeId == WriteId("write-1"));
    const auto listed = await<ListResult>([&](Callback<ListResult> done) {
        store->list("config/a b?c=d&e%2F#", std::move(done));
    });
    REQUIRE(listed);
    CHECK(listed->objects.size() == 1);
}

TEST_CASE_FIXTURE(StoreFixture, "a conditional write with an old version is a conflict")
{
    const auto first = put("a", 0, "1");
    REQUIRE(first);
    CHECK(kindOf(put("a", 0, "2")) == ErrorKind::Conflict);
    CHECK(put("a", *first, "2").has_value());
    CHECK(kindOf(put("a", *first, "3")) == ErrorKind::Conflict);
    CHECK(get("a")->value == "2");
    CHECK(counted("put", "conflict") == 2);
}

TEST_CASE_FIXTURE(StoreFixture, "removal is conditional and a missing object is not found")
{
    const auto version = put("a", 0, "1");
    REQUIRE(version);
    const auto remove = [&](std::uint64_t expected) {
        return await<std::uint64_t>([&](Callback<std::uint64_t> done) {
            store->remove("a", expected, std::move(done));
        });
    };
    CHECK(kindOf(remove(*version + 1)) == ErrorKind::Conflict);
    CHECK(remove(*version).has_value());
    CHECK(kindOf(get("a")) == ErrorKind::NotFound);
    CHECK(kindOf(remove(*version)) == ErrorKind::NotFound);
}

TEST_CASE_FIXTURE(StoreFixture, "a write whose answer is lost is reported as unknown, not failed")
{
    server.setFaults({Mode::LoseAnswers, {}, 1});
    CHECK(kindOf(put("a", 0, "1")) == ErrorKind::OutcomeUnknown);
    CHECK(server.count("put") == 1);
    server.setFaults({});
    CHECK(get("a")->value == "1");
    CHECK(counted("put", "outcome_unknown") == 1);
}

TEST_CASE_FIXTURE(StoreFixture, "a write on a connection that breaks is never sent a second time")
{
    REQUIRE(put("a", 0, "1"));
    server.setFaults({Mode::Away, {}, 1});
    CHECK(kindOf(put("b", 0, "1")) == ErrorKind::OutcomeUnknown);
    CHECK(server.count("put") == 2);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "a refused connection is reported as unavailable for reads and writes")
{
    server.stop();
    CHECK(kindOf(get("a")) == ErrorKind::Unavailable);
    CHECK(kindOf(put("a", 0, "1")) == ErrorKind::Unavailable);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "an unanswered read times out and an unanswered write has an unknown outcome")
{
    store = makeStore(std::chrono::milliseconds(50));
    server.setFaults({Mode::Hang, {}, 1});
    CHECK(kindOf(get("a")) == ErrorKind::Timeout);
    CHECK(kindOf(put("a", 0, "1")) == ErrorKind::OutcomeUnknown);
}

TEST_CASE_FIXTURE(StoreFixture, "calls queued behind a hanging store end by their deadline")
{
    store = makeStore(std::chrono::milliseconds(50));
    server.setFaults({Mode::Hang, {}, 1});
    int ended = 0;
    for (int i = 0; i < 20; ++i) {
        store->get("a", [&](Expected<StoredObject> result) {
            const ErrorKind kind = kindOf(result);
            CHECK((kind == ErrorKind::Timeout || kind == ErrorKind::Unavailable));
            ++ended;
        });
    }
    CHECK(runUntil(io, [&]() {
        return ended == 20;
    }));
}

TEST_CASE_FIXTURE(StoreFixture,
                  "rate limiting and oversized or binary values have distinct error kinds")
{
    CHECK(kindOf(put("a", 0, std::string(MaxObjectBytes + 1, 'x'))) == ErrorKind::TooLarge);
    CHECK(kindOf(put("a", 0, "\xff\xfe")) == ErrorKind::InvalidArgument);
    CHECK(server.count("put") == 0);
    CHECK(put("a", 0, std::string(MaxObjectBytes, 'x')).has_value());
    server.setFaults({Mode::Limited, {}, 1});
    CHECK(kindOf(get("a")) == ErrorKind::RateLimited);
}

TEST_CASE_FIXTURE(StoreFixture, "connections are reused, and replaced when the server closes them")
{
    for (int i = 0; i < 10; ++i) {
        CHECK(kindOf(get("a")) == ErrorKind::NotFound);
    }
    CHECK(server.connectionsAccepted() == 1);
    server.closeConnections();
    CHECK(put("a", 0, "1").has_value());
    CHECK(get("a").has_value());
    CHECK(server.connectionsAccepted() == 2);
}

TEST_CASE_FIXTURE(StoreFixture, "an answer that is sent twice is not the answer to the next call")
{
    const std::string missing = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    int calls = 0;
    EndlessServer repeating(
        io,
        [&](const std::string &) {
            return ++calls == 1 ? missing + missing
                                : "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        },
        std::string(16'384, 'x'));
    store = makeHttpObjectStore(io, repeating.address(), std::chrono::seconds(30), metrics);
    CHECK(kindOf(get("a")) == ErrorKind::NotFound);
    CHECK(kindOf(get("b")) == ErrorKind::Unavailable);
    store.reset();
}

TEST_CASE_FIXTURE(StoreFixture, "pending watches do not block other calls")
{
    int completed = 0;
    for (int i = 0; i < 8; ++i) {
        store->watch("a/", 0, std::chrono::seconds(60), [&](Expected<WatchBatch> batch) {
            REQUIRE(batch);
            CHECK(batch->events.size() == 1);
            CHECK(batch->events.at(0).value == "1");
            ++completed;
        });
    }
    REQUIRE(runUntil(io, [&]() {
        return server.waitingWatches() == 8;
    }));
    REQUIRE(put("b", 0, "0"));
    CHECK(completed == 0);
    REQUIRE(put("a/x", 0, "1"));
    CHECK(runUntil(io, [&]() {
        return completed == 8;
    }));
}

TEST_CASE_FIXTURE(StoreFixture,
                  "a watch ends with an empty batch, or with a gap when events are lost")
{
    const auto watch = [&](std::uint64_t from) {
        return await<WatchBatch>([&](Callback<WatchBatch> done) {
            store->watch("a", from, std::chrono::milliseconds(10), std::move(done));
        });
    };
    const auto empty = watch(0);
    REQUIRE(empty);
    CHECK(empty->events.empty());
    CHECK_FALSE(empty->gap);
    REQUIRE(put("a", 0, "1"));
    server.table().forgetEvents();
    const auto lost = watch(0);
    REQUIRE(lost);
    CHECK(lost->gap);
}

TEST_CASE_FIXTURE(StoreFixture, "the instance list keeps the state of each instance")
{
    server.setInstances({{"a-1", "a", "127.0.0.1:1", PlatformState::Live},
                         {"b-1", "b", "127.0.0.1:2", PlatformState::Leaving}});
    const auto list =
        await<std::vector<PlatformInstance>>([&](Callback<std::vector<PlatformInstance>> done) {
            store->instances(std::move(done));
        });
    REQUIRE(list);
    REQUIRE(list->size() == 2);
    CHECK(list->at(0).address == "127.0.0.1:1");
    CHECK(list->at(1).state == PlatformState::Leaving);
}

TEST_CASE_FIXTURE(StoreFixture, "no callback follows the destruction of the store")
{
    store->get("a", [](Expected<StoredObject>) {
        FAIL("called back");
    });
    store->put("a", 0, "\xff", WriteId("w"), [](Expected<std::uint64_t>) {
        FAIL("called back");
    });
    store->watch("a", 0, std::chrono::seconds(60), [](Expected<WatchBatch>) {
        FAIL("called back");
    });
    store.reset();
    io.run_for(std::chrono::milliseconds(50));
}
