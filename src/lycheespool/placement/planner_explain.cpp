#include "lycheespool/placement/planner.h"

#include "lycheespool/placement/fragmentation.h"

#include <algorithm>

namespace lycheespool {

std::optional<Explanation> Planner::explain(const JobId& id, TimePoint now) const
{
    const auto index = findJob(id);
    if (index == noIndex)
        return std::nullopt;
    const auto& job = m_jobs[index];
    Explanation found { job.state, {}, {}, 0, {} };
    if (job.state == PlacementState::waiting)
        explainWaiting(index, now, found);
    if (job.state == PlacementState::running)
        found.reason = job.guaranteed ? "runs inside the guarantee of its workspace" : "runs as borrowed work";
    if (job.state == PlacementState::evicting)
        found.reason = "is being evicted and returns to the queue";
    if (job.state == PlacementState::claiming) {
        found.reason = "has a placement and waits until the gangs evicted from its workers have stopped";
        for (const auto& share : job.placement)
            addEvictingJobs(share.worker, found.victims);
    }
    return found;
}

void Planner::explainWaiting(Index index, TimePoint now, Explanation& found) const
{
    const auto& job = m_jobs[index];
    auto placements = placementsInOneCell(job);
    if (placements.empty())
        placements = placementsAcrossCells(job);
    const auto best
        = cheapestEviction(placements, job.shape.perTask, now, [](const PlannerJob& it) { return !it.guaranteed; });
    if (m_reservation.job == index)
        found.reservedStart = m_reservation.estimatedStart;
    if (!best) {
        found.reason = m_cellAllocations.cellsOf(job.workspace).empty()
            ? "its workspace has no guarantee, and the free capacity cannot hold the whole gang"
            : "no unused part of its workspace's guarantee can hold it, and the free capacity cannot hold the whole "
              "gang";
        return;
    }
    found.reason = "fits into the guarantee of its workspace and starts with the next plan";
    found.loss = lossOf(best->victims, now);
    for (const auto victim : best->victims)
        found.victims.push_back(m_jobs[victim].id);
}

void Planner::addEvictingJobs(Index worker, std::vector<JobId>& names) const
{
    for (const auto other : m_loads[worker].jobs) {
        const auto& id = m_jobs[other].id;
        if (m_jobs[other].state == PlacementState::evicting && std::ranges::find(names, id) == names.end())
            names.push_back(id);
    }
}

double Planner::fragmentation() const
{
    std::vector<WorkerFreeCapacity> workers;
    for (const auto worker : schedulableWorkers())
        workers.push_back({ m_topology.zoneOf(worker), m_topology.worker(worker).rack, available(worker) });
    std::vector<GangShape> shapes;
    const auto add = [&](const GangShape& shape) {
        if (std::ranges::find(shapes, shape) == shapes.end())
            shapes.push_back(shape);
    };
    for (const auto& cell : m_cellAllocations.cells())
        add(cell.shape);
    for (const auto& [key, index] : m_queue)
        add(m_jobs[index].shape);
    return lycheespool::fragmentation(workers, shapes);
}

}
