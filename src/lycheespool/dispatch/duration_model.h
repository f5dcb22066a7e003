#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Forecast of a run time. */
struct DurationForecast {
    /*! @brief Expected run time, ms. */
    double expectedMs { 0 };
    /*! @brief Standard deviation of the logarithm of the run time. */
    double spread { 0 };

    /**
     * @brief Returns a run time that is rarely exceeded.
     * @param deviations Number of standard deviations above the expected time.
     * @return Run time, ms.
     */
    [[nodiscard]] double upperMs(double deviations) const;

    /**
     * @brief Returns how much longer a run is expected to last.
     *
     * Never zero for a run that has lasted a while: one that exceeds its expected time is expected to go on for a share
     * of its elapsed time, so that an underestimated run does not look as if it were about to end for as long as it
     * lasts.
     *
     * @param elapsedMs Time for which the run has lasted, ms.
     * @return Remaining run time, ms.
     */
    [[nodiscard]] double remainingMs(double elapsedMs) const;
};

/**
 * @brief Forecasts run times from callers' estimates and from the runs that have ended.
 *
 * Designed for a load whose estimates are wrong by a factor of up to ten, while the tasks of one queue are similar: the
 * mean of a queue then predicts a run time better than the estimate of a task. Where estimates prove to be accurate, or
 * the tasks of a queue differ widely, the estimate has more weight. Both spreads are learned. Uses no clock and no
 * network.
 */
class DurationModel {
public:
    /**
     * @brief Records the estimate of a step.
     * @param queue Queue of its job.
     * @param estimateMs Estimate, ms; 0 for none.
     */
    void addEstimate(const std::string& queue, double estimateMs);

    /**
     * @brief Records a run that completed successfully.
     * @param queue Queue of its job.
     * @param estimateMs Estimate of its step, ms; 0 for none.
     * @param runMs Measured run time, ms.
     */
    void addRun(const std::string& queue, double estimateMs, double runMs);

    /**
     * @brief Forecasts the run time of a task.
     * @param queue Queue of its job.
     * @param estimateMs Estimate of its step, ms; 0 for none.
     * @return The forecast; the unchanged estimate when there is no data for the queue.
     */
    [[nodiscard]] DurationForecast forecast(std::string_view queue, double estimateMs) const;

private:
    /*! @brief Running mean and sum of squared deviations (Welford). */
    struct Moments {
        std::size_t count { 0 };
        double mean { 0 };
        double squares { 0 };

        void add(double value);
    };

    /*! @brief Statistics of a queue; all values are logarithms of milliseconds. */
    struct QueueStatistics {
        Moments estimates;
        Moments runs;
        /*! @brief Sum of squared differences between estimate and run, and their number. */
        double errorSquares { 0 };
        std::size_t errors { 0 };
    };

    std::map<std::string, QueueStatistics, std::less<>> m_queues;
};

}
