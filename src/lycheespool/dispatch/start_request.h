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

/*! @brief Tasks of one step that wait for free capacity. */
struct StartRequest {
    ResourceVector perTask;
    std::uint32_t tasks { 1 };
    /*! @brief Either all tasks start or none. */
    bool isGang { false };
    /*! @brief The gang should be placed on one rack. */
    bool prefersOneRack { false };
    /*! @brief Accepts another rack, where the tasks run slower, instead of waiting longer. */
    bool acceptsRemote { false };
    std::string requiredLabel;
    std::string dataRack;
    /*! @brief Maximum number of tasks on one executor, 0 for no limit. */
    std::uint32_t maxPerNode { 0 };
    /*! @brief Number of tasks of the step that already run, by node. */
    std::map<std::string, std::uint32_t> tasksOn;
    /*! @brief Nodes where tasks of the job failed; used only if no other node fits. */
    std::set<std::string> avoidedNodes;
    /*! @brief Starts on avoided nodes that have free capacity, instead of waiting longer for others. */
    bool acceptsAvoided { false };
    /*! @brief Starts on suspected executors that have free capacity, also before their next probe is due, instead of
     * waiting longer for others. */
    bool acceptsSuspected { false };
    /*! @brief The tasks have failed before, so another failure may fail the job. */
    bool prefersReliable { false };
    /*! @brief The start is guaranteed within a time bound, so suspected executors are used if nothing can be evicted.
     */
    bool hasStartBound { false };
    /*! @brief Another failure fails the job. */
    bool isLastAttempt { false };
    /*! @brief A last attempt may start on an executor that is not proven, instead of waiting longer. */
    bool acceptsUnproven { true };
    /*! @brief Weight of speed against tight packing, in shares of an executor per unit of slowness; negative prefers
     * slow executors. */
    double speedWeight { 0 };
    /*! @brief Other work may be evicted: the work is within its workspace's guarantee, or urgent and about to be late.
     */
    bool mayEvict { false };
    /*! @brief Service tasks may be evicted too: the work is within its workspace's guarantee. */
    bool evictsServiceTasks { false };
    /*! @brief Only runs of a higher tier, that is of less important queues, are evicted. */
    std::uint32_t evictsAboveTier { 0 };
    /*! @brief Maximum unsaved work that may be discarded, core-seconds. */
    double evictionBudget { std::numeric_limits<double>::infinity() };
    /*! @brief Number of the waiting step, by which runs refer to the reservation that they use; 0 for none. */
    std::size_t step { 0 };
    /*! @brief Run time that most of the tasks do not exceed, ms; infinite for tasks that do not end by themselves. */
    double runTimeMs { std::numeric_limits<double>::infinity() };
    /*! @brief The tasks do not end by themselves. */
    bool isService { false };
    /*! @brief The job has waited with nothing running for as long as work may wait beside idle executors. It may use
     * reserved resources and need not wait for preferred executors if much capacity is idle. */
    bool isStarved { false };
};

/*! @brief Placement of some or all tasks of a request. */
struct PlannedStart {
    /*! @brief Index of the request. */
    std::size_t request { 0 };
    /*! @brief Index of the node of each task. */
    std::vector<std::size_t> nodes;
    /*! @brief Waiting steps whose reservations the tasks use until those steps can start, by index of the node. */
    std::map<std::size_t, std::size_t> yieldsTo;
};

/*! @brief Executors that are kept for a request that waits. */
struct PlannedReservation {
    /*! @brief Index of the request. */
    std::size_t request { 0 };
    /*! @brief Index of each node, in ascending order. */
    std::vector<std::size_t> nodes;
    /*! @brief Forecast of the time until the request can start, ms; infinite if it is unknown. */
    double startMs { 0 };
    /*! @brief Indices of the starved requests that would start now without the reservations. */
    std::vector<std::size_t> delayed;
};

/*! @brief Tasks to start and runs to evict. */
struct StartPlan {
    std::vector<PlannedStart> starts;
    /*! @brief Handles of the runs to evict. */
    std::vector<std::size_t> evictions;
    /*! @brief Handles of the runs that make way for the step whose reservation they use. */
    std::vector<std::size_t> yields;
    std::vector<PlannedReservation> reservations;
};

}
