#pragma once

#include <string>
#include <string_view>

namespace lycheespool {

/**
 * @brief Renders the three-way difference of texts by line.
 *
 * Each changed place starts with `@@ line <n of the base>`; its lines start with `base:`, `theirs:` or `yours:`.
 *
 * @param base Text that both started from.
 * @param theirs Text that was accepted meanwhile.
 * @param yours Text that was not accepted.
 * @return The changed places; empty when all texts are equal.
 */
[[nodiscard]] std::string threeWayDifference(std::string_view base, std::string_view theirs, std::string_view yours);

}
