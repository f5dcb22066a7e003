#include "sim_cluster.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workerCount = 4;
constexpr std::size_t entryCount = 2;
constexpr int steps = 30;

// A worker without heartbeats is lost after 33 s. A worker whose agent restarted and cannot list its tasks is lost 45 s
// after the last complete heartbeat, which may show tasks as they were 5 s earlier; the remaining 2 s cover the ticks.
constexpr auto workerLostBound = 52s;
// If a worker of the remaining part is unreachable by then, its tasks end when their leases expire.
constexpr auto leaseExpiryBound = 31s;

/*! @brief Chooses a fault or a request at random and applies it. */
void applyRandomAction(SimCluster& cluster, std::vector<std::string>& jobs)
{
    const auto target = *rc::gen::inRange<std::size_t>(0, workerCount);
    auto& agent = cluster.agent(fmt::format("w{}", target));
    auto& entry = *cluster.entries[target % entryCount];
    const auto now = cluster.clock.now();
    const auto action = *rc::gen::inRange(0, 16);
    RC_LOG() << "at " << (now - TimePoint {}) / 1ms << " ms: action " << action << " on w" << target << '\n';
    switch (action) {
    case 0:
    case 1:
    case 2:
        jobs.push_back(fmt::format("j{}", jobs.size()));
        cluster.submit(jobs.back(), *rc::gen::inRange(1U, 9U), *rc::gen::inRange(20U, 120U));
        break;
    case 3:
        if (!jobs.empty() && !isFinal(cluster.record(jobs.back()).state))
            cluster.cancel(jobs.back());
        break;
    case 4:
        agent.restart();
        break;
    case 5:
        agent.up = !agent.up;
        if (agent.up)
            agent.restart();
        break;
    case 6:
    case 7:
        agent.partitioned = !agent.partitioned;
        break;
    case 8:
        agent.model.setFaults(
            { !agent.model.faults().failTasks, false, !agent.model.faults().failCheckpoints, 100 }, now);
        break;
    case 9:
        agent.model = WorkerModel { { 60, 128000, 8 } };
        agent.restart();
        break;
    case 10:
        agent.worker.unreachable = !agent.worker.unreachable;
        break;
    case 11:
        entry.paused = !entry.paused;
        break;
    case 12:
        entry.faults.down = !entry.faults.down;
        break;
    case 13:
        entry.faults.loseAnswers = *rc::gen::inRange(1U, 4U);
        entry.table.failReads = *rc::gen::inRange(0U, 2U);
        break;
    case 14:
        cluster.orders.faults[agent.settings.agent] = static_cast<OrderFault>(*rc::gen::inRange(1, 6));
        break;
    default:
        cluster.orders.endFaults();
        cluster.poll();
        break;
    }
}

void endAllFaults(SimCluster& cluster)
{
    for (auto& entry : cluster.entries) {
        entry->paused = false;
        entry->faults.down = false;
        entry->faults.loseAnswers = 0;
        entry->table.failReads = 0;
    }
    for (auto& [id, agent] : cluster.agents) {
        agent.model.setFaults({}, cluster.clock.now());
        agent.worker.unreachable = false;
        agent.partitioned = false;
        if (!agent.up)
            agent.restart();
    }
    cluster.orders.endFaults();
    cluster.poll();
}

}

// Guards against unforeseen combinations of faults that lose a job, run a gang twice, or let a part of a gang run
// without the rest for longer than its lease plus the time after which a worker is lost.
TEST_CASE("under random faults no job is lost, no gang runs twice and no gang stays partial")
{
    CHECK(rc::check([] {
        SimCluster cluster { entryCount, workerCount };
        std::vector<std::string> jobs;
        for (int i = 0; i < steps; ++i) {
            applyRandomAction(cluster, jobs);
            cluster.advance(std::chrono::milliseconds { 500 * *rc::gen::inRange(1, 24) });
            RC_ASSERT_FALSE(cluster.ranTwice);
            RC_ASSERT(cluster.longestReachablePartial <= workerLostBound);
            RC_ASSERT(cluster.longestPartial <= workerLostBound + leaseExpiryBound);
        }
        endAllFaults(cluster);
        const auto hasUnfinishedJobs = [&] {
            return std::ranges::any_of(jobs, [&](const auto& it) { return !isFinal(cluster.record(it).state); });
        };
        for (int i = 0; i < 300 && hasUnfinishedJobs(); ++i)
            cluster.advance(10s);
        RC_ASSERT_FALSE(cluster.ranTwice);
        for (const auto& it : jobs) {
            const auto record = cluster.record(it);
            RC_LOG() << record.encode() << '\n';
            RC_ASSERT(record.state == (record.cancelRequested ? JobState::cancelled : JobState::done)
                || (record.cancelRequested && record.state == JobState::done));
        }
    }));
}
