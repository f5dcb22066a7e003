#pragma once

#include "lycheespool/placement/planner_job.h"

#include <compare>

namespace lycheespool {

/*! @brief Properties that decide whether a waiting job can be placed; equal jobs need no second search. */
struct RefusedShape {
    Index workspace { noIndex };
    std::int32_t cores { 0 };
    std::int32_t memoryMiB { 0 };
    std::int32_t accelerators { 0 };
    std::uint32_t tasks { 0 };
    Adjacency adjacency { Adjacency::zone };
    Urgency urgency { Urgency::normal };

    friend auto operator<=>(const RefusedShape&, const RefusedShape&) = default;

    /**
     * @brief Returns the shape of a job.
     * @param job The job.
     * @return Its shape.
     */
    [[nodiscard]] static RefusedShape of(const PlannerJob& job)
    {
        const auto& need = job.shape.perTask;
        return { job.workspace, need.cores, need.memoryMiB, need.accelerators, job.shape.tasks, job.shape.adjacency,
            job.urgency };
    }
};

}
