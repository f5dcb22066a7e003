#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lycheespool {

/*! @brief Estimates waiting times from the average service time, for which a request holds its slot; thread-safe. */
class ServiceTimeEstimate {
public:
    /**
     * @brief Records the service time of a request that released its slot.
     * @param held Time for which it held the slot.
     */
    void record(Duration held)
    {
        const auto sample = static_cast<double>(held.count());
        const auto average = m_averageNs.load(std::memory_order_relaxed);
        m_averageNs.store(average > 0 ? average + smoothing * (sample - average) : sample, std::memory_order_relaxed);
    }

    /**
     * @brief Estimates the time until a number of requests has started, at a rate of slots / average service time.
     * @param requests Number of requests.
     * @param slots Number of slots.
     * @return Estimated time; zero before the first record.
     */
    [[nodiscard]] Duration timeToStart(std::size_t requests, std::uint32_t slots) const
    {
        const auto work = static_cast<double>(requests) * m_averageNs.load(std::memory_order_relaxed);
        return Duration { static_cast<Duration::rep>(work / std::max(1U, slots)) };
    }

    /**
     * @brief Returns the time after which a refused client should retry.
     * @param waiting Number of waiting requests, including the refused one.
     * @param slots Number of slots.
     * @return Estimated time until they have started, clamped so that clients neither retry too often nor give up.
     */
    [[nodiscard]] Duration retryAfter(std::size_t waiting, std::uint32_t slots) const
    {
        return std::clamp(timeToStart(std::max<std::size_t>(1, waiting), slots), minRetryAfter, maxRetryAfter);
    }

private:
    // Averages over about 50 requests.
    static constexpr double smoothing = 0.02;
    static constexpr Duration minRetryAfter = std::chrono::milliseconds { 100 };
    static constexpr Duration maxRetryAfter = std::chrono::seconds { 30 };

    std::atomic<double> m_averageNs { 0 };
};

}
