#pragma once

#include "lycheespool/document/capacity_check.h"
#include "lycheespool/document/worker_group.h"

#include <vector>

namespace lycheespool {

/**
 * @brief Makes a capacity check from a list of workers.
 *
 * Places the cells in descending order of accelerators, each in the first worker, rack or zone into which all of its
 * tasks fit. Never accepts an impossible guarantee, but may reject one that fits only in another order. Intended for
 * the command line and for tests; an entry uses the placement module's check.
 *
 * @param groups The workers.
 * @return The check; holds a copy of the list.
 */
[[nodiscard]] CapacityCheck makeCapacityCheck(std::vector<WorkerGroup> groups);

}
