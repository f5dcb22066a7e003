#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <chrono>

namespace lycheespool {

/*! @brief Inputs of the time after which a client should retry. */
struct RetryContext {
    /*! @brief Latency objective of the work; zero if it has none or it is unknown. */
    Duration objective {};
    /*! @brief Time for which the caller still waits for an answer, including further attempts. */
    Duration remainingWait {};
    /*! @brief The store is unavailable, rather than having refused a single attempt. */
    bool isStoreUnavailable { false };
};

/*! @brief Number of attempts over which the remaining wait is spread; callers make about four. */
inline constexpr int expectedAttempts = 4;
/*! @brief Work with a longer objective tolerates a few seconds of delay. */
inline constexpr Duration delayTolerantObjective = std::chrono::seconds { 10 };
/*! @brief Maximum retry delay of urgent work, whose slack is a second or two. */
inline constexpr std::chrono::seconds urgentRetry { 1 };
/*! @brief Maximum retry delay of delay-tolerant work. */
inline constexpr std::chrono::seconds maxDelayTolerantRetry { 5 };

/**
 * @brief Chooses the delay after which a rejected client should retry.
 *
 * Designed for store outages of a few seconds, during which callers make a few attempts within their own time limit.
 * Attempts one second apart are used up after three seconds, so delay-tolerant work whose caller waits longer would be
 * lost although it could still end in time. Attempts further apart than the caller's limit are never made. Therefore
 * delay-tolerant work spreads its attempts over the remaining wait, and urgent work retries as soon as possible.
 *
 * @param context Inputs of the choice.
 * @return Whole seconds, since the Retry-After header takes no fractions.
 */
[[nodiscard]] constexpr std::chrono::seconds chooseRetryAfter(const RetryContext& context)
{
    if (!context.isStoreUnavailable)
        return urgentRetry;
    const auto spread = std::chrono::floor<std::chrono::seconds>(context.remainingWait / expectedAttempts);
    const auto maximum = context.objective > delayTolerantObjective ? maxDelayTolerantRetry : urgentRetry;
    return std::clamp(spread, urgentRetry, maximum);
}

}
