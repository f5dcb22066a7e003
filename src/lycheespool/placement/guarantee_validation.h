#pragma once

#include "lycheespool/placement/guarantee.h"
#include "lycheespool/placement/worker_spec.h"

#include <vector>

namespace lycheespool {

/**
 * @brief Checks whether some capacity can hold all guarantees at once.
 *
 * The cells are placed the hardest first, each in the tightest place. Guarantees that fit only in another arrangement
 * are reported as well, because the planner would not find it either.
 *
 * @param guarantees The guarantees.
 * @param capacity The workers.
 * @return The cells that do not fit; empty when all do.
 * @throws Error of kind invalidArgument when a cell has no tasks or more than maxGangTasks.
 */
[[nodiscard]] std::vector<Shortfall> guaranteesBeyond(
    const Guarantees& guarantees, const std::vector<WorkerSpec>& capacity);

/**
 * @brief Checks the form of guarantees.
 * @param guarantees The guarantees.
 * @throws Error of kind invalidArgument when a cell has no tasks or more than maxGangTasks.
 */
void checkForm(const Guarantees& guarantees);

}
