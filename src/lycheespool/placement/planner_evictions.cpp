#include "lycheespool/placement/gang_search.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lycheespool {

bool Planner::startInGuarantee(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    const auto borrowed = [](const PlannerJob& it) { return !it.guaranteed; };
    auto best = cheapestEviction(placementsInOneCell(job), job.shape.perTask, now, borrowed);
    if ((!best || !best->victims.empty()) && startByMovingCell(index, now))
        return true;
    if (best && moveCellToCheaperPlacement(*best, job.shape, now))
        best = cheapestEviction(placementsInOneCell(job), job.shape.perTask, now, borrowed);
    if (!best)
        best = cheapestEviction(placementsAcrossCells(job), job.shape.perTask, now, borrowed);
    if (!best)
        return false;
    claim(index, best->placement, best->victims,
        "capacity reclaimed by the guarantee of workspace " + m_workspaces.name(job.workspace).value(), now);
    return true;
}

bool Planner::moveCellToCheaperPlacement(const Eviction& eviction, const GangShape& inside, TimePoint now)
{
    const auto loss = lossOf(eviction.victims, now);
    const auto cell = eviction.placement.front().cell;
    if (loss <= 0 || !m_cellAllocations.movable(cell))
        return false;
    const auto capacityOf = [&](Index worker) {
        return zoneAllowsStarts(m_topology.zoneOf(worker)) ? m_cellAllocations.unreserved().capacity(worker)
                                                           : SignedResources::unavailable();
    };
    const auto& shape = m_cellAllocations.cells()[cell].shape;
    auto placements = findPlacements(m_topology, schedulableWorkers(), shape, capacityOf);
    placements.resize(std::min(placements.size(), maxPlacementsCompared));
    auto best = cheapestEviction(placements, shape.perTask, now, [](const PlannerJob& it) { return !it.guaranteed; });
    return best && lossOf(best->victims, now) < loss && moveCell(cell, std::move(best->placement), inside);
}

std::optional<Planner::Eviction> Planner::cheapestEviction(const std::vector<Placement>& placements,
    const SignedResources& perTask, TimePoint now, const CanEvict& canEvict) const
{
    std::optional<Eviction> best;
    auto lowestLoss = std::numeric_limits<double>::infinity();
    for (const auto& placement : placements) {
        auto victims = victimsFor(placement, perTask, now, canEvict);
        if (!victims || lossOf(*victims, now) >= lowestLoss)
            continue;
        lowestLoss = lossOf(*victims, now);
        best = Eviction { placement, std::move(*victims) };
    }
    return best;
}

std::optional<Planner::Victims> Planner::victimsFor(
    const Placement& placement, const SignedResources& perTask, TimePoint now, const CanEvict& canEvict) const
{
    Victims victims;
    for (const auto& [worker, tasks, cell] : mergeByWorker(placement)) {
        const auto need = perTask * static_cast<std::int32_t>(tasks);
        auto free = available(worker);
        std::vector<std::pair<double, Index>> candidates;
        for (const auto index : m_loads[worker].jobs) {
            const auto& job = m_jobs[index];
            if (job.state == PlacementState::evicting || std::ranges::find(victims, index) != victims.end())
                free += usedBy(job, worker);
            else if (canEvict(job))
                candidates.emplace_back(lossOf({ index }, now), index);
        }
        std::ranges::sort(candidates);
        for (auto it = candidates.begin(); it != candidates.end() && !need.fitsInto(free); ++it) {
            free += usedBy(m_jobs[it->second], worker);
            victims.push_back(it->second);
        }
        if (!need.fitsInto(free))
            return std::nullopt;
    }
    return victims;
}

SignedResources Planner::usedBy(const PlannerJob& job, Index worker) const
{
    SignedResources used;
    for (const auto& share : job.placement) {
        if (share.worker == worker)
            used += job.shape.perTask * static_cast<std::int32_t>(share.tasks);
    }
    return used;
}

double Planner::lossOf(const Victims& victims, TimePoint now) const
{
    double loss = 0;
    for (const auto it : victims)
        loss += m_jobs[it].state == PlacementState::claiming ? 0 : m_jobs[it].unsavedWork(now);
    return loss;
}

void Planner::claim(Index index, Placement placement, const Victims& victims, const std::string& reason, TimePoint now)
{
    for (const auto victim : victims)
        evict(victim, reason);
    dequeue(index);
    occupy(index, std::move(placement), PlacementState::claiming);
    startClaim(index, now);
}

void Planner::evict(Index index, const std::string& reason)
{
    auto& job = m_jobs[index];
    if (job.state == PlacementState::claiming) {
        cancelClaim(index);
        return;
    }
    demote(index);
    job.state = PlacementState::evicting;
    m_decisions.emplace_back(EvictGang { job.id, reason });
}

void Planner::cancelClaim(Index job)
{
    vacate(job);
    enqueue(job);
}

}
