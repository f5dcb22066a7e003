#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

bool Planner::isSchedulable(Index worker) const
{
    const auto health = m_health.find(worker);
    return isInService(worker) && (health == m_health.end() || health->second.state() == WorkerHealth::State::healthy);
}

bool Planner::isInService(Index worker) const
{
    const auto zone = m_topology.zoneOf(worker);
    return m_topology.worker(worker).present && zone != noIndex && !m_topology.zones()[zone].outOfService;
}

SignedResources Planner::available(Index worker) const
{
    if (!isSchedulable(worker))
        return SignedResources::unavailable();
    const auto& load = m_loads[worker];
    return m_topology.worker(worker).capacity - load.used - load.claimed;
}

SignedResources Planner::placeableCapacity(Index worker) const
{
    return zoneAllowsStarts(m_topology.zoneOf(worker)) ? m_free.capacity(worker) : SignedResources::unavailable();
}

void Planner::updateFreeCapacity(Index worker)
{
    m_loads.resize(m_topology.workers().size());
    m_free.set(m_topology, worker, available(worker));
}

void Planner::updateWorker(Index worker)
{
    updateFreeCapacity(worker);
    if (!isSchedulable(worker)) {
        for (const auto cell : m_cellAllocations.cellsOn(worker))
            unbindCell(cell);
        for (const auto job : std::vector(m_loads[worker].jobs)) {
            if (m_jobs[job].state == PlacementState::claiming)
                cancelClaim(job);
        }
    }
    m_cellAllocations.setCapacity(m_topology, worker,
        isSchedulable(worker) ? m_topology.worker(worker).capacity : SignedResources::unavailable());
    m_cellsOutdated = true;
}

void Planner::markAbsent(Index worker)
{
    m_topology.worker(worker).present = false;
    updateWorker(worker);
}

void Planner::occupy(Index index, Placement placement, PlacementState state)
{
    auto& job = m_jobs[index];
    job.placement = std::move(placement);
    job.state = state;
    m_loads.resize(m_topology.workers().size());
    for (const auto& share : job.placement) {
        auto& load = m_loads[share.worker];
        auto& account = state == PlacementState::claiming ? load.claimed : load.used;
        account += job.shape.perTask * static_cast<std::int32_t>(share.tasks);
        if (load.jobs.empty() || load.jobs.back() != index)
            load.jobs.push_back(index);
        updateFreeCapacity(share.worker);
    }
    if (state == PlacementState::claiming)
        m_claims.insert(index);
    if (!job.placement.empty() && job.placement.front().cell != noIndex)
        charge(index, job.placement);
    job.placedIndex = static_cast<Index>(m_placed[job.workspace].size());
    m_placed[job.workspace].push_back(index);
}

void Planner::vacate(Index index)
{
    demote(index);
    auto& job = m_jobs[index];
    if (job.placement.empty())
        return;
    auto& placed = m_placed[job.workspace];
    m_jobs[placed.back()].placedIndex = job.placedIndex;
    placed[job.placedIndex] = placed.back();
    placed.pop_back();
    const auto claimed = job.state == PlacementState::claiming;
    for (const auto& share : std::exchange(job.placement, {})) {
        auto& load = m_loads[share.worker];
        auto& account = claimed ? load.claimed : load.used;
        account -= job.shape.perTask * static_cast<std::int32_t>(share.tasks);
        std::erase(load.jobs, index);
        updateFreeCapacity(share.worker);
    }
    m_claims.erase(index);
}

void Planner::charge(Index index, Placement charged)
{
    auto& job = m_jobs[index];
    job.placement = std::move(charged);
    job.guaranteed = true;
    m_cellAllocations.charge(job.placement, job.shape.perTask, 1);
}

void Planner::demote(Index index)
{
    auto& job = m_jobs[index];
    if (!std::exchange(job.guaranteed, false))
        return;
    m_cellAllocations.charge(job.placement, job.shape.perTask, -1);
    job.placement = mergeByWorker(job.placement);
}

Assignment Planner::assignmentFrom(const Placement& placement) const
{
    Assignment workers;
    for (const auto& share : placement)
        workers.insert(workers.end(), share.tasks, m_topology.worker(share.worker).id);
    return workers;
}

Placement Planner::placementFrom(const Assignment& workers)
{
    Placement placement;
    for (const auto& id : workers) {
        const auto worker = m_topology.workerIndex(id);
        const auto it = std::ranges::find(placement, worker, &Share::worker);
        if (it == placement.end())
            placement.push_back({ worker, 1, noIndex });
        else
            ++it->tasks;
    }
    return placement;
}

}
