#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace lycheespool {

void Planner::drainZones(TimePoint now)
{
    std::erase_if(m_startLimiters, [&](const auto& it) { return !it.second.active(now); });
    for (Index zone = 0; zone < m_topology.zones().size(); ++zone) {
        if (m_topology.zones()[zone].outOfService)
            drainZone(zone, now);
    }
}

void Planner::drainZone(Index zone, TimePoint now)
{
    auto gangs = gangsIn(zone);
    const auto running
        = std::ranges::partition(gangs, [&](Index it) { return m_jobs[it].state != PlacementState::running; });
    const auto evicting = static_cast<std::size_t>(std::ranges::distance(gangs.begin(), running.begin()));
    std::ranges::sort(running, {}, [&](Index it) { return -m_jobs[it].unsavedWork(now); });
    const auto remaining = maxDrainsAtOnce - std::min(evicting, maxDrainsAtOnce);
    for (const auto index : running | std::views::take(remaining))
        evict(index, "zone " + m_topology.zones()[zone].id.value() + " is out of service");
}

std::vector<Index> Planner::gangsIn(Index zone) const
{
    std::vector<Index> gangs;
    for (const auto rack : m_topology.zones()[zone].racks) {
        for (const auto worker : m_topology.racks()[rack].workers)
            std::ranges::copy(m_loads[worker].jobs, std::back_inserter(gangs));
    }
    std::ranges::sort(gangs);
    gangs.erase(std::unique(gangs.begin(), gangs.end()), gangs.end());
    return gangs;
}

bool Planner::zoneAllowsStarts(Index zone) const
{
    const auto limiter = m_startLimiters.find(zone);
    return !m_topology.zones()[zone].outOfService
        && (limiter == m_startLimiters.end() || limiter->second.allowsStart(m_now));
}

}
