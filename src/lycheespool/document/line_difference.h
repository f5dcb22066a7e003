#pragma once

#include <string>
#include <string_view>

namespace lycheespool {

/**
 * @brief Formats the line-based three-way difference of texts.
 *
 * Each hunk starts with `@@ line <n of the base>`; its lines start with `base:`, `theirs:` or `yours:`.
 *
 * @param base Common ancestor of both texts.
 * @param theirs Text that was accepted in the meantime.
 * @param yours Text that was not accepted.
 * @return The hunks; empty when all texts are equal.
 */
[[nodiscard]] std::string threeWayDifference(std::string_view base, std::string_view theirs, std::string_view yours);

}
