#pragma once

#include "lycheespool/core/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace lycheespool {

/*! @brief Maximum number of gangs that are being evicted at the same time from a zone out of service. */
inline constexpr std::size_t maxDrainsAtOnce = 4;

/*! @brief Maximum number of gangs that start per second in a zone that has returned to service. */
inline constexpr std::size_t maxStartsPerSecond = 4;

/*! @brief Time after a zone's return during which its starts are limited; the initial burst is over by then. */
inline constexpr Duration startLimitTime = std::chrono::minutes { 1 };

/*! @brief Rate limiter for the starts in a zone that has returned to service. */
class ZoneStartLimiter {
public:
    /**
     * @brief Starts to limit the rate.
     * @param now Time of the return.
     */
    explicit ZoneStartLimiter(TimePoint now)
        : m_returnedAt { now }
    {
    }

    /**
     * @brief Checks if a gang may start now.
     * @param now The current time.
     * @return False when maxStartsPerSecond gangs have started within the last second.
     */
    [[nodiscard]] bool allowsStart(TimePoint now) const
    {
        return m_starts.size() < maxStartsPerSecond || now - m_starts.front() >= std::chrono::seconds { 1 };
    }

    /**
     * @brief Records a start.
     * @param now The current time.
     */
    void recordStart(TimePoint now)
    {
        m_starts.push_back(now);
        if (m_starts.size() > maxStartsPerSecond)
            m_starts.pop_front();
    }

    /**
     * @brief Checks if the zone's starts are still limited.
     * @param now The current time.
     * @return False once the limiting time has elapsed.
     */
    [[nodiscard]] bool active(TimePoint now) const { return now - m_returnedAt < startLimitTime; }

private:
    TimePoint m_returnedAt;
    std::deque<TimePoint> m_starts;
};

}
