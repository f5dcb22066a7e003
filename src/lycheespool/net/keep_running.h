#pragma once

#include "lycheespool/core/event_log.h"
#include "lycheespool/net/sleep.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <exception>
#include <string>

namespace lycheespool {

/*! @brief Delay before a loop that an exception has ended is started again. */
inline constexpr Duration loopRestartDelay = std::chrono::milliseconds { 200 };

/**
 * @brief Runs a loop until it returns, and starts it again after an exception.
 *
 * A detached coroutine that throws ends without a trace, while the rest of the process goes on without it.
 *
 * @tparam Loop Callable that returns Awaitable<>.
 * @param name Name of the loop in the log.
 * @param loop The loop.
 */
template <std::invocable Loop>
[[nodiscard]] Awaitable<> keepRunning(std::string name, Loop loop)
{
    while (true) {
        std::string reason;
        try {
            co_await loop();
            co_return;
        } catch (const std::exception& error) {
            reason = error.what();
        }
        logEvent("loop_failed", { { "loop", name }, { "reason", reason } });
        co_await sleepFor(loopRestartDelay);
    }
}

}
