#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"

#include <chrono>
#include <utility>

namespace lycheespool {

/**
 * @brief Lets one coroutine sleep until it is woken or a time has passed; a wake-up before the wait is not lost.
 *
 * Must be used from a single thread.
 */
class WakeUp {
public:
    /**
     * @brief Constructs a wake-up that is not pending.
     * @param executor Executor of the thread that uses it.
     */
    explicit WakeUp(const asio::any_io_executor& executor)
        : m_timer { executor }
    {
    }

    /*! @brief Wakes the waiter, or the next wait() at once. */
    void wake()
    {
        m_pending = true;
        m_timer.cancel();
    }

    /**
     * @brief Suspends the coroutine.
     * @param longest Longest time to wait.
     */
    [[nodiscard]] Awaitable<> wait(Duration longest)
    {
        if (!std::exchange(m_pending, false)) {
            m_timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(longest));
            boost::system::error_code ec;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            m_pending = false;
        }
    }

private:
    asio::steady_timer m_timer;
    bool m_pending { false };
};

}
