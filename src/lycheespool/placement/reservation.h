#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/placement/gang_shape.h"

#include <chrono>

namespace lycheespool {

/*! @brief Place that is kept for the first job of the queue that cannot start. */
struct Reservation {
    Index job { noIndex };
    Placement place;
    /*! @brief Estimated start; work that ends before it may use the place until then (backfill). */
    TimePoint at;
};

/**
 * @brief Wait after which a job may evict borrowed work.
 *
 * With 1 h the longest wait in bench/placement_quality was about twice as long, with 10 min longer at high load.
 */
inline constexpr Duration agingLimit = std::chrono::minutes { 20 };

/*! @brief Run that an aged job leaves to borrowed work, so that large jobs do not evict each other without progress. */
inline constexpr Duration minimumRun = std::chrono::minutes { 10 };

}
