#pragma once

#include "lycheespool/placement/gang_shape.h"

#include <vector>

namespace lycheespool {

/*! @brief Free capacity of one worker and where it is. */
struct FreeRoom {
    Index zone { noIndex };
    Index rack { noIndex };
    Amount room;
};

/**
 * @brief Measures how much free capacity is of no use.
 *
 * A free accelerator is usable when some shape has a task that fits there and a whole gang of that shape fits into the
 * free room of the same worker, rack or zone.
 *
 * @param workers Free capacity of all workers.
 * @param shapes The shapes that are guaranteed or waiting.
 * @return Share of the free accelerators that no shape can use, 0 to 1; 0 when none is free or there is no shape.
 */
[[nodiscard]] double fragmentation(const std::vector<FreeRoom>& workers, const std::vector<GangShape>& shapes);

}
