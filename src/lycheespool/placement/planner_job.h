#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/placement/gang_shape.h"

namespace lycheespool {

/*! @brief What a planner knows about a job's run. */
enum class PlacementState : std::uint8_t {
    /*! @brief In the queue. */
    waiting,
    /*! @brief Has a place that is held for it until the gangs evicted from there have stopped. */
    claiming,
    /*! @brief Started. */
    running,
    /*! @brief Ordered to stop; keeps its place until it is released. */
    evicting,
};

/*! @brief Job of a planner, with dense indices instead of names. */
struct PlannerJob {
    JobId id;
    GangShape shape;
    Placement place;
    Duration declaredRunTime {};
    /*! @brief Begin of the wait, by which the queue is ordered. */
    TimePoint since;
    /*! @brief Position in the queue. */
    TimePoint queueKey;
    /*! @brief End of the last run, or `since`; a job that was evicted waits anew before it ages. */
    TimePoint waitingFrom;
    TimePoint startedAt;
    TimePoint checkpointAt;
    Index workspace { noIndex };
    Index kind { noIndex };
    /*! @brief Position among the placed jobs of the workspace. */
    Index placedAt { noIndex };
    Urgency urgency { Urgency::normal };
    PlacementState state { PlacementState::waiting };
    /*! @brief Inside the workspace's guarantee; otherwise a placed job is borrowed work. */
    bool guaranteed { false };
    /*! @brief Uses a place that is reserved for another job. */
    bool backfilled { false };
    /*! @brief Has been stopped or adopted, so that the present run does not show the whole run time. */
    bool interrupted { false };

    /**
     * @brief Gives the work that is lost when the gang stops without a checkpoint.
     * @param now The present time.
     * @return Accelerators times seconds since the last checkpoint; a gang without accelerators counts its cores.
     */
    [[nodiscard]] double unsavedWork(TimePoint now) const
    {
        const auto& need = shape.perTask;
        const auto units = (need.accelerators > 0 ? need.accelerators : need.cores) * double(shape.tasks);
        return units * std::chrono::duration<double>(now - checkpointAt).count();
    }
};

}
