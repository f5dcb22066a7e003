#pragma once

#include "lycheespool/placement/amount.h"
#include "lycheespool/placement/job_spec.h"

#include <cstdint>
#include <vector>

namespace lycheespool {

/*! @brief Dense index of a worker, rack, zone, workspace, cell or job inside one planner. */
using Index = std::uint32_t;

/*! @brief Index that names nothing. */
inline constexpr Index noIndex = 0xffffffff;

/*! @brief Capacity that a gang needs at once. */
struct GangShape {
    Amount perTask;
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

/*! @brief Largest offer of one worker, in tasks; beyond the largest gang, so that the tightest worker can be told. */
inline constexpr std::uint32_t offerLimit = 1024;

/*! @brief Where a gang is; empty when it has no place. */
using Placement = std::vector<Share>;

/**
 * @brief Takes the cells out of a place.
 * @param place A place, with several shares of a worker where it uses several cells.
 * @return The same workers with one share each.
 */
[[nodiscard]] Placement withoutCells(const Placement& place);

/**
 * @brief Chooses workers for a gang, so that the room left over is in one piece.
 *
 * Takes the workers with the most room until one worker is enough for the rest, and then the tightest such worker.
 *
 * @param offers Workers with the number of tasks that each could take.
 * @param tasks Number of tasks to place.
 * @return The whole gang, or nothing when the offers are too few.
 */
[[nodiscard]] Placement packTightly(Placement offers, std::uint32_t tasks);

}
