#pragma once

#include "lycheespool/core/clock.h"

#include <cstdint>
#include <ctime>

namespace lycheespool {

/*! @brief Clock that also counts the time while the VM is suspended, so that a lease does not survive a suspension. */
struct BootClock {
    /**
     * @brief Returns the current time.
     * @return The present time.
     */
    [[nodiscard]] TimePoint now() const
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint { std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec } };
    }
};

/**
 * @brief Returns the time of day.
 * @return Unix time in milliseconds.
 */
[[nodiscard]] inline std::int64_t unixMillis()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}
