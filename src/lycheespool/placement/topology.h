#pragma once

#include "lycheespool/placement/gang_shape.h"
#include "lycheespool/placement/worker_spec.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Workers, racks and zones with dense indices.
 *
 * A worker may be named (by a job that runs there) before it has announced itself; it has no rack until then.
 */
class Topology {
public:
    /*! @brief One worker. */
    struct Worker {
        WorkerId id;
        Index rack { noIndex };
        Amount capacity;
        bool present { false };
    };

    /*! @brief One rack with the workers that have announced themselves there. */
    struct Rack {
        RackId id;
        Index zone { noIndex };
        std::vector<Index> workers;
    };

    /*! @brief One zone. */
    struct Zone {
        ZoneId id;
        std::vector<Index> racks;
        bool out { false };
    };

    /**
     * @brief Finds a worker, or makes an entry for it.
     * @param id The worker.
     * @return Its index.
     */
    [[nodiscard]] Index workerIndex(const WorkerId& id);

    /**
     * @brief Finds a worker.
     * @param id The worker.
     * @return Its index, or noIndex.
     */
    [[nodiscard]] Index find(const WorkerId& id) const;

    /**
     * @brief Finds a zone, or makes an entry for it.
     * @param id The zone.
     * @return Its index.
     */
    [[nodiscard]] Index zoneIndex(const ZoneId& id);

    /**
     * @brief Enters a worker with its place and capacity.
     * @param spec What the worker announced.
     * @return Its index.
     */
    Index join(const WorkerSpec& spec);

    /**
     * @brief Forgets a worker; its index may then be given to another one.
     * @param worker The worker, on which nothing runs.
     */
    void forget(Index worker);

    /**
     * @brief Gives the zone of a worker.
     * @param worker The worker.
     * @return Index of its zone, or noIndex while it has not announced itself.
     */
    [[nodiscard]] Index zoneOf(Index worker) const;

    [[nodiscard]] const std::vector<Worker>& workers() const { return m_workers; }
    [[nodiscard]] const std::vector<Rack>& racks() const { return m_racks; }
    [[nodiscard]] const std::vector<Zone>& zones() const { return m_zones; }
    [[nodiscard]] Worker& worker(Index worker) { return m_workers[worker]; }
    [[nodiscard]] const Worker& worker(Index worker) const { return m_workers[worker]; }
    [[nodiscard]] Zone& zone(Index zone) { return m_zones[zone]; }

private:
    [[nodiscard]] Index rackIndex(const ZoneId& zone, const RackId& rack);
    void leaveRack(Index worker);

    std::vector<Worker> m_workers;
    std::vector<Rack> m_racks;
    std::vector<Zone> m_zones;
    std::vector<Index> m_unused;
    std::unordered_map<WorkerId, Index> m_workerIndex;
    std::unordered_map<ZoneId, Index> m_zoneIndex;
    std::map<std::pair<Index, RackId>, Index> m_rackIndex;
};

}
