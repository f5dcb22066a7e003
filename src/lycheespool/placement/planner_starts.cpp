#include "lycheespool/placement/gang_search.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace lycheespool {

void Planner::startClaims(TimePoint now)
{
    for (const auto index : std::vector(m_claims.begin(), m_claims.end()))
        startClaim(index, now);
}

void Planner::startClaim(Index index, TimePoint now)
{
    if (!claimCanStart(m_jobs[index]))
        return;
    auto placement = m_jobs[index].placement;
    vacate(index);
    startJob(index, std::move(placement), now);
}

bool Planner::claimCanStart(const PlannerJob& job) const
{
    return std::ranges::all_of(job.placement, [&](const Share& share) {
        const auto free = m_topology.worker(share.worker).capacity - m_loads[share.worker].used;
        return zoneAllowsStarts(m_topology.zoneOf(share.worker)) && usedBy(job, share.worker).fitsInto(free);
    });
}

void Planner::placeWaiting(TimePoint now)
{
    // A shape that does not fit is not tried again in this call, because starts only reduce the free capacity.
    std::set<RefusedShape> refused;
    dropStaleReservation();
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        const auto index = it->second;
        ++it;
        const auto shape = RefusedShape::of(m_jobs[index]);
        const auto hasReservation = m_reservation.job == index;
        if ((!hasReservation && refused.contains(shape)) || tryPlace(index, now))
            continue;
        refused.insert(shape);
        reserveFor(index, now);
    }
}

bool Planner::tryPlace(Index job, TimePoint now)
{
    return startInGuarantee(job, now) || startBorrowed(job, now) || startReserved(job, now) || preempt(job, now);
}

void Planner::startJob(Index index, Placement placement, TimePoint now)
{
    dequeue(index);
    occupy(index, std::move(placement), PlacementState::running);
    auto& job = m_jobs[index];
    job.startedAt = now;
    job.checkpointAt = now;
    if (const auto limiter = m_startLimiters.find(m_topology.zoneOf(job.placement.front().worker));
        limiter != m_startLimiters.end())
        limiter->second.recordStart(now);
    m_decisions.emplace_back(StartGang { job.id, assignmentFrom(job.placement) });
}

std::vector<Placement> Planner::placementsInOneCell(const PlannerJob& job) const
{
    std::vector<Placement> placements;
    for (const auto cell : m_cellAllocations.cellsOf(job.workspace)) {
        auto placement = placementInside(cell, m_cellAllocations.cells()[cell].placement, job.shape);
        if (!placement.empty())
            placements.push_back(std::move(placement));
    }
    const auto size = [&](const Placement& placement) {
        const auto& shape = m_cellAllocations.cells()[placement.front().cell].shape;
        return std::tuple(std::int64_t { shape.tasks } * shape.perTask.accelerators, shape.perTask.accelerators,
            -static_cast<int>(shape.adjacency));
    };
    // Uses only the smallest cells, even if a larger one is free, so that larger cells stay whole for larger jobs.
    std::ranges::sort(placements, {}, [&](const Placement& it) { return std::pair(size(it), it.front().cell); });
    const auto larger
        = std::ranges::find_if(placements, [&](const Placement& it) { return size(it) > size(placements.front()); });
    placements.erase(larger, placements.end());
    return placements;
}

std::vector<Placement> Planner::placementsAcrossCells(const PlannerJob& job) const
{
    std::map<Index, Placement> groups;
    for (const auto cell : m_cellAllocations.cellsOf(job.workspace)) {
        for (const auto& share : m_cellAllocations.cells()[cell].placement) {
            if (!zoneAllowsStarts(m_topology.zoneOf(share.worker)))
                continue;
            const auto tasks
                = m_cellAllocations.uncharged(cell, share.worker).countTasks(job.shape.perTask, maxOfferTasks);
            if (tasks > 0)
                groups[adjacencyGroup(m_topology, share.worker, job.shape.adjacency)].push_back(
                    { share.worker, tasks, cell });
        }
    }
    std::vector<Placement> placements;
    for (auto& [key, offers] : groups) {
        auto placement = packBestFit(std::move(offers), job.shape.tasks);
        if (!placement.empty())
            placements.push_back(std::move(placement));
    }
    return placements;
}

bool Planner::startByMovingCell(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    std::vector<GangShape> tried;
    for (const auto cellIndex : m_cellAllocations.cellsOf(job.workspace)) {
        const auto& cell = m_cellAllocations.cells()[cellIndex];
        const auto& shape = cell.shape;
        if (shape.tasks < job.shape.tasks || !job.shape.perTask.fitsInto(shape.perTask)
            || !m_cellAllocations.movable(cellIndex))
            continue;
        if (std::ranges::find(tried, shape) != tried.end())
            continue;
        tried.push_back(shape);
        const auto capacityOf = [&](Index worker) {
            const auto blocked = m_reservation.job != index && reserved(worker);
            return blocked ? SignedResources::unavailable()
                           : componentMin(m_cellAllocations.unreserved().capacity(worker), placeableCapacity(worker));
        };
        auto target = m_free.find(
            m_topology, shape, [&](Index zone) { return zoneAllowsStarts(zone); }, capacityOf);
        if (target.empty() || !moveCell(cellIndex, std::move(target), job.shape))
            continue;
        startJob(index, placementInside(cellIndex, cell.placement, job.shape), now);
        return true;
    }
    return false;
}

bool Planner::moveCell(Index cell, Placement target, const GangShape& inside)
{
    const auto before = m_cellAllocations.cells()[cell].placement;
    m_cellAllocations.unbind(m_topology, cell);
    m_cellAllocations.bind(m_topology, cell, std::move(target));
    if (!placementInside(cell, m_cellAllocations.cells()[cell].placement, inside).empty())
        return true;
    m_cellAllocations.unbind(m_topology, cell);
    m_cellAllocations.bind(m_topology, cell, before);
    return false;
}

Placement Planner::placementInside(Index cell, const Placement& target, const GangShape& shape) const
{
    std::vector<Index> workers;
    for (const auto& share : target)
        workers.push_back(share.worker);
    const auto capacityOf = [&](Index worker) {
        return zoneAllowsStarts(m_topology.zoneOf(worker)) ? m_cellAllocations.uncharged(cell, worker)
                                                           : SignedResources::unavailable();
    };
    auto placements = findPlacements(m_topology, workers, shape, capacityOf);
    if (placements.empty())
        return {};
    for (auto& share : placements.front())
        share.cell = cell;
    return std::move(placements.front());
}

bool Planner::startBorrowed(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    auto placement = m_free.find(
        m_topology, job.shape, [&](Index zone) { return zoneAllowsStarts(zone); },
        [&](Index worker) {
            return blockedByReservation(worker, index, now) ? SignedResources::unavailable() : m_free.capacity(worker);
        });
    if (placement.empty())
        return false;
    m_jobs[index].backfilled = std::ranges::any_of(placement, [&](const Share& it) { return reserved(it.worker); });
    startJob(index, std::move(placement), now);
    return true;
}

}
