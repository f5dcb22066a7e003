#pragma once

#include "lycheespool/workload/resource_vector.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief One step of a job: identical tasks that become ready when the steps they depend on are done. */
struct StepSpec {
    std::uint32_t tasks { 1 };
    ResourceVector perTask;
    /*! @brief Caller's estimate of a task's run time, ms; may be wrong by a factor of two. */
    std::uint32_t estimatedMs { 0 };
    /*! @brief Indices of earlier steps whose tasks must all be done. */
    std::vector<std::uint32_t> after;
    bool savesCheckpoints { false };
    /*! @brief All tasks run at the same time or none. */
    bool isGang { false };
    /*! @brief A gang that spans racks runs slower by the remote factor. */
    bool prefersOneRack { false };
    bool allowsSpeculation { false };
    /*! @brief Tasks run until the job is cancelled and are restarted whenever they end. */
    bool isService { false };
    /*! @brief Label that an executor must have; empty for none. */
    std::string requiredLabel;
    /*! @brief Rack that holds the data; on other racks a task runs slower by the remote factor. Empty for none. */
    std::string dataRack;
    /*! @brief Maximum number of tasks of one occurrence on one executor, 0 for no limit. */
    std::uint32_t maxPerExecutor { 0 };
    std::string image;
    std::uint32_t targetLatencyMs { 0 };
    /*! @brief The tasks use cores that others leave idle; their cores are not charged. */
    bool usesIdleCores { false };
    /*! @brief Maximum number of service tasks that planned actions may make unavailable at the same time. */
    std::uint32_t maxUnavailable { 0 };
    MSGPACK_DEFINE(tasks, perTask, estimatedMs, after, savesCheckpoints, isGang, prefersOneRack, allowsSpeculation,
        isService, requiredLabel, dataRack, maxPerExecutor, image, targetLatencyMs, usesIdleCores, maxUnavailable)

    /**
     * @brief Returns the amount that a task is charged against an executor's capacity.
     * @return The amount per task, without cores if the tasks use idle ones.
     */
    [[nodiscard]] ResourceVector charged() const
    {
        auto amount = perTask;
        if (usesIdleCores)
            amount.milliCores = 0;
        return amount;
    }
};

}
