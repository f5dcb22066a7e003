#pragma once

#include "lycheespool/core/ids.h"

#include <random>

namespace lycheespool {

/**
 * @brief Draws the incarnation of a process that starts.
 * @return A random number that is not 0.
 */
[[nodiscard]] inline Incarnation drawIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> numbers { 1 };
    return Incarnation { numbers(device) };
}

}
