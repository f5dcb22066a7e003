#pragma once

#include <chrono>

namespace lycheespool {

/*! @brief Length of time, in nanoseconds. */
using Duration = std::chrono::nanoseconds;
/*! @brief Point on the monotonic clock of one process; never sent to another one. */
using TimePoint = std::chrono::steady_clock::time_point;

/*! @brief Reads the monotonic clock of the process. */
struct SteadyClock {
    /**
     * @brief Returns the current time.
     * @return The present time.
     */
    [[nodiscard]] TimePoint now() const { return std::chrono::steady_clock::now(); }
};

/*! @brief A clock that moves only when a test says so. */
class ManualClock {
public:
    /**
     * @brief Returns the current time.
     * @return The time set last.
     */
    [[nodiscard]] TimePoint now() const { return m_now; }

    /**
     * @brief Advances the clock.
     * @param step Time to add.
     */
    void advance(Duration step) { m_now += step; }

private:
    TimePoint m_now {};
};

}
