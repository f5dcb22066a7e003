#pragma once

namespace lycheespool {

/*! @brief A run on an executor that has announced its departure; all times in ms. */
struct DepartingRun {
    /*! @brief Least time that the executor stays. */
    double timeToDepartureMs { 0 };
    /*! @brief Forecast of the time until the run ends. */
    double remainingMs { 0 };
    /*! @brief Standard deviation of the logarithm of the remaining time. */
    double spread { 0 };
    /*! @brief Work that a run elsewhere repeats: all of it without checkpoints, otherwise the time to restore one. */
    double repeatedMs { 0 };
    /*! @brief Time from the departure until the loss of the run is certain. */
    double detectionMs { 0 };
};

/**
 * @brief Tells whether a run should stop now and start elsewhere, rather than go on until its executor leaves.
 *
 * Answers a load of gangs that run for several times the notice that leaving executors give. Such a run is lost
 * whatever happens; stopped at once, it resumes elsewhere with its newest work instead of after the loss has become
 * certain. A run that will probably end in time goes on. The choice with the smaller expected time until the end is
 * taken.
 *
 * @param run The run.
 * @return True when moving ends the run sooner.
 */
[[nodiscard]] bool shouldMoveNow(const DepartingRun& run);

}
