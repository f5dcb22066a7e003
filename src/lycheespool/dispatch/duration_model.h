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
     * @brief Gives a run time that is rarely exceeded.
     * @param deviations Number of standard deviations above the expected time.
     * @return Run time, ms.
     */
    [[nodiscard]] double upperMs(double deviations) const;
};

/**
 * @brief Forecasts run times from callers' estimates and from the runs that have ended.
 *
 * Answers a load whose estimates are wrong by a factor of up to ten, while the tasks of one queue resemble each other:
 * the mean of a queue then tells more than the estimate of a task. Where estimates prove to be good, or the tasks of a
 * queue differ much, the estimate decides. Both spreads are learned. No clock, no network.
 */
class DurationModel {
public:
    /**
     * @brief Takes the estimate of a step in.
     * @param queue Queue of its job.
     * @param estimateMs Estimate, ms; 0 for none.
     */
    void addEstimate(const std::string& queue, double estimateMs);

    /**
     * @brief Takes a run in that has ended as done.
     * @param queue Queue of its job.
     * @param estimateMs Estimate of its step, ms; 0 for none.
     * @param runMs Time that it took, ms.
     */
    void addRun(const std::string& queue, double estimateMs, double runMs);

    /**
     * @brief Forecasts the run time of a task.
     * @param queue Queue of its job.
     * @param estimateMs Estimate of its step, ms; 0 for none.
     * @return The forecast; the bare estimate when nothing is known of the queue.
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

    /*! @brief What is known of a queue; all values are logarithms of milliseconds. */
    struct Known {
        Moments estimates;
        Moments runs;
        /*! @brief Sum of squared differences between estimate and run, and their number. */
        double errorSquares { 0 };
        std::size_t errors { 0 };
    };

    std::map<std::string, Known, std::less<>> m_queues;
};

}
