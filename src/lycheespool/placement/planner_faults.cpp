#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <numeric>
#include <utility>

namespace lycheespool {

namespace {

constexpr std::size_t workersToFailJob = 3;

// A new leader discovers the workers from their heartbeats; a worker counts as lost after 33 s without a heartbeat.
constexpr Duration workerDiscoveryTime = std::chrono::seconds { 33 };

// A lost worker counts as capacity that may return for this long, so that its restart fails no job permanently.
constexpr Duration lostWorkerRetention = std::chrono::hours { 1 };

std::size_t hashOf(const PlannerJob& job) { return std::hash<JobId> {}(job.id); }

}

void Planner::taskFailed(const JobId& id, const WorkerId& workerId, TimePoint now)
{
    const auto index = findJob(id);
    const auto worker = m_topology.find(workerId);
    if (index == noIndex || worker == noIndex)
        return;
    auto& failedOn = m_failedOn[index];
    if (std::ranges::find(failedOn, worker) == failedOn.end())
        failedOn.push_back(worker);
    m_health[worker].recordFailure(hashOf(m_jobs[index]), now);
    updateWorker(worker);
}

void Planner::recordSuccess(const PlannerJob& job)
{
    for (const auto& share : job.placement) {
        if (m_health.erase(share.worker))
            updateWorker(share.worker);
    }
}

std::vector<WorkerId> Planner::quarantined() const
{
    std::vector<WorkerId> workers;
    for (const auto& [worker, health] : m_health) {
        if (health.state() != WorkerHealth::State::healthy)
            workers.push_back(m_topology.worker(worker).id);
    }
    return workers;
}

void Planner::advanceHealth(TimePoint now)
{
    for (auto& [worker, health] : m_health) {
        const auto before = health.state();
        health.advance(now);
        if (health.state() != before)
            updateWorker(worker);
    }
}

void Planner::placeProbes(TimePoint now)
{
    for (const auto& [worker, health] : m_health) {
        if (health.state() != WorkerHealth::State::probation || !isInService(worker) || !m_loads[worker].jobs.empty())
            continue;
        if (!zoneAllowsStarts(m_topology.zoneOf(worker)))
            continue;
        const auto single = std::ranges::find_if(m_queue, [&](const auto& it) {
            const auto& shape = m_jobs[it.second].shape;
            return shape.tasks == 1 && shape.perTask.fitsInto(m_topology.worker(worker).capacity);
        });
        if (single != m_queue.end())
            startJob(single->second, { { worker, 1, noIndex } }, now);
    }
}

void Planner::failImpossibleJobs(TimePoint now)
{
    m_firstPlan = m_firstPlan.value_or(now);
    const auto workersKnown = now - *m_firstPlan >= workerDiscoveryTime;
    for (const auto index : workersKnown ? std::exchange(m_unchecked, {}) : m_unchecked) {
        if (m_jobs[index].state != PlacementState::waiting)
            continue;
        const auto reason = failureReason(index, workersKnown);
        if (reason.empty())
            continue;
        m_decisions.emplace_back(FailJob { m_jobs[index].id, reason });
        removeJob(index);
    }
}

void Planner::expireLostWorkers(TimePoint now)
{
    while (!m_lost.empty() && now - m_lost.front().first >= lostWorkerRetention) {
        const auto worker = m_lost.front().second;
        m_lost.pop_front();
        if (m_topology.worker(worker).present || m_lostAt[worker] > now - lostWorkerRetention)
            continue;
        m_capacity.set(m_topology, worker, SignedResources::unavailable());
        for (const auto& [key, index] : m_queue)
            m_unchecked.insert(index);
        m_health.erase(worker);
        m_lostAt.erase(worker);
        if (m_loads[worker].jobs.empty())
            m_topology.remove(worker);
    }
}

std::string Planner::failureReason(Index index, bool workersKnown) const
{
    const auto& job = m_jobs[index];
    const auto failedOn = m_failedOn.find(index);
    if (failedOn != m_failedOn.end()) {
        const auto n = std::ranges::count_if(failedOn->second, [&](Index it) {
            const auto health = m_health.find(it);
            return health == m_health.end() || health->second.healthyForOthers(hashOf(job));
        });
        if (static_cast<std::size_t>(n) >= workersToFailJob)
            return fmt::format("failed on {} different workers that run other jobs well", n);
    }
    if (!workersKnown || !m_capacity.find(m_topology, job.shape).empty())
        return {};
    static constexpr const char* groups[] { "worker", "rack", "zone" };
    return fmt::format("{} tasks of {} cores, {} MiB and {} accelerators do not fit into any {}, even an empty one",
        job.shape.tasks, job.shape.perTask.cores, job.shape.perTask.memoryMiB, job.shape.perTask.accelerators,
        groups[static_cast<std::size_t>(job.shape.adjacency)]);
}

}
