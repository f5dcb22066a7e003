#pragma once

#include "lycheespool/placement/topology.h"

#include <map>
#include <vector>

namespace lycheespool {

/**
 * @brief Returns the group of workers inside which a gang must stay.
 * @param topology The topology.
 * @param worker A registered worker.
 * @param adjacency Adjacency of the gang.
 * @return Index of the worker, its rack or its zone.
 */
[[nodiscard]] inline Index adjacencyGroup(const Topology& topology, Index worker, Adjacency adjacency)
{
    if (adjacency == Adjacency::worker)
        return worker;
    return adjacency == Adjacency::rack ? topology.worker(worker).rack : topology.zoneOf(worker);
}

/**
 * @brief Finds one placement for a gang in each group of workers that can hold it.
 * @tparam CapacityOf Returns the available capacity of a worker as SignedResources.
 * @param topology The topology.
 * @param workers The workers to search.
 * @param shape What the gang needs.
 * @param capacityOf Available capacity of each worker.
 * @return Placements, the group in which the fewest tasks fit first.
 */
template <typename CapacityOf>
[[nodiscard]] std::vector<Placement> findPlacements(
    const Topology& topology, const std::vector<Index>& workers, const GangShape& shape, const CapacityOf& capacityOf)
{
    struct Group {
        Placement offers;
        std::uint32_t tasks { 0 };
    };
    std::map<Index, Group> groups;
    for (const auto worker : workers) {
        const auto tasks = capacityOf(worker).countTasks(shape.perTask, maxOfferTasks);
        if (tasks == 0)
            continue;
        auto& group = groups[adjacencyGroup(topology, worker, shape.adjacency)];
        group.offers.push_back({ worker, tasks, noIndex });
        group.tasks += tasks;
    }
    std::multimap<std::uint32_t, Placement> byTasks;
    for (auto& [key, group] : groups) {
        if (group.tasks >= shape.tasks)
            byTasks.emplace(group.tasks, packBestFit(std::move(group.offers), shape.tasks));
    }
    std::vector<Placement> placements;
    for (auto& [tasks, placement] : byTasks)
        placements.push_back(std::move(placement));
    return placements;
}

}
