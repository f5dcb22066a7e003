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
    /*! @brief Gangs that reclaiming the job's guarantee would evict, or that the job waits for to stop. */
    std::vector<JobId> victims;
    /*! @brief Work that the victims would lose, in accelerator seconds. */
    double loss { 0 };
    /*! @brief Estimated start, when a reservation exists. */
    std::optional<TimePoint> reservedStart;
};

}
