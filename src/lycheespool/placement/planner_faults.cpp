#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <numeric>
#include <utility>

namespace lycheespool {

namespace {

constexpr std::size_t workersToFailJob = 3;

// A new leader learns of the workers from their heartbeats; after 33 s without one a worker counts as lost.
constexpr Duration settlingTime = std::chrono::seconds { 33 };

// Lost workers count for this long as capacity that may return, so that a restart fails no job for good.
constexpr Duration returnTime = std::chrono::hours { 1 };

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
    m_health[worker].failed(hashOf(m_jobs[index]), now);
    refreshOffer(worker);
}

void Planner::noteSuccess(const PlannerJob& job)
{
    for (const auto& share : job.place) {
        if (m_health.erase(share.worker))
            refreshOffer(share.worker);
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
            refreshOffer(worker);
    }
}

void Planner::placeProbes(TimePoint now)
{
    for (const auto& [worker, health] : m_health) {
        if (health.state() != WorkerHealth::State::probation || !inService(worker) || !m_loads[worker].jobs.empty())
            continue;
        if (!zoneAllowed(m_topology.zoneOf(worker)))
            continue;
        const auto single = std::ranges::find_if(m_queue, [&](const auto& it) {
            const auto& shape = m_jobs[it.second].shape;
            return shape.tasks == 1 && shape.perTask.fitsInto(m_topology.worker(worker).capacity);
        });
        if (single != m_queue.end())
            begin(single->second, { { worker, 1, noIndex } }, now);
    }
}

void Planner::failHopeless(TimePoint now)
{
    m_firstPlan = m_firstPlan.value_or(now);
    const auto settled = now - *m_firstPlan >= settlingTime;
    for (const auto index : settled ? std::exchange(m_unchecked, {}) : m_unchecked) {
        if (m_jobs[index].state != PlacementState::waiting)
            continue;
        const auto reason = whyHopeless(index, settled);
        if (reason.empty())
            continue;
        m_decisions.emplace_back(FailJob { m_jobs[index].id, reason });
        removeJob(index);
    }
}

void Planner::expireLost(TimePoint now)
{
    while (!m_lost.empty() && now - m_lost.front().first >= returnTime) {
        const auto worker = m_lost.front().second;
        m_lost.pop_front();
        if (m_topology.worker(worker).present || m_lostAt[worker] > now - returnTime)
            continue;
        m_capacity.set(m_topology, worker, Amount::none());
        for (const auto& [key, index] : m_queue)
            m_unchecked.insert(index);
        m_health.erase(worker);
        m_lostAt.erase(worker);
        if (m_loads[worker].jobs.empty())
            m_topology.forget(worker);
    }
}

std::string Planner::whyHopeless(Index index, bool settled) const
{
    const auto& job = m_jobs[index];
    const auto failedOn = m_failedOn.find(index);
    if (failedOn != m_failedOn.end()) {
        const auto n = std::ranges::count_if(failedOn->second, [&](Index it) {
            const auto health = m_health.find(it);
            return health == m_health.end() || health->second.runsOthersWell(hashOf(job));
        });
        if (static_cast<std::size_t>(n) >= workersToFailJob)
            return fmt::format("failed on {} different workers that run other jobs well", n);
    }
    if (!settled || !m_capacity.find(m_topology, job.shape).empty())
        return {};
    static constexpr const char* groups[] { "worker", "rack", "zone" };
    return fmt::format("{} tasks of {} cores, {} MiB and {} accelerators fit no {}, even when all are empty",
        job.shape.tasks, job.shape.perTask.cores, job.shape.perTask.memoryMiB, job.shape.perTask.accelerators,
        groups[static_cast<std::size_t>(job.shape.adjacency)]);
}

}
