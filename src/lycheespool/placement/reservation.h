#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/placement/gang_shape.h"

#include <chrono>

namespace lycheespool {

/*! @brief Placement reserved for the first job of the queue that cannot start. */
struct Reservation {
    Index job { noIndex };
    Placement placement;
    /*! @brief Estimated start; jobs that end before it may use the reserved workers (backfill). */
    TimePoint estimatedStart;
};

/**
 * @brief Wait after which a job may evict borrowed work.
 *
 * In bench/placement_quality, 1 h doubled the longest wait approximately, and 10 min increased it at high load.
 */
inline constexpr Duration agingLimit = std::chrono::minutes { 20 };

/*! @brief Minimum run time of borrowed work before an aged job may evict it; lets large jobs make progress between
 * evictions. */
inline constexpr Duration minimumRun = std::chrono::minutes { 10 };

}
