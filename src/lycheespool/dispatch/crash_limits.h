#pragma once

#include <chrono>
#include <cstdint>

namespace lycheespool {

/*! @brief Executors that were lost under the runs of one task. */
struct CrashCounts {
    /*! @brief Crashes that only this work can have caused. */
    std::uint32_t crashes { 0 };
    /*! @brief Lifetimes of executors that ended under a run which had not been seen at work, whatever the cause. */
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
 * A crash ends all runs of an executor, and only the run that has just started is a likely cause. Losses without such
 * evidence, as in a power failure, count only towards the total, and runs that were seen at work do not count at all,
 * so that work that was merely there is repeated.
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
