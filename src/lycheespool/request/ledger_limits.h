#pragma once

#include "lycheespool/core/clock.h"

#include <chrono>
#include <cstddef>

namespace lycheespool {

/*! @brief Bounds of an ExecutionLedger; the defaults keep it below 6 MiB. */
struct LedgerLimits {
    /*! @brief Number of running and finished keys. */
    std::size_t keys { 4096 };
    /*! @brief Size of the stored answers, in bytes. */
    std::size_t bytes { std::size_t { 4 } << 20U };
    /*! @brief Retention time of a finished key. */
    Duration age { std::chrono::minutes { 10 } };
    /*! @brief Number of tombstones. They are never dropped, so this limit holds for the lifetime of the incarnation. */
    std::size_t tombstones { 16384 };
};

}
