#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace lycheespool {

/**
 * @brief Converts the leader's permit to lease times on the executor's clock.
 *
 * Each answer of the executor provides a sample of its clock. A lease never outlasts the permit by more than the drift
 * of that clock, which the leader accounts for.
 */
class LeaseClock {
public:
    /**
     * @brief Creates a clock without a sample or a permit.
     * @param maxLease Longest lease that the executor accepts.
     */
    explicit LeaseClock(Duration maxLease)
        : m_maxLease { maxLease }
    {
    }

    /*! @brief Discards the sample and the permit of the previous lifetime; the executor's clock restarts in each. */
    void reset()
    {
        m_sample.reset();
        m_isResponding = true;
        m_permitUntil = noPermit;
    }

    /**
     * @brief Records a sample of the executor's clock.
     * @param clockMs Executor's clock, ms.
     * @param received Time at which the answer was received.
     */
    void recordSample(std::int64_t clockMs, TimePoint received) { m_sample = Sample { clockMs, received }; }

    /**
     * @brief Records a permit from the leader.
     * @param sent Time at which the report that the leader answered was sent.
     * @param length Length of the permit.
     */
    void recordPermit(TimePoint sent, Duration length) { m_permitUntil = std::max(m_permitUntil, sent + length); }

    /**
     * @brief Records whether the executor responds; the lease of an unresponsive executor is not extended and expires.
     * @param isResponding False from the first unanswered call until the next answer.
     */
    void setResponding(bool isResponding) { m_isResponding = isResponding; }

    /*! @brief Returns true unless a call has failed since the latest answer; also before the first call. */
    [[nodiscard]] bool isResponding() const { return m_isResponding; }

    /*! @brief Returns true if the executor of this lifetime has answered and responds, so that its lease is extended.
     */
    [[nodiscard]] bool isExtending() const { return m_sample && m_isResponding; }

    /**
     * @brief Checks if the permit is valid.
     * @param now Current time.
     * @return True while runs may be started.
     */
    [[nodiscard]] bool isPermitted(TimePoint now) const { return now < m_permitUntil; }

    /**
     * @brief Returns the end of the longest lease that the permit allows.
     * @param now Current time.
     * @return Time on the executor's clock in ms, or nothing without a valid permit, without a sample, or while the
     * executor does not respond.
     */
    [[nodiscard]] std::optional<std::int64_t> leaseEndMs(TimePoint now) const
    {
        if (!m_sample || !m_isResponding || !isPermitted(now))
            return std::nullopt;
        const auto end = std::min(m_permitUntil, now + m_maxLease);
        return m_sample->clockMs
            + std::chrono::duration_cast<std::chrono::milliseconds>(end - m_sample->received).count();
    }

    /*! @brief Returns true if a sample of the executor's clock was recorded. */
    [[nodiscard]] bool hasSample() const { return m_sample.has_value(); }

private:
    /*! @brief Before any time that the clock may show, which starts at zero. */
    static constexpr TimePoint noPermit { -std::chrono::hours { 24 } };

    struct Sample {
        std::int64_t clockMs;
        TimePoint received;
    };

    Duration m_maxLease;
    std::optional<Sample> m_sample;
    bool m_isResponding { true };
    TimePoint m_permitUntil { noPermit };
};

}
