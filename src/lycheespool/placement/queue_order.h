#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/placement/job_spec.h"

#include <algorithm>

namespace lycheespool {

/*! @brief Head start of urgent jobs in the queue; longer than any normal job waits while capacity suffices. */
inline constexpr Duration urgentLead = std::chrono::hours { 24 };

/*! @brief Queue delay of deferrable jobs; after it they rank equal to normal jobs that arrive then. */
inline constexpr Duration deferrableDelay = std::chrono::hours { 4 };

/*! @brief Maximum queue delay of a long job relative to shorter ones; bounds the wait that short jobs add. */
inline constexpr Duration longJobDelay = std::chrono::hours { 1 };

/**
 * @brief Returns the queue position of a job; the smallest is served first.
 *
 * The position is a time, so that every job precedes all jobs that arrive more than a fixed delay after it.
 *
 * @param urgency The job's urgency.
 * @param queuedAt Time of its submission.
 * @param runTime Its estimated run time; shorter jobs are served earlier.
 * @return The position.
 */
[[nodiscard]] inline TimePoint queueKey(Urgency urgency, TimePoint queuedAt, Duration runTime)
{
    auto key = queuedAt + std::clamp(runTime, Duration {}, longJobDelay);
    if (urgency == Urgency::urgent)
        key -= urgentLead;
    if (urgency == Urgency::deferrable)
        key += deferrableDelay;
    return key;
}

}
