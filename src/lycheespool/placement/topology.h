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
 * A job may refer to a worker before the worker registers; the worker has no rack until then.
 */
class Topology {
public:
    /*! @brief One worker. */
    struct Worker {
        WorkerId id;
        Index rack { noIndex };
        SignedResources capacity;
        bool present { false };
    };

    /*! @brief One rack with its registered workers. */
    struct Rack {
        RackId id;
        Index zone { noIndex };
        std::vector<Index> workers;
    };

    /*! @brief One zone. */
    struct Zone {
        ZoneId id;
        std::vector<Index> racks;
        bool outOfService { false };
    };

    /**
     * @brief Returns the index of a worker and creates an entry if it is new.
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
     * @brief Returns the index of a zone and creates an entry if it is new.
     * @param id The zone.
     * @return Its index.
     */
    [[nodiscard]] Index zoneIndex(const ZoneId& id);

    /**
     * @brief Registers a worker with its rack, zone and capacity.
     * @param spec The worker's registration.
     * @return Its index.
     */
    Index registerWorker(const WorkerSpec& spec);

    /**
     * @brief Removes a worker; its index may then be reused for another worker.
     * @param worker The worker, on which nothing runs.
     */
    void remove(Index worker);

    /**
     * @brief Returns the zone of a worker.
     * @param worker The worker.
     * @return Index of its zone, or noIndex before the worker registers.
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
