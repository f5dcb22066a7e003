#pragma once

#include <cstddef>

namespace lycheespool {

/**
 * @brief Gives a small number that no other live thread has; numbers of ended threads are used again.
 * @return The number of the calling thread.
 */
[[nodiscard]] std::size_t threadIndex();

}
