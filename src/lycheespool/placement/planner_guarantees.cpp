#include "lycheespool/placement/gang_search.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

void Planner::settle()
{
    if (!std::exchange(m_unsettled, false))
        return;
    bindMissing();
    if (!m_book.missing().empty())
        rebind();
}

void Planner::bindMissing()
{
    for (const auto index : m_book.missing()) {
        const auto& cell = m_book.cells()[index];
        auto place = coveringPlace(cell);
        if (place.empty())
            place = spaceFor(cell.shape);
        if (place.empty())
            continue;
        m_book.bind(m_topology, index, std::move(place));
        chargePlaced(cell.workspace);
    }
}

void Planner::rebind()
{
    // Moving cells in use turns their work into borrowed work, so this is tried last.
    for (const auto onlyIdle : { true, false }) {
        auto trial = rearranged(onlyIdle);
        if (trial.missing().size() < m_book.missing().size())
            replaceBook(std::move(trial));
        if (m_book.missing().empty())
            return;
    }
}

CellBook Planner::rearranged(bool onlyIdle) const
{
    auto trial = m_book;
    for (Index it = 0; it < trial.cells().size(); ++it) {
        if (!onlyIdle || trial.movable(it))
            trial.unbind(m_topology, it);
    }
    for (const auto index : trial.missing()) {
        auto place = trial.unreserved().find(m_topology, trial.cells()[index].shape);
        if (!place.empty())
            trial.bind(m_topology, index, std::move(place));
    }
    trial.dischargeAll();
    return trial;
}

void Planner::replaceBook(CellBook book)
{
    // Cells that kept their places keep the work charged to them; chargePlaced() finds it there.
    for (Index cell = 0; cell < m_book.cells().size(); ++cell)
        demoteCharged(cell);
    m_book = std::move(book);
    for (Index workspace = 0; workspace < m_workspaces.size(); ++workspace)
        chargePlaced(workspace);
}

void Planner::unbindCell(Index cell)
{
    demoteCharged(cell);
    m_book.unbind(m_topology, cell);
    m_unsettled = true;
}

void Planner::demoteCharged(Index cell)
{
    if (m_book.cells()[cell].charged == 0)
        return;
    std::vector<Index> workers;
    for (const auto& share : m_book.cells()[cell].place)
        workers.push_back(share.worker);
    for (const auto job : placedJobsOf(m_book.cells()[cell].workspace, workers)) {
        if (std::ranges::find(m_jobs[job].place, cell, &Share::cell) != m_jobs[job].place.end())
            demote(job);
    }
}

void Planner::chargePlaced(Index workspace)
{
    if (m_book.cellsOf(workspace).empty())
        return;
    for (const auto index : placedJobsOf(workspace, m_book.workersOf(workspace))) {
        const auto& job = m_jobs[index];
        if (job.guaranteed || job.state == PlacementState::evicting)
            continue;
        auto covered = m_book.cover(workspace, job.place, job.shape.perTask);
        if (!covered.empty())
            charge(index, std::move(covered));
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
    // By id, so that the result does not depend on the order of adoption.
    std::ranges::sort(found, {}, [&](Index it) -> const JobId& { return m_jobs[it].id; });
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

Placement Planner::coveringPlace(const CellBook::Cell& cell) const
{
    const PlannerJob* chosen = nullptr;
    for (const auto index : m_placed[cell.workspace]) {
        const auto& job = m_jobs[index];
        // The smallest id, so that the result does not depend on the order of adoption.
        if (couldCover(cell.shape, job) && (!chosen || job.id < chosen->id))
            chosen = &job;
    }
    return chosen ? chosen->place : Placement {};
}

bool Planner::couldCover(const GangShape& shape, const PlannerJob& job) const
{
    if (job.state != PlacementState::running || job.guaranteed || job.shape.tasks != shape.tasks)
        return false;
    if (!job.shape.perTask.fitsInto(shape.perTask) || job.shape.adjacency > shape.adjacency)
        return false;
    return std::ranges::all_of(job.place, [&](const Share& share) {
        return m_book.unreserved().room(share.worker).tasks(shape.perTask, share.tasks) == share.tasks;
    });
}

Placement Planner::spaceFor(const GangShape& shape) const
{
    // Free room is searched by its own index, which refuses at once when little is free.
    const auto& unreserved = m_book.unreserved();
    const auto any = [](Index) { return true; };
    const auto freeRoom = [&](Index worker) { return least(unreserved.room(worker), m_free.room(worker)); };
    auto place = m_free.find(m_topology, shape, any, freeRoom);
    return place.empty() ? unreserved.find(m_topology, shape) : place;
}

}
