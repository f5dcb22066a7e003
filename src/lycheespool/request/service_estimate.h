#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lycheespool {

/*! @brief Estimates waiting times from the average time that requests hold a slot; usable from several threads. */
class ServiceEstimate {
public:
    /**
     * @brief Records a request that gave its slot back.
     * @param held Time for which it held the slot.
     */
    void record(Duration held)
    {
        const auto sample = static_cast<double>(held.count());
        const auto average = m_averageNs.load(std::memory_order_relaxed);
        m_averageNs.store(average > 0 ? average + smoothing * (sample - average) : sample, std::memory_order_relaxed);
    }

    /**
     * @brief Estimates the time until a number of requests has been started; slots drain at slots / average time.
     * @param requests Number of requests.
     * @param slots Number of slots.
     * @return The time; zero before the first record.
     */
    [[nodiscard]] Duration timeFor(std::size_t requests, std::uint32_t slots) const
    {
        const auto work = static_cast<double>(requests) * m_averageNs.load(std::memory_order_relaxed);
        return Duration { static_cast<Duration::rep>(work / std::max(1U, slots)) };
    }

    /**
     * @brief Gives the time after which a refused client should come back.
     * @param waiting Requests that wait now, the refused one included.
     * @param slots Number of slots.
     * @return Time in which they are started, within limits that keep clients from flooding or leaving.
     */
    [[nodiscard]] Duration retryAfter(std::size_t waiting, std::uint32_t slots) const
    {
        return std::clamp(timeFor(std::max<std::size_t>(1, waiting), slots), minRetryAfter, maxRetryAfter);
    }

private:
    // Averages over about 50 requests.
    static constexpr double smoothing = 0.02;
    static constexpr Duration minRetryAfter = std::chrono::milliseconds { 100 };
    static constexpr Duration maxRetryAfter = std::chrono::seconds { 30 };

    std::atomic<double> m_averageNs { 0 };
};

}
