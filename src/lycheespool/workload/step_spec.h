#pragma once

#include "lycheespool/workload/resource_vector.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief One step of a job: equal tasks that become ready when the steps before it are done. */
struct StepSpec {
    std::uint32_t tasks { 1 };
    ResourceVector perTask;
    /*! @brief Caller's estimate of a task's run time; may be off by a factor of two. */
    std::uint32_t estimatedMs { 0 };
    /*! @brief Numbers of earlier steps whose tasks must all be done. */
    std::vector<std::uint32_t> after;
    bool savesCheckpoints { false };
    /*! @brief All tasks run together or not at all. */
    bool isGang { false };
    /*! @brief A gang that spans racks runs slower by the remote factor. */
    bool prefersOneRack { false };
    bool allowsSpeculation { false };
    /*! @brief Tasks run until the job is cancelled and are restarted however they end. */
    bool isService { false };
    /*! @brief Label that the executor must have; empty for none. */
    std::string requiredLabel;
    /*! @brief Rack that holds the data; elsewhere the task runs slower by the remote factor. Empty for none. */
    std::string dataRack;
    /*! @brief Most tasks of one occurrence on one executor, 0 for no limit. */
    std::uint32_t maxPerExecutor { 0 };
    std::string image;
    std::uint32_t targetLatencyMs { 0 };
    /*! @brief Uses capacity that other tasks leave idle; its cores are not counted. */
    bool usesIdleCores { false };
    /*! @brief Service tasks that planned actions may make unavailable at a time. */
    std::uint32_t maxUnavailable { 0 };
    MSGPACK_DEFINE(tasks, perTask, estimatedMs, after, savesCheckpoints, isGang, prefersOneRack, allowsSpeculation,
        isService, requiredLabel, dataRack, maxPerExecutor, image, targetLatencyMs, usesIdleCores, maxUnavailable)

    /**
     * @brief Gives what a task takes from an executor's capacity.
     * @return Amount without the cores of a task that uses idle ones.
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
