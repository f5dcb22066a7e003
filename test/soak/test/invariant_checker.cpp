#include "soak/invariant_checker.h"

#include "soak/soak_bounds.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace lycheespool::soak;

namespace {

/*! @brief A checker with one job of two steps: the first has two tasks, the second one. */
struct InvariantCheckerFixture {
    InvariantCheckerFixture()
    {
        job.id = "job";
        job.payload = "payload";
        job.steps.resize(2);
        job.steps[0].tasks = 2;
        job.steps[1].after = { 0 };
        checker.onSubmit(job);
        checker.onExecutorUp("a", "zone-0");
        checker.onExecutorUp("b", "zone-0");
    }

    void accept() { checker.onSubmitResult("job", SubmitOutcome::accepted, TimePoint {}); }
    void start(const ObservedRun& run, Duration at = {}, bool isLate = false)
    {
        checker.onStart(run, "payload", {}, isLate, TimePoint { at });
    }
    [[nodiscard]] static ObservedRun run(const char* executor, std::uint64_t number, TaskPosition position = {})
    {
        return { executor, { "job", position }, number };
    }

    SoakJob job;
    InvariantChecker checker;
};

}

// Each case violates one invariant and, where there is one, shows a similar sequence that is allowed. A checker that
// misses a violation would let a faulty soak run pass.

TEST_CASE_FIXTURE(
    InvariantCheckerFixture, "two runs of a task at the same time are found, unless the first executor is down")
{
    accept();
    start(run("a", 1));
    SUBCASE("up")
    {
        start(run("b", 2));
        CHECK(checker.violations().size() == 1);
    }
    SUBCASE("down")
    {
        checker.onExecutorDown("a");
        start(run("b", 2));
        CHECK(checker.violations().empty());
    }
}

TEST_CASE_FIXTURE(InvariantCheckerFixture, "a start after a done end that is acknowledged, before or later, is found")
{
    accept();
    start(run("a", 1));
    checker.onEnd(run("a", 1), "done");
    SUBCASE("acknowledged before")
    {
        checker.onEndAcknowledged(run("a", 1), "done");
        start(run("b", 2));
        CHECK(checker.violations().size() == 1);
    }
    SUBCASE("acknowledged later")
    {
        start(run("b", 2));
        CHECK(checker.violations().empty());
        checker.onEndAcknowledged(run("a", 1), "done");
        CHECK(checker.violations().size() == 1);
    }
    SUBCASE("only the second end is acknowledged, the first one was lost with its executor")
    {
        start(run("b", 2));
        checker.onEnd(run("b", 2), "done");
        checker.onEndAcknowledged(run("b", 2), "done");
        CHECK(checker.violations().empty());
    }
}

TEST_CASE_FIXTURE(InvariantCheckerFixture, "a job that was rejected at each attempt must not start")
{
    checker.onSubmitResult("job", SubmitOutcome::rejected, TimePoint {});
    start(run("a", 1));
    CHECK(checker.violations().size() == 1);
}

TEST_CASE_FIXTURE(InvariantCheckerFixture, "a step that starts before the steps that it waits for is found")
{
    accept();
    start(run("a", 1, { 0, 1, 0 }));
    // Neither task of the first step is done.
    CHECK(checker.violations().size() == 2);
}

TEST_CASE_FIXTURE(
    InvariantCheckerFixture, "starts later than the bounds after a cancel, a drain and a zone evacuation are found")
{
    accept();
    checker.onCancelSent("job");
    checker.onCancelAcknowledged("job", TimePoint {});
    checker.onDrainAcknowledged("a", TimePoint {});
    checker.onZoneEvacuated("zone-0", TimePoint {});
    SUBCASE("within the bounds")
    {
        start(run("a", 1), drainBound);
        CHECK(checker.violations().empty());
    }
    SUBCASE("later")
    {
        start(run("a", 1), std::max(cancelBound, evacuationBound) + 1ms);
        CHECK(checker.violations().size() == 3);
    }
    SUBCASE("a command that the executor itself executed late")
    {
        start(run("a", 1), std::max(cancelBound, evacuationBound) + 1ms, true);
        CHECK(checker.violations().empty());
    }
}

TEST_CASE_FIXTURE(InvariantCheckerFixture, "wrong states and lost jobs are found")
{
    accept();
    SUBCASE("completed without ends")
    {
        checker.onStateReported("job", "completed");
        CHECK(checker.violations().size() == 3);
    }
    SUBCASE("failed without failures")
    {
        checker.onStateReported("job", "failed");
        CHECK(checker.violations().size() == 1);
    }
    SUBCASE("not known")
    {
        checker.onNotFound("job", TimePoint { visibleBound });
        CHECK(checker.violations().empty());
        checker.onNotFound("job", TimePoint { visibleBound + 1ms });
        CHECK(checker.violations().size() == 1);
    }
    SUBCASE("never ended") { CHECK(checker.unfinished().size() == 1); }
}

TEST_CASE_FIXTURE(InvariantCheckerFixture, "work that no client submitted and checkpoints of other tasks are found")
{
    accept();
    checker.onStart(run("a", 1), "other payload", {}, false, TimePoint {});
    checker.onStart({ "a", { "other job", {} }, 1 }, "payload", {}, false, TimePoint {});
    checker.onStart(run("a", 1), "payload", "checkpoint", false, TimePoint {});
    CHECK(checker.violations().size() == 3);
}
