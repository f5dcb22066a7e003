#pragma once

#include "lycheespool/workload/resource_vector.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Tasks of one step that wait for room. */
struct StartRequest {
    ResourceVector perTask;
    std::uint32_t tasks { 1 };
    /*! @brief Either all tasks start or none. */
    bool isGang { false };
    /*! @brief The gang should stay on one rack. */
    bool prefersOneRack { false };
    /*! @brief Slower places (another rack) are taken rather than waiting on. */
    bool acceptsRemote { false };
    std::string requiredLabel;
    std::string dataRack;
    /*! @brief Most tasks on one executor, 0 for no limit. */
    std::uint32_t maxPerNode { 0 };
    /*! @brief Tasks of the step that run already, by node. */
    std::map<std::string, std::uint32_t> tasksOn;
    /*! @brief Nodes where tasks of the job failed; used only where nothing else fits. */
    std::set<std::string> avoidedNodes;
    /*! @brief The tasks have failed before, so that a further failure may end the job. */
    bool prefersReliable { false };
    /*! @brief The start has a bound, so that suspects are used when no other work can be stopped. */
    bool hasStartBound { false };
    /*! @brief A further failure ends the job. */
    bool isLastAttempt { false };
    /*! @brief How much tight packing is given up for fast executors, in shares of an executor by slowness; negative
     * prefers slow ones. */
    double speedWeight { 0 };
    /*! @brief Other work may be stopped: the work is within its workspace's guarantee, or urgent and about to be late.
     */
    bool mayEvict { false };
    /*! @brief Only runs of a higher number, that is of less important queues, are stopped for the work. */
    std::uint32_t evictsAboveTier { 0 };
    /*! @brief Most unsaved work that may be thrown away for it, core-seconds. */
    double evictionBudget { std::numeric_limits<double>::infinity() };
};

/*! @brief Room for some tasks of a request. */
struct PlannedStart {
    /*! @brief Position of the request. */
    std::size_t request { 0 };
    /*! @brief Position of the node of each task. */
    std::vector<std::size_t> nodes;
};

/*! @brief What to start and what to stop. */
struct StartPlan {
    std::vector<PlannedStart> starts;
    /*! @brief Handles of the runs to stop. */
    std::vector<std::size_t> evictions;
};

}
