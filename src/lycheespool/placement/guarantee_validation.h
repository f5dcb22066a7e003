#pragma once

#include "lycheespool/placement/guarantee.h"
#include "lycheespool/placement/worker_spec.h"

#include <vector>

namespace lycheespool {

/**
 * @brief Finds the guaranteed cells that the given workers cannot hold at the same time.
 *
 * Cells are placed in descending order of difficulty, each by best fit. Guarantees that fit only in another arrangement
 * are reported as well, because the planner would not find that arrangement either.
 *
 * @param guarantees The guarantees.
 * @param capacity The workers.
 * @return The cells that do not fit; empty when all do.
 * @throws Error of kind invalidArgument when a cell has no tasks or more than maxGangTasks.
 */
[[nodiscard]] std::vector<Shortfall> findShortfalls(
    const Guarantees& guarantees, const std::vector<WorkerSpec>& capacity);

/**
 * @brief Checks that every guaranteed cell has a valid number of tasks.
 * @param guarantees The guarantees.
 * @throws Error of kind invalidArgument when a cell has no tasks or more than maxGangTasks.
 */
void validateGuarantees(const Guarantees& guarantees);

}
