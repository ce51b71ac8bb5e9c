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

namespace {

std::string event(int id, const std::string &version)
{
    return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
}

/// Two instances, and engines of several versions whose streams state the version in each of their
/// three events.
class TwoVersionsFixture : public StreamRecordFixture
{
public:
    TwoVersionsFixture()
    {
        addresses["front-1"] = callerAddress;
        engineMemoryMb = 200;
        configure(2, {"k1"});
        startInstance("front-2");
        addEngine("e-1", "v1");
        callUntilStatus(200, "/llm/x", "m");
        REQUIRE(waitForRecord({"v1"}));
    }

    void startInstance(const std::string &name)
    {
        (name == "front-1" ? daemon : others.emplace_back()) = addInstance(name);
        addresses[name] = callerAddress;
        callUntilStatus(200, "/app/x");
    }

    // As after a kill of the machines: all instances end at once and start again.
    void killAndStartAll()
    {
        killAll();
        runFor(300ms);
        startInstance("front-1");
        startInstance("front-2");
        runFor(1s);
    }

    void addEngine(const std::string &id, const std::string &version)
    {
        StandinReplica &replica =
            startReplica(id, [this, id, version](const HttpRequest &request, const auto &sink) {
                const std::string *after = findHeader(request.headers, "Last-Event-Id");
                (after == nullptr ? begun : resumed)[id] += 1;
                sink->head(200, streamHeaders(request), true);
                for (int next = after == nullptr ? 1 : std::stoi(*after) + 1; next <= 3; ++next) {
                    sink->data(event(next, version));
                }
                sink->finish();
            });
        replica.models = {"m"};
        json entry = replica.entry("llm");
        entry["version"] = version;
        store.put("servers", id, entry);
        runFor(700ms);
    }

    bool waitForRecord(const std::vector<std::string> &versions)
    {
        const json expected = {{"versions", versions}};
        return runUntil(io, [&] {
            const std::string text = spec(Versions, "llm");
            return !text.empty() && json::parse(text) == expected;
        });
    }

    // Engines of two versions, both in the record, and new streams at both.
    void startMixed()
    {
        addEngine("e-2", "v2");
        REQUIRE(waitForRecord({"v1", "v2"}));
        runFor(1s);
    }

    /// Begins a stream at an instance; returns the id of the attempt.
    std::string begin(const std::string &instance)
    {
        callerAddress = addresses[instance];
        lastEventId.clear();
        resumes.clear();
        const auto answer = callAndWait("/llm/x", "m");
        REQUIRE(answer->status == 200);
        std::string id = "r" + std::to_string(requests);
        origins[id] =
            answer->body == event(1, "v1") + event(2, "v1") + event(3, "v1") ? "v1" : "v2";
        return id;
    }

    void beginMany(const std::string &instance, int n = 20)
    {
        for (int i = 0; i < n; ++i) {
            begin(instance);
        }
    }

    int begunAt(const std::string &version) const
    {
        return static_cast<int>(
            std::count_if(origins.begin(), origins.end(), [&version](const auto &it) {
                return it.second == version;
            }));
    }

    std::shared_ptr<CallerAnswer> takeUp(const std::string &instance, const std::string &attempt)
    {
        callerAddress = addresses[instance];
        lastEventId = "1";
        resumes = attempt;
        return callAndWait("/llm/x", "m");
    }

    // Takes all begun streams up, and checks that each goes on at its version, or is refused if
    // that has gone.
    void checkTakeUps(const std::string &instance, const std::string &goneVersion = {})
    {
        for (const auto &it : origins) {
            const std::string &id = it.first;
            const std::string &version = it.second;
            CAPTURE(instance);
            CAPTURE(id);
            CAPTURE(version);
            const auto answer = takeUp(instance, id);
            if (version == goneVersion) {
                CHECK(answer->status == 503);
            } else {
                CHECK(answer->status == 200);
                CHECK(answer->body == event(2, version) + event(3, version));
            }
        }
    }

    std::map<std::string, std::string> addresses;
    std::map<std::string, int> begun;
    std::map<std::string, int> resumed;
    /// The version that began each stream, by the id of the attempt.
    std::map<std::string, std::string> origins;
};

} // namespace

// Streams that a caller took up at another instance went on at any version, since only the instance
// that had begun them could have known theirs.
TEST_CASE_FIXTURE(TwoVersionsFixture,
                  "a stream that is taken up at another instance stays at its version")
{
    SUBCASE("begun while two versions serve")
    {
        startMixed();
    }
    SUBCASE("begun before the second one came") { }
    beginMany("front-1");
    if (begun["e-2"] == 0) {
        startMixed();
        CHECK(begunAt("v1") == 20);
    } else {
        CHECK(begunAt("v1") > 0);
        CHECK(begunAt("v2") > 0);
        runFor(300ms);
    }
    checkTakeUps("front-2");
    CHECK(takeUp("front-2", "unknown")->status == 503);
}

// After a kill of all instances beside two versions, 8 streams went on at another version.
TEST_CASE_FIXTURE(TwoVersionsFixture,
                  "streams stay at their version after all instances were killed")
{
    beginMany("front-1", 5);
    startMixed();
    beginMany("front-1");
    beginMany("front-2");
    REQUIRE(begunAt("v2") > 0);
    runFor(1200ms);
    killAndStartAll();
    checkTakeUps("front-1");
    checkTakeUps("front-2");
    for (const char *instance : {"front-1", "front-2"}) {
        CHECK(takeUp(instance, "unknown")->status == 503);
    }
}

// Guards against streams of a version that has left going on at the one that is left, because
// nothing that is listed tells that there was another one.
TEST_CASE_FIXTURE(TwoVersionsFixture,
                  "streams of a version whose last endpoint left before a kill are refused")
{
    beginMany("front-1", 5);
    startMixed();
    beginMany("front-1");
    runFor(1200ms);
    store.erase("servers", "e-1");
    SUBCASE("just before") { }
    SUBCASE("seen by the instances")
    {
        runFor(2s);
    }
    resumed.clear();
    killAndStartAll();
    for (const char *instance : {"front-1", "front-2"}) {
        checkTakeUps(instance, "v1");
        CHECK(takeUp(instance, "unknown")->status == 503);
    }
    CHECK(resumed["e-2"] == 2 * begunAt("v2"));
    // New streams begin at the version that is left.
    begin("front-1");
}

// Guards against a record that stays as the store's older copy has it: after a kill of all
// instances, streams of unknown versions would then go on at the version in it.
TEST_CASE_FIXTURE(TwoVersionsFixture, "what a restored store lacks is written again")
{
    killAll();
    store.era = 1;
    startInstance("front-1");
    startInstance("front-2");
    runFor(1s);
    const StandinStore::Copy copy = store.copy();
    const std::string entry = [&] {
        startMixed();
        return spec("servers", "e-2");
    }();
    beginMany("front-1");
    runFor(1s);
    store.refuseCalls = true;
    runFor(1s);
    store.restore(copy);
    store.refuseCalls = false;
    runFor(500ms);
    checkTakeUps("front-2");
    store.put("servers", "e-2", json::parse(entry));
    CHECK(waitForRecord({"v1", "v2"}));
    runFor(1500ms);
    checkTakeUps("front-2");
    killAndStartAll();
    checkTakeUps("front-2");
    CHECK(takeUp("front-1", "unknown")->status == 503);
}

// The others hung up on an instance when its planned stop began, so nobody was told of the streams
// that began there until its end, and all of them were refused when callers took them up.
TEST_CASE_FIXTURE(TwoVersionsFixture,
                  "a stream that begins in a planned stop can be taken up elsewhere")
{
    std::string stopping = "front-1";
    std::string other = "front-2";
    // Of two instances, the one with the lower id keeps its connection with one that is not listed.
    SUBCASE("at the instance with the lower id") { }
    SUBCASE("at the instance with the higher id")
    {
        std::swap(stopping, other);
    }
    startMixed();
    bool stopped = false;
    (stopping == "front-1" ? daemon : others.front())->stop([&stopped] {
        stopped = true;
    });
    runFor(500ms);
    beginMany(stopping);
    runFor(300ms);
    checkTakeUps(other);
    CHECK_FALSE(stopped);
    REQUIRE(runUntil(io, [&stopped] {
        return stopped;
    }));
    CHECK_FALSE(store.has("instances", stopping));
}

// Guards against an instance that serves without knowing what was begun before it started.
TEST_CASE_FIXTURE(TwoVersionsFixture,
                  "an instance that starts beside two versions knows earlier streams")
{
    startMixed();
    beginMany("front-1");
    SUBCASE("from the store")
    {
        runFor(1s);
    }
    SUBCASE("from the other instances") { }
    startInstance("front-3");
    runFor(500ms);
    checkTakeUps("front-3");
    CHECK(takeUp("front-3", "unknown")->status == 503);
}

// Guards against streams that are refused, or go on elsewhere, because the store cannot be written.
TEST_CASE_FIXTURE(TwoVersionsFixture,
                  "while the store is away, instances tell each other of streams")
{
    startMixed();
    store.refuseCalls = true;
    runFor(500ms);
    beginMany("front-1");
    runFor(300ms);
    checkTakeUps("front-2");
    store.refuseCalls = false;
    runFor(3s);
    killAndStartAll();
    checkTakeUps("front-2");
}

// Guards against streams of a version that nothing tells of after a kill of all instances.
TEST_CASE_FIXTURE(TwoVersionsFixture, "streams begin at a new version only once it is recorded")
{
    store.refusedKind = Versions;
    addEngine("e-2", "v2");
    const SteadyTime before = clock.now();
    while (clock.now() - before < 2s) {
        begin("front-1");
        begin("front-2");
    }
    CHECK(begun["e-2"] == 0);
    store.refusedKind.clear();
    REQUIRE(waitForRecord({"v1", "v2"}));
    runFor(1s);
    beginMany("front-1");
    CHECK(begun["e-2"] > 0);
}
