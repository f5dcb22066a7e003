#pragma once

#include "lycheespool/request/timing.h"

#include <map>
#include <memory>

namespace lycheespool {

/*! @brief Virtual time: a model of Timing whose timers expire when the test advances the clock. */
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
    class Timer {
    public:
        Timer(const ManualTiming& timing, const asio::any_io_executor& executor)
            : m_state { timing.m_state }
            , m_wait { std::make_shared<Wait>(Wait { asio::steady_timer { executor } }) }
        {
        }

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

        void cancel() { m_wait->event.cancel(); }

    private:
        std::shared_ptr<State> m_state;
        std::shared_ptr<Wait> m_wait;
    };

    [[nodiscard]] TimePoint now() const { return m_state->clock.now(); }

    /*! @brief Moves to the next wait and ends it; false when nothing waits. */
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
