#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/placement/gang_shape.h"

namespace lycheespool {

/*! @brief State of a job in the planner. */
enum class PlacementState : std::uint8_t {
    /*! @brief In the queue. */
    waiting,
    /*! @brief Holds a placement until the gangs evicted from its workers have stopped. */
    claiming,
    /*! @brief Started. */
    running,
    /*! @brief Being stopped; keeps its placement until it is released. */
    evicting,
};

/*! @brief Job record of a planner, with dense indices instead of names. */
struct PlannerJob {
    JobId id;
    GangShape shape;
    Placement placement;
    Duration declaredRunTime {};
    /*! @brief Time of submission, from which the queue position is computed. */
    TimePoint queuedAt;
    /*! @brief Position in the queue. */
    TimePoint queueKey;
    /*! @brief End of the last run, or `queuedAt`; aging restarts after an eviction. */
    TimePoint waitingSince;
    TimePoint startedAt;
    TimePoint checkpointAt;
    Index workspace { noIndex };
    Index kind { noIndex };
    /*! @brief Position among the placed jobs of the workspace. */
    Index placedIndex { noIndex };
    Urgency urgency { Urgency::normal };
    PlacementState state { PlacementState::waiting };
    /*! @brief Charged to the workspace's guarantee; otherwise a placed job is borrowed work. */
    bool guaranteed { false };
    /*! @brief Runs on workers that are reserved for another job. */
    bool backfilled { false };
    /*! @brief Was stopped or adopted, so the current run does not show the whole run time. */
    bool interrupted { false };

    /**
     * @brief Returns the work that would be lost if the gang stopped without a checkpoint.
     * @param now The current time.
     * @return Accelerators times seconds since the last checkpoint; cores instead for a gang without accelerators.
     */
    [[nodiscard]] double unsavedWork(TimePoint now) const
    {
        const auto& need = shape.perTask;
        const auto units = (need.accelerators > 0 ? need.accelerators : need.cores) * double(shape.tasks);
        return units * std::chrono::duration<double>(now - checkpointAt).count();
    }
};

}
