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
    if (!claimIsFree(m_jobs[index]))
        return;
    auto place = m_jobs[index].place;
    vacate(index);
    begin(index, std::move(place), now);
}

bool Planner::claimIsFree(const PlannerJob& job) const
{
    return std::ranges::all_of(job.place, [&](const Share& share) {
        const auto room = m_topology.worker(share.worker).capacity - m_loads[share.worker].used;
        return zoneAllowed(m_topology.zoneOf(share.worker)) && usedBy(job, share.worker).fitsInto(room);
    });
}

void Planner::placeWaiting(TimePoint now)
{
    // A shape that found no place in this call finds none later in it, because starts only take room.
    std::set<RefusedShape> refused;
    dropStaleReservation();
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        const auto index = it->second;
        ++it;
        const auto shape = RefusedShape::of(m_jobs[index]);
        const auto holdsPlace = m_reservation.job == index;
        if ((!holdsPlace && refused.contains(shape)) || tryPlace(index, now))
            continue;
        refused.insert(shape);
        reserveFor(index, now);
    }
}

bool Planner::tryPlace(Index job, TimePoint now)
{
    return startOrReclaim(job, now) || startBorrowed(job, now) || startReserved(job, now) || preempt(job, now);
}

void Planner::begin(Index index, Placement place, TimePoint now)
{
    dequeue(index);
    occupy(index, std::move(place), PlacementState::running);
    auto& job = m_jobs[index];
    job.startedAt = now;
    job.checkpointAt = now;
    if (const auto pace = m_returns.find(m_topology.zoneOf(job.place.front().worker)); pace != m_returns.end())
        pace->second.started(now);
    m_decisions.emplace_back(StartGang { job.id, assignmentOf(job.place) });
}

std::vector<Placement> Planner::placesInOneCell(const PlannerJob& job) const
{
    std::vector<Placement> places;
    for (const auto cell : m_book.cellsOf(job.workspace)) {
        auto place = placeInside(cell, m_book.cells()[cell].place, job.shape);
        if (!place.empty())
            places.push_back(std::move(place));
    }
    const auto size = [&](const Placement& place) {
        const auto& shape = m_book.cells()[place.front().cell].shape;
        return std::tuple(std::int64_t { shape.tasks } * shape.perTask.accelerators, shape.perTask.accelerators,
            -static_cast<int>(shape.adjacency));
    };
    // Only the smallest cells, even if a larger one is free, so that larger jobs find their cells whole.
    std::ranges::sort(places, {}, [&](const Placement& it) { return std::pair(size(it), it.front().cell); });
    const auto larger
        = std::ranges::find_if(places, [&](const Placement& it) { return size(it) > size(places.front()); });
    places.erase(larger, places.end());
    return places;
}

std::vector<Placement> Planner::placesAcrossCells(const PlannerJob& job) const
{
    std::map<Index, Placement> groups;
    for (const auto cell : m_book.cellsOf(job.workspace)) {
        for (const auto& share : m_book.cells()[cell].place) {
            if (!zoneAllowed(m_topology.zoneOf(share.worker)))
                continue;
            const auto tasks = m_book.spare(cell, share.worker).tasks(job.shape.perTask, offerLimit);
            if (tasks > 0)
                groups[groupOf(m_topology, share.worker, job.shape.adjacency)].push_back({ share.worker, tasks, cell });
        }
    }
    std::vector<Placement> places;
    for (auto& [key, offers] : groups) {
        auto place = packTightly(std::move(offers), job.shape.tasks);
        if (!place.empty())
            places.push_back(std::move(place));
    }
    return places;
}

bool Planner::startByMovingCell(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    std::vector<GangShape> tried;
    for (const auto cellIndex : m_book.cellsOf(job.workspace)) {
        const auto& cell = m_book.cells()[cellIndex];
        const auto& shape = cell.shape;
        if (shape.tasks < job.shape.tasks || !job.shape.perTask.fitsInto(shape.perTask) || !m_book.movable(cellIndex))
            continue;
        if (std::ranges::find(tried, shape) != tried.end())
            continue;
        tried.push_back(shape);
        const auto room = [&](Index worker) {
            const auto kept = m_reservation.job != index && reserved(worker);
            return kept ? Amount::none() : least(m_book.unreserved().room(worker), placeable(worker));
        };
        auto target = m_free.find(
            m_topology, shape, [&](Index zone) { return zoneAllowed(zone); }, room);
        if (target.empty() || !moveCell(cellIndex, std::move(target), job.shape))
            continue;
        begin(index, placeInside(cellIndex, cell.place, job.shape), now);
        return true;
    }
    return false;
}

bool Planner::moveCell(Index cell, Placement target, const GangShape& inside)
{
    const auto before = m_book.cells()[cell].place;
    m_book.unbind(m_topology, cell);
    m_book.bind(m_topology, cell, std::move(target));
    if (!placeInside(cell, m_book.cells()[cell].place, inside).empty())
        return true;
    m_book.unbind(m_topology, cell);
    m_book.bind(m_topology, cell, before);
    return false;
}

Placement Planner::placeInside(Index cell, const Placement& target, const GangShape& shape) const
{
    std::vector<Index> workers;
    for (const auto& share : target)
        workers.push_back(share.worker);
    const auto room = [&](Index worker) {
        return zoneAllowed(m_topology.zoneOf(worker)) ? m_book.spare(cell, worker) : Amount::none();
    };
    auto places = placesAmong(m_topology, workers, shape, room);
    if (places.empty())
        return {};
    for (auto& share : places.front())
        share.cell = cell;
    return std::move(places.front());
}

bool Planner::startBorrowed(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    auto place = m_free.find(
        m_topology, job.shape, [&](Index zone) { return zoneAllowed(zone); },
        [&](Index worker) { return keptFree(worker, index, now) ? Amount::none() : m_free.room(worker); });
    if (place.empty())
        return false;
    m_jobs[index].backfilled = std::ranges::any_of(place, [&](const Share& it) { return reserved(it.worker); });
    begin(index, std::move(place), now);
    return true;
}

}
