// What instances keep in the store, and tell each other, of the software versions that serve a pool
// and of the streams that they began.
#include "RequestPathFixture.h"

#include "marigoldspool/Support/EventLog.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::string Versions = "software-versions";
const std::string Origins = "stream-origins";
const std::string KnownKey = "00c0ffee12345678";

json slotWith(const std::string &keys, const std::string &pool = "llm")
{
    return {{"streams", {{{"pool", pool}, {"version", "v1"}, {"keys", keys}}}}};
}

std::string slotName(int slot)
{
    return (slot < 10 ? "0" : "") + std::to_string(slot);
}

/// Instances that start beside a store with records.
class StreamRecordFixture : public RequestPathFixture, public EventLog
{
public:
    StreamRecordFixture()
    {
        setEventLog(this);
        addReplica("i-1", "app", answerOk);
        callUntilStatus(200, "/app/x");
    }
    ~StreamRecordFixture() override { setEventLog(nullptr); }

    void write(LogLevel /*level*/, std::string_view name, gsl::span<const LogField> fields) override
    {
        lines.push_back(formatEvent(name, fields));
    }

    void runFor(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    // As after a kill: nothing is released or written.
    void killAll()
    {
        daemon.reset();
        others.clear();
        lines.clear();
    }

    void startAgain()
    {
        daemon = addInstance("front-1");
        callUntilStatus(200, "/app/x");
    }

    void recordVersions(const std::vector<std::string> &versions)
    {
        store.put(Versions, "llm", {{"versions", versions}});
    }

    std::string spec(const std::string &kind, const std::string &name) const
    {
        auto objects = store.copy().objects;
        return objects[kind][name].spec;
    }

    std::size_t count(const std::string &kind) const { return store.copy().objects[kind].size(); }

    bool hasLine(const std::string &part) const
    {
        return std::any_of(lines.begin(), lines.end(), [&part](const std::string &line) {
            return line.find(part) != std::string::npos;
        });
    }

    double unreadable(const std::string &kind) const
    {
        return daemonMetrics->counterValue("marigoldspool_unreadable_objects_total",
                                           {{"kind", kind}});
    }

    std::vector<std::unique_ptr<FleetDaemon>> others;
    std::vector<std::string> lines;
};

} // namespace

// Guards against a ring in which a new lease holder overwrites what was written last, and against
// streams that are lost with the second kill of all instances.
TEST_CASE_FIXTURE(StreamRecordFixture,
                  "a new lease holder writes what it has read behind the last object")
{
    killAll();
    recordVersions({"v1", "v2"});
    int last = 5;
    SUBCASE("in the ring") { }
    SUBCASE("at its end")
    {
        last = 15;
    }
    for (int slot = 0; slot < 16; ++slot) {
        if (slot != last) {
            store.put(Origins, slotName(slot), slotWith(""));
        }
    }
    store.put(Origins, slotName(last), slotWith(KnownKey));
    const std::string next = slotName((last + 1) % 16);
    startAgain();
    CHECK(runUntil(io, [&] {
        return spec(Origins, next).find(KnownKey) != std::string::npos;
    }));
    CHECK(spec(Origins, slotName(last)).find(KnownKey) != std::string::npos);
    CHECK(hasLine("event=software_versions pool=llm mixed=yes versions=v1,v2"));
    // Nothing is new, so nothing is written.
    runFor(100ms);
    const std::string written = spec(Origins, next);
    runFor(1500ms);
    CHECK(spec(Origins, next) == written);
    CHECK(count(Origins) == 16);
}

// Guards against writes to the store while no pool needs them.
TEST_CASE_FIXTURE(StreamRecordFixture, "no streams are written while each pool has one version")
{
    killAll();
    recordVersions({"v1"});
    store.put(Origins, "03", slotWith(KnownKey));
    startAgain();
    runFor(2s);
    CHECK(count(Origins) == 1);
    CHECK_FALSE(hasLine("event=software_versions "));
}

// Guards against an instance that never serves, or ends, because of an object that it cannot read.
TEST_CASE_FIXTURE(StreamRecordFixture, "unreadable records are counted and change nothing else")
{
    killAll();
    std::string text;
    // The list of the store can still be split into its objects.
    SUBCASE("no JSON")
    {
        text = "1e999";
    }
    SUBCASE("another type")
    {
        text = "[1, 2]";
    }
    SUBCASE("an incomplete key")
    {
        text = slotWith("123").dump();
    }
    SUBCASE("a key that is no number")
    {
        text = slotWith("000000000000000g").dump();
    }
    SUBCASE("a negative key")
    {
        text = slotWith("-00000000000000a").dump();
    }
    SUBCASE("no pool")
    {
        text = R"({"streams":[{"version":"v1","keys":""}]})";
    }
    store.putText(Origins, "02", text);
    store.put(Origins, "03", slotWith(KnownKey));
    store.putText(Versions, "app", text);
    recordVersions({"v1", "v2"});
    startAgain();
    CHECK(unreadable("stream_origins") == 1);
    CHECK(unreadable("software_versions") == 1);
    CHECK(runUntil(io, [&] {
        return spec(Origins, "04").find(KnownKey) != std::string::npos;
    }));
}

// Guards against an instance that serves before it knows what was begun, and against one that never
// serves because it cannot read that.
TEST_CASE_FIXTURE(StreamRecordFixture,
                  "an instance waits for the streams in the store, but not for long")
{
    killAll();
    recordVersions({"v1", "v2"});
    store.put(Origins, "03", slotWith(KnownKey));
    store.refusedKind = Origins;
    const SteadyTime before = clock.now();
    daemon = addInstance("front-1");
    SUBCASE("they can be read in time")
    {
        runFor(1500ms);
        CHECK_FALSE(hasLine("event=ready"));
        CHECK(callAndWait("/app/x")->status == 503);
        store.refusedKind.clear();
        callUntilStatus(200, "/app/x");
        CHECK(clock.now() - before < 3s);
        CHECK_FALSE(hasLine("event=stream_origins_not_read"));
    }
    SUBCASE("they can be read later")
    {
        callUntilStatus(200, "/app/x");
        CHECK(clock.now() - before >= 3s);
        CHECK(hasLine("event=stream_origins_not_read"));
        store.refusedKind.clear();
    }
    CHECK(runUntil(io, [&] {
        return spec(Origins, "04").find(KnownKey) != std::string::npos;
    }));
}

// Guards against a ring that stays as the store's older copy has it, without what was known last.
TEST_CASE_FIXTURE(StreamRecordFixture,
                  "all known streams are written again after the store was restored")
{
    killAll();
    store.era = 1;
    recordVersions({"v1", "v2"});
    const StandinStore::Copy copy = store.copy();
    store.put(Origins, "03", slotWith(KnownKey));
    startAgain();
    CHECK(runUntil(io, [&] {
        return spec(Origins, "04").find(KnownKey) != std::string::npos;
    }));
    store.refuseCalls = true;
    runFor(1s);
    store.restore(copy);
    store.refuseCalls = false;
    CHECK(count(Origins) == 0);
    CHECK(runUntil(io, [&] {
        return count(Origins) > 0;
    }));
    const StandinStore::Copy written = store.copy();
    for (const auto &[name, object] : written.objects.at(Origins)) {
        CHECK(object.spec.find(KnownKey) != std::string::npos);
    }
}

// Guards against a version that has served and of which nothing tells after all instances were
// killed, and against a record that stays as it is in the older copy of a restored store.
TEST_CASE_FIXTURE(StreamRecordFixture, "the lease holder records the versions that are listed")
{
    const auto list = [this](const std::string &version) {
        json entry = replicas[0]->entry("app");
        entry["version"] = version;
        store.put("servers", "i-" + version, entry);
    };
    const auto isRecorded = [this](const std::vector<std::string> &versions) {
        return runUntil(io, [&] {
            return spec(Versions, "app") == json{{"versions", versions}}.dump();
        });
    };
    store.era = 1;
    REQUIRE(isRecorded({"v1"}));
    runFor(1s);
    const StandinStore::Copy copy = store.copy();
    list("v2");
    CHECK(isRecorded({"v1", "v2"}));
    // Changes are logged with the batches of messages, every 50 ms.
    runFor(100ms);
    CHECK(hasLine("event=software_versions pool=app mixed=yes versions=v1,v2"));
    SUBCASE("an endpoint leaves")
    {
        store.erase("servers", "i-1");
        runFor(2s);
        CHECK(isRecorded({"v1", "v2"}));
    }
    SUBCASE("the record is removed")
    {
        store.erase(Versions, "app");
        CHECK(isRecorded({"v1", "v2"}));
    }
    SUBCASE("the record is replaced")
    {
        store.put(Versions, "app", {{"versions", {"v1"}}});
        CHECK(isRecorded({"v1", "v2"}));
    }
    SUBCASE("the record becomes unreadable")
    {
        store.putText(Versions, "app", "[1]");
        CHECK(isRecorded({"v1", "v2"}));
        CHECK(unreadable("software_versions") == 1);
    }
    SUBCASE("the answer to the write is lost")
    {
        store.answersToLose = 1;
        list("v3");
        CHECK(isRecorded({"v1", "v2", "v3"}));
    }
    SUBCASE("the store is restored from an older copy")
    {
        store.refuseCalls = true;
        runFor(1s);
        store.restore(copy);
        store.refuseCalls = false;
        CHECK(isRecorded({"v1", "v2"}));
    }
    // Nothing is written while nothing changes.
    runFor(500ms);
    const auto written = store.copy().objects[Versions]["app"].revision;
    runFor(1s);
    CHECK(store.copy().objects[Versions]["app"].revision == written);
}
