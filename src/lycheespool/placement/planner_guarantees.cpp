#include "lycheespool/placement/gang_search.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

void Planner::remapCells()
{
    if (!std::exchange(m_cellsOutdated, false))
        return;
    bindUnplacedCells();
    if (!m_cellAllocations.unplacedCells().empty())
        rearrangeCells();
}

void Planner::bindUnplacedCells()
{
    for (const auto index : m_cellAllocations.unplacedCells()) {
        const auto& cell = m_cellAllocations.cells()[index];
        auto placement = placementOfMatchingJob(cell);
        if (placement.empty())
            placement = findUnreserved(cell.shape);
        if (placement.empty())
            continue;
        m_cellAllocations.bind(m_topology, index, std::move(placement));
        chargePlacedJobs(cell.workspace);
    }
}

void Planner::rearrangeCells()
{
    // Moving cells in use turns their work into borrowed work, so idle cells are tried first.
    for (const auto onlyIdle : { true, false }) {
        auto trial = rearranged(onlyIdle);
        if (trial.unplacedCells().size() < m_cellAllocations.unplacedCells().size())
            replaceCellAllocations(std::move(trial));
        if (m_cellAllocations.unplacedCells().empty())
            return;
    }
}

CellAllocations Planner::rearranged(bool onlyIdle) const
{
    auto trial = m_cellAllocations;
    for (Index it = 0; it < trial.cells().size(); ++it) {
        if (!onlyIdle || trial.movable(it))
            trial.unbind(m_topology, it);
    }
    for (const auto index : trial.unplacedCells()) {
        auto placement = trial.unreserved().find(m_topology, trial.cells()[index].shape);
        if (!placement.empty())
            trial.bind(m_topology, index, std::move(placement));
    }
    trial.dischargeAll();
    return trial;
}

void Planner::replaceCellAllocations(CellAllocations allocations)
{
    // Cells that keep their placement also keep their work: chargePlacedJobs() charges it again.
    for (Index cell = 0; cell < m_cellAllocations.cells().size(); ++cell)
        demoteJobsIn(cell);
    m_cellAllocations = std::move(allocations);
    for (Index workspace = 0; workspace < m_workspaces.size(); ++workspace)
        chargePlacedJobs(workspace);
}

void Planner::unbindCell(Index cell)
{
    demoteJobsIn(cell);
    m_cellAllocations.unbind(m_topology, cell);
    m_cellsOutdated = true;
}

void Planner::demoteJobsIn(Index cell)
{
    if (m_cellAllocations.cells()[cell].charged == 0)
        return;
    std::vector<Index> workers;
    for (const auto& share : m_cellAllocations.cells()[cell].placement)
        workers.push_back(share.worker);
    for (const auto job : placedJobsOf(m_cellAllocations.cells()[cell].workspace, workers)) {
        if (std::ranges::find(m_jobs[job].placement, cell, &Share::cell) != m_jobs[job].placement.end())
            demote(job);
    }
}

void Planner::chargePlacedJobs(Index workspace)
{
    if (m_cellAllocations.cellsOf(workspace).empty())
        return;
    for (const auto index : placedJobsOf(workspace, m_cellAllocations.workersOf(workspace))) {
        const auto& job = m_jobs[index];
        if (job.guaranteed || job.state == PlacementState::evicting)
            continue;
        auto charged = m_cellAllocations.assignCells(workspace, job.placement, job.shape.perTask);
        if (!charged.empty())
            charge(index, std::move(charged));
    }
}

std::vector<Index> Planner::placedJobsOf(Index workspace, const std::vector<Index>& workers) const
{
    std::vector<Index> found;
    for (const auto worker : workers) {
        for (const auto job : m_loads[worker].jobs) {
            if (m_jobs[job].workspace == workspace)
                found.push_back(job);
        }
    }
    // Sorted by id, so that the result does not depend on the order of adoption.
    std::ranges::sort(found, {}, [&](Index it) -> const JobId& { return m_jobs[it].id; });
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

Placement Planner::placementOfMatchingJob(const CellAllocations::Cell& cell) const
{
    const PlannerJob* chosen = nullptr;
    for (const auto index : m_placed[cell.workspace]) {
        const auto& job = m_jobs[index];
        // Takes the smallest id, so that the result does not depend on the order of adoption.
        if (cellCanHold(cell.shape, job) && (!chosen || job.id < chosen->id))
            chosen = &job;
    }
    return chosen ? chosen->placement : Placement {};
}

bool Planner::cellCanHold(const GangShape& shape, const PlannerJob& job) const
{
    if (job.state != PlacementState::running || job.guaranteed || job.shape.tasks != shape.tasks)
        return false;
    if (!job.shape.perTask.fitsInto(shape.perTask) || job.shape.adjacency > shape.adjacency)
        return false;
    return std::ranges::all_of(job.placement, [&](const Share& share) {
        return m_cellAllocations.unreserved().capacity(share.worker).countTasks(shape.perTask, share.tasks)
            == share.tasks;
    });
}

Placement Planner::findUnreserved(const GangShape& shape) const
{
    // Searches the index of free capacity first, because it rejects a shape quickly when little is free.
    const auto& unreserved = m_cellAllocations.unreserved();
    const auto any = [](Index) { return true; };
    const auto capacityOf
        = [&](Index worker) { return componentMin(unreserved.capacity(worker), m_free.capacity(worker)); };
    auto placement = m_free.find(m_topology, shape, any, capacityOf);
    return placement.empty() ? unreserved.find(m_topology, shape) : placement;
}

}
