#pragma once

#include "lycheespool/document/capacity_check.h"
#include "lycheespool/document/worker_group.h"

#include <vector>

namespace lycheespool {

/**
 * @brief Makes a capacity check from a list of workers.
 *
 * Places the cells one after the other, those with most accelerators first, each in the first worker, rack or zone
 * that holds all of its tasks. Never calls an impossible guarantee possible; may refuse a shape that only another order
 * would fit. Meant for the command line and for tests; an entry passes the placement module's check.
 *
 * @param groups The workers.
 * @return The check; holds a copy of the list.
 */
[[nodiscard]] CapacityCheck makeCapacityCheck(std::vector<WorkerGroup> groups);

}
