#include "lycheespool/placement/gang_search.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace lycheespool {

namespace {

// A run that exceeds its estimate is expected to last this much of its elapsed time longer.
constexpr int overrunDivisor = 2;

// A reservation looks at all running gangs, which takes milliseconds at target size.
constexpr Duration reservationPeriod = std::chrono::seconds { 1 };

}

bool Planner::startReserved(Index index, TimePoint now)
{
    if (m_reservation.job != index)
        return false;
    const auto& job = m_jobs[index];
    const auto aged = now - job.waitingFrom >= agingLimit;
    const auto canEvict = [&](const PlannerJob& it) {
        const auto overstays = it.backfilled && now >= m_reservation.at;
        const auto yields = aged && it.urgency != Urgency::urgent && now - it.startedAt >= minimumRun;
        return !it.guaranteed && it.state == PlacementState::running && (overstays || yields);
    };
    const auto best = cheapest({ m_reservation.place }, job.shape.perTask, now, canEvict);
    if (!best)
        return false;
    claim(index, best->place, best->victims, "a larger job has waited for this place", now);
    return true;
}

bool Planner::preempt(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    const auto urgent = job.urgency == Urgency::urgent;
    if (!urgent && now - job.waitingFrom < agingLimit)
        return false;
    const auto canEvict = [&](const PlannerJob& it) {
        const auto borrowed = !it.guaranteed && it.state == PlacementState::running && it.urgency != Urgency::urgent;
        return borrowed && (urgent || now - it.startedAt >= minimumRun);
    };
    const auto room = [&](Index worker) {
        auto sum = offered(worker) && zoneAllowed(m_topology.zoneOf(worker)) ? available(worker) : Amount::none();
        for (const auto other : m_loads[worker].jobs) {
            if (sum != Amount::none() && canEvict(m_jobs[other]))
                sum += usedBy(m_jobs[other], worker);
        }
        return sum;
    };
    auto places = placesAmong(m_topology, allWorkers(), job.shape, room);
    places.resize(std::min(places.size(), maxPlacesCompared));
    const auto best = cheapest(places, job.shape.perTask, now, canEvict);
    if (!best)
        return false;
    claim(index, best->place, best->victims,
        urgent ? "an urgent job needs this place" : "a job has waited for this place", now);
    return true;
}

std::vector<Index> Planner::allWorkers() const
{
    std::vector<Index> workers(m_topology.workers().size());
    std::iota(workers.begin(), workers.end(), Index { 0 });
    std::erase_if(workers, [&](Index it) { return !offered(it); });
    return workers;
}

void Planner::reserveFor(Index index, TimePoint now)
{
    if (m_reservation.job != noIndex || m_jobs[index].state != PlacementState::waiting)
        return;
    if (m_reservationTriedAt && now - *m_reservationTriedAt < reservationPeriod)
        return;
    m_reservationTriedAt = now;
    // Others' cells are avoided where possible, because work inside a guarantee may keep them in use for ever.
    m_reservation = findReservation(index, now, true);
    if (m_reservation.job == noIndex)
        m_reservation = findReservation(index, now, false);
}

Reservation Planner::findReservation(Index index, TimePoint now, bool avoidCells) const
{
    const auto& shape = m_jobs[index].shape;
    std::vector<Amount> rooms(m_topology.workers().size(), Amount::none());
    for (const auto worker : allWorkers())
        rooms[worker] = available(worker);
    const auto roomOf = [&](Index worker) {
        return avoidCells ? least(rooms[worker], m_book.unreserved().room(worker)) : rooms[worker];
    };
    for (const auto& [end, ending] : endsOfRuns(now)) {
        const auto& job = m_jobs[ending];
        for (const auto& share : job.place) {
            if (rooms[share.worker] != Amount::none())
                rooms[share.worker] += job.shape.perTask * static_cast<std::int32_t>(share.tasks);
        }
        auto places = placesAmong(m_topology, workersNear(job.place, shape.adjacency), shape, roomOf);
        if (!places.empty())
            return { index, std::move(places.front()), end };
    }
    return {};
}

std::vector<std::pair<TimePoint, Index>> Planner::endsOfRuns(TimePoint now) const
{
    std::vector<std::pair<TimePoint, Index>> ends;
    for (const auto& placed : m_placed) {
        for (const auto index : placed) {
            const auto& job = m_jobs[index];
            const auto elapsed = now - job.startedAt;
            const auto left = std::max<Duration>(estimate(job) - elapsed, elapsed / overrunDivisor);
            if (job.state != PlacementState::claiming)
                ends.emplace_back(job.state == PlacementState::evicting ? now : now + left, index);
        }
    }
    std::ranges::sort(ends);
    return ends;
}

std::vector<Index> Planner::workersNear(const Placement& place, Adjacency adjacency) const
{
    std::vector<Index> workers;
    for (const auto& share : place) {
        const auto rack = m_topology.worker(share.worker).rack;
        if (rack == noIndex)
            continue;
        if (adjacency == Adjacency::worker)
            workers.push_back(share.worker);
        if (adjacency == Adjacency::rack)
            std::ranges::copy(m_topology.racks()[rack].workers, std::back_inserter(workers));
    }
    if (adjacency == Adjacency::zone && !place.empty() && m_topology.zoneOf(place.front().worker) != noIndex) {
        for (const auto rack : m_topology.zones()[m_topology.zoneOf(place.front().worker)].racks)
            std::ranges::copy(m_topology.racks()[rack].workers, std::back_inserter(workers));
    }
    std::ranges::sort(workers);
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    return workers;
}

void Planner::dropStaleReservation()
{
    if (m_reservation.job == noIndex)
        return;
    const auto usable = [&](const Share& share) { return offered(share.worker); };
    if (m_jobs[m_reservation.job].state != PlacementState::waiting || !std::ranges::all_of(m_reservation.place, usable))
        m_reservation = {};
}

bool Planner::keptFree(Index worker, Index index, TimePoint now) const
{
    if (m_reservation.job == noIndex || m_reservation.job == index || !reserved(worker))
        return false;
    return now + estimate(m_jobs[index]) > m_reservation.at;
}

bool Planner::reserved(Index worker) const
{
    return std::ranges::find(m_reservation.place, worker, &Share::worker) != m_reservation.place.end();
}

Duration Planner::estimate(const PlannerJob& job) const
{
    return m_estimates.estimate(job.workspace, job.kind, job.declaredRunTime);
}

}
