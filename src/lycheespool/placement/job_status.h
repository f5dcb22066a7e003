#pragma once

#include "lycheespool/placement/decision.h"
#include "lycheespool/placement/guarantee.h"
#include "lycheespool/placement/planner_job.h"

namespace lycheespool {

/*! @brief State of one job, for tests and operators. */
struct JobStatus {
    JobId job;
    WorkspaceId workspace;
    PlacementState state { PlacementState::waiting };
    /*! @brief True when a placed job is charged to its workspace's guarantee. */
    bool guaranteed { false };
    Assignment workers;

    friend bool operator==(const JobStatus&, const JobStatus&) = default;
};

/*! @brief One guaranteed cell with the workers that it is mapped to. */
struct BoundCell {
    WorkspaceId workspace;
    /*! @brief The cell, with a count of 1. */
    GuaranteedCell cell;
    /*! @brief Worker of each task; empty when the capacity cannot hold the cell. */
    Assignment workers;
};

}
