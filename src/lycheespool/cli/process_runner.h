#pragma once

#include "lycheespool/cli/exit_code.h"
#include "lycheespool/core/log.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/io_pool.h"

#include <csignal>
#include <future>
#include <utility>

namespace lycheespool {

/**
 * @brief Waits for SIGTERM or SIGINT, then drains.
 * @tparam Drain Callable that gives `Awaitable<bool>`; false says that work was cut.
 * @param pool Threads of the process; its first one runs the drain.
 * @param drain Drains the process.
 * @return Exit code of the process.
 */
template <typename Drain>
[[nodiscard]] ExitCode runUntilSignal(IoPool& pool, Drain drain)
{
    asio::io_context context;
    asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait(
        [](const boost::system::error_code&, int number) { log(LogLevel::info, "signal {}, draining", number); });
    context.run();
    auto clean = asio::co_spawn(pool.context(), std::move(drain), asio::use_future);
    const bool finished = clean.get();
    log(LogLevel::info, "drained, {}", finished ? "nothing was cut" : "the timeout cut work in flight");
    pool.stop();
    return finished ? ExitCode::success : ExitCode::incompleteDrain;
}

}
