#pragma once

#include "lycheespool/placement/topology.h"

#include <array>
#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Capacity of every worker, indexed by zone, rack and accelerators, to place or reject gangs without a full
 * scan.
 *
 * A histogram of the workers' accelerators in each rack and zone bounds the tasks that fit there, and the racks of a
 * zone are ordered by their accelerators. Zones and racks that are nearly full are tried first (best fit).
 */
class CapacityIndex {
public:
    /*! @brief Capacity that the search may use on a worker; at most the indexed capacity. */
    using CapacityOf = std::function<SignedResources(Index worker)>;
    /*! @brief Returns true if the search may use a zone. */
    using ZoneFilter = std::function<bool(Index zone)>;

    /**
     * @brief Sets the capacity of a worker.
     * @param topology Topology with the worker's rack and zone.
     * @param worker A registered worker, or one whose capacity is SignedResources::unavailable().
     * @param capacity Its capacity.
     */
    void set(const Topology& topology, Index worker, const SignedResources& capacity);

    /**
     * @brief Returns the capacity of a worker.
     * @param worker The worker.
     * @return The last value passed to set(), or SignedResources::unavailable().
     */
    [[nodiscard]] SignedResources capacity(Index worker) const;

    /**
     * @brief Finds a best-fit placement for a whole gang.
     * @param topology The topology given to set().
     * @param shape What the gang needs.
     * @param zoneFilter Zones that may be used.
     * @param capacityOf Usable capacity of each worker.
     * @return The placement; empty when the gang does not fit.
     */
    [[nodiscard]] Placement find(const Topology& topology, const GangShape& shape, const ZoneFilter& zoneFilter,
        const CapacityOf& capacityOf) const;

    /**
     * @brief Finds a best-fit placement in all of the indexed capacity.
     * @param topology The topology given to set().
     * @param shape What the gang needs.
     * @return The placement; empty when the gang does not fit.
     */
    [[nodiscard]] Placement find(const Topology& topology, const GangShape& shape) const;

private:
    struct Sum {
        std::int64_t cores { 0 };
        std::int64_t memoryMiB { 0 };
        std::int64_t accelerators { 0 };
        std::vector<std::uint32_t> workersByAccelerators;

        void add(const SignedResources& capacity, int sign);
        [[nodiscard]] std::uint64_t tasksAtMost(const GangShape& shape) const;
        [[nodiscard]] bool hasWorkerWith(std::int32_t accelerators) const;
    };

    struct ZoneSum {
        Sum sum;
        std::set<std::pair<std::int64_t, Index>> racksByAccelerators;
    };

    void addToSums(const Topology& topology, Index worker, const SignedResources& capacity, int sign);
    [[nodiscard]] std::vector<Index> zonesInOrder(
        const Topology& topology, const GangShape& shape, const ZoneFilter& zoneFilter) const;
    [[nodiscard]] Placement findInOneRack(
        const Topology& topology, Index zone, const GangShape& shape, const CapacityOf& capacityOf) const;
    [[nodiscard]] Placement findInRack(
        const Topology& topology, Index rack, const GangShape& shape, const CapacityOf& capacityOf) const;
    [[nodiscard]] Placement findAcrossRacks(
        const Topology& topology, Index zone, const GangShape& shape, const CapacityOf& capacityOf) const;

    std::vector<SignedResources> m_capacities;
    std::vector<Sum> m_racks;
    std::vector<ZoneSum> m_zones;
};

}
