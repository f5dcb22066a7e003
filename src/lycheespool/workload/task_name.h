#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Position of a task in its job. */
struct TaskPosition {
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };

    friend auto operator<=>(const TaskPosition&, const TaskPosition&) = default;
};

/*! @brief Name of a task, unique in the system. */
struct TaskName {
    std::string job;
    TaskPosition position;

    friend auto operator<=>(const TaskName&, const TaskName&) = default;

    /**
     * @brief Formats the name.
     * @return Text as in `5c0e7a21d94b36f8.0.1.17`.
     */
    [[nodiscard]] std::string toString() const;
};

/**
 * @brief Parses a task name.
 * @param text Output of toString().
 * @return The name, or nothing if the text is not a task name.
 */
[[nodiscard]] std::optional<TaskName> parseTaskName(std::string_view text);

}
