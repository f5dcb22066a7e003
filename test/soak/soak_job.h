#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/workload/resource_vector.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lycheespool::soak {

/*! @brief One step of a generated job. */
struct SoakStep {
    std::uint32_t tasks { 1 };
    ResourceVector perTask;
    Duration work {};
    bool isGang { false };
    bool savesCheckpoints { false };
    /*! @brief Numbers of earlier steps that must be done. */
    std::vector<std::uint32_t> after;
};

/*! @brief A generated job; executors and the referee look the work of its tasks up here. */
struct SoakJob {
    std::string id;
    std::string payload;
    std::vector<SoakStep> steps;

    /*! @brief Body of the call that hands the job in. */
    [[nodiscard]] std::string body() const;
};

/**
 * @brief Draws a job of one to three small steps, some of them gangs.
 * @param random Source of random numbers.
 * @param number Number of the job in this run.
 * @return The job.
 */
[[nodiscard]] SoakJob drawJob(std::mt19937_64& random, std::uint64_t number);

}
