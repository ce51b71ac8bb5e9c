#include "marigoldspool/Serving/SoftwareVersions.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

using Versions = SoftwareVersions::Versions;

const PoolName Pool("p");
const SoftwareVersion V1("v1");
const SoftwareVersion V2("v2");
const SoftwareVersion V3("v3");

class VersionsFixture
{
public:
    VersionsFixture() { versions.setStreamLifetime(Pool, 50s); }

    void list(const Versions &listed) { versions.onListed({{Pool, listed}}); }
    void record(const Versions &recorded) { versions.onRecorded(Pool, recorded); }
    /// Writes the records that are due, as the lease holder does.
    void writeRecords()
    {
        for (const auto &[pool, due] : versions.recordsToWrite()) {
            versions.onRecorded(pool, due);
        }
    }
    bool allows(const SoftwareVersion &version) const
    {
        const Versions *allowed = versions.allowedForNew(Pool);
        return allowed == nullptr || allowed->count(version) > 0;
    }
    /// Advances the time in the steps in which the list is received.
    void run(Duration time, const Versions &listed)
    {
        for (; time > 0s; time -= 1s) {
            clock.advance(1s);
            list(listed);
        }
    }

    ManualClock clock;
    SoftwareVersions versions{clock};
};

} // namespace

// Guards against a pool that serves nothing until its first record has been written.
TEST_CASE_FIXTURE(VersionsFixture, "streams begin at the only version of a pool without a record")
{
    CHECK(versions.allowedForNew(Pool) == nullptr);
    list({V1});
    CHECK(allows(V1));
    CHECK(versions.onlyVersion(Pool) == V1);
    CHECK_FALSE(versions.isMixed(Pool));
    CHECK(versions.recordsToWrite() == std::map<PoolName, Versions>{{Pool, {V1}}});
    writeRecords();
    CHECK(versions.recordsToWrite().empty());
}

// Guards against streams at a version of which a kill of all instances leaves no trace.
TEST_CASE_FIXTURE(VersionsFixture, "streams begin at a further version once it is recorded")
{
    list({V1});
    writeRecords();
    list({V1, V2});
    CHECK(allows(V1));
    CHECK_FALSE(allows(V2));
    CHECK_FALSE(versions.onlyVersion(Pool).has_value());
    writeRecords();
    CHECK(allows(V2));
}

// Guards against a version that serves no streams for as long as the store cannot be written.
TEST_CASE_FIXTURE(VersionsFixture, "a version serves streams after a while without a record")
{
    record({V1});
    list({V1, V2});
    run(4s, {V1, V2});
    CHECK_FALSE(allows(V2));
    run(1s, {V1, V2});
    CHECK(allows(V2));
}

// Guards against streams at a version that an endpoint has, but that has not been listed yet.
TEST_CASE_FIXTURE(VersionsFixture, "streams do not begin at a version that is not known")
{
    list({V1});
    writeRecords();
    CHECK_FALSE(allows(V2));
}

// Guards against forgetting the first version: the second was allowed before either was recorded.
TEST_CASE_FIXTURE(VersionsFixture, "the successor of a version without a record waits for one")
{
    list({V1});
    list({V2});
    CHECK_FALSE(allows(V2));
    writeRecords();
    CHECK(allows(V2));
    CHECK(versions.isMixed(Pool));
}

// Guards against a version that is forgotten as soon as a record without it is read, although
// other instances served it until then.
TEST_CASE_FIXTURE(VersionsFixture, "a version found in the record again counts from then")
{
    record({V2});
    list({V1, V2});
    run(50s, {V2});
    record({V1, V2});
    run(15s, {V2});
    record({V2});
    CHECK(versions.isMixed(Pool));
    run(60s, {V2});
    CHECK(versions.onlyVersion(Pool) == V2);
}

// Guards against forgetting a version while a stream that began after its endpoint left, or at an
// instance that received the list later, may still be taken up.
TEST_CASE_FIXTURE(VersionsFixture, "a version counts until late streams of it have ended")
{
    list({V1, V2});
    writeRecords();
    run(59s, {V2});
    CHECK(versions.recordsToWrite().empty());
    CHECK(versions.isMixed(Pool));
    run(1s, {V2});
    CHECK(versions.recordsToWrite() == std::map<PoolName, Versions>{{Pool, {V2}}});
    CHECK(versions.isMixed(Pool));
    writeRecords();
    CHECK(versions.onlyVersion(Pool) == V2);
}

// Guards against streams at a version that the lease holder has just removed from the record.
TEST_CASE_FIXTURE(VersionsFixture, "a version that returns late waits for a current record")
{
    list({V1, V2});
    writeRecords();
    run(55s, {V2});
    list({V1, V2});
    CHECK_FALSE(allows(V1));
    CHECK(versions.recordsToWrite() == std::map<PoolName, Versions>{{Pool, {V1, V2}}});
    writeRecords();
    CHECK(allows(V1));
}

// Guards against a version that stops serving streams when the list lacks it for a short time.
TEST_CASE_FIXTURE(VersionsFixture, "a version that returns soon serves at once")
{
    list({V1, V2});
    writeRecords();
    run(20s, {V2});
    list({V1, V2});
    CHECK(allows(V1));
    CHECK(versions.recordsToWrite().empty());
}

// Guards against a store restored from an older copy: it must neither stop the streams nor stay.
TEST_CASE_FIXTURE(VersionsFixture, "a record that goes back is written again")
{
    record({V3});
    run(1s, {V1, V2});
    writeRecords();
    run(70s, {V1, V2});
    writeRecords();
    CHECK_FALSE(versions.isListed(Pool, V3));
    record({V3});
    CHECK(allows(V1));
    CHECK(allows(V2));
    CHECK(versions.recordsToWrite() == std::map<PoolName, Versions>{{Pool, {V1, V2, V3}}});
    run(60s, {V1, V2});
    CHECK(versions.recordsToWrite() == std::map<PoolName, Versions>{{Pool, {V1, V2}}});
}

// Guards against an instance that starts after the old version's last endpoint has left.
TEST_CASE_FIXTURE(VersionsFixture, "a recorded version counts for a lifetime after the start")
{
    record({V1, V2});
    list({V2});
    CHECK(versions.isMixed(Pool));
    run(49s, {V2});
    CHECK_FALSE(versions.onlyVersion(Pool).has_value());
}

// Guards against memory that grows with every pool that has ever been listed.
TEST_CASE_FIXTURE(VersionsFixture, "a pool without versions is forgotten")
{
    list({V1});
    writeRecords();
    run(60s, {});
    writeRecords();
    list({});
    CHECK(versions.size() == 0);
    CHECK(versions.allowedForNew(Pool) == nullptr);
    CHECK(versions.recordsToWrite().empty());
}
