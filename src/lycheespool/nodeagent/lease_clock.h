#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace lycheespool {

/**
 * @brief Translates the leader's permit into lease times on the executor's clock.
 *
 * The executor's clock is sampled with each answer. A lease never reaches beyond the permit by more than the drift of
 * that clock, for which the leader allows.
 */
class LeaseClock {
public:
    /**
     * @brief Makes a clock.
     * @param longest Longest lease that the executor accepts.
     */
    explicit LeaseClock(Duration longest)
        : m_longest { longest }
    {
    }

    /*! @brief Forgets the executor's clock, which starts anew in each lifetime. */
    void reset()
    {
        m_sample.reset();
        m_answers = true;
    }

    /**
     * @brief Records the executor's clock.
     * @param clockMs Executor's clock, ms.
     * @param received Time at which the answer was received.
     */
    void sample(std::int64_t clockMs, TimePoint received) { m_sample = Sample { clockMs, received }; }

    /**
     * @brief Records a permit.
     * @param sent Time at which the report was sent that the leader answered.
     * @param length Length of the permit.
     */
    void permit(TimePoint sent, Duration length) { m_permitUntil = std::max(m_permitUntil, sent + length); }

    /**
     * @brief Records whether the executor answers; the lease of one that does not is left to run out.
     * @param answers False from the first unanswered call to the next answer.
     */
    void setAnswers(bool answers) { m_answers = answers; }

    /*! @brief Tells whether leases are extended. */
    [[nodiscard]] bool isExtending() const { return m_answers; }

    /**
     * @brief Tells whether the permit lasts.
     * @param now Present time.
     * @return True while runs may be started.
     */
    [[nodiscard]] bool isPermitted(TimePoint now) const { return now < m_permitUntil; }

    /**
     * @brief Gives the end of the longest lease that the permit allows now.
     * @param now Present time.
     * @return Time on the executor's clock in ms, or nothing without permit, sample or answers.
     */
    [[nodiscard]] std::optional<std::int64_t> leaseEndMs(TimePoint now) const
    {
        if (!m_sample || !m_answers || !isPermitted(now))
            return std::nullopt;
        const auto end = std::min(m_permitUntil, now + m_longest);
        return m_sample->clockMs
            + std::chrono::duration_cast<std::chrono::milliseconds>(end - m_sample->received).count();
    }

    /*! @brief Tells whether the executor's clock is known. */
    [[nodiscard]] bool hasSample() const { return m_sample.has_value(); }

private:
    struct Sample {
        std::int64_t clockMs;
        TimePoint received;
    };

    Duration m_longest;
    std::optional<Sample> m_sample;
    bool m_answers { true };
    TimePoint m_permitUntil { -std::chrono::hours { 24 } };
};

}
