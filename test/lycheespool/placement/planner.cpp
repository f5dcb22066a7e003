#include "lycheespool/placement/planner.h"

#include "lycheespool/core/error.h"
#include "lycheespool/placement/guarantee_validation.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

using namespace std::chrono_literals;

std::vector<WorkerSpec> makeWorkers(int zones, int racks, int workers)
{
    std::vector<WorkerSpec> all;
    for (int it = 0; it < zones * racks * workers; ++it) {
        const auto rack = it / workers;
        all.push_back({ WorkerId { "w" + std::to_string(it) }, ZoneId { "z" + std::to_string(rack / racks) },
            RackId { "r" + std::to_string(rack) }, { 60, 128000, 8 } });
    }
    return all;
}

Planner makePlanner(int zones, int racks, int workers)
{
    Planner planner;
    for (const auto& it : makeWorkers(zones, racks, workers))
        planner.workerJoined(it, {});
    return planner;
}

JobSpec makeJob(const std::string& id, const std::string& workspace, std::uint32_t tasks, std::uint32_t accelerators)
{
    JobSpec spec;
    spec.id = JobId { id };
    spec.workspace = WorkspaceId { workspace };
    spec.tasks = tasks;
    spec.perTask = { 4, 1000, accelerators };
    spec.declaredRunTime = 1h;
    return spec;
}

template <typename Kind>
std::vector<JobId> jobsOf(const Decisions& decisions)
{
    std::vector<JobId> ids;
    for (const auto& it : decisions) {
        if (const auto* found = std::get_if<Kind>(&it))
            ids.push_back(found->job);
    }
    return ids;
}

Guarantees guarantee(const std::string& workspace, const GuaranteedCell& cell)
{
    return { { WorkspaceId { workspace }, { cell } } };
}

}

// Guards against spreading small jobs over racks until no rack can hold a large gang.
TEST_CASE("small jobs are packed so that whole racks stay empty")
{
    auto planner = makePlanner(2, 2, 2);
    for (int it = 0; it < 8; ++it) {
        planner.submit(makeJob("small" + std::to_string(it), "s", 1, 1), {});
        CHECK(planner.plan({}).size() == 1);
    }
    auto large = makeJob("large", "s", 6, 8);
    large.tasks = 2;
    large.adjacency = Adjacency::rack;
    for (int it = 0; it < 3; ++it) {
        large.id = JobId { "large" + std::to_string(it) };
        planner.submit(large, {});
        CHECK(planner.plan({}).size() == 1);
    }
}

// Guards against a reclaim that evicts the work with the most unsaved progress.
TEST_CASE("reclaiming evicts the borrowed work with the least unsaved work")
{
    auto planner = makePlanner(1, 1, 2);
    planner.setGuarantees(guarantee("owner", { Adjacency::worker, 1, { 4, 1000, 8 }, 1 }), {});
    planner.submit(makeJob("a", "guest", 1, 8), {});
    planner.submit(makeJob("b", "guest", 1, 8), {});
    CHECK(planner.plan({}).size() == 2);
    const TimePoint later { 2h };
    planner.checkpointed(JobId { "b" }, later - 1min);
    planner.submit(makeJob("c", "owner", 1, 8), later);
    const auto evicted = jobsOf<EvictGang>(planner.plan(later));
    REQUIRE(evicted.size() == 1);
    CHECK(evicted.front() == JobId { "b" });
    CHECK(planner.plan(later).empty());
    planner.released(JobId { "b" }, later);
    CHECK(jobsOf<StartGang>(planner.plan(later)) == std::vector { JobId { "c" } });
}

// Guards against a guarantee that is not reported after workers are lost, or not restored after they return.
TEST_CASE("a guarantee that lost workers make impossible is reported and restored")
{
    auto planner = makePlanner(1, 1, 2);
    const auto guarantees = guarantee("s", { Adjacency::rack, 1, { 4, 1000, 8 }, 2 });
    planner.setGuarantees(guarantees, {});
    CHECK(planner.shortfalls().empty());
    planner.workerLost(WorkerId { "w1" }, {});
    REQUIRE(planner.shortfalls().size() == 1);
    CHECK(planner.shortfalls().front() == Shortfall { WorkspaceId { "s" }, guarantees.begin()->second.front() });
    planner.workerJoined(makeWorkers(1, 1, 2)[1], {});
    CHECK(planner.shortfalls().empty());
}

// Guards against accepting guarantees that exceed the capacity, and cells and jobs with an invalid number of tasks.
TEST_CASE("validation names the guarantees that do not fit")
{
    const auto workers = makeWorkers(2, 1, 2);
    CHECK(findShortfalls(guarantee("s", { Adjacency::zone, 2, { 4, 1000, 8 }, 2 }), workers).empty());
    const auto beyond = findShortfalls(guarantee("s", { Adjacency::zone, 3, { 4, 1000, 8 }, 2 }), workers);
    REQUIRE(beyond.size() == 1);
    CHECK(beyond.front().cell.count == 1);
    CHECK_THROWS_AS(static_cast<void>(findShortfalls(guarantee("s", { Adjacency::zone, 1, {}, 0 }), workers)), Error);
    Planner planner;
    CHECK_THROWS_AS(planner.submit(makeJob("j", "s", 65, 1), {}), Error);
}

// Guards against backfill that delays the reserved start, also when the backfilled job runs longer than declared.
TEST_CASE("short jobs fill a reserved place only until the reserved start")
{
    auto planner = makePlanner(1, 1, 2);
    TimePoint now {};
    planner.submit(makeJob("running", "s", 1, 8), now);
    CHECK(planner.plan(now).size() == 1);
    planner.submit(makeJob("large", "s", 2, 8), now);
    CHECK(planner.plan(now).empty());
    auto longer = makeJob("long", "s", 1, 4);
    longer.declaredRunTime = 2h;
    planner.submit(longer, now);
    auto brief = makeJob("short", "s", 1, 4);
    brief.declaredRunTime = 5min;
    planner.submit(brief, now);
    CHECK(jobsOf<StartGang>(planner.plan(now)) == std::vector { JobId { "short" } });
    now += 1h;
    planner.finished(JobId { "running" }, now);
    CHECK(jobsOf<EvictGang>(planner.plan(now)) == std::vector { JobId { "short" } });
    planner.released(JobId { "short" }, now);
    CHECK(jobsOf<StartGang>(planner.plan(now)) == std::vector { JobId { "large" } });
}

// Guards against idle workers that are kept for a large job whose reserved start has passed, for as long as a run that
// exceeds its estimate lasts.
TEST_CASE("short jobs fill a reserved place again after the reserved start has passed")
{
    auto planner = makePlanner(1, 1, 2);
    planner.setGuarantees(guarantee("owner", { Adjacency::worker, 1, { 4, 1000, 8 }, 1 }), {});
    TimePoint now {};
    planner.submit(makeJob("running", "owner", 1, 8), now);
    CHECK(planner.plan(now).size() == 1);
    planner.submit(makeJob("large", "s", 2, 8), now);
    CHECK(planner.plan(now).empty());
    now += 2h;
    auto brief = makeJob("short", "s", 1, 4);
    brief.declaredRunTime = 5min;
    planner.submit(brief, now);
    CHECK(jobsOf<StartGang>(planner.plan(now)) == std::vector { JobId { "short" } });
    now += 3h;
    planner.finished(JobId { "running" }, now);
    CHECK(jobsOf<EvictGang>(planner.plan(now)) == std::vector { JobId { "short" } });
    planner.released(JobId { "short" }, now);
    CHECK(jobsOf<StartGang>(planner.plan(now)) == std::vector { JobId { "large" } });
}

// Guards against estimates that repeat a declared run time although finished runs contradict it.
TEST_CASE("run times are corrected by the finished runs of a workspace and kind")
{
    RunTimeEstimates estimates;
    for (int it = 0; it < 20; ++it)
        estimates.record(0, 0, 1h, 10h);
    CHECK(estimates.estimate(0, 0, 1h) > 9h);
    CHECK(estimates.estimate(0, 1, 1h) == 1h);
}

// Guards against urgent work that waits behind borrowed work, and against preempting guaranteed work.
TEST_CASE("urgent work preempts borrowed work but no guaranteed work")
{
    auto planner = makePlanner(1, 1, 2);
    planner.setGuarantees(guarantee("owner", { Adjacency::worker, 1, { 4, 1000, 8 }, 1 }), {});
    planner.submit(makeJob("guaranteed", "owner", 1, 8), {});
    planner.submit(makeJob("borrowed", "guest", 1, 8), {});
    CHECK(planner.plan({}).size() == 2);
    for (const auto* id : { "urgent1", "urgent2" }) {
        auto urgent = makeJob(id, "other", 1, 8);
        urgent.urgency = Urgency::urgent;
        planner.submit(urgent, {});
    }
    CHECK(jobsOf<EvictGang>(planner.plan({})) == std::vector { JobId { "borrowed" } });
}

// Guards against a drain that evicts more than four gangs at a time or evicts the gangs with the most unsaved work
// last, and against a burst of starts when the zone returns.
TEST_CASE("a zone drain evicts four gangs at a time and a return starts four a second")
{
    auto planner = makePlanner(1, 1, 6);
    TimePoint now {};
    for (int it = 0; it < 6; ++it)
        planner.submit(makeJob("j" + std::to_string(it), "s", 1, 8), now);
    CHECK(planner.plan(now).size() == 6);
    now += 1h;
    planner.checkpointed(JobId { "j0" }, now);
    planner.checkpointed(JobId { "j1" }, now - 1min);
    planner.setZoneOutOfService(ZoneId { "z0" }, true, now);
    const auto first = jobsOf<EvictGang>(planner.plan(now));
    CHECK(std::set(first.begin(), first.end())
        == std::set { JobId { "j2" }, JobId { "j3" }, JobId { "j4" }, JobId { "j5" } });
    CHECK(planner.plan(now).empty());
    planner.released(JobId { "j2" }, now);
    CHECK(jobsOf<EvictGang>(planner.plan(now)) == std::vector { JobId { "j1" } });
    for (int it = 0; it < 6; ++it)
        planner.released(JobId { "j" + std::to_string(it) }, now);
    CHECK(planner.plan(now).empty());
    planner.setZoneOutOfService(ZoneId { "z0" }, false, now);
    CHECK(planner.plan(now).size() == 4);
    CHECK(planner.plan(now + 999ms).empty());
    CHECK(planner.plan(now + 1s).size() == 2);
}

// Guards against a faulty worker that keeps failing jobs, and against one that never receives work again.
TEST_CASE("three failures of different jobs quarantine a worker until one task succeeds")
{
    auto planner = makePlanner(1, 1, 1);
    TimePoint now {};
    for (const auto* id : { "a", "b", "c" }) {
        planner.submit(makeJob(id, "s", 1, 8), now);
        CHECK(planner.plan(now).size() == 1);
        planner.taskFailed(JobId { id }, WorkerId { "w0" }, now);
        planner.cancel(JobId { id }, now);
    }
    planner.submit(makeJob("d", "s", 1, 1), now);
    planner.submit(makeJob("e", "s", 1, 1), now);
    CHECK(planner.plan(now).empty());
    now += 10min;
    CHECK(planner.plan(now).size() == 1);
    planner.finished(JobId { "d" }, now);
    CHECK(planner.plan(now).size() == 1);
}

// Guards against restarting indefinitely a job that fails on every worker.
TEST_CASE("a job that failed on three workers that run others well fails for good")
{
    auto planner = makePlanner(1, 1, 3);
    planner.submit(makeJob("bad", "s", 1, 8), {});
    for (int it = 0; it < 3; ++it) {
        const auto decisions = planner.plan({});
        REQUIRE(decisions.size() == 1);
        const auto worker = std::get<StartGang>(decisions.front()).workers.front();
        planner.taskFailed(JobId { "bad" }, worker, {});
        planner.workerLost(worker, {});
        planner.released(JobId { "bad" }, {});
    }
    const auto decisions = planner.plan({});
    REQUIRE(decisions.size() == 1);
    CHECK(std::get<FailJob>(decisions.front()).reason == "failed on 3 different workers that run other jobs well");
}

// Guards against impossible jobs that wait indefinitely, and against failing a job whose worker is only restarting.
TEST_CASE("a job that fits nowhere fails, but not while a lost worker may return")
{
    auto planner = makePlanner(1, 1, 2);
    TimePoint now {};
    CHECK(planner.plan(now).empty());
    now += 33s;
    planner.submit(makeJob("impossible", "s", 3, 8), now);
    planner.submit(makeJob("possible", "s", 2, 8), now);
    planner.workerLost(WorkerId { "w0" }, now);
    CHECK(jobsOf<FailJob>(planner.plan(now)) == std::vector { JobId { "impossible" } });
    CHECK(planner.plan(now + 59min).empty());
    CHECK(jobsOf<FailJob>(planner.plan(now + 1h)) == std::vector { JobId { "possible" } });
}

// Guards against an explanation without the cost of a reclaim, and a fragmentation value that counts usable capacity.
TEST_CASE("the planner explains a wait and measures fragmentation")
{
    auto planner = makePlanner(1, 1, 2);
    planner.setGuarantees(guarantee("owner", { Adjacency::rack, 1, { 4, 1000, 8 }, 2 }), {});
    CHECK(planner.fragmentation() == 0);
    planner.submit(makeJob("guest", "guest", 1, 6), {});
    CHECK(planner.plan({}).size() == 1);
    CHECK(planner.fragmentation() == 1);
    planner.submit(makeJob("owner", "owner", 2, 8), {});
    const auto found = planner.explain(JobId { "owner" }, TimePoint { 10s });
    REQUIRE(found);
    CHECK(found->victims == std::vector { JobId { "guest" } });
    CHECK(found->loss == 60);
    CHECK(!planner.explain(JobId { "unknown" }, {}));
}
