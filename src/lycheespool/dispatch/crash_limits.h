#pragma once

#include <chrono>
#include <cstdint>

namespace lycheespool {

/*! @brief Executors that were lost under the runs of one task. */
struct CrashCounts {
    /*! @brief Crashes that only this work can have caused. */
    std::uint32_t crashes { 0 };
    /*! @brief Lifetimes of executors that ended under a run which had not been seen at work, or whose end the agent
     * witnessed and no start of other work explains. */
    std::uint32_t losses { 0 };
};

/*! @brief Limits after which work that crashes its executors is given up. */
struct CrashLimits {
    /*! @brief Callers allow a task to be given up after two crashes under it. */
    std::uint32_t maxCrashes { 2 };
    /*! @brief Callers allow two more starts after three crashes, whose causes may be unknown. */
    std::uint32_t maxLosses { 5 };
    /*! @brief A crash this soon after a start is attributed to the start. */
    static constexpr std::chrono::milliseconds startWindow { 300 };
};

/**
 * @brief Decides whether work is given up because it crashes the executors that start it.
 *
 * A crash ends all runs of an executor, and a run that has just started is the likely cause. Crashes that no start
 * explains count for all runs that were there, towards a higher limit. Power failures and crashes that a start explains
 * do not count for runs that were seen at work, so that work that was merely there is repeated.
 *
 * @param counts What is known of the work.
 * @param limits The limits.
 * @return True if the work must not start again.
 */
[[nodiscard]] constexpr bool isCrashLimitReached(const CrashCounts& counts, const CrashLimits& limits = {})
{
    return counts.crashes >= limits.maxCrashes || counts.losses >= limits.maxLosses;
}

}
