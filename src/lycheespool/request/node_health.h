#pragma once

#include "lycheespool/core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace lycheespool {

/**
 * @brief Latency and failures of one executor, as measured by this entry.
 *
 * All threads write without a lock; an update lost to a concurrent one only drops one sample from an average.
 */
class NodeHealth {
public:
    /*! @brief Time over which an executor ramps up to its full share of work. */
    static constexpr Duration slowStartTime = std::chrono::seconds { 10 };
    /*! @brief Number of samples before an average is used. */
    static constexpr std::uint32_t minSamples = 10;

    /**
     * @brief Records a call that was answered.
     * @param elapsed Time from the dispatch to the answer.
     * @param now Current time.
     */
    void recordSuccess(Duration elapsed, TimePoint now);

    /*! @brief Records a call that failed. */
    void recordFailure();

    /**
     * @brief Returns the average latency.
     * @param now Current time.
     * @return Microseconds, or 0 when there is no recent sample.
     */
    [[nodiscard]] double latencyUs(TimePoint now) const;

    /**
     * @brief Returns the fraction of recent calls that failed.
     * @return Number from 0 to 1.
     */
    [[nodiscard]] double failureRatio() const { return m_failureRatio.load(std::memory_order_relaxed); }

    /**
     * @brief Checks if the latency is an average of at least minSamples calls.
     * @return False for an executor that is new or was ejected recently.
     */
    [[nodiscard]] bool hasEnoughSamples() const { return m_samples.load(std::memory_order_relaxed) >= minSamples; }

    /**
     * @brief Checks if the executor fails too often to be used.
     * @return True after several consecutive failures, or if most of the recent calls failed.
     */
    [[nodiscard]] bool isFailing() const;

    /**
     * @brief Ejects the executor, for longer each time; a slow start follows the ejection.
     * @param now Current time.
     */
    void eject(TimePoint now);

    /**
     * @brief Checks if the executor is ejected.
     * @param now Current time.
     * @return True until its ejection ends.
     */
    [[nodiscard]] bool isEjected(TimePoint now) const;

    /**
     * @brief Begins a slow start.
     * @param from Start of the slow start.
     */
    void beginSlowStart(TimePoint from);

    /**
     * @brief Returns the share of work that the executor may receive.
     * @param now Current time.
     * @return Number above 0; 1 after the slow start.
     */
    [[nodiscard]] double workShare(TimePoint now) const;

private:
    std::atomic<double> m_latencyUs { 0 };
    std::atomic<double> m_failureRatio { 0 };
    std::atomic<std::uint32_t> m_samples { 0 };
    std::atomic<std::uint32_t> m_calls { 0 };
    std::atomic<std::uint32_t> m_consecutiveFailures { 0 };
    std::atomic<std::uint32_t> m_ejections { 0 };
    std::atomic<TimePoint::rep> m_measuredAt { 0 };
    std::atomic<TimePoint::rep> m_ejectedUntil { 0 };
    std::atomic<TimePoint::rep> m_slowUntil { 0 };
};

}
