#pragma once

#include "lycheespool/placement/topology.h"

#include <map>
#include <vector>

namespace lycheespool {

/**
 * @brief Names the group of workers inside which a gang must stay.
 * @param topology The topology.
 * @param worker A worker that has a rack.
 * @param adjacency Adjacency of the gang.
 * @return Index of the worker, its rack or its zone.
 */
[[nodiscard]] inline Index groupOf(const Topology& topology, Index worker, Adjacency adjacency)
{
    if (adjacency == Adjacency::worker)
        return worker;
    return adjacency == Adjacency::rack ? topology.worker(worker).rack : topology.zoneOf(worker);
}

/**
 * @brief Finds one place for a gang in each group of some workers that can hold it.
 * @tparam RoomOf Gives the room of a worker as Amount.
 * @param topology The topology.
 * @param workers The workers to look at.
 * @param shape What the gang needs.
 * @param roomOf Room of each worker.
 * @return Places, the group with the least room first.
 */
template <typename RoomOf>
[[nodiscard]] std::vector<Placement> placesAmong(
    const Topology& topology, const std::vector<Index>& workers, const GangShape& shape, const RoomOf& roomOf)
{
    struct Group {
        Placement offers;
        std::uint32_t tasks { 0 };
    };
    std::map<Index, Group> groups;
    for (const auto worker : workers) {
        const auto tasks = roomOf(worker).tasks(shape.perTask, offerLimit);
        if (tasks == 0)
            continue;
        auto& group = groups[groupOf(topology, worker, shape.adjacency)];
        group.offers.push_back({ worker, tasks, noIndex });
        group.tasks += tasks;
    }
    std::multimap<std::uint32_t, Placement> byRoom;
    for (auto& [key, group] : groups) {
        if (group.tasks >= shape.tasks)
            byRoom.emplace(group.tasks, packTightly(std::move(group.offers), shape.tasks));
    }
    std::vector<Placement> places;
    for (auto& [room, place] : byRoom)
        places.push_back(std::move(place));
    return places;
}

}
