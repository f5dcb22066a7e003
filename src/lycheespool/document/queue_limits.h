#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief How much of a workspace may wait; what exceeds it is rejected at once. */
struct QueueLimits {
    std::uint32_t jobs { 1000 };
    std::uint32_t requests { 1000 };

    friend bool operator==(const QueueLimits&, const QueueLimits&) = default;
};

}
