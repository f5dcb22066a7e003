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

/*! @brief SIGHUP handler of a role whose settings come from flags and the environment, which cannot be reloaded. */
inline void ignoreReload() { log(LogLevel::info, "SIGHUP ignored: the settings of this role cannot be reloaded"); }

/**
 * @brief Handles SIGTERM, SIGINT and SIGHUP from construction on.
 *
 * A role constructs it first: a signal that arrives during startup stays pending until wait() is called, instead of
 * ending the process by the default action.
 */
class StopSignals {
public:
    StopSignals()
        : m_signals { m_context, SIGTERM, SIGINT, SIGHUP }
    {
    }
    StopSignals(const StopSignals&) = delete;
    StopSignals& operator=(const StopSignals&) = delete;

    /**
     * @brief Blocks until SIGTERM or SIGINT.
     * @tparam Reload Callable without arguments.
     * @param reload Called for each SIGHUP, on the calling thread.
     * @return The signal.
     */
    template <typename Reload>
    [[nodiscard]] int wait(Reload reload)
    {
        int received = 0;
        std::function<void()> waitForSignal = [&] {
            m_signals.async_wait([&](const boost::system::error_code& ec, int number) {
                if (!ec && number == SIGHUP) {
                    reload();
                    waitForSignal();
                    return;
                }
                received = number;
            });
        };
        waitForSignal();
        m_context.run();
        return received;
    }

private:
    asio::io_context m_context;
    asio::signal_set m_signals;
};

/**
 * @brief Waits for SIGTERM or SIGINT, then drains. SIGHUP reloads the settings.
 * @tparam Drain Callable that returns `Awaitable<bool>`; false means that work in flight was aborted.
 * @tparam Reload Callable without arguments.
 * @param signals Signals of the process.
 * @param pool Threads of the process; the first one runs the drain.
 * @param drain Drains the process.
 * @param reload Called for each SIGHUP, on the calling thread.
 * @return Exit code of the process.
 */
template <typename Drain, typename Reload = void (*)()>
[[nodiscard]] ExitCode runUntilSignal(StopSignals& signals, IoPool& pool, Drain drain, Reload reload = ignoreReload)
{
    log(LogLevel::info, "received signal {}, draining", signals.wait(reload));
    auto clean = asio::co_spawn(pool.context(), std::move(drain), asio::use_future);
    const bool finished = clean.get();
    log(LogLevel::info, "drained, {}", finished ? "all work finished" : "the timeout aborted work in flight");
    pool.stop();
    return finished ? ExitCode::success : ExitCode::incompleteDrain;
}

}
