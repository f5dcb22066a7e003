#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief Inputs of the decision whether waiting work may preempt less important work. */
struct PreemptionInput {
    /*! @brief Priority of the queue; 0 is the most important. */
    std::uint32_t priority { 0 };
    /*! @brief Time since the submission, ms. */
    std::int64_t ageMs { 0 };
    /*! @brief Latency objective of the job, ms. */
    std::int64_t objectiveMs { 0 };
    /*! @brief Forecast of the remaining run time, ms. */
    std::int64_t remainingMs { 0 };
    /*! @brief Factor by which the objective and the run time may differ from their forecasts, at least 1. */
    double uncertainty { 1 };
    /*! @brief Remaining work, core-seconds. */
    double coreSeconds { 0 };
};

/*! @brief Limits of preemption beyond guarantees. */
struct PreemptionLimits {
    /*! @brief Without it, only work within its workspace's guarantee evicts other work. */
    bool isEnabled { true };
    /*! @brief Work with more slack than this waits, ms. A stop takes up to 400 ms, orders and storing the placement
     * take about 100 ms, and recording and showing the end takes as much again. */
    double slackMs { 1000 };
    /*! @brief Maximum unsaved work to discard, as a multiple of the urgent work. The jobs of other queues have slack
     * of twice their run time, so a restarted task is seldom late. */
    double budget { 3 };
    /*! @brief Assumes that forecasts may be wrong by the uncertainty, instead of taking them as exact. */
    bool accountsForUncertainty { true };
};

/*! @brief Whether and how much work may be evicted for waiting work. */
struct PreemptionRule {
    bool mayEvict { false };
    /*! @brief Maximum unsaved work that may be discarded, core-seconds. */
    double budget { 0 };
};

/**
 * @brief Decides whether work beyond its workspace's guarantee may preempt less important work.
 *
 * Designed for bursts of short urgent gangs on executors that are filled by long work of other queues. The slack of
 * such a gang is half of its run time, and estimates are wrong by a factor of up to ten: a gang that waits until the
 * forecast leaves it one second is late in half of all cases. Therefore it preempts other work as soon as it may become
 * late, and no longer once it is certainly late. Work with ample slack waits for free capacity.
 *
 * @param input The waiting work.
 * @param limits The limits.
 * @return The rule.
 */
[[nodiscard]] PreemptionRule preemptionFor(const PreemptionInput& input, const PreemptionLimits& limits);

}
