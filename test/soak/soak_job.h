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
    /*! @brief Indices of earlier steps that must be done first. */
    std::vector<std::uint32_t> after;
};

/*! @brief A generated job; the emulated executors and the checker read the work of its tasks from it. */
struct SoakJob {
    std::string id;
    std::string payload;
    std::vector<SoakStep> steps;

    /*! @brief Body of the request that submits the job. */
    [[nodiscard]] std::string body() const;
};

/**
 * @brief Generates a random job of one to three small steps, some of them gangs.
 * @param random Source of random numbers.
 * @param number Number of the job in this run.
 * @return The job.
 */
[[nodiscard]] SoakJob generateJob(std::mt19937_64& random, std::uint64_t number);

}
