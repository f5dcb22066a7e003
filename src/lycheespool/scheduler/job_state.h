#pragma once

#include <cstdint>
#include <string_view>

namespace lycheespool {

/*! @brief State of a job. */
enum class JobState : std::uint8_t { queued, reserving, running, checkpointing, done, failed, cancelled };

/**
 * @brief Names a state as the job's row does.
 * @param state The state.
 * @return A constant string.
 */
[[nodiscard]] std::string_view toString(JobState state);

/**
 * @brief Reads the name of a state.
 * @param name Name as toString() gives it.
 * @return The state.
 * @throws Error of kind invalidArgument.
 */
[[nodiscard]] JobState parseJobState(std::string_view name);

/**
 * @brief Tells whether a job may change from one state to another.
 * @param from Present state.
 * @param to Next state.
 * @return False for every change out of done, failed and cancelled.
 */
[[nodiscard]] bool isAllowed(JobState from, JobState to);

/**
 * @brief Tells whether a job has ended for good.
 * @param state The state.
 * @return True for done, failed and cancelled.
 */
[[nodiscard]] constexpr bool isFinal(JobState state)
{
    return state == JobState::done || state == JobState::failed || state == JobState::cancelled;
}

}
