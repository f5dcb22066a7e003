#pragma once

#include "lycheespool/placement/job_spec.h"

#include <string_view>

namespace lycheespool {

/**
 * @brief Returns the JSON name of an adjacency.
 * @param adjacency The adjacency.
 * @return A constant string.
 */
[[nodiscard]] std::string_view toString(Adjacency adjacency);

/**
 * @brief Returns the JSON name of an urgency.
 * @param urgency The urgency.
 * @return A constant string.
 */
[[nodiscard]] std::string_view toString(Urgency urgency);

/**
 * @brief Parses the JSON name of an adjacency.
 * @param name `worker`, `rack` or `zone`.
 * @return The adjacency.
 * @throws Error of kind invalidArgument.
 */
[[nodiscard]] Adjacency parseAdjacency(std::string_view name);

/**
 * @brief Parses the JSON name of an urgency.
 * @param name `deferrable`, `normal` or `urgent`.
 * @return The urgency.
 * @throws Error of kind invalidArgument.
 */
[[nodiscard]] Urgency parseUrgency(std::string_view name);

}
