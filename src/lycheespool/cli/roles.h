#pragma once

#include "lycheespool/cli/exit_code.h"

#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Arguments after the role. */
using Args = std::vector<std::string>;

/**
 * @brief Runs an entry until SIGTERM or SIGINT.
 * @param args Arguments after the role.
 * @return Exit code.
 */
[[nodiscard]] ExitCode runEntry(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runAgent(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runTable(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runExecutor(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runWorker(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runGateway(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runNodeAgent(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runDocument(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runStatus(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runDev(const Args& args);
/*! @copydoc runEntry */
[[nodiscard]] ExitCode runLoad(const Args& args);

}
