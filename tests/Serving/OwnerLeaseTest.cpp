#include "marigoldspool/Serving/OwnerLease.h"

#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Support/RandomSource.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const OrderSubject Engine("engine");

// Two instances that read and write one lease object in a store.
class LeaseFixture
{
public:
    LeaseFixture()
        : a(InstanceId("a"), clock, times)
        , b(InstanceId("b"), clock, times)
    { }

    void step(OwnerLease &lease)
    {
        switch (lease.nextStep()) {
        case LeaseStep::Nothing:
            return;
        case LeaseStep::Read:
            lease.onRead(stored);
            return;
        case LeaseStep::Write: {
            LeaseRecord record = lease.nextRecord();
            if (record.version != stored.version) {
                lease.onConflict();
                return;
            }
            record.version = ++version;
            stored = record;
            if (std::exchange(losesAnswer, false)) {
                lease.onFailure();
            } else {
                lease.onWritten(record);
            }
            return;
        }
        }
    }

    void run(Duration time, bool withA, bool withB)
    {
        for (Duration passed{}; passed < time; passed += 50ms) {
            if (withA) {
                step(a);
            }
            if (withB) {
                step(b);
            }
            CHECK_FALSE((a.canOrder() && b.canOrder()));
            if (a.canOrder(Engine)) {
                lastOrderOfA = clock.now();
            }
            if (b.canOrder(Engine) && !firstOrderOfB) {
                firstOrderOfB = clock.now();
            }
            clock.advance(50ms);
        }
    }

    ManualClock clock;
    LeaseTimes times;
    LeaseRecord stored;
    std::uint64_t version = 0;
    /// The next write takes effect, and its answer is lost.
    bool losesAnswer = false;
    OwnerLease a;
    OwnerLease b;
    SteadyTime lastOrderOfA;
    std::optional<SteadyTime> firstOrderOfB;
};

} // namespace

TEST_CASE_FIXTURE(LeaseFixture,
                  "the first instance that writes holds the lease and may send orders")
{
    run(2s, true, true);
    CHECK(a.canOrder());
    CHECK_FALSE(b.canOrder());
    CHECK(b.holder() == InstanceId("a"));
    CHECK(a.term() == 1);
}

TEST_CASE_FIXTURE(LeaseFixture, "a holder that fails is replaced after the handover gap")
{
    run(2s, true, true);
    run(12s, false, true);
    CHECK_FALSE(a.canOrder());
    CHECK(b.canOrder());
    CHECK(b.term() == 2);
    REQUIRE(firstOrderOfB);
    // The previous holder may have sent orders until its last renewal expired.
    CHECK(*firstOrderOfB - lastOrderOfA >= times.handoverGap);
}

TEST_CASE_FIXTURE(LeaseFixture,
                  "a holder that was suspended past its lease sends no orders when it resumes")
{
    run(2s, true, false);
    CHECK(a.canOrder());
    clock.advance(times.validity);
    CHECK_FALSE(a.canOrder());
}

TEST_CASE_FIXTURE(LeaseFixture, "a lost response to a renewal does not end the lease")
{
    run(2s, true, true);
    // The write takes effect, but its response is lost.
    while (a.nextStep() != LeaseStep::Write) {
        clock.advance(50ms);
    }
    LeaseRecord record = a.nextRecord();
    record.version = ++version;
    stored = record;
    a.onFailure();
    run(2s, true, true);
    CHECK(a.canOrder());
    CHECK_FALSE(b.canOrder());
}

TEST_CASE_FIXTURE(LeaseFixture, "after a release only engines with recent orders must wait")
{
    run(2s, true, true);
    a.onOrder(Engine);
    a.release();
    run(1500ms, true, true);
    CHECK(a.isReleased());
    CHECK(b.canOrder());
    CHECK(b.canOrder(OrderSubject("untouched")));
    CHECK_FALSE(b.canOrder(Engine));
    run(4s, true, true);
    CHECK(b.canOrder(Engine));
}

TEST_CASE_FIXTURE(LeaseFixture,
                  "a restarted holder continues without waiting for its own lease to expire")
{
    run(2s, true, true);
    OwnerLease restarted(InstanceId("a"), clock, times);
    for (int i = 0; i < 20; ++i) {
        step(restarted);
        clock.advance(50ms);
    }
    CHECK(restarted.canOrder());
    CHECK(restarted.term() == 2);
}

// A receiver that keeps no count of the orders would see the token of the earlier process after
// that of the later one.
TEST_CASE_FIXTURE(LeaseFixture, "orders of an earlier process of the holder may still arrive")
{
    run(2s, true, true);
    a.onOrder(Engine);
    bool isReleased = false;
    SUBCASE("after a crash") { }
    SUBCASE("after a planned stop")
    {
        isReleased = true;
        a.release();
        run(200ms, true, false);
    }
    OwnerLease restarted(InstanceId("a"), clock, times);
    const SteadyTime start = clock.now();
    while (!restarted.canOrder()) {
        step(restarted);
        clock.advance(50ms);
    }
    CHECK(restarted.mayOrderArrive(Engine));
    CHECK(restarted.mayOrderArrive(OrderSubject("untouched")) == !isReleased);
    while (restarted.mayOrderArrive(Engine)) {
        step(restarted);
        clock.advance(50ms);
    }
    CHECK(restarted.canOrder(Engine));
    CHECK(clock.now() - start >= times.handoverGap);
    CHECK(clock.now() - start <= times.handoverGap + times.safetyMargin + 200ms);
}

TEST_CASE_FIXTURE(LeaseFixture, "an instance with an acquire delay leaves the lease to one without")
{
    LeaseTimes delayedTimes = times;
    delayedTimes.acquireDelay = 1500ms;
    OwnerLease delayed(InstanceId("weak"), clock, delayedTimes);
    for (int i = 0; i < 40; ++i) {
        step(delayed);
        step(b);
        clock.advance(50ms);
    }
    CHECK(b.canOrder());
    CHECK_FALSE(delayed.canOrder());
}

// A planned stop during a renewal left the lease held for another 900 ms, in which nobody ordered.
TEST_CASE_FIXTURE(LeaseFixture, "a release during a renewal is written right after it")
{
    run(2s, true, false);
    while (a.nextStep() != LeaseStep::Write) {
        clock.advance(50ms);
    }
    a.release();
    LeaseRecord renewal = a.nextRecord();
    renewal.released = false;
    renewal.version = ++version;
    a.onWritten(renewal);
    CHECK(a.nextStep() == LeaseStep::Write);
    CHECK(a.nextRecord().released);
}

// Guards against load on the store: sixty instances that read the lease once a second made three
// quarters of all calls to the store.
TEST_CASE_FIXTURE(LeaseFixture,
                  "an instance that receives the holder's announcements does not read the lease")
{
    run(1s, true, true);
    int reads = 0;
    for (int i = 0; i < 10; ++i) {
        run(1s, true, false);
        b.onAnnounced(stored);
        const LeaseStep next = b.nextStep();
        reads += next == LeaseStep::Read ? 1 : 0;
        if (next == LeaseStep::Read) {
            b.onRead(stored);
        }
    }
    CHECK(reads <= 1);
}

TEST_CASE_FIXTURE(LeaseFixture,
                  "a holder that stops announcing its lease is replaced after the handover gap")
{
    for (int i = 0; i < 4; ++i) {
        run(1s, true, false);
        b.onAnnounced(stored);
    }
    run(12s, false, true);
    REQUIRE(firstOrderOfB);
    CHECK(*firstOrderOfB - lastOrderOfA >= times.handoverGap);
    CHECK(*firstOrderOfB - lastOrderOfA
          <= times.validity + times.handoverGap + times.safetyMargin + 1s);
}

TEST_CASE_FIXTURE(LeaseFixture,
                  "an announced release lets an instance acquire the lease without a read")
{
    run(1s, true, true);
    a.release();
    run(100ms, true, false);
    b.onAnnounced(stored);
    CHECK(b.nextStep() == LeaseStep::Write);
}

TEST_CASE_FIXTURE(LeaseFixture, "an outdated announcement of the lease changes nothing")
{
    run(1s, true, true);
    const LeaseRecord old = stored;
    run(2s, true, true);
    LeaseRecord other = old;
    other.holder = InstanceId("c");
    b.onAnnounced(other);
    CHECK(b.holder() == InstanceId("a"));
}

// The successor read its own name back and ordered at once, within three seconds of the last order
// of the holder before.
TEST_CASE_FIXTURE(LeaseFixture,
                  "orders wait for the last ones of the holder before if the answer is lost")
{
    run(2s, true, true);
    REQUIRE(a.canOrder());
    // A no longer reaches the store, but may send orders until its lease has ended.
    run(times.validity + times.safetyMargin, false, true);
    losesAnswer = true;
    run(10s, false, true);
    REQUIRE(firstOrderOfB);
    CHECK(*firstOrderOfB - lastOrderOfA >= times.handoverGap);
}

namespace {

LeaseRecord recordOf(const char *holder, bool released, std::uint64_t version)
{
    LeaseRecord record;
    record.holder = InstanceId(holder);
    record.term = 7;
    record.released = released;
    record.era = 1;
    record.version = version;
    return record;
}

} // namespace

// The restarted instance took the lease that the copy showed and sent orders beside the holder.
TEST_CASE("an instance that starts on a copy of the store waits for a holder that it cannot know")
{
    const std::uint64_t era = storePosition(2, 0);
    LeaseRecord copy;
    SUBCASE("the copy names the instance")
    {
        copy = recordOf("a", false, era + 5);
    }
    SUBCASE("the copy names another instance")
    {
        copy = recordOf("b", false, era + 5);
    }
    SUBCASE("the copy shows a release")
    {
        copy = recordOf("a", true, era + 5);
    }
    SUBCASE("the copy has no lease") { }
    ManualClock clock;
    const LeaseTimes times;
    OwnerLease lease(InstanceId("a"), clock, times);
    lease.onEra(era);
    const SteadyTime start = clock.now();
    SteadyTime takenAt;
    while (!lease.canOrder() && clock.now() < start + 20s) {
        const LeaseStep next = lease.nextStep();
        if (next == LeaseStep::Read) {
            lease.onRead(copy);
        } else if (next == LeaseStep::Write) {
            takenAt = takenAt == SteadyTime() ? clock.now() : takenAt;
            copy = lease.nextRecord();
            copy.version = std::max(copy.version, era) + 1;
            lease.onWritten(copy);
        }
        clock.advance(50ms);
    }
    CHECK(takenAt >= start + times.validity);
    CHECK(clock.now() >= start + times.validity + times.handoverGap);
    CHECK(clock.now() <= start + times.validity + times.handoverGap + times.safetyMargin + 200ms);
    CHECK(lease.term() > 2'000'000);
}

// Guards the recovery of placement after all instances were killed.
TEST_CASE("a restarted holder takes its lease of the store's present era at once")
{
    ManualClock clock;
    OwnerLease lease(InstanceId("a"), clock, LeaseTimes());
    lease.onEra(storePosition(1, 0));
    REQUIRE(lease.nextStep() == LeaseStep::Read);
    lease.onRead(recordOf("a", false, storePosition(1, 5)));
    REQUIRE(lease.nextStep() == LeaseStep::Write);
    LeaseRecord record = lease.nextRecord();
    record.version = storePosition(1, 6);
    lease.onWritten(record);
    CHECK(lease.canOrder());
}

// An answer that was under way when the store was restored may show the state before.
TEST_CASE("a lease is not concluded from calls that were sent in an earlier era of the store")
{
    ManualClock clock;
    OwnerLease lease(InstanceId("a"), clock, LeaseTimes());
    lease.onEra(storePosition(1, 0));
    REQUIRE(lease.nextStep() == LeaseStep::Read);
    SUBCASE("a read")
    {
        lease.onEra(storePosition(2, 0));
        lease.onRead(LeaseRecord());
    }
    SUBCASE("a write that meets the same revision in the copy")
    {
        lease.onRead(recordOf("a", false, storePosition(1, 5)));
        REQUIRE(lease.nextStep() == LeaseStep::Write);
        LeaseRecord record = lease.nextRecord();
        record.version = storePosition(2, 6);
        lease.onWritten(record);
    }
    CHECK_FALSE(lease.canOrder());
    CHECK(lease.nextStep() == LeaseStep::Read);
}

// A holder that had itself to wait for its predecessor's orders did not tell its successor.
TEST_CASE_FIXTURE(LeaseFixture, "after two releases in a row the first holder's orders have to end")
{
    run(2s, true, true);
    a.onOrder(Engine);
    const SteadyTime ordered = clock.now();
    a.release();
    run(100ms, true, false);
    b.onAnnounced(stored);
    run(100ms, false, true);
    REQUIRE(b.isHolder());
    b.release();
    run(100ms, false, true);
    OwnerLease c(InstanceId("c"), clock, times);
    while (!c.canOrder(Engine) && clock.now() < ordered + 20s) {
        step(c);
        clock.advance(50ms);
    }
    CHECK(clock.now() - ordered >= times.handoverGap);
    CHECK(clock.now() - ordered <= times.handoverGap + times.safetyMargin + 700ms);
}

namespace {

/// Instances that compete for the lease in a store that is restored from older copies. They are cut
/// off, lose answers, are stopped as planned or killed, and start again.
class RestoredLeases
{
public:
    explicit RestoredLeases(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i) {
            m_leases.emplace_back();
            start(i);
        }
        m_isCut.resize(m_leases.size());
        m_copies.push_back({});
    }

    void run(Duration time)
    {
        for (const SteadyTime end = clock.now() + time; clock.now() < end; clock.advance(50ms)) {
            disturb();
            for (std::size_t i = 0; i < m_leases.size(); ++i) {
                if (!m_isCut[i]) {
                    step(*m_leases[i]);
                }
                order(i);
                if (m_leases[i]->isReleased()) {
                    start(i);
                }
            }
        }
    }

    ManualClock clock;
    int holderChanges = 0;
    int overlaps = 0;
    int termsGoneBack = 0;

private:
    void start(std::size_t i)
    {
        m_leases[i] =
            std::make_unique<OwnerLease>(InstanceId("i" + std::to_string(i)), clock, LeaseTimes());
    }

    // The store may be away for a moment and come back with a copy.
    void disturb()
    {
        m_copies.push_back(m_stored);
        const bool isRestored = m_random.below(200) == 0;
        if (isRestored) {
            m_stored = m_copies[m_copies.size() - 1
                                - m_random.below(std::min<std::size_t>(m_copies.size(), 200))];
            ++m_era;
            m_revision = revisionOf(m_stored.version) + m_random.below(5);
            if (m_stored.version != 0) {
                m_stored.version = storePosition(m_era, revisionOf(m_stored.version));
            }
            m_copies.assign(1, m_stored);
        }
        if (m_random.below(100) == 0) {
            const std::size_t i = m_random.below(m_isCut.size());
            m_isCut[i] = !m_isCut[i];
        }
        if (m_random.below(isRestored ? 2 : 200) == 0) {
            start(m_random.below(m_leases.size()));
        }
        if (m_random.below(200) == 0) {
            m_leases[m_random.below(m_leases.size())]->release();
        }
    }

    void step(OwnerLease &lease)
    {
        // The answer to another call may have shown the era before.
        if (m_random.below(2) == 0) {
            lease.onEra(storePosition(m_era, 0));
        }
        switch (lease.nextStep()) {
        case LeaseStep::Nothing:
            return;
        case LeaseStep::Read:
            lease.onEra(storePosition(m_era, 0));
            lease.onRead(m_stored);
            return;
        case LeaseStep::Write:
            write(lease);
            return;
        }
    }

    void write(OwnerLease &lease)
    {
        LeaseRecord record = lease.nextRecord();
        // The store compares revisions only, and has given some of them out again.
        if (revisionOf(record.version) != revisionOf(m_stored.version)) {
            lease.onConflict();
            return;
        }
        record.version = storePosition(m_era, ++m_revision);
        m_stored = record;
        if (m_random.below(10) == 0) {
            lease.onFailure();
        } else {
            lease.onWritten(record);
        }
    }

    void order(std::size_t i)
    {
        OwnerLease &lease = *m_leases[i];
        for (const char *name : {"e1", "e2"}) {
            const OrderSubject endpoint(name);
            if (!lease.canOrder(endpoint) || m_random.below(4) != 0) {
                continue;
            }
            lease.onOrder(endpoint);
            Orders &last = m_orders[endpoint];
            const bool isChange = last.holder && *last.holder != i;
            holderChanges += isChange ? 1 : 0;
            // The users' bound: holders must not take turns within this time.
            overlaps += isChange && clock.now() - last.at < 3s ? 1 : 0;
            termsGoneBack += lease.term() < last.term || (isChange && lease.term() == last.term);
            last = {i, lease.term(), clock.now()};
        }
    }

    struct Orders {
        std::optional<std::size_t> holder;
        std::uint64_t term = 0;
        SteadyTime at;
    };

    SeededRandomSource m_random;
    std::vector<std::unique_ptr<OwnerLease>> m_leases;
    std::vector<bool> m_isCut;
    LeaseRecord m_stored;
    std::vector<LeaseRecord> m_copies;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 1;
    /// By endpoint.
    std::map<OrderSubject, Orders> m_orders;
};

} // namespace

// A copy of the store names an earlier holder or none, while the last one still sends orders. An
// instance that had just started took the lease of the copy at once if it bore its own name or was
// released.
TEST_CASE("there are never two holders of orders when the store comes back from older copies")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        RestoredLeases leases(seed);
        leases.run(10min);
        CHECK(leases.overlaps == 0);
        CHECK(leases.termsGoneBack == 0);
        CHECK(leases.holderChanges > 3);
    }
}
