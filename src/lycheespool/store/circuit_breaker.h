#pragma once

#include "lycheespool/core/clock.h"

#include <atomic>
#include <chrono>

namespace lycheespool {

/**
 * @brief Fails fast after repeated failures and lets one probe through per interval.
 *
 * Usable from several threads without a lock.
 */
class CircuitBreaker {
public:
    /*! @brief Consecutive failures that open the breaker. */
    static constexpr unsigned failuresToOpen = 3;
    /*! @brief Time between two probes while the breaker is open. */
    static constexpr Duration probeInterval = std::chrono::seconds { 1 };

    /**
     * @brief Checks if an operation may be attempted.
     * @param now Present time.
     * @return False when the operation should fail at once as unavailable.
     */
    [[nodiscard]] bool allow(TimePoint now)
    {
        if (m_failures.load() < failuresToOpen)
            return true;
        auto next = m_nextProbe.load();
        const auto ticks = now.time_since_epoch().count();
        const auto after = (now + probeInterval).time_since_epoch().count();
        return ticks >= next && m_nextProbe.compare_exchange_strong(next, after);
    }

    /*! @brief Records that an operation got its answer. */
    void succeed() { m_failures.store(0); }

    /**
     * @brief Records that an operation failed or timed out.
     * @param now Present time.
     */
    void fail(TimePoint now)
    {
        if (m_failures.fetch_add(1) + 1 == failuresToOpen)
            m_nextProbe.store((now + probeInterval).time_since_epoch().count());
    }

    /**
     * @brief Checks if operations fail fast.
     * @return True while the breaker is open.
     */
    [[nodiscard]] bool isOpen() const { return m_failures.load() >= failuresToOpen; }

private:
    std::atomic<unsigned> m_failures { 0 };
    std::atomic<TimePoint::rep> m_nextProbe { 0 };
};

}
