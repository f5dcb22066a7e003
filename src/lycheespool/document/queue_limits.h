#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief Maximum number of queued jobs and requests of a workspace; excess ones are rejected immediately. */
struct QueueLimits {
    std::uint32_t jobs { 1000 };
    std::uint32_t requests { 1000 };

    friend bool operator==(const QueueLimits&, const QueueLimits&) = default;
};

}
