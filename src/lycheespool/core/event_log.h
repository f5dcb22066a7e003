#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheespool {

/**
 * @brief Starts the structured log of this process on standard output.
 *
 * Lines are queued and written by a separate thread. A full queue drops its oldest lines instead of blocking.
 *
 * @param process Name of the process, repeated in each line.
 */
void startEventLog(const std::string& process);

/*! @brief Writes the queued lines and stops the log. */
void stopEventLog();

/**
 * @brief Writes one JSON line; does nothing before startEventLog().
 *
 * At most maxLinesPerSecond lines of one event are written per second; the next line after them carries the number of
 * suppressed ones.
 *
 * @param event What happened, as in `job_accepted`.
 * @param fields Inputs of the decision and its outcome.
 */
void logEvent(std::string_view event, nlohmann::json fields);

/**
 * @brief Counts the lines that a full queue dropped.
 * @return Lines since startEventLog().
 */
[[nodiscard]] std::uint64_t droppedEvents();

/*! @brief Most lines of one event per second. */
inline constexpr unsigned maxLinesPerSecond = 100;

}
