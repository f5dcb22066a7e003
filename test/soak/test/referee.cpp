#include "soak/referee.h"

#include "soak/soak_bounds.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace lycheespool::soak;

namespace {

/*! @brief A referee that knows one accepted job of two steps with two tasks and one. */
struct RefereeFixture {
    RefereeFixture()
    {
        job.id = "job";
        job.payload = "payload";
        job.steps.resize(2);
        job.steps[0].tasks = 2;
        job.steps[1].after = { 0 };
        referee.onAttempt(job);
        referee.onExecutorUp("a", "zone-0");
        referee.onExecutorUp("b", "zone-0");
    }

    void accept() { referee.onAttemptEnd("job", AttemptOutcome::accepted, TimePoint {}); }
    void start(const RunSeen& run, Duration at = {}, bool isLate = false)
    {
        referee.onStart(run, "payload", {}, isLate, TimePoint { at });
    }
    [[nodiscard]] static RunSeen run(const char* executor, std::uint64_t number, TaskPosition position = {})
    {
        return { executor, { "job", position }, number };
    }

    SoakJob job;
    Referee referee;
};

}

// Each case plays a broken promise, and its allowed neighbour where there is one: a referee that misses it would let a
// soak pass.

TEST_CASE_FIXTURE(RefereeFixture, "two runs of a task at the same time are found, unless the first executor is down")
{
    accept();
    start(run("a", 1));
    SUBCASE("up")
    {
        start(run("b", 2));
        CHECK(referee.violations().size() == 1);
    }
    SUBCASE("down")
    {
        referee.onExecutorDown("a");
        start(run("b", 2));
        CHECK(referee.violations().empty());
    }
}

TEST_CASE_FIXTURE(RefereeFixture, "a start after a done end that is noted, before or later, is found")
{
    accept();
    start(run("a", 1));
    referee.onEnd(run("a", 1), "done");
    SUBCASE("noted before")
    {
        referee.onEndNoted(run("a", 1), "done");
        start(run("b", 2));
        CHECK(referee.violations().size() == 1);
    }
    SUBCASE("noted later")
    {
        start(run("b", 2));
        CHECK(referee.violations().empty());
        referee.onEndNoted(run("a", 1), "done");
        CHECK(referee.violations().size() == 1);
    }
    SUBCASE("only the second end is noted, the first one was lost with its executor")
    {
        start(run("b", 2));
        referee.onEnd(run("b", 2), "done");
        referee.onEndNoted(run("b", 2), "done");
        CHECK(referee.violations().empty());
    }
}

TEST_CASE_FIXTURE(RefereeFixture, "a job that was rejected at each attempt must not start")
{
    referee.onAttemptEnd("job", AttemptOutcome::rejected, TimePoint {});
    start(run("a", 1));
    CHECK(referee.violations().size() == 1);
}

TEST_CASE_FIXTURE(RefereeFixture, "a step that starts before the steps that it waits for is found")
{
    accept();
    start(run("a", 1, { 0, 1, 0 }));
    // Both tasks of the first step are missing.
    CHECK(referee.violations().size() == 2);
}

TEST_CASE_FIXTURE(RefereeFixture, "starts later than the bounds after a cancel, a drain and a zone out are found")
{
    accept();
    referee.onCancelSent("job");
    referee.onCancelAcknowledged("job", TimePoint {});
    referee.onDrainAcknowledged("a", TimePoint {});
    referee.onZoneOut("zone-0", TimePoint {});
    SUBCASE("within the bounds")
    {
        start(run("a", 1), drainBound);
        CHECK(referee.violations().empty());
    }
    SUBCASE("later")
    {
        start(run("a", 1), std::max(cancelBound, evacuationBound) + 1ms);
        CHECK(referee.violations().size() == 3);
    }
    SUBCASE("an order that the executor itself carried out late")
    {
        start(run("a", 1), std::max(cancelBound, evacuationBound) + 1ms, true);
        CHECK(referee.violations().empty());
    }
}

TEST_CASE_FIXTURE(RefereeFixture, "wrong states and forgotten jobs are found")
{
    accept();
    SUBCASE("completed without ends")
    {
        referee.onShown("job", "completed");
        CHECK(referee.violations().size() == 3);
    }
    SUBCASE("failed without failures")
    {
        referee.onShown("job", "failed");
        CHECK(referee.violations().size() == 1);
    }
    SUBCASE("not known")
    {
        referee.onNotFound("job", TimePoint { visibleBound });
        CHECK(referee.violations().empty());
        referee.onNotFound("job", TimePoint { visibleBound + 1ms });
        CHECK(referee.violations().size() == 1);
    }
    SUBCASE("never ended") { CHECK(referee.unfinished().size() == 1); }
}

TEST_CASE_FIXTURE(RefereeFixture, "work that nobody sent and foreign checkpoints are found")
{
    accept();
    referee.onStart(run("a", 1), "other payload", {}, false, TimePoint {});
    referee.onStart({ "a", { "other job", {} }, 1 }, "payload", {}, false, TimePoint {});
    referee.onStart(run("a", 1), "payload", "checkpoint", false, TimePoint {});
    CHECK(referee.violations().size() == 3);
}
