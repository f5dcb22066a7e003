#pragma once

#include "lycheespool/core/clock.h"

#include <chrono>
#include <cstdint>

namespace lycheespool::soak {

using namespace std::chrono_literals;

// Bounds of a deployment as users describe it; the processes read them from their settings.

/*! @brief Processes work normally again within this time after a fault ends. */
inline constexpr Duration contactTime = 4s;
inline constexpr Duration drainBound = 3s;
inline constexpr Duration evacuationBound = 5s;
inline constexpr Duration cancelBound = 4s;
inline constexpr Duration configApplyBound = 3s;
/*! @brief Time within which answers of one gateway may rely on different config versions. */
inline constexpr Duration rollbackSlack = 250ms;
/*! @brief An accepted job is visible on every gateway after this time. */
inline constexpr Duration visibleBound = 3s;
inline constexpr Duration maxLease = 6s;
inline constexpr Duration stopTime = 200ms;
inline constexpr Duration gangAssembly = 4s;
inline constexpr Duration restoreTime = 250ms;
inline constexpr Duration checkpointInterval = 1s;
inline constexpr Duration stopGrace = 6s;
/*! @brief Short, so that old rows are removed during a run; clients poll every 0.7 s. */
inline constexpr Duration statusRetention = 10s;
inline constexpr std::uint32_t maxAttempts = 8;
/*! @brief Rate of the executors' clocks: the contract allows them to be 2% slow. */
inline constexpr double executorClockRate = 0.98;

}
