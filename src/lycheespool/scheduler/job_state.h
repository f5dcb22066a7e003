#pragma once

#include <cstdint>
#include <string_view>

namespace lycheespool {

/*! @brief State of a job. */
enum class JobState : std::uint8_t { queued, reserving, running, checkpointing, done, failed, cancelled };

/**
 * @brief Returns the name of a state in the job's row.
 * @param state The state.
 * @return A constant string.
 */
[[nodiscard]] std::string_view toString(JobState state);

/**
 * @brief Parses the name of a state.
 * @param name Name as returned by toString().
 * @return The state.
 * @throws Error of kind invalidArgument.
 */
[[nodiscard]] JobState parseJobState(std::string_view name);

/**
 * @brief Checks if a job may change from one state to another.
 * @param from Current state.
 * @param to Next state.
 * @return False for every transition out of done, failed and cancelled.
 */
[[nodiscard]] bool isAllowed(JobState from, JobState to);

/**
 * @brief Checks if a state is final.
 * @param state The state.
 * @return True for done, failed and cancelled.
 */
[[nodiscard]] constexpr bool isFinal(JobState state)
{
    return state == JobState::done || state == JobState::failed || state == JobState::cancelled;
}

}
