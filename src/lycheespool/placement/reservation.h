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

/*! @brief Wait after which the job that holds the reservation may evict borrowed work from the reserved place. */
inline constexpr Duration agingLimit = std::chrono::hours { 1 };

/*! @brief Run that an aged job leaves to borrowed work, so that large jobs do not evict each other without progress. */
inline constexpr Duration minimumRun = std::chrono::minutes { 30 };

}
