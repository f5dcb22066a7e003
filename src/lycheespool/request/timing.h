#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"

#include <concepts>

namespace lycheespool {

/**
 * @brief Clock and timers of the request path; tests substitute virtual time. Copies share one clock.
 *
 * - `now()` reads the clock.
 * - `Timer { timing, executor }` constructs a timer: `wait(length)` returns true when the time has passed and false
 *   after `cancel()`, which affects only a wait in progress. A timer is used on its executor's thread only.
 */
template <typename Type>
concept Timing
    = requires(Type& timing, const asio::any_io_executor& executor, typename Type::Timer& timer, Duration length)
{
    {
        timing.now()
        } -> std::same_as<TimePoint>;
    requires std::constructible_from<typename Type::Timer, Type&, const asio::any_io_executor&>;
    {
        timer.wait(length)
        } -> std::same_as<Awaitable<bool>>;
    timer.cancel();
};

/*! @brief The monotonic clock of the process and Asio's timers; the production model of Timing. */
class SteadyTiming {
public:
    /*! @brief Timer on an executor. */
    class Timer {
    public:
        /**
         * @brief Constructs a timer.
         * @param executor Executor on which it is used.
         */
        Timer(const SteadyTiming&, const asio::any_io_executor& executor)
            : m_timer { executor }
        {
        }

        /**
         * @brief Suspends the coroutine for a time.
         * @param length Time to wait.
         * @return False when the wait was cancelled.
         */
        [[nodiscard]] Awaitable<bool> wait(Duration length)
        {
            m_timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(length));
            boost::system::error_code ec;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            co_return !ec;
        }

        /*! @brief Cancels a wait in progress. */
        void cancel() { m_timer.cancel(); }

    private:
        asio::steady_timer m_timer;
    };

    /**
     * @brief Reads the clock.
     * @return The current time.
     */
    [[nodiscard]] TimePoint now() const { return SteadyClock {}.now(); }
};

}
