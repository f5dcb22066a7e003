#pragma once

#include "lycheespool/core/clock.h"

#include <chrono>
#include <cstddef>

namespace lycheespool {

/*! @brief Bounds of an ExecutionLedger; the defaults keep it below 6 MiB. */
struct LedgerLimits {
    /*! @brief Keys that run or are finished. */
    std::size_t keys { 4096 };
    /*! @brief Stored answers, in bytes. */
    std::size_t bytes { std::size_t { 4 } << 20U };
    /*! @brief Time for which a finished key is kept. */
    Duration age { std::chrono::minutes { 10 } };
    /*! @brief Tombstones of one incarnation. They are never dropped, so this bounds their number for its lifetime. */
    std::size_t tombstones { 16384 };
};

}
