#pragma once

#include "lycheespool/placement/gang_shape.h"

#include <vector>

namespace lycheespool {

/*! @brief Free capacity of one worker, with the worker's zone and rack. */
struct WorkerFreeCapacity {
    Index zone { noIndex };
    Index rack { noIndex };
    SignedResources capacity;
};

/**
 * @brief Returns the share of the free accelerators that no given shape can use.
 *
 * A free accelerator is usable when some shape has a task that fits there and a whole gang of that shape fits into the
 * free capacity of the same worker, rack or zone.
 *
 * @param workers Free capacity of all workers.
 * @param shapes The shapes that are guaranteed or waiting.
 * @return The share, 0 to 1; 0 when no accelerator is free or there is no shape.
 */
[[nodiscard]] double fragmentation(
    const std::vector<WorkerFreeCapacity>& workers, const std::vector<GangShape>& shapes);

}
