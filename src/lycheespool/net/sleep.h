#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"

namespace lycheespool {

/**
 * @brief Suspends the coroutine.
 * @param length Time to wait.
 */
[[nodiscard]] inline Awaitable<> sleepFor(Duration length)
{
    asio::steady_timer timer { co_await asio::this_coro::executor };
    timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(length));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}
