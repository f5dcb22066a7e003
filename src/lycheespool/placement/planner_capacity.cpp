#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

bool Planner::offered(Index worker) const
{
    const auto health = m_health.find(worker);
    return inService(worker) && (health == m_health.end() || health->second.state() == WorkerHealth::State::healthy);
}

bool Planner::inService(Index worker) const
{
    const auto zone = m_topology.zoneOf(worker);
    return m_topology.worker(worker).present && zone != noIndex && !m_topology.zones()[zone].out;
}

Amount Planner::available(Index worker) const
{
    if (!offered(worker))
        return Amount::none();
    const auto& load = m_loads[worker];
    return m_topology.worker(worker).capacity - load.used - load.claimed;
}

Amount Planner::placeable(Index worker) const
{
    return zoneAllowed(m_topology.zoneOf(worker)) ? m_free.room(worker) : Amount::none();
}

void Planner::refresh(Index worker)
{
    m_loads.resize(m_topology.workers().size());
    m_free.set(m_topology, worker, available(worker));
}

void Planner::refreshOffer(Index worker)
{
    refresh(worker);
    if (!offered(worker)) {
        for (const auto cell : m_book.cellsOn(worker))
            unbindCell(cell);
        for (const auto job : std::vector(m_loads[worker].jobs)) {
            if (m_jobs[job].state == PlacementState::claiming)
                unclaim(job);
        }
    }
    m_book.offer(m_topology, worker, offered(worker) ? m_topology.worker(worker).capacity : Amount::none());
    m_unsettled = true;
}

void Planner::withdraw(Index worker)
{
    m_topology.worker(worker).present = false;
    refreshOffer(worker);
}

void Planner::occupy(Index index, Placement place, PlacementState state)
{
    auto& job = m_jobs[index];
    job.place = std::move(place);
    job.state = state;
    m_loads.resize(m_topology.workers().size());
    for (const auto& share : job.place) {
        auto& load = m_loads[share.worker];
        auto& account = state == PlacementState::claiming ? load.claimed : load.used;
        account += job.shape.perTask * static_cast<std::int32_t>(share.tasks);
        if (load.jobs.empty() || load.jobs.back() != index)
            load.jobs.push_back(index);
        refresh(share.worker);
    }
    if (state == PlacementState::claiming)
        m_claims.insert(index);
    if (!job.place.empty() && job.place.front().cell != noIndex)
        charge(index, job.place);
    job.placedAt = static_cast<Index>(m_placed[job.workspace].size());
    m_placed[job.workspace].push_back(index);
}

void Planner::vacate(Index index)
{
    demote(index);
    auto& job = m_jobs[index];
    if (job.place.empty())
        return;
    auto& placed = m_placed[job.workspace];
    m_jobs[placed.back()].placedAt = job.placedAt;
    placed[job.placedAt] = placed.back();
    placed.pop_back();
    const auto claimed = job.state == PlacementState::claiming;
    for (const auto& share : std::exchange(job.place, {})) {
        auto& load = m_loads[share.worker];
        auto& account = claimed ? load.claimed : load.used;
        account -= job.shape.perTask * static_cast<std::int32_t>(share.tasks);
        std::erase(load.jobs, index);
        refresh(share.worker);
    }
    m_claims.erase(index);
}

void Planner::charge(Index index, Placement covered)
{
    auto& job = m_jobs[index];
    job.place = std::move(covered);
    job.guaranteed = true;
    m_book.charge(job.place, job.shape.perTask, 1);
}

void Planner::demote(Index index)
{
    auto& job = m_jobs[index];
    if (!std::exchange(job.guaranteed, false))
        return;
    m_book.charge(job.place, job.shape.perTask, -1);
    job.place = withoutCells(job.place);
}

Assignment Planner::assignmentOf(const Placement& place) const
{
    Assignment workers;
    for (const auto& share : place)
        workers.insert(workers.end(), share.tasks, m_topology.worker(share.worker).id);
    return workers;
}

Placement Planner::placementOf(const Assignment& workers)
{
    Placement place;
    for (const auto& id : workers) {
        const auto worker = m_topology.workerIndex(id);
        const auto it = std::ranges::find(place, worker, &Share::worker);
        if (it == place.end())
            place.push_back({ worker, 1, noIndex });
        else
            ++it->tasks;
    }
    return place;
}

}
