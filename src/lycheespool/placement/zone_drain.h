#pragma once

#include "lycheespool/core/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace lycheespool {

/*! @brief Gangs that are evicted at once from a zone that is out of service. */
inline constexpr std::size_t maxDrainsAtOnce = 4;

/*! @brief Gangs that start within a second in a zone that has returned to service. */
inline constexpr std::size_t maxStartsPerSecond = 4;

/*! @brief Time after its return during which the starts of a zone are paced; by then the first wave has settled. */
inline constexpr Duration pacedTime = std::chrono::minutes { 1 };

/*! @brief Paces the starts in a zone that has returned to service. */
class ReturnPace {
public:
    /**
     * @brief Begins to pace.
     * @param now Time of the return.
     */
    explicit ReturnPace(TimePoint now)
        : m_returnedAt { now }
    {
    }

    /**
     * @brief Tells whether a gang may start.
     * @param now The present time.
     * @return False when the starts of the last second are used up.
     */
    [[nodiscard]] bool allows(TimePoint now) const
    {
        return m_starts.size() < maxStartsPerSecond || now - m_starts.front() >= std::chrono::seconds { 1 };
    }

    /**
     * @brief Records a start.
     * @param now The present time.
     */
    void started(TimePoint now)
    {
        m_starts.push_back(now);
        if (m_starts.size() > maxStartsPerSecond)
            m_starts.pop_front();
    }

    /**
     * @brief Tells whether the zone is still paced.
     * @param now The present time.
     * @return False after the paced time.
     */
    [[nodiscard]] bool active(TimePoint now) const { return now - m_returnedAt < pacedTime; }

private:
    TimePoint m_returnedAt;
    std::deque<TimePoint> m_starts;
};

}
