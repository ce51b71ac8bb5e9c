#include "marigoldspool/Serving/AcceptedChanges.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const ModelName M0("m0");
const ModelName M1("m1");

class ChangesFixture
{
public:
    LoadedModels corrected(LoadedModels reported, bool isBusy)
    {
        changes.correctReport(reported, isBusy, clock.now());
        return reported;
    }

    ManualClock clock;
    AcceptedChanges changes;
};

} // namespace

// Guards against sending requests to a model that is being unloaded. An engine lists it until its
// requests have ended, and refused 600 of 2,526 requests in a day of the bench, most of them for
// this reason.
TEST_CASE_FIXTURE(ChangesFixture, "a model that is being unloaded does not come back by a report")
{
    changes.onUnloadAccepted({M0, {}}, clock.now());
    clock.advance(100ms);
    CHECK(corrected({{M0, {}}, {M1, {}}}, false) == LoadedModels{{M1, {}}});
    clock.advance(2s);
    CHECK(corrected({{M0, {}}, {M1, {}}}, true) == LoadedModels{{M1, {}}});
    CHECK(changes.isUnloading(clock.now()));
    CHECK(corrected({{M1, {}}}, false) == LoadedModels{{M1, {}}});
    CHECK_FALSE(changes.isUnloading(clock.now()));
    // Loaded again, for example by the next owner.
    CHECK(corrected({{M0, {}}, {M1, {}}}, false) == LoadedModels{{M0, {}}, {M1, {}}});
}

TEST_CASE_FIXTURE(ChangesFixture, "an engine that ignored an unload is believed after a while")
{
    changes.onUnloadAccepted({M0, {}}, clock.now());
    clock.advance(400ms);
    CHECK(corrected({{M0, {}}}, false) == LoadedModels{{M0, {}}});
    CHECK_FALSE(changes.isUnloading(clock.now()));
}

TEST_CASE_FIXTURE(ChangesFixture, "a due load counts until a report confirms or disproves it")
{
    LoadedModels models{{M1, {}}};
    changes.onLoadAccepted({M0, {}}, clock.now() + 1s);
    CHECK(changes.applyDueLoads(models, clock.now()).empty());
    CHECK(corrected({{M1, {}}}, true) == LoadedModels{{M1, {}}});
    clock.advance(1s);
    CHECK(changes.applyDueLoads(models, clock.now()).size() == 1);
    CHECK(models.count(M0) == 1);
    CHECK(changes.applyDueLoads(models, clock.now()).empty());
    // The state of this report is older than the end of the load.
    CHECK(changes.mayPredateLoad(clock.now()));
    CHECK(corrected({{M1, {}}}, true).count(M0) == 1);
    clock.advance(700ms);
    CHECK_FALSE(changes.mayPredateLoad(clock.now()));
    CHECK(corrected({{M1, {}}}, false).count(M0) == 0);
}

// Guards against adding a model back to a report because it had been loaded shortly before.
TEST_CASE_FIXTURE(ChangesFixture, "an unload cancels the expected loads of its model")
{
    LoadedModels models;
    changes.onLoadAccepted({M0, {}}, clock.now());
    changes.onLoadAccepted({M0, "a1"}, clock.now());
    changes.onLoadAccepted({M1, {}}, clock.now());
    changes.applyDueLoads(models, clock.now());
    changes.onUnloadAccepted({M0, {}}, clock.now());
    CHECK(corrected({}, false) == LoadedModels{{M1, {}}});
}

TEST_CASE_FIXTURE(ChangesFixture, "an adapter is added only where its model is loaded")
{
    LoadedModels models;
    changes.onLoadAccepted({M0, "a1"}, clock.now());
    changes.applyDueLoads(models, clock.now());
    CHECK(models.empty());
    CHECK(corrected({{M0, {}}}, false) == LoadedModels{{M0, {"a1"}}});
}
