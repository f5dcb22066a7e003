#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

namespace lycheespool {

/*! @brief Summary of a distribution. Values have the unit of the samples. */
struct DistributionSummary {
    std::uint64_t count { 0 };
    double mean { 0 };
    double median { 0 };
    double p99 { 0 };
    double max { 0 };
};

/**
 * @brief Streaming summary of samples, kept by Boost.Accumulators.
 *
 * Recording never blocks: when two threads record at the same time, the sample of one of them is left out of the
 * quantiles and counted by skipped().
 */
class Distribution {
public:
    Distribution();
    ~Distribution();
    Distribution(const Distribution&) = delete;
    Distribution& operator=(const Distribution&) = delete;

    /**
     * @brief Records one sample.
     * @param sample Value in the unit that the metric's name gives.
     */
    void record(double sample);

    /**
     * @brief Summarises the samples so far.
     * @return Count, mean, median, p99 and maximum.
     */
    [[nodiscard]] DistributionSummary summary() const;

    /**
     * @brief Counts samples that were left out.
     * @return Number of samples.
     */
    [[nodiscard]] std::uint64_t skipped() const { return m_skipped.load(std::memory_order_relaxed); }

private:
    struct State;

    mutable std::atomic_flag m_busy;
    std::atomic<std::uint64_t> m_skipped { 0 };
    std::unique_ptr<State> m_state;
};

}
