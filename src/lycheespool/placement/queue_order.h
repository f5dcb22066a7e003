#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/placement/job_spec.h"

#include <algorithm>

namespace lycheespool {

/*! @brief Head start of urgent jobs in the queue; more than any normal job waits while capacity suffices. */
inline constexpr Duration urgentLead = std::chrono::hours { 24 };

/*! @brief Delay of deferrable jobs in the queue; after it they are equal to normal jobs that arrive then. */
inline constexpr Duration deferrableDelay = std::chrono::hours { 4 };

/*! @brief Largest delay of a long job behind shorter ones; bounds the wait that short jobs can add to it. */
inline constexpr Duration longJobDelay = std::chrono::hours { 1 };

/**
 * @brief Gives the position of a job in the queue; the smallest is served first.
 *
 * The position is a time, so that every job gets older than all jobs that arrive later than a fixed delay after it.
 *
 * @param urgency The job's urgency.
 * @param since Begin of its wait.
 * @param runTime Its estimated run time; shorter jobs are served earlier.
 * @return The position.
 */
[[nodiscard]] inline TimePoint queueKey(Urgency urgency, TimePoint since, Duration runTime)
{
    auto key = since + std::clamp(runTime, Duration {}, longJobDelay);
    if (urgency == Urgency::urgent)
        key -= urgentLead;
    if (urgency == Urgency::deferrable)
        key += deferrableDelay;
    return key;
}

}
