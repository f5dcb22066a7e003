#pragma once

#include <cstdint>
#include <string_view>

namespace lycheespool {

/*! @brief State of a task on its worker. */
enum class TaskState : std::uint8_t { running, done, failed, stopped };

/**
 * @brief Names a state as heartbeats and the worker's interface do.
 * @param state The state.
 * @return A constant string.
 */
[[nodiscard]] std::string_view toString(TaskState state);

/**
 * @brief Reads the name of a state.
 * @param name Name as toString() gives it.
 * @return The state.
 * @throws Error of kind invalidArgument.
 */
[[nodiscard]] TaskState parseTaskState(std::string_view name);

}
