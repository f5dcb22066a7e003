#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/dispatch/queue_rank.h"

namespace lycheespool {

/*! @brief Longest times for which work that failed waits before it starts again. */
struct RetryLimits {
    /*! @brief Delay before the next attempt, ms; other runs show meanwhile which executors work. */
    double delayMs { 400 };
    /*! @brief Time after the failure for which the last attempt waits for a proven executor, ms. */
    double provenWaitMs { 1500 };
};

/*! @brief Times since a failure. */
struct RetryTiming {
    /*! @brief The next attempt starts no earlier. */
    Duration delay {};
    /*! @brief Until then the last attempt starts only on executors that are proven. */
    Duration provenWait {};
};

/**
 * @brief Decides how long work that failed waits before its next attempt.
 *
 * An executor that has begun to fail does so within tens of milliseconds, and several begin at the same time. An
 * immediate retry meets another one that has not been tried yet; a short wait lets the runs that started meanwhile show
 * which executors work. Work with little slack waits for a share of its slack only.
 *
 * @param work The work.
 * @param limits The limits.
 * @return The times.
 */
[[nodiscard]] RetryTiming retryTiming(const RankInput& work, const RetryLimits& limits);

}
