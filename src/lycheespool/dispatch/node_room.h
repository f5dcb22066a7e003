#pragma once

#include "lycheespool/workload/resource_vector.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief A running task that may be stopped in favour of guaranteed work. */
struct EvictableRun {
    /*! @brief Caller's handle of the run. */
    std::size_t handle { 0 };
    /*! @brief Runs with the same group number stop together; 0 for a run of its own. */
    std::size_t group { 0 };
    ResourceVector charged;
    /*! @brief Work since the last checkpoint that stopping throws away, over the whole group, in core-seconds. */
    double unsavedCoreSeconds { 0 };
};

/*! @brief Capacity of one executor as the planner sees it. */
struct NodeRoom {
    std::string node;
    std::string rack;
    std::vector<std::string> labels;
    ResourceVector capacity;
    ResourceVector free;
    /*! @brief What runs that are being stopped will give back. */
    ResourceVector returning;
    /*! @brief False for executors that take no new work. */
    bool isUsable { true };
    /*! @brief Failed or stalled lately: used only where nothing else fits. */
    bool isSuspect { false };
    std::vector<EvictableRun> evictable;
};

}
