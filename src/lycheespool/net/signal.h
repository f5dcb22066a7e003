#pragma once

#include "lycheespool/net/asio.h"

namespace lycheespool {

/**
 * @brief Wakes coroutines of one thread that wait for a condition.
 *
 * A waiter checks its condition before each wait and again after it.
 */
class Signal {
public:
    /**
     * @brief Constructs a signal without waiters.
     * @param executor Executor of the thread that uses it.
     */
    explicit Signal(const asio::any_io_executor& executor)
        : m_timer { executor, asio::steady_timer::time_point::max() }
    {
    }

    /*! @brief Suspends the coroutine until the next notifyAll(). */
    [[nodiscard]] Awaitable<> wait()
    {
        boost::system::error_code ec;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    /*! @brief Resumes all waiters. */
    void notifyAll() { m_timer.cancel(); }

private:
    asio::steady_timer m_timer;
};

}
