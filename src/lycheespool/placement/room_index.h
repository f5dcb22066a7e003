#pragma once

#include "lycheespool/placement/topology.h"

#include <array>
#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Room of every worker, indexed by zone, rack and accelerators, to place or refuse gangs without a full scan.
 *
 * A histogram of the workers' accelerators in each rack and zone bounds the tasks that fit there, and the racks of a
 * zone are ordered by their accelerators. Zones and racks that are nearly full are tried first (best fit).
 */
class RoomIndex {
public:
    /*! @brief Room that the search may use on a worker; never more than the indexed room. */
    using RoomOf = std::function<Amount(Index worker)>;
    /*! @brief Tells whether the search may use a zone. */
    using ZoneFilter = std::function<bool(Index zone)>;

    /**
     * @brief Sets the room of a worker.
     * @param topology Tells the worker's rack and zone.
     * @param worker A worker that has a rack, or whose room is Amount::none().
     * @param room Its room.
     */
    void set(const Topology& topology, Index worker, const Amount& room);

    /**
     * @brief Gives the room of a worker.
     * @param worker The worker.
     * @return The room set last, or Amount::none().
     */
    [[nodiscard]] Amount room(Index worker) const;

    /**
     * @brief Finds the tightest place for a whole gang.
     * @param topology The topology given to set().
     * @param shape What the gang needs.
     * @param zoneAllowed Zones that may be used.
     * @param roomOf Room of each worker.
     * @return The place, or nothing when there is none.
     */
    [[nodiscard]] Placement find(
        const Topology& topology, const GangShape& shape, const ZoneFilter& zoneAllowed, const RoomOf& roomOf) const;

    /**
     * @brief Finds the tightest place in the indexed room itself.
     * @param topology The topology given to set().
     * @param shape What the gang needs.
     * @return The place, or nothing when there is none.
     */
    [[nodiscard]] Placement find(const Topology& topology, const GangShape& shape) const;

private:
    struct Sum {
        std::int64_t cores { 0 };
        std::int64_t memoryMiB { 0 };
        std::int64_t accelerators { 0 };
        std::vector<std::uint32_t> workersByAccelerators;

        void add(const Amount& room, int sign);
        [[nodiscard]] std::uint64_t tasksAtMost(const GangShape& shape) const;
        [[nodiscard]] bool hasWorkerWith(std::int32_t accelerators) const;
    };

    struct ZoneSum {
        Sum sum;
        std::set<std::pair<std::int64_t, Index>> racksByAccelerators;
    };

    void account(const Topology& topology, Index worker, const Amount& room, int sign);
    [[nodiscard]] std::vector<Index> zonesInOrder(
        const Topology& topology, const GangShape& shape, const ZoneFilter& zoneAllowed) const;
    [[nodiscard]] Placement findInOneRack(
        const Topology& topology, Index zone, const GangShape& shape, const RoomOf& roomOf) const;
    [[nodiscard]] Placement findInRack(
        const Topology& topology, Index rack, const GangShape& shape, const RoomOf& roomOf) const;
    [[nodiscard]] Placement findAcrossRacks(
        const Topology& topology, Index zone, const GangShape& shape, const RoomOf& roomOf) const;

    std::vector<Amount> m_rooms;
    std::vector<Sum> m_racks;
    std::vector<ZoneSum> m_zones;
};

}
