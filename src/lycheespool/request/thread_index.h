#pragma once

#include <cstddef>

namespace lycheespool {

/**
 * @brief Returns a small index that is unique among live threads; indexes of ended threads are reused.
 * @return Index of the calling thread.
 */
[[nodiscard]] std::size_t threadIndex();

}
