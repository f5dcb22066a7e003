#include "lycheespool/placement/gang_search.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace lycheespool {

namespace {

// A run that exceeds its estimate is expected to continue for its elapsed time divided by this.
constexpr int overrunDivisor = 2;

// The search for a reservation scans all running gangs, which takes milliseconds at the target cluster size.
constexpr Duration reservationPeriod = std::chrono::seconds { 1 };

}

bool Planner::startReserved(Index index, TimePoint now)
{
    if (m_reservation.job != index)
        return false;
    const auto& job = m_jobs[index];
    const auto aged = now - job.waitingSince >= agingLimit;
    const auto canEvict = [&](const PlannerJob& it) {
        const auto preemptible = aged && it.urgency != Urgency::urgent && now - it.startedAt >= minimumRun;
        return !it.guaranteed && it.state == PlacementState::running && (it.backfilled || preemptible);
    };
    const auto best = cheapestEviction({ m_reservation.placement }, job.shape.perTask, now, canEvict);
    if (!best)
        return false;
    claim(index, best->placement, best->victims, "a job with a reservation needs this capacity", now);
    return true;
}

bool Planner::preempt(Index index, TimePoint now)
{
    const auto& job = m_jobs[index];
    const auto urgent = job.urgency == Urgency::urgent;
    if (!urgent && now - job.waitingSince < agingLimit)
        return false;
    const auto canEvict = [&](const PlannerJob& it) {
        const auto borrowed = !it.guaranteed && it.state == PlacementState::running && it.urgency != Urgency::urgent;
        return borrowed && (urgent || now - it.startedAt >= minimumRun);
    };
    const auto capacityOf = [&](Index worker) {
        auto capacity = isSchedulable(worker) && zoneAllowsStarts(m_topology.zoneOf(worker))
            ? available(worker)
            : SignedResources::unavailable();
        for (const auto other : m_loads[worker].jobs) {
            if (capacity != SignedResources::unavailable() && canEvict(m_jobs[other]))
                capacity += usedBy(m_jobs[other], worker);
        }
        return capacity;
    };
    auto placements = findPlacements(m_topology, schedulableWorkers(), job.shape, capacityOf);
    placements.resize(std::min(placements.size(), maxPlacementsCompared));
    const auto best = cheapestEviction(placements, job.shape.perTask, now, canEvict);
    if (!best)
        return false;
    claim(index, best->placement, best->victims,
        urgent ? "an urgent job needs this capacity"
               : "a job that has waited beyond the aging limit needs this capacity",
        now);
    return true;
}

std::vector<Index> Planner::schedulableWorkers() const
{
    std::vector<Index> workers(m_topology.workers().size());
    std::iota(workers.begin(), workers.end(), Index { 0 });
    std::erase_if(workers, [&](Index it) { return !isSchedulable(it); });
    return workers;
}

void Planner::reserveFor(Index index, TimePoint now)
{
    // The runs that the reserved start waits for have exceeded their estimates.
    const auto isOverdue = m_reservation.job == index && now >= m_reservation.estimatedStart;
    if ((m_reservation.job != noIndex && !isOverdue) || m_jobs[index].state != PlacementState::waiting)
        return;
    if (m_reservationTriedAt && now - *m_reservationTriedAt < reservationPeriod)
        return;
    m_reservationTriedAt = now;
    // Avoids the capacity of guaranteed cells where possible, because guaranteed work may occupy it indefinitely.
    auto reservation = findReservation(index, now, true);
    if (reservation.job == noIndex)
        reservation = findReservation(index, now, false);
    if (reservation.job != noIndex)
        m_reservation = std::move(reservation);
}

Reservation Planner::findReservation(Index index, TimePoint now, bool avoidCells) const
{
    const auto& shape = m_jobs[index].shape;
    std::vector<SignedResources> capacities(m_topology.workers().size(), SignedResources::unavailable());
    for (const auto worker : schedulableWorkers())
        capacities[worker] = available(worker);
    const auto capacityOf = [&](Index worker) {
        return avoidCells ? componentMin(capacities[worker], m_cellAllocations.unreserved().capacity(worker))
                          : capacities[worker];
    };
    for (const auto& [end, ending] : estimatedEnds(now)) {
        const auto& job = m_jobs[ending];
        for (const auto& share : job.placement) {
            if (capacities[share.worker] != SignedResources::unavailable())
                capacities[share.worker] += job.shape.perTask * static_cast<std::int32_t>(share.tasks);
        }
        auto placements
            = findPlacements(m_topology, workersInGroupOf(job.placement, shape.adjacency), shape, capacityOf);
        if (!placements.empty())
            return { index, std::move(placements.front()), end };
    }
    return {};
}

std::vector<std::pair<TimePoint, Index>> Planner::estimatedEnds(TimePoint now) const
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

std::vector<Index> Planner::workersInGroupOf(const Placement& placement, Adjacency adjacency) const
{
    std::vector<Index> workers;
    for (const auto& share : placement) {
        const auto rack = m_topology.worker(share.worker).rack;
        if (rack == noIndex)
            continue;
        if (adjacency == Adjacency::worker)
            workers.push_back(share.worker);
        if (adjacency == Adjacency::rack)
            std::ranges::copy(m_topology.racks()[rack].workers, std::back_inserter(workers));
    }
    if (adjacency == Adjacency::zone && !placement.empty() && m_topology.zoneOf(placement.front().worker) != noIndex) {
        for (const auto rack : m_topology.zones()[m_topology.zoneOf(placement.front().worker)].racks)
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
    const auto usable = [&](const Share& share) { return isSchedulable(share.worker); };
    if (m_jobs[m_reservation.job].state != PlacementState::waiting
        || !std::ranges::all_of(m_reservation.placement, usable))
        m_reservation = {};
}

bool Planner::blockedByReservation(Index worker, Index index, TimePoint now) const
{
    if (m_reservation.job == noIndex || m_reservation.job == index || !reserved(worker))
        return false;
    return now + estimate(m_jobs[index]) > m_reservation.estimatedStart;
}

bool Planner::reserved(Index worker) const
{
    return std::ranges::find(m_reservation.placement, worker, &Share::worker) != m_reservation.placement.end();
}

Duration Planner::estimate(const PlannerJob& job) const
{
    return m_estimates.estimate(job.workspace, job.kind, job.declaredRunTime);
}

}
