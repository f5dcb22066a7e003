#pragma once

#include "lycheespool/request/timing.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace lycheespool {

/**
 * @brief Virtual time for tests and simulations: a model of Timing whose clock the owner advances.
 *
 * Copies share one clock. Single-threaded; timers with the same expiry time expire in the order of their waits.
 */
class ManualTiming {
    struct Wait {
        asio::steady_timer event;
        bool expired { false };
    };

    struct State {
        ManualClock clock;
        std::multimap<TimePoint, std::weak_ptr<Wait>> waits;
    };

public:
    /*! @brief Timer on an executor, in virtual time. */
    class Timer {
    public:
        /**
         * @brief Constructs a timer.
         * @param timing Clock of the timer.
         * @param executor Executor on which it is used.
         */
        Timer(const ManualTiming& timing, const asio::any_io_executor& executor)
            : m_state { timing.m_state }
            , m_wait { std::make_shared<Wait>(Wait { asio::steady_timer { executor } }) }
        {
        }

        /**
         * @brief Suspends the coroutine for a virtual time.
         * @param length Virtual time to wait.
         * @return False when the wait was cancelled.
         */
        [[nodiscard]] Awaitable<bool> wait(Duration length)
        {
            const auto wait = m_wait;
            wait->expired = false;
            wait->event.expires_at(asio::steady_timer::time_point::max());
            m_state->waits.emplace(m_state->clock.now() + length, wait);
            boost::system::error_code ec;
            co_await wait->event.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            co_return wait->expired;
        }

        /*! @brief Cancels a wait in progress. */
        void cancel() { m_wait->event.cancel(); }

    private:
        std::shared_ptr<State> m_state;
        std::shared_ptr<Wait> m_wait;
    };

    /**
     * @brief Reads the clock.
     * @return The current virtual time.
     */
    [[nodiscard]] TimePoint now() const { return m_state->clock.now(); }

    /**
     * @brief Advances the clock to the expiry of the next wait and ends that wait.
     * @return False when there is no wait.
     */
    bool advanceToNext()
    {
        if (m_state->waits.empty())
            return false;
        const auto it = m_state->waits.begin();
        m_state->clock.advance(std::max(Duration::zero(), it->first - now()));
        if (const auto wait = it->second.lock()) {
            wait->expired = true;
            wait->event.cancel();
        }
        m_state->waits.erase(it);
        return true;
    }

private:
    std::shared_ptr<State> m_state { std::make_shared<State>() };
};

}
