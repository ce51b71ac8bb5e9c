#include "marigoldspool/Serving/StreamOrigins.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("p");
const PoolName OtherPool("q");
const SoftwareVersion V1("v1");
const SoftwareVersion V2("v2");

bool isAnyPool(const PoolName & /*pool*/)
{
    return true;
}

std::size_t keyCount(const std::vector<StreamOriginGroup> &groups)
{
    std::size_t count = 0;
    for (const StreamOriginGroup &group : groups) {
        count += group.keys.size();
    }
    return count;
}

struct OriginsFixture {
    ManualClock clock;
    StreamOrigins origins{clock};
    StreamOrigins peer{clock};

    void tellPeer(const std::vector<StreamOriginGroup> &groups)
    {
        for (const StreamOriginGroup &group : groups) {
            peer.onNotice(group, 50s);
        }
    }
};

} // namespace

// Guards against workspaces that reach each other's streams through the choice of an id.
TEST_CASE("stream keys differ between workspaces")
{
    CHECK(streamKey(WorkspaceName("a"), RequestId("bc"))
          != streamKey(WorkspaceName("ab"), RequestId("c")));
    CHECK(streamKey(WorkspaceName("a"), RequestId(std::string(100'000, 'x')))
          != streamKey(WorkspaceName("a"), RequestId(std::string(100'001, 'x'))));
}

// Guards against a take-up at an endpoint of another pool, and against streams that are not told.
TEST_CASE_FIXTURE(OriginsFixture, "a stream is found at its instance and where it was told of")
{
    origins.onBegun(Pool, 1, V1, 50s);
    origins.onBegun(OtherPool, 2, V2, 50s);
    CHECK(origins.find(Pool, 1) == V1);
    CHECK_FALSE(origins.find(OtherPool, 1).has_value());
    tellPeer(origins.takeNew([](const PoolName &pool) {
        return pool == Pool;
    }));
    CHECK(peer.find(Pool, 1) == V1);
    CHECK(peer.size() == 1);
    CHECK(peer.takeNew(isAnyPool).empty());
    tellPeer(origins.takeNew(isAnyPool));
    CHECK(peer.find(OtherPool, 2) == V2);
    CHECK(origins.takeNew(isAnyPool).empty());
}

// Guards against a peer that knows one version of a key after both had begun streams: only the
// first one was told.
TEST_CASE_FIXTURE(OriginsFixture, "a key of two versions is unknown at all instances")
{
    origins.onBegun(Pool, 1, V1, 50s);
    tellPeer(origins.takeNew(isAnyPool));
    clock.advance(1s);
    const SteadyTime since = clock.now();
    clock.advance(1s);
    origins.onBegun(Pool, 1, V2, 50s);
    CHECK_FALSE(origins.find(Pool, 1).has_value());
    SUBCASE("by message")
    {
        tellPeer(origins.takeNew(isAnyPool));
    }
    SUBCASE("by the record")
    {
        tellPeer(origins.addedSince(since));
    }
    CHECK_FALSE(peer.find(Pool, 1).has_value());
    CHECK(peer.size() == 1);
}

// Guards against streams that are kept after the end, or lost before it, beside other lifetimes.
TEST_CASE_FIXTURE(OriginsFixture, "streams are kept for their lifetime")
{
    origins.onBegun(Pool, 1, V1, 10s);
    origins.onBegun(OtherPool, 2, V1, 50s);
    origins.onBegun(Pool, 3, V1, 10s);
    clock.advance(10s);
    origins.onTick();
    CHECK_FALSE(origins.find(Pool, 1).has_value());
    CHECK(origins.find(OtherPool, 2) == V1);
    clock.advance(40s);
    origins.onTick();
    CHECK(origins.size() == 0);
}

// Guards against a record that repeats all streams each time, or misses some.
TEST_CASE_FIXTURE(OriginsFixture, "the record holds the streams added since the last one")
{
    origins.onBegun(Pool, 1, V1, 50s);
    const SteadyTime since = clock.now();
    clock.advance(1s);
    origins.onNotice({Pool, V2, {2, 3}}, 50s);
    CHECK(keyCount(origins.addedSince(since)) == 2);
    CHECK(keyCount(origins.addedSince(SteadyTime())) == 3);
}

// Guards against memory that grows without bound, and against dropping the newest streams.
TEST_CASE_FIXTURE(OriginsFixture, "the oldest streams are forgotten beyond the limit")
{
    for (StreamKey key = 1; key <= StreamOrigins::MaxStreams + 10; ++key) {
        origins.onBegun(Pool, key, V1, 50s);
    }
    CHECK(origins.size() == StreamOrigins::MaxStreams);
    CHECK_FALSE(origins.find(Pool, 10).has_value());
    CHECK(origins.find(Pool, 11) == V1);
}

// Guards against take-ups that are refused because a large fleet's streams exceed the limit.
TEST_CASE_FIXTURE(OriginsFixture, "all streams of a large fleet are kept for their lifetime")
{
    constexpr StreamKey Rate = 2'600;
    for (StreamKey second = 0; second < 60; ++second) {
        for (StreamKey i = 0; i < Rate; ++i) {
            origins.onNotice({Pool, V1, {second * Rate + i}}, 50s);
        }
        clock.advance(1s);
        origins.onTick();
    }
    CHECK(origins.size() == 49 * Rate);
    CHECK(origins.find(Pool, 11 * Rate) == V1);
}

// Guards against memory that grows while a pool is never mixed, also if a caller reuses an id.
TEST_CASE_FIXTURE(OriginsFixture, "streams that are never told of are forgotten")
{
    for (StreamKey key = 1; key <= 20'000; ++key) {
        origins.onBegun(Pool, key % 2 == 0 ? 0 : key, V1, 1s);
        clock.advance(1s);
        origins.onTick();
    }
    CHECK(origins.unannouncedCount() <= 1'100);
}

// Guards against memory that grows with every version that has ever been released.
TEST_CASE_FIXTURE(OriginsFixture, "versions without streams are forgotten")
{
    for (int i = 0; i < 1'000; ++i) {
        const SoftwareVersion version("v" + std::to_string(i));
        origins.onBegun(Pool, static_cast<StreamKey>(i), version, 2s);
        clock.advance(1s);
        origins.onTick();
        CHECK(origins.find(Pool, static_cast<StreamKey>(i)) == version);
    }
    CHECK(origins.kindCount() <= 10);
}

// Guards against memory that grows while a caller uses an id again and again.
TEST_CASE_FIXTURE(OriginsFixture, "a stream whose id is reused does not keep later ones")
{
    for (StreamKey key = 1; key <= 100; ++key) {
        origins.onBegun(Pool, 0, V1, 2s);
        origins.onBegun(Pool, key, V1, 2s);
        clock.advance(1s);
        origins.onTick();
    }
    CHECK(origins.find(Pool, 0) == V1);
    CHECK(origins.size() <= 5);
}
