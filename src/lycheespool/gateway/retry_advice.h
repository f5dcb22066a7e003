#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <chrono>

namespace lycheespool {

/*! @brief What the time to come back depends on. */
struct RetrySituation {
    /*! @brief Latency objective of the work; zero when it has none or is not known. */
    Duration objective {};
    /*! @brief Time for which the caller still waits for an answer, further attempts included. */
    Duration patience {};
    /*! @brief The store is away, rather than one attempt having been turned away. */
    bool isStoreAway { false };
};

/*! @brief Attempts over which a caller's patience is spread; callers make about four. */
inline constexpr int spreadAttempts = 4;
/*! @brief Work with a longer objective is not late for a few seconds of waiting. */
inline constexpr Duration patientObjective = std::chrono::seconds { 10 };
/*! @brief Longest time to come back for urgent work, whose slack is a second or two. */
inline constexpr std::chrono::seconds urgentRetry { 1 };
/*! @brief Longest time to come back for patient work. */
inline constexpr std::chrono::seconds patientRetry { 5 };

/**
 * @brief Chooses when a rejected client should come back.
 *
 * Answers outages of the store of seconds, in which callers make a few attempts within a patience of their own.
 * Attempts a second apart are used up after three seconds, so that patient work whose caller waits longer is lost
 * although it could still be in time; attempts further apart than the patience are never made. So patient work spreads
 * its attempts over the caller's patience, and urgent work comes back as soon as it can.
 *
 * @param situation What is known.
 * @return Whole seconds, as the header takes no fractions.
 */
[[nodiscard]] constexpr std::chrono::seconds adviseRetry(const RetrySituation& situation)
{
    if (!situation.isStoreAway)
        return urgentRetry;
    const auto spread = std::chrono::floor<std::chrono::seconds>(situation.patience / spreadAttempts);
    const auto longest = situation.objective > patientObjective ? patientRetry : urgentRetry;
    return std::clamp(spread, urgentRetry, longest);
}

}
