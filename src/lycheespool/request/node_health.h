#pragma once

#include "lycheespool/core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace lycheespool {

/**
 * @brief Latency and failures of one executor, as this entry measured them.
 *
 * All threads write without a lock; an update that is lost to a concurrent one changes an average by one sample.
 */
class NodeHealth {
public:
    /*! @brief Time over which a returned executor gets its full share of work again. */
    static constexpr Duration slowStartTime = std::chrono::seconds { 10 };
    /*! @brief Samples before an average is trusted. */
    static constexpr std::uint32_t minSamples = 10;

    /**
     * @brief Records a call that was answered.
     * @param elapsed Time from the dispatch to the answer.
     * @param now Present time.
     */
    void succeeded(Duration elapsed, TimePoint now);

    /*! @brief Records a call that failed. */
    void failed();

    /**
     * @brief Gives the average latency.
     * @param now Present time.
     * @return Microseconds, or 0 when there is no recent sample.
     */
    [[nodiscard]] double latencyUs(TimePoint now) const;

    /**
     * @brief Gives the share of recent calls that failed.
     * @return Number from 0 to 1.
     */
    [[nodiscard]] double failureRatio() const { return m_failureRatio.load(std::memory_order_relaxed); }

    /**
     * @brief Tells whether the latency is an average of at least minSamples calls.
     * @return False for an executor that is new or has just returned.
     */
    [[nodiscard]] bool isMeasured() const { return m_samples.load(std::memory_order_relaxed) >= minSamples; }

    /**
     * @brief Tells whether the executor fails too often to be used.
     * @return True after several failures in a row, or when most of the recent calls failed.
     */
    [[nodiscard]] bool isFailing() const;

    /**
     * @brief Takes the executor out of use; longer each time, and with a slow start afterwards.
     * @param now Present time.
     */
    void eject(TimePoint now);

    /**
     * @brief Tells whether the executor is out of use.
     * @param now Present time.
     * @return True until its ejection ends.
     */
    [[nodiscard]] bool isEjected(TimePoint now) const;

    /**
     * @brief Begins a slow start.
     * @param from Time at which it begins.
     */
    void startSlowly(TimePoint from);

    /**
     * @brief Gives the share of work that the executor may get.
     * @param now Present time.
     * @return Number above 0, and 1 after the slow start.
     */
    [[nodiscard]] double share(TimePoint now) const;

private:
    std::atomic<double> m_latencyUs { 0 };
    std::atomic<double> m_failureRatio { 0 };
    std::atomic<std::uint32_t> m_samples { 0 };
    std::atomic<std::uint32_t> m_calls { 0 };
    std::atomic<std::uint32_t> m_failuresInRow { 0 };
    std::atomic<std::uint32_t> m_ejections { 0 };
    std::atomic<TimePoint::rep> m_measuredAt { 0 };
    std::atomic<TimePoint::rep> m_ejectedUntil { 0 };
    std::atomic<TimePoint::rep> m_slowUntil { 0 };
};

}
