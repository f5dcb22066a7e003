#pragma once

#include "lycheespool/workload/resource_vector.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief A running task that may be stopped in favour of guaranteed or more urgent work. */
struct EvictableRun {
    /*! @brief Caller's handle of the run. */
    std::size_t handle { 0 };
    /*! @brief Runs with the same group number stop together; 0 for a run of its own. */
    std::size_t group { 0 };
    /*! @brief Priority of the run's queue plus one; larger is less important. */
    std::uint32_t tier { 0 };
    ResourceVector charged;
    /*! @brief Work since the last checkpoint that stopping throws away, over the whole group, in core-seconds. */
    double unsavedCoreSeconds { 0 };
};

/*! @brief How far an executor is trusted, by its latest failures. */
enum class NodeReliability : std::uint8_t {
    reliable,
    /*! @brief Failed once since its last success, which sound executors do as well. */
    failedOnce,
    /*! @brief Failed repeatedly, or stalled or did not answer. */
    suspected,
};

/*! @brief Capacity of one executor as the planner sees it. */
struct NodeCapacity {
    std::string node;
    std::string rack;
    std::vector<std::string> labels;
    ResourceVector capacity;
    ResourceVector free;
    /*! @brief What runs that are being stopped will give back. */
    ResourceVector releasing;
    /*! @brief False for executors that take no new work. */
    bool isSchedulable { true };
    NodeReliability reliability { NodeReliability::reliable };
    /*! @brief Logarithm of its run times relative to the mean node; positive is slow. */
    double slowness { 0 };
    /*! @brief Something runs there. */
    bool isBusy { false };
    std::vector<EvictableRun> evictable;
};

}
