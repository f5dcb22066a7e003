#pragma once

namespace lycheespool {

/*! @brief A run on an executor that has announced its departure; all times are in ms. */
struct DepartingRun {
    /*! @brief Minimum time until the executor departs. */
    double timeToDepartureMs { 0 };
    /*! @brief Forecast of the remaining run time. */
    double remainingMs { 0 };
    /*! @brief Standard deviation of the logarithm of the remaining time. */
    double spread { 0 };
    /*! @brief Time that a run on another executor repeats: all work done so far without checkpoints, otherwise the time
     * to restore one. */
    double repeatedMs { 0 };
    /*! @brief Time from the departure until the run is known to be lost. */
    double detectionMs { 0 };
};

/**
 * @brief Checks if a run should stop now and restart on another executor, instead of running until its executor
 * departs.
 *
 * Designed for gangs that run several times as long as the notice that departing executors give. Such a run is lost in
 * any case. If it is stopped at once, it resumes elsewhere with its latest work, without waiting until the loss is
 * detected. A run that will probably end in time continues. The choice with the smaller expected completion time is
 * taken.
 *
 * @param run The run.
 * @return True if the run is expected to end sooner when it is moved.
 */
[[nodiscard]] bool shouldMoveNow(const DepartingRun& run);

}
