#pragma once

#include "lycheespool/placement/job_spec.h"
#include "lycheespool/placement/signed_resources.h"

#include <cstdint>
#include <vector>

namespace lycheespool {

/*! @brief Dense index of a worker, rack, zone, workspace, cell or job inside one planner. */
using Index = std::uint32_t;

/*! @brief Invalid index. */
inline constexpr Index noIndex = 0xffffffff;

/*! @brief Resources that a gang needs at the same time. */
struct GangShape {
    SignedResources perTask;
    std::uint32_t tasks { 1 };
    Adjacency adjacency { Adjacency::zone };

    friend bool operator==(const GangShape&, const GangShape&) = default;
};

/*! @brief Number of tasks of a gang on one worker; a gang has several shares there when it uses several cells. */
struct Share {
    Index worker { noIndex };
    std::uint32_t tasks { 0 };
    /*! @brief Guaranteed cell that the tasks are charged to; none for borrowed work. */
    Index cell { noIndex };

    friend bool operator==(const Share&, const Share&) = default;
};

/**
 * @brief Maximum offer of one worker, in tasks.
 *
 * It exceeds maxGangTasks, so that best fit can compare workers that could each hold the largest gang.
 */
inline constexpr std::uint32_t maxOfferTasks = 1024;

/*! @brief Workers and cells of a gang or of a cell; empty when it has none. */
using Placement = std::vector<Share>;

/**
 * @brief Merges the shares of each worker and drops their cells.
 * @param placement A placement, with several shares of a worker where it uses several cells.
 * @return The same workers with one share each.
 */
[[nodiscard]] Placement mergeByWorker(const Placement& placement);

/**
 * @brief Chooses workers for a gang by best fit, to limit the fragmentation of the remaining capacity.
 *
 * Takes the workers with the largest offers until one worker can hold all remaining tasks, and then the smallest
 * sufficient offer.
 *
 * @param offers Workers with the number of tasks that each could take.
 * @param tasks Number of tasks to place.
 * @return A placement of the whole gang; empty when the offers do not suffice.
 */
[[nodiscard]] Placement packBestFit(Placement offers, std::uint32_t tasks);

}
