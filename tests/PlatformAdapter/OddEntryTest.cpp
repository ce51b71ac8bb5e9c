// Entries that another writer left among those of the replicas.
#include "RequestPathFixture.h"

using namespace marigoldspool;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

struct OddEntry {
    const char *name;
    /// The field's name and its text, which replaces the valid one; a whole spec if it is empty.
    const char *field;
    std::string text;
};

const OddEntry OddEntries[] = {
    {"a nested unknown field", "other", nested(100'000)},
    {"nested models", "models", nested(100'000)},
    {"a nested spec", "", nested(100'000)},
    {"a number too large", "slots", "1e999"},
    {"a port out of range", "addr", "\"127.0.0.1:99999\""},
    {"bytes that are no UTF-8", "zone", "\"\xff\xfe\""},
};

std::string oddSpec(const OddEntry &odd, const StandinReplica &replica)
{
    if (*odd.field == '\0') {
        return odd.text;
    }
    json entry = replica.entry("app");
    entry.erase(odd.field);
    std::string spec = entry.dump();
    spec.pop_back();
    return spec + ",\"" + odd.field + "\":" + odd.text + '}';
}

class OddEntryFixture : public RequestPathFixture
{
public:
    // Repeats the request until the replica has received one since the call.
    void callUntilServedBy(const StandinReplica &replica)
    {
        const std::size_t before = replica.requests.size();
        for (int i = 0; i < 200 && replica.requests.size() == before; ++i) {
            callAndWait("/app/x");
            io.restart();
            io.run_for(10ms);
        }
        CHECK(replica.requests.size() > before);
    }

    // Replaces the replica that serves, and waits until the new one serves: all earlier changes
    // have been read then.
    void replaceSoundReplica()
    {
        removeSoundReplica();
        m_sound = &addReplica("i-5" + std::to_string(replicas.size()), "app", answerOk);
        callUntilServedBy(*m_sound);
    }

    void removeSoundReplica()
    {
        if (m_sound != nullptr) {
            store.erase("servers", m_sound->id);
        }
    }

private:
    StandinReplica *m_sound = nullptr;
};

} // namespace

// A nested entry ended the process, and a number or byte that could not be read stopped the
// instance from following the list.
TEST_CASE_FIXTURE(OddEntryFixture, "an unreadable entry is not used and costs no other entry")
{
    StandinReplica &odd = startReplica("i-1", answerOk);
    for (const OddEntry &it : OddEntries) {
        const std::string spec = oddSpec(it, odd);
        SUBCASE((std::string(it.name) + ": in the first list").c_str())
        {
            store.putText("servers", "i-1", spec);
            replaceSoundReplica();
        }
        SUBCASE((std::string(it.name) + ": as a later event").c_str())
        {
            replaceSoundReplica();
            store.putText("servers", "i-1", spec);
        }
        SUBCASE((std::string(it.name) + ": after a gap").c_str())
        {
            replaceSoundReplica();
            store.putText("servers", "i-1", spec);
            // A watch from before this change has to list again.
            store.put("other", "x", json::object());
            store.dropHistory();
        }
        SUBCASE((std::string(it.name) + ": in place of a sound one").c_str())
        {
            store.put("servers", "i-1", odd.entry("app"));
            callUntilServedBy(odd);
            store.putText("servers", "i-1", spec);
        }
    }
    replaceSoundReplica();
    odd.requests.clear();
    for (int i = 0; i < 10; ++i) {
        CHECK(callAndWait("/app/x")->status == 200);
    }
    CHECK(odd.requests.empty());
    CHECK(daemonMetrics->counterValue("marigoldspool_unreadable_objects_total",
                                      {{"kind", "endpoint"}})
          == 1);
    // The entry is used as soon as it is sound again.
    store.put("servers", "i-1", odd.entry("app"));
    removeSoundReplica();
    callUntilServedBy(odd);
}

// The kinds that the system creates are as open to other writers as that of the replicas.
TEST_CASE_FIXTURE(OddEntryFixture,
                  "odd instances and leases do not keep requests from being served")
{
    const std::string oddTexts[] = {
        nested(100'000),
        "{\"holder\":1e999}",
        "\"\xff\"",
        "null",
        R"({"zone":"z1","peer":5})",
        R"({"zone":"z1","peer":""})",
        R"({"zone":"z1","peer":"127.0.0.1:0"})",
        R"({"zone":"z1","peer":"127.0.0.1:99999"})",
        R"({"zone":"z1","peer":"host:80"})",
        R"({"holder":"x","term":-1,"renewal":1e300,"released":false,"ordered":[]})",
        R"({"holder":"x","term":1,"renewal":1,"released":false,"ordered":5})",
    };
    replaceSoundReplica();
    for (const std::string &text : oddTexts) {
        store.putText("instances", "front-" + std::to_string(store.calls + 10), text);
        store.putText("leases", "placement", text);
        replaceSoundReplica();
        store.dropHistory();
    }
    CHECK(runUntil(io, [this, &oddTexts] {
        return daemonMetrics->counterValue("marigoldspool_unreadable_objects_total",
                                           {{"kind", "instance"}})
            >= std::size(oddTexts);
    }));
    CHECK(callAndWait("/app/x")->status == 200);
    CHECK(daemonMetrics->counterValue("marigoldspool_unreadable_objects_total",
                                      {{"kind", "instance"}})
          == std::size(oddTexts));
}

// The event that was passed over left the entry's earlier version in use.
TEST_CASE_FIXTURE(OddEntryFixture, "an entry whose revision becomes unreadable is not used")
{
    StandinReplica &odd = startReplica("i-1", answerOk);
    store.put("servers", "i-1", odd.entry("app"));
    callUntilServedBy(odd);
    store.putText("servers", "i-1", odd.entry("app").dump(), R"({"name":"i-1"})");
    replaceSoundReplica();
    odd.requests.clear();
    for (int i = 0; i < 10; ++i) {
        CHECK(callAndWait("/app/x")->status == 200);
    }
    CHECK(odd.requests.empty());
}

// Objects are read in one batch, while requests wait.
TEST_CASE_FIXTURE(OddEntryFixture,
                  "thousands of odd entries do not keep the others from being used")
{
    constexpr int Count = 3'000;
    store.pageSize = 100;
    startReplica("i-1", answerOk);
    for (int i = 0; i < Count; ++i) {
        const OddEntry &odd = OddEntries[static_cast<std::size_t>(i) % std::size(OddEntries)];
        OddEntry small = odd;
        if (odd.text.size() > 1'000) {
            small.text = nested(1'000);
        }
        store.putText("servers", (i % 2 == 0 ? "a/" : "z ") + std::to_string(i),
                      oddSpec(small, *replicas.front()));
    }
    replaceSoundReplica();
    CHECK(callAndWait("/app/x")->status == 200);
    CHECK(daemonMetrics->counterValue("marigoldspool_unreadable_objects_total",
                                      {{"kind", "endpoint"}})
          == Count);
    CHECK(replicas.front()->requests.empty());
}
