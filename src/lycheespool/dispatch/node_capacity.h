#pragma once

#include "lycheespool/workload/resource_vector.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief A running task that may be evicted in favour of guaranteed or more urgent work. */
struct EvictableRun {
    /*! @brief Handle by which the caller identifies the run. */
    std::size_t handle { 0 };
    /*! @brief Runs with the same group number are stopped together; 0 for a run without a group. */
    std::size_t group { 0 };
    /*! @brief Priority of the run's queue plus one; a larger value is less important. */
    std::uint32_t tier { 0 };
    ResourceVector charged;
    /*! @brief Work of the whole group since its last checkpoint, which an eviction discards, in core-seconds. */
    double unsavedCoreSeconds { 0 };
    /*! @brief A service task, which only work within its workspace's guarantee evicts. */
    bool isService { false };
    /*! @brief Service tasks with the same number belong to a step that limits its unavailable tasks; 0 for none. */
    std::size_t limitedStep { 0 };
    /*! @brief Number of tasks of the limited step that may be stopped. */
    std::size_t stopsLeft { 0 };
    /*! @brief Waiting step whose reservation the run uses until that step can start; 0 for none. */
    std::size_t yieldsTo { 0 };
    /*! @brief Forecast of the time until the run ends by itself, ms. */
    double remainingMs { std::numeric_limits<double>::infinity() };
};

/*! @brief Forecast of the time from the decision to stop a run until its resources are free, ms. */
inline constexpr double expectedStopMs = 400;

/*! @brief Resources that a run releases. */
struct ExpectedRelease {
    ResourceVector charged;
    /*! @brief Forecast of the time until then, ms. */
    double remainingMs { 0 };
};

/*! @brief Reliability of an executor, judged by its recent runs; ordered from best to worst. */
enum class NodeReliability : std::uint8_t {
    /*! @brief A run that started there a moment ago works or has ended as done, and none has failed since. */
    proven,
    /*! @brief No failure is known; the executor may have begun to fail since its last start. */
    reliable,
    /*! @brief Failed once since its last success; reliable executors do so occasionally. */
    failedOnce,
    /*! @brief Failed repeatedly, stalled or did not answer. */
    suspected,
};

/*! @brief Capacity and state of one executor as the planner sees it. */
struct NodeCapacity {
    std::string node;
    std::string rack;
    std::vector<std::string> labels;
    ResourceVector capacity;
    ResourceVector free;
    /*! @brief Resources of runs that are being stopped; they become free when these end. */
    ResourceVector releasing;
    /*! @brief Resources of service tasks that are not being stopped; they do not become free by themselves. */
    ResourceVector heldByServiceTasks;
    /*! @brief False if the executor accepts no new work. */
    bool isSchedulable { true };
    NodeReliability reliability { NodeReliability::reliable };
    /*! @brief Logarithm of the node's run times relative to the mean node; positive for slow nodes. */
    double slowness { 0 };
    /*! @brief At least one task runs on the executor. */
    bool isBusy { false };
    /*! @brief While the executor is suspected: it may get a task that shows whether it has recovered. */
    bool acceptsProbe { true };
    /*! @brief Number of tasks that may start before earlier starts have shown that the executor works. */
    std::size_t trialStarts { std::numeric_limits<std::size_t>::max() };
    /*! @brief Number of tasks that may start before the runs of the executor no longer fit into its report. */
    std::int64_t freeRuns { std::numeric_limits<std::int64_t>::max() };
    std::vector<EvictableRun> evictable;
    /*! @brief Releases by runs that are not evictable, in any order; some of them are being stopped. */
    std::vector<ExpectedRelease> releases;
};

}
