#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/placement/planner_job.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Why a job waits or runs, for operators. */
struct Explanation {
    PlacementState state { PlacementState::waiting };
    std::string reason;
    /*! @brief Gangs that reclaiming the job's guarantee would evict, or whose end it waits for. */
    std::vector<JobId> victims;
    /*! @brief Work that they would lose, in accelerator seconds. */
    double loss { 0 };
    /*! @brief Estimated start, when a place is reserved. */
    std::optional<TimePoint> reservedStart;
};

}
