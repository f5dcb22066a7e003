#pragma once

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace lycheespool {

/*! @brief Importance of a log line. */
enum class LogLevel { info, warning, error };

namespace detail {
void writeLogLine(LogLevel level, std::string_view text);
}

/**
 * @brief Writes one line to standard error; meant for changes of state only.
 * @tparam Args Types of the format arguments.
 * @param level Importance of the line.
 * @param format fmt format string.
 * @param args Format arguments.
 */
template <typename... Args>
void log(LogLevel level, fmt::format_string<Args...> format, Args&&... args)
{
    detail::writeLogLine(level, fmt::format(format, std::forward<Args>(args)...));
}

}
