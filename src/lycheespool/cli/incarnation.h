#pragma once

#include "lycheespool/core/ids.h"

#include <random>

namespace lycheespool {

/**
 * @brief Generates the incarnation of a starting process.
 * @return A random number that is not 0.
 */
[[nodiscard]] inline Incarnation generateIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> numbers { 1 };
    return Incarnation { numbers(device) };
}

}
