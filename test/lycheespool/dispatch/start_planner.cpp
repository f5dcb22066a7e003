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
    std::vector<NodeCapacity> rooms;
    for (std::size_t i = 0; i < count; ++i) {
        NodeCapacity room;
        room.node = "n" + std::to_string(i);
        room.rack = "r" + std::to_string(i / perRack);
        room.labels = { "a", room.rack };
        room.capacity = workerCapacity;
        room.free = workerCapacity;
        rooms.push_back(std::move(room));
    }
    return rooms;
}

StartRequest tasks(std::uint32_t count, std::int64_t accelerators, bool isGang = false)
{
    StartRequest request;
    request.tasks = count;
    request.perTask = { 1000 * accelerators, 2000 * accelerators, accelerators };
    request.isGang = isGang;
    return request;
}

StartPlan planOne(std::vector<NodeCapacity> rooms, const StartRequest& request)
{
    return StartPlanner { std::move(rooms) }.plan(std::span { &request, 1 });
}

}

TEST_CASE("a gang starts whole or not at all")
{
    CHECK(planOne(nodes(3), tasks(3, 8, true)).starts.size() == 1);
    CHECK(planOne(nodes(3), tasks(4, 8, true)).starts.empty());
    CHECK(planOne(nodes(3), tasks(4, 8)).starts.at(0).nodes.size() == 3);
}

TEST_CASE("a gang that prefers one rack waits for it, and spreads once it accepts to")
{
    auto rooms = nodes(6);
    rooms[0].free.accelerators = 0;
    rooms[3].free.accelerators = 0;
    auto request = tasks(3, 8, true);
    request.prefersOneRack = true;
    CHECK(planOne(rooms, request).starts.empty());
    request.acceptsRemote = true;
    CHECK(planOne(rooms, request).starts.size() == 1);
}

TEST_CASE("a gang that no rack could ever hold does not wait for one")
{
    auto request = tasks(4, 8, true);
    request.prefersOneRack = true;
    CHECK(planOne(nodes(6), request).starts.size() == 1);
}

TEST_CASE("labels, limits per executor and unusable executors are respected")
{
    auto rooms = nodes(3);
    auto request = tasks(9, 1);
    request.requiredLabel = "b";
    CHECK(planOne(rooms, request).starts.empty());
    request.requiredLabel.clear();
    request.maxPerNode = 2;
    request.tasksOn["n0"] = 1;
    rooms[2].isSchedulable = false;
    CHECK(planOne(rooms, request).starts.at(0).nodes.size() == 3);
}

TEST_CASE("suspect executors and those where the job failed are used only where nothing else fits")
{
    auto rooms = nodes(2);
    rooms[0].reliability = NodeReliability::suspected;
    CHECK(planOne(rooms, tasks(1, 8)).starts.at(0).nodes.at(0) == 1);
    auto request = tasks(1, 8);
    request.avoidedNodes = { "n1" };
    CHECK(planOne(nodes(2), request).starts.at(0).nodes.at(0) == 0);
    rooms[1].free.accelerators = 0;
    CHECK(planOne(rooms, tasks(1, 8)).starts.at(0).nodes.at(0) == 0);
}

// Guards against an executor that fails at once, is therefore always free, and fails one task after another.
TEST_CASE("a suspect gets one task at a time")
{
    auto rooms = nodes(2);
    rooms[0].reliability = NodeReliability::suspected;
    rooms[1].free = {};
    CHECK(planOne(rooms, tasks(8, 1)).starts.at(0).nodes == std::vector<std::size_t> { 0 });
    rooms[0].isBusy = true;
    CHECK(planOne(rooms, tasks(8, 1)).starts.empty());
}

// Guards against attempts that are used up on executors which fail, where one failure ends a whole gang.
TEST_CASE("gangs and work that failed before wait for trusted executors, unless those could never hold them")
{
    auto rooms = nodes(3);
    rooms[0].reliability = NodeReliability::suspected;
    rooms[1].free.accelerators = 4;
    CHECK(planOne(rooms, tasks(2, 8, true)).starts.empty());
    CHECK(planOne(rooms, tasks(3, 8, true)).starts.empty());
    rooms[1].free = workerCapacity;
    CHECK(planOne(rooms, tasks(3, 8, true)).starts.size() == 1);
    auto failed = tasks(1, 8);
    failed.prefersReliable = true;
    rooms[1].free = {};
    rooms[2].free = {};
    CHECK(planOne(rooms, failed).starts.empty());
    rooms[1].isSchedulable = false;
    rooms[2].isSchedulable = false;
    CHECK(planOne(rooms, failed).starts.size() == 1);
}

TEST_CASE("work that must not fail again prefers executors without a failure")
{
    auto rooms = nodes(2);
    rooms[0].reliability = NodeReliability::failedOnce;
    rooms[0].free.accelerators = 4;
    // The fuller executor would be taken first.
    CHECK(planOne(rooms, tasks(1, 1)).starts.at(0).nodes.at(0) == 0);
    auto failed = tasks(1, 1);
    failed.prefersReliable = true;
    CHECK(planOne(rooms, failed).starts.at(0).nodes.at(0) == 1);
}

// Guards against urgent work that stops work as important as itself, or more work than it is worth.
TEST_CASE("urgent work stops only less important runs, within its budget")
{
    auto rooms = nodes(1);
    rooms[0].free = {};
    rooms[0].evictable = { { 0, 0, 1, workerCapacity, 5 }, { 1, 0, 3, workerCapacity, 50 } };
    auto urgent = tasks(1, 8);
    urgent.mayEvict = true;
    urgent.evictsAboveTier = 1;
    urgent.evictionBudget = 100;
    CHECK(planOne(rooms, urgent).evictions == std::vector<std::size_t> { 1 });
    urgent.evictionBudget = 40;
    CHECK(planOne(rooms, urgent).evictions.empty());
}

TEST_CASE("small tasks fill partly used executors, so that whole ones stay free for gangs")
{
    auto rooms = nodes(3);
    rooms[1].free.accelerators = 4;
    rooms[1].free.milliCores = 32000;
    CHECK(planOne(rooms, tasks(2, 2)).starts.at(0).nodes == std::vector<std::size_t> { 1, 1 });
}

TEST_CASE("a blocked gang keeps the executors it waits for from smaller work behind it")
{
    auto rooms = nodes(2);
    rooms[0].free.accelerators = 4;
    const std::vector<StartRequest> requests { tasks(2, 8, true), tasks(8, 1) };
    CHECK(StartPlanner { rooms }.plan(requests).starts.empty());
    const std::vector<StartRequest> without { tasks(8, 1) };
    CHECK(StartPlanner { rooms }.plan(without).starts.size() == 1);
}

TEST_CASE("guaranteed work stops the least unsaved work that makes room")
{
    auto rooms = nodes(2);
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        rooms[i].free = {};
        rooms[i].evictable.push_back({ i, 0, 2, workerCapacity, i == 0 ? 50.0 : 5.0 });
    }
    auto request = tasks(1, 8, true);
    CHECK(planOne(rooms, request).evictions.empty());
    request.mayEvict = true;
    CHECK(planOne(rooms, request).evictions == std::vector<std::size_t> { 1 });
}

TEST_CASE("guaranteed work does not stop more while what it stopped is still ending")
{
    auto rooms = nodes(2);
    rooms[0].free = {};
    rooms[0].releasing = workerCapacity;
    rooms[1].free = {};
    rooms[1].evictable.push_back({ 7, 0, 2, workerCapacity, 1.0 });
    auto request = tasks(1, 8, true);
    request.mayEvict = true;
    CHECK(planOne(rooms, request).evictions.empty());
}

TEST_CASE("the members of a gang are stopped together")
{
    auto rooms = nodes(2);
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        rooms[i].free = {};
        rooms[i].evictable.push_back({ i, 9, 2, workerCapacity, 1.0 });
    }
    auto request = tasks(1, 8, true);
    request.mayEvict = true;
    CHECK(planOne(rooms, request).evictions.size() == 2);
}

TEST_CASE("no plan uses more room than there is")
{
    CHECK(rc::check("room", [] {
        auto rooms = nodes(*rc::gen::inRange<std::size_t>(1, 12));
        for (auto& it : rooms)
            it.free.accelerators = *rc::gen::inRange(0, 9);
        std::vector<StartRequest> requests;
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i)
            requests.push_back(tasks(*rc::gen::inRange(1U, 12U), *rc::gen::inRange(0, 9), *rc::gen::arbitrary<bool>()));
        auto left = rooms;
        for (const auto& start : StartPlanner { rooms }.plan(requests).starts) {
            const auto& request = requests[start.request];
            RC_ASSERT(!request.isGang || start.nodes.size() == request.tasks);
            RC_ASSERT(start.nodes.size() <= request.tasks);
            for (const auto node : start.nodes)
                left[node].free -= request.perTask;
        }
        for (const auto& it : left)
            RC_ASSERT(ResourceVector {}.fitsInto(it.free));
    }));
}

TEST_CASE("the order is: guaranteed, useful by priority, less slack first, worthless last")
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
    auto worthless = urgent;
    worthless.ageMs = 40000;
    CHECK(rankOf(guaranteed) < rankOf(urgent));
    CHECK(rankOf(urgent) < rankOf(base));
    CHECK(rankOf(older) < rankOf(base));
    CHECK(rankOf(base) < rankOf(late));
    CHECK(rankOf(late) < rankOf(worthless));
}

// Guards against a job that is shown as failed because its last try started on an executor that had failed lately: late
// work is worth a part to its caller, failed work nothing.
TEST_CASE("the last try of a gang waits for executors that have not failed lately")
{
    auto rooms = nodes(4, 4);
    rooms[0].reliability = NodeReliability::failedOnce;
    rooms[1].free.accelerators = 0;
    auto request = tasks(3, 8, true);
    CHECK(planOne(rooms, request).starts.size() == 1);
    request.isLastAttempt = true;
    CHECK(planOne(rooms, request).starts.empty());
    rooms[1].free.accelerators = 8;
    const auto plan = planOne(rooms, request);
    REQUIRE(plan.starts.size() == 1);
    CHECK(std::ranges::find(plan.starts[0].nodes, 0) == plan.starts[0].nodes.end());
}

// Guards against urgent gangs that are started on executors known to fail, although other work could make room.
TEST_CASE("urgent work stops other work rather than starting a gang on suspects")
{
    auto rooms = nodes(3);
    rooms[0].reliability = NodeReliability::suspected;
    rooms[2].free.accelerators = 0;
    rooms[2].evictable.push_back({ 7, 0, 2, { 1000, 1000, 8 }, 10 });
    auto request = tasks(2, 8, true);
    request.mayEvict = true;
    const auto plan = planOne(rooms, request);
    CHECK(plan.starts.empty());
    CHECK(plan.evictions == std::vector<std::size_t> { 7 });
}

// Guards against a gang that waits for ever beside free executors which it avoids, because their room counts as enough.
TEST_CASE("urgent work stops other work when only executors that it avoids have room")
{
    auto rooms = nodes(2);
    rooms[1].free.accelerators = 0;
    rooms[1].evictable.push_back({ 7, 0, 2, { 1000, 1000, 8 }, 10 });
    auto request = tasks(1, 8, true);
    request.mayEvict = true;
    request.avoidedNodes = { "n0" };
    const auto plan = planOne(rooms, request);
    CHECK(plan.starts.empty());
    CHECK(plan.evictions == std::vector<std::size_t> { 7 });
}

// Guards against guaranteed work that misses its bound because all trusted executors run other guaranteed work.
TEST_CASE("work whose start has a bound uses suspects when nothing can be stopped")
{
    auto rooms = nodes(3);
    rooms[0].reliability = NodeReliability::suspected;
    rooms[2].free.accelerators = 0;
    auto request = tasks(2, 8, true);
    request.mayEvict = true;
    CHECK(planOne(rooms, request).starts.empty());
    request.hasStartBound = true;
    CHECK(planOne(rooms, request).starts.size() == 1);
}

// Guards against work that never starts because too few executors are trusted.
TEST_CASE("a last try that only doubtful or suspected executors could hold starts there")
{
    auto rooms = nodes(2);
    rooms[0].reliability = NodeReliability::suspected;
    auto request = tasks(2, 8, true);
    request.isLastAttempt = true;
    CHECK(planOne(rooms, request).starts.size() == 1);
}

// Guards against urgent gangs whose slowest member makes all of them late.
TEST_CASE("a gang that prefers fast executors takes the rack whose slowest executor is the fastest")
{
    auto rooms = nodes(6);
    rooms[0].slowness = 0.25;
    auto request = tasks(3, 8, true);
    request.prefersOneRack = true;
    request.speedWeight = 3;
    CHECK(planOne(rooms, request).starts.at(0).nodes == std::vector<std::size_t> { 3, 4, 5 });
    request = tasks(1, 8);
    request.speedWeight = 3;
    rooms[4].slowness = -0.25;
    CHECK(planOne(rooms, request).starts.at(0).nodes == std::vector<std::size_t> { 4 });
    request.speedWeight = -0.5;
    CHECK(planOne(rooms, request).starts.at(0).nodes == std::vector<std::size_t> { 0 });
}
