#pragma once

#include "lycheespool/cli/exit_code.h"
#include "lycheespool/core/log.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/io_pool.h"

#include <csignal>
#include <functional>
#include <future>
#include <utility>

namespace lycheespool {

/*! @brief Reload of a role whose settings come from flags and the environment, which do not change. */
inline void keepSettings() { log(LogLevel::info, "SIGHUP: the settings of this role do not change while it runs"); }

/**
 * @brief Waits for SIGTERM or SIGINT, then drains. SIGHUP reloads the settings.
 * @tparam Drain Callable that gives `Awaitable<bool>`; false says that work was cut.
 * @tparam Reload Callable without arguments.
 * @param pool Threads of the process; its first one runs the drain.
 * @param drain Drains the process.
 * @param reload Called for each SIGHUP, on the calling thread.
 * @return Exit code of the process.
 */
template <typename Drain, typename Reload = void (*)()>
[[nodiscard]] ExitCode runUntilSignal(IoPool& pool, Drain drain, Reload reload = keepSettings)
{
    asio::io_context context;
    asio::signal_set signals { context, SIGTERM, SIGINT, SIGHUP };
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](const boost::system::error_code& ec, int number) {
            if (!ec && number == SIGHUP) {
                reload();
                waitForSignal();
                return;
            }
            log(LogLevel::info, "signal {}, draining", number);
        });
    };
    waitForSignal();
    context.run();
    auto clean = asio::co_spawn(pool.context(), std::move(drain), asio::use_future);
    const bool finished = clean.get();
    log(LogLevel::info, "drained, {}", finished ? "nothing was cut" : "the timeout cut work in flight");
    pool.stop();
    return finished ? ExitCode::success : ExitCode::incompleteDrain;
}

}
