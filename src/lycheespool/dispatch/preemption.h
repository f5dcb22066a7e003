#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief What decides whether waiting work may stop less important work. */
struct PreemptionInput {
    /*! @brief Priority of the queue, 0 is the most important. */
    std::uint32_t priority { 0 };
    /*! @brief Time since the submission, ms. */
    std::int64_t ageMs { 0 };
    /*! @brief Latency objective of the job, ms. */
    std::int64_t objectiveMs { 0 };
    /*! @brief Forecast of the run time that is left, ms. */
    std::int64_t remainingMs { 0 };
    /*! @brief Factor by which objective and run time may differ from their forecasts, at least 1. */
    double uncertainty { 1 };
    /*! @brief Work that is left, core-seconds. */
    double coreSeconds { 0 };
};

/*! @brief Limits of preemption beyond guarantees. */
struct PreemptionLimits {
    /*! @brief Work with more slack than this waits, ms. A stop takes up to 400 ms, orders and the storage of the
     * placement about 100 ms, and the end is noted and shown after as much again. */
    double slackMs { 1000 };
    /*! @brief Most unsaved work to throw away, as a multiple of the urgent work. The other queues' jobs have slack of
     * twice their run time, so that a task that starts again is seldom late. */
    double budget { 3 };
    /*! @brief Counts with forecasts that are wrong by the uncertainty, instead of taking them as they are. */
    bool accountsForUncertainty { true };
};

/*! @brief Which work may be stopped for waiting work. */
struct PreemptionRule {
    bool mayEvict { false };
    /*! @brief Most unsaved work that may be thrown away, core-seconds. */
    double budget { 0 };
};

/**
 * @brief Decides whether work beyond its workspace's guarantee may stop less important work.
 *
 * Answers bursts of short urgent gangs on executors that long work of other queues fills. The slack of such a gang is
 * half of its run time, and estimates are wrong by up to ten: a gang that waits until the forecast leaves it one second
 * is late in half of all cases. So it stops other work as soon as it may become late, and no more once it is
 * certainly late. Work with ample slack waits for room.
 *
 * @param input The waiting work.
 * @param limits The limits.
 * @return The rule.
 */
[[nodiscard]] PreemptionRule preemptionFor(const PreemptionInput& input, const PreemptionLimits& limits);

}
