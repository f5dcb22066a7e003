#include "lycheespool/placement/gang_search.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lycheespool {

bool Planner::startOrReclaim(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    const auto borrowed = [](const PlannerJob& it) { return !it.guaranteed; };
    auto best = cheapest(placesInOneCell(job), job.shape.perTask, now, borrowed);
    if ((!best || !best->victims.empty()) && startByMovingCell(index, now))
        return true;
    if (best && moveToCheaperPlace(*best, job.shape, now))
        best = cheapest(placesInOneCell(job), job.shape.perTask, now, borrowed);
    if (!best)
        best = cheapest(placesAcrossCells(job), job.shape.perTask, now, borrowed);
    if (!best)
        return false;
    claim(index, best->place, best->victims,
        "capacity reclaimed by the guarantee of workspace " + m_workspaces.name(job.workspace).value(), now);
    return true;
}

bool Planner::moveToCheaperPlace(const Eviction& eviction, const GangShape& inside, TimePoint now)
{
    const auto loss = lossOf(eviction.victims, now);
    const auto cell = eviction.place.front().cell;
    if (loss <= 0 || !m_book.movable(cell))
        return false;
    const auto room = [&](Index worker) {
        return zoneAllowed(m_topology.zoneOf(worker)) ? m_book.unreserved().room(worker) : Amount::none();
    };
    const auto& shape = m_book.cells()[cell].shape;
    auto places = placesAmong(m_topology, allWorkers(), shape, room);
    places.resize(std::min(places.size(), maxPlacesCompared));
    auto best = cheapest(places, shape.perTask, now, [](const PlannerJob& it) { return !it.guaranteed; });
    return best && lossOf(best->victims, now) < loss && moveCell(cell, std::move(best->place), inside);
}

std::optional<Planner::Eviction> Planner::cheapest(
    const std::vector<Placement>& places, const Amount& perTask, TimePoint now, const CanEvict& canEvict) const
{
    std::optional<Eviction> best;
    auto least = std::numeric_limits<double>::infinity();
    for (const auto& place : places) {
        auto victims = victimsFor(place, perTask, now, canEvict);
        if (!victims || lossOf(*victims, now) >= least)
            continue;
        least = lossOf(*victims, now);
        best = Eviction { place, std::move(*victims) };
    }
    return best;
}

std::optional<Planner::Victims> Planner::victimsFor(
    const Placement& place, const Amount& perTask, TimePoint now, const CanEvict& canEvict) const
{
    Victims victims;
    for (const auto& [worker, tasks, cell] : withoutCells(place)) {
        const auto need = perTask * static_cast<std::int32_t>(tasks);
        auto room = available(worker);
        std::vector<std::pair<double, Index>> candidates;
        for (const auto index : m_loads[worker].jobs) {
            const auto& job = m_jobs[index];
            if (job.state == PlacementState::evicting || std::ranges::find(victims, index) != victims.end())
                room += usedBy(job, worker);
            else if (canEvict(job))
                candidates.emplace_back(lossOf({ index }, now), index);
        }
        std::ranges::sort(candidates);
        for (auto it = candidates.begin(); it != candidates.end() && !need.fitsInto(room); ++it) {
            room += usedBy(m_jobs[it->second], worker);
            victims.push_back(it->second);
        }
        if (!need.fitsInto(room))
            return std::nullopt;
    }
    return victims;
}

Amount Planner::usedBy(const PlannerJob& job, Index worker) const
{
    Amount used;
    for (const auto& share : job.place) {
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

void Planner::claim(Index index, Placement place, const Victims& victims, const std::string& reason, TimePoint now)
{
    for (const auto victim : victims)
        evict(victim, reason);
    dequeue(index);
    occupy(index, std::move(place), PlacementState::claiming);
    startClaim(index, now);
}

void Planner::evict(Index index, const std::string& reason)
{
    auto& job = m_jobs[index];
    if (job.state == PlacementState::claiming) {
        unclaim(index);
        return;
    }
    demote(index);
    job.state = PlacementState::evicting;
    m_decisions.emplace_back(EvictGang { job.id, reason });
}

void Planner::unclaim(Index job)
{
    vacate(job);
    enqueue(job);
}

}
