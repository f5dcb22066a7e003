#pragma once

#include "lycheespool/placement/job_spec.h"

#include <map>
#include <vector>

namespace lycheespool {

/*! @brief Identical guaranteed cells: each is capacity for one gang that a workspace can claim at any time. */
struct GuaranteedCell {
    Adjacency adjacency { Adjacency::zone };
    std::uint32_t count { 1 };
    Resources perTask;
    std::uint32_t tasks { 1 };

    friend bool operator==(const GuaranteedCell&, const GuaranteedCell&) = default;
};

/*! @brief Guaranteed shapes of all workspaces. */
using Guarantees = std::map<WorkspaceId, std::vector<GuaranteedCell>>;

/*! @brief Cells that the capacity cannot hold; their number is in `cell.count`. */
struct Shortfall {
    WorkspaceId workspace;
    GuaranteedCell cell;

    friend bool operator==(const Shortfall&, const Shortfall&) = default;
};

}
