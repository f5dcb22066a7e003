#include "lycheespool/dispatch/start_planner.h"

#include "lycheespool/dispatch/queue_rank.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace lycheespool;

namespace {

constexpr ResourceVector workerCapacity { 64000, 131072, 8 };

std::vector<NodeCapacity> nodes(std::size_t count, std::size_t perRack = 3)
{
    std::vector<NodeCapacity> cluster;
    for (std::size_t i = 0; i < count; ++i) {
        NodeCapacity node;
        node.node = "n" + std::to_string(i);
        node.rack = "r" + std::to_string(i / perRack);
        node.labels = { "a", node.rack };
        node.capacity = workerCapacity;
        node.free = workerCapacity;
        cluster.push_back(std::move(node));
    }
    return cluster;
}

StartRequest tasks(std::uint32_t count, std::int64_t accelerators, bool isGang = false)
{
    StartRequest request;
    request.tasks = count;
    request.perTask = { 1000 * accelerators, 2000 * accelerators, accelerators };
    request.isGang = isGang;
    return request;
}

StartPlan planOne(std::vector<NodeCapacity> cluster, const StartRequest& request)
{
    return StartPlanner { std::move(cluster) }.plan(std::span { &request, 1 });
}

}

TEST_CASE("a gang starts completely or not at all")
{
    CHECK(planOne(nodes(3), tasks(3, 8, true)).starts.size() == 1);
    CHECK(planOne(nodes(3), tasks(4, 8, true)).starts.empty());
    CHECK(planOne(nodes(3), tasks(4, 8)).starts.at(0).nodes.size() == 3);
}

TEST_CASE("a gang that prefers one rack waits for it until it accepts several racks")
{
    auto cluster = nodes(6);
    cluster[0].free.accelerators = 0;
    cluster[3].free.accelerators = 0;
    auto request = tasks(3, 8, true);
    request.prefersOneRack = true;
    CHECK(planOne(cluster, request).starts.empty());
    request.acceptsRemote = true;
    CHECK(planOne(cluster, request).starts.size() == 1);
}

TEST_CASE("a gang that no rack could ever hold does not wait for one")
{
    auto request = tasks(4, 8, true);
    request.prefersOneRack = true;
    CHECK(planOne(nodes(6), request).starts.size() == 1);
}

TEST_CASE("labels, limits per executor and unschedulable executors are respected")
{
    auto cluster = nodes(3);
    auto request = tasks(9, 1);
    request.requiredLabel = "b";
    CHECK(planOne(cluster, request).starts.empty());
    request.requiredLabel.clear();
    request.maxPerNode = 2;
    request.tasksOn["n0"] = 1;
    cluster[2].isSchedulable = false;
    CHECK(planOne(cluster, request).starts.at(0).nodes.size() == 3);
}

TEST_CASE("suspected executors and those where the job failed are used only if no other executor fits")
{
    auto cluster = nodes(2);
    cluster[0].reliability = NodeReliability::suspected;
    CHECK(planOne(cluster, tasks(1, 8)).starts.at(0).nodes.at(0) == 1);
    auto request = tasks(1, 8);
    request.avoidedNodes = { "n1" };
    CHECK(planOne(nodes(2), request).starts.at(0).nodes.at(0) == 0);
    cluster[1].free.accelerators = 0;
    CHECK(planOne(cluster, tasks(1, 8)).starts.at(0).nodes.at(0) == 0);
}

// Guards against an executor that fails tasks at once, is therefore always free and attracts one task after another.
TEST_CASE("a suspected executor gets one task at a time")
{
    auto cluster = nodes(2);
    cluster[0].reliability = NodeReliability::suspected;
    cluster[1].free = {};
    CHECK(planOne(cluster, tasks(8, 1)).starts.at(0).nodes == std::vector<std::size_t> { 0 });
    cluster[0].isBusy = true;
    CHECK(planOne(cluster, tasks(8, 1)).starts.empty());
}

// Guards against probes that follow each other as fast as they fail, each of which uses up an attempt of a task.
TEST_CASE("a suspected executor gets no task before its next probe is due")
{
    auto cluster = nodes(1);
    cluster[0].reliability = NodeReliability::suspected;
    cluster[0].acceptsProbe = false;
    CHECK(planOne(cluster, tasks(8, 1)).starts.empty());
    cluster[0].acceptsProbe = true;
    CHECK(planOne(cluster, tasks(8, 1)).starts.at(0).nodes.size() == 1);
}

// Guards against an executor that has begun to fail and fails all tasks that fit on it at once.
TEST_CASE("an executor that is not proven gets only its trial starts, and keeps its capacity for the other tasks")
{
    auto cluster = nodes(2);
    cluster[0].trialStarts = 2;
    cluster[1].trialStarts = 2;
    const std::vector<StartRequest> requests { tasks(8, 1), tasks(8, 1) };
    const auto plan = StartPlanner { cluster }.plan(requests);
    REQUIRE(plan.starts.size() == 2);
    CHECK(plan.starts[0].nodes == std::vector<std::size_t> { 0, 0 });
    CHECK(plan.starts[1].nodes == std::vector<std::size_t> { 1, 1 });
    CHECK(planOne(cluster, tasks(8, 1, true)).starts.at(0).nodes.size() == 8);
    auto urgent = tasks(8, 1);
    urgent.hasStartBound = true;
    CHECK(planOne(cluster, urgent).starts.at(0).nodes.size() == 8);
}

// Guards against a retry on an executor that has begun to fail and has not been tried since.
TEST_CASE("work that failed before prefers proven executors, and its last attempt waits for them")
{
    auto cluster = nodes(2);
    cluster[1].reliability = NodeReliability::proven;
    auto request = tasks(1, 8);
    request.prefersReliable = true;
    CHECK(planOne(cluster, request).starts.at(0).nodes.at(0) == 1);
    cluster[1].free.accelerators = 0;
    CHECK(planOne(cluster, request).starts.at(0).nodes.at(0) == 0);
    request.isLastAttempt = true;
    request.acceptsUnproven = false;
    CHECK(planOne(cluster, request).starts.empty());
    request.acceptsUnproven = true;
    CHECK(planOne(cluster, request).starts.at(0).nodes.at(0) == 0);
}

// Guards against using up attempts on failing executors, where the failure of one member fails a whole gang.
TEST_CASE("gangs and work that failed before wait for reliable executors, unless those could never hold them")
{
    auto cluster = nodes(3);
    cluster[0].reliability = NodeReliability::suspected;
    cluster[1].free.accelerators = 4;
    CHECK(planOne(cluster, tasks(2, 8, true)).starts.empty());
    CHECK(planOne(cluster, tasks(3, 8, true)).starts.empty());
    cluster[1].free = workerCapacity;
    CHECK(planOne(cluster, tasks(3, 8, true)).starts.size() == 1);
    auto failed = tasks(1, 8);
    failed.prefersReliable = true;
    cluster[1].free = {};
    cluster[2].free = {};
    CHECK(planOne(cluster, failed).starts.empty());
    cluster[1].isSchedulable = false;
    cluster[2].isSchedulable = false;
    CHECK(planOne(cluster, failed).starts.size() == 1);
}

TEST_CASE("work that failed before prefers executors without a failure")
{
    auto cluster = nodes(2);
    cluster[0].reliability = NodeReliability::failedOnce;
    cluster[0].free.accelerators = 4;
    // Without the preference, the fuller executor is taken first.
    CHECK(planOne(cluster, tasks(1, 1)).starts.at(0).nodes.at(0) == 0);
    auto failed = tasks(1, 1);
    failed.prefersReliable = true;
    CHECK(planOne(cluster, failed).starts.at(0).nodes.at(0) == 1);
}

// Guards against urgent work that evicts work of its own importance, or more unsaved work than its budget allows.
TEST_CASE("urgent work evicts only less important runs, within its budget")
{
    auto cluster = nodes(1);
    cluster[0].free = {};
    cluster[0].evictable = { { 0, 0, 1, workerCapacity, 5 }, { 1, 0, 3, workerCapacity, 50 } };
    auto urgent = tasks(1, 8);
    urgent.mayEvict = true;
    urgent.evictsAboveTier = 1;
    urgent.evictionBudget = 100;
    CHECK(planOne(cluster, urgent).evictions == std::vector<std::size_t> { 1 });
    urgent.evictionBudget = 40;
    CHECK(planOne(cluster, urgent).evictions.empty());
}

TEST_CASE("small tasks fill partly used executors, so that whole ones stay free for gangs")
{
    auto cluster = nodes(3);
    cluster[1].free.accelerators = 4;
    cluster[1].free.milliCores = 32000;
    CHECK(planOne(cluster, tasks(2, 2)).starts.at(0).nodes == std::vector<std::size_t> { 1, 1 });
}

TEST_CASE("a waiting gang reserves its executors against smaller work behind it")
{
    auto cluster = nodes(2);
    cluster[0].free.accelerators = 4;
    const std::vector<StartRequest> requests { tasks(2, 8, true), tasks(8, 1) };
    CHECK(StartPlanner { cluster }.plan(requests).starts.empty());
    const std::vector<StartRequest> without { tasks(8, 1) };
    CHECK(StartPlanner { cluster }.plan(without).starts.size() == 1);
}

TEST_CASE("guaranteed work evicts the run with the least unsaved work")
{
    auto cluster = nodes(2);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster[i].free = {};
        cluster[i].evictable.push_back({ i, 0, 2, workerCapacity, i == 0 ? 50.0 : 5.0 });
    }
    auto request = tasks(1, 8, true);
    CHECK(planOne(cluster, request).evictions.empty());
    request.mayEvict = true;
    CHECK(planOne(cluster, request).evictions == std::vector<std::size_t> { 1 });
}

TEST_CASE("guaranteed work evicts no further runs while evicted runs are still stopping")
{
    auto cluster = nodes(2);
    cluster[0].free = {};
    cluster[0].releasing = workerCapacity;
    cluster[1].free = {};
    cluster[1].evictable.push_back({ 7, 0, 2, workerCapacity, 1.0 });
    auto request = tasks(1, 8, true);
    request.mayEvict = true;
    CHECK(planOne(cluster, request).evictions.empty());
}

TEST_CASE("the members of a gang are stopped together")
{
    auto cluster = nodes(2);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster[i].free = {};
        cluster[i].evictable.push_back({ i, 9, 2, workerCapacity, 1.0 });
    }
    auto request = tasks(1, 8, true);
    request.mayEvict = true;
    CHECK(planOne(cluster, request).evictions.size() == 2);
}

TEST_CASE("no plan exceeds the free capacity")
{
    CHECK(rc::check("capacity", [] {
        auto cluster = nodes(*rc::gen::inRange<std::size_t>(1, 12));
        for (auto& it : cluster)
            it.free.accelerators = *rc::gen::inRange(0, 9);
        std::vector<StartRequest> requests;
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i)
            requests.push_back(tasks(*rc::gen::inRange(1U, 12U), *rc::gen::inRange(0, 9), *rc::gen::arbitrary<bool>()));
        auto remaining = cluster;
        for (const auto& start : StartPlanner { cluster }.plan(requests).starts) {
            const auto& request = requests[start.request];
            RC_ASSERT(!request.isGang || start.nodes.size() == request.tasks);
            RC_ASSERT(start.nodes.size() <= request.tasks);
            for (const auto node : start.nodes)
                remaining[node].free -= request.perTask;
        }
        for (const auto& it : remaining)
            RC_ASSERT(ResourceVector {}.fitsInto(it.free));
    }));
}

TEST_CASE("the order is: guaranteed, then by priority, then by slack, and work without credit last")
{
    const RankInput base {
        .priority = 1, .isGuaranteed = false, .ageMs = 0, .objectiveMs = 10000, .remainingMs = 3000
    };
    auto guaranteed = base;
    guaranteed.isGuaranteed = true;
    auto urgent = base;
    urgent.priority = 0;
    auto older = base;
    older.ageMs = 2000;
    auto late = base;
    late.ageMs = 9000;
    auto withoutCredit = urgent;
    withoutCredit.ageMs = 40000;
    CHECK(rankOf(guaranteed) < rankOf(urgent));
    CHECK(rankOf(urgent) < rankOf(base));
    CHECK(rankOf(older) < rankOf(base));
    CHECK(rankOf(base) < rankOf(late));
    CHECK(rankOf(late) < rankOf(withoutCredit));
}

// Guards against a job that fails because its last attempt started on an executor with a recent failure: late work
// earns part of the credit, failed work none.
TEST_CASE("the last attempt of a gang waits for executors without recent failures")
{
    auto cluster = nodes(4, 4);
    cluster[0].reliability = NodeReliability::failedOnce;
    cluster[1].free.accelerators = 0;
    auto request = tasks(3, 8, true);
    CHECK(planOne(cluster, request).starts.size() == 1);
    request.isLastAttempt = true;
    CHECK(planOne(cluster, request).starts.empty());
    cluster[1].free.accelerators = 8;
    const auto plan = planOne(cluster, request);
    REQUIRE(plan.starts.size() == 1);
    CHECK(std::ranges::find(plan.starts[0].nodes, 0) == plan.starts[0].nodes.end());
}

// Guards against starting urgent gangs on executors known to fail although other work could be evicted.
TEST_CASE("urgent work evicts other work rather than starting a gang on suspected executors")
{
    auto cluster = nodes(3);
    cluster[0].reliability = NodeReliability::suspected;
    cluster[2].free.accelerators = 0;
    cluster[2].evictable.push_back({ 7, 0, 2, { 1000, 1000, 8 }, 10 });
    auto request = tasks(2, 8, true);
    request.mayEvict = true;
    const auto plan = planOne(cluster, request);
    CHECK(plan.starts.empty());
    CHECK(plan.evictions == std::vector<std::size_t> { 7 });
}

// Guards against a gang that waits indefinitely because executors that it avoids count as sufficient free capacity.
TEST_CASE("urgent work evicts other work when only executors that it avoids have free capacity")
{
    auto cluster = nodes(2);
    cluster[1].free.accelerators = 0;
    cluster[1].evictable.push_back({ 7, 0, 2, { 1000, 1000, 8 }, 10 });
    auto request = tasks(1, 8, true);
    request.mayEvict = true;
    request.avoidedNodes = { "n0" };
    const auto plan = planOne(cluster, request);
    CHECK(plan.starts.empty());
    CHECK(plan.evictions == std::vector<std::size_t> { 7 });
}

// Guards against guaranteed work that misses its start bound because all reliable executors run other guaranteed work.
TEST_CASE("work with a start bound uses suspected executors when nothing can be evicted")
{
    auto cluster = nodes(3);
    cluster[0].reliability = NodeReliability::suspected;
    cluster[2].free.accelerators = 0;
    auto request = tasks(2, 8, true);
    request.mayEvict = true;
    CHECK(planOne(cluster, request).starts.empty());
    request.hasStartBound = true;
    CHECK(planOne(cluster, request).starts.size() == 1);
}

// Guards against work that never starts because too few executors are reliable.
TEST_CASE("a last attempt that only fits on suspected executors starts there")
{
    auto cluster = nodes(2);
    cluster[0].reliability = NodeReliability::suspected;
    auto request = tasks(2, 8, true);
    request.isLastAttempt = true;
    CHECK(planOne(cluster, request).starts.size() == 1);
}

// Guards against work that waits without an end for executors which service tasks never leave.
TEST_CASE("room that service tasks hold does not keep work from executors that it avoids")
{
    for (const bool isGang : { false, true }) {
        CAPTURE(isGang);
        auto cluster = nodes(2);
        cluster[0].free = {};
        auto request = tasks(1, 8, isGang);
        request.prefersReliable = !isGang;
        request.avoidedNodes = { "n1" };
        CHECK(planOne(cluster, request).starts.empty());
        cluster[0].heldByServiceTasks = workerCapacity;
        CHECK(planOne(cluster, request).starts.size() == 1);
        request.avoidedNodes.clear();
        cluster[1].reliability = NodeReliability::suspected;
        CHECK(planOne(cluster, request).starts.size() == 1);
    }
}

// Guards against work that waits for long tasks to end although an executor where it failed once is idle.
TEST_CASE("work starts on an avoided executor once it has waited for the others")
{
    for (const bool isLastAttempt : { false, true }) {
        CAPTURE(isLastAttempt);
        auto cluster = nodes(2);
        cluster[0].free = {};
        auto request = tasks(1, 8);
        request.prefersReliable = true;
        request.isLastAttempt = isLastAttempt;
        request.avoidedNodes = { "n1" };
        CHECK(planOne(cluster, request).starts.empty());
        request.acceptsAvoided = true;
        CHECK(planOne(cluster, request).starts.size() == 1);
        cluster[0].free = workerCapacity;
        CHECK(planOne(cluster, request).starts.at(0).nodes.at(0) == 0);
    }
}

// Guards against small work that starves beside a reservation of room that never becomes free.
TEST_CASE("a gang reserves no executor that service tasks keep from it")
{
    auto cluster = nodes(1);
    cluster[0].free.accelerators = 4;
    const std::vector<StartRequest> requests { tasks(1, 8, true), tasks(4, 1) };
    CHECK(StartPlanner { cluster }.plan(requests).starts.empty());
    cluster[0].heldByServiceTasks.accelerators = 4;
    CHECK(StartPlanner { cluster }.plan(requests).starts.size() == 1);
}

// Guards against a gang that waits without an end for a rack which service tasks never leave.
TEST_CASE("a gang does not wait for a rack that service tasks keep from it")
{
    auto cluster = nodes(6);
    for (const auto i : { 0U, 3U }) {
        cluster[i].free.accelerators = 0;
        cluster[i].heldByServiceTasks.accelerators = 8;
    }
    auto request = tasks(3, 8, true);
    request.prefersOneRack = true;
    CHECK(planOne(cluster, request).starts.size() == 1);
}

// Guards against stops on several executors or for several requests that together exceed what a step can spare.
TEST_CASE("one plan stops no more service tasks of a step than the step can spare")
{
    auto cluster = nodes(2);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster[i].free = {};
        cluster[i].heldByServiceTasks = workerCapacity;
        cluster[i].evictable.push_back({ i, 0, 2, workerCapacity, 1.0, true, 1, 1 });
    }
    auto request = tasks(1, 8);
    request.mayEvict = true;
    CHECK(planOne(cluster, request).evictions.empty());
    request.evictsServiceTasks = true;
    CHECK(planOne(cluster, request).evictions.size() == 1);
    const std::vector<StartRequest> requests { request, request };
    CHECK(StartPlanner { cluster }.plan(requests).evictions.size() == 1);
    request.tasks = 2;
    CHECK(planOne(cluster, request).evictions.empty());
}

// Guards against urgent gangs that end late because of their slowest member.
TEST_CASE("a gang that prefers fast executors takes the rack whose slowest executor is the fastest")
{
    auto cluster = nodes(6);
    cluster[0].slowness = 0.25;
    auto request = tasks(3, 8, true);
    request.prefersOneRack = true;
    request.speedWeight = 3;
    CHECK(planOne(cluster, request).starts.at(0).nodes == std::vector<std::size_t> { 3, 4, 5 });
    request = tasks(1, 8);
    request.speedWeight = 3;
    cluster[4].slowness = -0.25;
    CHECK(planOne(cluster, request).starts.at(0).nodes == std::vector<std::size_t> { 4 });
    request.speedWeight = -0.5;
    CHECK(planOne(cluster, request).starts.at(0).nodes == std::vector<std::size_t> { 0 });
}

// Guards against an executor with so many small tasks that its report exceeds a frame and never arrives.
TEST_CASE("an executor gets no more tasks than its report can list, and the others start elsewhere")
{
    auto cluster = nodes(2);
    cluster[0].freeRuns = 3;
    const std::vector<StartRequest> requests { tasks(2, 0), tasks(4, 0) };
    const auto plan = StartPlanner { cluster }.plan(requests);
    std::map<std::size_t, int> starts;
    for (const auto& start : plan.starts) {
        for (const auto it : start.nodes)
            ++starts[it];
    }
    CHECK(starts[0] <= 3);
    CHECK(starts[0] + starts[1] == 6);
}

namespace {

/*! @brief One executor on which a task that ends after a time leaves some accelerators free. */
std::vector<NodeCapacity> occupiedNode(double remainingMs, std::int64_t freeAccelerators)
{
    auto cluster = nodes(1);
    const ResourceVector charged { 1000, 2000, 8 - freeAccelerators };
    cluster[0].free -= charged;
    cluster[0].releases.push_back({ charged, remainingMs });
    return cluster;
}

StartRequest waitingGang()
{
    auto request = tasks(1, 8, true);
    request.step = 1;
    return request;
}

StartRequest starvedTask(double runTimeMs)
{
    auto request = tasks(1, 1);
    request.step = 2;
    request.runTimeMs = runTimeMs;
    request.isStarved = true;
    return request;
}

}

// Guards against reservations that keep idle resources from work that would have ended before they are needed.
TEST_CASE("a starved request uses reserved executors if it ends before the reserving request can start")
{
    const auto cluster = occupiedNode(5000, 3);
    const std::vector<StartRequest> shorter { waitingGang(), starvedTask(2000) };
    const auto plan = StartPlanner { cluster }.plan(shorter);
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].request == 1);
    CHECK(plan.starts[0].yieldsTo == std::map<std::size_t, std::size_t> { { 0, 1 } });
    const std::vector<StartRequest> longer { waitingGang(), starvedTask(6000) };
    const auto delayed = StartPlanner { cluster }.plan(longer);
    CHECK(delayed.starts.empty());
    REQUIRE(delayed.reservations.size() == 1);
    CHECK(delayed.reservations[0].startMs == 5000);
    CHECK(delayed.reservations[0].delayed == std::vector<std::size_t> { 1 });
    auto fresh = shorter;
    fresh[1].isStarved = false;
    CHECK(StartPlanner { cluster }.plan(fresh).starts.empty());
    auto gang = shorter;
    gang[1].isGang = true;
    CHECK(StartPlanner { cluster }.plan(gang).starts.empty());
    auto sibling = shorter;
    sibling[1].step = sibling[0].step;
    CHECK(StartPlanner { cluster }.plan(sibling).starts.empty());
}

// Guards against jobs with nothing running beside idle executors, and against giving those up while they are in use or
// about to be used.
TEST_CASE("a starved request uses reserved executors while most of the capacity is idle")
{
    const auto startsBeside = [](double remainingMs, std::int64_t freeAccelerators, const StartRequest& starved) {
        const std::vector<StartRequest> requests { waitingGang(), starved };
        return StartPlanner { occupiedNode(remainingMs, freeAccelerators) }.plan(requests).starts.size();
    };
    CHECK(startsBeside(5000, 7, starvedTask(60000)) == 1);
    CHECK(startsBeside(100, 7, starvedTask(60000)) == 0);
    CHECK(startsBeside(5000, 3, starvedTask(60000)) == 0);
    auto service = starvedTask(60000);
    service.isService = true;
    CHECK(startsBeside(5000, 3, service) == 1);
    CHECK(startsBeside(5000, 1, service) == 0);
}

// Guards against a gang that waits longer because of work that was started on its executors meanwhile.
TEST_CASE("runs that use a reservation stop for the reserving request, and only once it can start otherwise")
{
    const std::vector<StartRequest> requests { waitingGang(), starvedTask(300) };
    const auto withRun = [](NodeCapacity node, std::size_t yieldsTo) {
        node.free -= { 1000, 2000, 1 };
        EvictableRun run { 7, 0, 3, { 1000, 2000, 1 }, 50 };
        run.yieldsTo = yieldsTo;
        run.remainingMs = 9000;
        node.evictable.push_back(run);
        return std::vector { node };
    };
    const auto early = StartPlanner { withRun(occupiedNode(5000, 3)[0], 1) }.plan(requests);
    CHECK(early.yields.empty());
    REQUIRE(early.reservations.size() == 1);
    CHECK(early.reservations[0].startMs == 5000);
    const auto due = StartPlanner { withRun(nodes(1)[0], 1) }.plan(requests);
    CHECK(due.yields == std::vector<std::size_t> { 7 });
    CHECK(due.evictions.empty());
    // What the stop frees is not given away, not even to a task that would end before the stop.
    CHECK(std::ranges::all_of(due.starts, [](const auto& it) { return !it.yieldsTo.empty(); }));
    const auto other = StartPlanner { withRun(nodes(1)[0], 3) }.plan(requests);
    CHECK(other.yields.empty());
}

// Guards against a reservation without a time limit: a last attempt waits for reliable executors although enough others
// are free, and nobody could use those.
TEST_CASE("a request that waits although enough is free keeps nothing from work that can yield")
{
    auto cluster = nodes(2);
    cluster[0].reliability = NodeReliability::failedOnce;
    cluster[1].free.accelerators = 0;
    cluster[1].releases.push_back({ { 0, 0, 8 }, 5000 });
    auto last = tasks(1, 8, true);
    last.isLastAttempt = true;
    last.step = 1;
    const std::vector<StartRequest> requests { last, starvedTask(2000) };
    const auto plan = StartPlanner { cluster }.plan(requests);
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].request == 1);
}

// Guards against jobs with nothing running because their preferred executors are in use while all others are idle.
TEST_CASE("a starved request accepts another rack, avoided executors and those that failed once")
{
    auto cluster = nodes(6);
    for (const auto i : { 0U, 1U, 2U })
        cluster[i].free.accelerators = 4;
    for (const auto i : { 3U, 4U, 5U })
        cluster[i].reliability = NodeReliability::failedOnce;
    auto local = tasks(1, 8);
    local.dataRack = "r0";
    auto last = tasks(1, 8, true);
    last.isLastAttempt = true;
    auto avoiding = tasks(1, 8, true);
    avoiding.avoidedNodes = { "n3", "n4", "n5" };
    for (auto request : { local, last, avoiding }) {
        CHECK(planOne(cluster, request).starts.empty());
        request.isStarved = true;
        CHECK(planOne(cluster, request).starts.size() == 1);
    }
}
