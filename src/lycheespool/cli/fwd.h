#pragma once

namespace lycheespool {

class SettingsParser;

/**
 * @brief Runs the role that the first argument names.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return Exit code: 0 on success, 1 on a failed operation, 2 on an invalid setting, 3 when a planned stop
 * ended before all work in flight was finished.
 */
[[nodiscard]] int runCommand(int argc, char** argv);

}
